package gateway

import (
	"context"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// activePlan is the plan in force, made ready for look-ups; it doesn't change.
type activePlan struct {
	generation    uint64        // of what partition 0 serves; an older one is read again
	validUntil    time.Duration // on the daemon's clock
	version       message.Version
	table         *route.Table
	tenants       *apikey.Index
	plan          fleetconfig.Plan
	leastUrgency  int             // the urgency of the least urgent route or tenant
	disaggregated map[string]bool // services whose servers have two roles
}

// readPlan is the plan that requests are routed by now.
func (g *Gateway) readPlan() (*activePlan, bool) {
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
		same := *last
		p = &same
	} else {
		p = g.openPlan(rec, last)
	}
	p.generation, p.validUntil = generation, until
	g.plan.Store(p)
	return p, true
}

// openPlan makes a record ready for look-ups.
func (g *Gateway) openPlan(rec message.Record, last *activePlan) *activePlan {
	plan := g.daemon.OpenPlan(rec)
	if last != nil {
		planGoesOn.Hold(plan.Version >= last.plan.Version, "version %d after version %d", plan.Version, last.plan.Version)
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

// BodyBytes is the longest body that a client may send by the plan last seen
// here, 0 if none says. Only under leases is it the plan in force: a longer body
// may be refused for good then, and not else.
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

// leasedPlan is the plan if it stands under valid leases now. Requests are routed by
// the last plan too, for a while; what ends one for good needs this.
func (g *Gateway) leasedPlan() (*activePlan, bool) {
	rec, ok := g.daemon.Read(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	p, ok := g.readPlan()
	return p, ok && p.version == rec.Version
}

// maxWait is how long a request waits for a plan.
func (g *Gateway) maxWait(q *Request) time.Duration {
	if q.ClientTimeout > 0 {
		return min(g.cfg.MaxWait, q.ClientTimeout/2)
	}
	return g.cfg.MaxWait
}

// awaitPlan waits a short while until read has a plan.
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
