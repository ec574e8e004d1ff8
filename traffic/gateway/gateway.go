package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// Gateway serves clients.
type Gateway struct {
	daemon   *daemon.Daemon
	engines  Engines
	cfg      forward.Config
	plan     atomic.Pointer[activePlan]
	hasher   *apikey.Hasher
	limits   *limits
	inFlight atomic.Int64
	report   *report

	mu          sync.Mutex             // guards dispatchers
	dispatchers map[string]*dispatcher // by service

	loadMu sync.Mutex // guards loads
	loads  *loadreport.Reporter
}

// New makes a gateway on a daemon.
//
// Example: g := gateway.New(d, engines)
func New(d *daemon.Daemon, engines Engines) *Gateway {
	g := &Gateway{
		daemon: d, engines: engines, cfg: Config(d.Cfg), report: newReport(d.Metrics),
		dispatchers: map[string]*dispatcher{}, loads: loadreport.New(LoadReportConfig(d.Cfg)), hasher: apikey.NewHasher(),
		limits: newLimits(d),
	}
	d.Explainers = append(d.Explainers, g.report.explain)
	d.Metrics.NewGauge("mulleinmast_requests_open", func() float64 { return float64(g.inFlight.Load()) })
	engines.OnLoad(g.loadReported)
	d.OnLoadReport, d.Pressure = g.receiveLoadReport, g.pressure
	return g
}

// Config is a dispatcher's bounds, as ratios to those in the daemon's config.
//
// Example: d := forward.New(gateway.Config(cfg), service, partition, source, load)
func Config(c daemon.Config) forward.Config {
	return forward.Config{
		Zone: c.Zone, RetryRatio: c.Retry.Ratio, RetryWindow: c.Retry.Window, RetrySlack: c.Retry.Slack * 4 / 5,
		MaxWait: c.VolumeLease() * 5 / 4, MaxListAge: c.MaxListAge(), FailureBackoff: c.Bounds.Plan / 2, RejectionBackoff: c.Bounds.Plan / 8,
		RetryAfter: c.VolumeLease() / 4, PrefillRate: 50, MaxPredictedWait: c.AdmitRatio,
		Weights: forward.Weights{
			CrossZoneBody: 0.0023, CacheMiss: 0.015, KVTransfer: 0.0022, CrossZoneTransfer: 3,
			AffinityMiss: 0.2, Spread: 0.00625, ReportedLoad: 0.4, Warming: 0.05, Stall: 0.3,
		},
	}
}

// LoadReportConfig is the bounds of load reports, as ratios to those in the daemon's config.
//
// Example: reporter := loadreport.New(gateway.LoadReportConfig(cfg))
func LoadReportConfig(c daemon.Config) loadreport.Config {
	interval := c.Bounds.Plan / 8
	return loadreport.Config{
		Interval: interval, MaxAge: 5 * interval, MaxPrefixes: 128, CachedFraction: 0.7, MaxRemembered: 1 << 14,
	}
}

// source reads the records that requests are routed by.
type source struct{ *daemon.Daemon }

// Read serves a record under valid leases, or for a while after they lapsed.
//
// Example: rec, ok := source.Read(0, fleetconfig.PlanKey)
func (s source) Read(partition int, key string) (message.Record, bool) {
	return s.ReadAllowingStale(partition, key)
}

// Until is when that ends, of the zones in the configuration and of the servers elsewhere.
//
// Example: if now < source.Until(partition) { route() }
func (s source) Until(partition int) time.Duration {
	return s.StaleUntil(partition, fleetconfig.ZoneKey)
}

// Open is the number of requests under way.
//
// Example: for g.Open() > 0 { wait() }
func (g *Gateway) Open() int64 { return g.inFlight.Load() }

