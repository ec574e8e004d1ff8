package scheduler

import (
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/slots"
)

// draw is chance from the request's own identity, so that daemons don't herd.
func (t *pendingRequest) draw() uint64 {
	x := uint64(len(t.attempts.Attempts)) + 1
	for _, c := range t.ID {
		x = x*1099511628211 ^ uint64(c)
	}
	return x >> 17
}

// pick chooses among free servers for the side that the trip waits for.
func (l *Dispatcher) pick(t *pendingRequest, free []string) string {
	if t.phase == slots.Prefill {
		return l.pickPrefill(t, free)
	}
	return l.pickDecode(t, free)
}

// pickPrefill is the one that holds most of the prompt; random among equals.
func (l *Dispatcher) pickPrefill(t *pendingRequest, free []string) string {
	best, top, n := "", -1, uint64(0)
	for _, a := range free {
		b, ok := l.servable[a]
		if !ok || b.Role != placement.Prefill || len(b.Pairs) == 0 || t.attempts.Tried(attempt.Prefill, a) || l.isBackingOff(a) {
			continue
		}
		switch {
		case t.cachedParts[a] > top:
			best, top, n = a, t.cachedParts[a], 1
		case t.cachedParts[a] == top:
			if n++; t.draw()%n == 0 {
				best = a
			}
		}
	}
	return best
}

// pickDecode is one that the prefill server is paired with, in its zone if there is one.
func (l *Dispatcher) pickDecode(t *pendingRequest, free []string) string {
	best, n, near := "", uint64(0), false
	for _, a := range free {
		b, ok := l.servable[a]
		if !ok || b.Role != placement.Decode || !t.pairedServers[a] || t.attempts.Tried(attempt.Decode, a) || l.isBackingOff(a) {
			continue
		}
		same := b.Zone == t.prefillZone
		switch {
		case best == "" || same && !near:
			best, n, near = a, 1, same
		case same == near:
			if n++; t.draw()%n == 0 {
				best = a
			}
		}
	}
	return best
}

func (l *Dispatcher) isBackingOff(addr string) bool { _, ok := l.backoffUntil[addr]; return ok }

// canBeServed tells whether the trip could go to any server, were it free.
func (l *Dispatcher) canBeServed(t *pendingRequest) bool {
	all := make([]string, 0, len(l.servable))
	for a := range l.servable {
		all = append(all, a)
	}
	return l.pick(t, all) != ""
}
