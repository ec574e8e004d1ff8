// Package desk takes requests from requesters and sees each through to its
// final reply: queue, reader, hand-over, maker, stream. The ledger decides.
package desk

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/archive"
	"mulleinmast/control/cabin"
	"mulleinmast/control/interlock"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/waybill"
	"mulleinmast/traffic/yard"
	"mulleinmast/wire/form"
)

const (
	mostBody  = 4 << 20
	mostParts = 256
	attempts  = 3
	retryPart = 0.2
	retryCap  = 10
	explained = 256 // requests whose ledger is kept for the query shell
)

// Request is what a requester sends.
type Request struct {
	Model  string      `json:"model"`
	Tenant string      `json:"tenant"`
	Parts  []yard.Part `json:"parts"`
	Tokens int         `json:"tokens"`
	Once   string      `json:"once,omitempty"`
	Budget *int64      `json:"budget_ms,omitempty"`
}

// Check lists every fault of a request.
//
// Example: if f := req.Check(); f.Any() { reply(400, f) }
func (q Request) Check() (f tariff.Faults) {
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

type counts struct {
	First, Retries, Served, Sheds, Unsure, Broken, Dups, Gone, Bad, Wasted, Hits, Reads atomic.Int64
}

// Story is a request as the query shell explains it.
type Story struct {
	Request string            `json:"request"`
	Tenant  string            `json:"tenant"`
	Model   string            `json:"model"`
	Result  string            `json:"result"`
	Why     string            `json:"why,omitempty"`
	Ledger  []waybill.Attempt `json:"ledger"`
	Choice  []string          `json:"choice,omitempty"`
	Took    int64             `json:"took_ms"`
}

// lane is one service's queue and routes.
type lane struct {
	mu   sync.Mutex
	svc  string
	part int
	q    *slots.Queue
	ack  uint64
	kick chan struct{}
	rows atomic.Pointer[map[string]interlock.Berth]
	roll atomic.Pointer[roll]
}

// Desk serves requesters.
type Desk struct {
	c     *cabin.Cabin
	seen  *yard.Prefixes
	lanes sync.Map // service -> *lane
	n     counts
	plan  atomic.Pointer[sheet]
	sheds sync.Map // why -> *atomic.Int64

	mu      sync.Mutex
	bucket  waybill.Bucket
	shy     map[string]time.Duration // servers that just failed us, and until when we pass them by
	stories [explained]Story
	told    int
	open    atomic.Int64
	ctx     context.Context
}

// New lays out the requesters' calls on the daemon's mux.
//
// Example: d := desk.New(ctx, c)
func New(ctx context.Context, c *cabin.Cabin) *Desk {
	d := &Desk{c: c, seen: yard.NewPrefixes(1 << 16), bucket: waybill.Bucket{Rate: retryPart, Cap: retryCap}, shy: map[string]time.Duration{}, ctx: ctx}
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

func (d *Desk) lane(svc string) *lane {
	if l, ok := d.lanes.Load(svc); ok {
		return l.(*lane)
	}
	b := d.c.Cfg.Bounds
	l := &lane{svc: svc, part: d.c.Part(svc), kick: make(chan struct{}, 1),
		q: slots.New(slots.Config{Most: d.c.Cfg.Queue, Floor: b.Plan / 2, Ceil: 5 * b.Recover})}
	got, had := d.lanes.LoadOrStore(svc, l)
	if !had {
		d.c.Pin(l.part, tariff.ListKey(svc))
		go d.run(l)
	}
	return got.(*lane)
}

// run keeps a lane's share fresh and its queue moving.
func (d *Desk) run(l *lane) {
	beat := d.c.Cfg.Works().Share / 8
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		case <-l.kick:
		}
		d.look(l)
		l.mu.Lock()
		r := l.q.Report()
		w := interlock.Want{Service: l.svc, Ack: l.ack, Read: r.Read, Make: r.Make, Held: r.Held, Fails: r.Fails, Like: r.Like}
		l.mu.Unlock()
		ctx, done := context.WithTimeout(d.ctx, beat*2)
		sh, at, ok := d.c.Share(ctx, l.part, w)
		done()
		l.mu.Lock()
		if ok {
			l.ack = sh.No
			l.q.Share(d.c.Now(), sh.Slots, at+time.Duration(sh.Len))
		} else {
			l.q.Turn(d.c.Now())
		}
		l.mu.Unlock()
	}
}

