// Package server is a stand-in for a model server, written from the platform's
// pages: two halves, handles, prompt memory, orders, draining, and the ways in
// which real ones misbehave. It writes its answers byte by byte.
package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Error is the class of faults in starting a server.
var Error = errs.Class("stand-in server")

// Config is one server.
type Config struct {
	ID, Service, Zone, Address string
	Phase                      string // none: its service has no halves
	Slots, Queue               int
	Pace                       float64 // prompt tokens read in a ms, in the reading half
	Step                       time.Duration
	Work                       time.Duration // of a request that is no stream
	Memory, TokenBytes         int
	Mbps                       float64
	Hold, Switch               time.Duration
	Health                     string
	KeepAlive                  time.Duration // an idle connection is closed after this; 0: never
	TellsLoad, ChecksFence     bool
	ColdFor                    time.Duration
	ColdRate                   float64
	Changed                    func(*Server) // called when it plays another part
}

// Peers finds servers by address, for the moves of prompt memory.
type Peers struct {
	mu sync.Mutex
	at map[string]*Server
}

func (p *Peers) set(addr string, s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil {
		p.at = map[string]*Server{}
	}
	if s == nil {
		delete(p.at, addr)
		return
	}
	p.at[addr] = s
}

func (p *Peers) find(addr string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at[addr]
}

// Server is one life of a server.
type Server struct {
	Config
	Life  *record.Life
	log   *record.Log
	peers *Peers
	ln    net.Listener
	ctx   context.Context
	kill  context.CancelFunc
	wait  sync.WaitGroup

	mu       sync.Mutex
	phase    string
	draining bool
	dark     chan struct{} // closed once it is dark
	conns    map[*conn]bool
	runs     int
	faults   faults
	engine
	orders
}

// Start begins a life.
//
// Example: s, err := server.Start(cfg, log, peers)
func Start(c Config, log *record.Log, peers *Peers) (*Server, error) {
	ln, err := net.Listen("tcp4", c.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{Config: c, log: log, peers: peers, ln: ln, phase: c.Phase, dark: make(chan struct{}), conns: map[*conn]bool{}}
	s.ctx, s.kill = context.WithCancel(context.Background())
	s.engine = newEngine(c)
	s.orders.seen = map[string]int64{}
	now := log.Now()
	s.Life = &record.Life{ID: c.ID, Service: c.Service, Zone: c.Zone, Address: c.Address, Born: now, ColdRate: c.ColdRate}
	if c.ColdFor > 0 {
		s.Life.ColdUntil = now + c.ColdFor
	}
	log.Do(func(a *record.All) { a.Lives = append(a.Lives, s.Life) })
	peers.set(c.Address, s)
	s.wait.Go(s.accept)
	return s, nil
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		select {
		case <-s.dark: // the kernel took it; nobody will say anything
			s.wait.Go(func() { <-s.ctx.Done(); _ = nc.Close() })
			continue
		default:
		}
		c := &conn{Conn: nc, s: s}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wait.Go(c.serve)
	}
}

// Crash ends the life at once: connections are reset.
//
// Example: s.Crash()
func (s *Server) Crash() { s.end(true) }

// End ends the life and closes what is left.
//
// Example: defer s.End()
func (s *Server) End() { s.end(false) }

func (s *Server) end(reset bool) {
	s.log.Do(func(*record.All) {
		if s.Life.Died == 0 {
			s.Life.Died = s.log.Now()
		}
	})
	s.peers.set(s.Address, nil)
	_ = s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		if reset {
			c.reset()
		} else {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	s.kill()
	s.wait.Wait()
}

// Dark makes the server silent: it takes nothing up and answers nothing.
//
// Example: s.Dark()
func (s *Server) Dark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.dark:
	default:
		close(s.dark)
	}
}

