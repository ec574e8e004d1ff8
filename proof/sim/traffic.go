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

// The daemon's side of request handling. It uses the same state machines as
// traffic/nativeapi and control/daemon, with simulated calls in place of HTTP.

// serviceQueue is a daemon's dispatcher for one service.
type serviceQueue struct {
	*scheduler.Dispatcher
	partition int  // partition of the service
	asking    bool // a call for a share is in flight
	pins      map[string]bool
}

// requestState holds the connections of a request.
type requestState struct {
	node        *node
	queue       *serviceQueue
	request     scheduler.Request
	caller      *caller
	calls       map[int]*call
	lastArrival time.Duration // arrival of the last message sent to the caller
}

// call is one connection to a server.
type call struct {
	closed      bool          // the daemon closed it
	lastArrival time.Duration // arrival of the last message sent back
}

// placementConfig returns the leaders' placement configuration, with the current sabotage
// applied.
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

// readUnderLease reads a record under valid leases, as request handling does, unless a
// sabotage returns a stale one.
func (n *node) readUnderLease(partition int, key string) (message.Record, bool) {
	r, ok := n.partition(partition).Node.Get(n.local(), key)
	switch n.world.options.Sabotage {
	case "stale", "evacuatelate", "fallback":
		// Records that were read once are used forever: those of servers, of zones, and
		// sometimes the plan.
		old, had := n.lastRead[key]
		if had && !old.Deleted && n.usesStale(partition, key) {
			return old, true
		}
		if had && !old.Deleted && n.world.options.Sabotage == "fallback" {
			return r, ok
		}
	case "lapsed": // leases are never checked
		if old, had := n.lastRead[key]; !ok && had {
			return old, true
		}
	}
	if ok {
		n.lastRead[key] = r
	}
	return r, ok
}

// usesStale reports whether a sabotaged daemon keeps using the first record that it read.
func (n *node) usesStale(partition int, key string) bool {
	switch n.world.options.Sabotage {
	case "stale":
		return partition > 0
	case "evacuatelate":
		return partition > 0 || key == fleetconfig.ZoneKey
	case "fallback":
		return key == fleetconfig.PlanKey && n.world.rng.Intn(4) == 0
	}
	return false
}

// applyCalls carries out the output of the leader calls.
func (n *node) applyCalls(o leadercall.Out) {
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

// askLeader calls the leader of a partition.
func (n *node) askLeader(partition int, op string, body []byte, timeout time.Duration, then func(leadercall.Result)) {
	now := n.local()
	no, o := n.calls.Start(now, n.view.Leaderships[partition].Leader, partition, op, body, now+timeout, op == "want")
	if then != nil {
		n.onResult[no] = then
	}
	n.applyCalls(o)
}

// queueOf returns the queue of a service, which it creates if necessary.
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
	l := &serviceQueue{partition: p, pins: map[string]bool{}}
	l.Dispatcher = scheduler.New(cfg, svc, p, n.readUnderLease, func() uint64 { return n.view.Leaderships[p].Term })
	n.queues[svc] = l
	n.tickQueue(l)
	return l
}

// tickQueue runs a queue's periodic work and renews its share.
func (n *node) tickQueue(l *serviceQueue) {
	n.applyOut(l, l.Tick(n.local()))
	for _, k := range l.Keys() {
		if !l.pins[k] {
			l.pins[k] = true
			n.apply(l.partition, n.controllers[l.partition].Pin(n.local(), k))
		}
	}
	n.requestShare(l)
	n.schedule(n.world.placementConfig().ShareLength/8, func() { n.tickQueue(l) })
}

