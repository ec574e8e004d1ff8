package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"mulleinmast/wire/message"
)

// readConnection receives the messages of an accepted connection until it ends.
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
			if ctx.Err() == nil && Error.Has(err) { // an invalid frame, not the end of the connection
				t.reportError(peer, err)
			}
			return
		}
		if m.Fleet != t.Fleet {
			t.reportError(peer, Error.Wrap(fmt.Errorf("%w: got %q, expected %q", ErrOtherFleet, m.Fleet, t.Fleet)))
			return
		}
		if err := t.receiveWithBuffered(m, size, &codec, reader); err != nil {
			t.reportError(peer, err)
			return
		}
	}
}

// receiveWithBuffered handles a message together with the messages whose complete frames are
// already in the buffer, so that the answers to all of them are sent together.
func (t *Transport) receiveWithBuffered(
	m message.Message, size int, codec *frameCodec, reader *bufio.Reader,
) (err error) {
	t.Coalesce(func() {
		t.receive(m, size)
		for err == nil && hasCompleteFrame(reader) {
			if m, size, err = codec.read(reader); err == nil && m.Fleet == t.Fleet {
				t.receive(m, size)
			}
		}
	})
	return err
}

// receive passes a message to Receive, unless it is for another daemon or an injected fault drops it.
func (t *Transport) receive(m message.Message, size int) {
	if m.MaxFrameVersion >= message.CompactFrameVersion {
		t.markCompactReader(m.Addr)
	}
	if !t.isRecipient(m.To) || t.dropsFrom(m.Addr) {
		return
	}
	t.Received.Add(1)
	t.countReceived(m.Kind, size)
	start := time.Now()
	t.Receive(m)
	t.countHandling(m.Kind, time.Since(start))
}

// isRecipient reports whether a message for an identity is for this daemon. A message
// without a recipient is for any daemon.
func (t *Transport) isRecipient(identity string) bool {
	return identity == "" || identity == t.Self.Ident
}

// markCompactReader records that the daemon at an address reads compact frames.
func (t *Transport) markCompactReader(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compactSeen[addr] = time.Now()
}

// readsCompact reports whether the daemon at an address has announced, since the
// connection to it was dialed, that it reads compact frames. An earlier announcement
// doesn't count, as an older build may have been started there since.
func (t *Transport) readsCompact(addr string, dialedAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compactSeen[addr].After(dialedAt)
}
