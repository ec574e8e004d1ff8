package quorum

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// walk is a randomized run of a group of three replicas among five or more machines, with
// many simultaneous faults. Messages are lost, delayed, reordered and duplicated. Daemons
// restart with saves in flight, and machines are lost with their disks. The leader replaces
// random replicas as often as it is allowed to.
type walk struct {
	*testing.T
	seed           int64
	rng            *rand.Rand
	now            time.Duration
	replicas       map[string]*Replica
	epochs         map[string]uint64
	disks          map[string]*disk
	inFlight       []delivery
	newMachines    int
	pendingKeys    map[uint64]string // the keys of pending writes, by tag
	lastTag        uint64
	committedKeys  []string
	ledTerms       map[string]uint64        // the last term in which each daemon was seen as leader
	diskFreeAt     map[string]time.Duration // when the last save of each daemon is on disk
	groupChanges   int
	mayLoseMachine bool
}

type disk struct {
	meta    Meta
	records map[string]message.Record
}

type delivery struct {
	arrivesAt time.Duration
	envelope  message.Envelope
	save      *Save
	from      string
	epoch     uint64
}

func (w *walk) apply(id string, o Out) {
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr, m.Message.Epoch, m.Message.Partition = id, id, w.epochs[id], 1
		for range 1 + w.rng.Intn(20)/19 {
			late := time.Duration(w.rng.ExpFloat64() * float64(3*time.Millisecond))
			if w.rng.Intn(30) == 0 {
				late = time.Duration(w.rng.ExpFloat64() * float64(400*time.Millisecond))
			}
			if m.Message.To == id {
				late = 0
			}
			w.inFlight = append(w.inFlight, delivery{arrivesAt: w.now + late, envelope: m})
		}
	}
	for i := range o.Saves { // saves are synced one after the other
		w.diskFreeAt[id] = max(w.diskFreeAt[id], w.now+time.Duration(w.rng.Intn(8))*time.Millisecond)
		saved := delivery{arrivesAt: w.diskFreeAt[id], save: &o.Saves[i], from: id, epoch: w.epochs[id]}
		w.inFlight = append(w.inFlight, saved)
	}
	for _, d := range o.Results {
		if d.Outcome == Committed && d.Tag > 0 {
			w.committedKeys = append(w.committedKeys, w.pendingKeys[d.Tag])
		}
		delete(w.pendingKeys, d.Tag)
	}
}

func (w *walk) deliver() {
	for {
		i := slices.IndexFunc(w.inFlight, func(l delivery) bool { return l.arrivesAt <= w.now })
		if i < 0 {
			return
		}
		l := w.inFlight[i]
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
		if l.save != nil {
			if w.replicas[l.from] != nil && w.epochs[l.from] == l.epoch {
				w.disks[l.from].sync(*l.save)
				w.apply(l.from, w.replicas[l.from].Saved(l.save.Ticket))
			}
			continue
		}
		n := l.envelope.Message
		if s := w.replicas[n.To]; s != nil && (n.To == n.From || w.rng.Intn(60) > 0) {
			w.apply(n.To, s.Step(w.now, n))
		}
	}
}

func (d *disk) sync(s Save) {
	d.meta = s.Meta
	for _, sp := range s.WipeRanges {
		maps.DeleteFunc(d.records, func(k string, _ message.Record) bool { return digest.RangeOf(k) == sp })
	}
	for _, k := range s.Delete {
		delete(d.records, k)
	}
	for _, r := range s.Records {
		d.records[r.Key] = r
	}
}

func (w *walk) start(id string) {
	d := w.disks[id]
	if d == nil {
		d = &disk{records: map[string]message.Record{}}
		w.disks[id] = d
	}
	w.epochs[id] = incarnation.Number(incarnation.Starts(w.epochs[id])+1, uint32(len(id)))
	records := digest.NewRecords()
	for _, r := range d.records {
		records.Put(r)
	}
	w.replicas[id] = New(clusterConfig, InitialState{
		Partition: 1, Self: replicaOf(id), Folder: OpenFolder(w.epochs[id], d.meta),
		Meta: d.meta, Records: records, IsNew: d.meta.Group.Number == 0,
	}, w.now)
}

// startNewMachine starts an empty machine.
func (w *walk) startNewMachine() {
	w.newMachines++
	w.start(fmt.Sprintf("n%d", w.newMachines))
}

