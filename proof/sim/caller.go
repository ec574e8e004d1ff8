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
	world    *world
	number   int
	node     *node
	asked    scheduler.ClientRequest
	timeout  time.Duration
	sentAt   time.Duration
	received script.Prefill
	broken   string
	ended    bool
	isRepeat bool
	returned bool // came back when it was told to
	inCrowd  bool // sent while requests come thick
	afterEnd func()
}

func share(d leadercall.Result) (sh placement.Share, ok bool) {
	return sh, d.Status == 200 && json.Unmarshal(d.Body, &sh) == nil
}

// send hands the request to a daemon.
func (c *caller) send(n *node) {
	w := c.world
	c.node, c.sentAt, c.inCrowd = n, w.now, w.now < w.crowdUntil && !c.isRepeat
	c.received.Prompt = script.Prompt(c.asked.Parts)
	w.at(w.lag(), func() {
		if !n.up {
			c.end("error", "refused", 0)
			return
		}
		n.in(0, func() { c.land(0) })
	})
	w.at(c.timeout+5*time.Second, func() {
		if c.node.awakeFrom > c.sentAt { // its daemon's machine froze meanwhile
			c.end("silent", "no final answer from a frozen machine", 0)
			return
		}
		c.end("hung", "no final answer", 0)
	})
}

// land is the daemon taking the request in; it waits a little for the plan.
func (c *caller) land(waited time.Duration) {
	n := c.node
	now := n.local()
	rec, ok := n.source(0, fleetconfig.PlanKey)
	if !ok && waited < min(2*c.world.cfg.VolumeLease(), c.timeout) {
		n.waitingForPlan[c.number] = c
		n.in(20*time.Millisecond, func() { c.land(waited + 20*time.Millisecond) })
		return
	}
	delete(n.waitingForPlan, c.number)
	if !ok {
		if c.asked.OnceKey != "" {
			c.end("uncertain", "no valid lease on the plan", 1000)
		} else {
			c.end("shed", "no valid lease on the plan", 1000)
		}
		return
	}
	c.received.Request = fmt.Sprintf("r%d", c.number)
	p := fleetconfig.MustReadPlan(rec)
	c.world.jot(history.Event{Who: n.name, Ev: "serves", Plan: p.ID, Ver: p.Version})
	req, code, why := scheduler.NewPlanIndex(rec).Admit(c.asked, c.received.Request, now)
	if code != 0 {
		c.end("broken-request", why, 0)
		return
	}
	l := n.queueOf(req.Model)
	r := &requestState{node: n, queue: l, request: req, caller: c, calls: map[int]*call{}}
	n.requests[req.ID] = r
	n.do(l, l.Start(now, req))
}

// pass brings a piece to the caller, in order.
func (r *requestState) pass(p serverpool.Piece) {
	w := r.node.world
	r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
	w.at(r.lastArrival-w.now, func() { r.caller.piece(p) })
	n := r.caller.received.N // nobody is slow here: taken as it comes
	r.queue.PiecesTaken(r.node.local(), r.request.ID, n+1)
}

func (r *requestState) respond(e scheduler.Answer) {
	w := r.node.world
	for _, c := range r.calls {
		c.closed = true
	}
	r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
	w.at(r.lastArrival-w.now, func() {
		switch e.Result {
		case "finish":
		case "break", "gone":
			r.caller.end("broken", e.Reason, 0)
		default:
			r.caller.end(e.Result, e.Reason, e.RetryAfter.Milliseconds())
		}
	})
}

func (c *caller) piece(p serverpool.Piece) {
	if c.ended {
		return
	}
	end, broken, why := c.received.Next(p)
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
	if c.ended {
		return
	}
	c.ended = true
	w := c.world
	w.result.Results[result]++
	if c.inCrowd {
		w.result.Sent[c.asked.Tenant]++
		if result == "ok" {
			w.result.Served[c.asked.Tenant]++
		}
	}
	if result == "shed" {
		kind, _, _ := strings.Cut(why, " of \"")
		w.result.Refusals[kind]++
	}
	w.jot(history.Event{
		Who: c.node.name, Ev: "reply",
		Request: c.received.Request, Run: c.received.Run, Count: c.received.N,
		Once: c.asked.OnceKey, Tenant: c.asked.Tenant, Result: result, Why: why,
		After: after, Took: int64(w.now - c.sentAt), Zone: c.node.zone, Again: c.isRepeat,
	})
	if result == "silent" || result == "hung" {
		if r := c.node.requests[c.received.Request]; r != nil && r.caller == c {
			n, l, id := c.node, r.queue, r.request.ID
			n.in(0, func() { n.do(l, l.ClientGone(n.local(), id)) })
		}
	}
	if c.afterEnd != nil {
		c.afterEnd()
	}
	if c.returned {
		w.result.Returned++
		if result == "ok" {
			w.result.Helped++
		}
	} else if w.options.Back && result == "shed" && after > 0 {
		w.callers++
		again := &caller{world: w, number: w.callers, timeout: c.timeout, asked: c.asked, returned: true}
		w.at(time.Duration(after)*time.Millisecond, func() { again.send(w.pick(c.node.zone)) })
	}
}

// hangUp ends a killed daemon's connections.
func (n *node) hangUp() {
	w := n.world
	for _, id := range sortedKeys(n.requests) {
		r := n.requests[id]
		for _, c := range r.calls {
			c.closed = true
		}
		r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
		w.at(r.lastArrival-w.now, func() { r.caller.end("broken", "connection lost", 0) })
	}
	n.requests = map[string]*requestState{}
	for _, no := range slices.Sorted(maps.Keys(n.waitingForPlan)) {
		n.waitingForPlan[no].end("broken", "connection lost", 0)
	}
	n.waitingForPlan = map[int]*caller{}
}

