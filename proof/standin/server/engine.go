package server

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/standin/wire"
)

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// parse reads ID:TOKENS,...
func parse(s string) (out []part) {
	for f := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(f, ":")
		if tokens, err := strconv.Atoi(n); ok && err == nil {
			out = append(out, part{id, tokens})
		}
	}
	return out
}

// held is a handle: memory that nobody else may use until it is taken.
type held struct {
	forTry string // the attempt that it was read for
	tokens int
	parts  []part
	until  time.Time
}

// kept is a part in memory; it stands under the key of all parts up to it.
type kept struct {
	tokens int
	used   int
}

// engine is a server's slots and memory: a simple model of them.
type engine struct {
	mu      sync.Mutex
	slots   chan struct{}
	reader  chan struct{} // one prompt is read at a time
	running int
	queued  int
	handles map[string]held
	parts   map[uint64]*kept
	clock   int // orders uses of parts
	serial  int
}

func newEngine(c Config) engine {
	return engine{slots: make(chan struct{}, max(1, c.Slots)), reader: make(chan struct{}, 1), handles: map[string]held{}, parts: map[uint64]*kept{}}
}

func keys(parts []part) (out []uint64) {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p.id + ":" + strconv.Itoa(p.tokens) + ","))
		out = append(out, h.Sum64())
	}
	return out
}

// unread counts the tokens that are to be read: a part that is kept is not read
// again when all before it are kept as well.
func (e *engine) unread(parts []part) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := false
	for i, k := range keys(parts) {
		if p := e.parts[k]; p != nil && !missing {
			e.clock++
			p.used = e.clock
			continue
		}
		missing = true
		n += parts[i].tokens
	}
	return n
}

// keep holds a prompt's parts; the longest unused give way.
func (e *engine) keep(parts []part, memory int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, k := range keys(parts) {
		e.clock++
		e.parts[k] = &kept{parts[i].tokens, e.clock}
	}
	for {
		sum, oldest := 0, uint64(0)
		for k, p := range e.parts {
			if sum += p.tokens; oldest == 0 || p.used < e.parts[oldest].used {
				oldest = k
			}
		}
		if memory == 0 || sum <= memory || len(e.parts) <= 1 {
			return
		}
		delete(e.parts, oldest)
	}
}

// pause lets time pass; it says false if the context ended before.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// enter waits for a place; more than a few that wait are turned away.
func (s *Server) enter(ctx context.Context, place chan struct{}) (leave func(), ok bool) {
	e := &s.engine
	e.mu.Lock()
	if e.queued >= s.Queue {
		select {
		case place <- struct{}{}:
			e.running++
			e.mu.Unlock()
			return func() { s.leave(place) }, true
		default:
			e.mu.Unlock()
			return nil, false
		}
	}
	e.queued++
	e.mu.Unlock()
	select {
	case place <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	if !ok {
		return nil, false
	}
	e.running++
	return func() { s.leave(place) }, true
}

func (s *Server) leave(place chan struct{}) {
	<-place
	s.engine.mu.Lock()
	s.running--
	s.engine.mu.Unlock()
}

// hold makes a handle.
func (s *Server) hold(forTry string, parts []part, tokens int) string {
	lapse := s.Hold
	if s.faults.take(Lapse) {
		lapse = 0
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.serial++
	id := fmt.Sprintf("%s-%d", strings.TrimPrefix(s.ID, "i-"), s.serial)
	s.handles[id] = held{forTry, tokens, parts, time.Now().Add(lapse)}
	return id
}

// grab takes a handle; each can be taken once.
func (s *Server) grab(id string) (held, bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	h, ok := s.handles[id]
	delete(s.handles, id)
	return h, ok && time.Now().Before(h.until)
}

// Handles counts what is held and has not lapsed.
//
// Example: for s.Handles() > 0 { wait() }
func (s *Server) Handles() (n int) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for id, h := range s.handles {
		if time.Now().After(h.until) {
			delete(s.handles, id)
			continue
		}
		n++
	}
	return n
}

func (s *Server) report() wire.Report {
	e, handles := s.Entry(), s.Handles()
	s.mu.Lock()
	busy, calls := s.orders.busy, s.orders.calls
	s.mu.Unlock()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	used := 0
	for _, h := range s.handles {
		used += h.tokens
	}
	return wire.Report{Phase: e.Phase, Models: e.Models, Busy: busy, Calls: calls, Queued: s.queued, Running: s.running, Used: used, Total: s.Memory, Handles: handles}
}
