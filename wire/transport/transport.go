// Package transport carries messages between daemons: msgp in frames over TCP.
// A frame is a version byte, a length and the message. A frame that can't be read
// closes its connection. Sending never blocks: a full queue or a broken connection
// drops messages, and the state machines above send again.
//
// Each address that is sent to has a queue and a goroutine that writes it to one
// connection; each accepted connection has a goroutine that reads it. All of them
// end with the context of Serve.
package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/wire/message"
)

const (
	// bufferSize is the buffer of a connection, in bytes each way; longer frames go round it.
	bufferSize = 4 << 10
	// idleTimeout is how long an address that nothing is sent to keeps its queue and
	// its connection: machines are replaced at new addresses all the time.
	idleTimeout = time.Minute
	// redialPause is how long an address is not dialed again after a failure.
	redialPause = 50 * time.Millisecond
	// writeTimeout is how long one write to a connection may take.
	writeTimeout = 2 * time.Second
)

// Transport is a daemon's end of the wire. The exported fields are set before Serve.
type Transport struct {
	// Fleet is the name of the fleet: messages of another one close their connection.
	Fleet string
	// Self is this daemon; messages to another identity are dropped.
	Self message.Replica
	// Epoch is this daemon's incarnation; it stands in each message that is sent.
	Epoch uint64
	// Receive takes each message; it is called by many goroutines.
	Receive func(message.Message)
	// OnError hears what is wrong with a peer's frames, or with a message that fits
	// in no frame; nil: nobody does.
	OnError func(peer string, err error)
	// PeerTimeout is how long a peer's machine may leave what was sent to it without
	// an acknowledgement: its connection is closed then and made anew. 0: as long as
	// the kernel retries.
	PeerTimeout time.Duration

	// Sent, Received and Dropped count messages since the start.
	Sent, Received, Dropped atomic.Int64
	Counters
	Faults

	listener net.Listener

	mu         sync.Mutex            // guards what follows
	ctx        context.Context       // of Serve; nil before, when nothing is sent
	queues     map[string]*sendQueue // by address
	compact    map[string]time.Time  // by address: when it last showed that it reads compact frames
	coalescing int                   // steps under way whose messages go out together
}

// Listen opens the port.
//
// Example: err := t.Listen("127.0.0.1:7000")
func (t *Transport) Listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	t.listener = listener
	return nil
}

// Serve takes connections until the context ends.
//
// Example: supervisor.Add(t)
func (t *Transport) Serve(ctx context.Context) error {
	t.mu.Lock()
	t.ctx, t.queues, t.compact = ctx, map[string]*sendQueue{}, map[string]time.Time{}
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	defer stop()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return Error.Wrap(err)
		}
		t.probeWhenIdle(conn)
		go t.readConnection(ctx, conn)
	}
}

// Addresses is how many addresses have a queue here.
//
// Example: t.Addresses() == 3
func (t *Transport) Addresses() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queues)
}

func (t *Transport) reportError(peer string, err error) {
	if t.OnError != nil {
		t.OnError(peer, err)
	}
}
