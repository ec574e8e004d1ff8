// Package desk is the requesters' side of the daemon over HTTP. It carries out
// what traffic/dispatch decides: claims, calls to servers, pieces and replies.
package desk

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/archive"
	"mulleinmast/control/cabin"
	"mulleinmast/control/errand"
	"mulleinmast/control/master"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/dispatch"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/form"
)

const (
	mostBody  = 4 << 20
	mostParts = 256
	explained = 256 // requests whose ledger is kept for the query shell
)

// lane is one service's shard: the machine under its lock.
type lane struct {
	mu sync.Mutex
	*dispatch.Lane
	part  int
	kick  chan struct{}
	rides map[string]*ride
}

// Desk serves requesters.
type Desk struct {
	c     *cabin.Cabin
	lanes sync.Map // service -> *lane
	plan  atomic.Pointer[dispatch.Sheet]
	bad   atomic.Int64
	early atomic.Int64 // shed before they came to a lane
	open  atomic.Int64
	ctx   context.Context

	mu      sync.Mutex
	stories [explained]dispatch.Story
	told    int
}

// New lays out the requesters' calls on the daemon's mux.
//
// Example: d := desk.New(ctx, c)
func New(ctx context.Context, c *cabin.Cabin) *Desk {
	d := &Desk{c: c, ctx: ctx}
	c.Mux.HandleFunc("POST /v1/generate", d.generate)
	c.Mux.HandleFunc("GET /metrics", d.metrics)
	c.Mux.HandleFunc("GET /v1/why/{request}", d.why)
	c.More = d.more
	return d
}

// Open is the number of requests under way.
//
// Example: for d.Open() > 0 { wait() }
func (d *Desk) Open() int64 { return d.open.Load() }

// Config is a lane's bounds, as ratios to those in the config.
//
// Example: l := dispatch.New(desk.Config(cfg), svc, part, read, term)
func Config(c cabin.Config) dispatch.Config {
	b := c.Bounds
	return dispatch.Config{Queue: slots.Config{Most: c.Queue, Floor: b.Plan / 2, Ceil: 5 * b.Recover}, Retry: 0.2, Window: b.Recover, Most: 3,
		Patience: 2 * c.Vol(), Shy: 2 * c.Vol(), Turned: c.Vol() / 4, Stall: b.Plan, Ahead: 32, Back: b.Plan / 2, Prefixes: 1 << 16}
}

func (d *Desk) lane(svc string) *lane {
	if l, ok := d.lanes.Load(svc); ok {
		return l.(*lane)
	}
	p := d.c.Part(svc)
	l := &lane{part: p, kick: make(chan struct{}, 1), rides: map[string]*ride{},
		Lane: dispatch.New(Config(d.c.Cfg), svc, p, d.c.Read, func() uint64 { return d.c.Term(p) })}
	got, had := d.lanes.LoadOrStore(svc, l)
	if !had {
		d.c.Pin(p, tariff.ListKey(svc))
		go d.run(l)
	}
	return got.(*lane)
}

// step runs one input through a lane and hands its acts to their rides.
func (d *Desk) step(l *lane, f func(now time.Duration) dispatch.Out) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := f(d.c.Now())
	for _, a := range o.Acts {
		r := l.rides[a.Trip]
		switch {
		case a.Kind == dispatch.Settle:
			go d.settleClaim(l, a) // goes on when its request has been replied to
			continue
		case r == nil:
			continue
		case a.Kind == dispatch.Cut:
			r.cut(a.No)
			continue
		case a.Kind == dispatch.Reply:
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
func (d *Desk) run(l *lane) {
	beat := d.c.Cfg.Works().Share / 8
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
				d.c.Pin(l.part, k)
			}
		}
		if sh, at, ok := d.c.Share(d.ctx, l.part, w, 2*beat); ok {
			d.step(l, func(now time.Duration) dispatch.Out { return l.Shared(now, sh, at) })
		}
	}
}

// sheet reads the plan in force; it is parsed once a version.
func (d *Desk) sheet(rec form.Rec) *dispatch.Sheet {
	if s := d.plan.Load(); s != nil && s.Ver == rec.Ver {
		return s
	}
	s := dispatch.NewSheet(rec)
	d.plan.Store(s)
	return s
}

// check lists every fault of a request.
func check(q dispatch.Asked) (f tariff.Faults) {
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
	if q.Budget != nil && (*q.Budget <= 0 || *q.Budget > 600000) {
		f.Add("budget_ms: %d, expected 1 to 600000: a budget that is spent can't be met", *q.Budget)
	}
	if len(q.Once) > 128 || strings.ContainsAny(q.Once, "/\n") {
		f.Add("once: expected at most 128 characters without '/'")
	}
	return f
}

// shed refuses a request that came to no lane. Whether a once key ran before
// is not known then, so it is told that.
func (d *Desk) shed(w http.ResponseWriter, q dispatch.Asked, why string, after time.Duration) {
	d.early.Add(1)
	result := "shed"
	if q.Once != "" {
		result, why = "uncertain", why+"; this request was not run, whether its once key ran before is not known: ask again with the same key"
	}
	cabin.Reply(w, 503, errand.Word{Result: result, Why: why, After: after.Milliseconds()})
}

func (d *Desk) broken(w http.ResponseWriter, code int, faults ...string) {
	d.bad.Add(1)
	cabin.Reply(w, code, errand.Word{Result: "broken", Faults: faults})
}

func (d *Desk) generate(w http.ResponseWriter, r *http.Request) {
	d.open.Add(1)
	defer d.open.Add(-1)
	body, ok := cabin.Body(w, r, mostBody)
	if !ok {
		d.bad.Add(1)
		return
	}
	var q dispatch.Asked
	f := tariff.Decode(body, &q)
	if !f.Any() {
		f = check(q)
	}
	if f.Any() {
		d.broken(w, 400, f.List...)
		return
	}
	at := d.c.Now()
	if d.c.Closed() {
		d.shed(w, q, "this daemon is stopping", d.c.Cfg.Bounds.Plan/2)
		return
	}
	grace := 2 * d.c.Cfg.Vol()
	if q.Budget != nil {
		grace = min(grace, time.Duration(*q.Budget)*time.Millisecond)
	}
	ctx, done := context.WithTimeout(r.Context(), grace)
	rec, ok := d.c.Await(ctx, 0, tariff.PlanKey)
	done()
	if !ok {
		d.shed(w, q, "no valid lease on the plan", d.c.Cfg.Bounds.Plan)
		return
	}
	req, code, why := d.sheet(rec).Take(q, archive.NewIdent(), at)
	if code != 0 {
		d.broken(w, code, why)
		return
	}
	d.ride(w, r, d.lane(q.Model), req)
}

// claim is the body of a call that an act on a once key asks for.
func (d *Desk) claim(a dispatch.Act) []byte {
	return errand.Pack(master.ClaimCall{Key: a.Key, Claim: errand.Claim{Request: a.Trip, Daemon: d.c.Cfg.Web, State: a.State}})
}
