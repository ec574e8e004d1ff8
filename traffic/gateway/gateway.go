package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// dispatcher is one service's shard: the machine under its lock.
type dispatcher struct {
	mu sync.Mutex
	*forward.Dispatcher
	partition int
	pinned    map[string]bool
	pressure  atomic.Pointer[map[string]placement.Pressure] // by server, as keep saw it
}

// activePlan is the plan in force, made ready for look-ups.
type activePlan struct {
	generation    uint64
	validUntil    time.Duration
	version       message.Version
	table         *route.Table
	plan          fleetconfig.Plan
	leastUrgency  int             // the urgency of the least urgent route
	disaggregated map[string]bool // services whose servers have two halves
}

// Gateway serves clients.
type Gateway struct {
	daemon      *daemon.Daemon
	engines     Engines
	cfg         forward.Config
	mu          sync.Mutex
	dispatchers map[string]*dispatcher
	plan        atomic.Pointer[activePlan]
	inFlight    atomic.Int64
	report      *report

	loadMu sync.Mutex
	loads  *loadreport.Reporter
}

// New makes a gateway on a daemon.
//
// Example: g := gateway.New(c, engines)
func New(c *daemon.Daemon, eng Engines) *Gateway {
	g := &Gateway{daemon: c, engines: eng, cfg: Config(c.Cfg), dispatchers: map[string]*dispatcher{}, loads: loadreport.New(LoadReportConfig(c.Cfg)), report: newReport(c.Metrics)}
	c.Explainers = append(c.Explainers, g.report.explain)
	c.Metrics.NewGauge("mulleinmast_requests_open", func() float64 { return float64(g.inFlight.Load()) })
	eng.OnLoad(g.loadReported)
	c.OnLoadReport, c.Pressure = g.receiveLoadReport, g.pressure
	return g
}

// Config is a dispatcher's bounds, as ratios to those in the daemon's config.
//
// Example: l := forward.New(gateway.Config(cfg), svc, part, source)
func Config(c daemon.Config) forward.Config {
	return forward.Config{
		Zone: c.Zone, RetryRatio: c.Retry.Ratio, RetryWindow: c.Retry.Window, RetrySlack: c.Retry.Slack * 4 / 5, MaxWait: c.VolumeLease() * 5 / 4,
		FailureBackoff: c.Bounds.Plan / 2, RejectionBackoff: c.Bounds.Plan / 8, RetryAfter: c.VolumeLease() / 4, PrefillRate: 50, MaxPredictedWait: c.AdmitRatio,
		Weights: forward.Weights{CrossZoneBody: 0.0023, CacheMiss: 0.05, KVTransfer: 0.0022, CrossZoneTransfer: 3, AffinityMiss: 0.05, Warming: 0.05, Stall: 0.3},
	}
}

// LoadReportConfig is the board's bounds, as ratios to those in the daemon's config.
//
// Example: b := loadreport.New(gateway.LoadReportConfig(cfg))
func LoadReportConfig(c daemon.Config) loadreport.Config {
	beat := c.Bounds.Plan / 8
	return loadreport.Config{Interval: beat, MaxAge: 5 * beat, MaxPrefixes: 128, CachedFraction: 0.7, MaxRemembered: 1 << 14}
}

// source reads the records that requests are routed by.
type source struct{ *daemon.Daemon }

// Read serves a record under valid leases, or for a while after they lapsed.
//
// Example: rec, ok := source.Read(0, fleetconfig.PlanKey)
func (s source) Read(partition int, key string) (message.Record, bool) {
	return s.ReadAllowingStale(partition, key)
}

// Until is when that ends.
//
// Example: if now < source.Until(p) { route() }
func (s source) Until(partition int) time.Duration { return s.StaleUntil(partition) }

// pressure tells the servers' holder how hard one of them is pressed. The holder
// asks under its part's lock, and a dispatcher reads that part under its own: what
// keep last saw is told, without the dispatcher's lock.
func (g *Gateway) pressure(svc, key string) placement.Pressure {
	if all := g.dispatcherOf(svc).pressure.Load(); all != nil {
		return (*all)[key]
	}
	return placement.Pressure{}
}

// receiveLoadReport takes another daemon's load report.
func (g *Gateway) receiveLoadReport(n message.Message) {
	g.loadMu.Lock()
	defer g.loadMu.Unlock()
	g.loads.Step(g.daemon.Now(), n)
}

// sendLoadReports sends the load reports that are due.
func (g *Gateway) sendLoadReports() {
	v := g.daemon.View()
	g.loadMu.Lock()
	out := g.loads.Tick(g.daemon.Now(), v.Self, v.Members)
	g.loadMu.Unlock()
	g.daemon.SendAll(out)
}