// Run sends load reports and pins the records that the dispatchers read, until the
// context ends.
//
// Example: supervisor.Add(g.Run)
func (g *Gateway) Run(ctx context.Context) error {
	interval := LoadReportConfig(g.daemon.Cfg).Interval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	delayed := time.NewTimer(0)
	defer delayed.Stop()
	summary := time.NewTicker(summaryIntervals * interval)
	defer summary.Stop()
	changed := g.daemon.Changed()
	for measure := true; ; {
		g.sendLoadReports()
		g.refreshServices(measure)
		measure = false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed: // changes come in crowds: they are looked at together
			delayed.Reset(interval / 16)
			changed = nil
		case <-delayed.C:
			changed = g.daemon.Changed()
		case <-summary.C:
			g.logSummary()
		case <-ticker.C:
			measure = true
			if changed == nil {
				changed = g.daemon.Changed()
			}
		}
	}
}

// refreshServices pins what the services of the plan need, and measures them.
func (g *Gateway) refreshServices(measure bool) {
	p, ok := g.readPlan()
	if !ok {
		return
	}
	for _, service := range p.plan.Services {
		d := g.dispatcherOf(service.Name)
		// The record of a server that was listed just now is about to be written: it is asked for
		// at the next interval, once, rather than now and again when it is there.
		if measure || !d.hasPins() {
			g.pinRecords(d)
			g.measure(d, service)
		}
	}
}

// logSummary logs how many requests were not served since the last time, and why, and how
// many sends went by records without a lease.
func (g *Gateway) logSummary() {
	if text := g.report.summaryOfSends(); text != "" {
		g.daemon.Events.Info("records", text)
	}
	if text := g.report.summary(); text != "" {
		g.daemon.Events.Info("requests", "not served since the last line: "+text)
	}
}

// Serve sees a request through to its end.
//
// Example: g.Serve(r.Context(), request, client)
func (g *Gateway) Serve(ctx context.Context, q *Request, w Client) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrivedAt := g.daemon.Now()
	p, ok := g.awaitPlan(ctx, g.maxWait(q), g.readPlan)
	if !ok {
		g.rejectEarly(q, w, http.StatusServiceUnavailable, "no valid lease on the configuration here")
		return
	}
	a := g.admit(ctx, q, p)
	if a.status != 0 {
		g.rejectEarly(q, w, a.status, a.reason)
		return
	}
	if status, reason, retryAfter := g.takeToken(ctx, &a); status != 0 {
		g.rejectFor(q, w, status, reason, retryAfter)
		return
	}
	g.execute(ctx, q, &a, routed(q, a, arrivedAt), w)
}

// routed is a request by the terms of its route and tenant.
func routed(q *Request, a admission, arrivedAt time.Duration) forward.Request {
	r, p := a.route, a.plan
	resumes := r.Kind == "stream" && r.Resume
	c := forward.Request{
		ID: q.ID, Service: route.Pick(r, requestHash(q.ID)),
		Repeatable: r.Kind == "safe" || resumes, Resumable: resumes, ContinuesStream: q.LastEventID != "",
		Urgency: r.Urgency, LeastUrgency: p.leastUrgency, MaxAttempts: r.MaxAttempts,
		TTFTTarget:       time.Duration(r.TargetMillis) * time.Millisecond,
		InterTokenTarget: time.Duration(r.GapMillis) * time.Millisecond,
		Deadline:         arrivedAt + time.Duration(r.GiveUpMillis)*time.Millisecond,
		Parts:            q.Parts, InputTokens: q.InputTokens, MaxOutputTokens: q.MaxOutputTokens, BodyBytes: len(q.Body),
	}
	if a.tenant != nil {
		c.Tenant, c.TenantAtLimit = a.tenant.Name, a.permit.isTenantAtLimit
		if a.tenant.Urgency != nil {
			c.Urgency = *a.tenant.Urgency
		}
	}
	c.Disaggregated = r.Kind == "stream" && p.disaggregated[c.Service]
	if q.ClientTimeout > 0 {
		c.Deadline = min(c.Deadline, arrivedAt+q.ClientTimeout)
	}
	if c.TTFTTarget == 0 {
		c.TTFTTarget = (c.Deadline - arrivedAt) / 4
	}
	return c
}
