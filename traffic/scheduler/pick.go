package scheduler

import (
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/slots"
)

// dice is chance from the request's own identity, so that daemons don't herd.
func (t *trip) dice() uint64 {
	x := uint64(len(t.led.Attempts)) + 1
	for _, c := range t.ID {
		x = x*1099511628211 ^ uint64(c)
	}
	return x >> 17
}

// pick chooses among free servers for the side that the trip waits for.
func (l *Lane) pick(t *trip, free []string) string {
	if t.side == slots.Read {
		return l.pickPrefill(t, free)
	}
	return l.pickDecode(t, free)
}

// pickPrefill is the one that holds most of the prompt; random among equals.
func (l *Lane) pickPrefill(t *trip, free []string) string {
	best, top, n := "", -1, uint64(0)
	for _, a := range free {
		b, ok := l.rows[a]
		if !ok || b.Role != placement.Prefill || len(b.Pairs) == 0 || t.led.Tried(attempt.Prefill, a) || l.avoids(a) {
			continue
		}
		switch {
		case t.deep[a] > top:
			best, top, n = a, t.deep[a], 1
		case t.deep[a] == top:
			if n++; t.dice()%n == 0 {
				best = a
			}
		}
	}
	return best
}

// pickDecode is one that the prefill server is paired with, in its zone if there is one.
func (l *Lane) pickDecode(t *trip, free []string) string {
	best, n, near := "", uint64(0), false
	for _, a := range free {
		b, ok := l.rows[a]
		if !ok || b.Role != placement.Decode || !t.pairs[a] || t.led.Tried(attempt.Decode, a) || l.avoids(a) {
			continue
		}
		same := b.Zone == t.zone
		switch {
		case best == "" || same && !near:
			best, n, near = a, 1, same
		case same == near:
			if n++; t.dice()%n == 0 {
				best = a
			}
		}
	}
	return best
}

func (l *Lane) avoids(addr string) bool { _, ok := l.shy[addr]; return ok }

// somewhere tells whether the trip could go to any server, were it free.
func (l *Lane) somewhere(t *trip) bool {
	all := make([]string, 0, len(l.rows))
	for a := range l.rows {
		all = append(all, a)
	}
	return l.pick(t, all) != ""
}
