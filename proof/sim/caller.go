package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/proof/history"
	"mulleinmast/proof/script"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

var services = []string{"timetable", "yardnotes"}

// caller is a simulated client: one request, checked by content.
type caller struct {
	w       *world
	no      int
	n       *node
	asked   scheduler.ClientRequest
	timeout time.Duration
	at      time.Duration
	see     script.Prefill
	broken  string
	over    bool
	again   bool
	back    bool // came back when it was told to
	crowd   bool // sent while requests come thick
	after   func()
}

func share(d leadercall.Result) (sh placement.Share, ok bool) {
	return sh, d.Status == 200 && json.Unmarshal(d.Body, &sh) == nil
}

// send hands the request to a daemon.
func (c *caller) send(n *node) {
	w := c.w
	c.n, c.at, c.crowd = n, w.now, w.now < w.crowd && !c.again
	c.see.Prompt = script.Prompt(c.asked.Parts)
	w.at(w.lag(), func() {
		if !n.up {
			c.end("error", "refused", 0)
			return
		}
		n.in(0, func() { c.land(0) })
	})
	w.at(c.timeout+5*time.Second, func() {
		if c.n.thawed > c.at { // its daemon's machine froze meanwhile
			c.end("silent", "no final answer from a frozen machine", 0)
			return
		}
		c.end("hung", "no final answer", 0)
	})
}

// land is the daemon taking the request in; it waits a little for the plan.
func (c *caller) land(waited time.Duration) {
	n := c.n
	now := n.local()
	rec, ok := n.source(0, fleetconfig.PlanKey)
	if !ok && waited < min(2*c.w.cfg.VolumeLease(), c.timeout) {
		n.early[c.no] = c
		n.in(20*time.Millisecond, func() { c.land(waited + 20*time.Millisecond) })
		return
	}
	delete(n.early, c.no)
	if !ok {
		if c.asked.OnceKey != "" {
			c.end("uncertain", "no valid lease on the plan", 1000)
		} else {
			c.end("shed", "no valid lease on the plan", 1000)
		}
		return
	}
	c.see.Request = fmt.Sprintf("r%d", c.no)
	p := fleetconfig.OpenPlan(rec)
	c.w.jot(history.Event{Who: n.name, Ev: "serves", Plan: p.ID, Ver: p.Version})
	req, code, why := scheduler.NewPlanIndex(rec).Admit(c.asked, c.see.Request, now)
	if code != 0 {
		c.end("broken-request", why, 0)
		return
	}
	l := n.lane(req.Model)
	r := &ride{n: n, l: l, req: req, c: c, calls: map[int]*call{}}
	n.rides[req.ID] = r
	n.do(l, l.Start(now, req))
}

// pass brings a piece to the caller, in order.
func (r *ride) pass(p serverpool.Piece) {
	w := r.n.w
	r.last = max(w.now+w.lag(), r.last+1)
	w.at(r.last-w.now, func() { r.c.piece(p) })
	n := r.c.see.N // nobody is slow here: taken as it comes
	r.l.PiecesTaken(r.n.local(), r.req.ID, n+1)
}

func (r *ride) respond(e scheduler.Answer) {
	w := r.n.w
	for _, c := range r.calls {
		c.shut = true
	}
	r.last = max(w.now+w.lag(), r.last+1)
	w.at(r.last-w.now, func() {
		switch e.Result {
		case "finish":
		case "break", "gone":
			r.c.end("broken", e.Reason, 0)
		default:
			r.c.end(e.Result, e.Reason, e.RetryAfter.Milliseconds())
		}
	})
}

func (c *caller) piece(p serverpool.Piece) {
	if c.over {
		return
	}
	end, broken, why := c.see.Next(p)
	switch {
	case why != "":
		c.end("wrong", why, 0)
	case broken != "":
		c.broken = broken
	case end:
		c.end("ok", "", 0)
	}
}

