// Package server simulates a model server as the platform's documentation describes it:
// prefill and decode phases, KV handles, prompt cache, orders, draining, and the faults
// of real servers. It writes HTTP answers itself, so that it can also send invalid ones.
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

// Error is the class of errors returned by Start.
var Error = errs.Class("stand-in server")

// Config configures one server.
type Config struct {
	ID, Service, Zone, Address string
	Phase                      string // empty: the service does not separate prefill and decode
	Slots, Queue               int
	PrefillRate                float64 // prompt tokens per millisecond in the prefill phase
	Step                       time.Duration
	Work                       time.Duration // time for a request that is not a stream
	Memory, TokenBytes         int
	Mbps                       float64
	Hold, Switch               time.Duration
	Health                     string
	KeepAlive                  time.Duration // idle connections are closed after this; 0: never
	TellsLoad, ChecksFence     bool
	ColdFor                    time.Duration
	ColdRate                   float64
	Changed                    func(*Server) // called after a change of phase
}

// Peers finds servers by address, for KV cache transfers.
type Peers struct {
	mu        sync.Mutex
	byAddress map[string]*Server
}

func (p *Peers) set(addr string, s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = map[string]*Server{}
	}
	if s == nil {
		delete(p.byAddress, addr)
		return
	}
	p.byAddress[addr] = s
}

func (p *Peers) find(addr string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[addr]
}

// Server is one run of a server, from start to end.
type Server struct {
	Config
	Life   *record.Life
	log    *record.Log
	peers  *Peers
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	phase        string
	draining     bool
	unresponsive chan struct{} // closed once the server is unresponsive
	conns        map[*conn]bool
	runs         int
	faults       faults
	engine
	orderState
}

// Start starts a server.
//
// Example: s, err := server.Start(cfg, log, peers)
func Start(c Config, log *record.Log, peers *Peers) (*Server, error) {
	ln, err := net.Listen("tcp4", c.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{Config: c, log: log, peers: peers, ln: ln, phase: c.Phase, unresponsive: make(chan struct{}), conns: map[*conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.engine = newEngine(c)
	s.orderState.fences = map[string]int64{}
	now := log.Now()
	s.Life = &record.Life{ID: c.ID, Service: c.Service, Zone: c.Zone, Address: c.Address, Born: now, ColdRate: c.ColdRate}
	if c.ColdFor > 0 {
		s.Life.ColdUntil = now + c.ColdFor
	}
	log.Do(func(a *record.All) { a.Lives = append(a.Lives, s.Life) })
	peers.set(c.Address, s)
	s.wg.Go(s.accept)
	return s, nil
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		select {
		case <-s.unresponsive: // the kernel accepted it, but nothing will be read or sent
			s.wg.Go(func() { <-s.ctx.Done(); _ = nc.Close() })
			continue
		default:
		}
		c := &conn{Conn: nc, s: s}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(c.serve)
	}
}

// Crash stops the server and resets its connections.
//
// Example: s.Crash()
func (s *Server) Crash() { s.end(true) }

// End stops the server and closes its connections.
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
	s.cancel()
	s.wg.Wait()
}

// Hang makes the server unresponsive: it handles no requests and sends nothing.
//
// Example: s.Hang()
func (s *Server) Hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.unresponsive:
	default:
		close(s.unresponsive)
	}
}

// Drain makes the server report itself as draining while it continues to serve.
//
// Example: s.Drain()
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Entry returns the server's entry for the platform's list.
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

// Busy returns the number of running and queued requests.
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
	s          *Server
	lateAnswer []byte // an extra answer to be sent just before the next one
}

// Write sends bytes. An unresponsive server's bytes are never sent.
//
// Example: c.Write(h.bytes())
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.s.unresponsive:
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

// request is a request with its complete body.
type request struct {
	*http.Request
	body []byte
}

// readRequests reads requests from the connection and sends them to a channel. It calls
// cancel when the connection ends.
func (c *conn) readRequests(cancel context.CancelFunc, requests chan<- request) {
	defer cancel()
	defer close(requests)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		early := req.ContentLength > 0 && req.Header.Get(wire.Attempt) != "" && c.s.faults.take(Early)
		if early && !c.refuse(request{req, nil}, c.recordArrival(request{req, nil}), http.StatusServiceUnavailable, record.Refused, "too long") {
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
		case requests <- request{req, body}:
		case <-c.s.ctx.Done():
			return
		}
	}
}

func (c *conn) serve() {
	s := c.s
	ctx, cancel := context.WithCancel(s.ctx)
	requests := make(chan request)
	s.wg.Go(func() { c.readRequests(cancel, requests) })
	defer func() {
		cancel()
		_ = c.Close()
		for range requests { // drain until the reader stops with the connection
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for req := range requests {
		select {
		case <-s.unresponsive:
			<-ctx.Done()
			return
		default:
		}
		if !c.handle(ctx, req) {
			return
		}
		if s.faults.take(Forget) {
			s.wg.Go(func() { // reset the connection on the next request
				if _, ok := <-requests; ok {
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

// head is the status line and headers of an answer.
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

// head returns the head of an answer. Every answer carries the request's attempt id.
func (c *conn) head(status int, req request) *head {
	h := &head{status: status}
	if id := req.Header.Get(wire.Attempt); id != "" {
		h.add(wire.Attempt, id)
	}
	s := c.s
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
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

// send writes a complete answer with a body of known length and reports whether the
// connection may be reused.
func (c *conn) send(h *head, body string) bool {
	h.add("Content-Length", len(body))
	b := append(h.bytes(), body...)
	if c.lateAnswer != nil {
		b, c.lateAnswer = append(c.lateAnswer, b...), nil
	}
	if _, err := c.Write(b); err != nil {
		return false
	}
	return !strings.Contains(strings.Join(h.lines, "\n"), "Connection: close")
}

// Digest returns a hash by which bodies are compared.
//
// Example: server.Digest(body) == try.Digest
func Digest(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // hash.Hash never returns an error
	return h.Sum64()
}
