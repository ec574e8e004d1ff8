package sim

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Losses of control daemons, one after the other at the highest rate that the fleet must
// tolerate: each follows one catch-up bound after the previous successor's start.

// downTime is how long a machine that keeps its disk is down: longer than a partition may be
// without a leader.
const downTime = 5500 * time.Millisecond

// minStopTime is how long a daemon keeps running at least after it was told to stop.
const minStopTime = 2200 * time.Millisecond

// lossScenario returns options for a series of losses, optionally with a second loss after
// each.
func lossScenario(rounds int, second bool) func(int64) Options {
	return func(seed int64) Options {
		o := Default(seed)
		o.LossRounds, o.SecondLoss, o.Faults = rounds, second, nil
		o.WritePeriod, o.ReadPeriod, o.Keys = 100*time.Millisecond, 80*time.Millisecond, 6
		o.Calm = 8 * time.Second
		if seed%3 == 0 { // five replicas and a standby, with two daemons lost at once
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

// loseNext causes the next loss, of as many control daemons as may be lost at once. Each is
// replaced by an empty one at a new address, with or without notice, or loses its disk.
func (w *world) loseNext(left int) {
	if left == 0 || w.faultsEnded {
		return
	}
	gap := w.exp(500 * time.Millisecond)
	hit := w.pickControlDaemon(nil)
	lost := []*node{hit}
	for len(lost) < w.options.Losses {
		n := w.pickControlDaemon(lost)
		lost = append(lost, n)
		w.loseControlDaemon(n, w.rng.Intn(2), gap, func(*node, time.Duration) {})
	}
	w.loseControlDaemon(hit, w.rng.Intn(3), gap, func(successor *node, wait time.Duration) {
		w.continueLosses(successor, wait, left)
	})
}

// loseControlDaemon removes a daemon or its disk. When the successor starts, it calls then
// with the successor and the time by which that must have caught up.
func (w *world) loseControlDaemon(n *node, kind int, gap time.Duration, then func(*node, time.Duration)) {
	switch kind {
	case 0:
		w.injectFault("gone", n)
		n.kill()
		n.removed = true
		m := w.addNode(n.zone, true, len(w.nodes))
		w.schedule(gap, func() { m.start(); then(m, w.cfg.CatchUpBound) })
	case 1:
		w.injectFault("wiped", n)
		n.kill()
		n.disk = nil
		w.schedule(gap, func() { n.start(); then(n, w.cfg.CatchUpBound) })
	default:
		w.injectFault("planned", n)
		m := w.addNode(n.zone, true, len(w.nodes))
		m.start()
		w.schedule(w.cfg.CatchUpBound, func() { n.decommission(func() { then(m, 0) }) })
	}
}

// continueLosses waits until a successor must have caught up. It then causes a second loss,
// if the run has them, and the next loss.
func (w *world) continueLosses(m *node, wait time.Duration, left int) {
	w.schedule(wait, func() {
		if !w.options.SecondLoss {
			w.loseNext(left - 1)
			return
		}
		w.loseSecond(m)
		w.schedule(downTime+w.cfg.CatchUpBound, func() { w.loseNext(left - 1) })
	})
}

// loseSecond kills control daemons other than the successor; they keep their disks.
func (w *world) loseSecond(successor *node) {
	if w.faultsEnded {
		return
	}
	hit := []*node{successor}
	for len(hit) <= max(1, w.options.Losses) {
		n := w.pickControlDaemon(hit)
		hit = append(hit, n)
		w.injectFault("second", n)
		n.kill()
		w.schedule(downTime, n.start)
	}
}

// pickControlDaemon picks a random control daemon that isn't excluded, in half of the cases
// the leader of partition 0.
func (w *world) pickControlDaemon(excluded []*node) *node {
	var all []*node
	for _, n := range w.nodes {
		if !n.hasDisk || n.removed || n.leaving || slices.Contains(excluded, n) {
			continue
		}
		if all = append(all, n); n.up && n.controllers[0].IsLeader(n.local()) && w.rng.Intn(2) == 0 {
			return n
		}
	}
	return all[w.rng.Intn(len(all))]
}

// decommission tells a daemon to stop permanently. It stops once its replicas are taken over
// or its grace period is nearly over.
func (n *node) decommission(then func()) {
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
			w.schedule(50*time.Millisecond, look)
			return
		}
		n.kill()
		n.removed = true
		w.trace("%s stops permanently", n.name)
		then()
	}
	w.schedule(minStopTime, look)
}

// pendingHandovers counts the partitions that a standby can take over but hasn't yet.
func (n *node) pendingHandovers() (count int) {
	for p := range n.controllers {
		if n.view.MustHandOver(n.partition(p).Replica.Group()) {
			count++
		}
	}
	return count
}

// checkVacancy records a violation if a partition has had no leader for too long.
func (w *world) checkVacancy(p int, hasLeader bool) {
	if w.options.LossRounds == 0 {
		return
	}
	if since, ok := w.lastLedAt[p]; ok && !hasLeader && w.now-since > w.cfg.CatchUpBound {
		w.recordEvent(Event{Kind: CheckFailed, Node: "nobody", Tag: fmt.Sprintf("led partition %d for %v", p, w.now-since)})
		w.lastLedAt[p] = w.now
	}
	if hasLeader {
		w.lastLedAt[p] = w.now
	}
}

// dropsStandbyCopy reports whether a message is dropped by the sabotage that sends standbys
// no copies.
func (w *world) dropsStandbyCopy(to *node, m message.Message) bool {
	return w.options.Sabotage == "nocopies" && m.Kind == message.KindInstallState && !m.Group.Has(to.ident)
}
