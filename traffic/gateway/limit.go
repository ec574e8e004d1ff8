package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/membership"
	"mulleinmast/control/ratelimit"
	"mulleinmast/traffic/limiter"
)

// Reasons for not granting a token to a request.
const (
	reasonLimitExceeded = "its tenant is beyond its limit"
	reasonNoAllocator   = "no leader that gives out its tenant's limit can be reached"
)

// permit is a token of a tenant's limit, for one run of a request.
type permit struct {
	until           time.Duration // expiry on the daemon's clock; 0 if there is no token or it was used
	isTenantAtLimit bool
}

// isValid reports whether the token allows a run to begin now.
func (p *permit) isValid(now time.Duration) bool { return now < p.until }

// use consumes the token for a run that may have begun.
func (p *permit) use() { p.until = 0 }

// limits acquires tokens of the tenants' limits for this daemon.
type limits struct {
	daemon     *daemon.Daemon
	askTimeout time.Duration
	// leaderWait is how long a request waits for a known leader, for example after start-up.
	leaderWait time.Duration

	mu      sync.Mutex // guards the fields below
	limiter *limiter.Limiter
	view    *membership.View // the view that leaders was computed from
	leaders []limiter.Leader // by partition
}

// LimiterConfig derives the limiter's parameters from the daemon's config.
//
// Example: l := limiter.New(gateway.LimiterConfig(cfg))
func LimiterConfig(c daemon.Config) limiter.Config {
	return limiter.Config{
		Bounds:     ratelimit.Bounds{Window: c.Limit.Window, Overrun: c.Limit.Overrun, Slack: c.Limit.Slack},
		Partitions: c.Partitions, UnreachableBackoff: c.VolumeLease() / 2, RetryAfter: c.VolumeLease() / 4,
	}
}

func newLimits(d *daemon.Daemon) *limits {
	return &limits{
		daemon: d, askTimeout: d.Cfg.VolumeLease() / 8, leaderWait: d.Cfg.VolumeLease() / 2,
		limiter: limiter.New(LimiterConfig(d.Cfg)),
	}
}

// refreshLeaders updates the partitions' leaders if the view changed; the caller holds l.mu.
func (l *limits) refreshLeaders() {
	view := l.daemon.View()
	if view == l.view {
		return
	}
	l.view, l.leaders = view, limiterLeaders(view, l.daemon.Cfg.Partitions)
}

// limiterLeaders returns the leaders in a view, indexed by partition, from 0 to partitions
// inclusive. Leaders that the view doesn't contain are marked as unknown.
func limiterLeaders(view *membership.View, partitions int) []limiter.Leader {
	leaders := make([]limiter.Leader, partitions+1)
	for p := range leaders {
		leader := view.Leaderships[p].Leader
		member, _ := view.Find(leader.Ident)
		isNear := leader.Ident == view.Self.Ident || member.Zone == view.Self.Zone
		leaders[p] = limiter.Leader{Known: leader.Ident != "", Near: leader.Ident != "" && isNear}
	}
	return leaders
}

// next returns the next step of an acquisition.
func (l *limits) next(a *limiter.Acquisition) limiter.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLeaders()
	return l.limiter.Next(l.daemon.Now(), a, l.leaders)
}

// requestToken asks a leader for a token.
func (l *limits) requestToken(
	ctx context.Context, a *limiter.Acquisition, decision limiter.Decision,
) (until time.Duration, granted bool) {
	askedAt := l.daemon.Now()
	grant, answered := l.daemon.RequestToken(ctx, decision.Partition, decision.Request, l.askTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case grant.Granted:
		return l.limiter.TokenExpiry(askedAt, a), true
	case answered:
		l.limiter.RecordRefusal(l.daemon.Now(), a, decision.Partition, grant.RetryAfter)
	case ctx.Err() == nil:
		l.limiter.RecordUnreachable(l.daemon.Now(), decision.Partition)
	}
	return 0, false
}

// acquire acquires a token for a request. If it fails, the permit is empty and the decision
// contains the cause.
func (l *limits) acquire(ctx context.Context, t limiter.Tenant) (permit, limiter.Decision) {
	l.mu.Lock()
	a := l.limiter.Start(t)
	l.mu.Unlock()
	waitUntil := l.daemon.Now() + l.leaderWait
	for {
		decision := l.next(a)
		if decision.Action == limiter.NoLeaderKnown && l.daemon.Now() < waitUntil && l.awaitLeader(ctx) {
			continue
		}
		if decision.Action != limiter.Ask || ctx.Err() != nil {
			return permit{}, decision
		}
		if until, granted := l.requestToken(ctx, a, decision); granted {
			return permit{until: until, isTenantAtLimit: a.IsAtLimit()}, decision
		}
	}
}

// awaitLeader waits a fraction of leaderWait, after which the caller checks again for a known
// leader. It returns false if the context ended.
func (l *limits) awaitLeader(ctx context.Context) bool {
	timer := time.NewTimer(l.leaderWait / 16)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Outcomes of acquiring a token, for metrics.
const (
	tokenGranted       = "granted"
	tokenLimitExceeded = "beyond"
	tokenUnreachable   = "unreachable"
)

// takeToken takes a token for a request whose tenant has a limit. If it fails, it returns the
// HTTP status and reason of the refusal and when the client may retry.
func (g *Gateway) takeToken(ctx context.Context, a *admission) (status int, reason string, retryAfter time.Duration) {
	if a.tenant == nil || !a.tenant.IsLimited() {
		return 0, "", 0
	}
	taken, decision := g.limits.acquire(ctx, limiter.Tenant{
		Name: a.tenant.Name, Version: a.plan.plan.Version,
		Limit: ratelimit.Limit{Rate: a.tenant.Rate, Burst: a.tenant.Burst},
	})
	a.permit = taken
	outcome := tokenGranted
	switch {
	case taken.until > 0:
	case decision.Action == limiter.LimitExceeded:
		outcome, status, reason = tokenLimitExceeded, http.StatusTooManyRequests, reasonLimitExceeded
	default:
		outcome, status, reason = tokenUnreachable, http.StatusServiceUnavailable, reasonNoAllocator
	}
	g.daemon.Metrics.GetOrCreateCounter(fmt.Sprintf("mulleinmast_limit_tokens_total{outcome=%q}", outcome)).Inc()
	return status, reason, decision.RetryAfter
}

// mayRun reports whether a run may begin now: the tenant has no limit, or the token is valid.
func (a *admission) mayRun(now time.Duration) bool {
	return a.tenant == nil || !a.tenant.IsLimited() || a.permit.isValid(now)
}
