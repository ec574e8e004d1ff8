// Package slots is a daemon's queue for one service: requests wait for a slot
// on a prefill server or a decode server, the urgent first, and take one only under the shares
// that the leader gave this daemon.
package slots

import (
	"sort"
	"time"
)

// Phase is what a request waits for.
type Phase uint8

// The sides.
const (
	Prefill Phase = iota
	Decode
)

// Entry is one request in the queue.
type Entry struct {
	ID              string
	Phase           Phase
	Priority        int
	Tenant          string
	Deadline        time.Duration // its deadline
	Pick            func(free []string) string
	PreferredServer string // the server it hopes for

	sequence uint64
	queuedAt time.Duration
}

// Result is a slot, or the word that there will be none.
type Result struct {
	ID         string
	Addr       string
	Refused    bool
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Config bounds a queue.
type Config struct {
	MaxQueued     int           // requests in the queue
	MinRetryAfter time.Duration // least time to come back after
	MaxRetryAfter time.Duration
}

// Queue is the state; its user holds the lock.
type Queue struct {
	cfg                Config
	entries            []*Entry
	results            []Result // decided and not yet fetched
	lastSequence       uint64
	share              map[string]int
	shareUntil         time.Duration
	inFlight           map[string]int
	inFlightByPriority map[Phase][10]int // in flight by priority
	failures           map[string]int
	slotInterval       [2]time.Duration // smoothed time between slots given
	lastSlotAt         [2]time.Duration
}

// New makes a queue.
//
// Example: q := slots.New(slots.Config{Most: 512})
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, share: map[string]int{}, inFlight: map[string]int{}, inFlightByPriority: map[Phase][10]int{}, failures: map[string]int{}}
}

