package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"mulleinmast/wire/message"
)

// readConnection receives what comes on an accepted connection until it ends.
func (t *Transport) readConnection(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	peer := conn.RemoteAddr().String()
	reader := bufio.NewReaderSize(conn, bufferSize)
	var codec frameCodec
	for {
		m, size, err := codec.read(reader)
		if err != nil {
			if ctx.Err() == nil && Error.Has(err) { // not the connection's end
				t.reportError(peer, err)
			}
			return
		}
		if m.Fleet != t.Fleet {
			t.reportError(peer, Error.Wrap(fmt.Errorf("%w: %q, this is %q", ErrOtherFleet, m.Fleet, t.Fleet)))
			return
		}
		if err := t.receiveWithBuffered(m, size, &codec, reader); err != nil {
			t.reportError(peer, err)
			return
		}
	}
}

// receiveWithBuffered receives a message and those whose frames came with it: what
// came together is answered together.
func (t *Transport) receiveWithBuffered(
	m message.Message, size int, codec *frameCodec, reader *bufio.Reader,
) (err error) {
	t.Coalesce(func() {
		t.receive(m, size)
		for err == nil && hasWholeFrame(reader) {
			if m, size, err = codec.read(reader); err == nil && m.Fleet == t.Fleet {
				t.receive(m, size)
			}
		}
	})
	return err
}

// receive gives a message to Receive, unless it is another's or a fault drops it.
func (t *Transport) receive(m message.Message, size int) {
	if m.MaxFrameVersion >= message.CompactFrameVersion {
		t.markCompactReader(m.Addr)
	}
	if !t.isAddressee(m.To) || t.dropsFrom(m.Addr) {
		return
	}
	t.Received.Add(1)
	t.countReceived(m.Kind, size)
	start := time.Now()
	t.Receive(m)
	t.countHandling(m.Kind, time.Since(start))
}

// isAddressee tells whether a message to an identity, or to none, is for this daemon.
func (t *Transport) isAddressee(identity string) bool {
	return identity == "" || identity == t.Self.Ident
}

// markCompactReader remembers that the daemon at an address reads compact frames.
func (t *Transport) markCompactReader(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compact[addr] = time.Now()
}

// readsCompact tells whether the daemon at an address has shown, since a connection
// to it was dialed, that it reads compact frames. An older build may run there by now
// if it only showed it before.
func (t *Transport) readsCompact(addr string, dialedAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compact[addr].After(dialedAt)
}
