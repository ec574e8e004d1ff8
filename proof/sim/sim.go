// Package sim runs the real state machines of many daemons over a simulated
// network, disks and clocks, with seeded failures, and records a history for
// the checkers. Same seed, same run.
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
	ledAt        time.Duration
	ownedAt      map[int]time.Duration // when each part was last seen led
	calm         bool
	heldMessages []heldMessage
	acks         []acked

	fakeServers       map[string]*fakeServer
	addrs             []string // of fake servers, in order
	lists             map[string]fleetconfig.List
	callers           int
	evacuatedZone     string // the zone that is evacuated
	ready             []*node
	crowdUntil        time.Duration // until when requests come thick
	firstServiceShare float64
	openRaces         int    // changes of the races that have no clear end yet
	knownVersion      uint64 // the newest version that an operator knows of
	cost              time.Duration
	costs             int
}

// Run makes one run.
//
// Example: r := sim.Run(sim.Default(42)); len(r.Broken) == 0
func Run(o Options) Result {
	w := &world{
		options:  o,
		cfg:      daemon.Default(),
		rng:      rand.New(rand.NewSource(o.Seed)),
		cutLinks: map[[2]string]bool{},
		ownedAt:  map[int]time.Duration{},
		result:   newResult(),
	}
	w.cfg.Partitions, w.cfg.TestSwitches = o.Partitions, true
	if o.Sabotage == "drift" {
		o.Drift, w.options.Drift = 0.5, 0.5
	}
	i := 0
	for c, n := range o.Zones {
		for j := 0; j < n; j++ {
			w.add(fmt.Sprintf("zone-%d", c), j < max(1, o.Disks), i)
			i++
		}
	}
	for _, n := range w.nodes {
		n := n
		w.at(time.Duration(w.rng.Int63n(int64(500*time.Millisecond))), n.start)
	}
	w.scheduleFaults()
	if o.Calls > 0 {
		w.startTraffic()
	}
	if o.Many > 0 {
		w.at(6*time.Second, w.events)
	}
	w.run()
	w.checkAtEnd()
	w.result.Renewal = w.cost / time.Duration(max(1, w.costs))
	w.result.Broken = Check(w.result.History)
	for _, b := range judge.All(w.result.Journal, judge.Default()) {
		w.result.Broken = append(w.result.Broken, b.String())
	}
	return w.result
}

// newResult is a result without any counts.
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

func (w *world) add(zone string, disk bool, i int) *node {
	n := &node{
		world: w, name: fmt.Sprintf("n%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1), zone: zone, hasDisk: disk,
		rate: 1 + (w.rng.Float64()-0.5)*w.options.Drift, base: time.Duration(w.rng.Int63n(int64(time.Hour))),
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) at(d time.Duration, f func()) {
	w.q.Add(w.now+d, f)
}

// maxHistory is the number of events after which a run ends: it goes round in circles.
const maxHistory = 400000

// run lets things happen until the run has its length, or nothing more comes.
func (w *world) run() {
	for w.now < w.options.Length && w.step() {
		if len(w.result.History) > maxHistory {
			return
		}
	}
}

// step lets the next thing happen, if there is any.
func (w *world) step() bool {
	at, do, ok := w.q.Next()
	if ok {
		w.now = at
		do()
	}
	return ok
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) note(e Event) {
	e.At = w.now
	w.result.History = append(w.result.History, e)
}

// jot writes a line of the journal that the judge of real runs reads too.
func (w *world) jot(e history.Event) {
	if e.At == 0 {
		e.At = int64(w.now)
	}
	w.result.Journal = append(w.result.Journal, e)
}

func (w *world) trace(how string, args ...any) {
	if w.options.Trace != nil {
		w.options.Trace(fmt.Sprintf("%v ", w.now) + fmt.Sprintf(how, args...))
	}
}

// leaders notes every daemon that takes itself for a leader at this moment.
func (w *world) leaders() {
	for p := 0; p <= w.options.Partitions; p++ {
		found := false
		for _, n := range w.nodes {
			if n.up && p < len(n.controllers) && n.frozenUntil <= w.now && n.controllers[p].IsLeader(n.local()) {
				w.note(Event{Kind: Owning, Node: n.name, Partition: p})
				found = true
			}
		}
		w.vacancy(p, found)
		if p == 0 {
			if found {
				w.ledAt = w.now
			} else if w.ledAt > 0 {
				w.result.Gap = max(w.result.Gap, w.now-w.ledAt)
			}
		}
	}
}

// checkAtEnd looks whether the fleet, long whole again, serves every record.
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
					what := fmt.Sprintf("serves no partition %d, %v after the last failure "+
						"(lease %d ms, parent %s, live %v, leader %v)",
						p, w.options.Calm, v.LeaseLeft, v.Parent.Addr, n.view.HasSession, n.view.Leaderships[p])
					w.note(Event{Kind: Silent, Node: n.name, Tag: what})
					continue
				}
				w.note(Event{Kind: Served, Node: n.name, Partition: p, Key: fmt.Sprintf("%d/%s", p, key(k)), Tags: tags(r)})
			}
			if s := n.partition(p); s.Replica != nil {
				w.result.Recs = max(w.result.Recs, s.Replica.Records().Size())
			}
		}
	}
}