// Open is the number of requests under way.
//
// Example: for g.Open() > 0 { wait() }
func (g *Gateway) Open() int64 { return g.inFlight.Load() }

// Run keeps the records wanted that the lanes read, until the context ends.
//
// Example: supervisor.Add(g.Run)
func (g *Gateway) Run(ctx context.Context) error {
	beat := LoadReportConfig(g.daemon.Cfg).Interval
	t := time.NewTicker(beat)
	defer t.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	news := g.daemon.Changed()
	summary := time.NewTicker(summaryIntervals * beat)
	defer summary.Stop()
	for whole := true; ; {
		g.sendLoadReports()
		if s, ok := g.readPlan(); ok {
			for _, svc := range s.plan.Services {
				l := g.dispatcherOf(svc.Name)
				g.keep(l)
				if whole {
					g.measure(l, svc)
				}
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-news: // news come in crowds: they are looked at together
			soon.Reset(beat / 16)
			whole, news = false, nil
		case <-soon.C:
			whole, news = false, g.daemon.Changed()
		case <-summary.C:
			whole = false
			if text := g.report.summary(); text != "" {
				g.daemon.Events.Info("requests", "not served since the last line: "+text)
			}
		case <-t.C:
			whole = true
			if news == nil {
				news = g.daemon.Changed()
			}
		}
	}
}

// measure takes what changes all the time: the fleet, and the servers' strain.
func (g *Gateway) measure(l *dispatcher, svc fleetconfig.Service) {
	servers := g.strained(l, svc)
	g.loadMu.Lock()
	for _, s := range servers {
		g.loads.SetCacheSize(loadreport.ServerID(svc.Name, s.Key), svc.MemoryTokens)
	}
	g.loadMu.Unlock()
}

// strained takes the strain of a dispatcher's servers and lists them.
func (g *Gateway) strained(l *dispatcher, svc fleetconfig.Service) []forward.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.fleet(l)
	l.SetWarmupLimit(forward.WarmupLimit{Rate: svc.WarmUpRate, Over: g.daemon.Cfg.WarmUp.Over, Slack: g.daemon.Cfg.WarmUp.Slack})
	servers := l.Servers()
	strain := make(map[string]placement.Pressure, len(servers))
	for _, s := range servers {
		read, write := l.Pressure(g.daemon.Now(), s.Key)
		strain[s.Key] = placement.Pressure{Prefill: read, Decode: write}
	}
	l.pressure.Store(&strain)
	return servers
}

// keep has the records wanted that a dispatcher reads.
func (g *Gateway) keep(l *dispatcher) {
	for _, k := range l.unpinned() {
		g.daemon.Pin(l.partition, k)
	}
}

// unpinned lists the records that the dispatcher reads and that are not wanted yet.
func (l *dispatcher) unpinned() (fresh []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.Keys() {
		if !l.pinned[k] {
			l.pinned[k] = true
			fresh = append(fresh, k)
		}
	}
	return fresh
}

func (g *Gateway) dispatcherOf(svc string) *dispatcher {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.dispatchers[svc]
	if l == nil {
		p := g.daemon.Partition(svc)
		l = &dispatcher{partition: p, pinned: map[string]bool{}, Dispatcher: forward.New(g.cfg, svc, p, source{g.daemon}, serviceLoads{g, svc})}
		g.fleet(l)
		g.dispatchers[svc] = l
	}
	return l
}

// fleet tells a dispatcher which daemons there are.
func (g *Gateway) fleet(l *dispatcher) {
	v := g.daemon.View()
	daemons := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		daemons = append(daemons, m.Addr)
	}
	l.SetDaemons(g.daemon.Now(), v.Self.Addr, daemons)
}

func (g *Gateway) loadReported(svc, key string, load forward.Load) {
	l := g.dispatcherOf(svc)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.LoadReported(g.daemon.Now(), key, load)
}

