package scheduler

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/message"
)

// defaultMaxTokens limits the answer's length when the client sets no limit.
const defaultMaxTokens = 16

// PlanIndex is an immutable index of a plan for lookups.
type PlanIndex struct {
	Version     message.Version // version of the plan's record
	planVersion uint64
	tenants     map[string]fleetconfig.Tenant
	excluded    map[string]map[string]bool // addresses of excluded servers, by service
}

// NewPlanIndex parses the plan in a record. Callers do this once per record version.
//
// Example: index := scheduler.NewPlanIndex(rec)
func NewPlanIndex(rec message.Record) *PlanIndex {
	plan := fleetconfig.MustReadPlan(rec)
	p := &PlanIndex{
		Version: rec.Version, planVersion: plan.Version,
		tenants: map[string]fleetconfig.Tenant{}, excluded: map[string]map[string]bool{},
	}
	for _, tenant := range plan.Tenants {
		p.tenants[tenant.Name] = tenant
	}
	for _, service := range plan.Services {
		p.excluded[service.Name] = map[string]bool{}
		for _, addr := range service.Exclude {
			p.excluded[service.Name][addr] = true
		}
	}
	return p
}

// ClientRequest is the body of a client's request.
type ClientRequest struct {
	Model         string            `json:"model"`
	Tenant        string            `json:"tenant"`
	Parts         []serverpool.Part `json:"parts"`
	Tokens        int               `json:"tokens"` // maximum tokens of the answer; 0 means defaultMaxTokens
	OnceKey       string            `json:"once,omitempty"`
	TimeoutMillis *int64            `json:"budget_ms,omitempty"` // nil means the tenant's timeout
}

// Admit checks a request against the plan. If it is admitted, status is 0; otherwise status is the HTTP
// status of the rejection and why its reason.
//
// Example: request, status, why := index.Admit(req, id, now)
func (p *PlanIndex) Admit(req ClientRequest, id string, now time.Duration) (admitted Request, status int, why string) {
	tenant, ok := p.tenants[req.Tenant]
	if !ok {
		why = fmt.Sprintf("tenant: %q isn't in the plan (version %d)", req.Tenant, p.planVersion)
		return admitted, http.StatusForbidden, why
	}
	if _, ok := p.excluded[req.Model]; !ok {
		why = fmt.Sprintf("model: %q isn't in the plan (version %d)", req.Model, p.planVersion)
		return admitted, http.StatusNotFound, why
	}
	if len(tenant.Services) > 0 && !slices.Contains(tenant.Services, req.Model) {
		return admitted, http.StatusForbidden, fmt.Sprintf("model: tenant %q may not use %q", req.Tenant, req.Model)
	}
	timeoutMillis := int64(tenant.TimeoutMillis)
	if req.TimeoutMillis != nil {
		timeoutMillis = *req.TimeoutMillis
	}
	return Request{
		ID: id, Tenant: req.Tenant, Model: req.Model, Priority: tenant.Priority, QueueFraction: tenant.QueueFraction,
		Deadline: now + time.Duration(timeoutMillis)*time.Millisecond,
		Tokens:   cmp.Or(req.Tokens, defaultMaxTokens), OnceKey: req.OnceKey, Parts: req.Parts,
	}, 0, ""
}
