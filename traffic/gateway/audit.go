package gateway

import (
	"mulleinmast/control/invariant"
	"mulleinmast/traffic/forward"
)

// Conditions of requests that must hold at all times.
var (
	runsOnce = invariant.New("unsafe_run_twice",
		"a request that may not be repeated is never sent again once it may have run")
	refusedUnrun = invariant.New("refused_after_run",
		"a request that may not be repeated is refused only if it has not run")
	oneRun = invariant.New("stream_spliced",
		"an answer that has begun goes on at another server only if its route allows that")
	alwaysAnswers = invariant.New("ended_without_answer",
		"a request that ends as served has begun its answer")
	planGoesOn = invariant.New("plan_went_back",
		"requests are never routed by an older plan than before")
)

// audit follows one request by what its calls brought, apart from the ledger
// by which its moves are decided.
type audit struct {
	request    forward.Request
	mayHaveRun bool // a server may have run it
}

// beforeSend checks a call that is about to have the request run.
func (a *audit) beforeSend(begun bool) {
	runsOnce.Hold(a.request.Repeatable || !a.mayHaveRun, "%s is sent again", a.request.ID)
	oneRun.Hold(!begun || a.request.Resumable, "%s goes on at another server", a.request.ID)
}

// afterSend takes the outcome of such a call.
func (a *audit) afterSend(out forward.Outcome) {
	a.mayHaveRun = a.mayHaveRun || out == forward.OK || out == forward.Lost
}

// checkEnd checks the last move; it tells whether the request may end by it.
func (a *audit) checkEnd(m forward.Decision, begun bool) bool {
	refusedUnrun.Hold(m.Action != forward.Refuse || a.request.Repeatable || !a.mayHaveRun,
		"%s is refused: %s", a.request.ID, m.Reason)
	return alwaysAnswers.Hold(m.Action != forward.Done || begun, "%s has no answer", a.request.ID)
}
