package scheduler

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/message"
)

// PlanIndex is a plan made ready for look-ups.
type PlanIndex struct {
	Version    message.Version
	planNumber uint64
	tenants    map[string]fleetconfig.Tenant
	excluded   map[string]map[string]bool // service -> servers that it excludes
}

// NewPlanIndex reads the plan in force; do it once a version.
//
// Example: s := scheduler.NewPlanIndex(rec)
func NewPlanIndex(rec message.Record) *PlanIndex {
	p := fleetconfig.OpenPlan(rec)
	s := &PlanIndex{Version: rec.Version, planNumber: p.Version, tenants: map[string]fleetconfig.Tenant{}, excluded: map[string]map[string]bool{}}
	for _, t := range p.Tenants {
		s.tenants[t.Name] = t
	}
	for _, v := range p.Services {
		s.excluded[v.Name] = map[string]bool{}
		for _, a := range v.Exclude {
			s.excluded[v.Name][a] = true
		}
	}
	return s
}

// ClientRequest is what a client sends.
type ClientRequest struct {
	Model         string            `json:"model"`
	Tenant        string            `json:"tenant"`
	Parts         []serverpool.Part `json:"parts"`
	Tokens        int               `json:"tokens"`
	OnceKey       string            `json:"once,omitempty"`
	TimeoutMillis *int64            `json:"budget_ms,omitempty"`
}

// Admit checks a request against the plan; code is 0 if it may go on.
//
// Example: req, code, why := sheet.Admit(asked, id, now)
func (s *PlanIndex) Admit(q ClientRequest, id string, now time.Duration) (r Request, code int, why string) {
	ten, ok := s.tenants[q.Tenant]
	if !ok {
		return r, 403, fmt.Sprintf("tenant: %q isn't in the plan (version %d)", q.Tenant, s.planNumber)
	}
	if _, ok := s.excluded[q.Model]; !ok {
		return r, 404, fmt.Sprintf("model: %q isn't in the plan (version %d)", q.Model, s.planNumber)
	}
	if len(ten.Services) > 0 && !slices.Contains(ten.Services, q.Model) {
		return r, 403, fmt.Sprintf("model: tenant %q may not use %q", q.Tenant, q.Model)
	}
	timeout := time.Duration(ten.TimeoutMillis) * time.Millisecond
	if q.TimeoutMillis != nil {
		timeout = time.Duration(*q.TimeoutMillis) * time.Millisecond
	}
	if q.Tokens == 0 {
		q.Tokens = 16
	}
	return Request{ID: id, Tenant: q.Tenant, Model: q.Model, Priority: ten.Priority, QueueFraction: ten.QueueFraction, Deadline: now + timeout, Tokens: q.Tokens, OnceKey: q.OnceKey, Parts: q.Parts}, 0, ""
}
