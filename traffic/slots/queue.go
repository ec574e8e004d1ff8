package slots

import (
	"sort"
	"time"
)

// Queue is the queue of one service; its user holds the lock.
type Queue struct {
	cfg          Config
	entries      []*Entry // by comesBefore
	lastSequence uint64
	results      []Result // not taken yet

	share              map[string]int // slots that this daemon may use, by server
	shareUntil         time.Duration  // it is valid before then
	inFlight           map[string]int // slots in use, by server
	inFlightByPriority [phases][priorities]int
	failures           map[string]int // calls that failed since the last Report, by server

	slotInterval [phases]time.Duration // smoothed time between two slots
	lastSlotAt   [phases]time.Duration
}

// New makes a queue.
//
// Example: q := slots.New(slots.Config{MaxQueued: 512})
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, share: map[string]int{}, inFlight: map[string]int{}, failures: map[string]int{}}
}

// comesBefore tells whether an entry is to have a slot before another one.
func (e *Entry) comesBefore(other *Entry) bool {
	if e.Priority != other.Priority {
		return e.Priority < other.Priority
	}
	if e.Phase != other.Phase {
		return e.Phase > other.Phase // a decode first: it holds a KV cache
	}
	if e.Deadline != other.Deadline {
		return e.Deadline < other.Deadline
	}
	return e.sequence < other.sequence
}

// TakeResults returns what was decided since it was last called.
//
// Example: for _, result := range q.TakeResults() { send(result) }
func (q *Queue) TakeResults() []Result {
	results := q.results
	q.results = nil
	return results
}

// Enqueue queues a request, or refuses it or a less urgent one; tenantFraction is the
// part of the queue that its tenant may fill. A request that comes again keeps its place.
//
// Example: q.Enqueue(now, entry, 0.5)
func (q *Queue) Enqueue(now time.Duration, e *Entry, tenantFraction float64) {
	if e.sequence == 0 {
		q.lastSequence++
		e.sequence, e.queuedAt = q.lastSequence, now
	}
	ofTenant, ahead := q.countBefore(e)
	if e.Phase == Prefill && float64(ofTenant) >= tenantFraction*float64(q.cfg.MaxQueued) {
		q.refuse(e, "this tenant's part of the queue is full", ahead)
		return
	}
	if now+q.predictedWait(e.Phase, ahead) >= e.Deadline {
		q.refuse(e, "its deadline would pass in the queue", ahead)
		return
	}
	if len(q.entries) >= q.cfg.MaxQueued && !q.displaceFor(e) {
		q.refuse(e, "the queue is full", ahead)
		return
	}
	q.insert(e)
	q.Assign(now)
}

// countBefore counts the tenant's requests in the queue, and those before an entry that
// wait for the same phase.
func (q *Queue) countBefore(e *Entry) (ofTenant, ahead int) {
	for _, other := range q.entries {
		if other.Tenant == e.Tenant {
			ofTenant++
		}
		if other.Phase == e.Phase && other.comesBefore(e) {
			ahead++
		}
	}
	return ofTenant, ahead
}

// predictedWait is how long requests ahead will take slots.
func (q *Queue) predictedWait(phase Phase, ahead int) time.Duration {
	return time.Duration(ahead) * q.slotInterval[phase]
}

// displaceFor refuses the last request of a full queue if another one is more urgent.
func (q *Queue) displaceFor(e *Entry) bool {
	last := q.entries[len(q.entries)-1]
	if !e.comesBefore(last) || last.Priority == e.Priority {
		return false
	}
	q.entries = q.entries[:len(q.entries)-1]
	q.refuse(last, "displaced by a more urgent request", len(q.entries))
	return true
}

// insert puts an entry at its place.
func (q *Queue) insert(e *Entry) {
	i := sort.Search(len(q.entries), func(i int) bool { return e.comesBefore(q.entries[i]) })
	q.entries = append(q.entries, nil)
	copy(q.entries[i+1:], q.entries[i:])
	q.entries[i] = e
}

func (q *Queue) refuse(e *Entry, why string, ahead int) {
	q.results = append(q.results, Result{ID: e.ID, Refused: true, Reason: why, RetryAfter: q.retryAfter(e.Phase, ahead)})
}

// retryAfter is when to come back, by the requests ahead and the time each takes.
func (q *Queue) retryAfter(phase Phase, ahead int) time.Duration {
	return min(max(q.cfg.MinRetryAfter, q.predictedWait(phase, ahead+1)), q.cfg.MaxRetryAfter)
}

// Remove takes a request out that is not to wait any longer.
//
// Example: q.Remove(entry)
func (q *Queue) Remove(e *Entry) {
	for i, other := range q.entries {
		if other == e {
			q.entries = append(q.entries[:i], q.entries[i+1:]...)
			return
		}
	}
}
