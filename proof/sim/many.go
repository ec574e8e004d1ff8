package sim

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Hundreds of changes, and then one event after another, each on a control daemon
// drawn by lot, while changes go on. Whoever was hit must hold on its disk all
// that was acknowledged within the catch-up bound of its return.

const (
	catchUp = 4 * time.Second
	away    = 10 * time.Second // of a long cut
	jam     = 8 * time.Second  // of a disk that takes nothing
	behind  = 3 * time.Second  // of a cut that a member returns from as another is lost
)

// acked is a write that its writer was told is in force.
type acked struct {
	at        time.Duration
	partition int
	key       string
	tag       string
}

// events plans the events once enough changes are in force.
func (w *world) events() {
	if len(w.acks) < w.options.Many {
		w.at(100*time.Millisecond, w.events)
		return
	}
	kinds := []string{"restart", "wiped", "away", "power", "jam", "second", "rotten"}
	w.rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	w.event(kinds)
}

// core is the machines with a disk, in an order drawn by lot.
func (w *world) core() (out []*node) {
	for _, n := range w.nodes {
		if n.hasDisk {
			out = append(out, n)
		}
	}
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// event brings the first of the kinds about, looks at the fleet a catch-up bound after the
// return of whoever was hit, and goes on with the rest.
func (w *world) event(kinds []string) {
	if len(kinds) == 0 || w.calm {
		return
	}
	kind := kinds[0]
	w.result.Faults[kind]++
	n := w.core()[0]
	w.trace("EVENT %s %s, %d changes in force", kind, n.name, len(w.acks))
	w.bringEventAbout(kind, n, func() {
		w.at(catchUp, func() {
			w.checkCopiesAfter(kind)
			w.at(time.Second, func() { w.event(kinds[1:]) })
		})
	})
}

// bringEventAbout has one event hit a control daemon; returned runs when it is back.
func (w *world) bringEventAbout(kind string, n *node, returned func()) {
	startAfter := func(pause time.Duration) {
		w.at(pause, func() {
			n.start()
			returned()
		})
	}
	switch kind {
	case "restart":
		n.kill()
		startAfter(500 * time.Millisecond)
	case "wiped":
		n.kill()
		n.disk = nil
		startAfter(500 * time.Millisecond)
	case "away":
		w.isolateFor(away, n)
		w.at(away, returned)
	case "power": // as soon as the disk is at work
		w.power(n, func() { startAfter(time.Second) })
	case "jam":
		w.jamDisk(n, returned)
	case "second", "rotten":
		w.second(kind == "rotten", returned)
	}
}

// jamDisk has a disk take nothing for a while; at the end its daemon may lead nothing.
func (w *world) jamDisk(n *node, then func()) {
	n.jammedUntil = w.now + jam
	w.at(jam, func() {
		for p := range n.controllers {
			if n.up && n.controllers[p].IsLeader(n.local()) {
				what := fmt.Sprintf("leads partition %d though its disk has taken nothing for %v", p, jam)
				w.note(Event{Kind: Silent, Node: n.name, Tag: what})
			}
		}
		then()
	})
}

// isolateFor cuts machines off from all others for a while.
func (w *world) isolateFor(d time.Duration, nodes ...*node) {
	var links [][2]string
	for _, n := range nodes {
		links = append(links, w.linksOf(n)...)
	}
	w.sever(links, func(heal func()) { w.at(d, heal) })
}

// power ends a machine in the middle of a batch write; the batch is there or not.
func (w *world) power(n *node, then func()) {
	if !n.busy || !n.up {
		w.at(time.Millisecond, func() { w.power(n, then) })
		return
	}
	writing := n.savesUnderWay
	n.kill()
	if w.rng.Intn(2) == 0 {
		n.disk.sync(writing)
	}
	then()
}

// second brings a member back that missed changes at the moment when the leader
// is lost. Where the third's disk lost a record at the same time, nobody may
// lead until the leader is back.
func (w *world) second(rotten bool, then func()) {
	core := w.core()
	own := slices.IndexFunc(core, func(n *node) bool { return n.up && n.controllers[0].IsLeader(n.local()) })
	if own < 0 {
		w.at(100*time.Millisecond, func() { w.second(rotten, then) })
		return
	}
	leader := core[own]
	core = slices.Delete(core, own, own+1)
	late, third := core[0], core[1]
	w.isolateFor(behind, late)
	w.at(behind, func() {
		if rotten {
			third.kill()
			w.loseNewest(third)
			third.start()
		}
		w.isolateFor(behind, leader)
		w.at(behind, then)
	})
}

// loseNewest has a disk at rest lose the record that was acknowledged last.
func (w *world) loseNewest(n *node) {
	n.disk.rotten = true
	for _, a := range slices.Backward(w.acks) {
		if r, ok := n.disk.records[a.partition][a.key]; ok && a.partition == 0 && slices.Contains(tags(r), a.tag) {
			delete(n.disk.records[a.partition], a.key)
			return
		}
	}
}

// checkCopiesAfter looks whether every control daemon has on its disk what was acknowledged, up
// to what is under way just now.
func (w *world) checkCopiesAfter(after string) {
	for _, n := range w.core() {
		if !n.up || n.disk == nil {
			continue
		}
		for p := range n.controllers {
			if lack := w.lackOf(n, p); lack != "" {
				what := fmt.Sprintf("isn't whole %v after %s: %s", catchUp, after, lack)
				w.note(Event{Kind: Silent, Node: n.name, Tag: what})
			}
		}
	}
}

// lackOf says what a control daemon's copy of a partition lacks, nothing if it is whole.
func (w *world) lackOf(n *node, p int) string {
	group := w.ledGroup(p)
	if !group.Has(n.ident) || n.partition(p).Replica.Meta().Incomplete {
		return fmt.Sprintf("no voter of partition %d (%d voters, next %d)", p, len(group.Replicas), len(group.Next))
	}
	missing := 0
	for _, a := range w.acks {
		if a.partition == p && w.now-a.at > time.Second && !slices.Contains(tags(n.disk.records[p][a.key]), a.tag) {
			missing++
		}
	}
	if missing == 0 {
		return ""
	}
	differing := digest.DifferingRanges(n.partition(p).Digests(), make([]uint64, digest.Ranges))
	return fmt.Sprintf("misses %d of the changes of partition %d, %d of %d ranges",
		missing, p, len(differing), digest.Ranges)
}

// ledGroup is the group of a partition as its last leader in order has it, empty where
// nobody leads.
func (w *world) ledGroup(p int) (group message.Group) {
	for _, n := range w.nodes {
		if n.up && n.controllers[p].IsLeader(n.local()) {
			group = n.partition(p).Replica.Group()
		}
	}
	return group
}
