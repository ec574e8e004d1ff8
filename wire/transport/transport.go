// Package transport carries messages between daemons: msgp in frames over TCP.
// A frame is a version byte, a length and the message. A bad frame closes its
// connection. Sending never blocks: a full or broken line drops messages, and the
// machines above ask again.
package transport

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/wire/message"
)

// Error is the class of this package's errors.
var Error = errs.Class("transport")

// MaxFrameSize is the largest frame taken.
const MaxFrameSize = 32 << 20

const (
	head   = 5
	depth  = 4096     // messages that wait for one address, at most
	buffer = 4 << 10  // of a connection, each way; longer frames go round it
	trust  = 64 << 10 // bytes made room for at a frame's word

	// An address that nothing was sent to for so long is forgotten, with its
	// queue and its connection: machines are replaced at new ones all the time.
	resting = time.Minute
)

// Transport is this daemon's end of the wire.
type Transport struct {
	Fleet   string
	Self    message.Replica
	Epoch   uint64
	Receive func(message.Message)
	OnError func(from string, err error)
	// DropPeers is a switch for tests: messages to and from these addresses are lost.
	DropPeers atomic.Pointer[map[string]bool]
	// DropSenders is another: messages from these addresses are lost, those to them are not.
	DropSenders atomic.Pointer[map[string]bool]
	// MaxDelay is another: messages, each for itself, are up to so many nanoseconds on
	// their way, so that later ones come before earlier ones.
	MaxDelay atomic.Int64
	// Latency is another: messages to an address are that long on their way.
	Latency func(addr string) time.Duration
	// PeerTimeout is how long a peer's machine may say nothing to what was sent to it:
	// its connection is closed then and made anew; 0: as long as the kernel
	// retries.
	PeerTimeout time.Duration

	Sent, Received, Dropped atomic.Int64
	Counters

	ln    net.Listener
	mu    sync.Mutex
	outs  map[string]*queue
	heard map[string]time.Time // when an address last showed that it reads short frames
	held  int                  // steps under way whose messages go out together
	ctx   context.Context
}

// Listen opens the port.
//
// Example: err := line.Listen("127.0.0.1:7000")
func (l *Transport) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	l.ln = ln
	return nil
}

// Serve takes connections until the context ends.
//
// Example: supervisor.Add(line)
func (l *Transport) Serve(ctx context.Context) error {
	l.mu.Lock()
	l.ctx, l.outs, l.heard = ctx, map[string]*queue{}, map[string]time.Time{}
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() })
	defer stop()
	for {
		c, err := l.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return Error.Wrap(err)
		}
		l.watch(c)
		go l.read(ctx, c)
	}
}

func (l *Transport) read(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, buffer)
	var s spoken
	for {
		n, size, err := s.read(r)
		if err != nil {
			if err != io.EOF && ctx.Err() == nil && Error.Has(err) && l.OnError != nil {
				l.OnError(c.RemoteAddr().String(), err)
			}
			return
		}
		if n.Fleet != l.Fleet {
			if l.OnError != nil {
				l.OnError(c.RemoteAddr().String(), Error.New("note of fleet %q, this is %q", n.Fleet, l.Fleet))
			}
			return
		}
		l.Coalesce(func() {
			l.take(n, size)
			for err == nil && whole(r) { // what came together is answered to together
				if n, size, err = s.read(r); err == nil && n.Fleet == l.Fleet {
					l.take(n, size)
				}
			}
		})
		if err != nil {
			if l.OnError != nil {
				l.OnError(c.RemoteAddr().String(), err)
			}
			return
		}
	}
}

func (l *Transport) take(n message.Message, size int) {
	if n.MaxFrameVersion >= message.CompactFrameVersion {
		l.mu.Lock()
		l.heard[n.Addr] = time.Now()
		l.mu.Unlock()
	}
	if n.To != "" && n.To != l.Self.Ident || among(&l.DropPeers, n.Addr) || among(&l.DropSenders, n.Addr) {
		return
	}
	l.Received.Add(1)
	l.in(n.Kind, size)
	at := time.Now()
	l.Receive(n)
	l.took(n.Kind, time.Since(at))
}

