package scheduler

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/message"
)

// Sheet is a plan made ready for look-ups.
type Sheet struct {
	Ver     message.Version
	plan    uint64
	tenants map[string]fleetconfig.Tenant
	out     map[string]map[string]bool // service -> servers that it excludes
}

// NewSheet reads the plan in force; do it once a version.
//
// Example: s := scheduler.NewSheet(rec)
func NewSheet(rec message.Record) *Sheet {
	p := fleetconfig.OpenPlan(rec)
	s := &Sheet{Ver: rec.Version, plan: p.Version, tenants: map[string]fleetconfig.Tenant{}, out: map[string]map[string]bool{}}
	for _, t := range p.Tenants {
		s.tenants[t.Name] = t
	}
	for _, v := range p.Services {
		s.out[v.Name] = map[string]bool{}
		for _, a := range v.Exclude {
			s.out[v.Name][a] = true
		}
	}
	return s
}

// Asked is what a client sends.
type Asked struct {
	Model   string            `json:"model"`
	Tenant  string            `json:"tenant"`
	Parts   []serverpool.Part `json:"parts"`
	Tokens  int               `json:"tokens"`
	Once    string            `json:"once,omitempty"`
	Timeout *int64            `json:"budget_ms,omitempty"`
}

// Take checks a request against the plan; code is 0 if it may go on.
//
// Example: req, code, why := sheet.Take(asked, id, now)
func (s *Sheet) Take(q Asked, id string, now time.Duration) (r Request, code int, why string) {
	ten, ok := s.tenants[q.Tenant]
	if !ok {
		return r, 403, fmt.Sprintf("tenant: %q isn't in the plan (version %d)", q.Tenant, s.plan)
	}
	if _, ok := s.out[q.Model]; !ok {
		return r, 404, fmt.Sprintf("model: %q isn't in the plan (version %d)", q.Model, s.plan)
	}
	if len(ten.Services) > 0 && !slices.Contains(ten.Services, q.Model) {
		return r, 403, fmt.Sprintf("model: tenant %q may not use %q", q.Tenant, q.Model)
	}
	timeout := time.Duration(ten.TimeoutMillis) * time.Millisecond
	if q.Timeout != nil {
		timeout = time.Duration(*q.Timeout) * time.Millisecond
	}
	if q.Tokens == 0 {
		q.Tokens = 16
	}
	return Request{ID: id, Tenant: q.Tenant, Model: q.Model, Prio: ten.Priority, Part: ten.QueueFraction, Due: now + timeout, Tokens: q.Tokens, Once: q.Once, Parts: q.Parts}, 0, ""
}
