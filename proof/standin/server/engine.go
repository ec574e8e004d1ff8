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

// promptPart is one part of a prompt.
type promptPart struct {
	id     string
	tokens int
}

// parseParts parses a list of prompt parts of the form ID:TOKENS,...
func parseParts(s string) (out []promptPart) {
	for f := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(f, ":")
		if tokens, err := strconv.Atoi(n); ok && err == nil {
			out = append(out, promptPart{id, tokens})
		}
	}
	return out
}

// promptHandle is a handle to the KV cache of a prefilled prompt, whose memory is
// reserved until the handle is taken or expires.
type promptHandle struct {
	attemptID string // id of the attempt for which the prompt was prefilled
	tokens    int
	parts     []promptPart
	expires   time.Time
}

// cachedPart is a prompt part in the cache, stored under the hash of all parts up to and
// including it.
type cachedPart struct {
	tokens   int
	lastUsed int
}

// engine is a simple model of a server's slots and memory.
type engine struct {
	mu          sync.Mutex
	slots       chan struct{}
	prefillSlot chan struct{} // holds one token: one prompt is prefilled at a time
	running     int
	queued      int
	handles     map[string]promptHandle
	parts       map[uint64]*cachedPart
	clock       int // logical clock for the order in which parts were used
	serial      int
}

func newEngine(c Config) engine {
	return engine{slots: make(chan struct{}, max(1, c.Slots)), prefillSlot: make(chan struct{}, 1), handles: map[string]promptHandle{}, parts: map[uint64]*cachedPart{}}
}

func prefixHashes(parts []promptPart) (out []uint64) {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p.id + ":" + strconv.Itoa(p.tokens) + ","))
		out = append(out, h.Sum64())
	}
	return out
}

// uncachedTokens returns the number of tokens to prefill. A cached part need not be
// prefilled again if all parts before it are cached too.
func (e *engine) uncachedTokens(parts []promptPart) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := false
	for i, k := range prefixHashes(parts) {
		if p := e.parts[k]; p != nil && !missing {
			e.clock++
			p.lastUsed = e.clock
			continue
		}
		missing = true
		n += parts[i].tokens
	}
	return n
}

// cacheParts caches a prompt's parts and evicts the least recently used ones.
func (e *engine) cacheParts(parts []promptPart, memory int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, k := range prefixHashes(parts) {
		e.clock++
		e.parts[k] = &cachedPart{parts[i].tokens, e.clock}
	}
	for {
		sum, oldest := 0, uint64(0)
		for k, p := range e.parts {
			if sum += p.tokens; oldest == 0 || p.lastUsed < e.parts[oldest].lastUsed {
				oldest = k
			}
		}
		if memory == 0 || sum <= memory || len(e.parts) <= 1 {
			return
		}
		delete(e.parts, oldest)
	}
}

// sleep waits for d. It reports false if the context was canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
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

// acquire waits for a free slot and returns a function that releases it. It reports
// false if the queue is full or the context was canceled first.
func (s *Server) acquire(ctx context.Context, slot chan struct{}) (release func(), ok bool) {
	e := &s.engine
	e.mu.Lock()
	if e.queued >= s.Queue {
		select {
		case slot <- struct{}{}:
			e.running++
			e.mu.Unlock()
			return func() { s.release(slot) }, true
		default:
			e.mu.Unlock()
			return nil, false
		}
	}
	e.queued++
	e.mu.Unlock()
	select {
	case slot <- struct{}{}:
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
	return func() { s.release(slot) }, true
}

func (s *Server) release(slot chan struct{}) {
	<-slot
	s.engine.mu.Lock()
	s.running--
	s.engine.mu.Unlock()
}

// createHandle creates a handle for a prefilled prompt and returns its id.
func (s *Server) createHandle(attemptID string, parts []promptPart, tokens int) string {
	ttl := s.Hold
	if s.faults.take(Lapse) {
		ttl = 0
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.serial++
	id := fmt.Sprintf("%s-%d", strings.TrimPrefix(s.ID, "i-"), s.serial)
	s.handles[id] = promptHandle{attemptID, tokens, parts, time.Now().Add(ttl)}
	return id
}

// takeHandle removes and returns a handle, so each can be taken only once. It reports
// false if there is none or it has expired.
func (s *Server) takeHandle(id string) (promptHandle, bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	h, ok := s.handles[id]
	delete(s.handles, id)
	return h, ok && time.Now().Before(h.expires)
}

// Handles returns the number of handles that have not been taken and have not expired.
//
// Example: for s.Handles() > 0 { wait() }
func (s *Server) Handles() (n int) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for id, h := range s.handles {
		if time.Now().After(h.expires) {
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
	busy, calls := s.orderState.busy, s.orderState.calls
	s.mu.Unlock()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	used := 0
	for _, h := range s.handles {
		used += h.tokens
	}
	return wire.Report{Phase: e.Phase, Models: e.Models, Busy: busy, Calls: calls, Queued: s.queued, Running: s.running, Used: used, Total: s.Memory, Handles: handles}
}