// requestShare asks the leader for a share of the servers' slots.
func (n *node) requestShare(l *serviceQueue) {
	if l.asking {
		return
	}
	l.asking = true
	at := n.local()
	n.askLeader(
		l.partition, "want", leadercall.MustMarshal(l.Demand()), n.world.placementConfig().ShareLength/4,
		func(d leadercall.Result) {
			l.asking = false
			if sh, ok := share(d); ok {
				if s := n.world.options.Sabotage; s == "stale" || s == "evacuatelate" { // slots are never given back
					for a, k := range l.Report().Share {
						sh.Slots[a] = max(sh.Slots[a], k)
					}
				}
				n.applyOut(l, l.SetShare(n.local(), sh, at))
			}
		})
}

// applyOut carries out a queue's decisions.
func (n *node) applyOut(l *serviceQueue, o scheduler.Out) {
	for _, a := range o.Decisions {
		r := n.requests[a.RequestID]
		claim := leadercall.Claim{Request: a.RequestID, Daemon: n.addr, State: a.ClaimState}
		body := leadercall.MustMarshal(leader.ClaimCall{Key: a.OnceKey, Claim: claim})
		if a.Action == scheduler.SettleClaim {
			n.askLeader(l.partition, "unclaim", body, n.world.cfg.Bounds.Recover, nil)
			continue
		}
		if r == nil {
			continue
		}
		switch a.Action {
		case scheduler.Claim:
			if n.world.options.Sabotage == "noclaim" {
				n.schedule(0, func() { n.applyOut(l, l.ClaimDone(n.local(), a.RequestID, 200, nil)) })
				continue
			}
			n.askLeader(l.partition, "claim", body, min(n.world.cfg.Bounds.Plan, r.request.Deadline-n.local()),
				func(d leadercall.Result) {
					n.applyOut(l, l.ClaimDone(n.local(), a.RequestID, d.Status, d.Body))
				})
		case scheduler.Prefill, scheduler.Decode:
			n.callServer(r, a)
		case scheduler.CancelCall:
			if c := r.calls[a.Attempt]; c != nil {
				c.closed = true
			}
		case scheduler.SendPiece:
			r.deliverPiece(a.Piece)
		case scheduler.Respond:
			delete(n.requests, a.RequestID)
			r.respond(a.Answer)
		}
	}
	if o.NeedsSlots {
		n.schedule(0, func() { n.requestShare(l) })
	}
}

// callServer connects to a server, checks once more that the call may be sent, and sends it.
func (n *node) callServer(r *requestState, a scheduler.Decision) {
	w := n.world
	d := w.fakeServers[a.Addr]
	c := &call{}
	r.calls[a.Attempt] = c
	dial := w.lag()
	if w.rng.Intn(20) == 0 {
		dial += w.exp(150 * time.Millisecond)
	}
	n.schedule(dial, func() {
		switch {
		case c.closed:
		case !d.up:
			n.reportOutcome(r, a, c, serverpool.NotSent, "no connection")
		case d.dark: // never answers
		case !r.queue.MaySend(n.local(), a) && w.options.Sabotage != "nolook":
			n.reportOutcome(r, a, c, serverpool.Blocked, "")
		case a.Action == scheduler.Prefill:
			w.schedule(w.lag(), func() { d.prefill(n.newConnection(r, a, c), a.PrefillCall) })
		default:
			w.schedule(w.lag(), func() { d.decode(n.newConnection(r, a, c), a.DecodeCall) })
			if w.options.Sabotage == "double" { // sent to a second decode server as well
				if b := d.otherDecodeServer(); b != nil {
					w.schedule(w.lag(), func() { b.decode(n.newConnection(r, a, &call{closed: true}), a.DecodeCall) })
				}
			}
		}
	})
}

// reportOutcome reports the outcome of a call to the queue.
func (n *node) reportOutcome(r *requestState, a scheduler.Decision, c *call, out serverpool.Outcome, why string) {
	if c.closed {
		return
	}
	c.closed = true
	if n.world.options.Sabotage == "lostisshed" && out == serverpool.Lost {
		out = serverpool.Refused
	}
	if a.Action == scheduler.Prefill {
		n.applyOut(r.queue, r.queue.PrefillDone(n.local(), a.RequestID, a.Attempt, serverpool.Handle{}, out, why))
		return
	}
	n.applyOut(r.queue, r.queue.DecodeDone(n.local(), a.RequestID, a.Attempt, out, why))
}

