package loadreport

import (
	"cmp"
	"maps"
	"slices"

	"mulleinmast/wire/message"
)

// Heads send incremental reports: the changes since the last report, largest first and at
// most as many as fit in one report, plus a part of the unchanged loads in rotation. A
// daemon that joins or missed a report therefore receives the unchanged loads over
// refreshReports reports, provided that no report has more than maxRefreshed of them. The
// size of a report doesn't grow with the number of servers, so the link of a head retains
// capacity for other messages.

// The kinds of incremental reports.
const (
	zoneChanges byte = fleetReport + 1 + iota
	fleetChanges
)

const (
	maxChanges     = 128 // changed servers in one report
	refreshReports = 16  // number of reports over which the unchanged servers are sent
	maxRefreshed   = 48  // unchanged servers in one report
)

// reportedState holds the loads as last reported to a group of daemons.
type reportedState struct {
	last  map[uint64]ServerLoad
	round uint64
}

// lastBuildWithoutChanges is the last build that doesn't support incremental reports.
const lastBuildWithoutChanges = "1"

// supportsChanges reports whether a daemon supports incremental reports.
func supportsChanges(m message.Member) bool {
	return m.Build != "" && m.Build != lastBuildWithoutChanges
}

// nextChanges returns the changes to report next, given the current loads.
func (s *reportedState) nextChanges(now map[uint64]ServerLoad) []Change {
	if s.last == nil {
		s.last = map[uint64]ServerLoad{}
	}
	var changed, rest []ServerLoad
	s.round++
	for _, key := range slices.Sorted(maps.Keys(now)) {
		switch load := now[key]; {
		case changeWeight(s.last[key], load) > 0:
			changed = append(changed, load)
		case key%refreshReports == s.round%refreshReports && len(rest) < maxRefreshed:
			rest = append(rest, load)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.last)) {
		if _, ok := now[key]; !ok {
			changed = append(changed, ServerLoad{Server: key})
		}
	}
	slices.SortStableFunc(changed, func(a, b ServerLoad) int {
		return cmp.Compare(changeWeight(s.last[b.Server], b), changeWeight(s.last[a.Server], a))
	})
	var out []Change
	for _, load := range append(changed[:min(len(changed), maxChanges)], rest...) {
		out = append(out, Change(load))
		if s.last[load.Server] = load; load == (ServerLoad{Server: load.Server}) {
			delete(s.last, load.Server)
		}
	}
	return out
}

// changeWeight returns how significant a change of load is, or 0 if it need not be reported.
// Changes of Answered count only if Unanswered was or is above 0.
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

// apply updates the loads with the changes from a report.
func (l *receivedLoads) apply(changes []Change) {
	if l.loads == nil {
		l.loads = map[uint64]ServerLoad{}
	}
	for _, c := range changes {
		if load := ServerLoad(c); load == (ServerLoad{Server: load.Server}) {
			delete(l.loads, load.Server)
		} else {
			l.loads[load.Server] = load
		}
	}
}
