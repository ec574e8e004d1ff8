// Package slots is a daemon's queue for one service: requests wait for a slot
// on a prefill server or a decode server, the urgent first, and take one only under the shares
// that the leader gave this daemon.
package slots

import (
	"sort"
	"time"
)

// Side is what a request waits for.
type Side uint8

// The sides.
const (
	Read Side = iota
	Make
)

// Wait is one request in the queue.
type Wait struct {
	ID     string
	Side   Side
	Prio   int
	Tenant string
	Due    time.Duration // its deadline
	Pick   func(free []string) string
	Like   string // the server it hopes for

	no uint64
	at time.Duration
}

// Ticket is a slot, or the word that there will be none.
type Ticket struct {
	ID      string
	Addr    string
	Refused bool
	Why     string
	After   time.Duration // when to come back
}

// Config bounds a queue.
type Config struct {
	Most  int           // requests in the queue
	Floor time.Duration // least time to come back after
	Ceil  time.Duration
}

// Queue is the state; its user holds the lock.
type Queue struct {
	cfg   Config
	list  []*Wait
	out   []Ticket // decided and not yet fetched
	no    uint64
	share map[string]int
	till  time.Duration
	held  map[string]int
	prios map[Side][10]int // in flight by priority
	fails map[string]int
	pace  [2]time.Duration // smoothed time between slots given
	last  [2]time.Duration
}

// New makes a queue.
//
// Example: q := slots.New(slots.Config{Most: 512})
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, share: map[string]int{}, held: map[string]int{}, prios: map[Side][10]int{}, fails: map[string]int{}}
}

func less(a, b *Wait) bool {
	if a.Prio != b.Prio {
		return a.Prio < b.Prio
	}
	if a.Side != b.Side {
		return a.Side > b.Side // work that holds a handle first
	}
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.no < b.no
}

// Tickets fetches what was decided since it was last asked.
//
// Example: for _, k := range q.Tickets() { send(k) }
func (q *Queue) Tickets() []Ticket {
	out := q.out
	q.out = nil
	return out
}

// Put queues a request, or refuses it or a less urgent one. One that comes
// again keeps its place.
//
// Example: q.Put(now, w, 0.5)
func (q *Queue) Put(now time.Duration, w *Wait, part float64) {
	if w.no == 0 {
		q.no++
		w.no, w.at = q.no, now
	}
	same, ahead := 0, 0
	for _, o := range q.list {
		if o.Tenant == w.Tenant {
			same++
		}
		if o.Side == w.Side && less(o, w) {
			ahead++
		}
	}
	if w.Side == Read && float64(same) >= part*float64(q.cfg.Most) {
		q.refuse(w, "this tenant's part of the queue is full", ahead)
		return
	}
	if est := time.Duration(ahead) * q.pace[w.Side]; now+est >= w.Due {
		q.refuse(w, "its deadline would pass in the queue", ahead)
		return
	}
	if len(q.list) >= q.cfg.Most {
		worst := q.list[len(q.list)-1]
		if !less(w, worst) || worst.Prio == w.Prio {
			q.refuse(w, "the queue is full", ahead)
			return
		}
		q.list = q.list[:len(q.list)-1]
		q.refuse(worst, "displaced by a more urgent request", len(q.list))
	}
	at := sort.Search(len(q.list), func(i int) bool { return less(w, q.list[i]) })
	q.list = append(q.list, nil)
	copy(q.list[at+1:], q.list[at:])
	q.list[at] = w
	q.Turn(now)
}

func (q *Queue) refuse(w *Wait, why string, ahead int) {
	q.out = append(q.out, Ticket{ID: w.ID, Refused: true, Why: why, After: q.After(w.Side, ahead)})
}

// After is when to come back, from the queue and its pace.
//
// Example: wait := q.After(slots.Read, 12)
func (q *Queue) After(s Side, ahead int) time.Duration {
	return min(max(q.cfg.Floor, time.Duration(ahead+1)*q.pace[s]), q.cfg.Ceil)
}

// Drop takes a request out whose client went away.
//
// Example: q.Drop(w)
func (q *Queue) Drop(w *Wait) {
	for i, o := range q.list {
		if o == w {
			q.list = append(q.list[:i], q.list[i+1:]...)
			return
		}
	}
}

