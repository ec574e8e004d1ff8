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

// handleGenerate reads a request, checks it against the plan and serves it.
func (a *API) handleGenerate(w http.ResponseWriter, httpRequest *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	req, ok := a.readRequest(w, httpRequest)
	if !ok {
		return
	}
	arrivedAt := a.daemon.Now()
	if a.daemon.RefusesRequests() {
		a.refuseEarly(w, req, "this daemon is stopping", a.daemon.Cfg.Bounds.Plan/2)
		return
	}
	rec, ok := a.awaitPlan(httpRequest.Context(), req)
	if !ok {
		a.refuseEarly(w, req, "no valid lease on the plan", a.daemon.Cfg.Bounds.Plan)
		return
	}
	request, status, why := a.planIndex(rec).Admit(req, storage.NewIdent(), arrivedAt)
	if status != 0 {
		a.rejectInvalid(w, status, why)
		return
	}
	a.serve(w, httpRequest, a.dispatcherFor(request.Model), request)
}

// readRequest reads and validates a request. If ok is false, it has answered the request with an error.
func (a *API) readRequest(w http.ResponseWriter, httpRequest *http.Request) (req scheduler.ClientRequest, ok bool) {
	body, ok := daemon.ReadBody(w, httpRequest, maxBodyBytes)
	if !ok {
		a.badRequests.Add(1)
		return req, false
	}
	faults := fleetconfig.Decode(body, &req)
	if !faults.Any() {
		faults = validate(req)
	}
	if faults.Any() {
		a.rejectInvalid(w, http.StatusBadRequest, faults.List...)
		return req, false
	}
	return req, true
}

// awaitPlan waits for the plan to be readable under valid leases, for twice the volume lease at most.
func (a *API) awaitPlan(ctx context.Context, req scheduler.ClientRequest) (message.Record, bool) {
	timeout := 2 * a.daemon.Cfg.VolumeLease()
	if req.TimeoutMillis != nil {
		timeout = min(timeout, time.Duration(*req.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return a.daemon.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
}

// planIndex returns the index of the plan in a record. Each version is parsed once.
func (a *API) planIndex(rec message.Record) *scheduler.PlanIndex {
	if p := a.plan.Load(); p != nil && p.Version == rec.Version {
		return p
	}
	p := scheduler.NewPlanIndex(rec)
	a.plan.Store(p)
	return p
}

// validate returns every error in a request.
func validate(req scheduler.ClientRequest) (faults fleetconfig.Faults) {
	if req.Model == "" {
		faults.Add("model: missing")
	}
	if req.Tenant == "" {
		faults.Add("tenant: missing")
	}
	validateParts(req, &faults)
	if req.Tokens < 0 || req.Tokens > maxTokens {
		faults.Add("tokens: %d, expected 0 to %d", req.Tokens, maxTokens)
	}
	if t := req.TimeoutMillis; t != nil && (*t <= 0 || *t > maxTimeoutMillis) {
		faults.Add("budget_ms: %d, expected 1 to %d: a deadline that has passed can't be met", *t, maxTimeoutMillis)
	}
	if len(req.OnceKey) > maxOnceKeyBytes || strings.ContainsAny(req.OnceKey, "/\n") {
		faults.Add("once: expected at most %d characters without '/'", maxOnceKeyBytes)
	}
	return faults
}

func validateParts(req scheduler.ClientRequest, faults *fleetconfig.Faults) {
	promptBytes := 0
	for _, p := range req.Parts {
		promptBytes += len(p.Text)
	}
	switch {
	case len(req.Parts) == 0:
		faults.Add("parts: missing, expected at least one part of the prompt")
	case len(req.Parts) > maxParts:
		faults.Add("parts: %d, at most %d are taken", len(req.Parts), maxParts)
	case promptBytes == 0:
		faults.Add("parts: the prompt is empty")
	}
}

// refuseEarly refuses a request before it reaches a dispatcher. At this point it is unknown whether an earlier
// request with the same once key ran, so a request with a once key is answered as uncertain.
func (a *API) refuseEarly(w http.ResponseWriter, req scheduler.ClientRequest, why string, retryAfter time.Duration) {
	a.refusedEarly.Add(1)
	result := "shed"
	if req.OnceKey != "" {
		result = scheduler.ResultUncertain
		why += "; this request was not run, whether its once key ran before is not known: ask again with the same key"
	}
	daemon.Respond(w, http.StatusServiceUnavailable, leadercall.Response{
		Result: result, Reason: why, RetryAfterMillis: retryAfter.Milliseconds(),
	})
}

// rejectInvalid answers an invalid request with its errors.
func (a *API) rejectInvalid(w http.ResponseWriter, status int, faults ...string) {
	a.badRequests.Add(1)
	daemon.Respond(w, status, leadercall.Response{Result: "broken", Faults: faults})
}
