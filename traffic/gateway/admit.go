package gateway

import (
	"context"
	"net/http"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
)

// Reasons for not admitting a request.
const (
	reasonNoRoute       = "no route"
	reasonNoKey         = "no key"
	reasonUnknownKey    = "unknown key"
	reasonKeyRevoked    = "its key was taken away"
	reasonPlanUncertain = "no such route or key in the last configuration known here"
)

// admission is the result of matching a request with a plan. One version of the plan
// determines its route, its tenant and the tenant's limit.
type admission struct {
	plan   *activePlan
	route  *fleetconfig.Route
	tenant *apikey.Tenant // tenant of the client's key; nil if no key is needed
	status int            // HTTP status of the refusal; 0 if the request is admitted
	reason string
	permit permit // set if the tenant has a limit
}

// admit finds the route and tenant of a request in the plan.
func (p *activePlan) admit(req *Request) admission {
	a := admission{plan: p}
	route, ok := p.table.Match(req.Host, req.Path)
	if !ok {
		a.status, a.reason = http.StatusNotFound, reasonNoRoute
		return a
	}
	a.route, a.tenant = route, p.tenants.Find(req.Key)
	switch {
	case a.tenant != nil || route.Public || !p.tenants.Required():
	case req.Key == "":
		a.status, a.reason = http.StatusUnauthorized, reasonNoKey
	default:
		a.status, a.reason = http.StatusUnauthorized, reasonUnknownKey
	}
	return a
}

// admit finds the route and tenant of a request. Only a plan under valid leases can prove
// that the request has no route or tenant, so admit waits for a leased plan before a refusal,
// for at most RetryAfter.
func (g *Gateway) admit(ctx context.Context, req *Request, p *activePlan) admission {
	if a := p.admit(req); a.status == 0 {
		return a
	}
	leased, ok := g.awaitPlan(ctx, min(g.maxWait(req), g.cfg.RetryAfter), g.leasedPlan)
	if !ok {
		return admission{plan: p, status: http.StatusServiceUnavailable, reason: reasonPlanUncertain}
	}
	return leased.admit(req)
}

// isKeyValid reports whether a request's key still belongs, by the current plan, to the tenant
// that the request was admitted for. It is checked before each send, as a request may wait.
func (g *Gateway) isKeyValid(req *Request, admitted admission) bool {
	p, ok := g.currentPlan()
	return !ok || admitted.isValidIn(p, req.Key) // without a plan, no server is picked and nothing is sent
}

// isValidIn reports whether a key belongs to the tenant of the admission in another plan.
func (a admission) isValidIn(p *activePlan, key string) bool {
	if a.tenant == nil || p.version == a.plan.version {
		return true
	}
	tenant := p.tenants.Find(key)
	return tenant != nil && tenant.Name == a.tenant.Name
}
