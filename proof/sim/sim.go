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
	o       Options
	cfg     daemon.Config
	rng     *rand.Rand
	now     time.Duration
	q       eventqueue.Queue
	nodes   []*node
	cut     map[[2]string]bool
	res     Result
	tags    uint64
	ids     int
	lost    bool
	ledAt   time.Duration
	ownedAt map[int]time.Duration // when each part was last seen led
	calm    bool
	held    []heldUp
	acks    []acked

	fakeServers map[string]*fakeServer
	addrs       []string // of fake servers, in order
	lists       map[string]fleetconfig.List
	callers     int
	out         string // the zone that is evacuated
	ready       []*node
	crowd       time.Duration // until when requests come thick
	mix         float64
	open        int    // changes of the races that have no clear end yet
	known       uint64 // the newest version that an operator knows of
	cost        time.Duration
	costs       int
}

// Run makes one run.
//
// Example: r := sim.Run(sim.Default(42)); len(r.Broken) == 0
func Run(o Options) Result {
	w := &world{o: o, cfg: daemon.Default(), rng: rand.New(rand.NewSource(o.Seed)), cut: map[[2]string]bool{}, ownedAt: map[int]time.Duration{}}
	w.cfg.Partitions, w.cfg.TestSwitches = o.Partitions, true
	w.res.Served, w.res.Sent, w.res.Steers, w.res.Faults, w.res.Results, w.res.Refusals, w.res.Plans = map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	if o.Sabotage == "drift" {
		o.Drift, w.o.Drift = 0.5, 0.5
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
	w.plan()
	if o.Calls > 0 {
		w.traffic()
	}
	if o.Many > 0 {
		w.at(6*time.Second, w.events)
	}
	w.run()
	w.last()
	w.res.Renewal = w.cost / time.Duration(max(1, w.costs))
	w.res.Broken = Check(w.res.History)
	for _, b := range judge.All(w.res.Journal, judge.Default()) {
		w.res.Broken = append(w.res.Broken, b.String())
	}
	return w.res
}

func (w *world) add(zone string, disk bool, i int) *node {
	n := &node{
		w: w, name: fmt.Sprintf("n%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1), zone: zone, hasDisk: disk,
		rate: 1 + (w.rng.Float64()-0.5)*w.o.Drift, base: time.Duration(w.rng.Int63n(int64(time.Hour))),
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
	for w.now < w.o.Length && w.step() {
		if len(w.res.History) > maxHistory {
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
	w.res.History = append(w.res.History, e)
}

// jot writes a line of the journal that the judge of real runs reads too.
func (w *world) jot(e history.Event) {
	if e.At == 0 {
		e.At = int64(w.now)
	}
	w.res.Journal = append(w.res.Journal, e)
}

func (w *world) trace(how string, args ...any) {
	if w.o.Trace != nil {
		w.o.Trace(fmt.Sprintf("%v ", w.now) + fmt.Sprintf(how, args...))
	}
}

// leaders notes every daemon that takes itself for a leader at this moment.
func (w *world) leaders() {
	for p := 0; p <= w.o.Partitions; p++ {
		found := false
		for _, n := range w.nodes {
			if n.up && p < len(n.parts) && n.frozen <= w.now && n.parts[p].IsLeader(n.local()) {
				w.note(Event{Kind: Owning, Node: n.name, Partition: p})
				found = true
			}
		}
		w.vacancy(p, found)
		if p == 0 {
			if found {
				w.ledAt = w.now
			} else if w.ledAt > 0 {
				w.res.Gap = max(w.res.Gap, w.now-w.ledAt)
			}
		}
	}
}

// last looks whether the fleet, long whole again, serves every record.
func (w *world) last() {
	w.copies()
	for _, n := range w.nodes {
		if n.gone {
			continue
		}
		for p := range n.parts {
			for k := 0; k < w.o.Keys; k++ {
				r, ok := n.sec(p).Node.Get(n.local(), key(k))
				if !ok {
					v := n.sec(p).Node.View(n.local())
					w.note(Event{Kind: Silent, Node: n.name, Tag: fmt.Sprintf("serves no partition %d, %v after the last failure (lease %d ms, parent %s, live %v, leader %v)", p, w.o.Calm, v.LeaseLeft, v.Parent.Addr, n.view.HasSession, n.view.Leaderships[p])})
					continue
				}
				w.note(Event{Kind: Served, Node: n.name, Partition: p, Key: fmt.Sprintf("%d/%s", p, key(k)), Tags: tags(r)})
			}
			if s := n.sec(p); s.Replica != nil {
				w.res.Recs = max(w.res.Recs, s.Replica.Records().Size())
			}
		}
	}
}
