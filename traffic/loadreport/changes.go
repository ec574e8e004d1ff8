package loadreport

import (
	"cmp"
	"maps"
	"slices"

	"mulleinmast/wire/message"
)

// What is sent of the servers' load is what changed since the last report, the
// largest changes first and no more than one report holds, and a part of the rest
// in turn: who joins, or missed a report, has all of it some intervals later. So a
// report doesn't grow with the servers, and a head's link carries other messages
// beside the reports of its zone.

// The kinds of reports that say what changed.
const (
	zoneChanges byte = fleetReport + 1 + iota
	fleetChanges
)

const (
	maxChanges     = 128 // servers in one report of what changed
	refreshReports = 16  // reports in which all servers come up, changed or not
	maxRefreshed   = 48  // of those in one report
)

// reportedState is what an audience was reported to last.
type reportedState struct {
	last map[uint64]ServerLoad
	turn uint64
}

// lastBuildWithoutChanges is the last build that takes no reports which say what changed.
const lastBuildWithoutChanges = "1"

// readsChanges tells whether a daemon takes reports that say what changed.
func readsChanges(m message.Member) bool { return m.Build != "" && m.Build != lastBuildWithoutChanges }

// changes is what is reported next of the present loads.
func (t *reportedState) changes(now map[uint64]ServerLoad) []Change {
	if t.last == nil {
		t.last = map[uint64]ServerLoad{}
	}
	var changed, rest []ServerLoad
	t.turn++
	for _, key := range slices.Sorted(maps.Keys(now)) {
		switch u := now[key]; {
		case changeWeight(t.last[key], u) > 0:
			changed = append(changed, u)
		case key%refreshReports == t.turn%refreshReports && len(rest) < maxRefreshed:
			rest = append(rest, u)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.last)) {
		if _, ok := now[key]; !ok {
			changed = append(changed, ServerLoad{Server: key})
		}
	}
	slices.SortStableFunc(changed, func(a, b ServerLoad) int {
		return cmp.Compare(changeWeight(t.last[b.Server], b), changeWeight(t.last[a.Server], a))
	})
	var out []Change
	for _, u := range append(changed[:min(len(changed), maxChanges)], rest...) {
		out = append(out, Change(u))
		if t.last[u.Server] = u; u == (ServerLoad{Server: u.Server}) {
			delete(t.last, u.Server)
		}
	}
	return out
}

// changeWeight is how much it matters that one load became another: 0 if not at all. Who
// had answers of late says something only beside those that had none.
func changeWeight(was, is ServerLoad) int {
	w := abs(is.Tokens-was.Tokens) + 256*abs(is.Decoding-was.Decoding)
	if was.Unanswered > 0 || is.Unanswered > 0 {
		w += 4096 * (abs(is.Unanswered-was.Unanswered) + abs(is.Answered-was.Answered))
	}
	if d := abs(is.InterTokenSum - was.InterTokenSum); 8*d > was.InterTokenSum {
		w += d
	}
	return w
}

func abs(n int) int { return max(n, -n) }

// apply takes in what a report says of servers.
func (h *receivedLoads) apply(list []Change) {
	if h.loads == nil {
		h.loads = map[uint64]ServerLoad{}
	}
	for _, c := range list {
		if u := ServerLoad(c); u == (ServerLoad{Server: u.Server}) {
			delete(h.loads, u.Server)
		} else {
			h.loads[u.Server] = u
		}
	}
}
