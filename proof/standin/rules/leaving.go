package rules

import (
	"time"

	"mulleinmast/proof/standin/record"
)

// What the rules on clients that leave and on closed connections allow.
const (
	leftAfter       = 500 * time.Millisecond // a request may still reach a server so long after its client left
	maxLateArrivals = 3
	workedPart      = 4 // one in so many repeatable requests may still be worked on
	minRepeatable   = 8 // for their share to say something
	maxClosed       = 3
)

// checkClientsLeft: after a client has left, hardly anything is sent for it, and
// servers end their work.
func checkClientsLeft(v *view, report reporter) {
	late, repeatable, worked := 0, 0, 0
	for _, t := range v.Tries {
		if t.Left == 0 || !v.inTouchThroughout(t.Daemon, t.Sent, t.Left+leftAfter) {
			continue
		}
		working := false
		for _, a := range v.arrivals[t.ID] {
			if a.At > t.Left+leftAfter {
				late++
			}
			working = working || isWorkingAt(a, t.Left+leftAfter)
		}
		if r, known := v.routes[t.Route]; !known || !r.Repeatable() {
			continue
		}
		repeatable++
		if working {
			worked++
		}
	}
	if late > maxLateArrivals {
		report("%d requests reached servers over %v after their clients had left", late, leftAfter)
	}
	if repeatable >= minRepeatable && worked*workedPart > repeatable {
		report("servers worked on %d of %d repeatable requests over %v after their clients had left",
			worked, repeatable, leftAfter)
	}
}

// isWorkingAt reports whether a server was working at an arrival at a moment.
func isWorkingAt(a *record.Arrival, at time.Duration) bool {
	return (a.Out == record.Ran || a.Out == record.Open) && a.At <= at && (a.End == 0 || a.End > at)
}

// checkClosed: no machine in touch passes requests on to sound servers and closes
// their connections without an answer.
func checkClosed(v *view, report reporter) {
	closed := map[string][]string{} // tries, by daemon
	for _, t := range v.Tries {
		if !v.wasClosed(t) || !v.inTouchThroughout(t.Daemon, t.Sent, t.End) {
			continue
		}
		closed[t.Daemon] = append(closed[t.Daemon], t.ID)
		if len(closed[t.Daemon]) == maxClosed+1 {
			report("%s passed on and closed the connections of %v, which had no answer", t.Daemon, closed[t.Daemon])
		}
	}
}

// wasClosed reports whether a daemon passed a whole request on and closed its
// connection without an answer, though client, deadline and servers gave no cause.
func (v *view) wasClosed(t *record.Try) bool {
	if t.Whole == 0 || t.Status != 0 || t.Fault != "" {
		return false
	}
	if t.GaveUp || t.Left > 0 || t.End >= t.Deadline {
		return false
	}
	arrivals := v.arrivals[t.ID]
	return len(arrivals) > 0 && !v.brokenByServer(arrivals, t.End)
}

// checkStaleReads: no machine, in touch or not, reads back an older configuration than one
// that was acknowledged long enough before it was asked.
func checkStaleReads(v *view, report reporter) {
	for _, r := range v.Reads {
		if r.Status != 200 {
			continue
		}
		for _, x := range v.versions {
			if x.isAcked() && x.Valid && x.Done+v.Apply < r.Sent && x.Version > r.Version {
				report("%s reads back version %d, %.2fs after version %d was acknowledged",
					r.Daemon, r.Version, seconds(r.Sent-x.Done), x.Version)
				break
			}
		}
	}
}