// connection is a server's end of a connection. Its messages arrive in order, and only at
// the daemon's incarnation that opened it.
type connection struct {
	node    *node
	starts  int
	request *requestState
	act     scheduler.Decision
	call    *call
}

func (n *node) newConnection(r *requestState, a scheduler.Decision, c *call) *connection {
	return &connection{n, n.starts, r, a, c}
}

// isOpen reports whether the daemon still reads from the connection.
func (l *connection) isOpen() bool { return !l.call.closed && l.node.up && l.node.starts == l.starts }

// sendBack runs f at the daemon after a network delay, unless the call is closed.
func (l *connection) sendBack(f func()) {
	w := l.node.world
	at := max(w.now+w.lag(), l.call.lastArrival+1)
	l.call.lastArrival = at
	starts := l.starts
	w.schedule(at-w.now, func() {
		if l.node.starts == starts {
			l.node.schedule(0, func() {
				if !l.call.closed {
					f()
				}
			})
		}
	})
}

// end reports the outcome of the call.
func (l *connection) end(out serverpool.Outcome, why string) {
	l.sendBack(func() { l.node.reportOutcome(l.request, l.act, l.call, out, why) })
}

// handle answers a prefill call with a handle.
func (l *connection) handle(h serverpool.Handle) {
	l.sendBack(func() {
		l.call.closed = true
		if l.node.world.options.Sabotage == "nofit" { // any returned handle is accepted
			h.Request, h.Attempt = l.act.RequestID, l.act.Attempt
			h.PrefillServer, h.RecordVersion = l.act.Addr, l.act.PrefillCall.RecordVersion
		}
		queue, now := l.request.queue, l.node.local()
		l.node.applyOut(queue, queue.PrefillDone(now, l.act.RequestID, l.act.Attempt, h, serverpool.OK, ""))
	})
}

// piece sends a piece of the answer.
func (l *connection) piece(p serverpool.Piece, seen *int) {
	l.sendBack(func() {
		if l.node.world.options.Sabotage == "nocount" { // numbers are made to fit
			p.Number = *seen
			if p.End {
				p.Count = *seen
			}
		}
		*seen++
		l.node.applyOut(l.request.queue, l.request.queue.PieceReceived(l.node.local(), l.act.RequestID, l.act.Attempt, p))
	})
}

// poll polls a server's usage on behalf of a leader.
func (n *node) poll(m *leader.Controller, term uint64, key string) {
	w := n.world
	d := w.fakeServers[addrOf(key)]
	notify := func(u placement.Usage, ok bool) { m.HandlePoll(n.local(), term, key, u, ok) }
	starts := n.starts
	w.schedule(w.lag(), func() {
		if d == nil || !d.up || d.dark {
			n.schedule(2*w.placementConfig().PollInterval, func() { notify(placement.Usage{}, false) })
			return
		}
		u := d.usage()
		w.schedule(w.lag(), func() {
			if n.starts == starts {
				n.schedule(0, func() { notify(u, true) })
			}
		})
	})
}

// sendOrder sends a placement order to a server on behalf of a leader.
func (n *node) sendOrder(m *leader.Controller, ord placement.Order) {
	w := n.world
	d := w.fakeServers[ord.Addr]
	n.schedule(w.lag(), func() {
		if d == nil || !d.up || d.dark || !m.MayOrder(n.local(), ord.Term) && w.options.Sabotage != "noswap" {
			m.HandleOrderResult(ord, false)
			return
		}
		starts := n.starts
		w.schedule(w.lag(), func() {
			ok := d.applyOrder(n.ident, ord)
			w.schedule(w.lag(), func() {
				if n.starts == starts {
					n.schedule(0, func() { m.HandleOrderResult(ord, ok) })
				}
			})
		})
	})
}
