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

// caller is a simulated client with one request. It checks the answer by its content.
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
	returned bool // retries after the time that a refusal named
	inCrowd  bool // sent while the request rate was raised
	afterEnd func()
}

// share decodes the response to a call for a share.
func share(d leadercall.Result) (sh placement.Share, ok bool) {
	return sh, d.Status == 200 && json.Unmarshal(d.Body, &sh) == nil
}

// send sends the request to a daemon.
func (c *caller) send(n *node) {
	w := c.world
	c.node, c.sentAt, c.inCrowd = n, w.now, w.now < w.crowdUntil && !c.isRepeat
	c.received.Prompt = script.Prompt(c.asked.Parts)
	w.schedule(w.lag(), func() {
		if !n.up {
			c.end("error", "refused", 0)
			return
		}
		n.schedule(0, func() { c.admit(0) })
	})
	w.schedule(c.timeout+5*time.Second, func() {
		if c.node.awakeAt > c.sentAt { // its daemon was frozen since
			c.end("silent", "no final answer from a frozen machine", 0)
			return
		}
		c.end("hung", "no final answer", 0)
	})
}

// admit has the daemon accept the request. It waits a limited time for a readable plan.
func (c *caller) admit(waited time.Duration) {
	n := c.node
	now := n.local()
	rec, ok := n.readUnderLease(0, fleetconfig.PlanKey)
	if !ok && waited < min(2*c.world.cfg.VolumeLease(), c.timeout) {
		n.waitingForPlan[c.number] = c
		n.schedule(20*time.Millisecond, func() { c.admit(waited + 20*time.Millisecond) })
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
	c.world.writeJournal(history.Event{Who: n.name, Ev: "serves", Plan: p.ID, Ver: p.Version})
	req, code, why := scheduler.NewPlanIndex(rec).Admit(c.asked, c.received.Request, now)
	if code != 0 {
		c.end("broken-request", why, 0)
		return
	}
	l := n.queueOf(req.Model)
	r := &requestState{node: n, queue: l, request: req, caller: c, calls: map[int]*call{}}
	n.requests[req.ID] = r
	n.applyOut(l, l.Start(now, req))
}

// deliverPiece sends a piece to the caller, in order.
func (r *requestState) deliverPiece(p serverpool.Piece) {
	w := r.node.world
	r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
	w.schedule(r.lastArrival-w.now, func() { r.caller.piece(p) })
	n := r.caller.received.N // simulated clients read without delay
	r.queue.PiecesTaken(r.node.local(), r.request.ID, n+1)
}

// respond sends the final answer to the caller.
func (r *requestState) respond(e scheduler.Answer) {
	w := r.node.world
	for _, c := range r.calls {
		c.closed = true
	}
	r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
	w.schedule(r.lastArrival-w.now, func() {
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

// end records the outcome of the request.
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
	w.writeJournal(history.Event{
		Who: c.node.name, Ev: "reply",
		Request: c.received.Request, Run: c.received.Run, Count: c.received.N,
		Once: c.asked.OnceKey, Tenant: c.asked.Tenant, Result: result, Why: why,
		After: after, Took: int64(w.now - c.sentAt), Zone: c.node.zone, Again: c.isRepeat,
	})
	if result == "silent" || result == "hung" {
		if r := c.node.requests[c.received.Request]; r != nil && r.caller == c {
			n, l, id := c.node, r.queue, r.request.ID
			n.schedule(0, func() { n.applyOut(l, l.ClientGone(n.local(), id)) })
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
		w.schedule(time.Duration(after)*time.Millisecond, func() { again.send(w.pickNode(c.node.zone)) })
	}
}

// closeConnections closes the connections of a killed daemon.
func (n *node) closeConnections() {
	w := n.world
	for _, id := range sortedKeys(n.requests) {
		r := n.requests[id]
		for _, c := range r.calls {
			c.closed = true
		}
		r.lastArrival = max(w.now+w.lag(), r.lastArrival+1)
		w.schedule(r.lastArrival-w.now, func() { r.caller.end("broken", "connection lost", 0) })
	}
	n.requests = map[string]*requestState{}
	for _, no := range slices.Sorted(maps.Keys(n.waitingForPlan)) {
		n.waitingForPlan[no].end("broken", "connection lost", 0)
	}
	n.waitingForPlan = map[int]*caller{}
}

// startTraffic creates the model servers and schedules operators, the platform and clients.
func (w *world) startTraffic() {
	w.fakeServers, w.lists, w.firstServiceShare = map[string]*fakeServer{}, map[string]fleetconfig.List{}, 0.6
	for s, n := range w.options.Servers {
		for i := 0; i < n; i++ {
			w.addFakeServer(services[s], fmt.Sprintf("zone-%d", i%len(w.options.Zones)))
		}
	}
	w.schedule(2*time.Second, w.pollReadiness)
	w.schedule(2500*time.Millisecond, func() { w.sendFirstPlan() })
	w.schedule(9*time.Second, w.sendRequest)
	if w.options.ReadBackInterval > 0 {
		w.schedule(9*time.Second, w.startReadBack)
		w.schedule(9*time.Second, w.sendOrders)
	}
	if w.options.OperatorInterval > 0 {
		w.schedule(9*time.Second, w.runOperators)
	}
}

// addFakeServer adds a model server to a service's list and starts it.
func (w *world) addFakeServer(svc, zone string) *fakeServer {
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

// pollReadiness checks once a second which daemons are ready, as the platform does.
func (w *world) pollReadiness() {
	w.ready = nil
	for _, n := range w.nodes {
		if !n.up || n.frozenUntil > w.now || !n.view.HasSession {
			continue
		}
		_, a := n.readUnderLease(0, fleetconfig.PlanKey)
		_, b := n.readUnderLease(0, fleetconfig.ZoneKey)
		if a && b {
			w.ready = append(w.ready, n)
		}
	}
	w.schedule(time.Second, w.pollReadiness)
}

// pickNode picks a random ready daemon, preferably in the given zone.
func (w *world) pickNode(zone string) *node {
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

// controlCall sends a control call through a daemon, in place of its HTTP API.
func (w *world) controlCall(n *node, partition int, op string, body []byte, then func(code int, rep []byte)) {
	over := false
	end := func(code int, rep []byte) {
		if !over {
			over = true
			then(code, rep)
		}
	}
	w.schedule(w.lag(), func() {
		if !n.up {
			end(0, nil)
			return
		}
		n.schedule(0, func() {
			n.askLeader(partition, op, body, 2*w.cfg.Bounds.Plan, func(d leadercall.Result) {
				w.schedule(w.lag(), func() { end(d.Status, d.Body) })
			})
		})
	})
	w.schedule(10*time.Second, func() { end(leadercall.StatusUncertain, nil) })
}

// sendFirstPlan sends the first plan until it is accepted, and then the servers' lists.
func (w *world) sendFirstPlan() {
	p := fleetconfig.Plan{ID: "first"}
	for i, t := range []string{"express", "regular", "bulk"} {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: t, Priority: 4 * i, TimeoutMillis: 5000, QueueFraction: 0.6})
	}
	for _, s := range services {
		p.Services = append(p.Services, fleetconfig.Service{Name: s, PrefillServers: 1, DecodeServers: 1})
	}
	from := w.now
	w.controlCall(w.pickNode(""), 0, "plan", leadercall.MustMarshal(p), func(code int, rep []byte) {
		w.recordVerdict("first", 0, from, code, rep)
		if code != 200 {
			w.schedule(500*time.Millisecond, w.sendFirstPlan)
			return
		}
		for _, s := range services {
			w.sendServerList(s, nil)
		}
	})
}

// recordVerdict records the answer that an operator received.
func (w *world) recordVerdict(id string, base uint64, from time.Duration, code int, rep []byte) {
	v := verdict(rep)
	if v.Result == "taken" && w.options.Sabotage == "sayno" && w.rng.Intn(3) == 0 {
		v.Result = "beaten" // answers that the plan was refused although it was accepted
	}
	if v.Result == "" && code != 0 {
		v.Result = "unheard"
	}
	if v.Result != "" && code != 0 {
		w.writeJournal(history.Event{
			Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result,
			Took: max(1, int64(w.now-from)),
		})
		w.result.Plans[v.Result]++
	}
	if v.Result == "taken" {
		w.knownVersion = max(w.knownVersion, v.Version)
	}
}

// verdict decodes the answer to a plan; it is empty if there is none.
func verdict(rep []byte) (v fleetconfig.Verdict) {
	_ = json.Unmarshal(rep, &v)
	return v
}

// sendServerList sends a service's server list until it is accepted, refused with a
// conflict, or out of tries.
func (w *world) sendServerList(svc string, then func(bool)) {
	l := w.lists[svc]
	l.Version++
	w.lists[svc] = l
	body := leadercall.MustMarshal(struct {
		Service string
		List    fleetconfig.List
	}{svc, l})
	var send func(tries int)
	send = func(tries int) {
		partition := fleetconfig.PartitionOf(svc, w.options.Partitions)
		w.controlCall(w.pickNode(""), partition, "servers", body, func(code int, rep []byte) {
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
				w.schedule(300*time.Millisecond, func() { send(tries - 1) })
			}
		})
	}
	send(30)
}

// sendRequest sends a random request. If it has a once key, a second request with the same
// key follows.
func (w *world) sendRequest() {
	if w.now > w.options.Length-9*time.Second {
		return
	}
	mean := w.options.RequestInterval
	if w.now < w.crowdUntil {
		mean /= 12
	}
	w.schedule(w.exp(mean), w.sendRequest)
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
	to := w.pickNode(zone)
	if w.rng.Intn(5) < 2 {
		c.asked.OnceKey = fmt.Sprintf("k%d", c.number)
		w.callers++
		twin := &caller{world: w, number: w.callers, timeout: timeout, asked: c.asked, isRepeat: true}
		other := w.pickNode("")
		if w.rng.Intn(3) == 0 { // while the first may still be running
			w.schedule(w.exp(60*time.Millisecond), func() { twin.send(other) })
		} else {
			c.afterEnd = func() { w.schedule(w.exp(200*time.Millisecond), func() { twin.send(other) }) }
		}
	}
	c.send(to)
}

// leavers returns the addresses of the servers marked as leaving.
func leavers(l fleetconfig.List) (out []string) {
	for _, s := range l.Servers {
		if s.Leaving {
			out = append(out, s.Addr)
		}
	}
	return out
}
