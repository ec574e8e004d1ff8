package daemon

import (
	"mulleinmast/control/eventlog"
	"mulleinmast/control/invariant"
)

// Conditions of a process that must hold at all times.
var (
	fenceRises = invariant.New("order_fence_went_back",
		"orders for a partition's servers never bear a lower fence than before")
	savesInOrder = invariant.New("saves_out_of_order",
		"a partition's saves are reported as done in the order in which they were requested")
)

// LogViolations has violated invariants of this process logged, until restore is
// called.
//
// Example: restore := daemon.LogViolations(events)
func LogViolations(events *eventlog.Log) (restore func()) {
	return invariant.Report(func(name, text string) { events.Warn("invariant", text, "check", name) })
}
