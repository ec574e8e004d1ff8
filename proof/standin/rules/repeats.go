package rules

import (
	"net/http"
	"slices"

	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
)

// resultOf maps the status of a configuration call to its result in a history.
var resultOf = map[int]string{
	http.StatusOK:                 "taken",
	http.StatusPreconditionFailed: "beaten",
	http.StatusBadRequest:         "broken",
}

// checkLinear checks that the configuration calls, including their retries, are
// linearizable: a call takes effect at most once, on the version that it names, and a
// retry is acknowledged again however late it arrives.
func checkLinear(v *view, report reporter) {
	var events []history.Event
	for _, c := range v.PlanCalls {
		events = append(events, history.Event{
			At:     int64(c.Done),
			Ev:     "plan",
			Plan:   c.ID,
			Base:   uint64(c.Base),
			Number: uint64(c.Number),
			Ver:    uint64(c.Number),
			Result: resultOf[c.Status],
			Took:   max(1, int64(c.Done-c.Sent)),
		})
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return int(a.At - b.At) })
	judge.Linear(events, report)
}