func (c *caller) end(result, why string, after int64) {
	if c.over {
		return
	}
	c.over = true
	w := c.w
	w.res.Results[result]++
	if c.crowd {
		w.res.Sent[c.asked.Tenant]++
		if result == "ok" {
			w.res.Served[c.asked.Tenant]++
		}
	}
	if result == "shed" {
		kind, _, _ := strings.Cut(why, " of \"")
		w.res.Refusals[kind]++
	}
	w.jot(history.Event{
		Who: c.n.name, Ev: "reply", Request: c.see.Request, Run: c.see.Run, Count: c.see.N, Once: c.asked.OnceKey, Tenant: c.asked.Tenant, Result: result, Why: why,
		After: after, Took: int64(w.now - c.at), Zone: c.n.zone, Again: c.again,
	})
	if result == "silent" || result == "hung" {
		if r := c.n.rides[c.see.Request]; r != nil && r.c == c {
			n, l, id := c.n, r.l, r.req.ID
			n.in(0, func() { n.do(l, l.ClientGone(n.local(), id)) })
		}
	}
	if c.after != nil {
		c.after()
	}
	if c.back {
		w.res.Returned++
		if result == "ok" {
			w.res.Helped++
		}
	} else if w.o.Back && result == "shed" && after > 0 {
		w.callers++
		again := &caller{w: w, no: w.callers, timeout: c.timeout, asked: c.asked, back: true}
		w.at(time.Duration(after)*time.Millisecond, func() { again.send(w.pick(c.n.zone)) })
	}
}

// hangUp ends a killed daemon's connections.
func (n *node) hangUp() {
	w := n.w
	for _, id := range sortedKeys(n.rides) {
		r := n.rides[id]
		for _, c := range r.calls {
			c.shut = true
		}
		r.last = max(w.now+w.lag(), r.last+1)
		w.at(r.last-w.now, func() { r.c.end("broken", "connection lost", 0) })
	}
	n.rides = map[string]*ride{}
	for _, no := range slices.Sorted(maps.Keys(n.early)) {
		n.early[no].end("broken", "connection lost", 0)
	}
	n.early = map[int]*caller{}
}

// traffic lays out servers, operators, the platform and clients.
func (w *world) traffic() {
	w.fakeServers, w.lists, w.mix = map[string]*fakeServer{}, map[string]fleetconfig.List{}, 0.6
	for s, n := range w.o.Servers {
		for i := 0; i < n; i++ {
			w.fakeServer(services[s], fmt.Sprintf("zone-%d", i%len(w.o.Zones)))
		}
	}
	w.at(2*time.Second, w.platform)
	w.at(2500*time.Millisecond, func() { w.first() })
	w.at(9*time.Second, w.request)
	if w.o.Asks > 0 {
		w.at(9*time.Second, w.askBack)
		w.at(9*time.Second, w.order)
	}
	if w.o.Orders > 0 {
		w.at(9*time.Second, w.operate)
	}
}

func (w *world) fakeServer(svc, zone string) *fakeServer {
	d := &fakeServer{w: w, addr: fmt.Sprintf("10.1.0.%d:1", len(w.addrs)+1), svc: svc, zone: zone, cap: 4, warm: time.Second + time.Duration(w.rng.Int63n(int64(4*time.Second)))}
	w.fakeServers[d.addr] = d
	w.addrs = append(w.addrs, d.addr)
	l := w.lists[svc]
	l.Servers = append(append([]fleetconfig.Server(nil), l.Servers...), fleetconfig.Server{Addr: d.addr, Zone: zone, Capacity: d.cap})
	w.lists[svc] = l
	d.boot()
	return d
}

// platform asks every daemon once a second whether it is ready.
func (w *world) platform() {
	w.ready = nil
	for _, n := range w.nodes {
		if !n.up || n.frozen > w.now || !n.view.HasSession {
			continue
		}
		_, a := n.source(0, fleetconfig.PlanKey)
		_, b := n.source(0, fleetconfig.ZoneKey)
		if a && b {
			w.ready = append(w.ready, n)
		}
	}
	w.at(time.Second, w.platform)
}

// pick is a ready daemon, of the given zone if there is one.
func (w *world) pick(zone string) *node {
	var near []*node
	for _, n := range w.ready {
		if n.zone == zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = w.ready
	}
	if len(near) == 0 {
		near = w.nodes
	}
	return near[w.rng.Intn(len(near))]
}

// control sends a control call through a daemon, as HTTP would.
func (w *world) control(n *node, part int, op string, body []byte, then func(code int, rep []byte)) {
	over := false
	end := func(code int, rep []byte) {
		if !over {
			over = true
			then(code, rep)
		}
	}
	w.at(w.lag(), func() {
		if !n.up {
			end(0, nil)
			return
		}
		n.in(0, func() {
			n.ask(part, op, body, 2*w.cfg.Bounds.Plan, func(d leadercall.Result) { w.at(w.lag(), func() { end(d.Status, d.Body) }) })
		})
	})
	w.at(10*time.Second, func() { end(leadercall.StatusUncertain, nil) })
}