// sheet is a plan made ready for look-ups.
type sheet struct {
	ver     form.Ver
	plan    uint64
	tenants map[string]tariff.Tenant
	out     map[string]map[string]bool // service -> servers that it excludes
}

// sheet reads the plan in force; it is parsed once a version.
func (d *Desk) sheet(rec form.Rec) *sheet {
	if s := d.plan.Load(); s != nil && s.ver == rec.Ver {
		return s
	}
	p := tariff.Open(rec)
	s := &sheet{ver: rec.Ver, plan: p.Version, tenants: map[string]tariff.Tenant{}, out: map[string]map[string]bool{}}
	for _, t := range p.Tenants {
		s.tenants[t.Name] = t
	}
	for _, v := range p.Services {
		s.out[v.Name] = map[string]bool{}
		for _, a := range v.Exclude {
			s.out[v.Name][a] = true
		}
	}
	d.plan.Store(s)
	return s
}

// roll is a service's list made ready for look-ups.
type roll struct {
	ver  form.Ver
	by   map[string]tariff.Server
	list []string
}

func (l *lane) listed(rec form.Rec) *roll {
	if r := l.roll.Load(); r != nil && r.ver == rec.Ver {
		return r
	}
	r := &roll{ver: rec.Ver, by: map[string]tariff.Server{}}
	var in tariff.List
	if !rec.Dead {
		if err := json.Unmarshal(rec.Val, &in); err != nil {
			panic("list record can't be read: " + err.Error()) // we wrote it ourselves
		}
	}
	for _, s := range in.Servers {
		r.by[s.Addr] = s
		r.list = append(r.list, s.Addr)
	}
	l.roll.Store(r)
	return r
}

// look reads the lane's routes from the lease cache; without valid leases
// there are none.
func (d *Desk) look(l *lane) {
	rows := map[string]interlock.Berth{}
	if rec, ok := d.c.Read(l.part, tariff.ListKey(l.svc)); ok {
		for _, a := range l.listed(rec).list {
			d.c.Pin(l.part, tariff.BerthKey(l.svc, a))
			if b, ok := d.berth(l, a); ok {
				rows[a] = b
			}
		}
	}
	l.rows.Store(&rows)
}

// berth is a server's record if it may get new work now: both leases valid,
// listed, in a part, not leaving, not excluded, its cell in service.
func (d *Desk) berth(l *lane, addr string) (b interlock.Berth, ok bool) {
	rec, ok := d.c.Read(l.part, tariff.BerthKey(l.svc, addr))
	if !ok {
		return b, false
	}
	b, ok = interlock.OpenBerth(rec)
	if !ok || b.To != "" || b.Status != interlock.Up && b.Status != interlock.Warming {
		return b, false
	}
	list, ok := d.c.Read(l.part, tariff.ListKey(l.svc))
	if !ok {
		return b, false
	}
	in, ok := l.listed(list).by[addr]
	cells, okCells := d.c.Read(0, tariff.CellKey)
	plan, okPlan := d.c.Read(0, tariff.PlanKey)
	if !ok || in.Leaving || !okCells || !okPlan || !cells.Dead && tariff.Cells(cells)[b.Cell] {
		return b, false
	}
	return b, !d.sheet(plan).out[l.svc][addr]
}

// failed passes a server by for a while, until polls have caught up with it.
func (d *Desk) failed(addr string, bad bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if bad {
		d.shy[addr] = d.c.Now() + 2*d.c.Cfg.Vol()
	} else {
		delete(d.shy, addr)
	}
}

// turned passes a server by for a moment: it turned us away, whatever its
// record says, and the owner will soon know why.
func (d *Desk) turned(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shy[addr] = d.c.Now() + d.c.Cfg.Vol()/4
}

func (d *Desk) avoids(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	till, ok := d.shy[addr]
	if ok && d.c.Now() >= till {
		delete(d.shy, addr)
		return false
	}
	return ok
}

