package gateway

import (
	"mulleinmast/control/invariant"
	"mulleinmast/traffic/forward"
)

// Conditions of requests that must hold at all times.
var (
	runsOnce      = invariant.New("unsafe_run_twice", "a request that may not be repeated is never sent again once it may have run")
	refusedUnrun  = invariant.New("refused_after_run", "a request that may not be repeated is refused only if it has not run")
	oneRun        = invariant.New("stream_spliced", "an answer that has begun goes on at another server only if its route allows that")
	alwaysAnswers = invariant.New("ended_without_answer", "a request that ends as served has begun its answer")
	planGoesOn    = invariant.New("plan_went_back", "requests are never routed by an older plan than before")
)

// audit follows one request by what its calls brought, apart from the ledger
// by which its moves are decided.
type audit struct {
	call forward.Request
	ran  bool // a server may have run it
}

// sends checks a call that is about to have the request run.
func (a *audit) sends(begun bool) {
	runsOnce.Hold(a.call.Repeatable || !a.ran, "%s is sent again", a.call.ID)
	oneRun.Hold(!begun || a.call.Resumable, "%s goes on at another server", a.call.ID)
}

// sent takes the outcome of such a call.
func (a *audit) sent(out forward.Outcome) {
	a.ran = a.ran || out == forward.OK || out == forward.Lost
}

// ends checks the last move; it tells whether the request may end by it.
func (a *audit) ends(m forward.Decision, begun bool) bool {
	refusedUnrun.Hold(m.Action != forward.Refuse || a.call.Repeatable || !a.ran, "%s is refused: %s", a.call.ID, m.Reason)
	return alwaysAnswers.Hold(m.Action != forward.Done || begun, "%s has no answer", a.call.ID)
}
