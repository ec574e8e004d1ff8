package rules

import (
	"net/http"
	"slices"

	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
)

// resultOf is what an answer to a call of the operator says of its configuration.
var resultOf = map[int]string{
	http.StatusOK:                 "taken",
	http.StatusPreconditionFailed: "beaten",
	http.StatusBadRequest:         "broken",
}

// checkLinear: the calls that change the configuration, each of their tries, were
// answered as one machine would that does one after the other: a call comes into
// force at most once, on the version that it names, and is acknowledged again
// however late it comes again.
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
