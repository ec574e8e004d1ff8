package sim

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/proof/history"
	"mulleinmast/wire/message"
)

// patience is how long a daemon waits to read the plan back, as platform does.
const patience = 900 * time.Millisecond

// askBack reads the plan back at any daemon, one that is cut off or not.
func (w *world) askBack() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.at(w.exp(w.options.Asks), w.askBack)
	n, start := w.nodes[w.rng.Intn(len(w.nodes))], w.now
	w.at(w.lag(), func() {
		if n.up {
			n.in(0, func() { n.readBack(start, w.now+patience) })
		}
	})
}

func (n *node) readBack(start, until time.Duration) {
	w := n.world
	rec, ok := n.planBack()
	switch {
	case ok && !rec.Deleted:
		p := fleetconfig.MustReadPlan(rec)
		w.at(w.lag(), func() {
			w.result.Plans["read back"]++
			w.jot(history.Event{Who: n.name, Ev: "readback", Plan: p.ID, Ver: p.Version, Took: int64(w.now - start)})
		})
	case w.now < until:
		n.in(25*time.Millisecond, func() { n.readBack(start, until) })
	default:
		w.result.Plans["not read back"]++
	}
}

// planBack is the plan under leases, unless sabotaged.
func (n *node) planBack() (message.Record, bool) {
	sec, now := n.partition(0), n.local()
	rec, ok := sec.Node.Get(now, fleetconfig.PlanKey)
	switch {
	case ok:
	case n.world.options.Sabotage == "lastread":
		rec, _, ok = sec.Node.LastKnown(now, fleetconfig.PlanKey)
	case n.world.options.Sabotage == "afterlease" && n.tookItselfForLeader():
		rec, ok = sec.Replica.Records().Get(fleetconfig.PlanKey)
	}
	return rec, ok
}

// tookItselfForLeader tells whether this daemon took itself for the leader of the configuration
// last, whatever its lease.
func (n *node) tookItselfForLeader() bool {
	return n.partition(0).Replica != nil && n.partition(0).Replica.Meta().VotedFor == n.ident
}

// order sends a change on top of the newest plan that the operator knows of, to
// any daemon; at times another operator sends one on the same base.
func (w *world) order() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.at(w.exp(w.options.Orders), w.order)
	for range 1 + w.rng.Intn(2) {
		w.set(w.nodes[w.rng.Intn(len(w.nodes))], w.knownVersion, 4)
	}
}

// answersFromCache is the sabotage of a daemon that isn't the leader and refuses
// a change by the plan that it knows.
func (w *world) answersFromCache(to *node, m message.Message) bool {
	if w.options.Sabotage != "cachedno" || m.Kind != message.KindCall || m.Op != "changes" {
		return false
	}
	if to.controllers[0].IsLeader(to.local()) || !to.tookItselfForLeader() {
		return false
	}
	rec, ok := to.partition(0).Replica.Records().Get(fleetconfig.PlanKey)
	if !ok {
		return false
	}
	rep := leadercall.MustMarshal(fleetconfig.Verdict{Result: "beaten", Version: fleetconfig.MustReadPlan(rec).Version})
	to.send(message.Envelope{Addr: m.Addr, Message: message.Message{
		Kind: message.KindCallResult, To: m.From, ResponseTo: m.RequestID, Status: 409, Body: rep,
	}})
	return true
}

// cutCore cuts a control daemon off from the rest of the core, the leader of the
// configuration as often as not: both ways, or its words only, or its ears. The
// daemons below it still reach it. One of them may start anew meanwhile and know
// only that machine.
func (w *world) cutCore(oneWay bool) {
	var core []*node
	for _, m := range w.nodes {
		if m.hasDisk && !m.removed {
			core = append(core, m)
		}
	}
	n := core[w.rng.Intn(len(core))]
	for _, m := range core {
		if m.up && m.controllers[0].IsLeader(m.local()) && w.rng.Intn(2) == 0 {
			n = m
		}
	}
	out, in := true, true
	if oneWay {
		out = w.rng.Intn(2) == 0
		in = !out
	}
	var made [][2]string
	for _, m := range core {
		if m != n && out {
			made = append(made, [2]string{n.name, m.name})
		}
		if m != n && in {
			made = append(made, [2]string{m.name, n.name})
		}
	}
	w.sever(made, func(f func()) { w.at(2*time.Second+min(w.exp(5*time.Second), 20*time.Second), f) })
	if m := w.nodes[w.rng.Intn(len(w.nodes))]; !m.hasDisk && m.up {
		m.kill()
		m.onlySeed = n.addr
		w.at(time.Second+w.exp(time.Second), m.start)
	}
}

// healed brings what a cut held up, once it has healed.
func (w *world) healed() {
	var rest []heldMessage
	for _, h := range w.heldMessages {
		if w.cutLinks[[2]string{h.from.name, h.to.name}] {
			rest = append(rest, h)
			continue
		}
		w.at(w.exp(50*time.Millisecond), func() { w.arrive(h.to, h.message) })
	}
	w.heldMessages = rest
}

// heldMessage is a message that a cut holds up.
type heldMessage struct {
	from, to *node
	message  message.Message
}
