package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/wire/message"
)

// A snapshot that was read at the root stands only while Generation is the same, so
// suspending a record must change it, and so must resuming it: the leader's own
// reads once went on from a list that was being written.
func TestGenerationChangesWhenARootRecordIsSuspended(t *testing.T) {
	n := New(cfg, 0, message.Replica{Ident: "p", Addr: "p"}, 1)
	records := func(key string) message.Record { return message.Record{Key: key} }
	n.BecomeRoot(1, records, func() time.Duration { return time.Hour })
	before := n.Generation()
	if _, ok := n.Get(0, "k"); !ok {
		t.Fatal("the root doesn't serve it")
	}
	n.Suspend(0, "k", 7)
	suspended := n.Generation()
	if _, ok := n.Get(0, "k"); ok || suspended == before {
		t.Errorf("suspended: served %v, generation %d after %d", ok, suspended, before)
	}
	n.Resume(0, "k")
	if _, ok := n.Get(0, "k"); !ok || n.Generation() == suspended || n.Generation() == before {
		t.Errorf("resumed: served %v, generation %d after %d", ok, n.Generation(), suspended)
	}
	n.ResignRoot()
	if n.Generation() == suspended {
		t.Error("a root that has resigned has the same generation")
	}
}

// randomNode is a node that a random sequence of steps drives: a parent "p" whose
// records only count up, and the leader's writes while the node is the root itself.
type randomNode struct {
	*Node
	now       time.Duration
	versions  map[string]uint64 // of the stored records, by key
	suspended map[string]int    // key -> calls of Suspend without their Resume
	epoch     message.VolumeEpoch
	sequence  uint64          // of the parent's messages
	lists     map[uint64]bool // request IDs of lease lists that are not answered
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
	r.take(r.SetParent(r.now, message.Replica{Ident: "p", Addr: "p"}))
	return r
}

func (r *randomNode) take(out Out) {
	for _, s := range out.Sends {
		if s.Message.Kind == message.KindLeaseList {
			r.lists[s.Message.RequestID] = true
		}
	}
}

// hear brings a message of the parent's.
func (r *randomNode) hear(m message.Message) {
	r.sequence++
	m.From, m.Addr = "p", "p"
	header := message.GrantHeader{Sequence: r.sequence, ChildEpoch: 1, VolumeEpoch: r.epoch}
	r.take(r.Step(r.now, m.WithGrantHeader(header)))
}

// served is what Get says of one key.
type served struct {
	version uint64
	isValid bool
}

func (r *randomNode) read() (all [2]served) {
	for i, key := range randomKeys {
		record, ok := r.Get(r.now, key)
		all[i] = served{record.Version.Seq, ok}
	}
	return all
}

// randomSteps are what may happen to a node; each is drawn as often as the others.
func (r *randomNode) randomSteps(t *rapid.T, key string) []func() {
	return []func(){
		func() {
			passes := []time.Duration{1, time.Millisecond, 300 * time.Millisecond, time.Second}
			r.now += rapid.SampledFrom(passes).Draw(t, "passes")
			r.take(r.Tick(r.now))
		},
		func() { r.hear(message.ReconnectRequest{}.Message(0)) },
		r.answerLeaseList,
		func() { r.grant(key) },
		func() { r.hear(message.Invalidation{Key: key, Number: 3}.Message(0)) },
		r.becomeRoot,
		func() {
			if r.IsRoot() {
				r.suspended[key]++
				r.take(r.Suspend(r.now, key, 1))
			}
		},
		func() {
			if r.suspended[key] > 0 { // a write is complete: what is suspended may change
				r.versions[key]++
				r.suspended[key]--
				r.take(r.Resume(r.now, key))
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
			r.hear(message.ReconnectRequest{}.Message(0))
		},
	}
}

// answerLeaseList confirms nothing of one of the lists that are not answered.
func (r *randomNode) answerLeaseList() {
	for request := range r.lists {
		delete(r.lists, request)
		r.hear(message.Reconciliation{
			ResponseTo: request, VolumeLease: cfg.VolumeLease, ObjectLease: cfg.ObjectLease,
		}.Message(0))
		return
	}
}

// grant brings a later version of a record.
func (r *randomNode) grant(key string) {
	if r.IsRoot() {
		return // there a record changes only while it is suspended
	}
	r.versions[key]++
	record := message.Record{Key: key, Version: message.Version{Term: 1, Seq: r.versions[key]}}
	r.hear(message.LeaseGrant{Records: []message.Record{record}, ObjectLease: cfg.ObjectLease}.Message(0))
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

// As long as Generation is the same and ValidUntil has not passed, what was read stands;
// whatever a node goes through.
func TestReadsStayValidWhileGenerationIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomNode()
		generation, until, before := r.Generation(), r.ValidUntil(), r.read()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			steps := r.randomSteps(t, rapid.SampledFrom(randomKeys).Draw(t, "key"))
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			if got := r.read(); r.Generation() == generation && r.now < until && got != before {
				t.Fatalf("read %v, then %v, generation %d all the while", before, got, generation)
			}
			generation, until, before = r.Generation(), r.ValidUntil(), r.read()
		}
	})
}
