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
	*scheduler.Dispatcher
	partition int
	kick      chan struct{}
	rides     map[string]*ride
}

// API serves clients by the product's own calls.
type API struct {
	c     *daemon.Daemon
	hands *serverpool.Client
	lanes sync.Map // service -> *lane
	plan  atomic.Pointer[scheduler.PlanIndex]
	bad   atomic.Int64
	early atomic.Int64 // refused before they came to a lane
	open  atomic.Int64
	ctx   context.Context

	mu      sync.Mutex
	stories [explained]scheduler.Trace
	told    int
}

// New lays out the clients' calls on the daemon's mux, and makes the daemon's
// own calls to model servers unless the caller sets others.
//
// Example: d := nativeapi.New(ctx, c)
func New(ctx context.Context, c *daemon.Daemon) *API {
	d := &API{c: c, ctx: ctx, hands: serverpool.NewClient(time.Duration(float64(c.Cfg.Bounds.Plan) * dialRatio))}
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
		Queue: slots.Config{MaxQueued: c.QueueLimit, MinRetryAfter: b.Plan / 2, MaxRetryAfter: 5 * b.Recover}, RetryRatio: 0.2, RetryWindow: b.Recover, MaxAttempts: 3,
		MaxWait: 2 * c.VolumeLease(), FailureBackoff: 2 * c.VolumeLease(), RejectionBackoff: c.VolumeLease() / 4, StallTimeout: b.Plan, MaxPiecesAhead: 32, RetryAfter: b.Plan / 2, MaxPrefixes: 1 << 16,
	}
}

func (d *API) lane(svc string) *lane {
	if l, ok := d.lanes.Load(svc); ok {
		return l.(*lane)
	}
	p := d.c.Partition(svc)
	l := &lane{
		partition: p, kick: make(chan struct{}, 1), rides: map[string]*ride{},
		Dispatcher: scheduler.New(Config(d.c.Cfg), svc, p, d.c.Read, func() uint64 { return d.c.Term(p) }),
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
	for _, a := range o.Decisions {
		r := l.rides[a.RequestID]
		switch {
		case a.Action == scheduler.SettleClaim:
			go d.settleClaim(l, a) // goes on when its request has been answered to
			continue
		case r == nil:
			continue
		case a.Action == scheduler.CancelCall:
			r.cut(a.Attempt)
			continue
		case a.Action == scheduler.Respond:
			d.tell(a.Answer.Trace)
			delete(l.rides, a.RequestID)
			if a.Answer.ClientStalled {
				r.unblock()
			}
		}
		r.put(a)
	}
	if o.NeedsSlots {
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
		w := l.Demand()
		keys := l.Keys()
		l.mu.Unlock()
		for _, k := range keys {
			if !pinned[k] {
				pinned[k] = true
				d.c.Pin(l.partition, k)
			}
		}
		if sh, at, ok := d.c.RequestSlots(d.ctx, l.partition, w, 2*beat); ok {
			d.step(l, func(now time.Duration) scheduler.Out { return l.SetShare(now, sh, at) })
		}
	}
}

// sheet reads the plan in force; it is parsed once a version.
func (d *API) sheet(rec message.Record) *scheduler.PlanIndex {
	if s := d.plan.Load(); s != nil && s.Version == rec.Version {
		return s
	}
	s := scheduler.NewPlanIndex(rec)
	d.plan.Store(s)
	return s
}

// check lists every fault of a request.
func check(q scheduler.ClientRequest) (f fleetconfig.Faults) {
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
	if q.TimeoutMillis != nil && (*q.TimeoutMillis <= 0 || *q.TimeoutMillis > 600000) {
		f.Add("budget_ms: %d, expected 1 to 600000: a deadline that has passed can't be met", *q.TimeoutMillis)
	}
	if len(q.OnceKey) > 128 || strings.ContainsAny(q.OnceKey, "/\n") {
		f.Add("once: expected at most 128 characters without '/'")
	}
	return f
}

// refuse refuses a request that came to no lane. Whether a once key ran before
// is not known then, so it is told that.
func (d *API) refuse(w http.ResponseWriter, q scheduler.ClientRequest, why string, after time.Duration) {
	d.early.Add(1)
	result := "shed"
	if q.OnceKey != "" {
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
	var q scheduler.ClientRequest
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
	if q.TimeoutMillis != nil {
		grace = min(grace, time.Duration(*q.TimeoutMillis)*time.Millisecond)
	}
	ctx, done := context.WithTimeout(r.Context(), grace)
	rec, ok := d.c.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
	done()
	if !ok {
		d.refuse(w, q, "no valid lease on the plan", d.c.Cfg.Bounds.Plan)
		return
	}
	req, code, why := d.sheet(rec).Admit(q, storage.NewIdent(), at)
	if code != 0 {
		d.broken(w, code, why)
		return
	}
	d.ride(w, r, d.lane(q.Model), req)
}

// claim is the body of a call that an act on a once key asks for.
func (d *API) claim(a scheduler.Decision) []byte {
	return leadercall.Pack(leader.ClaimCall{Key: a.OnceKey, Claim: leadercall.Claim{Request: a.RequestID, Daemon: d.c.Cfg.HTTPAddr, State: a.ClaimState}})
}
