package sim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"mulleinmast/control/digest"
)

// scheduleFaults lays out a run's failures.
func (w *world) scheduleFaults() {
	w.at(5*time.Second, w.write)
	if w.options.Races > 0 {
		w.at(8*time.Second, w.races)
	}
	end := w.options.Length - w.options.Calm
	for _, kind := range kinds(w.options.Faults) {
		if kind == "ackkill" {
			continue
		}
		mean := w.options.Faults[kind]
		for x := w.rng.ExpFloat64(); x < mean; x += w.rng.ExpFloat64() {
			at := 6*time.Second + time.Duration(w.rng.Float64()*float64(end-7*time.Second))
			w.at(at, func() { w.fault(kind, w.nodes[w.rng.Intn(len(w.nodes))]) })
		}
	}
	for _, at := range w.options.Swaps {
		w.at(at, w.swap)
	}
	w.at(10*time.Second, func() { w.lose(w.options.Rounds) })
	w.at(end, w.calmDown)
}

// calmDown ends all failures: from here on the fleet is to become whole again.
func (w *world) calmDown() {
	w.calm = true
	w.cutLinks = map[[2]string]bool{}
	w.trace("calm")
	for _, n := range w.nodes {
		n.frozenUntil = min(n.frozenUntil, w.now)
		n.slowUntil = 0
		n.start()
	}
	w.healServers()
}

// swap exchanges a control daemon once the fleet bears it: it bears the loss of one disk
// at a time.
func (w *world) swap() {
	for p := 0; p <= w.options.Partitions; p++ {
		if !w.bearsLoss(p) {
			w.at(time.Second, w.swap)
			return
		}
	}
	w.fault("swap", w.nodes[0])
}

// bearsLoss reports whether a partition's leader has a group of daemons that are all there
// and complete, and no group change under way.
func (w *world) bearsLoss(p int) bool {
	bears := false
	for _, leader := range w.nodes {
		if !leader.up || !leader.controllers[p].IsLeader(leader.local()) {
			continue
		}
		replica := leader.partition(p).Replica
		group := replica.Group()
		bears = len(group.Next) == 0
		for _, n := range w.nodes {
			bears = bears && (!n.removed || !group.Has(n.ident))
		}
		for _, voter := range group.Replicas {
			bears = bears && w.isComplete(p, voter.Ident, replica.Term())
		}
	}
	return bears
}

// isComplete reports whether a daemon runs whose disk holds all records of a term.
func (w *world) isComplete(p int, ident string, term uint64) bool {
	for _, n := range w.nodes {
		if n.up && n.ident == ident && n.disk != nil && n.disk.metaOf[p].LastComplete == term {
			return true
		}
	}
	return false
}