// trip is one request on its way.
type trip struct {
	d      *Desk
	l      *lane
	q      Request
	id     string
	prio   int
	part   float64
	due    time.Duration
	at     time.Duration
	chain  []uint64
	led    waybill.Ledger
	handle yard.Handle
	pairs  []string
	choice []string
	after  time.Duration
	why    string
	spun   time.Duration
}

func (d *Desk) generate(w http.ResponseWriter, r *http.Request) {
	d.open.Add(1)
	defer d.open.Add(-1)
	body, ok := cabin.Body(w, r, mostBody)
	if !ok {
		d.n.Bad.Add(1)
		return
	}
	var q Request
	f := tariff.Decode(body, &q)
	if !f.Any() {
		f = q.Check()
	}
	if f.Any() {
		d.n.Bad.Add(1)
		cabin.Reply(w, 400, cabin.Word{Result: "broken", Faults: f.List})
		return
	}
	at := d.c.Now()
	if d.c.Stopping() {
		d.refuse(w, 503, "stopping", "this daemon is stopping", d.c.Cfg.Bounds.Plan/2)
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
		d.refuse(w, 503, "no plan", "no valid lease on the plan", d.c.Cfg.Bounds.Plan)
		return
	}
	t, code, why := d.take(d.sheet(rec), q, at)
	if code != 0 {
		d.n.Bad.Add(1)
		cabin.Reply(w, code, cabin.Word{Result: "broken", Faults: []string{why}})
		return
	}
	w.Header().Set("X-Request", t.id)
	ctx, done = context.WithTimeout(r.Context(), t.due-at)
	defer done()
	if q.Once != "" && !t.claim(ctx, w) {
		return
	}
	d.n.First.Add(1)
	d.mu.Lock()
	d.bucket.Earn()
	d.mu.Unlock()
	t.run(ctx, w)
}

// take checks a request against the plan.
func (d *Desk) take(p *sheet, q Request, at time.Duration) (*trip, int, string) {
	ten, ok := p.tenants[q.Tenant]
	if !ok {
		return nil, 403, fmt.Sprintf("tenant: %q isn't in the plan (version %d)", q.Tenant, p.plan)
	}
	if _, ok := p.out[q.Model]; !ok {
		return nil, 404, fmt.Sprintf("model: %q isn't in the plan (version %d)", q.Model, p.plan)
	}
	if len(ten.Services) > 0 && !slices.Contains(ten.Services, q.Model) {
		return nil, 403, fmt.Sprintf("model: tenant %q may not use %q", q.Tenant, q.Model)
	}
	budget := time.Duration(ten.Budget) * time.Millisecond
	if q.Budget != nil {
		budget = time.Duration(*q.Budget) * time.Millisecond
	}
	if q.Tokens == 0 {
		q.Tokens = 16
	}
	return &trip{d: d, l: d.lane(q.Model), q: q, id: archive.NewIdent(), prio: ten.Priority, part: ten.Queue, due: at + budget, at: at,
		chain: yard.Chain(q.Parts), led: waybill.Ledger{Once: q.Once != "", Most: attempts}}, 0, ""
}

