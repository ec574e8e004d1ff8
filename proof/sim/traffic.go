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

type lane struct {
	*scheduler.Dispatcher
	part   int
	asking bool
	pins   map[string]bool
}

// ride is a trip's connections.
type ride struct {
	n     *node
	l     *lane
	req   scheduler.Request
	c     *caller
	calls map[int]*call
	last  time.Duration // when the last thing sent to the caller lands
}

// call is one connection to a server.
type call struct {
	shut bool          // the daemon closed it
	last time.Duration // when the last thing sent back lands
}

// works is the holders' config, sabotaged or not.
func (w *world) works() placement.Config {
	c := w.cfg.PlacementConfig()
	switch w.o.Sabotage {
	case "noramp":
		c.WarmUp = time.Millisecond
	case "noswap":
		c.SwapBound = 0
	}
	return c
}

// source reads as traffic does, under valid leases.
func (n *node) source(part int, key string) (message.Record, bool) {
	r, ok := n.sec(part).Node.Get(n.local(), key)
	switch n.w.o.Sabotage {
	case "stale", "evacuatelate", "fallback":
		// What was read once is believed for ever: of the servers, of the zones,
		// and now and then of the plan.
		old, had := n.past[key]
		if had && !old.Deleted && (n.w.o.Sabotage == "stale" && part > 0 || n.w.o.Sabotage == "evacuatelate" && (part > 0 || key == fleetconfig.ZoneKey) ||
			n.w.o.Sabotage == "fallback" && key == fleetconfig.PlanKey && n.w.rng.Intn(4) == 0) {
			return old, true
		}
		if had && !old.Deleted && n.w.o.Sabotage == "fallback" {
			return r, ok
		}
	case "lapsed": // leases are never looked at
		if old, had := n.past[key]; !ok && had {
			return old, true
		}
	}
	if ok {
		n.past[key] = r
	}
	return r, ok
}

// carryCalls carries out what a step of the calls to leaders asks for.
func (n *node) carryCalls(o leadercall.Out) {
	for _, m := range o.Sends {
		n.send(m)
	}
	for _, d := range o.Results {
		if f := n.asks[d.CallID]; f != nil {
			delete(n.asks, d.CallID)
			f(d)
		}
	}
}

// ask calls the leader of a part.
func (n *node) ask(part int, op string, body []byte, timeout time.Duration, then func(leadercall.Result)) {
	now := n.local()
	no, o := n.runs.Start(now, n.view.Leaderships[part].Leader, part, op, body, now+timeout, op == "want")
	if then != nil {
		n.asks[no] = then
	}
	n.carryCalls(o)
}

func (n *node) lane(svc string) *lane {
	if l := n.lanes[svc]; l != nil {
		return l
	}
	cfg := nativeapi.Config(n.w.cfg)
	if n.w.o.Sabotage == "noretrybound" {
		cfg.RetryRatio, cfg.MaxAttempts = 100, 20
	}
	if n.w.o.Sabotage == "noafter" {
		cfg.RetryAfter, cfg.Queue.MinRetryAfter = 0, 0
	}
	p := fleetconfig.PartitionOf(svc, n.w.o.Partitions)
	l := &lane{part: p, pins: map[string]bool{}}
	l.Dispatcher = scheduler.New(cfg, svc, p, n.source, func() uint64 { return n.view.Leaderships[p].Term })
	n.lanes[svc] = l
	n.beat(l)
	return l
}

// beat keeps a lane's share fresh and its queue moving.
func (n *node) beat(l *lane) {
	n.do(l, l.Tick(n.local()))
	for _, k := range l.Keys() {
		if !l.pins[k] {
			l.pins[k] = true
			n.carry(l.part, n.parts[l.part].Pin(n.local(), k))
		}
	}
	n.want(l)
	n.in(n.w.works().ShareLength/8, func() { n.beat(l) })
}

func (n *node) want(l *lane) {
	if l.asking {
		return
	}
	l.asking = true
	at := n.local()
	n.ask(l.part, "want", leadercall.Pack(l.Demand()), n.w.works().ShareLength/4, func(d leadercall.Result) {
		l.asking = false
		if sh, ok := share(d); ok {
			if s := n.w.o.Sabotage; s == "stale" || s == "evacuatelate" { // no slot is ever given back
				for a, k := range l.Report().Share {
					sh.Slots[a] = max(sh.Slots[a], k)
				}
			}
			n.do(l, l.SetShare(n.local(), sh, at))
		}
	})
}

// do carries out what a lane asks for.
func (n *node) do(l *lane, o scheduler.Out) {
	for _, a := range o.Decisions {
		r := n.rides[a.RequestID]
		body := leadercall.Pack(leader.ClaimCall{Key: a.OnceKey, Claim: leadercall.Claim{Request: a.RequestID, Daemon: n.addr, State: a.ClaimState}})
		if a.Action == scheduler.SettleClaim {
			n.ask(l.part, "unclaim", body, n.w.cfg.Bounds.Recover, nil)
			continue
		}
		if r == nil {
			continue
		}
		switch a.Action {
		case scheduler.Claim:
			if n.w.o.Sabotage == "noclaim" {
				n.in(0, func() { n.do(l, l.ClaimDone(n.local(), a.RequestID, 200, nil)) })
				continue
			}
			n.ask(l.part, "claim", body, min(n.w.cfg.Bounds.Plan, r.req.Deadline-n.local()), func(d leadercall.Result) {
				n.do(l, l.ClaimDone(n.local(), a.RequestID, d.Status, d.Body))
			})
		case scheduler.Prefill, scheduler.Decode:
			n.call(r, a)
		case scheduler.CancelCall:
			if c := r.calls[a.Attempt]; c != nil {
				c.shut = true
			}
		case scheduler.SendPiece:
			r.pass(a.Piece)
		case scheduler.Respond:
			delete(n.rides, a.RequestID)
			r.respond(a.Answer)
		}
	}
	if o.NeedsSlots {
		n.in(0, func() { n.want(l) })
	}
}