func kinds(m map[string]float64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (n *node) kill() {
	n.up = false
	n.starts++
	n.busy, n.pendingSaves = false, nil
	n.hangUp()
}

func (w *world) startLater(n *node) {
	w.at(200*time.Millisecond+w.exp(2*time.Second), n.start)
}

// faultsByKind is what brings each kind of failure about, at the machine drawn for it or
// at another one that the kind asks for.
func (w *world) faultsByKind() map[string]func(*node) {
	faults := map[string]func(*node){
		"kill":       w.killForAWhile,
		"all":        w.killAll,
		"core":       w.killControlDaemons,
		"again":      w.restartAgainAndAgain,
		"ackkill":    w.killAfterAck,
		"wipe":       w.wipeDisk,
		"copyback":   func(n *node) { w.copyFault("copyback", n) },
		"copybeside": func(n *node) { w.copyFault("copybeside", n) },
		"rot":        w.rot,
		"cut":        func(*node) { w.cutInTwo(false) },
		"oneway":     func(*node) { w.cutInTwo(true) },
		"cutcore":    func(*node) { w.cutCore(false) },
		"halfcut":    func(*node) { w.cutCore(true) },
		"alone":      w.isolate,
		"swap":       func(*node) { w.replaceControlDaemon() },
		"freeze":     w.freeze,
		"zone":       func(n *node) { w.loseZone(n.zone) },
		"crowd":      func(*node) { w.crowdUntil = w.now + 2*time.Second },
		"swing":      func(*node) { w.firstServiceShare = 1 - w.firstServiceShare },
		"slow":       w.slowDisk,
		"stall":      w.stallDisk,
	}
	for _, kind := range serverFaultKinds {
		faults[kind] = func(*node) { w.serverFault(kind) }
	}
	return faults
}

// fault brings one failure about. A kind that faultsByKind doesn't name is brought about
// by its caller and only counted here.
func (w *world) fault(kind string, n *node) {
	if w.calm {
		return
	}
	w.result.Faults[kind]++
	w.trace("FAULT %s %s", kind, n.name)
	if bringAbout := w.faultsByKind()[kind]; bringAbout != nil {
		bringAbout(n)
	}
}

// healLater ends a failure of the network some time later.
func (w *world) healLater(heal func()) {
	w.at(200*time.Millisecond+w.exp(2500*time.Millisecond), heal)
}

func (w *world) killForAWhile(n *node) {
	n.kill()
	w.startLater(n)
}

func (w *world) killAll(*node) {
	for _, n := range w.nodes {
		w.killForAWhile(n)
	}
}

// killControlDaemons kills every machine with a disk; they are back while others still
// hold leases.
func (w *world) killControlDaemons(*node) {
	for _, n := range w.nodes {
		if n.hasDisk {
			n.kill()
			w.at(20*time.Millisecond+w.exp(100*time.Millisecond), n.start)
		}
	}
}

// restartAgainAndAgain restarts a control daemon at once, three times: its incarnations
// are short.
func (w *world) restartAgainAndAgain(n *node) {
	for n.removed || !n.hasDisk {
		n = w.nodes[w.rng.Intn(len(w.nodes))]
	}
	for i := range 3 {
		w.at(time.Duration(i)*700*time.Millisecond, func() {
			if !w.calm {
				n.kill()
				w.at(30*time.Millisecond, n.start)
				w.at(100*time.Millisecond, func() { w.changeAt(n, w.newest()) })
			}
		})
	}
}

// killAfterAck kills a machine right after an acknowledgement, sometimes with its disk.
func (w *world) killAfterAck(n *node) {
	n.kill()
	if !w.diskLost && w.rng.Intn(3) == 0 {
		w.diskLost, n.disk = true, nil
		w.result.Faults["wipe"]++
	}
	w.startLater(n)
}

// wipeDisk restarts a control daemon without its disk, unless one was lost already.
func (w *world) wipeDisk(n *node) {
	if w.diskLost {
		return
	}
	for _, other := range w.nodes {
		if other.hasDisk && other.disk != nil {
			n = other
			if w.rng.Intn(2) == 0 {
				break
			}
		}
	}
	w.diskLost = true
	n.kill()
	n.disk = nil
	w.startLater(n)
}

// copyFault copies a folder; the fault counts when the copy is started.
func (w *world) copyFault(kind string, n *node) {
	w.result.Faults[kind]--
	w.copyFolder(n, kind == "copybeside")
}

// cutInTwo cuts the daemons into two sides by lot, both ways or one way only.
func (w *world) cutInTwo(oneWay bool) {
	side := map[string]bool{}
	for _, n := range w.nodes {
		side[n.name] = w.rng.Intn(2) == 0
	}
	var links [][2]string
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if side[from.name] != side[to.name] && (!oneWay || side[from.name]) {
				links = append(links, [2]string{from.name, to.name})
			}
		}
	}
	w.sever(links, w.healLater)
}

// isolate cuts a daemon off from all others.
func (w *world) isolate(n *node) {
	w.sever(w.linksOf(n), w.healLater)
}

// linksOf is every link of a daemon, both ways.
func (w *world) linksOf(n *node) (links [][2]string) {
	for _, other := range w.nodes {
		links = append(links, [2]string{n.name, other.name}, [2]string{other.name, n.name})
	}
	return links
}