func (d *Desk) refuse(w http.ResponseWriter, code int, kind, why string, after time.Duration) {
	d.n.Sheds.Add(1)
	n, _ := d.sheds.LoadOrStore(kind, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	cabin.Reply(w, code, cabin.Word{Result: "shed", Why: why, After: max(1, after.Milliseconds())})
}

func (t *trip) claimed(state string) []byte {
	b, _ := json.Marshal(map[string]any{"Key": t.q.Tenant + "/" + t.q.Once, "Claim": cabin.Claim{Request: t.id, Daemon: t.d.c.Cfg.Web, State: state}})
	return b
}

// claim takes the once key at the owner before anything is sent.
func (t *trip) claim(ctx context.Context, w http.ResponseWriter) bool {
	ctx, done := context.WithTimeout(ctx, t.d.c.Cfg.Bounds.Plan)
	defer done()
	code, rep := t.d.c.Ask(ctx, t.l.part, "claim", t.claimed("claimed"))
	switch code {
	case 200:
		return true
	case http.StatusConflict:
		t.d.n.Dups.Add(1)
		t.story("duplicate", "")
		cabin.Reply(w, code, rep)
		return false
	}
	// Whatever became of the claim, this request was not and will not be run.
	go t.settle("shed")
	t.story("shed", "once key not claimed")
	t.d.refuse(w, 503, "no claim", "the once key could not be claimed", t.d.c.Cfg.Bounds.Plan)
	return false
}

// settle writes what became of a claimed request.
func (t *trip) settle(state string) {
	ctx, done := context.WithTimeout(t.d.ctx, 2*t.d.c.Cfg.Bounds.Plan)
	defer done()
	t.d.c.Ask(ctx, t.l.part, "unclaim", t.claimed(state))
}

func (t *trip) story(result, why string) {
	d := t.d
	d.mu.Lock()
	d.stories[d.told%explained] = Story{Request: t.id, Tenant: t.q.Tenant, Model: t.q.Model, Result: result, Why: why,
		Ledger: append([]waybill.Attempt(nil), t.led.Attempts...), Choice: t.choice, Took: (d.c.Now() - t.at).Milliseconds()}
	d.told++
	d.mu.Unlock()
}

// run makes the ledger's moves until one is final.
func (t *trip) run(ctx context.Context, w http.ResponseWriter) {
	d := t.d
	for {
		move, again := t.led.Next()
		if again && (move == waybill.DoPrefill || move == waybill.DoDecode) {
			d.mu.Lock()
			ok := d.bucket.Take()
			d.mu.Unlock()
			if !ok {
				move, t.why = t.led.End(), "no retry to spare"
			} else {
				d.n.Retries.Add(1)
			}
		}
		if move == waybill.DoPrefill || move == waybill.DoDecode {
			ok := false
			if move == waybill.DoPrefill {
				ok = t.prefill(ctx)
			} else {
				ok = t.decode(ctx, w)
			}
			if ok {
				continue
			}
			move = t.led.End()
		}
		t.final(ctx, w, move)
		return
	}
}

func (t *trip) final(ctx context.Context, w http.ResponseWriter, move waybill.Move) {
	d := t.d
	if t.why == "" && len(t.led.Attempts) > 0 {
		t.why = t.led.Attempts[len(t.led.Attempts)-1].Why
	}
	t.story(move.String(), t.why)
	switch move {
	case waybill.Finish:
		d.n.Served.Add(1)
		if t.led.Once {
			go t.settle("done")
		}
		return
	case waybill.Break:
		d.n.Broken.Add(1)
		d.c.Book.Note("stream", "%s: broke off: %s", t.id, t.why)
		panic(http.ErrAbortHandler) // the connection is cut so that it can't look whole
	case waybill.Unsure:
		d.n.Unsure.Add(1)
		cabin.Reply(w, 502, cabin.Word{Result: "uncertain", Why: "it may have run: " + t.why, After: d.c.Cfg.Bounds.Plan.Milliseconds()})
		return
	}
	if t.led.Tries(waybill.Prefill) > 0 {
		for _, a := range t.led.Attempts {
			if a.Known == waybill.Handle {
				d.n.Wasted.Add(1)
			}
		}
	}
	if t.led.Once {
		go t.settle("shed")
	}
	if ctx.Err() != nil && d.c.Now() < t.due {
		d.n.Gone.Add(1) // the requester went away
		return
	}
	after := t.after
	if after == 0 {
		after = d.c.Cfg.Bounds.Plan / 2
	}
	code := 503
	if strings.HasPrefix(t.why, "this tenant") {
		code = 429
	}
	d.refuse(w, code, t.why, t.why, after)
}

// slot waits in the lane's queue for a slot on a server that pick accepts.
func (t *trip) slot(ctx context.Context, side slots.Side, like string, pick func(free []string) string) (string, bool) {
	l := t.l
	w := &slots.Wait{Side: side, Prio: t.prio, Tenant: t.q.Tenant, Due: t.due, Pick: pick, Like: like, Reply: make(chan slots.Ticket, 1)}
	l.mu.Lock()
	l.q.Put(t.d.c.Now(), w, t.part)
	l.mu.Unlock()
	var k slots.Ticket
	select {
	case k = <-w.Reply:
	default:
		select {
		case l.kick <- struct{}{}: // tell the owner at once that we wait
		default:
		}
		// Without leases or a share for a while, say so rather than hold on.
		limit := time.NewTimer(t.patience())
		defer limit.Stop()
		for k.Addr == "" && !k.Shed {
			select {
			case k = <-w.Reply:
			case <-ctx.Done():
				k = t.leave(w, "its budget ended in the queue")
			case <-limit.C:
				if t.blind() {
					k = t.leave(w, "no valid leases or share here")
				} else if !t.any(pick) {
					k = t.leave(w, "no server left that it could go to")
				} else {
					limit.Reset(t.patience())
				}
			}
		}
	}
	if k.Shed {
		t.why, t.after = k.Why, k.After
		return "", false
	}
	return k.Addr, true
}

func (t *trip) patience() time.Duration { return 2 * t.d.c.Cfg.Vol() }

// any tells whether pick would take any server, were it free.
func (t *trip) any(pick func([]string) string) bool {
	rows := t.l.rows.Load()
	if rows == nil {
		return false
	}
	all := make([]string, 0, len(*rows))
	for a := range *rows {
		all = append(all, a)
	}
	return pick(all) != ""
}

func (t *trip) blind() bool {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	rows := t.l.rows.Load()
	return !t.l.q.Valid(t.d.c.Now()) || rows == nil || len(*rows) == 0
}

// leave takes a request out of the queue; a slot given meanwhile goes back.
func (t *trip) leave(w *slots.Wait, why string) slots.Ticket {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.q.Drop(w)
	select {
	case k := <-w.Reply:
		if k.Addr != "" {
			t.l.q.Done(t.d.c.Now(), w.Side, w.Prio, k.Addr, false)
		} else {
			return k
		}
	default:
	}
	return slots.Ticket{Shed: true, Why: why, After: t.l.q.After(w.Side, 0)}
}

func (t *trip) free(side slots.Side, addr string, failed bool) {
	t.l.mu.Lock()
	t.l.q.Done(t.d.c.Now(), side, t.prio, addr, failed)
	t.l.mu.Unlock()
}

// standing looks once more, just before a byte goes out, whether the record
// and the share that this attempt rests on still stand.
func (t *trip) standing(addr, part string) (interlock.Berth, bool) {
	b, ok := t.d.berth(t.l, addr)
	if !ok || b.Part != part || t.d.c.Now() >= t.due {
		return b, false
	}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return b, t.l.q.Valid(t.d.c.Now())
}

// lapsed waits a little for fresh records after a lease was found lapsed just
// before sending; nothing was tried, so it is no attempt.
func (t *trip) lapsed(ctx context.Context) bool {
	d := t.d
	now := d.c.Now()
	if t.spun == 0 {
		t.spun = now
	}
	if now-t.spun > t.patience() {
		t.why = "no valid leases or share here"
		return false
	}
	tick := time.NewTimer(d.c.Cfg.Vol() / 16)
	defer tick.Stop()
	select {
	case <-ctx.Done():
		t.why = "its budget ended"
		return false
	case <-d.c.News():
	case <-tick.C:
	}
	d.look(t.l)
	return true
}

func (t *trip) pickReader(deep map[string]int) func([]string) string {
	return func(free []string) string {
		rows := t.l.rows.Load()
		if rows == nil {
			return ""
		}
		best, top, n := "", -1, uint64(0)
		for _, a := range free {
			b, ok := (*rows)[a]
			if !ok || b.Part != interlock.Reader || len(b.Pairs) == 0 || t.led.Tried(waybill.Prefill, a) || t.d.avoids(a) {
				continue
			}
			switch {
			case deep[a] > top:
				best, top, n = a, deep[a], 1
			case deep[a] == top:
				// Random among equals, from the request's own identity.
				if n++; t.dice()%n == 0 {
					best = a
				}
			}
		}
		return best
	}
}

func (t *trip) dice() uint64 {
	x := uint64(len(t.led.Attempts)) + 1
	for _, c := range t.id {
		x = x*1099511628211 ^ uint64(c)
	}
	return x >> 17
}

func (t *trip) prefill(ctx context.Context) bool {
	d := t.d
	deep := d.seen.Depth(t.chain)
	like, top := "", 0
	for a, n := range deep {
		if n > top {
			like, top = a, n
		}
	}
	if t.l.rows.Load() == nil {
		d.look(t.l)
	}
	addr, ok := t.slot(ctx, slots.Read, like, t.pickReader(deep))
	if !ok {
		return false
	}
	b, ok := t.standing(addr, interlock.Reader)
	if !ok {
		t.free(slots.Read, addr, false)
		return t.lapsed(ctx)
	}
	t.choice = append(t.choice, fmt.Sprintf("reader %s (%s, %s) holds %d of %d prompt parts", addr, b.Cell, b.Status, deep[addr], len(t.chain)))
	t.led.Add(waybill.Prefill, addr)
	n := len(t.led.Attempts)
	ver := fmt.Sprint(d.c.Term(t.l.part))
	// A silent reader gets half of what is left, so that another can be tried.
	half, done := context.WithTimeout(ctx, (t.due-d.c.Now())/2)
	hd, out, why := d.c.Hands.Prefill(half, addr, yard.Prefill{Request: t.id, Attempt: n, Term: d.c.Term(t.l.part), Ver: ver, Parts: t.q.Parts, Prefix: t.chain, Budget: (t.due - d.c.Now()).Milliseconds()})
	done()
	bad := out == yard.Lost || out == yard.NotSent
	d.failed(addr, bad && ctx.Err() == nil)
	t.free(slots.Read, addr, bad)
	switch out {
	case yard.OK:
		t.handle, t.pairs = hd, b.Pairs
		t.led.Learn(waybill.Handle, "")
		d.n.Reads.Add(int64(len(t.chain)))
		d.n.Hits.Add(int64(hd.Cached))
		d.seen.Note(d.c.Now(), t.chain, addr)
	case yard.NotSent:
		t.led.Learn(waybill.NotSent, why)
		d.seen.Forget(addr)
	case yard.Shed:
		d.turned(addr)
		t.led.Learn(waybill.Shed, why)
	default:
		t.led.Learn(waybill.Lost, why)
	}
	return true
}

func (t *trip) decode(ctx context.Context, w http.ResponseWriter) bool {
	d := t.d
	ok := map[string]bool{}
	for _, a := range t.pairs {
		ok[a] = true
	}
	addr, got := t.slot(ctx, slots.Make, "", func(free []string) string {
		rows := t.l.rows.Load()
		if rows == nil {
			return ""
		}
		best, n, near := "", uint64(0), false
		for _, a := range free {
			b, has := (*rows)[a]
			if !has || b.Part != interlock.Maker || !ok[a] || t.led.Tried(waybill.Decode, a) || d.avoids(a) {
				continue
			}
			same := b.Cell == (*rows)[t.handle.Reader].Cell
			switch {
			case best == "" || same && !near:
				best, n, near = a, 1, same
			case same == near:
				if n++; t.dice()%n == 0 {
					best = a
				}
			}
		}
		return best
	})
	if !got {
		return false
	}
	if _, still := t.standing(addr, interlock.Maker); !still {
		t.free(slots.Make, addr, false)
		return t.lapsed(ctx)
	}
	t.led.Add(waybill.Decode, addr)
	run := t.id + "-" + fmt.Sprint(len(t.led.Attempts))
	t.choice = append(t.choice, fmt.Sprintf("maker %s, paired with %s", addr, t.handle.Reader))
	// A maker gets half of what is left for its first piece.
	parent := ctx
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	first := time.AfterFunc((t.due-d.c.Now())/2, stop)
	defer first.Stop()
	st, out, why := d.c.Hands.Decode(ctx, addr, yard.Decode{Handle: t.handle, Term: d.c.Term(t.l.part), Run: run, Tokens: t.q.Tokens, Once: t.q.Once, Budget: (t.due - d.c.Now()).Milliseconds()})
	failed := out == yard.Lost || out == yard.NotSent
	switch out {
	case yard.OK:
		why = t.relay(st, w, run, first)
		st.Close()
		failed = why != ""
	case yard.NotSent:
		t.led.Learn(waybill.NotSent, why)
	case yard.Shed:
		t.led.Learn(waybill.Shed, why)
	case yard.Lapsed:
		t.led.Learn(waybill.Lapsed, why)
	default:
		t.led.Learn(waybill.Lost, why)
	}
	d.failed(addr, failed && parent.Err() == nil)
	if out == yard.Shed {
		d.turned(addr)
	}
	t.free(slots.Make, addr, failed)
	return true
}

// relay passes a maker's pieces on, each checked; a wrong one ends the stream.
func (t *trip) relay(st *yard.Stream, w http.ResponseWriter, run string, first *time.Timer) string {
	flush, _ := w.(http.Flusher)
	// A requester that doesn't read keeps a maker no longer than its budget.
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(t.due - t.d.c.Now()))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }() // the connection may carry another request
	begun := false
	stop := func(k waybill.Known, why string) string {
		if begun {
			b, _ := json.Marshal(yard.Piece{Request: t.id, Run: run, N: -1, Error: why})
			_, _ = w.Write(append(b, '\n'))
			flush.Flush()
		}
		t.led.Learn(k, why)
		return why
	}
	for n := 0; ; n++ {
		p, err := st.Next()
		why := ""
		if err != nil {
			why = err.Error()
		} else {
			why = p.Fit(t.id, run, n)
		}
		if why != "" {
			if begun {
				return stop(waybill.First, why)
			}
			return stop(waybill.Lost, why)
		}
		if !begun {
			first.Stop()
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(200)
			begun = true
		}
		b, _ := json.Marshal(p)
		if _, err := w.Write(append(b, '\n')); err != nil {
			return stop(waybill.First, "requester went away")
		}
		flush.Flush()
		if p.End {
			t.led.Learn(waybill.Ended, "")
			return ""
		}
	}
}

