package sim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"mulleinmast/control/digest"
)

// scheduleFaults schedules the writes and faults of a run.
func (w *world) scheduleFaults() {
	w.schedule(5*time.Second, w.write)
	if w.options.RaceInterval > 0 {
		w.schedule(8*time.Second, w.startRaces)
	}
	end := w.options.Length - w.options.Calm
	for _, kind := range kinds(w.options.Faults) {
		if kind == "ackkill" {
			continue
		}
		mean := w.options.Faults[kind]
		for x := w.rng.ExpFloat64(); x < mean; x += w.rng.ExpFloat64() {
			at := 6*time.Second + time.Duration(w.rng.Float64()*float64(end-7*time.Second))
			w.schedule(at, func() { w.injectFault(kind, w.nodes[w.rng.Intn(len(w.nodes))]) })
		}
	}
	for _, at := range w.options.ReplacementTimes {
		w.schedule(at, w.replaceWhenSafe)
	}
	w.schedule(10*time.Second, func() { w.loseNext(w.options.LossRounds) })
	w.schedule(end, w.endFaults)
}

// endFaults ends all faults. From here on the fleet must recover.
func (w *world) endFaults() {
	w.faultsEnded = true
	w.cutLinks = map[[2]string]bool{}
	w.trace("calm")
	for _, n := range w.nodes {
		n.frozenUntil = min(n.frozenUntil, w.now)
		n.slowUntil = 0
		n.start()
	}
	w.healServers()
}

// replaceWhenSafe replaces a control daemon as soon as the fleet tolerates it; it tolerates
// the loss of one disk at a time.
func (w *world) replaceWhenSafe() {
	for p := 0; p <= w.options.Partitions; p++ {
		if !w.toleratesLoss(p) {
			w.schedule(time.Second, w.replaceWhenSafe)
			return
		}
	}
	w.injectFault("swap", w.nodes[0])
}

