package sim

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/nativeapi"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/message"
)

// The daemon's side of traffic: what traffic/nativeapi and control/daemon do over
// HTTP is done here over simulated calls, with the same machines.

type serviceQueue struct {
	*scheduler.Dispatcher
	part   int
	asking bool
	pins   map[string]bool
}

// requestState is a trip's connections.
type requestState struct {
	node        *node
	queue       *serviceQueue
	request     scheduler.Request
	caller      *caller
	calls       map[int]*call
	lastArrival time.Duration // when the last thing sent to the caller lands
}

// call is one connection to a server.
type call struct {
	closed      bool          // the daemon closed it
	lastArrival time.Duration // when the last thing sent back lands
}

// placementConfig is the holders' config, sabotaged or not.
func (w *world) placementConfig() placement.Config {
	c := w.cfg.PlacementConfig()
	switch w.options.Sabotage {
	case "noramp":
		c.WarmUp = time.Millisecond
	case "noswap":
		c.SwapBound = 0
	}
	return c
}

// source reads as traffic does, under valid leases.
func (n *node) source(part int, key string) (message.Record, bool) {
	r, ok := n.partition(part).Node.Get(n.local(), key)
	switch n.world.options.Sabotage {
	case "stale", "evacuatelate", "fallback":
		// What was read once is believed for ever: of the servers, of the zones,
		// and now and then of the plan.
		old, had := n.lastRead[key]
		if had && !old.Deleted && n.believesOld(part, key) {
			return old, true
		}
		if had && !old.Deleted && n.world.options.Sabotage == "fallback" {
			return r, ok
		}
	case "lapsed": // leases are never looked at
		if old, had := n.lastRead[key]; !ok && had {
			return old, true
		}
	}
	if ok {
		n.lastRead[key] = r
	}
	return r, ok
}

// believesOld reports whether a sabotaged daemon goes on with what it read once.
func (n *node) believesOld(part int, key string) bool {
	switch n.world.options.Sabotage {
	case "stale":
		return part > 0
	case "evacuatelate":
		return part > 0 || key == fleetconfig.ZoneKey
	case "fallback":
		return key == fleetconfig.PlanKey && n.world.rng.Intn(4) == 0
	}
	return false
}

// carryCalls carries out what a step of the calls to leaders asks for.
func (n *node) carryCalls(o leadercall.Out) {
	for _, m := range o.Sends {
		n.send(m)
	}
	for _, d := range o.Results {
		if f := n.onResult[d.CallID]; f != nil {
			delete(n.onResult, d.CallID)
			f(d)
		}
	}
}

// ask calls the leader of a part.
func (n *node) ask(part int, op string, body []byte, timeout time.Duration, then func(leadercall.Result)) {
	now := n.local()
	no, o := n.calls.Start(now, n.view.Leaderships[part].Leader, part, op, body, now+timeout, op == "want")
	if then != nil {
		n.onResult[no] = then
	}
	n.carryCalls(o)
}

func (n *node) queueOf(svc string) *serviceQueue {
	if l := n.queues[svc]; l != nil {
		return l
	}
	cfg := nativeapi.Config(n.world.cfg)
	if n.world.options.Sabotage == "noretrybound" {
		cfg.RetryRatio, cfg.MaxAttempts = 100, 20
	}
	if n.world.options.Sabotage == "noafter" {
		cfg.RetryAfter, cfg.Queue.MinRetryAfter = 0, 0
	}
	p := fleetconfig.PartitionOf(svc, n.world.options.Partitions)
	l := &serviceQueue{part: p, pins: map[string]bool{}}
	l.Dispatcher = scheduler.New(cfg, svc, p, n.source, func() uint64 { return n.view.Leaderships[p].Term })
	n.queues[svc] = l
	n.tickQueue(l)
	return l
}

