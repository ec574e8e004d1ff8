package scheduler

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinmast/traffic/attempt"
)

// giveUp ends a request for which nothing more is to be tried.
func (d *Dispatcher) giveUp(now time.Duration, r *pendingRequest, why string, out *Out) {
	r.reason = why
	d.finish(now, r, r.attempts.End(), out)
}

// finish ends a request by the final move of its ledger.
func (d *Dispatcher) finish(now time.Duration, r *pendingRequest, move attempt.Move, out *Out) {
	reasonKind := r.explainEnd()
	a := Answer{Result: move.String(), Reason: r.reason, RetryAfter: r.retryAfter}
	if a.RetryAfter == 0 {
		a.RetryAfter = d.cfg.RetryAfter
	}
	switch move {
	case attempt.Finish:
		d.counts.Served++
		a.Status, a.Reason = http.StatusOK, ""
		r.settleClaim(claimDone, out)
	case attempt.Break:
		d.counts.Broken++
	case attempt.Unknown:
		d.counts.Unknown++
		a.Status, a.Reason = http.StatusBadGateway, "it may have run: "+r.reason
	case attempt.Refuse:
		d.countRefusal(r, reasonKind)
		a.Status = refusalStatus(r.reason)
		r.settleClaim(claimReleased, out)
	default:
		panic("no final move: " + move.String())
	}
	d.release(now, r, a, out)
}

// explainEnd sees to it that there is a reason, that of the last attempt if none else. It
// returns the kind of reason: a few fixed texts, to count by.
func (r *pendingRequest) explainEnd() string {
	if r.reason != "" || len(r.attempts.Attempts) == 0 {
		return r.reason
	}
	last := r.attempts.Attempts[len(r.attempts.Attempts)-1]
	r.reason = last.Why
	return fmt.Sprintf("last %s: %s", last.Phase, last.Known)
}

// settleClaim records what became of a request, under its once key if it has one.
func (r *pendingRequest) settleClaim(state string, out *Out) {
	if r.attempts.AtMostOnce {
		out.add(r.claim(SettleClaim, state))
	}
}

// countRefusal counts a refusal, and the prefills that were of no use.
func (d *Dispatcher) countRefusal(r *pendingRequest, reasonKind string) {
	d.counts.Refused++
	d.counts.RefusedByReason[reasonKind]++
	for _, a := range r.attempts.Attempts {
		if a.Known == attempt.Prefilled {
			d.counts.WastedPrefills++
		}
	}
}

// refusalStatus is the HTTP status of a refusal: the tenant's own bound is told apart.
func refusalStatus(reason string) int {
	if strings.HasPrefix(reason, "this tenant") {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// release answers the client and forgets the request.
func (d *Dispatcher) release(now time.Duration, r *pendingRequest, a Answer, out *Out) {
	delete(d.pending, r.ID)
	a.Trace = Trace{
		Request: r.ID, Tenant: r.Tenant, Model: r.Model, Result: a.Result, Reason: a.Reason,
		Attempts: r.attempts.Attempts, Picks: r.picks, TookMillis: (now - r.arrivedAt).Milliseconds(),
	}
	out.add(Decision{RequestID: r.ID, Action: Respond, Answer: a})
}
