package slots

import (
	"slices"
	"sort"
	"time"
)

// SetShare sets the share of slots by server address; it is valid before until.
//
// Example: q.SetShare(now, map[string]int{addr: 3}, now+left)
func (q *Queue) SetShare(now time.Duration, share map[string]int, until time.Duration) {
	q.share, q.shareUntil = share, until
	q.Assign(now)
}

// HasValidShare reports whether the share is still valid. Callers check it again just before they
// send the first byte of a call.
//
// Example: if !q.HasValidShare(now) { returnSlot() }
func (q *Queue) HasValidShare(now time.Duration) bool { return now < q.shareUntil }

// Assign assigns free slots to requests in order, and refuses requests that can no longer
// meet their deadline.
//
// Example: q.Assign(now)
func (q *Queue) Assign(now time.Duration) {
	free := q.freeServers(now)
	waiting := q.entries[:0]
	var late []*Entry
	var ahead [phases]int
	for _, e := range q.entries {
		if q.isLate(now, e, ahead[e.Phase]) {
			late = append(late, e)
			continue
		}
		addr := ""
		if len(free) > 0 {
			addr = e.Pick(free)
		}
		if addr == "" {
			ahead[e.Phase]++
			waiting = append(waiting, e)
			continue
		}
		q.occupy(now, e, addr)
		if q.inFlight[addr] >= q.share[addr] {
			free = without(free, addr)
		}
	}
	clear(q.entries[len(waiting):])
	q.entries = waiting
	for _, e := range late {
		q.refuse(e, "its deadline would pass in the queue", len(waiting))
	}
}

// freeServers returns the sorted addresses of the servers with a free slot. It
// returns none if the share is not valid.
func (q *Queue) freeServers(now time.Duration) (free []string) {
	if !q.HasValidShare(now) {
		return nil
	}
	for addr, n := range q.share {
		if q.inFlight[addr] < n {
			free = append(free, addr)
		}
	}
	sort.Strings(free)
	return free
}

// without returns the addresses except the given one, without changing addrs.
func without(addrs []string, addr string) []string {
	if i := slices.Index(addrs, addr); i >= 0 {
		return append(addrs[:i:i], addrs[i+1:]...)
	}
	return addrs
}

// isLate reports whether a request is to be refused: the requests ahead of it are predicted to take
// all slots until its deadline, or it has spent half of its time in the queue. Requests are thereby
// refused well before their deadline.
func (q *Queue) isLate(now time.Duration, e *Entry, ahead int) bool {
	return now+q.predictedWait(e.Phase, ahead) >= e.Deadline || now-e.queuedAt > (e.Deadline-e.queuedAt)/2
}

// occupy assigns a slot to a request.
func (q *Queue) occupy(now time.Duration, e *Entry, addr string) {
	q.inFlight[addr]++
	q.inFlightByPriority[e.Phase][e.Priority]++
	q.measureInterval(now, e)
	q.results = append(q.results, Result{ID: e.ID, Addr: addr})
}

// measureInterval adds the time since the last assigned slot to the moving average. Time
// in which no request waited is not counted, because an idle server is not a slow one.
func (q *Queue) measureInterval(now time.Duration, e *Entry) {
	const weight = 8 // the new interval counts 1/weight
	average := &q.slotInterval[e.Phase]
	if e.queuedAt < now || len(q.entries) > 1 {
		interval := now - max(q.lastSlotAt[e.Phase], e.queuedAt)
		*average += (interval - *average) / weight
	} else {
		*average -= *average / weight
	}
	q.lastSlotAt[e.Phase] = now
}

// Release returns a slot and assigns the slots that are free now.
//
// Example: q.Release(now, slots.Decode, priority, addr, false)
func (q *Queue) Release(now time.Duration, phase Phase, priority int, addr string, failed bool) {
	if q.inFlight[addr]--; q.inFlight[addr] <= 0 {
		delete(q.inFlight, addr)
	}
	q.inFlightByPriority[phase][priority]--
	if failed {
		q.failures[addr]++
	}
	q.Assign(now)
}
