package sim

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Hundreds of changes, followed by a series of events, each at a random control daemon,
// while changes continue. Within the catch-up bound after its return, the daemon must have
// every acknowledged change on its disk.

const (
	catchUpBound  = 4 * time.Second
	isolationTime = 10 * time.Second // duration of a long cut
	jamDuration   = 8 * time.Second  // duration of a blocked disk
	lagDuration   = 3 * time.Second  // duration of a cut at whose end another member is lost
)

// ackedWrite is a write that was acknowledged to its writer.
type ackedWrite struct {
	at        time.Duration
	partition int
	key       string
	tag       string
}

// startMachineEvents starts the series of events once enough changes are acknowledged.
func (w *world) startMachineEvents() {
	if len(w.ackedWrites) < w.options.MinChanges {
		w.schedule(100*time.Millisecond, w.startMachineEvents)
		return
	}
	kinds := []string{"restart", "wiped", "away", "power", "jam", "second", "rotten"}
	w.rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	w.runMachineEvents(kinds)
}

// shuffledControlDaemons returns the nodes with a disk in random order.
func (w *world) shuffledControlDaemons() (out []*node) {
	for _, n := range w.nodes {
		if n.hasDisk {
			out = append(out, n)
		}
	}
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// runMachineEvents causes an event of the first kind, checks the copies one catch-up bound
// after the return of the daemon that it hit, and continues with the other kinds.
func (w *world) runMachineEvents(kinds []string) {
	if len(kinds) == 0 || w.faultsEnded {
		return
	}
	kind := kinds[0]
	w.result.Faults[kind]++
	n := w.shuffledControlDaemons()[0]
	w.trace("EVENT %s %s, %d changes acknowledged", kind, n.name, len(w.ackedWrites))
	w.causeEvent(kind, n, func() {
		w.schedule(catchUpBound, func() {
			w.checkCopiesAfter(kind)
			w.schedule(time.Second, func() { w.runMachineEvents(kinds[1:]) })
		})
	})
}

// causeEvent causes an event at a control daemon. It calls returned when the daemon is back.
func (w *world) causeEvent(kind string, n *node, returned func()) {
	startAfter := func(pause time.Duration) {
		w.schedule(pause, func() {
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
		w.isolateFor(isolationTime, n)
		w.schedule(isolationTime, returned)
	case "power": // as soon as the disk is writing
		w.killDuringWrite(n, func() { startAfter(time.Second) })
	case "jam":
		w.jamDisk(n, returned)
	case "second", "rotten":
		w.rejoinAtLeaderLoss(kind == "rotten", returned)
	}
}

// jamDisk blocks a disk's writes for a while. At the end its daemon must not lead a
// partition.
func (w *world) jamDisk(n *node, then func()) {
	n.blockedUntil = w.now + jamDuration
	w.schedule(jamDuration, func() {
		for p := range n.controllers {
			if n.up && n.controllers[p].IsLeader(n.local()) {
				message := fmt.Sprintf("leads partition %d although its disk has written nothing for %v", p, jamDuration)
				w.recordEvent(Event{Kind: CheckFailed, Node: n.name, Tag: message})
			}
		}
		then()
	})
}

// isolateFor cuts nodes off from all others for the given time.
func (w *world) isolateFor(d time.Duration, nodes ...*node) {
	var links [][2]string
	for _, n := range nodes {
		links = append(links, w.linksOf(n)...)
	}
	w.sever(links, func(heal func()) { w.schedule(d, heal) })
}

// killDuringWrite kills a machine in the middle of a batch write. The batch is on its disk
// or not, at random.
func (w *world) killDuringWrite(n *node, then func()) {
	if !n.busy || !n.up {
		w.schedule(time.Millisecond, func() { w.killDuringWrite(n, then) })
		return
	}
	writing := n.savesInProgress
	n.kill()
	if w.rng.Intn(2) == 0 {
		n.disk.sync(writing)
	}
	then()
}

// rejoinAtLeaderLoss reconnects a member that missed changes at the moment when the leader
// is cut off. If the third member's disk loses a record at the same time, there must be no
// leader until the old one is back.
func (w *world) rejoinAtLeaderLoss(corrupted bool, then func()) {
	core := w.shuffledControlDaemons()
	leaderIndex := slices.IndexFunc(core, func(n *node) bool { return n.up && n.controllers[0].IsLeader(n.local()) })
	if leaderIndex < 0 {
		w.schedule(100*time.Millisecond, func() { w.rejoinAtLeaderLoss(corrupted, then) })
		return
	}
	leader := core[leaderIndex]
	core = slices.Delete(core, leaderIndex, leaderIndex+1)
	late, third := core[0], core[1]
	w.isolateFor(lagDuration, late)
	w.schedule(lagDuration, func() {
		if corrupted {
			third.kill()
			w.loseNewest(third)
			third.start()
		}
		w.isolateFor(lagDuration, leader)
		w.schedule(lagDuration, then)
	})
}

// loseNewest deletes the most recently acknowledged record from a stopped daemon's disk.
func (w *world) loseNewest(n *node) {
	n.disk.corrupted = true
	for _, a := range slices.Backward(w.ackedWrites) {
		if r, ok := n.disk.records[a.partition][a.key]; ok && a.partition == 0 && slices.Contains(tags(r), a.tag) {
			delete(n.disk.records[a.partition], a.key)
			return
		}
	}
}

// checkCopiesAfter checks that every control daemon has the acknowledged changes on its disk,
// except those of the last second.
func (w *world) checkCopiesAfter(after string) {
	for _, n := range w.shuffledControlDaemons() {
		if !n.up || n.disk == nil {
			continue
		}
		for p := range n.controllers {
			if problem := w.missingFrom(n, p); problem != "" {
				message := fmt.Sprintf("is incomplete %v after %s: %s", catchUpBound, after, problem)
				w.recordEvent(Event{Kind: CheckFailed, Node: n.name, Tag: message})
			}
		}
	}
}

// missingFrom describes what a control daemon's copy of a partition lacks; it is empty if
// the copy is complete.
func (w *world) missingFrom(n *node, p int) string {
	group := w.ledGroup(p)
	if !group.Has(n.ident) || n.partition(p).Replica.Meta().Incomplete {
		return fmt.Sprintf("not a voter of partition %d (%d voters, next %d)", p, len(group.Replicas), len(group.Next))
	}
	missing := 0
	for _, a := range w.ackedWrites {
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

// ledGroup returns the group of a partition according to its leader (the last one in node
// order); it is empty if there is no leader.
func (w *world) ledGroup(p int) (group message.Group) {
	for _, n := range w.nodes {
		if n.up && n.controllers[p].IsLeader(n.local()) {
			group = n.partition(p).Replica.Group()
		}
	}
	return group
}
