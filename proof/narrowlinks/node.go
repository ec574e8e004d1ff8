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
	looksPerSecond = 4 // of a daemon, for a server
	lookDeadline   = 3 * time.Second
	formation      = 3 * time.Second // until daemons know the members
	fallbackLeases = 5               // volume leases with the leader, after the relay couldn't serve
)

// node is a daemon of the zone, with the dispatcher of the service.
type node struct {
	w          *world
	self       message.Member
	controller *leader.Controller
	link       *link
	fallback   time.Duration // until when the leader is the parent, since the relay couldn't serve
	dispatcher *forward.Dispatcher
	pinned     map[string]bool
	looks      int
}

// addDaemons makes the leader, the zone's daemons, and the members' view of both.
func (w *world) addDaemons() {
	w.root = newRoot(w)
	if w.Control {
		w.addNode(0, true)
	}
	for i := 1; i <= w.Daemons; i++ {
		w.addNode(i, false)
	}
	w.viewMembers()
	w.after(w.From, func() { w.nodes[w.Daemons/2].link.late = w.Late })
	w.after(w.To, func() { w.nodes[w.Daemons/2].link.late = 0 })
	for i := range w.Dead {
		n := w.nodes[len(w.nodes)-1-i]
		w.after(w.From+time.Second/4, func() { n.link.down = true })
	}
}

// viewMembers has a control daemon of the leader's zone draw the fleet's view.
func (w *world) viewMembers() {
	control := message.Member{Ident: w.root.self.Ident, Addr: w.root.self.Addr, Zone: farZone, HasDisk: true, Build: "test"}
	table := membership.New(w.cfg.MembershipConfig(), control, nil)
	for _, n := range w.nodes {
		table.Step(0, message.Hello{Self: n.self}.Message())
	}
	table.Tick(0, control, []message.Leadership{{Partition: number, Term: 1, Leader: w.root.self}})
	w.view = table.View()
}

func (w *world) addNode(i int, control bool) {
	n := &node{
		w: w, pinned: map[string]bool{},
		self: message.Member{
			Ident: fmt.Sprintf("daemon-%02d", i), Addr: fmt.Sprintf("10.1.0.%d:1", i+1), Zone: zone, HasDisk: control, Build: "test",
		},
	}
	n.controller = leader.New(leader.Config{}, number, n.self.Replica(), newPartition(w, n.self.Replica(), nil))
	cfg := gateway.Config(w.cfg)
	cfg.Zone = zone
	n.dispatcher = forward.New(cfg, service, number, n, idle{})
	n.dispatcher.SetDaemons(0, n.self.Addr, []string{n.self.Addr})
	megabits := w.Narrow
	if control {
		megabits = w.Wide
	}
	n.link = newLink(megabits, func(m message.Message) { n.carryOut(n.controller.Step(w.now, m)) })
	w.byIdent[n.self.Ident] = n.link
	w.nodes = append(w.nodes, n)
	w.after(formation, func() {
		w.every(w.cfg.VolumeLease()/stepGap, n.tick)
		w.every(gateway.LoadReportConfig(w.cfg).Interval, n.keepPinned)
		w.every(time.Second/looksPerSecond, n.look)
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

// tick lets time pass in the leases.
func (n *node) tick() {
	if n.link.down {
		return
	}
	n.carryOut(n.controller.Tick(n.w.now))
	if parent := n.parent(); parent != n.tree().Parent() {
		n.carryOut(n.controller.SetParent(n.w.now, parent))
	}
}

// keepPinned pins the records that the dispatcher reads, and no others, as the gateway does.
func (n *node) keepPinned() {
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

// parent is the daemon's parent in the lease tree, as membership.ParentChooser has it.
func (n *node) parent() message.Replica {
	relay := n.w.view.Relay(number, zone)
	if relay.Ident == "" || relay.Ident == n.self.Ident || n.w.now < n.fallback {
		return n.w.root.self
	}
	return relay
}

// look asks the dispatcher for a server, and notes for how long those that it may send to
// have been leaving.
func (n *node) look() {
	if n.link.down {
		return
	}
	w := n.w
	n.looks++
	id := fmt.Sprint(n.looks)
	decision := n.dispatcher.Start(w.now, forward.Request{
		ID: id, Service: service, Repeatable: true, MaxAttempts: 1, TTFTTarget: time.Second,
		Deadline: w.now + lookDeadline, InputTokens: 100,
	})
	calling := decision.Action == forward.Decode
	if !decision.Action.Final() {
		n.dispatcher.ClientGone(w.now, id, calling)
	}
	second := &w.result.Seconds[min(int(w.now/time.Second), len(w.result.Seconds)-1)]
	second.Looks++
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
