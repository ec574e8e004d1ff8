package lease_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

var patchTestConfig = lease.Config{
	VolumeLease: 800 * time.Millisecond, ObjectLease: 48 * time.Second, Drift: 0.02,
	Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond,
	LoadInterval: 4 * time.Second, MaxRenewals: 2000,
}

// parents maps each node below the root to its parent.
var parents = map[string]string{"relay": "root", "leaf-1": "relay", "leaf-2": "relay", "leaf-3": "relay"}

// testTree is a root with a relay and leaves below it. Messages are delivered immediately.
type testTree struct {
	t          *testing.T
	now        time.Duration
	nodes      map[string]*lease.Node
	stored     message.Record // at the root
	lastTag    uint64
	completed  []uint64       // tags of invalidations
	grantBytes map[string]int // node -> bytes of the record grants sent to it
	sentInFull map[string]int // node -> number of records sent to it in full
	corrupt    func(to string, m *message.Message)
}

const planKey = "plan/now"

func replica(name string) message.Replica { return message.Replica{Ident: name, Addr: name} }

// newTestTree returns a tree in which the nodes use the given codecs, if any.
func newTestTree(t *testing.T, codecs map[string]lease.Codec) *testTree {
	t.Helper()
	tree := &testTree{
		t: t, now: time.Second, nodes: map[string]*lease.Node{},
		grantBytes: map[string]int{}, sentInFull: map[string]int{},
	}
	names := []string{"root"}
	for name := range parents {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := lease.New(patchTestConfig, 0, replica(name), 1)
		if codec := codecs[name]; codec != nil {
			n.UseCodec(codec, lease.MinPatchedLength)
		}
		tree.nodes[name] = n
	}
	tree.nodes["root"].BecomeRoot(1, func(key string) message.Record {
		if key == planKey {
			return tree.stored
		}
		return message.Record{Key: key, Deleted: true}
	}, func() time.Duration { return tree.now + time.Hour })
	for _, name := range names {
		if parent := parents[name]; parent != "" {
			tree.deliver(name, tree.nodes[name].Pin(tree.now, planKey))
			tree.deliver(name, tree.nodes[name].SetParent(tree.now, replica(parent)))
		}
	}
	return tree
}

// deliver delivers the messages of a step immediately.
func (tree *testTree) deliver(from string, out lease.Out) {
	tree.completed = append(tree.completed, out.Invalidated...)
	for _, s := range out.Sends {
		m := s.Message
		m.From, m.Addr, m.Epoch = from, from, 1
		to := tree.nodes[m.To]
		if to == nil {
			continue
		}
		if tree.corrupt != nil {
			tree.corrupt(m.To, &m)
		}
		if len(m.Records) > 0 && m.Kind == message.KindGrantLease {
			b, err := m.MarshalMsg(nil)
			if err != nil {
				tree.t.Fatal(err)
			}
			tree.grantBytes[m.To] += len(b)
			for _, r := range m.Records {
				if !r.Patched && !r.Deleted {
					tree.sentInFull[m.To]++
				}
			}
		}
		tree.deliver(m.To, to.Step(tree.now, m))
	}
}

// advance advances the time and ticks all nodes.
func (tree *testTree) advance(d time.Duration) {
	for end := tree.now + d; tree.now < end; tree.now += 10 * time.Millisecond {
		for name, n := range tree.nodes {
			tree.deliver(name, n.Tick(tree.now))
		}
	}
}

// writeRecord changes the record at the root: it is withdrawn everywhere, then served again.
func (tree *testTree) writeRecord(val []byte) {
	tree.t.Helper()
	tree.lastTag++
	root := tree.nodes["root"]
	tree.deliver("root", root.Suspend(tree.now, planKey, tree.lastTag))
	for n := 0; n < 400 && !slices.Contains(tree.completed, tree.lastTag); n++ {
		tree.advance(10 * time.Millisecond)
	}
	if !slices.Contains(tree.completed, tree.lastTag) {
		tree.t.Fatal("the invalidation was not completed")
	}
	tree.stored = message.Record{Key: planKey, Version: message.Version{Term: 1, Seq: tree.lastTag}, Value: val}
	tree.deliver("root", root.Resume(tree.now, planKey))
}

// checkServed checks that all nodes serve the root's version of the record.
func (tree *testTree) checkServed(context string) {
	tree.t.Helper()
	for name, n := range tree.nodes {
		got, ok := n.Get(tree.now, planKey)
		if !ok || got.Version != tree.stored.Version ||
			!bytes.Equal(planJSON(tree.t, got.Value), planJSON(tree.t, tree.stored.Value)) {
			tree.t.Errorf("%s: %s serves version %v, ok %v; the root has %v",
				context, name, got.Version, ok, tree.stored.Version)
		}
	}
}