// startTraffic lays out servers, operators, the platform and clients.
func (w *world) startTraffic() {
	w.fakeServers, w.lists, w.firstServiceShare = map[string]*fakeServer{}, map[string]fleetconfig.List{}, 0.6
	for s, n := range w.options.Servers {
		for i := 0; i < n; i++ {
			w.fakeServer(services[s], fmt.Sprintf("zone-%d", i%len(w.options.Zones)))
		}
	}
	w.at(2*time.Second, w.platform)
	w.at(2500*time.Millisecond, func() { w.sendFirstPlan() })
	w.at(9*time.Second, w.request)
	if w.options.Asks > 0 {
		w.at(9*time.Second, w.askBack)
		w.at(9*time.Second, w.order)
	}
	if w.options.Orders > 0 {
		w.at(9*time.Second, w.operate)
	}
}

func (w *world) fakeServer(svc, zone string) *fakeServer {
	d := &fakeServer{
		world:    w,
		addr:     fmt.Sprintf("10.1.0.%d:1", len(w.addrs)+1),
		service:  svc,
		zone:     zone,
		capacity: 4,
		warmUp:   time.Second + time.Duration(w.rng.Int63n(int64(4*time.Second))),
	}
	w.fakeServers[d.addr] = d
	w.addrs = append(w.addrs, d.addr)
	l := w.lists[svc]
	server := fleetconfig.Server{Addr: d.addr, Zone: zone, Capacity: d.capacity}
	l.Servers = append(append([]fleetconfig.Server(nil), l.Servers...), server)
	w.lists[svc] = l
	d.boot()
	return d
}

// platform asks every daemon once a second whether it is ready.
func (w *world) platform() {
	w.ready = nil
	for _, n := range w.nodes {
		if !n.up || n.frozenUntil > w.now || !n.view.HasSession {
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
			n.ask(part, op, body, 2*w.cfg.Bounds.Plan, func(d leadercall.Result) {
				w.at(w.lag(), func() { end(d.Status, d.Body) })
			})
		})
	})
	w.at(10*time.Second, func() { end(leadercall.StatusUncertain, nil) })
}

// sendFirstPlan sends the plan and the lists until they are taken.
func (w *world) sendFirstPlan() {
	p := fleetconfig.Plan{ID: "first"}
	for i, t := range []string{"express", "regular", "bulk"} {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: t, Priority: 4 * i, TimeoutMillis: 5000, QueueFraction: 0.6})
	}
	for _, s := range services {
		p.Services = append(p.Services, fleetconfig.Service{Name: s, PrefillServers: 1, DecodeServers: 1})
	}
	from := w.now
	w.control(w.pick(""), 0, "plan", leadercall.MustMarshal(p), func(code int, rep []byte) {
		w.recordVerdict("first", 0, from, code, rep)
		if code != 200 {
			w.at(500*time.Millisecond, w.sendFirstPlan)
			return
		}
		for _, s := range services {
			w.list(s, nil)
		}
	})
}

// recordVerdict writes down what an operator was told.
func (w *world) recordVerdict(id string, base uint64, from time.Duration, code int, rep []byte) {
	v := verdict(rep)
	if v.Result == "taken" && w.options.Sabotage == "sayno" && w.rng.Intn(3) == 0 {
		v.Result = "beaten" // told no, and it is in force
	}
	if v.Result == "" && code != 0 {
		v.Result = "unheard"
	}
	if v.Result != "" && code != 0 {
		w.jot(history.Event{
			Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result,
			Took: max(1, int64(w.now-from)),
		})
		w.result.Plans[v.Result]++
	}
	if v.Result == "taken" {
		w.knownVersion = max(w.knownVersion, v.Version)
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
	body := leadercall.MustMarshal(struct {
		Service string
		List    fleetconfig.List
	}{svc, l})
	var send func(tries int)
	send = func(tries int) {
		part := fleetconfig.PartitionOf(svc, w.options.Partitions)
		w.control(w.pick(""), part, "servers", body, func(code int, rep []byte) {
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
	if w.now > w.options.Length-9*time.Second {
		return
	}
	mean := w.options.Calls
	if w.now < w.crowdUntil {
		mean /= 12
	}
	w.at(w.exp(mean), w.request)
	svc := services[0]
	if w.rng.Float64() > w.firstServiceShare {
		svc = services[1]
	}
	pre := w.rng.Intn(4)
	w.callers++
	timeout := time.Second + time.Duration(w.rng.Int63n(int64(3*time.Second)))
	ms := timeout.Milliseconds()
	c := &caller{world: w, number: w.callers, timeout: timeout, asked: scheduler.ClientRequest{
		Model: svc, Tenant: []string{"express", "regular", "bulk"}[w.rng.Intn(3)],
		Tokens: 3 + w.rng.Intn(4), TimeoutMillis: &ms,
		Parts: []serverpool.Part{
			{Key: "shared", Text: strings.Repeat(string(rune('a'+pre)), 150)},
			{Text: fmt.Sprintf("own %d ", w.callers) + strings.Repeat("x", 50+w.rng.Intn(150))},
		},
	}}
	zone := w.nodes[w.rng.Intn(len(w.nodes))].zone
	to := w.pick(zone)
	if w.rng.Intn(5) < 2 {
		c.asked.OnceKey = fmt.Sprintf("k%d", c.number)
		w.callers++
		twin := &caller{world: w, number: w.callers, timeout: timeout, asked: c.asked, isRepeat: true}
		other := w.pick("")
		if w.rng.Intn(3) == 0 { // while the first may be under way
			w.at(w.exp(60*time.Millisecond), func() { twin.send(other) })
		} else {
			c.afterEnd = func() { w.at(w.exp(200*time.Millisecond), func() { twin.send(other) }) }
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
