package sim

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/proof/history"
	"mulleinmast/wire/message"
)

// readBackTimeout is how long a daemon tries to read the plan back, as in package platform.
const readBackTimeout = 900 * time.Millisecond

// startReadBack reads the plan back at a random daemon, which may be cut off.
func (w *world) startReadBack() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.schedule(w.exp(w.options.ReadBackInterval), w.startReadBack)
	n, start := w.nodes[w.rng.Intn(len(w.nodes))], w.now
	w.schedule(w.lag(), func() {
		if n.up {
			n.schedule(0, func() { n.readBack(start, w.now+readBackTimeout) })
		}
	})
}

func (n *node) readBack(start, until time.Duration) {
	w := n.world
	rec, ok := n.readPlan()
	switch {
	case ok && !rec.Deleted:
		p := fleetconfig.MustReadPlan(rec)
		w.schedule(w.lag(), func() {
			w.result.Plans["read back"]++
			w.writeJournal(history.Event{Who: n.name, Ev: "readback", Plan: p.ID, Ver: p.Version, Took: int64(w.now - start)})
		})
	case w.now < until:
		n.schedule(25*time.Millisecond, func() { n.readBack(start, until) })
	default:
		w.result.Plans["not read back"]++
	}
}

// readPlan returns the plan if leases allow it to be read, or a sabotage does.
func (n *node) readPlan() (message.Record, bool) {
	part, now := n.partition(0), n.local()
	rec, ok := part.Node.Get(now, fleetconfig.PlanKey)
	switch {
	case ok:
	case n.world.options.Sabotage == "lastread":
		rec, _, ok = part.Node.LastKnown(now, fleetconfig.PlanKey)
	case n.world.options.Sabotage == "afterlease" && n.votedForItself():
		rec, ok = part.Replica.Records().Get(fleetconfig.PlanKey)
	}
	return rec, ok
}

// votedForItself reports whether the last vote of this daemon for the configuration's leader
// was for itself, regardless of its lease.
func (n *node) votedForItself() bool {
	return n.partition(0).Replica != nil && n.partition(0).Replica.Meta().VotedFor == n.ident
}

// sendOrders sends a change based on the newest plan version that the operator knows to a
// random daemon. Half the time another operator sends one on the same base.
func (w *world) sendOrders() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.schedule(w.exp(w.options.OperatorInterval), w.sendOrders)
	for range 1 + w.rng.Intn(2) {
		w.sendChange(w.nodes[w.rng.Intn(len(w.nodes))], w.knownVersion, 4)
	}
}

// answersFromCache is the sabotage of a daemon that isn't the leader and refuses a change
// because of the plan that it knows. It reports whether it answered the call.
func (w *world) answersFromCache(to *node, m message.Message) bool {
	if w.options.Sabotage != "cachedno" || m.Kind != message.KindCall || m.Op != "changes" {
		return false
	}
	if to.controllers[0].IsLeader(to.local()) || !to.votedForItself() {
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

// cutControlDaemon cuts one control daemon off from the others, preferably the leader of
// the configuration. It cuts both directions or, with oneWay set, a random one. Daemons
// without a disk still reach it; one of them may restart during the cut with that control
// daemon as its only seed.
func (w *world) cutControlDaemon(oneWay bool) {
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
	var links [][2]string
	for _, m := range core {
		if m != n && out {
			links = append(links, [2]string{n.name, m.name})
		}
		if m != n && in {
			links = append(links, [2]string{m.name, n.name})
		}
	}
	w.sever(links, func(f func()) { w.schedule(2*time.Second+min(w.exp(5*time.Second), 20*time.Second), f) })
	if m := w.nodes[w.rng.Intn(len(w.nodes))]; !m.hasDisk && m.up {
		m.kill()
		m.onlySeed = n.addr
		w.schedule(time.Second+w.exp(time.Second), m.start)
	}
}

// deliverHeldMessages delivers the messages held up by cuts that have healed.
func (w *world) deliverHeldMessages() {
	var rest []heldMessage
	for _, h := range w.heldMessages {
		if w.cutLinks[[2]string{h.from.name, h.to.name}] {
			rest = append(rest, h)
			continue
		}
		w.schedule(w.exp(50*time.Millisecond), func() { w.arrive(h.to, h.message) })
	}
	w.heldMessages = rest
}

// heldMessage is a message that a cut holds up.
type heldMessage struct {
	from, to *node
	message  message.Message
}
