// Package telegraph carries notes between daemons: msgp in frames over TCP.
// A frame is a version byte, a length and the note. A bad frame closes its
// connection. Sending never blocks: a full or broken line drops notes, and the
// machines above ask again.
package telegraph

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/wire/form"
)

// Error is the class of this package's errors.
var Error = errs.Class("telegraph")

// Most is the largest frame taken.
const Most = 32 << 20

const (
	head  = 5
	depth = 4096
)

// Pack makes a frame of a note.
//
// Example: b, err := telegraph.Pack(note)
func Pack(n form.Note) ([]byte, error) {
	b := make([]byte, head, head+256+n.Msgsize()/4)
	b, err := n.MarshalMsg(b)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b)-head > Most {
		return nil, Error.New("note of %d bytes, at most %d go in a frame", len(b)-head, Most)
	}
	b[0] = form.Version
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-head))
	return b, nil
}

// Read takes one note off a stream.
//
// Example: note, err := telegraph.Read(conn)
func Read(r io.Reader) (n form.Note, err error) {
	n, _, err = read(r)
	return n, err
}

// read gives the length of the frame, too.
func read(r io.Reader) (n form.Note, whole int, err error) {
	var h [head]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		return n, 0, err
	}
	if h[0] != form.Version {
		return n, 0, Error.New("frame of wire version %d, expected %d", h[0], form.Version)
	}
	size := binary.BigEndian.Uint32(h[1:])
	if size > Most {
		return n, 0, Error.New("frame of %d bytes, at most %d are taken", size, Most)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return n, 0, err
	}
	if len(b) < int(size) {
		return n, 0, Error.New("frame cut short: %d of %d bytes", len(b), size)
	}
	rest, err := n.UnmarshalMsg(b)
	if err != nil {
		return n, 0, Error.New("frame can't be read: %v", err)
	}
	if len(rest) > 0 {
		return n, 0, Error.New("%d bytes left over in a frame", len(rest))
	}
	if !n.Kind.Known() {
		return n, 0, Error.New("note of unknown kind %d", n.Kind)
	}
	return n, head + int(size), nil
}

// Line is this daemon's end of the wire.
type Line struct {
	Fleet string
	Me    form.Seat
	Epoch uint64
	Hear  func(form.Note)
	Bad   func(from string, err error)
	// Cut is a switch for tests: notes to and from these addresses are lost.
	Cut atomic.Pointer[map[string]bool]

	Sent, Got, Lost atomic.Int64
	Tally

	ln   net.Listener
	mu   sync.Mutex
	outs map[string]chan form.Note
	ctx  context.Context
}

// Listen opens the port.
//
// Example: err := line.Listen("127.0.0.1:7000")
func (l *Line) Listen(addr string) error {
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
func (l *Line) Serve(ctx context.Context) error {
	l.mu.Lock()
	l.ctx, l.outs = ctx, map[string]chan form.Note{}
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
		go l.read(ctx, c)
	}
}

func (l *Line) read(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		n, size, err := read(r)
		if err != nil {
			if err != io.EOF && ctx.Err() == nil && Error.Has(err) && l.Bad != nil {
				l.Bad(c.RemoteAddr().String(), err)
			}
			return
		}
		if n.Fleet != l.Fleet {
			if l.Bad != nil {
				l.Bad(c.RemoteAddr().String(), Error.New("note of fleet %q, this is %q", n.Fleet, l.Fleet))
			}
			return
		}
		if n.To != "" && n.To != l.Me.Ident || l.cut(n.Addr) {
			continue
		}
		l.Got.Add(1)
		l.in(n.Kind, size)
		at := time.Now()
		l.Hear(n)
		l.heard(n.Kind, time.Since(at))
	}
}

func (l *Line) cut(addr string) bool {
	m := l.Cut.Load()
	return m != nil && ((*m)[addr] || (*m)["*"])
}

// Send puts a note on the line to an address.
//
// Example: line.Send(form.Send{Addr: "127.0.0.1:7001", Note: note})
func (l *Line) Send(s form.Send) {
	if l.cut(s.Addr) {
		return
	}
	s.Note.Fleet, s.Note.From, s.Note.Epoch, s.Note.Addr = l.Fleet, l.Me.Ident, l.Epoch, l.Me.Addr
	l.mu.Lock()
	if l.ctx == nil {
		l.mu.Unlock()
		return
	}
	q := l.outs[s.Addr]
	if q == nil {
		q = make(chan form.Note, depth)
		l.outs[s.Addr] = q
		go l.write(l.ctx, s.Addr, q)
	}
	l.mu.Unlock()
	select {
	case q <- s.Note:
		l.Sent.Add(1)
	default:
		l.Lost.Add(1)
	}
}

func (l *Line) write(ctx context.Context, addr string, q chan form.Note) {
	var conn net.Conn
	var w *bufio.Writer
	shut := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer shut()
	dial := net.Dialer{Timeout: 300 * time.Millisecond}
	var fail time.Time
	for {
		var n form.Note
		select {
		case <-ctx.Done():
			return
		case n = <-q:
		}
		if conn == nil {
			if time.Since(fail) < 50*time.Millisecond {
				l.Lost.Add(1)
				continue
			}
			c, err := dial.DialContext(ctx, "tcp", addr)
			if err != nil {
				fail = time.Now()
				l.Lost.Add(1)
				continue
			}
			conn, w = c, bufio.NewWriterSize(c, 64<<10)
			// The far end never writes: a read that returns means it is gone.
			go func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() }()
		}
		b, err := Pack(n)
		if err != nil {
			if l.Bad != nil {
				l.Bad(addr, err)
			}
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, err = w.Write(b)
		if err == nil && len(q) == 0 {
			err = w.Flush()
		}
		if err != nil {
			l.Lost.Add(1)
			shut()
			continue
		}
		l.out(n.Kind, len(b))
	}
}
