package forward

import (
	"time"

	"mulleinmast/traffic/attempt"
)

// filter lists the servers of a role that may get the request now: not tried in
// this phase before, and a warming one only as far as the daemons together may
// use it. Servers in backoff come in only where there are no others. The list
// begins elsewhere for each request, since where costs are equal the first is
// picked.
func (d *Dispatcher) filter(now time.Duration, r *pendingRequest, role string, phase attempt.Phase) []Server {
	var available, inBackoff []Server
	for i := range d.sortedKeys {
		s := d.servable[d.sortedKeys[(uint64(i)+r.hash)%uint64(len(d.sortedKeys))]]
		switch {
		case s.Role != role || r.attempts.Tried(phase, s.Key) || s.Warming && !d.acceptsWarmup(now, s.Key):
		case now < d.statsOf(s.Key).backoffUntil || d.load.IsDown(now, s.Key):
			inBackoff = append(inBackoff, s)
		default:
			available = append(available, s)
		}
	}
	if len(available) > 0 {
		return available
	}
	return inBackoff
}
