// Package nativeapi is the clients' side of the daemon over HTTP. It carries out
// what traffic/scheduler decides: claims, calls to servers, pieces and answers.
package nativeapi

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/storage"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

const (
	mostBody  = 4 << 20
	mostParts = 256
	explained = 256 // requests whose ledger is kept for the query shell

	dialRatio = 0.25 // of the plan bound: connecting to a model server
)

// lane is one service's shard: the machine under its lock.
type lane struct {
	mu sync.Mutex
	*scheduler.Lane
	partition int
	kick      chan struct{}
	rides     map[string]*ride
}

// API serves clients by the product's own calls.
type API struct {
	c     *daemon.Daemon
	hands *serverpool.Hands
	lanes sync.Map // service -> *lane
	plan  atomic.Pointer[scheduler.Sheet]
	bad   atomic.Int64
	early atomic.Int64 // refused before they came to a lane
	open  atomic.Int64
	ctx   context.Context

	mu      sync.Mutex
	stories [explained]scheduler.Story
	told    int
}

// New lays out the clients' calls on the daemon's mux, and makes the daemon's
// own calls to model servers unless the caller sets others.
//
// Example: d := nativeapi.New(ctx, c)
func New(ctx context.Context, c *daemon.Daemon) *API {
	d := &API{c: c, ctx: ctx, hands: serverpool.NewHands(time.Duration(float64(c.Cfg.Bounds.Plan) * dialRatio))}
	c.LoadPoller, c.OrderSender = d.hands, d.hands
	c.Mux.HandleFunc("POST /v1/generate", d.generate)
	c.Mux.HandleFunc("GET /metrics", d.metrics)
	c.Mux.HandleFunc("GET /v1/why/{request}", d.why)
	c.TrafficState = d.more
	return d
}

// Open is the number of requests under way.
//
// Example: for d.Open() > 0 { wait() }
func (d *API) Open() int64 { return d.open.Load() }

// Config is a lane's bounds, as ratios to those in the config.
//
// Example: l := scheduler.New(nativeapi.Config(cfg), svc, part, read, term)
func Config(c daemon.Config) scheduler.Config {
	b := c.Bounds
	return scheduler.Config{
		Queue: slots.Config{Most: c.QueueLimit, Floor: b.Plan / 2, Ceil: 5 * b.Recover}, Retry: 0.2, Window: b.Recover, Most: 3,
		Patience: 2 * c.VolumeLease(), Shy: 2 * c.VolumeLease(), Turned: c.VolumeLease() / 4, Stall: b.Plan, Ahead: 32, Back: b.Plan / 2, Prefixes: 1 << 16,
	}
}

func (d *API) lane(svc string) *lane {
	if l, ok := d.lanes.Load(svc); ok {
		return l.(*lane)
	}
	p := d.c.Partition(svc)
	l := &lane{
		partition: p, kick: make(chan struct{}, 1), rides: map[string]*ride{},
		Lane: scheduler.New(Config(d.c.Cfg), svc, p, d.c.Read, func() uint64 { return d.c.Term(p) }),
	}
	got, had := d.lanes.LoadOrStore(svc, l)
	if !had {
		d.c.Pin(p, fleetconfig.ListKey(svc))
		go d.run(l)
	}
	return got.(*lane)
}

// step runs one input through a lane and hands its acts to their rides.
func (d *API) step(l *lane, f func(now time.Duration) scheduler.Out) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := f(d.c.Now())
	for _, a := range o.Acts {
		r := l.rides[a.Trip]
		switch {
		case a.Kind == scheduler.Settle:
			go d.settleClaim(l, a) // goes on when its request has been answered to
			continue
		case r == nil:
			continue
		case a.Kind == scheduler.Cut:
			r.cut(a.No)
			continue
		case a.Kind == scheduler.Response:
			d.tell(a.End.Story)
			delete(l.rides, a.Trip)
			if a.End.Stuck {
				r.unblock()
			}
		}
		r.put(a)
	}
	if o.Kick {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// run keeps a lane's share fresh and its queue moving.
func (d *API) run(l *lane) {
	beat := d.c.Cfg.PlacementConfig().ShareLength / 8
	t := time.NewTicker(beat)
	defer t.Stop()
	pinned := map[string]bool{}
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		case <-l.kick:
		}
		d.step(l, l.Tick)
		l.mu.Lock()
		w := l.Want()
		keys := l.Keys()
		l.mu.Unlock()
		for _, k := range keys {
			if !pinned[k] {
				pinned[k] = true
				d.c.Pin(l.partition, k)
			}
		}
		if sh, at, ok := d.c.RequestSlots(d.ctx, l.partition, w, 2*beat); ok {
			d.step(l, func(now time.Duration) scheduler.Out { return l.Shared(now, sh, at) })
		}
	}
}