// readPlan is the plan that requests are routed by now.
func (g *Gateway) readPlan() (*activePlan, bool) {
	s, gen := g.plan.Load(), g.daemon.Generation(0)
	if s != nil && s.generation == gen && g.daemon.Now() < s.validUntil {
		return s, true
	}
	until := g.daemon.StaleUntil(0)
	rec, ok := g.daemon.ReadAllowingStale(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	if s != nil && s.version == rec.Version {
		n := *s
		n.generation, n.validUntil = gen, until
		g.plan.Store(&n)
		return &n, true
	}
	p := g.daemon.OpenPlan(rec)
	if s != nil {
		planGoesOn.Hold(p.Version >= s.plan.Version, "version %d after version %d", p.Version, s.plan.Version)
	}
	n := &activePlan{generation: gen, validUntil: until, version: rec.Version, plan: p, table: route.New(p), disaggregated: map[string]bool{}}
	for _, v := range p.Services {
		n.disaggregated[v.Name] = v.TokenBytes > 0
	}
	for _, r := range p.Routes {
		n.leastUrgency = max(n.leastUrgency, r.Urgency)
	}
	g.plan.Store(n)
	return n, true
}

// BodyBytes is the longest body that a client may send by the plan last seen
// here, 0 if none says. Only under leases is it the plan in force: a longer body
// may be refused for good then, and not else.
//
// Example: most, sure := g.BodyBytes()
func (g *Gateway) BodyBytes() (most int64, sure bool) {
	if s, ok := g.leasedPlan(); ok {
		return int64(s.plan.Limits.BodyBytes), true
	}
	if s := g.plan.Load(); s != nil {
		return int64(s.plan.Limits.BodyBytes), false
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
	s, ok := g.readPlan()
	return s, ok && s.version == rec.Version
}

// match finds a request's route. That there is none is certain only by a plan
// under leases: one that comes back within a short while is waited for.
func (g *Gateway) match(ctx context.Context, q *Request, s *activePlan) (r *fleetconfig.Route, of *activePlan, ok, certain bool) {
	if r, ok = s.table.Match(q.Host, q.Path); ok {
		return r, s, true, true
	}
	s, certain = g.await(ctx, min(g.maxWait(q), g.cfg.RetryAfter), g.leasedPlan)
	if certain {
		r, ok = s.table.Match(q.Host, q.Path)
	}
	return r, s, ok, certain
}

// maxWait is how long a request waits for a plan.
func (g *Gateway) maxWait(q *Request) time.Duration {
	if q.ClientTimeout > 0 {
		return min(g.cfg.MaxWait, q.ClientTimeout/2)
	}
	return g.cfg.MaxWait
}

// await waits a short while for a plan.
func (g *Gateway) await(ctx context.Context, most time.Duration, plan func() (*activePlan, bool)) (*activePlan, bool) {
	t := time.NewTimer(most)
	defer t.Stop()
	beat := time.NewTicker(max(time.Millisecond, most/16))
	defer beat.Stop()
	for {
		news := g.daemon.Changed()
		if s, ok := plan(); ok {
			return s, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-t.C:
			return nil, false
		case <-news:
		case <-beat.C:
		}
	}
}

// Serve sees a request through to its end.
//
// Example: g.Serve(r.Context(), request, client)
func (g *Gateway) Serve(ctx context.Context, q *Request, w Client) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	at := g.daemon.Now()
	s, ok := g.await(ctx, g.maxWait(q), g.readPlan)
	if !ok {
		g.rejectEarly(q, w, http.StatusServiceUnavailable, "no valid lease on the configuration here")
		return
	}
	r, s, ok, certain := g.match(ctx, q, s)
	switch {
	case !certain:
		g.rejectEarly(q, w, http.StatusServiceUnavailable, "no such route in the last configuration known here")
		return
	case !ok:
		g.rejectEarly(q, w, http.StatusNotFound, "no route")
		return
	}
	c := forward.Request{
		ID: q.ID, Repeatable: r.Kind == "safe" || r.Kind == "stream" && r.Resume, Resumable: r.Kind == "stream" && r.Resume, ContinuesStream: q.LastEventID != "",
		Urgency: r.Urgency, LeastUrgency: s.leastUrgency, MaxAttempts: r.MaxAttempts, TTFTTarget: time.Duration(r.TargetMillis) * time.Millisecond, InterTokenTarget: time.Duration(r.GapMillis) * time.Millisecond,
		Parts: q.Parts, InputTokens: q.InputTokens, MaxOutputTokens: q.MaxOutputTokens, BodyBytes: len(q.Body),
	}
	c.Service = route.Pick(r, requestHash(q.ID))
	c.Disaggregated = r.Kind == "stream" && s.disaggregated[c.Service]
	c.Deadline = at + time.Duration(r.GiveUpMillis)*time.Millisecond
	if q.ClientTimeout > 0 {
		c.Deadline = min(c.Deadline, at+q.ClientTimeout)
	}
	if c.TTFTTarget == 0 {
		c.TTFTTarget = (c.Deadline - at) / 4
	}
	g.execute(ctx, q, c, w)
}