// call dials a server, looks a last time, and sends.
func (n *node) call(r *ride, a scheduler.Decision) {
	w := n.w
	d := w.fakeServers[a.Addr]
	c := &call{}
	r.calls[a.Attempt] = c
	dial := w.lag()
	if w.rng.Intn(20) == 0 {
		dial += w.exp(150 * time.Millisecond)
	}
	n.in(dial, func() {
		switch {
		case c.shut:
		case !d.up:
			n.outcome(r, a, c, serverpool.NotSent, "no connection")
		case d.dark: // no word, ever
		case !r.l.MaySend(n.local(), a) && w.o.Sabotage != "nolook":
			n.outcome(r, a, c, serverpool.Blocked, "")
		case a.Action == scheduler.Prefill:
			w.at(w.lag(), func() { d.prefill(n.line(r, a, c), a.PrefillCall) })
		default:
			w.at(w.lag(), func() { d.decode(n.line(r, a, c), a.DecodeCall) })
			if w.o.Sabotage == "double" { // sent to a second decode server as well
				if b := d.twin(); b != nil {
					w.at(w.lag(), func() { b.decode(n.line(r, a, &call{shut: true}), a.DecodeCall) })
				}
			}
		}
	})
}

// outcome gives the lane the end of a call.
func (n *node) outcome(r *ride, a scheduler.Decision, c *call, out serverpool.Outcome, why string) {
	if c.shut {
		return
	}
	c.shut = true
	if n.w.o.Sabotage == "lostisshed" && out == serverpool.Lost {
		out = serverpool.Refused
	}
	if a.Action == scheduler.Prefill {
		n.do(r.l, r.l.PrefillDone(n.local(), a.RequestID, a.Attempt, serverpool.Handle{}, out, why))
		return
	}
	n.do(r.l, r.l.DecodeDone(n.local(), a.RequestID, a.Attempt, out, why))
}

// line is a server's end of a connection: what it sends back lands in order at
// this life of the daemon.
type line struct {
	n    *node
	life int
	r    *ride
	a    scheduler.Decision
	c    *call
}

func (n *node) line(r *ride, a scheduler.Decision, c *call) *line { return &line{n, n.life, r, a, c} }

// open tells whether the daemon still listens.
func (l *line) open() bool { return !l.c.shut && l.n.up && l.n.life == l.life }

func (l *line) back(f func()) {
	w := l.n.w
	at := max(w.now+w.lag(), l.c.last+1)
	l.c.last = at
	life := l.life
	w.at(at-w.now, func() {
		if l.n.life == life {
			l.n.in(0, func() {
				if !l.c.shut {
					f()
				}
			})
		}
	})
}

func (l *line) end(out serverpool.Outcome, why string) {
	l.back(func() { l.n.outcome(l.r, l.a, l.c, out, why) })
}

func (l *line) handle(h serverpool.Handle) {
	l.back(func() {
		l.c.shut = true
		if l.n.w.o.Sabotage == "nofit" { // whatever handle comes back is believed
			h.Request, h.Attempt, h.PrefillServer, h.RecordVersion = l.a.RequestID, l.a.Attempt, l.a.Addr, l.a.PrefillCall.RecordVersion
		}
		l.n.do(l.r.l, l.r.l.PrefillDone(l.n.local(), l.a.RequestID, l.a.Attempt, h, serverpool.OK, ""))
	})
}

func (l *line) piece(p serverpool.Piece, seen *int) {
	l.back(func() {
		if l.n.w.o.Sabotage == "nocount" { // numbers are made to fit
			p.Number = *seen
			if p.End {
				p.Count = *seen
			}
		}
		*seen++
		l.n.do(l.r.l, l.r.l.PieceReceived(l.n.local(), l.a.RequestID, l.a.Attempt, p))
	})
}

// poll and order speak to a server as the leader does.
func (n *node) poll(m *leader.Controller, term uint64, key string) {
	w := n.w
	d := w.fakeServers[addrOf(key)]
	told := func(u placement.Usage, ok bool) { m.HandlePoll(n.local(), term, key, u, ok) }
	life := n.life
	w.at(w.lag(), func() {
		if d == nil || !d.up || d.dark {
			n.in(2*w.works().PollInterval, func() { told(placement.Usage{}, false) })
			return
		}
		u := d.usage()
		w.at(w.lag(), func() {
			if n.life == life {
				n.in(0, func() { told(u, true) })
			}
		})
	})
}

func (n *node) order(m *leader.Controller, ord placement.Order) {
	w := n.w
	d := w.fakeServers[ord.Addr]
	n.in(w.lag(), func() {
		if d == nil || !d.up || d.dark || !m.MayOrder(n.local(), ord.Term) && w.o.Sabotage != "noswap" {
			m.HandleOrdered(ord, false)
			return
		}
		life := n.life
		w.at(w.lag(), func() {
			ok := d.ordered(n.ident, ord)
			w.at(w.lag(), func() {
				if n.life == life {
					n.in(0, func() { m.HandleOrdered(ord, ok) })
				}
			})
		})
	})
}
