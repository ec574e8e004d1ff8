package rules

import (
	"time"

	"mulleinmast/proof/standin/record"
)

// Limits of the rules on disconnected clients and on closed connections.
const (
	leftAfter       = 500 * time.Millisecond // how long after its client disconnected a request may still reach a server
	maxLateArrivals = 3
	workedPart      = 4 // one in this many repeatable requests may still be in progress
	minRepeatable   = 8 // below which their share is not significant
	maxClosed       = 3
)

// checkClientsLeft checks that after a client has disconnected, almost nothing more is
// sent for it and servers stop working on its requests.
func checkClientsLeft(v *view, report reporter) {
	late, repeatable, worked := 0, 0, 0
	for _, t := range v.Tries {
		if t.ClosedAt == 0 || !v.inTouchThroughout(t.Daemon, t.Sent, t.ClosedAt+leftAfter) {
			continue
		}
		working := false
		for _, a := range v.arrivals[t.ID] {
			if a.At > t.ClosedAt+leftAfter {
				late++
			}
			working = working || isWorkingAt(a, t.ClosedAt+leftAfter)
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
		report("%d requests reached servers more than %v after their clients had disconnected", late, leftAfter)
	}
	if repeatable >= minRepeatable && worked*workedPart > repeatable {
		report("servers were working on %d of %d repeatable requests more than %v after their clients had disconnected",
			worked, repeatable, leftAfter)
	}
}

// isWorkingAt reports whether a server was processing an arrival at a moment.
func isWorkingAt(a *record.Arrival, at time.Duration) bool {
	return (a.Out == record.Ran || a.Out == record.Open) && a.At <= at && (a.End == 0 || a.End > at)
}

// checkClosed checks that no connected machine forwards requests to healthy servers and
// then closes the clients' connections without an answer.
func checkClosed(v *view, report reporter) {
	closed := map[string][]string{} // tries, by daemon
	for _, t := range v.Tries {
		if !v.wasClosed(t) || !v.inTouchThroughout(t.Daemon, t.Sent, t.End) {
			continue
		}
		closed[t.Daemon] = append(closed[t.Daemon], t.ID)
		if len(closed[t.Daemon]) == maxClosed+1 {
			report("%s forwarded %v and closed their connections without an answer", t.Daemon, closed[t.Daemon])
		}
	}
}

// wasClosed reports whether a daemon forwarded a complete request and closed its
// connection without an answer, though neither the client, the deadline nor a server
// was the cause.
func (v *view) wasClosed(t *record.Try) bool {
	if t.SentFully == 0 || t.Status != 0 || t.Fault != "" {
		return false
	}
	if t.GaveUp || t.ClosedAt > 0 || t.End >= t.Deadline {
		return false
	}
	arrivals := v.arrivals[t.ID]
	return len(arrivals) > 0 && !v.brokenByServer(arrivals, t.End)
}

// checkStaleReads checks that no machine, connected or not, returns a configuration older
// than one that was acknowledged at least the Apply bound before the read.
func checkStaleReads(v *view, report reporter) {
	for _, r := range v.Reads {
		if r.Status != 200 {
			continue
		}
		for _, x := range v.versions {
			if x.isAcked() && x.Valid && x.Done+v.Apply < r.Sent && x.Version > r.Version {
				report("%s returned version %d, %.2fs after version %d was acknowledged",
					r.Daemon, r.Version, seconds(r.Sent-x.Done), x.Version)
				break
			}
		}
	}
}
