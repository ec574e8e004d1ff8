package nativeapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/storage"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/wire/message"
)

const (
	maxTokens        = 100000
	maxTimeoutMillis = 600000
	maxOnceKeyBytes  = 128
)

// handleGenerate reads a request, admits it by the plan and sees it through.
func (a *API) handleGenerate(w http.ResponseWriter, httpRequest *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	asked, ok := a.readRequest(w, httpRequest)
	if !ok {
		return
	}
	arrivedAt := a.daemon.Now()
	if a.daemon.RefusesRequests() {
		a.refuse(w, asked, "this daemon is stopping", a.daemon.Cfg.Bounds.Plan/2)
		return
	}
	rec, ok := a.awaitPlan(httpRequest.Context(), asked)
	if !ok {
		a.refuse(w, asked, "no valid lease on the plan", a.daemon.Cfg.Bounds.Plan)
		return
	}
	request, status, why := a.planIndex(rec).Admit(asked, storage.NewIdent(), arrivedAt)
	if status != 0 {
		a.rejectBad(w, status, why)
		return
	}
	a.serve(w, httpRequest, a.dispatcherOf(request.Model), request)
}

// readRequest reads a request and checks it; if it is at fault, it has been answered.
func (a *API) readRequest(w http.ResponseWriter, httpRequest *http.Request) (asked scheduler.ClientRequest, ok bool) {
	body, ok := daemon.ReadBody(w, httpRequest, maxBodyBytes)
	if !ok {
		a.badRequests.Add(1)
		return asked, false
	}
	faults := fleetconfig.Decode(body, &asked)
	if !faults.Any() {
		faults = check(asked)
	}
	if faults.Any() {
		a.rejectBad(w, http.StatusBadRequest, faults.List...)
		return asked, false
	}
	return asked, true
}

// awaitPlan waits a short while for the plan under valid leases.
func (a *API) awaitPlan(ctx context.Context, asked scheduler.ClientRequest) (message.Record, bool) {
	timeout := 2 * a.daemon.Cfg.VolumeLease()
	if asked.TimeoutMillis != nil {
		timeout = min(timeout, time.Duration(*asked.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return a.daemon.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
}

// planIndex reads the plan in force; it is parsed once a version.
func (a *API) planIndex(rec message.Record) *scheduler.PlanIndex {
	if p := a.plan.Load(); p != nil && p.Version == rec.Version {
		return p
	}
	p := scheduler.NewPlanIndex(rec)
	a.plan.Store(p)
	return p
}

// check lists every fault of a request.
func check(asked scheduler.ClientRequest) (faults fleetconfig.Faults) {
	if asked.Model == "" {
		faults.Add("model: missing")
	}
	if asked.Tenant == "" {
		faults.Add("tenant: missing")
	}
	checkParts(asked, &faults)
	if asked.Tokens < 0 || asked.Tokens > maxTokens {
		faults.Add("tokens: %d, expected 0 to %d", asked.Tokens, maxTokens)
	}
	if t := asked.TimeoutMillis; t != nil && (*t <= 0 || *t > maxTimeoutMillis) {
		faults.Add("budget_ms: %d, expected 1 to %d: a deadline that has passed can't be met", *t, maxTimeoutMillis)
	}
	if len(asked.OnceKey) > maxOnceKeyBytes || strings.ContainsAny(asked.OnceKey, "/\n") {
		faults.Add("once: expected at most %d characters without '/'", maxOnceKeyBytes)
	}
	return faults
}

func checkParts(asked scheduler.ClientRequest, faults *fleetconfig.Faults) {
	promptBytes := 0
	for _, p := range asked.Parts {
		promptBytes += len(p.Text)
	}
	switch {
	case len(asked.Parts) == 0:
		faults.Add("parts: missing, expected at least one part of the prompt")
	case len(asked.Parts) > maxParts:
		faults.Add("parts: %d, at most %d are taken", len(asked.Parts), maxParts)
	case promptBytes == 0:
		faults.Add("parts: the prompt is empty")
	}
}

// refuse refuses a request that came to no dispatcher. Whether a once key ran before
// is not known then: its answer says so.
func (a *API) refuse(w http.ResponseWriter, asked scheduler.ClientRequest, why string, retryAfter time.Duration) {
	a.refusedEarly.Add(1)
	result := "shed"
	if asked.OnceKey != "" {
		result = scheduler.ResultUncertain
		why += "; this request was not run, whether its once key ran before is not known: ask again with the same key"
	}
	daemon.Respond(w, http.StatusServiceUnavailable, leadercall.Response{
		Result: result, Reason: why, RetryAfterMillis: retryAfter.Milliseconds(),
	})
}

// rejectBad answers a request that is at fault.
func (a *API) rejectBad(w http.ResponseWriter, status int, faults ...string) {
	a.badRequests.Add(1)
	daemon.Respond(w, status, leadercall.Response{Result: "broken", Faults: faults})
}
