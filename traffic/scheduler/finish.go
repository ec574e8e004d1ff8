package scheduler

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinmast/traffic/attempt"
)

// giveUp ends a request without another attempt.
func (d *Dispatcher) giveUp(now time.Duration, r *pendingRequest, why string, out *Out) {
	r.reason = why
	d.finish(now, r, r.attempts.FinalMove(), out)
}

// finish ends a request with the final move of its attempt ledger.
func (d *Dispatcher) finish(now time.Duration, r *pendingRequest, move attempt.Move, out *Out) {
	reasonKind := r.resolveReason()
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
		d.counts.Uncertain++
		a.Status, a.Reason = http.StatusBadGateway, "it may have run: "+r.reason
	case attempt.Refuse:
		d.countRefusal(r, reasonKind)
		a.Status = refusalStatus(r.reason)
		r.settleClaim(claimReleased, out)
	default:
		panic("not a final move: " + move.String())
	}
	d.respond(now, r, a, out)
}

// resolveReason sets the request's reason from its last attempt if it has none yet. It returns the kind
// of reason to count by, which has only a few distinct values.
func (r *pendingRequest) resolveReason() string {
	if r.reason != "" || len(r.attempts.Attempts) == 0 {
		return r.reason
	}
	last := r.attempts.Attempts[len(r.attempts.Attempts)-1]
	r.reason = last.Why
	return fmt.Sprintf("last %s: %s", last.Phase, last.State)
}

// settleClaim adds the decision to record the request's result under its once key, if it has one.
func (r *pendingRequest) settleClaim(state string, out *Out) {
	if r.attempts.AtMostOnce {
		out.add(r.claim(SettleClaim, state))
	}
}

// countRefusal counts a refusal and the prefills wasted on the request.
func (d *Dispatcher) countRefusal(r *pendingRequest, reasonKind string) {
	d.counts.Refused++
	d.counts.RefusedByReason[reasonKind]++
	for _, a := range r.attempts.Attempts {
		if a.State == attempt.Prefilled {
			d.counts.WastedPrefills++
		}
	}
}

// refusalStatus returns the HTTP status of a refusal: 429 if the tenant's own limit was reached, else 503.
func refusalStatus(reason string) int {
	if strings.HasPrefix(reason, "this tenant") {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// respond adds the decision to answer the client and removes the request.
func (d *Dispatcher) respond(now time.Duration, r *pendingRequest, a Answer, out *Out) {
	delete(d.pending, r.ID)
	a.Trace = Trace{
		Request: r.ID, Tenant: r.Tenant, Model: r.Model, Result: a.Result, Reason: a.Reason,
		Attempts: r.attempts.Attempts, Picks: r.picks, TookMillis: (now - r.arrivedAt).Milliseconds(),
	}
	out.add(Decision{RequestID: r.ID, Action: Respond, Answer: a})
}