// sheet reads the plan in force; it is parsed once a version.
func (d *API) sheet(rec message.Record) *scheduler.Sheet {
	if s := d.plan.Load(); s != nil && s.Ver == rec.Version {
		return s
	}
	s := scheduler.NewSheet(rec)
	d.plan.Store(s)
	return s
}

// check lists every fault of a request.
func check(q scheduler.Asked) (f fleetconfig.Faults) {
	if q.Model == "" {
		f.Add("model: missing")
	}
	if q.Tenant == "" {
		f.Add("tenant: missing")
	}
	text := 0
	for _, p := range q.Parts {
		text += len(p.Text)
	}
	switch {
	case len(q.Parts) == 0:
		f.Add("parts: missing, expected at least one part of the prompt")
	case len(q.Parts) > mostParts:
		f.Add("parts: %d, at most %d are taken", len(q.Parts), mostParts)
	case text == 0:
		f.Add("parts: the prompt is empty")
	}
	if q.Tokens < 0 || q.Tokens > 100000 {
		f.Add("tokens: %d, expected 0 to 100000", q.Tokens)
	}
	if q.Timeout != nil && (*q.Timeout <= 0 || *q.Timeout > 600000) {
		f.Add("budget_ms: %d, expected 1 to 600000: a deadline that has passed can't be met", *q.Timeout)
	}
	if len(q.Once) > 128 || strings.ContainsAny(q.Once, "/\n") {
		f.Add("once: expected at most 128 characters without '/'")
	}
	return f
}

// refuse refuses a request that came to no lane. Whether a once key ran before
// is not known then, so it is told that.
func (d *API) refuse(w http.ResponseWriter, q scheduler.Asked, why string, after time.Duration) {
	d.early.Add(1)
	result := "shed"
	if q.Once != "" {
		result, why = "uncertain", why+"; this request was not run, whether its once key ran before is not known: ask again with the same key"
	}
	daemon.Respond(w, 503, leadercall.Response{Result: result, Reason: why, RetryAfterMillis: after.Milliseconds()})
}

func (d *API) broken(w http.ResponseWriter, code int, faults ...string) {
	d.bad.Add(1)
	daemon.Respond(w, code, leadercall.Response{Result: "broken", Faults: faults})
}

func (d *API) generate(w http.ResponseWriter, r *http.Request) {
	d.open.Add(1)
	defer d.open.Add(-1)
	body, ok := daemon.ReadBody(w, r, mostBody)
	if !ok {
		d.bad.Add(1)
		return
	}
	var q scheduler.Asked
	f := fleetconfig.Decode(body, &q)
	if !f.Any() {
		f = check(q)
	}
	if f.Any() {
		d.broken(w, 400, f.List...)
		return
	}
	at := d.c.Now()
	if d.c.RefusesRequests() {
		d.refuse(w, q, "this daemon is stopping", d.c.Cfg.Bounds.Plan/2)
		return
	}
	grace := 2 * d.c.Cfg.VolumeLease()
	if q.Timeout != nil {
		grace = min(grace, time.Duration(*q.Timeout)*time.Millisecond)
	}
	ctx, done := context.WithTimeout(r.Context(), grace)
	rec, ok := d.c.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
	done()
	if !ok {
		d.refuse(w, q, "no valid lease on the plan", d.c.Cfg.Bounds.Plan)
		return
	}
	req, code, why := d.sheet(rec).Take(q, storage.NewIdent(), at)
	if code != 0 {
		d.broken(w, code, why)
		return
	}
	d.ride(w, r, d.lane(q.Model), req)
}

// claim is the body of a call that an act on a once key asks for.
func (d *API) claim(a scheduler.Act) []byte {
	return leadercall.Pack(leader.ClaimCall{Key: a.Key, Claim: leadercall.Claim{Request: a.Trip, Daemon: d.c.Cfg.HTTPAddr, State: a.State}})
}
