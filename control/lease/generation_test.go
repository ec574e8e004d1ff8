package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/wire/message"
)

// Suspend and Resume must change Generation, since a snapshot read at the root is valid
// only while Generation is unchanged. Without these changes, the leader once continued to
// serve a server list from a snapshot while the list was being written.
func TestSuspendAndResumeChangeGeneration(t *testing.T) {
	n := New(cfg, 0, message.Replica{Ident: "p", Addr: "p"}, 1)
	records := func(key string) message.Record { return message.Record{Key: key} }
	n.BecomeRoot(1, records, func() time.Duration { return time.Hour })
	before := n.Generation()
	if _, ok := n.Get(0, "k"); !ok {
		t.Fatal("the root does not serve the record")
	}
	n.Suspend(0, "k", 7)
	suspended := n.Generation()
	if _, ok := n.Get(0, "k"); ok || suspended == before {
		t.Errorf("after Suspend: served %v, generation %d, before %d", ok, suspended, before)
	}
	n.Resume(0, "k")
	if _, ok := n.Get(0, "k"); !ok || n.Generation() == suspended || n.Generation() == before {
		t.Errorf("after Resume: served %v, generation %d, while suspended %d", ok, n.Generation(), suspended)
	}
	n.ResignRoot()
	if n.Generation() == suspended {
		t.Error("ResignRoot did not change the generation")
	}
}

// randomNode is a node that is driven by a random sequence of steps. The steps include
// messages from a parent "p", whose record versions only increase, and the leader's writes
// while the node is the root.
type randomNode struct {
	*Node
	now       time.Duration
	versions  map[string]uint64 // of the stored records, by key
	suspended map[string]int    // key -> calls of Suspend without a matching Resume
	epoch     message.VolumeEpoch
	sequence  uint64          // of the parent's latest message
	lists     map[uint64]bool // request IDs of unanswered lease lists
}

var randomKeys = []string{"a", "b"}

func newRandomNode() *randomNode {
	r := &randomNode{
		Node:      New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1),
		now:       time.Second,
		versions:  map[string]uint64{"a": 1, "b": 1},
		suspended: map[string]int{},
		epoch:     message.VolumeEpoch{Ident: "p", Epoch: 1},
		lists:     map[uint64]bool{},
	}
	for _, key := range randomKeys {
		r.Pin(r.now, key)
	}
	r.trackLeaseLists(r.SetParent(r.now, message.Replica{Ident: "p", Addr: "p"}))
	return r
}

// trackLeaseLists records the lease lists that a step sends.
func (r *randomNode) trackLeaseLists(out Out) {
	for _, s := range out.Sends {
		if s.Message.Kind == message.KindLeaseList {
			r.lists[s.Message.RequestID] = true
		}
	}
}

// receiveFromParent delivers a message from the parent.
func (r *randomNode) receiveFromParent(m message.Message) {
	r.sequence++
	m.From, m.Addr = "p", "p"
	header := message.GrantHeader{Sequence: r.sequence, ChildEpoch: 1, VolumeEpoch: r.epoch}
	r.trackLeaseLists(r.Step(r.now, m.WithGrantHeader(header)))
}

// readResult is the result of Get for one key.
type readResult struct {
	version uint64
	isValid bool
}

func (r *randomNode) read() (all [2]readResult) {
	for i, key := range randomKeys {
		record, ok := r.Get(r.now, key)
		all[i] = readResult{record.Version.Seq, ok}
	}
	return all
}

// randomSteps returns the possible steps, which are drawn with equal probability.
func (r *randomNode) randomSteps(t *rapid.T, key string) []func() {
	return []func(){
		func() {
			durations := []time.Duration{1, time.Millisecond, 300 * time.Millisecond, time.Second}
			r.now += rapid.SampledFrom(durations).Draw(t, "passes")
			r.trackLeaseLists(r.Tick(r.now))
		},
		func() { r.receiveFromParent(message.ReconnectRequest{}.Message(0)) },
		r.answerLeaseList,
		func() { r.grant(key) },
		func() { r.receiveFromParent(message.Invalidation{Key: key, Number: 3}.Message(0)) },
		r.becomeRoot,
		func() {
			if r.IsRoot() {
				r.suspended[key]++
				r.trackLeaseLists(r.Suspend(r.now, key, 1))
			}
		},
		func() {
			if r.suspended[key] > 0 { // a write completes: only suspended records may change
				r.versions[key]++
				r.suspended[key]--
				r.trackLeaseLists(r.Resume(r.now, key))
			}
		},
		func() {
			if r.IsRoot() {
				r.suspended = map[string]int{}
				r.ResignRoot()
			}
		},
		func() {
			r.epoch.Epoch++
			r.receiveFromParent(message.ReconnectRequest{}.Message(0))
		},
	}
}

// answerLeaseList answers one of the unanswered lease lists without confirming a record.
func (r *randomNode) answerLeaseList() {
	for request := range r.lists {
		delete(r.lists, request)
		r.receiveFromParent(message.Reconciliation{
			ResponseTo: request, VolumeLease: cfg.VolumeLease, ObjectLease: cfg.ObjectLease,
		}.Message(0))
		return
	}
}

// grant delivers a grant of a newer version of a record.
func (r *randomNode) grant(key string) {
	if r.IsRoot() {
		return // at the root, a record changes only while it is suspended
	}
	r.versions[key]++
	record := message.Record{Key: key, Version: message.Version{Term: 1, Seq: r.versions[key]}}
	r.receiveFromParent(message.LeaseGrant{Records: []message.Record{record}, ObjectLease: cfg.ObjectLease}.Message(0))
}

func (r *randomNode) becomeRoot() {
	if r.IsRoot() {
		return
	}
	r.suspended = map[string]int{}
	records := func(key string) message.Record {
		return message.Record{Key: key, Version: message.Version{Seq: r.versions[key]}}
	}
	r.BecomeRoot(2, records, func() time.Duration { return 10 * time.Second })
}

// While Generation is unchanged and ValidUntil has not passed, reads return the same
// results, whatever steps a node goes through.
func TestReadsStayValidWhileGenerationIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomNode()
		generation, until, before := r.Generation(), r.ValidUntil(), r.read()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			steps := r.randomSteps(t, rapid.SampledFrom(randomKeys).Draw(t, "key"))
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			if got := r.read(); r.Generation() == generation && r.now < until && got != before {
				t.Fatalf("read %v, then %v, both at generation %d", before, got, generation)
			}
			generation, until, before = r.Generation(), r.ValidUntil(), r.read()
		}
	})
}
