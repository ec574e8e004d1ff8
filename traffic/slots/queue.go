package slots

import (
	"sort"
	"time"
)

// Queue is the queue of one service. It is not safe for concurrent use: callers
// must hold a lock.
type Queue struct {
	cfg          Config
	entries      []*Entry // ordered by comesBefore
	lastSequence uint64
	results      []Result // not yet returned by TakeResults

	share              map[string]int // slots that this daemon may use, by server address
	shareUntil         time.Duration  // when the share expires
	inFlight           map[string]int // slots in use, by server address
	inFlightByPriority [phases][priorities]int
	failures           map[string]int // failed calls since the last Report, by server address

	slotInterval [phases]time.Duration // moving average of the time between two assigned slots
	lastSlotAt   [phases]time.Duration
}

// New returns an empty queue.
//
// Example: q := slots.New(slots.Config{MaxQueued: 512})
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, share: map[string]int{}, inFlight: map[string]int{}, failures: map[string]int{}}
}

// comesBefore reports whether an entry gets a slot before another one.
func (e *Entry) comesBefore(other *Entry) bool {
	if e.Priority != other.Priority {
		return e.Priority < other.Priority
	}
	if e.Phase != other.Phase {
		return e.Phase > other.Phase // decodes first: they hold a KV cache
	}
	if e.Deadline != other.Deadline {
		return e.Deadline < other.Deadline
	}
	return e.sequence < other.sequence
}

// TakeResults returns the results since the previous call.
//
// Example: for _, result := range q.TakeResults() { send(result) }
func (q *Queue) TakeResults() []Result {
	results := q.results
	q.results = nil
	return results
}

// Enqueue queues a request or refuses it. If the queue is full, a more urgent request displaces
// the last queued one, which is refused instead. tenantFraction is the fraction of the queue
// that the tenant's requests may fill. A request that is queued again keeps its original
// position.
//
// Example: q.Enqueue(now, entry, 0.5)
func (q *Queue) Enqueue(now time.Duration, e *Entry, tenantFraction float64) {
	if e.sequence == 0 {
		q.lastSequence++
		e.sequence, e.queuedAt = q.lastSequence, now
	}
	tenantQueued, ahead := q.countQueued(e)
	if e.Phase == Prefill && float64(tenantQueued) >= tenantFraction*float64(q.cfg.MaxQueued) {
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

// countQueued returns the number of queued requests of the entry's tenant, and the number of
// requests of any tenant ahead of the entry that wait for the same phase.
func (q *Queue) countQueued(e *Entry) (tenantQueued, ahead int) {
	for _, other := range q.entries {
		if other.Tenant == e.Tenant {
			tenantQueued++
		}
		if other.Phase == e.Phase && other.comesBefore(e) {
			ahead++
		}
	}
	return tenantQueued, ahead
}

// predictedWait returns how long it takes until all requests ahead have a slot.
func (q *Queue) predictedWait(phase Phase, ahead int) time.Duration {
	return time.Duration(ahead) * q.slotInterval[phase]
}

// displaceFor refuses the last request of a full queue if the given one has a more
// urgent priority, and reports whether it did.
func (q *Queue) displaceFor(e *Entry) bool {
	last := q.entries[len(q.entries)-1]
	if !e.comesBefore(last) || last.Priority == e.Priority {
		return false
	}
	q.entries = q.entries[:len(q.entries)-1]
	q.refuse(last, "displaced by a more urgent request", len(q.entries))
	return true
}

// insert adds an entry at its position in the order.
func (q *Queue) insert(e *Entry) {
	i := sort.Search(len(q.entries), func(i int) bool { return e.comesBefore(q.entries[i]) })
	q.entries = append(q.entries, nil)
	copy(q.entries[i+1:], q.entries[i:])
	q.entries[i] = e
}

func (q *Queue) refuse(e *Entry, why string, ahead int) {
	q.results = append(q.results, Result{ID: e.ID, Refused: true, Reason: why, RetryAfter: q.retryAfter(e.Phase, ahead)})
}

// retryAfter returns the delay before a client should retry, from the number of
// requests ahead and the time that each takes.
func (q *Queue) retryAfter(phase Phase, ahead int) time.Duration {
	return min(max(q.cfg.MinRetryAfter, q.predictedWait(phase, ahead+1)), q.cfg.MaxRetryAfter)
}

// Remove removes a request that no longer waits.
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
