package narrowlinks

import (
	"fmt"
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/control/membership"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/wire/message"
)

const (
	requestsPerSecond = 4 // requests for a server, per daemon
	requestDeadline   = 3 * time.Second
	formation         = 3 * time.Second // time until daemons know the members
	fallbackLeases    = 5               // volume leases for which the leader replaces a relay that couldn't serve
)

// node is a daemon of the zone, with the dispatcher of the service.
type node struct {
	w          *simulation
	self       message.Member
	controller *leader.Controller
	link       *link
	fallback   time.Duration // until when the leader is the parent because the relay couldn't serve
	dispatcher *forward.Dispatcher
	pinned     map[string]bool
	requests   int
}

// addDaemons creates the leader, the daemons of the zone and the view of the members, and
// schedules their faults.
func (w *simulation) addDaemons() {
	w.root = newRoot(w)
	if w.HasControlDaemon {
		w.addNode(0, true)
	}
	for i := 1; i <= w.Daemons; i++ {
		w.addNode(i, false)
	}
	w.buildView()
	w.after(w.From, func() { w.nodes[w.Daemons/2].link.extraLatency = w.ExtraLatency })
	w.after(w.To, func() { w.nodes[w.Daemons/2].link.extraLatency = 0 })
	for i := range w.FailedDaemons {
		n := w.nodes[len(w.nodes)-1-i]
		w.after(w.From+time.Second/4, func() { n.link.down = true })
	}
}

// buildView computes the membership view on a control daemon in the leader's zone.
func (w *simulation) buildView() {
	control := message.Member{Ident: w.root.self.Ident, Addr: w.root.self.Addr, Zone: farZone, HasDisk: true, Build: "test"}
	table := membership.New(w.cfg.MembershipConfig(), control, nil)
	for _, n := range w.nodes {
		table.Step(0, message.Hello{Self: n.self}.Message())
	}
	table.Tick(0, control, []message.Leadership{{Partition: partitionNumber, Term: 1, Leader: w.root.self}})
	w.view = table.View()
}

func (w *simulation) addNode(i int, control bool) {
	n := &node{
		w: w, pinned: map[string]bool{},
		self: message.Member{
			Ident: fmt.Sprintf("daemon-%02d", i), Addr: fmt.Sprintf("10.1.0.%d:1", i+1), Zone: zone, HasDisk: control, Build: "test",
		},
	}
	n.controller = leader.New(leader.Config{}, partitionNumber, n.self.Replica(), newPartition(w, n.self.Replica(), nil))
	cfg := gateway.Config(w.cfg)
	cfg.Zone = zone
	n.dispatcher = forward.New(cfg, service, partitionNumber, n, noLoad{})
	n.dispatcher.SetDaemons(0, n.self.Addr, []string{n.self.Addr})
	megabits := w.DaemonMbps
	if control {
		megabits = w.ControlMbps
	}
	n.link = newLink(megabits, func(m message.Message) { n.carryOut(n.controller.Step(w.now, m)) })
	w.byIdent[n.self.Ident] = n.link
	w.nodes = append(w.nodes, n)
	w.after(formation, func() {
		w.every(w.cfg.VolumeLease()/stepsPerLease, n.tick)
		w.every(gateway.LoadReportConfig(w.cfg).Interval, n.updatePins)
		w.every(time.Second/requestsPerSecond, n.requestServer)
	})
}

func (n *node) carryOut(out leader.Out) {
	now := n.w.now
	if out.Orphaned {
		n.fallback = now + fallbackLeases*n.w.cfg.VolumeLease()
	}
	if out.Redirect.Ident != "" {
		n.fallback = 0
	}
	for _, e := range out.Sends {
		n.w.send(n.self.Replica(), e)
	}
}

// tick advances the lease timers and updates the parent.
func (n *node) tick() {
	if n.link.down {
		return
	}
	n.carryOut(n.controller.Tick(n.w.now))
	if parent := n.parent(); parent != n.tree().Parent() {
		n.carryOut(n.controller.SetParent(n.w.now, parent))
	}
}

// updatePins pins the records that the dispatcher reads, and no others, as the gateway does.
func (n *node) updatePins() {
	n.dispatcher.Refresh(n.w.now)
	wanted := map[string]bool{}
	for _, key := range n.dispatcher.Keys() {
		wanted[key] = true
		if !n.pinned[key] {
			n.carryOut(n.controller.Pin(n.w.now, key))
		}
	}
	for key := range n.pinned {
		if !wanted[key] {
			n.controller.Unpin(key)
		}
	}
	n.pinned = wanted
}

// parent returns the daemon's parent in the lease tree, by the rules of
// membership.ParentChooser.
func (n *node) parent() message.Replica {
	relay := n.w.view.Relay(partitionNumber, zone)
	if relay.Ident == "" || relay.Ident == n.self.Ident || n.w.now < n.fallback {
		return n.w.root.self
	}
	return relay
}

// requestServer requests a server from the dispatcher and records for how long any server that
// the dispatcher could choose has been listed as leaving.
func (n *node) requestServer() {
	if n.link.down {
		return
	}
	w := n.w
	n.requests++
	id := fmt.Sprint(n.requests)
	decision := n.dispatcher.Start(w.now, forward.Request{
		ID: id, Service: service, Repeatable: true, MaxAttempts: 1, TTFTTarget: time.Second,
		Deadline: w.now + requestDeadline, InputTokens: 100,
	})
	calling := decision.Action == forward.Decode
	if !decision.Action.Final() {
		n.dispatcher.ClientGone(w.now, id, calling)
	}
	second := &w.result.Seconds[min(int(w.now/time.Second), len(w.result.Seconds)-1)]
	second.Requests++
	if !calling {
		return
	}
	second.Served++
	for _, s := range n.dispatcher.Servers() {
		if since, ok := w.platform.leaving[s.Key]; ok {
			w.result.LatestSend = max(w.result.LatestSend, w.now-since)
		}
	}
}
