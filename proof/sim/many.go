package sim

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Hundreds of changes, and then one event after another, each on a core machine
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
	if len(w.acks) < w.o.Many {
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

func (w *world) event(kinds []string) {
	if len(kinds) == 0 || w.calm {
		return
	}
	w.res.Faults[kinds[0]]++
	n := w.core()[0]
	w.trace("EVENT %s %s, %d changes in force", kinds[0], n.name, len(w.acks))
	then := func() {
		w.at(catchUp, func() {
			w.wholeNow(kinds[0])
			w.at(time.Second, func() { w.event(kinds[1:]) })
		})
	}
	back := func(after time.Duration) {
		w.at(after, func() {
			n.start()
			then()
		})
	}
	switch kinds[0] {
	case "restart":
		n.kill()
		back(500 * time.Millisecond)
	case "wiped":
		n.kill()
		n.disk = nil
		back(500 * time.Millisecond)
	case "away":
		w.apart(away, n)
		w.at(away, then)
	case "power": // as soon as the disk is at work
		w.power(n, func() { back(time.Second) })
	case "jam":
		n.jam = w.now + jam
		w.at(jam, func() {
			for p := range n.parts {
				if n.up && n.parts[p].IsLeader(n.local()) {
					w.note(Event{Kind: Silent, Node: n.name, Tag: fmt.Sprintf("leads partition %d though its disk has taken nothing for %v", p, jam)})
				}
			}
			then()
		})
	case "second", "rotten":
		w.second(kinds[0] == "rotten", then)
	}
}

// apart cuts machines off from all others for a while.
func (w *world) apart(d time.Duration, nodes ...*node) {
	var made [][2]string
	for _, n := range nodes {
		for _, b := range w.nodes {
			made = append(made, [2]string{n.name, b.name}, [2]string{b.name, n.name})
		}
	}
	w.sever(made, func(heal func()) { w.at(d, heal) })
}

// power ends a machine in the middle of a batch write; the batch is there or not.
func (w *world) power(n *node, then func()) {
	if !n.busy || !n.up {
		w.at(time.Millisecond, func() { w.power(n, then) })
		return
	}
	writing := n.writing
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
	own := slices.IndexFunc(core, func(n *node) bool { return n.up && n.parts[0].IsLeader(n.local()) })
	if own < 0 {
		w.at(100*time.Millisecond, func() { w.second(rotten, then) })
		return
	}
	leader := core[own]
	core = slices.Delete(core, own, own+1)
	late, third := core[0], core[1]
	w.apart(behind, late)
	w.at(behind, func() {
		if rotten {
			third.kill()
			w.loseNewest(third)
			third.start()
		}
		w.apart(behind, leader)
		w.at(behind, then)
	})
}

// loseNewest has a disk at rest lose the record that was acknowledged last.
func (w *world) loseNewest(n *node) {
	n.disk.rot = true
	for _, a := range slices.Backward(w.acks) {
		if r, ok := n.disk.recs[a.partition][a.key]; ok && a.partition == 0 && slices.Contains(tags(r), a.tag) {
			delete(n.disk.recs[a.partition], a.key)
			return
		}
	}
}

// wholeNow looks whether every core machine has on its disk what was
// acknowledged, up to what is under way just now.
func (w *world) wholeNow(after string) {
	bad := func(n *node, how string, args ...any) {
		w.note(Event{Kind: Silent, Node: n.name, Tag: fmt.Sprintf("isn't whole %v after %s: %s", catchUp, after, fmt.Sprintf(how, args...))})
	}
	for _, n := range w.core() {
		if !n.up || n.disk == nil {
			continue
		}
		for p := range n.parts {
			var g message.Group
			for _, m := range w.nodes {
				if m.up && m.parts[p].IsLeader(m.local()) {
					g = m.sec(p).Replica.Group()
				}
			}
			if !g.Has(n.ident) || n.sec(p).Replica.Meta().Incomplete {
				bad(n, "no voter of partition %d (%d voters, next %d)", p, len(g.Replicas), len(g.Next))
				continue
			}
			missing := 0
			for _, a := range w.acks {
				if a.partition == p && w.now-a.at > time.Second && !slices.Contains(tags(n.disk.recs[p][a.key]), a.tag) {
					missing++
				}
			}
			if missing > 0 {
				bad(n, "misses %d of the changes of partition %d, %d of %d ranges", missing, p, len(digest.DifferingRanges(n.sec(p).Digests(), make([]uint64, digest.Ranges))), digest.Ranges)
			}
		}
	}
}