// replaceControlDaemon ends the first control daemon for good; an empty one starts at a
// new address.
func (w *world) replaceControlDaemon() {
	n := w.nodes[0]
	for _, other := range w.nodes {
		if other.hasDisk && !other.removed {
			n = other
			break
		}
	}
	n.kill()
	n.removed = true
	successor := w.add(n.zone, true, len(w.nodes))
	w.at(w.exp(time.Second), successor.start)
}

// freeze suspends a machine for a while.
func (w *world) freeze(n *node) {
	was := max(n.frozenUntil, w.now)
	n.frozenUntil = max(n.frozenUntil, w.now+50*time.Millisecond+min(w.exp(1500*time.Millisecond), 6*time.Second))
	n.awakeFrom = n.frozenUntil
	if w.options.Sabotage == "standstill" { // a clock that stops while the machine is suspended
		n.base -= time.Duration(float64(n.frozenUntil-was) * n.rate)
	}
}

// slowDisk makes a disk slower for a while.
func (w *world) slowDisk(n *node) {
	n.diskDelay, n.slowUntil = w.exp(40*time.Millisecond), w.now+w.exp(3*time.Second)
}

// stallDisk has a disk take two seconds for each batch, for a while.
func (w *world) stallDisk(n *node) {
	w.slowDisk(n)
	n.diskDelay = 2 * time.Second
}

// sever cuts links, by the names of both ends, until heal runs what it is given.
func (w *world) sever(links [][2]string, heal func(func())) {
	for _, c := range links {
		w.cutLinks[c] = true
	}
	heal(func() {
		for _, c := range links {
			delete(w.cutLinks, c)
		}
		w.healed()
	})
}

// rot spoils one record on the disk of a control daemon that restarts.
func (w *world) rot(n *node) {
	if w.diskLost { // the fleet bears the loss of one disk
		return
	}
	for _, m := range w.nodes {
		if m.hasDisk && m.disk != nil && (!n.hasDisk || w.rng.Intn(3) == 0) {
			n = m
		}
	}
	p := w.rng.Intn(w.options.Partitions + 1)
	k := key(w.rng.Intn(w.options.Keys))
	rec, ok := n.disk.records[p][k]
	if !ok {
		return
	}
	w.diskLost = true
	n.kill()
	n.disk.rotten = true
	if w.rng.Intn(2) == 0 {
		delete(n.disk.records[p], k)
	} else {
		rec.Value = []byte("[]")
		n.disk.records[p][k] = rec
	}
	w.result.Faults["rotten"]++
	w.startLater(n)
}

// settleFor is how long a difference between copies may last at the end of a run: a
// write that is on its way just then is at one of them first.
const settleFor = 200 * time.Millisecond

// differing names the replicas whose copy of a partition isn't its leader's.
func (w *world) differing() (list []string) {
	for p := 0; p <= w.options.Partitions; p++ {
		for _, own := range w.nodes {
			if !own.up || !own.controllers[p].IsLeader(own.local()) {
				continue
			}
			g := own.partition(p).Replica.Group()
			for _, n := range w.nodes {
				if n.up && g.Has(n.ident) && len(digest.DifferingRanges(own.partition(p).Digests(), n.partition(p).Digests())) > 0 {
					list = append(list, fmt.Sprintf("%s of partition %d", n.name, p))
				}
			}
		}
	}
	return list
}

// checkCopies looks whether every replica's copy equals its leader's at the end: each
// does at some moment of a short while, or it differs for good.
func (w *world) checkCopies() {
	last := w.differing()
	for end := w.now + settleFor; len(last) > 0 && w.now < end && w.step(); {
		now := w.differing()
		last = slices.DeleteFunc(last, func(x string) bool { return !slices.Contains(now, x) })
	}
	for _, what := range last {
		how := fmt.Sprintf("is a copy that differs from its leader's, %v after the last failure", w.options.Calm)
		w.note(Event{Kind: Silent, Node: what, Tag: how})
	}
	for p := 0; p <= w.options.Partitions; p++ {
		for _, own := range w.nodes {
			if own.up && own.controllers[p].IsLeader(own.local()) {
				w.result.Mended += own.partition(p).Replica.Repairs
			}
		}
	}
}
