package overload

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
)

// Parameters of the simulated engine of a model server.
const (
	queuePerSlot      = 3                       // waiting requests
	cacheTokens       = 276000                  // capacity of the prompt cache
	prefillRate       = 56.9                    // prompt tokens per ms
	tokenLatency      = 3.09                    // ms per token of a single request
	latencyPerRequest = 0.102                   // additional ms per token for each request being decoded
	transferSetup     = 3300 * time.Microsecond // fixed cost of a KV cache transfer
	handshake         = time.Millisecond        // server time for a new connection
)

// job is one call at a server.
type job struct {
	attempt   *attempt
	decision  forward.Decision
	deadline  time.Duration
	abandoned bool // the caller no longer waits
	done      func(forward.Outcome, forward.Handle)
}

// server is one model server.
type server struct {
	sim           *simulation
	key           string
	zone          string
	part          string
	up            bool
	generation    int // incremented when the server stops
	queue         []*job
	prefilling    bool
	decoding      int // requests
	cached        map[uint64]bool
	cacheOrder    []cacheEntry // oldest first
	cachedTokens  int
	idleConns     map[*front]int
	handshakesEnd time.Duration // end of the last handshake; the server does one at a time
}

// cacheEntry is a cached prompt prefix.
type cacheEntry struct {
	key    uint64
	tokens int
}

func (sim *simulation) serverOf(key string) *server {
	return sim.byRecordKey[fleetconfig.ServerRecordKey(service, key)]
}

// stop stops the server without warning and drops its cache.
func (s *server) stop() {
	s.up = false
	s.generation++
	s.sim.recordGeneration++
	for _, j := range s.queue {
		j.done(forward.Lost, forward.Handle{})
	}
	s.queue, s.prefilling, s.decoding, s.cacheOrder, s.cachedTokens = nil, false, 0, nil, 0
	clear(s.cached)
	clear(s.idleConns)
}

// restart starts the server with an empty cache.
func (s *server) restart() {
	s.up = true
	s.sim.recordGeneration++
}

// connect uses an idle connection or opens a new one, and returns the time until the call
// arrives.
func (s *server) connect(f *front) time.Duration {
	if s.idleConns[f] > 0 {
		s.idleConns[f]--
		return networkLatency
	}
	s.sim.result.Dialed++
	s.handshakesEnd = max(s.handshakesEnd, s.sim.now+2*networkLatency) + handshake
	return s.handshakesEnd + networkLatency - s.sim.now
}

// enqueue queues a call or rejects it.
func (s *server) enqueue(j *job) {
	switch {
	case !s.up:
		s.sim.after(networkLatency, func() { j.done(forward.NotSent, forward.Handle{}) })
		return
	case len(s.queue) >= queuePerSlot*s.sim.Slots:
		s.sim.result.Rejected++
		s.sim.after(networkLatency, func() { j.done(forward.Overloaded, forward.Handle{}) })
		return
	}
	index := len(s.queue) // sorted by priority
	for index > 0 && s.queue[index-1].decision.Priority > j.decision.Priority {
		index--
	}
	s.queue = slices.Insert(s.queue, index, j)
	s.schedule()
}

// schedule starts the queued calls that can start.
func (s *server) schedule() {
	for len(s.queue) > 0 {
		j := s.queue[0]
		if j.abandoned || s.sim.now >= j.deadline {
			s.queue = s.queue[1:]
			continue
		}
		switch {
		case j.decision.Action == forward.Prefill || j.decision.Handle == nil: // the prompt is prefilled on this server
			if s.prefilling || j.decision.Action == forward.Decode && s.decoding >= s.sim.Slots {
				return
			}
			s.queue = s.queue[1:]
			s.prefill(j)
		default:
			if s.decoding >= s.sim.Slots {
				return
			}
			s.queue = s.queue[1:]
			s.decoding++
			s.cachePrompt(j)
			transferTime := transferSetup + time.Duration(j.attempt.call.InputTokens)*18432*8/550000*time.Nanosecond
			s.afterIfUp(transferTime, func() { s.decode(j) })
		}
	}
}

