package daemon

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/fleetconfig"
)

// withdrawn measures for how long the plan is withdrawn here at each change: from its
// invalidation until the next one came. The lock of partition 0 is held.
type withdrawn struct {
	since time.Duration // 0: it isn't
	took  *metrics.Histogram
}

// note takes what a step withdrew and what it brought.
func (w *withdrawn) note(now time.Duration, gone, fresh []string) {
	if slices.Contains(gone, fleetconfig.PlanKey) && w.since == 0 {
		w.since = now
	}
	if slices.Contains(fresh, fleetconfig.PlanKey) && w.since > 0 {
		w.took.Update((now - w.since).Seconds())
		w.since = 0
	}
}
