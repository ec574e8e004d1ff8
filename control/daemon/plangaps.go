package daemon

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/fleetconfig"
)

// planGaps measures for how long the plan can't be read here at each change: from
// its invalidation until the next version came. The lock of partition 0 is held.
type planGaps struct {
	from   time.Duration // when it was withdrawn; 0: it isn't
	length *metrics.Histogram
}

// note takes which records a step withdrew and which it made readable.
func (g *planGaps) note(now time.Duration, withdrawn, readable []string) {
	if slices.Contains(withdrawn, fleetconfig.PlanKey) && g.from == 0 {
		g.from = now
	}
	if slices.Contains(readable, fleetconfig.PlanKey) && g.from > 0 {
		g.length.Update((now - g.from).Seconds())
		g.from = 0
	}
}