// afterIfUp calls do after d unless the server has stopped by then, which loses the call.
func (s *server) afterIfUp(d time.Duration, do func()) {
	generation := s.generation
	s.sim.after(d, func() {
		if s.generation == generation {
			do()
		}
	})
}

// prefill processes the uncached part of a prompt.
func (s *server) prefill(j *job) {
	tokens, speed := s.uncachedTokens(j), prefillRate
	if s.part == placement.Decode {
		speed /= 2
	}
	s.prefilling = true
	j.attempt.prefilledTokens += tokens
	s.sim.result.PrefilledTokens += tokens
	generation := s.generation
	s.sim.after(time.Duration(float64(tokens)/speed*float64(time.Millisecond)), func() {
		if s.generation != generation {
			j.done(forward.Lost, forward.Handle{})
			return
		}
		s.prefilling = false
		s.cachePrompt(j)
		if j.decision.Action == forward.Prefill {
			h := forward.Handle{ID: fmt.Sprint(j.attempt.call.ID, "-", j.decision.Attempt), RequestID: j.attempt.call.ID, Attempt: j.decision.Attempt, Server: j.decision.Server, Tokens: j.attempt.call.InputTokens}
			s.sim.after(networkLatency, func() { j.done(forward.OK, h) })
		} else {
			s.decoding++
			s.decode(j)
		}
		s.schedule()
	})
}

// decode streams an answer in events.
func (s *server) decode(j *job) {
	s.streamEvent(j, max(1, (j.attempt.call.MaxOutputTokens+s.sim.TokensPerEvent-1)/s.sim.TokensPerEvent), s.sim.now)
}

// streamEvent sends the next event after its latency, until none is left.
func (s *server) streamEvent(j *job, left int, last time.Duration) {
	if j.abandoned || left == 0 {
		s.decoding--
		if left == 0 {
			s.sim.after(networkLatency, func() { j.done(forward.OK, forward.Handle{}) })
		}
		s.schedule()
		return
	}
	perToken := tokenLatency + latencyPerRequest*float64(s.decoding)
	gap := time.Duration(float64(s.sim.TokensPerEvent) * perToken * float64(time.Millisecond))
	generation := s.generation
	s.sim.after(gap, func() {
		if s.generation != generation {
			j.done(forward.Lost, forward.Handle{})
			return
		}
		now := s.sim.now
		if t := j.attempt; !j.abandoned && !t.ended {
			if !t.streaming {
				t.streaming = true
				t.front.dispatcher.StreamStarted(now, t.call.ID)
				s.sim.after(2*networkLatency, t.onFirstEvent)
			} else {
				t.front.dispatcher.EventSent(t.call.ID, now-last)
			}
		}
		s.streamEvent(j, left-1, now)
	})
}

// uncachedTokens returns the number of prompt tokens that are not cached.
func (s *server) uncachedTokens(j *job) (n int) {
	all := true
	for i, p := range j.attempt.call.Parts {
		all = all && s.cached[prefixHash(j.attempt.call.Parts[:i+1])]
		if !all {
			n += p.Tokens
		}
	}
	return n
}

// cachePrompt caches all prefixes of a prompt and evicts the oldest entries.
func (s *server) cachePrompt(j *job) {
	for i, p := range j.attempt.call.Parts {
		key := prefixHash(j.attempt.call.Parts[:i+1])
		if s.cached[key] {
			continue
		}
		s.cached[key] = true
		s.cacheOrder = append(s.cacheOrder, cacheEntry{key, p.Tokens})
		s.cachedTokens += p.Tokens
	}
	for s.cachedTokens > cacheTokens {
		s.cachedTokens -= s.cacheOrder[0].tokens
		delete(s.cached, s.cacheOrder[0].key)
		s.cacheOrder = s.cacheOrder[1:]
	}
}

// prefixHash identifies a prompt prefix.
func prefixHash(parts []forward.Part) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%x/", p.Key)
	}
	return h.Sum64()
}