// among tells whether a switch names an address, or all.
func among(list *atomic.Pointer[map[string]bool], addr string) bool {
	m := list.Load()
	return m != nil && ((*m)[addr] || (*m)["*"])
}

// late is how long a message to an address is held back, by the switches for tests.
func (l *Transport) late(addr string) (late time.Duration) {
	if l.Latency != nil {
		late = l.Latency(addr)
	}
	if most := l.MaxDelay.Load(); most > 0 {
		late += time.Duration(rand.Int64N(most))
	}
	return late
}

// Send puts a message on the line to an address.
//
// Example: line.Send(message.Envelope{Addr: "127.0.0.1:7001", Message: message})
func (l *Transport) Send(s message.Envelope) {
	if among(&l.DropPeers, s.Addr) {
		return
	}
	s.Message.Fleet, s.Message.From, s.Message.Epoch, s.Message.Addr = l.Fleet, l.Self.Ident, l.Epoch, l.Self.Addr
	l.mu.Lock()
	if l.ctx == nil {
		l.mu.Unlock()
		return
	}
	q := l.outs[s.Addr]
	if q == nil {
		q = &queue{wake: make(chan struct{}, 1)}
		l.outs[s.Addr] = q
		go l.write(l.ctx, s.Addr, q)
	}
	held := l.held > 0
	l.mu.Unlock()
	if late := l.late(s.Addr); late > 0 {
		time.AfterFunc(late, func() {
			if q.put(s.Message) {
				l.Sent.Add(1)
				q.ring()
			}
		})
		return
	}
	if !q.put(s.Message) {
		l.Dropped.Add(1)
		return
	}
	l.Sent.Add(1)
	if !held {
		q.ring()
	}
}

// Coalesce runs a step whose messages to one address go out in one write.
//
// Example: line.Coalesce(func() { tickAll() })
func (l *Transport) Coalesce(step func()) {
	l.mu.Lock()
	l.held++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.held--; l.held > 0 {
			return
		}
		for _, q := range l.outs {
			q.mu.Lock()
			some := len(q.list) > 0
			q.mu.Unlock()
			if some {
				q.ring()
			}
		}
	}()
	step()
}

func (l *Transport) write(ctx context.Context, addr string, q *queue) {
	var conn net.Conn
	var w *bufio.Writer
	var s spoken
	var dialled time.Time
	shut := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer shut()
	dial := l.dialer()
	var fail time.Time
	var list []message.Message
	idle := time.NewTimer(resting)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if l.forget(addr, q) {
				return
			}
		case <-q.wake:
		}
		idle.Reset(resting)
		list = q.take(list)
		if len(list) == 0 {
			continue
		}
		if conn == nil {
			if time.Since(fail) < 50*time.Millisecond {
				l.Dropped.Add(int64(len(list)))
				continue
			}
			dialled = time.Now()
			c, err := dial.DialContext(ctx, "tcp", addr)
			if err != nil {
				fail = time.Now()
				l.Dropped.Add(int64(len(list)))
				continue
			}
			conn, w, s = c, bufio.NewWriterSize(c, buffer), spoken{}
			// The far end never writes: a read that returns means it is gone.
			go func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() }()
		}
		l.mu.Lock()
		short := l.heard[addr].After(dialled)
		l.mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		var err error
		for _, n := range list {
			var b []byte
			if b, err = s.pack(n, short); err != nil {
				if l.OnError != nil {
					l.OnError(addr, err)
				}
				err = nil
				continue
			}
			if _, err = w.Write(b); err != nil {
				break
			}
			l.out(n.Kind, len(b))
		}
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			l.Dropped.Add(int64(len(list)))
			shut()
		}
	}
}
