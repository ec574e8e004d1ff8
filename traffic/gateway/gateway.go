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
	"mulleinmast/traffic/board"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// lane is one service's shard: the machine under its lock.
type lane struct {
	mu sync.Mutex
	*forward.Dispatcher
	partition int
	pinned    map[string]bool
	strain    atomic.Pointer[map[string]placement.Pressure] // by server, as keep saw it
}

// sheet is the plan in force, made ready for look-ups.
type sheet struct {
	gen   uint64
	until time.Duration
	ver   message.Version
	table *route.Table
	plan  fleetconfig.Plan
	least int             // the urgency of the least urgent route
	split map[string]bool // services whose servers have two halves
}

// Gateway serves clients.
type Gateway struct {
	c      *daemon.Daemon
	eng    Engines
	cfg    forward.Config
	mu     sync.Mutex
	list   map[string]*lane
	plan   atomic.Pointer[sheet]
	open   atomic.Int64
	report *report

	bmu   sync.Mutex
	board *board.Board
}

// New makes a gateway on a daemon.
//
// Example: g := gateway.New(c, engines)
func New(c *daemon.Daemon, eng Engines) *Gateway {
	g := &Gateway{c: c, eng: eng, cfg: Config(c.Cfg), list: map[string]*lane{}, board: board.New(BoardConfig(c.Cfg)), report: newReport(c.Metrics)}
	c.Explainers = append(c.Explainers, g.report.explain)
	c.Metrics.NewGauge("mulleinmast_requests_open", func() float64 { return float64(g.open.Load()) })
	eng.Told(g.told)
	c.OnLoadReport, c.Pressure = g.hint, g.strain
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

// BoardConfig is the board's bounds, as ratios to those in the daemon's config.
//
// Example: b := board.New(gateway.BoardConfig(cfg))
func BoardConfig(c daemon.Config) board.Config {
	beat := c.Bounds.Plan / 8
	return board.Config{Beat: beat, Old: 5 * beat, Most: 128, Keep: 0.7, Size: 1 << 14}
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

// strain tells the servers' holder how hard one of them is pressed. The holder
// asks under its part's lock, and a dispatcher reads that part under its own: what
// keep last saw is told, without the dispatcher's lock.
func (g *Gateway) strain(svc, key string) placement.Pressure {
	if all := g.lane(svc).strain.Load(); all != nil {
		return (*all)[key]
	}
	return placement.Pressure{}
}

// hint takes another daemon's telling.
func (g *Gateway) hint(n message.Message) {
	g.bmu.Lock()
	defer g.bmu.Unlock()
	g.board.Hear(g.c.Now(), n)
}

// tell tells the other daemons what is due.
func (g *Gateway) tell() {
	v := g.c.View()
	g.bmu.Lock()
	out := g.board.Tick(g.c.Now(), v.Self, v.Members)
	g.bmu.Unlock()
	g.c.SendAll(out)
}

// Open is the number of requests under way.
//
// Example: for g.Open() > 0 { wait() }
func (g *Gateway) Open() int64 { return g.open.Load() }

// Run keeps the records wanted that the lanes read, until the context ends.
//
// Example: supervisor.Add(g.Run)
func (g *Gateway) Run(ctx context.Context) error {
	beat := BoardConfig(g.c.Cfg).Beat
	t := time.NewTicker(beat)
	defer t.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	news := g.c.Changed()
	summary := time.NewTicker(summaryBeats * beat)
	defer summary.Stop()
	for whole := true; ; {
		g.tell()
		if s, ok := g.sheet(); ok {
			for _, svc := range s.plan.Services {
				l := g.lane(svc.Name)
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
			whole, news = false, g.c.Changed()
		case <-summary.C:
			whole = false
			if text := g.report.summary(); text != "" {
				g.c.Events.Info("requests", "not served since the last line: "+text)
			}
		case <-t.C:
			whole = true
			if news == nil {
				news = g.c.Changed()
			}
		}
	}
}

// measure takes what changes all the time: the fleet, and the servers' strain.
func (g *Gateway) measure(l *lane, svc fleetconfig.Service) {
	servers := g.strained(l, svc)
	g.bmu.Lock()
	for _, s := range servers {
		g.board.Memory(board.Name(svc.Name, s.Key), svc.MemoryTokens)
	}
	g.bmu.Unlock()
}

// strained takes the strain of a dispatcher's servers and lists them.
func (g *Gateway) strained(l *lane, svc fleetconfig.Service) []forward.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.fleet(l)
	l.SetWarmupLimit(forward.WarmupLimit{Rate: svc.WarmUpRate, Over: g.c.Cfg.WarmUp.Over, Slack: g.c.Cfg.WarmUp.Slack})
	servers := l.Servers()
	strain := make(map[string]placement.Pressure, len(servers))
	for _, s := range servers {
		read, write := l.Pressure(g.c.Now(), s.Key)
		strain[s.Key] = placement.Pressure{Prefill: read, Decode: write}
	}
	l.strain.Store(&strain)
	return servers
}

// keep has the records wanted that a dispatcher reads.
func (g *Gateway) keep(l *lane) {
	for _, k := range l.unpinned() {
		g.c.Pin(l.partition, k)
	}
}

// unpinned lists the records that the dispatcher reads and that are not wanted yet.
func (l *lane) unpinned() (fresh []string) {
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

func (g *Gateway) lane(svc string) *lane {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.list[svc]
	if l == nil {
		p := g.c.Partition(svc)
		l = &lane{partition: p, pinned: map[string]bool{}, Dispatcher: forward.New(g.cfg, svc, p, source{g.c}, notes{g, svc})}
		g.fleet(l)
		g.list[svc] = l
	}
	return l
}

// fleet tells a dispatcher which daemons there are.
func (g *Gateway) fleet(l *lane) {
	v := g.c.View()
	daemons := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		daemons = append(daemons, m.Addr)
	}
	l.SetDaemons(g.c.Now(), v.Self.Addr, daemons)
}

func (g *Gateway) told(svc, key string, load forward.Load) {
	l := g.lane(svc)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.LoadReported(g.c.Now(), key, load)
}

// sheet is the plan that requests are routed by now.
func (g *Gateway) sheet() (*sheet, bool) {
	s, gen := g.plan.Load(), g.c.Generation(0)
	if s != nil && s.gen == gen && g.c.Now() < s.until {
		return s, true
	}
	until := g.c.StaleUntil(0)
	rec, ok := g.c.ReadAllowingStale(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	if s != nil && s.ver == rec.Version {
		n := *s
		n.gen, n.until = gen, until
		g.plan.Store(&n)
		return &n, true
	}
	p := g.c.OpenPlan(rec)
	if s != nil {
		planGoesOn.Hold(p.Version >= s.plan.Version, "version %d after version %d", p.Version, s.plan.Version)
	}
	n := &sheet{gen: gen, until: until, ver: rec.Version, plan: p, table: route.New(p), split: map[string]bool{}}
	for _, v := range p.Services {
		n.split[v.Name] = v.TokenBytes > 0
	}
	for _, r := range p.Routes {
		n.least = max(n.least, r.Urgency)
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
	if s, ok := g.leased(); ok {
		return int64(s.plan.Limits.BodyBytes), true
	}
	if s := g.plan.Load(); s != nil {
		return int64(s.plan.Limits.BodyBytes), false
	}
	return 0, false
}

// leased is the plan if it stands under valid leases now. Requests are routed by
// the last plan too, for a while; what ends one for good needs this.
func (g *Gateway) leased() (*sheet, bool) {
	rec, ok := g.c.Read(0, fleetconfig.PlanKey)
	if !ok || rec.Deleted {
		return nil, false
	}
	s, ok := g.sheet()
	return s, ok && s.ver == rec.Version
}

// match finds a request's route. That there is none is certain only by a plan
// under leases: one that comes back within a short while is waited for.
func (g *Gateway) match(ctx context.Context, q *Request, s *sheet) (r *fleetconfig.Route, of *sheet, ok, certain bool) {
	if r, ok = s.table.Match(q.Host, q.Path); ok {
		return r, s, true, true
	}
	s, certain = g.await(ctx, min(g.patience(q), g.cfg.RetryAfter), g.leased)
	if certain {
		r, ok = s.table.Match(q.Host, q.Path)
	}
	return r, s, ok, certain
}

// patience is how long a request waits for a plan.
func (g *Gateway) patience(q *Request) time.Duration {
	if q.Left > 0 {
		return min(g.cfg.MaxWait, q.Left/2)
	}
	return g.cfg.MaxWait
}

// await waits a short while for a plan.
func (g *Gateway) await(ctx context.Context, most time.Duration, plan func() (*sheet, bool)) (*sheet, bool) {
	t := time.NewTimer(most)
	defer t.Stop()
	beat := time.NewTicker(max(time.Millisecond, most/16))
	defer beat.Stop()
	for {
		news := g.c.Changed()
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
	g.open.Add(1)
	defer g.open.Add(-1)
	at := g.c.Now()
	s, ok := g.await(ctx, g.patience(q), g.sheet)
	if !ok {
		g.early(q, w, http.StatusServiceUnavailable, "no valid lease on the configuration here")
		return
	}
	r, s, ok, certain := g.match(ctx, q, s)
	switch {
	case !certain:
		g.early(q, w, http.StatusServiceUnavailable, "no such route in the last configuration known here")
		return
	case !ok:
		g.early(q, w, http.StatusNotFound, "no route")
		return
	}
	c := forward.Request{
		ID: q.ID, Repeatable: r.Kind == "safe" || r.Kind == "stream" && r.Resume, Resumable: r.Kind == "stream" && r.Resume, ContinuesStream: q.Last != "",
		Urgency: r.Urgency, LeastUrgency: s.least, MaxAttempts: r.MaxAttempts, TTFTTarget: time.Duration(r.TargetMillis) * time.Millisecond, InterTokenTarget: time.Duration(r.GapMillis) * time.Millisecond,
		Parts: q.Parts, InputTokens: q.In, MaxOutputTokens: q.Out, BodyBytes: len(q.Body),
	}
	c.Service = route.Pick(r, dice(q.ID))
	c.Disaggregated = r.Kind == "stream" && s.split[c.Service]
	c.Deadline = at + time.Duration(r.GiveUpMillis)*time.Millisecond
	if q.Left > 0 {
		c.Deadline = min(c.Deadline, at+q.Left)
	}
	if c.TTFTTarget == 0 {
		c.TTFTTarget = (c.Deadline - at) / 4
	}
	g.run(ctx, q, c, w)
}