func (d *Desk) why(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []Story{}
	for i := max(0, d.told-explained); i < d.told; i++ {
		if s := d.stories[i%explained]; id == "all" || s.Request == id {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		cabin.Reply(w, 404, cabin.Word{Result: "not known", Why: "this daemon has no such request among its last " + fmt.Sprint(explained)})
		return
	}
	cabin.Reply(w, 200, list)
}

func (d *Desk) numbers() map[string]int64 {
	n := &d.n
	return map[string]int64{"first_tries": n.First.Load(), "retries": n.Retries.Load(), "served": n.Served.Load(), "shed": n.Sheds.Load(), "uncertain": n.Unsure.Load(),
		"broken": n.Broken.Load(), "duplicates": n.Dups.Load(), "gone": n.Gone.Load(), "bad": n.Bad.Load(), "wasted_prefills": n.Wasted.Load(),
		"prefix_parts_held": n.Hits.Load(), "prefix_parts": n.Reads.Load(), "open": d.open.Load()}
}

func (d *Desk) more() map[string]any {
	out := map[string]any{"counts": d.numbers()}
	queues := map[string]any{}
	d.lanes.Range(func(k, v any) bool {
		l := v.(*lane)
		l.mu.Lock()
		r := l.q.Report()
		left := l.q.Valid(d.c.Now())
		l.mu.Unlock()
		queues[k.(string)] = map[string]any{"waiting": r.Waiting, "held": r.Held, "share": r.Share, "share_valid": left, "pace_ms": [2]int64{r.Pace[0].Milliseconds(), r.Pace[1].Milliseconds()}}
		return true
	})
	out["queues"] = queues
	sheds := map[string]int64{}
	d.sheds.Range(func(k, v any) bool { sheds[k.(string)] = v.(*atomic.Int64).Load(); return true })
	out["sheds"] = sheds
	return out
}

// metrics prints the numbers as plain lines that the usual collectors read.
func (d *Desk) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for k, v := range d.numbers() {
		_, _ = fmt.Fprintf(w, "signalbox_%s %d\n", k, v)
	}
	d.sheds.Range(func(k, v any) bool {
		_, _ = fmt.Fprintf(w, "signalbox_sheds{why=%q} %d\n", k, v.(*atomic.Int64).Load())
		return true
	})
	st := d.c.State()
	mine, left := 0, int64(0)
	for _, p := range st.Parts {
		if p.Mine {
			mine++
		}
		if p.Node.Left > 0 {
			left++
		}
	}
	_, _ = fmt.Fprintf(w, "signalbox_members %d\nsignalbox_parts_owned %d\nsignalbox_volume_leases %d\nsignalbox_plan_version %d\nsignalbox_wire_sent %d\nsignalbox_wire_got %d\nsignalbox_wire_lost %d\n",
		len(st.Members), mine, left, st.Plan, st.Wire[0], st.Wire[1], st.Wire[2])
}