func less(a, b *Entry) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Phase != b.Phase {
		return a.Phase > b.Phase // work that holds a handle first
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

// TakeResults fetches what was decided since it was last asked.
//
// Example: for _, k := range q.TakeResults() { send(k) }
func (q *Queue) TakeResults() []Result {
	out := q.results
	q.results = nil
	return out
}

// Enqueue queues a request, or refuses it or a less urgent one. One that comes
// again keeps its place.
//
// Example: q.Enqueue(now, w, 0.5)
func (q *Queue) Enqueue(now time.Duration, w *Entry, part float64) {
	if w.sequence == 0 {
		q.lastSequence++
		w.sequence, w.queuedAt = q.lastSequence, now
	}
	same, ahead := 0, 0
	for _, o := range q.entries {
		if o.Tenant == w.Tenant {
			same++
		}
		if o.Phase == w.Phase && less(o, w) {
			ahead++
		}
	}
	if w.Phase == Prefill && float64(same) >= part*float64(q.cfg.MaxQueued) {
		q.refuse(w, "this tenant's part of the queue is full", ahead)
		return
	}
	if est := time.Duration(ahead) * q.slotInterval[w.Phase]; now+est >= w.Deadline {
		q.refuse(w, "its deadline would pass in the queue", ahead)
		return
	}
	if len(q.entries) >= q.cfg.MaxQueued {
		worst := q.entries[len(q.entries)-1]
		if !less(w, worst) || worst.Priority == w.Priority {
			q.refuse(w, "the queue is full", ahead)
			return
		}
		q.entries = q.entries[:len(q.entries)-1]
		q.refuse(worst, "displaced by a more urgent request", len(q.entries))
	}
	at := sort.Search(len(q.entries), func(i int) bool { return less(w, q.entries[i]) })
	q.entries = append(q.entries, nil)
	copy(q.entries[at+1:], q.entries[at:])
	q.entries[at] = w
	q.Assign(now)
}

func (q *Queue) refuse(w *Entry, why string, ahead int) {
	q.results = append(q.results, Result{ID: w.ID, Refused: true, Reason: why, RetryAfter: q.retryAfter(w.Phase, ahead)})
}

// retryAfter is when to come back, from the queue and its pace.
//
// Example: wait := q.retryAfter(slots.Read, 12)
func (q *Queue) retryAfter(s Phase, ahead int) time.Duration {
	return min(max(q.cfg.MinRetryAfter, time.Duration(ahead+1)*q.slotInterval[s]), q.cfg.MaxRetryAfter)
}

// Remove takes a request out whose client went away.
//
// Example: q.Remove(w)
func (q *Queue) Remove(w *Entry) {
	for i, o := range q.entries {
		if o == w {
			q.entries = append(q.entries[:i], q.entries[i+1:]...)
			return
		}
	}
}

// Assign gives out the free slots in order and refuses what ran out of time.
//
// Example: q.Assign(now)
func (q *Queue) Assign(now time.Duration) {
	rest := q.entries[:0]
	var late []*Entry
	var ahead [2]int
	var free []string
	if now < q.shareUntil {
		for a, n := range q.share {
			if q.inFlight[a] < n {
				free = append(free, a)
			}
		}
		sort.Strings(free)
	}
	for _, w := range q.entries {
		// Given up on now, not near the deadline: once the queue ahead
		// can't be through in time, or half of the time went by waiting.
		if est := time.Duration(ahead[w.Phase]) * q.slotInterval[w.Phase]; now+est >= w.Deadline || now-w.queuedAt > (w.Deadline-w.queuedAt)/2 {
			late = append(late, w)
			continue
		}
		addr := ""
		if len(free) > 0 {
			addr = w.Pick(free)
		}
		if addr == "" {
			ahead[w.Phase]++
			rest = append(rest, w)
			continue
		}
		q.occupy(now, w, addr)
		if q.inFlight[addr] >= q.share[addr] {
			for i, a := range free {
				if a == addr {
					free = append(free[:i:i], free[i+1:]...)
					break
				}
			}
		}
	}
	for i := len(rest); i < len(q.entries); i++ {
		q.entries[i] = nil
	}
	q.entries = rest
	for _, w := range late {
		q.refuse(w, "its deadline would pass in the queue", len(rest))
	}
}

func (q *Queue) occupy(now time.Duration, w *Entry, addr string) {
	q.inFlight[addr]++
	p := q.inFlightByPriority[w.Phase]
	p[w.Priority]++
	q.inFlightByPriority[w.Phase] = p
	// The pace counts only while something waited: idle time isn't slowness.
	if w.queuedAt < now || len(q.entries) > 1 {
		gap := now - max(q.lastSlotAt[w.Phase], w.queuedAt)
		q.slotInterval[w.Phase] += (gap - q.slotInterval[w.Phase]) / 8
	} else {
		q.slotInterval[w.Phase] -= q.slotInterval[w.Phase] / 8
	}
	q.lastSlotAt[w.Phase] = now
	q.results = append(q.results, Result{ID: w.ID, Addr: addr})
}

// Release gives a slot back.
//
// Example: q.Release(now, slots.Make, prio, addr, false)
func (q *Queue) Release(now time.Duration, s Phase, prio int, addr string, failed bool) {
	if q.inFlight[addr]--; q.inFlight[addr] <= 0 {
		delete(q.inFlight, addr)
	}
	p := q.inFlightByPriority[s]
	p[prio]--
	q.inFlightByPriority[s] = p
	if failed {
		q.failures[addr]++
	}
	q.Assign(now)
}

// SetShare takes a new share, valid until till.
//
// Example: q.SetShare(now, map[string]int{addr: 3}, now+left)
func (q *Queue) SetShare(now time.Duration, share map[string]int, till time.Duration) {
	q.share, q.shareUntil = share, till
	q.Assign(now)
}

// HasValidShare tells whether the share stands; asked again just before a byte goes out.
//
// Example: if !q.HasValidShare(now) { giveBack() }
func (q *Queue) HasValidShare(now time.Duration) bool { return now < q.shareUntil }

// Report is what the leader wants to know.
type Report struct {
	Prefill, Decode  [10]int
	InFlight         map[string]int
	Failures         map[string]int
	PreferredServers map[string]int
	Waiting          int
	Share            map[string]int
	SlotInterval     [2]time.Duration
}

// Report counts what waits and what is in flight; the failures are told once.
//
// Example: r := q.Report()
func (q *Queue) Report() Report {
	r := q.Snapshot()
	q.failures = map[string]int{}
	return r
}

// Snapshot is a Report that leaves everything as it is.
//
// Example: q.Snapshot().Waiting
func (q *Queue) Snapshot() Report {
	r := Report{Prefill: q.inFlightByPriority[Prefill], Decode: q.inFlightByPriority[Decode], InFlight: map[string]int{}, Failures: q.failures, PreferredServers: map[string]int{}, Waiting: len(q.entries), Share: q.share, SlotInterval: q.slotInterval}
	for a, n := range q.inFlight {
		r.InFlight[a] = n
	}
	for _, w := range q.entries {
		if w.Phase == Prefill {
			r.Prefill[w.Priority]++
			if w.PreferredServer != "" {
				r.PreferredServers[w.PreferredServer]++
			}
		} else {
			r.Decode[w.Priority]++
		}
	}
	return r
}