// planJSON returns the JSON encoding of a plan, regardless of the form of its record.
func planJSON(t *testing.T, val []byte) []byte {
	t.Helper()
	p, err := fleetconfig.ReadPlan(message.Record{Key: planKey, Value: val})
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// encodedPlan returns a plan with count routes, one of which has been changed n times.
func encodedPlan(t *testing.T, count, n int) []byte {
	t.Helper()
	p := fleetconfig.Plan{
		ID: fmt.Sprintf("%032x", n*7919), Version: uint64(n),
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
	for i := range count {
		giveUp := 3000
		if i == count/2 {
			giveUp += n
		}
		raw := fmt.Sprintf(`{"name":"r-%07x","host":"host%05x.example","prefix":"/%06x/","kind":"streaming",`+
			`"give_up":%d,"aim":400,"urgency":0,"service":"m","tries":2}`, i*7919, i*104729, i*31, giveUp)
		p.Routes = append(p.Routes, fleetconfig.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("host%05x.example", i*104729),
			Prefix: fmt.Sprintf("/%06x/", i*31),
			Kind:   fleetconfig.Safe, GiveUpMillis: giveUp,
			Services: []fleetconfig.Share{{Service: "m", Weight: 1}}, Raw: json.RawMessage(raw),
		})
	}
	b, err := fleetconfig.EncodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// countingCodec counts the patches that it computes.
type countingCodec struct {
	fleetconfig.Codec
	made *int
}

// Patch counts the call.
func (c countingCodec) Patch(from, to []byte) []byte {
	*c.made++
	return c.Codec.Patch(from, to)
}

// onAllNodes maps all nodes to the same codec.
func onAllNodes(codec lease.Codec) map[string]lease.Codec {
	codecs := map[string]lease.Codec{"root": codec}
	for name := range parents {
		codecs[name] = codec
	}
	return codecs
}

// Guards against the patch of a large change being computed anew for each child because it isn't shorter than the value.
// With 60 children the leader and the relays of a large fleet handled nothing else for a second and lost their leases.
func TestUnpatchableChangeIsComputedOncePerParent(t *testing.T) {
	const parentCount = 2 // the root and the relay
	made := 0
	tree := newTestTree(t, onAllNodes(countingCodec{made: &made}))
	tree.writeRecord(encodedPlan(t, 100, 0))
	tree.advance(time.Second)
	made = 0
	tree.writeRecord(encodedPlan(t, 1000, 1))
	tree.advance(time.Second)
	tree.checkServed("large change")
	if made == 0 || made > parentCount {
		t.Errorf("%d patches computed, want 1 to %d", made, parentCount)
	}
	made = 0
	tree.writeRecord(encodedPlan(t, 1000, 2))
	tree.advance(time.Second)
	tree.checkServed("small change after it")
	if made != 1 {
		t.Errorf("%d patches computed for a small change after it, want 1", made)
	}
}

// A change costs each node at most three times the size of the change plus 200 bytes,
// whether the plan has 84 or 1,500 routes. Its patch is computed only once, at the root.
func TestChangeIsSentAsPatch(t *testing.T) {
	for _, count := range []int{84, 1500} {
		made := 0
		tree := newTestTree(t, onAllNodes(countingCodec{made: &made}))
		tree.writeRecord(encodedPlan(t, count, 0))
		tree.advance(time.Second)
		tree.checkServed("first version")
		firstBytes := tree.grantBytes["leaf-1"]
		const change = 170 // bytes of the changed item, as sent by the operator
		for n := 1; n <= 5; n++ {
			before := made
			clear(tree.grantBytes)
			clear(tree.sentInFull)
			tree.writeRecord(encodedPlan(t, count, n))
			tree.advance(500 * time.Millisecond)
			tree.checkServed(fmt.Sprintf("change %d", n))
			if made-before != 1 {
				t.Errorf("%d routes: %d patches were computed for one change", count, made-before)
			}
			for _, name := range []string{"relay", "leaf-1", "leaf-2", "leaf-3"} {
				if tree.grantBytes[name] > 3*change+200 || tree.sentInFull[name] > 0 {
					t.Errorf("%d routes, change %d: %s was sent %d bytes and %d records in full",
						count, n, name, tree.grantBytes[name], tree.sentInFull[name])
				}
			}
		}
		t.Logf("%d routes: %d bytes to a node for the first version, %d for a change",
			count, firstBytes, tree.grantBytes["leaf-1"])
	}
}

// A node that missed some changes receives their patches together. A node that missed more
// changes than the parent keeps patches for receives the record in full.
func TestReturningNodeGetsMissedPatches(t *testing.T) {
	for _, c := range []struct{ missed, wantFull int }{{1, 0}, {20, 0}, {40, 1}} {
		tree := newTestTree(t, onAllNodes(fleetconfig.Codec{}))
		tree.writeRecord(encodedPlan(t, 300, 0))
		tree.advance(time.Second)
		away := tree.nodes["leaf-1"]
		delete(tree.nodes, "leaf-1")
		tree.advance(2 * patchTestConfig.VolumeLease)
		for n := 1; n <= c.missed; n++ {
			tree.writeRecord(encodedPlan(t, 300, n))
			tree.advance(20 * time.Millisecond)
		}
		clear(tree.sentInFull)
		tree.nodes["leaf-1"] = away
		tree.advance(2 * time.Second)
		tree.checkServed(fmt.Sprintf("%d changes missed", c.missed))
		if tree.sentInFull["leaf-1"] != c.wantFull {
			t.Errorf("%d changes missed: %d records sent in full", c.missed, tree.sentInFull["leaf-1"])
		}
	}
}

// A node that receives a corrupt patch requests the full record, and never serves the result
// of the corrupt patch.
func TestCorruptPatchIsNotServed(t *testing.T) {
	tree := newTestTree(t, onAllNodes(fleetconfig.Codec{}))
	tree.writeRecord(encodedPlan(t, 300, 0))
	tree.advance(time.Second)
	for n, corrupt := range []func(p *message.Patch){
		func(p *message.Patch) { p.Delta = p.Delta[:len(p.Delta)/2] },
		func(p *message.Patch) { p.Delta[len(p.Delta)-1] ^= 1 },
		func(p *message.Patch) { p.From.Seq += 7 },
		func(p *message.Patch) { p.To.Seq += 7 },
	} {
		corrupted := 0
		tree.corrupt = func(to string, m *message.Message) {
			for i := range m.Records {
				if to == "leaf-1" && len(m.Records[i].Patches) > 0 && corrupted == 0 {
					corrupted++
					m.Records = slices.Clone(m.Records)
					patches := slices.Clone(m.Records[i].Patches)
					patches[0].Delta = bytes.Clone(patches[0].Delta)
					corrupt(&patches[0])
					m.Records[i].Patches = patches
				}
			}
		}
		clear(tree.sentInFull)
		tree.writeRecord(encodedPlan(t, 300, n+1))
		tree.advance(2 * time.Second)
		if tree.checkServed(fmt.Sprintf("corruption %d", n)); corrupted != 1 {
			t.Errorf("corruption %d: no patch was corrupted", n)
		}
		tree.corrupt = nil
	}
}

// Nodes of a build without patches send and receive records in full.
func TestBuildWithoutPatchesGetsFullRecords(t *testing.T) {
	for _, old := range []string{"root", "relay", "leaf-1"} {
		codecs := onAllNodes(fleetconfig.Codec{})
		delete(codecs, old)
		tree := newTestTree(t, codecs)
		for n := range 4 {
			tree.writeRecord(encodedPlan(t, 300, n))
			tree.advance(time.Second)
			tree.checkServed(old + " has an older build")
		}
	}
}

// A record that is requested again before its lease expires is not resent if it has not
// changed.
func TestRenewedRecordIsNotResent(t *testing.T) {
	tree := newTestTree(t, onAllNodes(fleetconfig.Codec{}))
	tree.writeRecord(encodedPlan(t, 300, 0))
	tree.advance(time.Second)
	clear(tree.grantBytes)
	tree.advance(patchTestConfig.ObjectLease)
	tree.checkServed("one object lease later")
	for name, n := range tree.grantBytes {
		if n > 600 {
			t.Errorf("%s was sent %d bytes of records within one object lease", name, n)
		}
	}
}

// failingCodec is a codec that cannot apply patches.
type failingCodec struct{ fleetconfig.Codec }

// Apply always fails.
func (failingCodec) Apply(_, _ []byte) ([]byte, error) { return nil, errors.New("can't") }

// A node that cannot apply patches still serves each version: it receives the record in
// full each time.
func TestNodeThatCannotApplyPatchesGetsFullRecords(t *testing.T) {
	codecs := onAllNodes(fleetconfig.Codec{})
	codecs["leaf-2"], codecs["relay"] = failingCodec{}, failingCodec{}
	tree := newTestTree(t, codecs)
	for n := range 5 {
		tree.writeRecord(encodedPlan(t, 300, n))
		tree.advance(time.Second)
		tree.checkServed("failing codec")
	}
}