// Drain has the server say that it is leaving; it goes on serving.
//
// Example: s.Drain()
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Entry is the server as the platform's list shows it.
//
// Example: list = append(list, s.Entry())
func (s *Server) Entry() wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := wire.Entry{ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Version: "v1", Slots: s.Slots, State: wire.Ready, Phase: s.phase}
	if s.draining {
		e.State = wire.Draining
	}
	if s.phase != "" {
		e.Models = []wire.Weights{{Name: "m", Version: 1, Adapters: []string{}}}
	}
	if left := s.Life.ColdUntil - s.log.Now(); left > 0 {
		e.ColdMs = left.Milliseconds() + 1
	}
	return e
}

// Busy is the number of requests that it works at or keeps waiting.
//
// Example: for s.Busy() > 0 { wait() }
func (s *Server) Busy() int {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.running + s.queued
}

// conn is one connection; one request at a time is served on it.
type conn struct {
	net.Conn
	s    *Server
	late []byte // an extra answer that comes in the next one's place
}

// Write sends bytes; a dark server's never go out.
//
// Example: c.Write(h.bytes())
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.s.dark:
		<-c.s.ctx.Done()
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(b)
	}
}

func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// got is a request as it was read, whole.
type got struct {
	*http.Request
	body []byte
}

// read takes requests off the connection as they come; a context ends with it.
func (c *conn) read(gone context.CancelFunc, to chan<- got) {
	defer gone()
	defer close(to)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		early := req.ContentLength > 0 && req.Header.Get(wire.Attempt) != "" && c.s.faults.take(Early)
		if early && !c.away(got{req, nil}, c.arrival(got{req, nil}), http.StatusServiceUnavailable, record.Away, "too long") {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if early {
			continue
		}
		select {
		case to <- got{req, body}:
		case <-c.s.ctx.Done():
			return
		}
	}
}

func (c *conn) serve() {
	s := c.s
	ctx, gone := context.WithCancel(s.ctx)
	in := make(chan got)
	s.wait.Go(func() { c.read(gone, in) })
	defer func() {
		gone()
		_ = c.Close()
		for range in { // its prefill server ends with the connection
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for req := range in {
		select {
		case <-s.dark:
			<-ctx.Done()
			return
		default:
		}
		if !c.handle(ctx, req) {
			return
		}
		if s.faults.take(Forget) {
			s.wait.Go(func() { // what is sent next finds nobody
				if _, ok := <-in; ok {
					c.reset()
				}
			})
			<-ctx.Done()
			return
		}
		if s.KeepAlive > 0 {
			_ = c.SetReadDeadline(time.Now().Add(s.KeepAlive))
		}
	}
}

// head is an answer's head.
type head struct {
	status int
	lines  []string
}

func (h *head) add(name string, value any) { h.lines = append(h.lines, fmt.Sprint(name, ": ", value)) }

func (h *head) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", h.status, http.StatusText(h.status))
	for _, l := range h.lines {
		b.WriteString(l + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// head begins an answer; every answer of a server names the request.
func (c *conn) head(status int, req got) *head {
	h := &head{status: status}
	if id := req.Header.Get(wire.Attempt); id != "" {
		h.add(wire.Attempt, id)
	}
	s := c.s
	s.mu.Lock()
	leaving := s.draining
	s.mu.Unlock()
	if leaving {
		h.add("Connection", "close")
	} else if s.KeepAlive > 0 {
		h.add("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.KeepAlive.Seconds())))
	}
	if s.TellsLoad {
		s.engine.mu.Lock()
		h.add(wire.Load, fmt.Sprintf("%d,%d,%d", s.running, s.queued, s.Slots))
		s.engine.mu.Unlock()
	}
	return h
}

// send writes a whole answer with a body of a known length; it tells whether
// the connection may go on.
func (c *conn) send(h *head, body string) bool {
	h.add("Content-Length", len(body))
	b := append(h.bytes(), body...)
	if c.late != nil {
		b, c.late = append(c.late, b...), nil
	}
	if _, err := c.Write(b); err != nil {
		return false
	}
	return !strings.Contains(strings.Join(h.lines, "\n"), "Connection: close")
}

// Digest is how bodies are compared.
//
// Example: server.Digest(body) == try.Digest
func Digest(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // a hash takes all
	return h.Sum64()
}
