package forward

import (
	"time"

	"mulleinmast/traffic/attempt"
)

// filter returns the servers of a role that the request may be sent to now. It excludes
// servers that were already tried in this phase, and warming servers to which this daemon
// may not send another request yet. Servers in backoff are returned only if there are no
// others. The order starts at a different server for each request, since the first of
// several servers with equal cost is picked.
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