// tickQueue keeps a queue's share fresh and its queue moving.
func (n *node) tickQueue(l *serviceQueue) {
	n.do(l, l.Tick(n.local()))
	for _, k := range l.Keys() {
		if !l.pins[k] {
			l.pins[k] = true
			n.carry(l.part, n.controllers[l.part].Pin(n.local(), k))
		}
	}
	n.askForShare(l)
	n.in(n.world.placementConfig().ShareLength/8, func() { n.tickQueue(l) })
}

func (n *node) askForShare(l *serviceQueue) {
	if l.asking {
		return
	}
	l.asking = true
	at := n.local()
	n.ask(l.part, "want", leadercall.MustMarshal(l.Demand()), n.world.placementConfig().ShareLength/4, func(d leadercall.Result) {
		l.asking = false
		if sh, ok := share(d); ok {
			if s := n.world.options.Sabotage; s == "stale" || s == "evacuatelate" { // no slot is ever given back
				for a, k := range l.Report().Share {
					sh.Slots[a] = max(sh.Slots[a], k)
				}
			}
			n.do(l, l.SetShare(n.local(), sh, at))
		}
	})
}

// do carries out what a queue asks for.
func (n *node) do(l *serviceQueue, o scheduler.Out) {
	for _, a := range o.Decisions {
		r := n.requests[a.RequestID]
		claim := leadercall.Claim{Request: a.RequestID, Daemon: n.addr, State: a.ClaimState}
		body := leadercall.MustMarshal(leader.ClaimCall{Key: a.OnceKey, Claim: claim})
		if a.Action == scheduler.SettleClaim {
			n.ask(l.part, "unclaim", body, n.world.cfg.Bounds.Recover, nil)
			continue
		}
		if r == nil {
			continue
		}
		switch a.Action {
		case scheduler.Claim:
			if n.world.options.Sabotage == "noclaim" {
				n.in(0, func() { n.do(l, l.ClaimDone(n.local(), a.RequestID, 200, nil)) })
				continue
			}
			n.ask(l.part, "claim", body, min(n.world.cfg.Bounds.Plan, r.request.Deadline-n.local()), func(d leadercall.Result) {
				n.do(l, l.ClaimDone(n.local(), a.RequestID, d.Status, d.Body))
			})
		case scheduler.Prefill, scheduler.Decode:
			n.call(r, a)
		case scheduler.CancelCall:
			if c := r.calls[a.Attempt]; c != nil {
				c.closed = true
			}
		case scheduler.SendPiece:
			r.pass(a.Piece)
		case scheduler.Respond:
			delete(n.requests, a.RequestID)
			r.respond(a.Answer)
		}
	}
	if o.NeedsSlots {
		n.in(0, func() { n.askForShare(l) })
	}
}

// call dials a server, looks a last time, and sends.
func (n *node) call(r *requestState, a scheduler.Decision) {
	w := n.world
	d := w.fakeServers[a.Addr]
	c := &call{}
	r.calls[a.Attempt] = c
	dial := w.lag()
	if w.rng.Intn(20) == 0 {
		dial += w.exp(150 * time.Millisecond)
	}
	n.in(dial, func() {
		switch {
		case c.closed:
		case !d.up:
			n.outcome(r, a, c, serverpool.NotSent, "no connection")
		case d.dark: // no word, ever
		case !r.queue.MaySend(n.local(), a) && w.options.Sabotage != "nolook":
			n.outcome(r, a, c, serverpool.Blocked, "")
		case a.Action == scheduler.Prefill:
			w.at(w.lag(), func() { d.prefill(n.newConnection(r, a, c), a.PrefillCall) })
		default:
			w.at(w.lag(), func() { d.decode(n.newConnection(r, a, c), a.DecodeCall) })
			if w.options.Sabotage == "double" { // sent to a second decode server as well
				if b := d.twin(); b != nil {
					w.at(w.lag(), func() { b.decode(n.newConnection(r, a, &call{closed: true}), a.DecodeCall) })
				}
			}
		}
	})
}