// toleratesLoss reports whether a partition has a leader whose group has no change in
// progress and consists of running, complete daemons.
func (w *world) toleratesLoss(p int) bool {
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

// isComplete reports whether a daemon runs and its disk holds all records of a term.
func (w *world) isComplete(p int, ident string, term uint64) bool {
	for _, n := range w.nodes {
		if n.up && n.ident == ident && n.disk != nil && n.disk.metaOf[p].LastComplete == term {
			return true
		}
	}
	return false
}

// kinds returns the sorted keys of m.
func kinds(m map[string]float64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// kill stops the daemon; pending saves and memory are lost.
func (n *node) kill() {
	n.up = false
	n.starts++
	n.busy, n.pendingSaves = false, nil
	n.closeConnections()
}

func (w *world) startLater(n *node) {
	w.schedule(200*time.Millisecond+w.exp(2*time.Second), n.start)
}

// faultsByKind returns the function that injects each kind of fault, into the given node or
// into another one that the kind requires.
func (w *world) faultsByKind() map[string]func(*node) {
	faults := map[string]func(*node){
		"kill":       w.killForAWhile,
		"all":        w.killAll,
		"core":       w.killControlDaemons,
		"again":      w.restartRepeatedly,
		"ackkill":    w.killAfterAck,
		"wipe":       w.wipeDisk,
		"copyback":   func(n *node) { w.copyFault("copyback", n) },
		"copybeside": func(n *node) { w.copyFault("copybeside", n) },
		"rot":        w.corruptRecord,
		"cut":        func(*node) { w.partitionNetwork(false) },
		"oneway":     func(*node) { w.partitionNetwork(true) },
		"cutcore":    func(*node) { w.cutControlDaemon(false) },
		"halfcut":    func(*node) { w.cutControlDaemon(true) },
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

// injectFault injects a fault and counts it. A kind that is missing from faultsByKind is
// only counted; the caller injects it.
func (w *world) injectFault(kind string, n *node) {
	if w.faultsEnded {
		return
	}
	w.result.Faults[kind]++
	w.trace("FAULT %s %s", kind, n.name)
	if inject := w.faultsByKind()[kind]; inject != nil {
		inject(n)
	}
}

// healLater ends a network fault after a random time.
func (w *world) healLater(heal func()) {
	w.schedule(200*time.Millisecond+w.exp(2500*time.Millisecond), heal)
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

// killControlDaemons kills every control daemon. They restart while other daemons still
// hold leases.
func (w *world) killControlDaemons(*node) {
	for _, n := range w.nodes {
		if n.hasDisk {
			n.kill()
			w.schedule(20*time.Millisecond+w.exp(100*time.Millisecond), n.start)
		}
	}
}

// restartRepeatedly restarts a control daemon three times in quick succession, so that its
// incarnations are short.
func (w *world) restartRepeatedly(n *node) {
	for n.removed || !n.hasDisk {
		n = w.nodes[w.rng.Intn(len(w.nodes))]
	}
	for i := range 3 {
		w.schedule(time.Duration(i)*700*time.Millisecond, func() {
			if !w.faultsEnded {
				n.kill()
				w.schedule(30*time.Millisecond, n.start)
				w.schedule(100*time.Millisecond, func() { w.sendChangeThrough(n, w.newestPlanVersion()) })
			}
		})
	}
}

// killAfterAck kills a machine that has just acknowledged a write. Sometimes its disk is
// lost too.
func (w *world) killAfterAck(n *node) {
	n.kill()
	if !w.diskLost && w.rng.Intn(3) == 0 {
		w.diskLost, n.disk = true, nil
		w.result.Faults["wipe"]++
	}
	w.startLater(n)
}

// wipeDisk restarts a control daemon with an empty disk, unless a disk was lost already.
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

// copyFault copies a data folder. The fault is counted when the copy is started.
func (w *world) copyFault(kind string, n *node) {
	w.result.Faults[kind]--
	w.copyFolder(n, kind == "copybeside")
}

// partitionNetwork splits the daemons at random into two sides and cuts the links between
// them, in both directions or in one only.
func (w *world) partitionNetwork(oneWay bool) {
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

// linksOf returns every link of a daemon, in both directions.
func (w *world) linksOf(n *node) (links [][2]string) {
	for _, other := range w.nodes {
		links = append(links, [2]string{n.name, other.name}, [2]string{other.name, n.name})
	}
	return links
}

// replaceControlDaemon removes the first control daemon. An empty one starts at a new
// address.
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
	successor := w.addNode(n.zone, true, len(w.nodes))
	w.schedule(w.exp(time.Second), successor.start)
}

// freeze suspends a machine for up to about six seconds.
func (w *world) freeze(n *node) {
	was := max(n.frozenUntil, w.now)
	n.frozenUntil = max(n.frozenUntil, w.now+50*time.Millisecond+min(w.exp(1500*time.Millisecond), 6*time.Second))
	n.awakeAt = n.frozenUntil
	if w.options.Sabotage == "standstill" { // a clock that stops while the machine is suspended
		n.base -= time.Duration(float64(n.frozenUntil-was) * n.rate)
	}
}

// slowDisk makes a disk slower for a while.
func (w *world) slowDisk(n *node) {
	n.diskDelay, n.slowUntil = w.exp(40*time.Millisecond), w.now+w.exp(3*time.Second)
}

// stallDisk makes a disk take two seconds for each batch, for a while.
func (w *world) stallDisk(n *node) {
	w.slowDisk(n)
	n.diskDelay = 2 * time.Second
}

// sever cuts links, given by the names of both ends. heal receives the function that
// restores them.
func (w *world) sever(links [][2]string, heal func(func())) {
	for _, c := range links {
		w.cutLinks[c] = true
	}
	heal(func() {
		for _, c := range links {
			delete(w.cutLinks, c)
		}
		w.deliverHeldMessages()
	})
}

// corruptRecord restarts a control daemon after deleting or corrupting one record on its
// disk.
func (w *world) corruptRecord(n *node) {
	if w.diskLost { // the fleet tolerates the loss of one disk
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
	n.disk.corrupted = true
	if w.rng.Intn(2) == 0 {
		delete(n.disk.records[p], k)
	} else {
		rec.Value = []byte("[]")
		n.disk.records[p][k] = rec
	}
	w.result.Faults["rotten"]++
	w.startLater(n)
}

// settleTime is how long copies may differ at the end of a run: a write in progress reaches
// one of them first.
const settleTime = 200 * time.Millisecond

// divergentReplicas names the replicas whose copy of a partition differs from the leader's.
func (w *world) divergentReplicas() (list []string) {
	for p := 0; p <= w.options.Partitions; p++ {
		for _, leader := range w.nodes {
			if !leader.up || !leader.controllers[p].IsLeader(leader.local()) {
				continue
			}
			g := leader.partition(p).Replica.Group()
			for _, n := range w.nodes {
				if n.up && g.Has(n.ident) &&
					len(digest.DifferingRanges(leader.partition(p).Digests(), n.partition(p).Digests())) > 0 {
					list = append(list, fmt.Sprintf("%s of partition %d", n.name, p))
				}
			}
		}
	}
	return list
}

// checkCopies checks that every replica's copy equals its leader's at the end. A copy is
// reported only if it differs throughout settleTime.
func (w *world) checkCopies() {
	last := w.divergentReplicas()
	for end := w.now + settleTime; len(last) > 0 && w.now < end && w.runNextEvent(); {
		now := w.divergentReplicas()
		last = slices.DeleteFunc(last, func(x string) bool { return !slices.Contains(now, x) })
	}
	for _, replica := range last {
		message := fmt.Sprintf("is a copy that differs from its leader's, %v after the last fault", w.options.Calm)
		w.recordEvent(Event{Kind: CheckFailed, Node: replica, Tag: message})
	}
	for p := 0; p <= w.options.Partitions; p++ {
		for _, leader := range w.nodes {
			if leader.up && leader.controllers[p].IsLeader(leader.local()) {
				w.result.RepairCount += leader.partition(p).Replica.Repairs
			}
		}
	}
}
