// Package transport exchanges messages between daemons, as msgp in frames over TCP.
// A frame is a version byte, a length and the message. A connection is closed on the
// first frame that can't be decoded. Sending never blocks: messages are dropped if a
// queue is full or a connection is broken, and the state machines that sent them retry.
//
// Each destination address has a queue and a goroutine that writes the queue to one
// connection; each accepted connection has a goroutine that reads from it. All of them
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
	// bufferSize is the size of a connection's buffer, in bytes; longer frames bypass it.
	bufferSize = 4 << 10
	// idleTimeout is how long an idle address keeps its queue and its connection. Without
	// it they would accumulate, as machines are often replaced at new addresses.
	idleTimeout = time.Minute
	// redialPause is the minimum time between a failed dial and the next one.
	redialPause = 50 * time.Millisecond
	// writeTimeout limits one write to a connection.
	writeTimeout = 2 * time.Second
)

// Transport sends and receives a daemon's messages. The exported fields must be set before Serve.
type Transport struct {
	// Fleet is the name of the fleet. A message from another fleet closes its connection.
	Fleet string
	// Self is this daemon. Messages for another identity are dropped.
	Self message.Replica
	// Epoch is this daemon's incarnation, included in each message that it sends.
	Epoch uint64
	// Receive handles each received message. It is called concurrently.
	Receive func(message.Message)
	// OnError is called for an invalid frame of a peer, and for a message that can't be
	// encoded as a frame; nil: errors are ignored.
	OnError func(peer string, err error)
	// PeerTimeout is how long data sent to a peer may stay unacknowledged at TCP level
	// before the connection is closed and dialed again. 0: as long as the kernel retries.
	PeerTimeout time.Duration

	// Sent, Received and Dropped count messages since the start of the transport.
	Sent, Received, Dropped atomic.Int64
	Counters
	Faults

	listener net.Listener

	mu          sync.Mutex            // guards the fields below
	ctx         context.Context       // of Serve; nil before Serve, when messages are dropped
	queues      map[string]*sendQueue // by address
	compactSeen map[string]time.Time  // by address: when its daemon last announced that it reads compact frames
	coalescing  int                   // number of Coalesce calls in progress
}

// UseListener sets the listener that Serve accepts connections on. Call it before Serve.
//
// Example: t.UseListener(listener)
func (t *Transport) UseListener(listener net.Listener) { t.listener = listener }

// Serve accepts connections until the context ends.
//
// Example: supervisor.Add(t)
func (t *Transport) Serve(ctx context.Context) error {
	t.mu.Lock()
	t.ctx, t.queues, t.compactSeen = ctx, map[string]*sendQueue{}, map[string]time.Time{}
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
		t.enableKeepAlive(conn)
		go t.readConnection(ctx, conn)
	}
}

// AddressCount returns the number of addresses that have a queue.
//
// Example: t.AddressCount() == 3
func (t *Transport) AddressCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queues)
}

func (t *Transport) reportError(peer string, err error) {
	if t.OnError != nil {
		t.OnError(peer, err)
	}
}
