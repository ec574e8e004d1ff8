package daemon

import (
	"mulleinmast/control/eventlog"
	"mulleinmast/control/invariant"
)

// Invariants of the process.
var (
	fenceMonotonic = invariant.New("order_fence_went_back",
		"orders to a partition's servers never carry a lower fence than earlier ones")
	savesInOrder = invariant.New("saves_out_of_order",
		"a partition's saves are reported as done in the order in which they were requested")
)

// LogViolations logs violated invariants of this process until restore is called.
//
// Example: restore := daemon.LogViolations(events)
func LogViolations(events *eventlog.Log) (restore func()) {
	return invariant.Report(func(name, text string) { events.Warn("invariant", text, "check", name) })
}
