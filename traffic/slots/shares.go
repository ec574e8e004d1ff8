package slots

import (
	"slices"
	"sort"
	"time"
)

// SetShare takes a new share of slots by server, valid before until.
//
// Example: q.SetShare(now, map[string]int{addr: 3}, now+left)
func (q *Queue) SetShare(now time.Duration, share map[string]int, until time.Duration) {
	q.share, q.shareUntil = share, until
	q.Assign(now)
}

// HasValidShare tells whether the share is valid; it is asked again just before a byte goes out.
//
// Example: if !q.HasValidShare(now) { returnSlot() }
func (q *Queue) HasValidShare(now time.Duration) bool { return now < q.shareUntil }

// Assign gives the free slots to requests in order, and refuses those that can't be in
// time any more.
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

// freeServers lists the servers of a valid share with a free slot, by address.
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

// without returns a list of the addresses but one.
func without(addrs []string, addr string) []string {
	if i := slices.Index(addrs, addr); i >= 0 {
		return append(addrs[:i:i], addrs[i+1:]...)
	}
	return addrs
}

// isLate tells whether a request is given up on. That is not near its deadline, but once
// those ahead can't have their slots in time, or half of its time has passed in the queue.
func (q *Queue) isLate(now time.Duration, e *Entry, ahead int) bool {
	return now+q.predictedWait(e.Phase, ahead) >= e.Deadline || now-e.queuedAt > (e.Deadline-e.queuedAt)/2
}

// occupy gives a request a slot.
func (q *Queue) occupy(now time.Duration, e *Entry, addr string) {
	q.inFlight[addr]++
	q.inFlightByPriority[e.Phase][e.Priority]++
	q.measureInterval(now, e)
	q.results = append(q.results, Result{ID: e.ID, Addr: addr})
}

// measureInterval takes the time since the last slot into the average. It counts only
// while something waited: idle time isn't slowness.
func (q *Queue) measureInterval(now time.Duration, e *Entry) {
	const weight = 8 // of the average so far
	average := &q.slotInterval[e.Phase]
	if e.queuedAt < now || len(q.entries) > 1 {
		interval := now - max(q.lastSlotAt[e.Phase], e.queuedAt)
		*average += (interval - *average) / weight
	} else {
		*average -= *average / weight
	}
	q.lastSlotAt[e.Phase] = now
}

// Release returns a slot.
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
