package gateway

import (
	"mulleinmast/control/invariant"
	"mulleinmast/traffic/forward"
)

// Invariants of requests and of the plan that routes them.
var (
	unsafeRunsOnce = invariant.New("unsafe_run_twice",
		"a request that may not be repeated is never sent again once it may have run")
	refusalsNotRun = invariant.New("refused_after_run",
		"a request that may not be repeated is refused only if it has not run")
	streamsNotSpliced = invariant.New("stream_spliced",
		"an answer that has begun goes on at another server only if its route allows that")
	servedIsAnswered = invariant.New("ended_without_answer",
		"a request that ends as served has begun its answer")
	planNeverGoesBack = invariant.New("plan_went_back",
		"requests are never routed by an older plan than before")
)

// audit checks the invariants of one request by the outcomes of its calls, independently of
// the attempt ledger on which the decisions are based.
type audit struct {
	request    forward.Request
	mayHaveRun bool // a server may have run the request
}

// beforeSend checks the invariants before a call that runs the request.
func (a *audit) beforeSend(begun bool) {
	unsafeRunsOnce.Hold(a.request.Repeatable || !a.mayHaveRun,
		"unsafe request %s is sent again after it may have run", a.request.ID)
	streamsNotSpliced.Hold(!begun || a.request.Resumable, "answer to %s continues at another server", a.request.ID)
}

// afterSend records the outcome of a call that runs the request.
func (a *audit) afterSend(out forward.Outcome) {
	a.mayHaveRun = a.mayHaveRun || out == forward.OK || out == forward.Lost
}

// checkEnd checks the final decision and reports whether a request that ends as served has
// begun its answer.
func (a *audit) checkEnd(decision forward.Decision, begun bool) bool {
	refusalsNotRun.Hold(decision.Action != forward.Refuse || a.request.Repeatable || !a.mayHaveRun,
		"%s is refused after it may have run: %s", a.request.ID, decision.Reason)
	return servedIsAnswered.Hold(decision.Action != forward.Done || begun,
		"%s ends as served without an answer", a.request.ID)
}
