package overload

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
)

// The engine of a model server.
const (
	slots     = 64
	waiting   = 3 * slots               // requests that it lets wait
	memory    = 276000                  // tokens that it can keep
	pace      = 56.9                    // prompt tokens read in a ms
	step      = 3.09                    // ms a token, alone
	stepMore  = 0.102                   // ms more for each other one that is written
	stride    = 14                      // tokens in an event
	setup     = 3300 * time.Microsecond // of a move of memory
	handshake = time.Millisecond        // of the server for a new connection
)

// job is one call at a server.
type job struct {
	try  *try
	move forward.Decision
	due  time.Duration
	cut  bool // nobody waits for it any more
	done func(forward.Outcome, forward.Handle)
}

// server is one model server.
type server struct {
	w       *world
	key     string
	zone    string
	part    string
	up      bool
	life    int
	queue   []*job
	reading bool // a prompt is being read
	writing int
	kept    map[uint64]bool
	order   []keep
	held    int            // tokens kept
	idle    map[*front]int // connections that rest
	dialled time.Duration  // until when new connections come up, one after another
}

type keep struct {
	key    uint64
	tokens int
}

func (w *world) serverOf(key string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.key == key })]
}

// leave takes a server away at once, comeBack brings it back with nothing kept.
func (s *server) leave() {
	s.up = false
	s.life++
	s.w.gen++
	for _, j := range s.queue {
		j.done(forward.Lost, forward.Handle{})
	}
	s.queue, s.reading, s.writing, s.order, s.held = nil, false, 0, nil, 0
	clear(s.kept)
	clear(s.idle)
}

func (s *server) comeBack() {
	s.up = true
	s.w.gen++
}

// connect takes a connection that rests, or makes a new one; it tells when the call
// is there.
func (s *server) connect(f *front) time.Duration {
	if s.idle[f] > 0 {
		s.idle[f]--
		return hop
	}
	s.w.result.Dialled++
	s.dialled = max(s.dialled, s.w.now+2*hop) + handshake
	return s.dialled + hop - s.w.now
}

// take has a call wait for its turn, or turns it away.
func (s *server) take(j *job) {
	switch {
	case !s.up:
		s.w.after(hop, func() { j.done(forward.NotSent, forward.Handle{}) })
		return
	case len(s.queue) >= waiting:
		s.w.result.Turned++
		s.w.after(hop, func() { j.done(forward.Overloaded, forward.Handle{}) })
		return
	}
	at := len(s.queue) // the more urgent go first
	for at > 0 && s.queue[at-1].move.Priority > j.move.Priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
	s.turn()
}

// turn begins what can be begun.
func (s *server) turn() {
	for len(s.queue) > 0 {
		j := s.queue[0]
		if j.cut || s.w.now >= j.due {
			s.queue = s.queue[1:]
			continue
		}
		switch {
		case j.move.Action == forward.Prefill || j.move.Handle == nil: // its prompt is read here
			if s.reading || j.move.Action == forward.Decode && s.writing >= slots {
				return
			}
			s.queue = s.queue[1:]
			s.read(j)
		default:
			if s.writing >= slots {
				return
			}
			s.queue = s.queue[1:]
			s.writing++
			s.keepAll(j)
			moved := setup + time.Duration(j.try.call.InputTokens)*18432*8/550000*time.Nanosecond
			s.later(moved, func() { s.write(j) })
		}
	}
}

// later runs something unless the server has gone meanwhile; then the call is lost.
func (s *server) later(d time.Duration, do func()) {
	life := s.life
	s.w.after(d, func() {
		if s.life == life {
			do()
		}
	})
}

// read reads a prompt, what it keeps of it left out.
func (s *server) read(j *job) {
	tokens, speed := s.unread(j), pace
	if s.part == placement.Decode {
		speed /= 2
	}
	s.reading = true
	j.try.reads += tokens
	s.w.result.Read += tokens
	life := s.life
	s.w.after(time.Duration(float64(tokens)/speed*float64(time.Millisecond)), func() {
		if s.life != life {
			j.done(forward.Lost, forward.Handle{})
			return
		}
		s.reading = false
		s.keepAll(j)
		if j.move.Action == forward.Prefill {
			h := forward.Handle{ID: fmt.Sprint(j.try.call.ID, "-", j.move.Attempt), RequestID: j.try.call.ID, Attempt: j.move.Attempt, Server: j.move.Server, Tokens: j.try.call.InputTokens}
			s.w.after(hop, func() { j.done(forward.OK, h) })
		} else {
			s.writing++
			s.write(j)
		}
		s.turn()
	})
}

// write streams an answer, an event at a time.
func (s *server) write(j *job) {
	s.event(j, max(1, (j.try.call.MaxOutputTokens+stride-1)/stride), s.w.now)
}

func (s *server) event(j *job, left int, last time.Duration) {
	if j.cut || left == 0 {
		s.writing--
		if left == 0 {
			s.w.after(hop, func() { j.done(forward.OK, forward.Handle{}) })
		}
		s.turn()
		return
	}
	gap := time.Duration(stride * (step + stepMore*float64(s.writing)) * float64(time.Millisecond))
	life := s.life
	s.w.after(gap, func() {
		if s.life != life {
			j.done(forward.Lost, forward.Handle{})
			return
		}
		now := s.w.now
		if t := j.try; !j.cut && !t.over {
			if !t.began {
				t.began = true
				t.f.lane.StreamStarted(now, t.call.ID)
				s.w.after(2*hop, t.first)
			} else {
				t.f.lane.EventSent(t.call.ID, now-last)
			}
		}
		s.event(j, left-1, now)
	})
}

// unread is the length of the prompt that isn't kept here.
func (s *server) unread(j *job) (n int) {
	all := true
	for i, p := range j.try.call.Parts {
		all = all && s.kept[prefix(j.try.call.Parts[:i+1])]
		if !all {
			n += p.Tokens
		}
	}
	return n
}

func (s *server) keepAll(j *job) {
	for i, p := range j.try.call.Parts {
		key := prefix(j.try.call.Parts[:i+1])
		if s.kept[key] {
			continue
		}
		s.kept[key] = true
		s.order = append(s.order, keep{key, p.Tokens})
		s.held += p.Tokens
	}
	for s.held > memory {
		s.held -= s.order[0].tokens
		delete(s.kept, s.order[0].key)
		s.order = s.order[1:]
	}
}

func prefix(parts []forward.Part) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%x/", p.Key)
	}
	return h.Sum64()
}
