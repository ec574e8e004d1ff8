// Package sim runs the production state machines of many daemons on a simulated
// network, with simulated disks and clocks and injected faults, and records a history
// for the checkers. Runs are deterministic: the same seed gives the same run.
package sim

import (
	"fmt"
	"math/rand"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/eventqueue"
	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
)

// world is the state of one simulation run.
type world struct {
	options      Options
	cfg          daemon.Config
	rng          *rand.Rand
	now          time.Duration
	q            eventqueue.Queue
	nodes        []*node
	cutLinks     map[[2]string]bool
	result       Result
	tags         uint64
	ids          int
	diskLost     bool
	configLedAt  time.Duration
	lastLedAt    map[int]time.Duration // when each partition last had a leader
	faultsEnded  bool
	heldMessages []heldMessage
	ackedWrites  []ackedWrite

	fakeServers       map[string]*fakeServer
	addrs             []string // of the fake servers, in order of creation
	lists             map[string]fleetconfig.List
	callers           int
	evacuatedZone     string // empty if no zone is evacuated
	ready             []*node
	crowdUntil        time.Duration // the request rate is raised until then
	firstServiceShare float64
	openRaces         int           // racing changes whose outcome isn't known yet
	knownVersion      uint64        // the newest plan version that an operator knows of
	renewalTime       time.Duration // total of the sampled lease renewals
	renewals          int           // number of them
}

// Run simulates one run and checks its history.
//
// Example: r := sim.Run(sim.Default(42)); len(r.Broken) == 0
func Run(o Options) Result {
	w := &world{
		options:   o,
		cfg:       daemon.Default(),
		rng:       rand.New(rand.NewSource(o.Seed)),
		cutLinks:  map[[2]string]bool{},
		lastLedAt: map[int]time.Duration{},
		result:    newResult(),
	}
	w.cfg.Partitions, w.cfg.TestSwitches = o.Partitions, true
	if o.Sabotage == "drift" {
		o.Drift, w.options.Drift = 0.5, 0.5
	}
	i := 0
	for c, n := range o.Zones {
		for j := 0; j < n; j++ {
			w.addNode(fmt.Sprintf("zone-%d", c), j < max(1, o.Disks), i)
			i++
		}
	}
	for _, n := range w.nodes {
		n := n
		w.schedule(time.Duration(w.rng.Int63n(int64(500*time.Millisecond))), n.start)
	}
	w.scheduleFaults()
	w.scheduleFormingFaults()
	if o.RequestInterval > 0 {
		w.startTraffic()
	}
	if o.MinChanges > 0 {
		w.schedule(6*time.Second, w.startMachineEvents)
	}
	w.runEvents()
	w.checkAtEnd()
	w.result.Renewal = w.renewalTime / time.Duration(max(1, w.renewals))
	w.result.Broken = Check(w.result.History)
	for _, b := range judge.All(w.result.Journal, judge.Default()) {
		w.result.Broken = append(w.result.Broken, b.String())
	}
	return w.result
}

// newResult returns a result with all counts at zero.
func newResult() Result {
	return Result{
		Faults:   map[string]int{},
		Served:   map[string]int{},
		Sent:     map[string]int{},
		Steers:   map[string]int{},
		Results:  map[string]int{},
		Refusals: map[string]int{},
		Plans:    map[string]int{},
	}
}

func (w *world) addNode(zone string, disk bool, i int) *node {
	n := &node{
		world: w, name: fmt.Sprintf("n%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1), zone: zone, hasDisk: disk,
		rate: 1 + (w.rng.Float64()-0.5)*w.options.Drift, base: time.Duration(w.rng.Int63n(int64(time.Hour))),
	}
	w.nodes = append(w.nodes, n)
	return n
}

// schedule runs f after d.
func (w *world) schedule(d time.Duration, f func()) {
	w.q.Add(w.now+d, f)
}

// maxHistory is the number of events after which a run is stopped, as it is caught in a loop.
const maxHistory = 400000

// runEvents runs events until the run has its length or no event is pending.
func (w *world) runEvents() {
	for w.now < w.options.Length && w.runNextEvent() {
		if len(w.result.History) > maxHistory {
			return
		}
	}
}

// runNextEvent runs the next event. It reports false if none is pending.
func (w *world) runNextEvent() bool {
	at, do, ok := w.q.Next()
	if ok {
		w.now = at
		do()
	}
	return ok
}

// exp draws an exponentially distributed duration.
func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// recordEvent appends an event to the history.
func (w *world) recordEvent(e Event) {
	e.At = w.now
	w.result.History = append(w.result.History, e)
}

// writeJournal appends an event to the journal. Its format is that of real runs, so that
// proof/judge checks both.
func (w *world) writeJournal(e history.Event) {
	if e.At == 0 {
		e.At = int64(w.now)
	}
	w.result.Journal = append(w.result.Journal, e)
}

func (w *world) trace(format string, args ...any) {
	if w.options.Trace != nil {
		w.options.Trace(fmt.Sprintf("%v ", w.now) + fmt.Sprintf(format, args...))
	}
}

// recordLeaders records every daemon that considers itself a leader at this moment.
func (w *world) recordLeaders() {
	for p := 0; p <= w.options.Partitions; p++ {
		found := false
		for _, n := range w.nodes {
			if n.up && p < len(n.controllers) && n.frozenUntil <= w.now && n.controllers[p].IsLeader(n.local()) {
				w.recordEvent(Event{Kind: LeaderObserved, Node: n.name, Partition: p})
				found = true
			}
		}
		w.checkVacancy(p, found)
		if p == 0 {
			if found {
				w.configLedAt = w.now
			} else if w.configLedAt > 0 {
				w.result.Gap = max(w.result.Gap, w.now-w.configLedAt)
			}
		}
	}
}

// checkAtEnd checks that the fleet, long after the last fault, serves every record.
func (w *world) checkAtEnd() {
	w.checkCopies()
	for _, n := range w.nodes {
		if n.removed {
			continue
		}
		for p := range n.controllers {
			for k := 0; k < w.options.Keys; k++ {
				r, ok := n.partition(p).Node.Get(n.local(), key(k))
				if !ok {
					v := n.partition(p).Node.View(n.local())
					message := fmt.Sprintf("doesn't serve partition %d, %v after the last fault "+
						"(lease %d ms, parent %s, live %v, leader %v)",
						p, w.options.Calm, v.LeaseLeft, v.Parent.Addr, n.view.HasSession, n.view.Leaderships[p])
					w.recordEvent(Event{Kind: CheckFailed, Node: n.name, Tag: message})
					continue
				}
				w.recordEvent(Event{
					Kind: RecordServed, Node: n.name, Partition: p, Key: fmt.Sprintf("%d/%s", p, key(k)), Tags: tags(r),
				})
			}
			if s := n.partition(p); s.Replica != nil {
				w.result.RecordCount = max(w.result.RecordCount, s.Replica.Records().Size())
			}
		}
	}
}
