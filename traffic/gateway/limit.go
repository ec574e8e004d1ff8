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

// Reasons for which a request gets no token.
const (
	reasonBeyondLimit = "its tenant is beyond its limit"
	reasonNoAllocator = "no leader that gives out its tenant's limit can be reached"
)

// permit is a token of a tenant's limit, for one run of a request.
type permit struct {
	until           time.Duration // on the daemon's clock; 0: there is none, or it was used
	isTenantAtLimit bool
}

// isValid tells whether a run may begin by it.
func (p *permit) isValid(now time.Duration) bool { return now < p.until }

// use takes the token for a run that may have begun.
func (p *permit) use() { p.until = 0 }

// limits is this daemon's access to the tenants' limits.
type limits struct {
	daemon     *daemon.Daemon
	askTimeout time.Duration
	// leaderWait is how long a request waits where no leader is known, as after a start.
	leaderWait time.Duration

	mu      sync.Mutex // guards all below
	limiter *limiter.Limiter
	view    *membership.View // that leaders are from
	leaders []limiter.Leader // by partition
}

// LimiterConfig is the limiter's bounds, as ratios to those in the daemon's config.
//
// Example: l := limiter.New(gateway.LimiterConfig(cfg))
func LimiterConfig(c daemon.Config) limiter.Config {
	return limiter.Config{
		Bounds:     ratelimit.Bounds{Window: c.Limit.Window, Overrun: c.Limit.Overrun, Slack: c.Limit.Slack},
		Partitions: c.Partitions, SilentFor: c.VolumeLease() / 2, RetryAfter: c.VolumeLease() / 4,
	}
}

func newLimits(d *daemon.Daemon) *limits {
	return &limits{
		daemon: d, askTimeout: d.Cfg.VolumeLease() / 8, leaderWait: d.Cfg.VolumeLease() / 2,
		limiter: limiter.New(LimiterConfig(d.Cfg)),
	}
}

// refreshLeaders looks up the partitions' leaders, once a view; the lock is held.
func (l *limits) refreshLeaders() {
	view := l.daemon.View()
	if view == l.view {
		return
	}
	l.view, l.leaders = view, leadersOf(view, l.daemon.Cfg.Partitions)
}

// leadersOf lists the leaders of partition 0 and of so many others, as a view has them: it
// may know those of some partitions only.
func leadersOf(view *membership.View, partitions int) []limiter.Leader {
	leaders := make([]limiter.Leader, partitions+1)
	for p := range leaders {
		leader := view.Leaderships[p].Leader
		member, _ := view.Find(leader.Ident)
		isNear := leader.Ident == view.Self.Ident || member.Zone == view.Self.Zone
		leaders[p] = limiter.Leader{Known: leader.Ident != "", Near: leader.Ident != "" && isNear}
	}
	return leaders
}

// next is the next move towards a token.
func (l *limits) next(a *limiter.Acquisition) limiter.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLeaders()
	return l.limiter.Next(l.daemon.Now(), a, l.leaders)
}

// ask asks a leader for a token.
func (l *limits) ask(ctx context.Context, a *limiter.Acquisition, move limiter.Move) (until time.Duration, granted bool) {
	askedAt := l.daemon.Now()
	grant, answered := l.daemon.RequestToken(ctx, move.Partition, move.Request, l.askTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case grant.Granted:
		return l.limiter.Granted(askedAt, a), true
	case answered:
		l.limiter.Refused(l.daemon.Now(), a, move.Partition, grant.RetryAfter)
	case ctx.Err() == nil:
		l.limiter.Unanswered(l.daemon.Now(), move.Partition)
	}
	return 0, false
}

// acquire takes a token for a request; the last move says why there is none.
func (l *limits) acquire(ctx context.Context, t limiter.Tenant) (permit, limiter.Move) {
	l.mu.Lock()
	a := l.limiter.Start(t)
	l.mu.Unlock()
	waitUntil := l.daemon.Now() + l.leaderWait
	for {
		move := l.next(a)
		if move.Action == limiter.Unknown && l.daemon.Now() < waitUntil && l.awaitLeader(ctx) {
			continue
		}
		if move.Action != limiter.Ask || ctx.Err() != nil {
			return permit{}, move
		}
		if until, granted := l.ask(ctx, a, move); granted {
			return permit{until: until, isTenantAtLimit: a.IsAtLimit()}, move
		}
	}
}

// awaitLeader waits a short while in which a leader may become known; false: its caller went
// away.
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

// outcomes of acquiring a token, for figures.
const (
	tokenGranted     = "granted"
	tokenBeyond      = "beyond"
	tokenUnreachable = "unreachable"
)

// takeToken takes a token for a request whose tenant has a limit. Without one the reason is
// given, and when to come back.
func (g *Gateway) takeToken(ctx context.Context, a *admission) (status int, reason string, retryAfter time.Duration) {
	if a.tenant == nil || !a.tenant.IsLimited() {
		return 0, "", 0
	}
	taken, move := g.limits.acquire(ctx, limiter.Tenant{
		Name: a.tenant.Name, Version: a.plan.plan.Version,
		Limit: ratelimit.Limit{Rate: a.tenant.Rate, Burst: a.tenant.Burst},
	})
	a.permit = taken
	outcome := tokenGranted
	switch {
	case taken.until > 0:
	case move.Action == limiter.Beyond:
		outcome, status, reason = tokenBeyond, http.StatusTooManyRequests, reasonBeyondLimit
	default:
		outcome, status, reason = tokenUnreachable, http.StatusServiceUnavailable, reasonNoAllocator
	}
	g.daemon.Metrics.GetOrCreateCounter(fmt.Sprintf("mulleinmast_limit_tokens_total{outcome=%q}", outcome)).Inc()
	return status, reason, move.RetryAfter
}

// mayRun tells whether a request's token allows a run to begin now.
func (a *admission) mayRun(now time.Duration) bool {
	return a.tenant == nil || !a.tenant.IsLimited() || a.permit.isValid(now)
}
