package daemon

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/fleetconfig"
)

// planGaps measures how long the plan can't be read here at each change, from the invalidation of
// one version to the arrival of the next. Callers hold the lock of partition 0.
type planGaps struct {
	withdrawnAt time.Duration // 0 while the plan isn't withdrawn
	duration    *metrics.Histogram
}

// observe processes the records that a step withdrew and those that it made readable.
func (g *planGaps) observe(now time.Duration, withdrawn, readable []string) {
	if slices.Contains(withdrawn, fleetconfig.PlanKey) && g.withdrawnAt == 0 {
		g.withdrawnAt = now
	}
	if slices.Contains(readable, fleetconfig.PlanKey) && g.withdrawnAt > 0 {
		g.duration.Update((now - g.withdrawnAt).Seconds())
		g.withdrawnAt = 0
	}
}
