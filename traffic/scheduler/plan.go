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

// defaultTokens is the most tokens of an answer where the client names none.
const defaultTokens = 16

// PlanIndex is a plan made ready for look-ups; it doesn't change.
type PlanIndex struct {
	Version    message.Version // of the record
	planNumber uint64
	tenants    map[string]fleetconfig.Tenant
	excluded   map[string]map[string]bool // by service: addresses of servers that it excludes
}

// NewPlanIndex reads the plan in force; do it once a version.
//
// Example: index := scheduler.NewPlanIndex(rec)
func NewPlanIndex(rec message.Record) *PlanIndex {
	plan := fleetconfig.OpenPlan(rec)
	p := &PlanIndex{
		Version: rec.Version, planNumber: plan.Version,
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

// ClientRequest is what a client sends.
type ClientRequest struct {
	Model         string            `json:"model"`
	Tenant        string            `json:"tenant"`
	Parts         []serverpool.Part `json:"parts"`
	Tokens        int               `json:"tokens"` // 0: defaultTokens
	OnceKey       string            `json:"once,omitempty"`
	TimeoutMillis *int64            `json:"budget_ms,omitempty"` // none: the tenant's
}

// Admit checks a request against the plan; status is 0 if it may go on.
//
// Example: request, status, why := index.Admit(asked, id, now)
func (p *PlanIndex) Admit(c ClientRequest, id string, now time.Duration) (r Request, status int, why string) {
	tenant, ok := p.tenants[c.Tenant]
	if !ok {
		why = fmt.Sprintf("tenant: %q isn't in the plan (version %d)", c.Tenant, p.planNumber)
		return r, http.StatusForbidden, why
	}
	if _, ok := p.excluded[c.Model]; !ok {
		why = fmt.Sprintf("model: %q isn't in the plan (version %d)", c.Model, p.planNumber)
		return r, http.StatusNotFound, why
	}
	if len(tenant.Services) > 0 && !slices.Contains(tenant.Services, c.Model) {
		return r, http.StatusForbidden, fmt.Sprintf("model: tenant %q may not use %q", c.Tenant, c.Model)
	}
	timeoutMillis := int64(tenant.TimeoutMillis)
	if c.TimeoutMillis != nil {
		timeoutMillis = *c.TimeoutMillis
	}
	return Request{
		ID: id, Tenant: c.Tenant, Model: c.Model, Priority: tenant.Priority, QueueFraction: tenant.QueueFraction,
		Deadline: now + time.Duration(timeoutMillis)*time.Millisecond,
		Tokens:   cmp.Or(c.Tokens, defaultTokens), OnceKey: c.OnceKey, Parts: c.Parts,
	}, 0, ""
}
