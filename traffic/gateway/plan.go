package gateway

import (
	"context"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// activePlan is a version of the plan prepared for lookups; it is immutable.
type activePlan struct {
	generation    uint64        // of partition 0's records; when it changes, the plan is read again
	validUntil    time.Duration // on the daemon's clock
	version       message.Version
	table         *route.Table
	tenants       *apikey.Index
	plan          fleetconfig.Plan
	leastUrgency  int             // urgency of the least urgent route or tenant
	disaggregated map[string]bool // services with separate prefill and decode servers
}

// currentPlan returns the plan by which requests are routed now, if there is one. It may be
// stale for a limited time after its leases expired.
func (g *Gateway) currentPlan() (*activePlan, bool) {
	last, generation := g.plan.Load(), g.daemon.Generation(0)
	if last != nil && last.generation == generation && g.daemon.Now() < last.validUntil {
		return last, true
	}
	until := g.daemon.StaleUntil(0, fleetconfig.PlanKey)
	rec, ok := g.daemon.ReadAllowingStale(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	var p *activePlan
	if last != nil && last.version == rec.Version {
		renewed := *last
		p = &renewed
	} else {
		p = g.preparePlan(rec, last)
	}
	p.generation, p.validUntil = generation, until
	g.plan.Store(p)
	return p, true
}

// preparePlan decodes a record and prepares it for lookups.
func (g *Gateway) preparePlan(rec message.Record, last *activePlan) *activePlan {
	plan := g.daemon.DecodePlan(rec)
	if last != nil {
		planNeverGoesBack.Hold(plan.Version >= last.plan.Version,
			"version %d after version %d", plan.Version, last.plan.Version)
	}
	p := &activePlan{
		version: rec.Version, plan: plan, table: route.New(plan), tenants: apikey.NewIndex(plan, g.hasher),
		disaggregated: map[string]bool{},
	}
	for _, service := range plan.Services {
		p.disaggregated[service.Name] = service.TokenBytes > 0
	}
	for _, r := range plan.Routes {
		p.leastUrgency = max(p.leastUrgency, r.Urgency)
	}
	for _, t := range plan.Tenants {
		if t.Urgency != nil {
			p.leastUrgency = max(p.leastUrgency, *t.Urgency)
		}
	}
	return p
}

// BodyBytes returns the maximum size of a request body according to the last plan that this
// daemon read, or 0 if it has read none. sure reports whether the plan is under valid leases;
// only then may a larger body be refused permanently.
//
// Example: most, sure := g.BodyBytes()
func (g *Gateway) BodyBytes() (most int64, sure bool) {
	if p, ok := g.leasedPlan(); ok {
		return int64(p.plan.Limits.BodyBytes), true
	}
	if p := g.plan.Load(); p != nil {
		return int64(p.plan.Limits.BodyBytes), false
	}
	return 0, false
}

// leasedPlan returns the plan if it is covered by valid leases now. Requests are also routed
// by a plan whose leases expired recently, but a permanent refusal needs a leased plan.
func (g *Gateway) leasedPlan() (*activePlan, bool) {
	rec, ok := g.daemon.Read(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	p, ok := g.currentPlan()
	return p, ok && p.version == rec.Version
}

// maxWait returns how long a request waits for a plan.
func (g *Gateway) maxWait(req *Request) time.Duration {
	if req.ClientTimeout > 0 {
		return min(g.cfg.MaxWait, req.ClientTimeout/2)
	}
	return g.cfg.MaxWait
}

// awaitPlan waits until read returns a plan, for at most the given time.
func (g *Gateway) awaitPlan(
	ctx context.Context, most time.Duration, read func() (*activePlan, bool),
) (*activePlan, bool) {
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	ticker := time.NewTicker(max(time.Millisecond, most/16))
	defer ticker.Stop()
	for {
		changed := g.daemon.Changed()
		if p, ok := read(); ok {
			return p, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-timeout.C:
			return nil, false
		case <-changed:
		case <-ticker.C:
		}
	}
}
