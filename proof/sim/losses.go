package sim

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Losses of control daemons one after the other, as fast as the fleet is to bear
// them: the next comes a catch-up bound after the last successor's start.

// downFor is how long a machine is away that keeps its disk: longer than a part
// may be without a leader.
const downFor = 5500 * time.Millisecond

// shortStop is how long a daemon at least goes on after it was told to end.
const shortStop = 2200 * time.Millisecond

// successors is a run of losses, with a second loss after each or not.
func successors(rounds int, second bool) func(int64) Options {
	return func(seed int64) Options {
		o := Default(seed)
		o.Rounds, o.Second, o.Faults = rounds, second, nil
		o.Writes, o.Reads, o.Keys = 100*time.Millisecond, 80*time.Millisecond, 6
		o.Calm = 8 * time.Second
		if seed%3 == 0 { // five replicas, a standby, and two lost at once
			o.Zones, o.Disks, o.Losses = []int{4, 3, 3}, 2, 2
		}
		each := 7 * time.Second
		if second {
			each = 18 * time.Second
		}
		o.Length = 14*time.Second + time.Duration(rounds)*each + o.Calm
		return o
	}
}

// lose brings the next loss about, of as many control daemons as may be lost at
// once: one is gone for good and an empty one comes at a new address, with or
// without notice, or it loses its disk.
func (w *world) lose(left int) {
	if left == 0 || w.calm {
		return
	}
	gap := w.exp(500 * time.Millisecond)
	hit := w.someCore(nil)
	lost := []*node{hit}
	for len(lost) < w.options.Losses {
		n := w.someCore(lost)
		lost = append(lost, n)
		w.loseForGood(n, w.rng.Intn(2), gap, func(*node, time.Duration) {})
	}
	w.loseForGood(hit, w.rng.Intn(3), gap, func(successor *node, wait time.Duration) { w.after(successor, wait, left) })
}

// loseForGood takes a machine or its disk away; then hears of the successor
// when it starts, and how long it is until that counts.
func (w *world) loseForGood(n *node, kind int, gap time.Duration, then func(*node, time.Duration)) {
	switch kind {
	case 0:
		w.fault("gone", n)
		n.kill()
		n.removed = true
		m := w.add(n.zone, true, len(w.nodes))
		w.at(gap, func() { m.start(); then(m, w.cfg.CatchUpBound) })
	case 1:
		w.fault("wiped", n)
		n.kill()
		n.disk = nil
		w.at(gap, func() { n.start(); then(n, w.cfg.CatchUpBound) })
	default:
		w.fault("planned", n)
		m := w.add(n.zone, true, len(w.nodes))
		m.start()
		w.at(w.cfg.CatchUpBound, func() { n.leave(func() { then(m, 0) }) })
	}
}

// after goes on once a successor counts: with a second loss if there is to be
// one, and then with the next.
func (w *world) after(m *node, wait time.Duration, left int) {
	w.at(wait, func() {
		if !w.options.Second {
			w.lose(left - 1)
			return
		}
		w.loseSecond(m)
		w.at(downFor+w.cfg.CatchUpBound, func() { w.lose(left - 1) })
	})
}

// loseSecond kills other control daemons than the successor; they keep their disks.
func (w *world) loseSecond(successor *node) {
	if w.calm {
		return
	}
	hit := []*node{successor}
	for len(hit) <= max(1, w.options.Losses) {
		n := w.someCore(hit)
		hit = append(hit, n)
		w.fault("second", n)
		n.kill()
		w.at(downFor, n.start)
	}
}

// someCore picks a control daemon, every other time the leader of part 0.
func (w *world) someCore(but []*node) *node {
	var all []*node
	for _, n := range w.nodes {
		if !n.hasDisk || n.removed || n.leaving || slices.Contains(but, n) {
			continue
		}
		if all = append(all, n); n.up && n.controllers[0].IsLeader(n.local()) && w.rng.Intn(2) == 0 {
			return n
		}
	}
	return all[w.rng.Intn(len(all))]
}

// leave tells a daemon to end for good; it does once its replicas are taken over,
// or when its time is up.
func (n *node) leave(then func()) {
	w := n.world
	n.leaving = true
	if w.options.Sabotage != "nohandover" {
		for p := range n.controllers {
			n.partition(p).Replica.Resign()
		}
	}
	limit := w.now + time.Duration(float64(w.cfg.GracePeriod)*0.875)
	var look func()
	look = func() {
		if n.pendingHandovers() > 0 && w.now < limit && w.options.Sabotage != "nohandover" {
			w.at(50*time.Millisecond, look)
			return
		}
		n.kill()
		n.removed = true
		w.trace("%s ends for good", n.name)
		then()
	}
	w.at(shortStop, look)
}

// pendingHandovers counts the parts that a standby could take over and hasn't.
func (n *node) pendingHandovers() (count int) {
	for p := range n.controllers {
		if n.view.MustHandOver(n.partition(p).Replica.Group()) {
			count++
		}
	}
	return count
}

// vacancy records a part that nobody led for too long.
func (w *world) vacancy(p int, owned bool) {
	if w.options.Rounds == 0 {
		return
	}
	if since, ok := w.ownedAt[p]; ok && !owned && w.now-since > w.cfg.CatchUpBound {
		w.note(Event{Kind: Silent, Node: "nobody", Tag: fmt.Sprintf("led partition %d for %v", p, w.now-since)})
		w.ownedAt[p] = w.now
	}
	if owned {
		w.ownedAt[p] = w.now
	}
}

// noCopies is the sabotage that keeps no copies at standbys.
func (w *world) noCopies(to *node, m message.Message) bool {
	return w.options.Sabotage == "nocopies" && m.Kind == message.KindInstallState && !m.Group.Has(to.ident)
}
