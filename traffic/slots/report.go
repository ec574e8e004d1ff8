package slots

import "maps"

// Report counts the requests that wait and that are in flight. It resets the failure
// counts, so that each failure is reported once.
//
// Example: r := q.Report()
func (q *Queue) Report() Report {
	r := q.Snapshot()
	q.failures = map[string]int{}
	return r
}

// Snapshot returns the same counts as Report without resetting the failure counts.
//
// Example: q.Snapshot().Waiting
func (q *Queue) Snapshot() Report {
	r := Report{
		Prefill: q.inFlightByPriority[Prefill], Decode: q.inFlightByPriority[Decode],
		InFlight: maps.Clone(q.inFlight), Failures: q.failures, PreferredServers: map[string]int{},
		Waiting: len(q.entries), Share: q.share, SlotInterval: q.slotInterval,
	}
	for _, e := range q.entries {
		if e.Phase == Decode {
			r.Decode[e.Priority]++
			continue
		}
		r.Prefill[e.Priority]++
		if e.PreferredServer != "" {
			r.PreferredServers[e.PreferredServer]++
		}
	}
	return r
}