// outcome gives the queue the end of a call.
func (n *node) outcome(r *requestState, a scheduler.Decision, c *call, out serverpool.Outcome, why string) {
	if c.closed {
		return
	}
	c.closed = true
	if n.world.options.Sabotage == "lostisshed" && out == serverpool.Lost {
		out = serverpool.Refused
	}
	if a.Action == scheduler.Prefill {
		n.do(r.queue, r.queue.PrefillDone(n.local(), a.RequestID, a.Attempt, serverpool.Handle{}, out, why))
		return
	}
	n.do(r.queue, r.queue.DecodeDone(n.local(), a.RequestID, a.Attempt, out, why))
}

// connection is a server's end of a connection: what it sends back lands in order at
// this life of the daemon.
type connection struct {
	node    *node
	life    int
	request *requestState
	act     scheduler.Decision
	call    *call
}

func (n *node) newConnection(r *requestState, a scheduler.Decision, c *call) *connection {
	return &connection{n, n.starts, r, a, c}
}

// open tells whether the daemon still listens.
func (l *connection) open() bool { return !l.call.closed && l.node.up && l.node.starts == l.life }

func (l *connection) back(f func()) {
	w := l.node.world
	at := max(w.now+w.lag(), l.call.lastArrival+1)
	l.call.lastArrival = at
	life := l.life
	w.at(at-w.now, func() {
		if l.node.starts == life {
			l.node.in(0, func() {
				if !l.call.closed {
					f()
				}
			})
		}
	})
}

func (l *connection) end(out serverpool.Outcome, why string) {
	l.back(func() { l.node.outcome(l.request, l.act, l.call, out, why) })
}

func (l *connection) handle(h serverpool.Handle) {
	l.back(func() {
		l.call.closed = true
		if l.node.world.options.Sabotage == "nofit" { // whatever handle comes back is believed
			h.Request, h.Attempt = l.act.RequestID, l.act.Attempt
			h.PrefillServer, h.RecordVersion = l.act.Addr, l.act.PrefillCall.RecordVersion
		}
		queue, now := l.request.queue, l.node.local()
		l.node.do(queue, queue.PrefillDone(now, l.act.RequestID, l.act.Attempt, h, serverpool.OK, ""))
	})
}

func (l *connection) piece(p serverpool.Piece, seen *int) {
	l.back(func() {
		if l.node.world.options.Sabotage == "nocount" { // numbers are made to fit
			p.Number = *seen
			if p.End {
				p.Count = *seen
			}
		}
		*seen++
		l.node.do(l.request.queue, l.request.queue.PieceReceived(l.node.local(), l.act.RequestID, l.act.Attempt, p))
	})
}

// poll and order speak to a server as the leader does.
func (n *node) poll(m *leader.Controller, term uint64, key string) {
	w := n.world
	d := w.fakeServers[addrOf(key)]
	told := func(u placement.Usage, ok bool) { m.HandlePoll(n.local(), term, key, u, ok) }
	life := n.starts
	w.at(w.lag(), func() {
		if d == nil || !d.up || d.dark {
			n.in(2*w.placementConfig().PollInterval, func() { told(placement.Usage{}, false) })
			return
		}
		u := d.usage()
		w.at(w.lag(), func() {
			if n.starts == life {
				n.in(0, func() { told(u, true) })
			}
		})
	})
}

func (n *node) order(m *leader.Controller, ord placement.Order) {
	w := n.world
	d := w.fakeServers[ord.Addr]
	n.in(w.lag(), func() {
		if d == nil || !d.up || d.dark || !m.MayOrder(n.local(), ord.Term) && w.options.Sabotage != "noswap" {
			m.HandleOrderResult(ord, false)
			return
		}
		life := n.starts
		w.at(w.lag(), func() {
			ok := d.ordered(n.ident, ord)
			w.at(w.lag(), func() {
				if n.starts == life {
					n.in(0, func() { m.HandleOrderResult(ord, ok) })
				}
			})
		})
	})
}