// Turn gives out the free slots in order and refuses what ran out of time.
//
// Example: q.Turn(now)
func (q *Queue) Turn(now time.Duration) {
	rest := q.list[:0]
	var late []*Wait
	var ahead [2]int
	var free []string
	if now < q.till {
		for a, n := range q.share {
			if q.held[a] < n {
				free = append(free, a)
			}
		}
		sort.Strings(free)
	}
	for _, w := range q.list {
		// Given up on now, not near the deadline: once the queue ahead
		// can't be through in time, or half of the time went by waiting.
		if est := time.Duration(ahead[w.Side]) * q.pace[w.Side]; now+est >= w.Due || now-w.at > (w.Due-w.at)/2 {
			late = append(late, w)
			continue
		}
		addr := ""
		if len(free) > 0 {
			addr = w.Pick(free)
		}
		if addr == "" {
			ahead[w.Side]++
			rest = append(rest, w)
			continue
		}
		q.take(now, w, addr)
		if q.held[addr] >= q.share[addr] {
			for i, a := range free {
				if a == addr {
					free = append(free[:i:i], free[i+1:]...)
					break
				}
			}
		}
	}
	for i := len(rest); i < len(q.list); i++ {
		q.list[i] = nil
	}
	q.list = rest
	for _, w := range late {
		q.refuse(w, "its deadline would pass in the queue", len(rest))
	}
}

func (q *Queue) take(now time.Duration, w *Wait, addr string) {
	q.held[addr]++
	p := q.prios[w.Side]
	p[w.Prio]++
	q.prios[w.Side] = p
	// The pace counts only while something waited: idle time isn't slowness.
	if w.at < now || len(q.list) > 1 {
		gap := now - max(q.last[w.Side], w.at)
		q.pace[w.Side] += (gap - q.pace[w.Side]) / 8
	} else {
		q.pace[w.Side] -= q.pace[w.Side] / 8
	}
	q.last[w.Side] = now
	q.out = append(q.out, Ticket{ID: w.ID, Addr: addr})
}

// Done gives a slot back.
//
// Example: q.Done(now, slots.Make, prio, addr, false)
func (q *Queue) Done(now time.Duration, s Side, prio int, addr string, failed bool) {
	if q.held[addr]--; q.held[addr] <= 0 {
		delete(q.held, addr)
	}
	p := q.prios[s]
	p[prio]--
	q.prios[s] = p
	if failed {
		q.fails[addr]++
	}
	q.Turn(now)
}

// Share takes a new share, valid until till.
//
// Example: q.Share(now, map[string]int{addr: 3}, now+left)
func (q *Queue) Share(now time.Duration, share map[string]int, till time.Duration) {
	q.share, q.till = share, till
	q.Turn(now)
}

// Valid tells whether the share stands; asked again just before a byte goes out.
//
// Example: if !q.Valid(now) { giveBack() }
func (q *Queue) Valid(now time.Duration) bool { return now < q.till }

// Report is what the leader wants to know.
type Report struct {
	Read, Make [10]int
	Held       map[string]int
	Fails      map[string]int
	Like       map[string]int
	Waiting    int
	Share      map[string]int
	Pace       [2]time.Duration
}

// Report counts what waits and what is in flight; the failures are told once.
//
// Example: r := q.Report()
func (q *Queue) Report() Report {
	r := q.Peek()
	q.fails = map[string]int{}
	return r
}

// Peek is a Report that leaves everything as it is.
//
// Example: q.Peek().Waiting
func (q *Queue) Peek() Report {
	r := Report{Read: q.prios[Read], Make: q.prios[Make], Held: map[string]int{}, Fails: q.fails, Like: map[string]int{}, Waiting: len(q.list), Share: q.share, Pace: q.pace}
	for a, n := range q.held {
		r.Held[a] = n
	}
	for _, w := range q.list {
		if w.Side == Read {
			r.Read[w.Prio]++
			if w.Like != "" {
				r.Like[w.Like]++
			}
		} else {
			r.Make[w.Prio]++
		}
	}
	return r
}
