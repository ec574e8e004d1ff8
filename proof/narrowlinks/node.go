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
	sim        *simulation
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
func (sim *simulation) addDaemons() {
	sim.root = newRoot(sim)
	if sim.HasControlDaemon {
		sim.addNode(0, true)
	}
	for i := 1; i <= sim.Daemons; i++ {
		sim.addNode(i, false)
	}
	sim.buildView()
	sim.after(sim.From, func() { sim.nodes[sim.Daemons/2].link.extraLatency = sim.ExtraLatency })
	sim.after(sim.To, func() { sim.nodes[sim.Daemons/2].link.extraLatency = 0 })
	for i := range sim.FailedDaemons {
		n := sim.nodes[len(sim.nodes)-1-i]
		sim.after(sim.From+time.Second/4, func() { n.link.down = true })
	}
}

// buildView computes the membership view on a control daemon in the leader's zone.
func (sim *simulation) buildView() {
	control := message.Member{Ident: sim.root.self.Ident, Addr: sim.root.self.Addr, Zone: farZone, HasDisk: true, Build: "test"}
	table := membership.New(sim.cfg.MembershipConfig(), control, nil)
	for _, n := range sim.nodes {
		table.Step(0, message.Hello{Self: n.self}.Message())
	}
	table.Tick(0, control, []message.Leadership{{Partition: partitionNumber, Term: 1, Leader: sim.root.self}})
	sim.view = table.View()
}

func (sim *simulation) addNode(i int, control bool) {
	n := &node{
		sim: sim, pinned: map[string]bool{},
		self: message.Member{
			Ident: fmt.Sprintf("daemon-%02d", i), Addr: fmt.Sprintf("10.1.0.%d:1", i+1), Zone: zone, HasDisk: control, Build: "test",
		},
	}
	n.controller = leader.New(leader.Config{}, partitionNumber, n.self.Replica(), newPartition(sim, n.self.Replica(), nil))
	cfg := gateway.Config(sim.cfg)
	cfg.Zone = zone
	n.dispatcher = forward.New(cfg, service, partitionNumber, n, noLoad{})
	n.dispatcher.SetDaemons(0, n.self.Addr, []string{n.self.Addr})
	megabits := sim.DaemonMbps
	if control {
		megabits = sim.ControlMbps
	}
	n.link = newLink(megabits, func(m message.Message) { n.carryOut(n.controller.Step(sim.now, m)) })
	sim.byIdent[n.self.Ident] = n.link
	sim.nodes = append(sim.nodes, n)
	sim.after(formation, func() {
		sim.every(sim.cfg.VolumeLease()/stepsPerLease, n.tick)
		sim.every(gateway.LoadReportConfig(sim.cfg).Interval, n.updatePins)
		sim.every(time.Second/requestsPerSecond, n.requestServer)
	})
}

func (n *node) carryOut(out leader.Out) {
	now := n.sim.now
	if out.Orphaned {
		n.fallback = now + fallbackLeases*n.sim.cfg.VolumeLease()
	}
	if out.Redirect.Ident != "" {
		n.fallback = 0
	}
	for _, e := range out.Sends {
		n.sim.send(n.self.Replica(), e)
	}
}

// tick advances the lease timers and updates the parent.
func (n *node) tick() {
	if n.link.down {
		return
	}
	n.carryOut(n.controller.Tick(n.sim.now))
	if parent := n.parent(); parent != n.tree().Parent() {
		n.carryOut(n.controller.SetParent(n.sim.now, parent))
	}
}

// updatePins pins the records that the dispatcher reads, and no others, as the gateway does.
func (n *node) updatePins() {
	n.dispatcher.Refresh(n.sim.now)
	wanted := map[string]bool{}
	for _, key := range n.dispatcher.Keys() {
		wanted[key] = true
		if !n.pinned[key] {
			n.carryOut(n.controller.Pin(n.sim.now, key))
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
	relay := n.sim.view.Relay(partitionNumber, zone)
	if relay.Ident == "" || relay.Ident == n.self.Ident || n.sim.now < n.fallback {
		return n.sim.root.self
	}
	return relay
}

// requestServer requests a server from the dispatcher and records for how long any server that
// the dispatcher could choose has been listed as leaving.
func (n *node) requestServer() {
	if n.link.down {
		return
	}
	sim := n.sim
	n.requests++
	id := fmt.Sprint(n.requests)
	decision := n.dispatcher.Start(sim.now, forward.Request{
		ID: id, Service: service, Repeatable: true, MaxAttempts: 1, TTFTTarget: time.Second,
		Deadline: sim.now + requestDeadline, InputTokens: 100,
	})
	calling := decision.Action == forward.Decode
	if !decision.Action.Final() {
		n.dispatcher.ClientGone(sim.now, id, calling)
	}
	second := &sim.result.Seconds[min(int(sim.now/time.Second), len(sim.result.Seconds)-1)]
	second.Requests++
	if !calling {
		return
	}
	second.Served++
	for _, s := range n.dispatcher.Servers() {
		if since, ok := sim.platform.leaving[s.Key]; ok {
			sim.result.LatestSend = max(sim.result.LatestSend, sim.now-since)
		}
	}
}