// check fails the test if there are two leaders at the same time, or if a new leader lacks a
// record that was committed before its election.
func (w *walk) check() {
	var leaders []string
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		r := w.replicas[id]
		if !r.IsLeader(w.now) {
			continue
		}
		leaders = append(leaders, fmt.Sprintf("%s in term %d", id, r.Term()))
		if w.ledTerms[id] == r.Term() {
			continue
		}
		w.ledTerms[id] = r.Term()
		for _, k := range w.committedKeys {
			if _, ok := r.Records().Get(k); !ok {
				w.Fatalf("seed %d at %v: leader %s of term %d lacks %s, group %+v",
					w.seed, w.now, id, r.Term(), k, r.Group())
			}
		}
	}
	if len(leaders) > 1 {
		w.Fatalf("seed %d at %v: two leaders at once: %v", w.seed, w.now, leaders)
	}
}

// actAsLeader does what a leader's daemon does: it sets the learners, advances a group
// change in progress, starts one at random, and writes.
func (w *walk) actAsLeader(id string, r *Replica) {
	var learners []message.Replica
	for _, other := range slices.Sorted(maps.Keys(w.replicas)) {
		if w.rng.Intn(20) > 0 {
			learners = append(learners, replicaOf(other))
		}
	}
	w.apply(id, r.SetLearners(w.now, learners))
	w.apply(id, r.ContinueChange(w.now, 0))
	if g := r.Group(); w.rng.Intn(8) == 0 && len(learners) > 0 {
		out := g.Replicas[w.rng.Intn(len(g.Replicas))].Ident
		if o, ok := r.ReplaceReplica(w.now, 0, out, learners[w.rng.Intn(len(learners))]); ok {
			w.groupChanges++
			w.apply(id, o)
		}
	}
	if w.rng.Intn(2) == 0 {
		w.lastTag++
		key := fmt.Sprintf("k%d", w.lastTag)
		w.pendingKeys[w.lastTag] = key
		o, _ := r.Write(w.now, w.lastTag, []message.Record{{Key: key}})
		w.apply(id, o)
	}
}

// canLose reports whether the loss of a machine leaves a majority of every group that
// some daemon currently uses.
func (w *walk) canLose(id string) bool {
	for _, r := range w.replicas {
		g := r.Group()
		if g.Number > 0 && !g.HasQuorum(func(x string) bool { return x != id && w.replicas[x] != nil }) {
			return false
		}
	}
	return true
}

func (w *walk) injectFault() {
	ids := slices.Sorted(maps.Keys(w.replicas))
	id := ids[w.rng.Intn(len(ids))]
	switch w.rng.Intn(4) {
	case 0, 1: // a restart that loses the saves in flight
		delete(w.replicas, id)
		w.start(id)
	case 2:
		w.replicas[id].Resign()
	case 3:
		if w.mayLoseMachine && w.canLose(id) && len(ids) > 4 { // the machine is lost permanently
			w.mayLoseMachine = false
			delete(w.replicas, id)
			w.startNewMachine()
		}
	}
}

func newWalk(t *testing.T, seed int64) *walk {
	return &walk{
		T: t, seed: seed, rng: rand.New(rand.NewSource(seed)),
		replicas: map[string]*Replica{}, epochs: map[string]uint64{}, disks: map[string]*disk{},
		pendingKeys: map[uint64]string{}, ledTerms: map[string]uint64{}, diskFreeAt: map[string]time.Duration{},
	}
}

// step ticks all replicas, checks the leaders, and sometimes injects a fault.
func (w *walk) step() {
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		r := w.replicas[id]
		w.apply(id, r.Tick(w.now))
		w.deliver()
		if r.IsLeader(w.now) && r.WritesFrom() <= w.now && w.rng.Intn(10) == 0 {
			w.actAsLeader(id, r)
		}
		w.deliver()
	}
	w.check()
	if w.rng.Intn(300) == 0 {
		w.injectFault()
	}
	if w.rng.Intn(1600) == 0 {
		w.mayLoseMachine = true
	}
}

func TestRandomGroupChanges(t *testing.T) {
	steps, acked := 0, 0
	for seed := int64(1); seed <= int64(numWalks); seed++ {
		w := newWalk(t, seed)
		first := replicasOf("a", "b", "c")
		group := message.Group{Number: 1, Replicas: first}
		for _, s := range first {
			w.disks[s.Ident] = &disk{meta: Meta{Group: group}, records: map[string]message.Record{}}
			w.start(s.Ident)
		}
		w.startNewMachine()
		w.startNewMachine()
		for ; w.now < 25*time.Second; w.now += 5 * time.Millisecond {
			w.step()
		}
		steps, acked = steps+w.groupChanges, acked+len(w.committedKeys)
	}
	t.Logf("%d walks: %d group changes begun, %d writes committed", numWalks, steps, acked)
	if steps < 3*numWalks || acked < 50*numWalks {
		t.Errorf("too few group changes or committed writes")
	}
}

// numWalks is the number of random walks in a test run.
const numWalks = 12
