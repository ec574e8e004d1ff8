package rules

import (
	"net/http"
	"slices"

	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
)

// told is what an answer to a call of the operator says of its configuration.
var told = map[int]string{http.StatusOK: "taken", http.StatusPreconditionFailed: "beaten", http.StatusBadRequest: "broken"}

// inOrder: the calls that change the configuration, each of their tries, were
// answered as one machine would that does one after the other: a call comes into
// force at most once, on the version that it names, and is acknowledged again
// however late it comes again.
func inOrder(v *view, bad say) {
	var ev []history.Event
	for _, c := range v.PlanCalls {
		ev = append(ev, history.Event{
			At: int64(c.Done), Ev: "plan", Plan: c.ID, Base: uint64(c.Base), Number: uint64(c.Number), Ver: uint64(c.Number),
			Result: told[c.Status], Took: max(1, int64(c.Done-c.Sent)),
		})
	}
	slices.SortStableFunc(ev, func(a, b history.Event) int { return int(a.At - b.At) })
	judge.Linear(ev, bad)
}