// first sends the plan and the lists until they are taken.
func (w *world) first() {
	p := fleetconfig.Plan{ID: "first"}
	for i, t := range []string{"express", "regular", "bulk"} {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: t, Priority: 4 * i, TimeoutMillis: 5000, QueueFraction: 0.6})
	}
	for _, s := range services {
		p.Services = append(p.Services, fleetconfig.Service{Name: s, PrefillServers: 1, DecodeServers: 1})
	}
	from := w.now
	w.control(w.pick(""), 0, "plan", leadercall.Pack(p), func(code int, rep []byte) {
		w.judged("first", 0, from, code, rep)
		if code != 200 {
			w.at(500*time.Millisecond, w.first)
			return
		}
		for _, s := range services {
			w.list(s, nil)
		}
	})
}

// judged writes down what an operator was told.
func (w *world) judged(id string, base uint64, from time.Duration, code int, rep []byte) {
	v := verdict(rep)
	if v.Result == "taken" && w.o.Sabotage == "sayno" && w.rng.Intn(3) == 0 {
		v.Result = "beaten" // told no, and it is in force
	}
	if v.Result == "" && code != 0 {
		v.Result = "unheard"
	}
	if v.Result != "" && code != 0 {
		w.jot(history.Event{Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result, Took: max(1, int64(w.now-from))})
		w.res.Plans[v.Result]++
	}
	if v.Result == "taken" {
		w.known = max(w.known, v.Version)
	}
}

// verdict reads an answer to a plan; none where there is none.
func verdict(rep []byte) (v fleetconfig.Verdict) {
	_ = json.Unmarshal(rep, &v)
	return v
}

// list sends a service's servers until the list is taken.
func (w *world) list(svc string, then func(bool)) {
	l := w.lists[svc]
	l.Version++
	w.lists[svc] = l
	body := leadercall.Pack(struct {
		Service string
		List    fleetconfig.List
	}{svc, l})
	var send func(tries int)
	send = func(tries int) {
		w.control(w.pick(""), fleetconfig.PartitionOf(svc, w.o.Partitions), "servers", body, func(code int, rep []byte) {
			w.trace("LIST %s version %d: %d %s; leaving %v", svc, l.Version, code, rep, leavers(l))
			switch {
			case code == 200:
				if then != nil {
					then(true)
				}
			case code == 409 || tries == 0:
				if then != nil {
					then(false)
				}
			default:
				w.at(300*time.Millisecond, func() { send(tries - 1) })
			}
		})
	}
	send(30)
}

// request sends one request of the mix, and its once key a second time.
func (w *world) request() {
	if w.now > w.o.Length-9*time.Second {
		return
	}
	mean := w.o.Calls
	if w.now < w.crowd {
		mean /= 12
	}
	w.at(w.exp(mean), w.request)
	svc := services[0]
	if w.rng.Float64() > w.mix {
		svc = services[1]
	}
	pre := w.rng.Intn(4)
	w.callers++
	timeout := time.Second + time.Duration(w.rng.Int63n(int64(3*time.Second)))
	ms := timeout.Milliseconds()
	c := &caller{w: w, no: w.callers, timeout: timeout, asked: scheduler.ClientRequest{
		Model: svc, Tenant: []string{"express", "regular", "bulk"}[w.rng.Intn(3)], Tokens: 3 + w.rng.Intn(4), TimeoutMillis: &ms,
		Parts: []serverpool.Part{{Key: "shared", Text: strings.Repeat(string(rune('a'+pre)), 150)}, {Text: fmt.Sprintf("own %d ", w.callers) + strings.Repeat("x", 50+w.rng.Intn(150))}},
	}}
	zone := w.nodes[w.rng.Intn(len(w.nodes))].zone
	to := w.pick(zone)
	if w.rng.Intn(5) < 2 {
		c.asked.OnceKey = fmt.Sprintf("k%d", c.no)
		w.callers++
		twin := &caller{w: w, no: w.callers, timeout: timeout, asked: c.asked, again: true}
		other := w.pick("")
		if w.rng.Intn(3) == 0 { // while the first may be under way
			w.at(w.exp(60*time.Millisecond), func() { twin.send(other) })
		} else {
			c.after = func() { w.at(w.exp(200*time.Millisecond), func() { twin.send(other) }) }
		}
	}
	c.send(to)
}

func leavers(l fleetconfig.List) (out []string) {
	for _, s := range l.Servers {
		if s.Leaving {
			out = append(out, s.Addr)
		}
	}
	return out
}
