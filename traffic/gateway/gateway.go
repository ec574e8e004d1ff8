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

// Gateway serves the requests of clients on one daemon.
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

// New returns a gateway on a daemon and registers its callbacks with the daemon.
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
	engines.OnLoad(g.onServerLoad)
	d.OnLoadReport, d.Pressure = g.receiveLoadReport, g.pressure
	return g
}

// Config derives a dispatcher's parameters from the daemon's config.
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

// LoadReportConfig derives the parameters of load reports from the daemon's config.
//
// Example: reporter := loadreport.New(gateway.LoadReportConfig(cfg))
func LoadReportConfig(c daemon.Config) loadreport.Config {
	interval := c.Bounds.Plan / 8
	return loadreport.Config{
		Interval: interval, MaxAge: 5 * interval, MaxPrefixes: 128, CachedFraction: 0.7, MaxRemembered: 1 << 14,
	}
}

// source reads the records by which requests are routed.
type source struct{ *daemon.Daemon }

// Read returns a record under valid leases, or for a limited time after they expired.
//
// Example: rec, ok := source.Read(0, fleetconfig.PlanKey)
func (s source) Read(partition int, key string) (message.Record, bool) {
	return s.ReadAllowingStale(partition, key)
}

// Until returns when Read stops returning the records of a partition. These are the records of
// the zones for partition 0, and the records of the servers for other partitions.
//
// Example: if now < source.Until(partition) { route() }
func (s source) Until(partition int) time.Duration {
	return s.StaleUntil(partition, fleetconfig.ZoneKey)
}

// InFlight returns the number of requests in flight.
//
// Example: for g.InFlight() > 0 { wait() }
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

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
		case <-changed: // changes come in bursts, which are processed together
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

// refreshServices pins the records that the services of the plan need, and updates the
// measurements of their servers.
func (g *Gateway) refreshServices(measure bool) {
	p, ok := g.currentPlan()
	if !ok {
		return
	}
	for _, service := range p.plan.Services {
		d := g.dispatcherFor(service.Name)
		// The record of a newly listed server is about to be written. Pinning it at the next
		// interval avoids a read before the record exists, which would have to be repeated.
		if measure || !d.hasPins() {
			g.pinRecords(d)
			g.updateMeasurements(d, service)
		}
	}
}

// logSummary logs how many requests were not served since the last summary, by reason, and how
// many sends were based on records with expired leases.
func (g *Gateway) logSummary() {
	if text := g.report.staleSendSummary(); text != "" {
		g.daemon.Events.Info("records", text)
	}
	if text := g.report.failureSummary(); text != "" {
		g.daemon.Events.Info("requests", "not served since the last summary: "+text)
	}
}

// Serve handles a request until it ends.
//
// Example: g.Serve(r.Context(), request, client)
func (g *Gateway) Serve(ctx context.Context, req *Request, w Client) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrivedAt := g.daemon.Now()
	p, ok := g.awaitPlan(ctx, g.maxWait(req), g.currentPlan)
	if !ok {
		g.rejectEarly(req, w, http.StatusServiceUnavailable, "no valid lease on the configuration here")
		return
	}
	a := g.admit(ctx, req, p)
	if a.status != 0 {
		g.rejectEarly(req, w, a.status, a.reason)
		return
	}
	if status, reason, retryAfter := g.takeToken(ctx, &a); status != 0 {
		g.rejectWithRetryAfter(req, w, status, reason, retryAfter)
		return
	}
	g.execute(ctx, req, &a, newForwardRequest(req, a, arrivedAt), w)
}

// newForwardRequest converts an admitted request to the form that the dispatcher handles,
// with the parameters of its route and tenant.
func newForwardRequest(req *Request, a admission, arrivedAt time.Duration) forward.Request {
	r, p := a.route, a.plan
	resumes := r.Kind == "stream" && r.Resume
	fwd := forward.Request{
		ID: req.ID, Service: route.Pick(r, requestHash(req.ID)),
		Repeatable: r.Kind == "safe" || resumes, Resumable: resumes, ContinuesStream: req.LastEventID != "",
		Urgency: r.Urgency, LeastUrgency: p.leastUrgency, MaxAttempts: r.MaxAttempts,
		TTFTTarget:       time.Duration(r.TargetMillis) * time.Millisecond,
		InterTokenTarget: time.Duration(r.GapMillis) * time.Millisecond,
		Deadline:         arrivedAt + time.Duration(r.GiveUpMillis)*time.Millisecond,
		Parts:            req.Parts, InputTokens: req.InputTokens, MaxOutputTokens: req.MaxOutputTokens,
		BodyBytes: len(req.Body),
	}
	if a.tenant != nil {
		fwd.Tenant, fwd.TenantAtLimit = a.tenant.Name, a.permit.isTenantAtLimit
		if a.tenant.Urgency != nil {
			fwd.Urgency = *a.tenant.Urgency
		}
	}
	fwd.Disaggregated = r.Kind == "stream" && p.disaggregated[fwd.Service]
	if req.ClientTimeout > 0 {
		fwd.Deadline = min(fwd.Deadline, arrivedAt+req.ClientTimeout)
	}
	if fwd.TTFTTarget == 0 {
		fwd.TTFTTarget = (fwd.Deadline - arrivedAt) / 4
	}
	return fwd
}
