package lease_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/messages.golden anew instead of comparing with it")

// goldenBounds are the leases' bounds of the recorded scenes.
var goldenBounds = lease.Config{
	VolumeLease: 800 * time.Millisecond, ObjectLease: 3 * time.Second, Drift: 0.02,
	Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond,
}

// prefixCodec patches a value by what follows a common prefix; the first four bytes
// of a patch are the checksum of the value that it applies to. Values below the root
// begin with '#'.
type prefixCodec struct{}

// Patch gives none where less than the half is in common.
func (prefixCodec) Patch(from, to []byte) []byte {
	from, to = bytes.TrimPrefix(from, []byte("#")), bytes.TrimPrefix(to, []byte("#"))
	n := 0
	for n < len(from) && n < len(to) && from[n] == to[n] {
		n++
	}
	if n < len(to)/2 {
		return nil
	}
	return append([]byte(fmt.Sprintf("%08x%04d", crc32.ChecksumIEEE(from), n)), to[n:]...)
}

// Apply fails where the checksum differs.
func (prefixCodec) Apply(from, patch []byte) ([]byte, error) {
	from = bytes.TrimPrefix(from, []byte("#"))
	var sum uint32
	var n int
	if len(patch) < 12 {
		return nil, errors.New("too short")
	}
	if _, err := fmt.Sscanf(string(patch[:12]), "%08x%04d", &sum, &n); err != nil || sum != crc32.ChecksumIEEE(from) {
		return nil, fmt.Errorf("another base: %w", err)
	}
	return slices.Concat([]byte("#"), from[:n], patch[12:]), nil
}

// Whole marks the value.
func (prefixCodec) Whole(kept []byte) []byte {
	return slices.Concat([]byte("#"), bytes.TrimPrefix(kept, []byte("#")))
}

// recordedFrame is a message on its way.
type recordedFrame struct {
	at       time.Duration
	from, to string
	bytes    []byte
}

// recorder runs nodes, carries their messages as bytes, and writes down what they ask for.
type recorder struct {
	t        *testing.T
	cfg      lease.Config
	now      time.Duration
	nodes    map[string]*lease.Node
	epochs   map[string]uint64
	records  map[string]message.Record // the root's
	rootEnds time.Duration             // of the leader lease
	frames   []recordedFrame
	delay    func(from, to string) time.Duration
	lost     func(from, to string, m *message.Message) bool
	complete []uint64 // tags of invalidations
	log      *strings.Builder
}

func newRecorder(t *testing.T, cfg lease.Config, log *strings.Builder) *recorder {
	r := &recorder{t: t, cfg: cfg, now: time.Second, log: log}
	r.nodes, r.epochs, r.records = map[string]*lease.Node{}, map[string]uint64{}, map[string]message.Record{}
	r.delay = func(string, string) time.Duration { return 2 * time.Millisecond }
	r.lost = func(string, string, *message.Message) bool { return false }
	return r
}

func (r *recorder) scene(name string) { fmt.Fprintf(r.log, "\n== %s\n", name) }

// start makes a node anew, with a later epoch.
func (r *recorder) start(name string, pins ...string) *lease.Node {
	r.epochs[name]++
	n := lease.New(r.cfg, 3, goldenReplica(name), r.epochs[name])
	n.UseCodec(prefixCodec{}, 40)
	r.nodes[name] = n
	for _, key := range pins {
		r.take(name, n.Pin(r.now, key))
	}
	return n
}

func goldenReplica(name string) message.Replica {
	return message.Replica{Ident: name, Addr: name + ":7"}
}

// lead makes a node the root.
func (r *recorder) lead(name string, term uint64) {
	r.rootEnds = r.now + 2*r.cfg.VolumeLease
	r.nodes[name].BecomeRoot(term, func(key string) message.Record {
		if rec, ok := r.records[key]; ok {
			return rec
		}
		return message.Record{Key: key, Deleted: true}
	}, func() time.Duration { return r.rootEnds })
}

func (r *recorder) adopt(name, parent string) {
	r.take(name, r.nodes[name].SetParent(r.now, goldenReplica(parent)))
}

// take writes down what a step asks for and sends it.
func (r *recorder) take(from string, o lease.Out) {
	for _, s := range o.Sends {
		m := s.Message
		m.From, m.Addr, m.Epoch = from, goldenReplica(from).Addr, r.epochs[from]
		b, err := m.MarshalMsg(nil)
		if err != nil {
			r.t.Fatal(err)
		}
		var text bytes.Buffer
		if _, err := msgp.UnmarshalAsJSON(&text, b); err != nil {
			r.t.Fatal(err)
		}
		fmt.Fprintf(r.log, "%v %s>%s %v %s %08x\n",
			r.now, from, s.Addr, s.ExactAddr, text.String(), crc32.ChecksumIEEE(b))
		to := strings.TrimSuffix(s.Addr, ":7")
		if r.lost(from, to, &m) {
			continue
		}
		if b, err = m.MarshalMsg(nil); err != nil {
			r.t.Fatal(err)
		}
		r.frames = append(r.frames, recordedFrame{r.now + r.delay(from, to), from, to, b})
	}
	if len(o.Readable)+len(o.Withdrawn)+len(o.Invalidated) > 0 || o.Orphaned || o.Redirect.Ident != "" {
		fmt.Fprintf(r.log, "%v %s: readable %q, withdrawn %q, invalidated %v, orphaned %v, redirected to %q %q\n",
			r.now, from, o.Readable, o.Withdrawn, o.Invalidated, o.Orphaned, o.Redirect.Ident, o.Redirect.Addr)
	}
	r.complete = append(r.complete, o.Invalidated...)
}

// deliver brings what has arrived, in the order of sending.
func (r *recorder) deliver() {
	for {
		i := slices.IndexFunc(r.frames, func(f recordedFrame) bool { return f.at <= r.now })
		if i < 0 {
			return
		}
		f := r.frames[i]
		r.frames = slices.Delete(r.frames, i, i+1)
		var m message.Message
		if _, err := m.UnmarshalMsg(f.bytes); err != nil {
			r.t.Fatal(err)
		}
		if n := r.nodes[f.to]; n != nil {
			r.take(f.to, n.Step(r.now, m))
		}
	}
}

// pass lets time pass, in steps of a millisecond; nodes tick every 20.
func (r *recorder) pass(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += time.Millisecond {
		r.deliver()
		if r.now%(20*time.Millisecond) != 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
			if r.nodes[name].IsRoot() {
				r.rootEnds = max(r.rootEnds, r.now+2*r.cfg.VolumeLease)
			}
			r.take(name, r.nodes[name].Tick(r.now))
		}
	}
}

// write changes a record at the root: all of it, or as much as is complete in a time.
func (r *recorder) write(root, key, value string, tag uint64, most time.Duration) {
	r.take(root, r.nodes[root].Suspend(r.now, key, tag))
	for end := r.now + most; r.now < end && !slices.Contains(r.complete, tag); {
		r.pass(time.Millisecond)
	}
	r.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: tag}, Value: []byte(value)}
	r.take(root, r.nodes[root].Resume(r.now, key))
}

// show writes down what the nodes would answer.
func (r *recorder) show(keys ...string) {
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		view, err := json.Marshal(n.View(r.now))
		if err != nil {
			r.t.Fatal(err)
		}
		lapsed, lasts := n.Lapsed(r.now)
		fmt.Fprintf(r.log, "%v %s: %s parent %q cost %v till %v until %v lapsed %v %v changes %d whole %d\n",
			r.now, name, view, n.Parent().Ident, n.RenewCost(), n.VolumeExpiry()-r.now, n.ValidUntil()-r.now,
			lapsed, lasts, n.SentAsPatches(), n.SentInFull())
		for _, key := range keys {
			rec, ok := n.Get(r.now, key)
			last, at, lasts := n.LastKnown(r.now, key)
			fmt.Fprintf(r.log, "  %s: %v %v %v %.20q, last %v %v %v\n",
				key, ok, rec.Version, rec.Deleted, rec.Value, lasts, last.Version, at)
		}
	}
}

// zoneOfTwo is a root, a relay and two children below it.
func zoneOfTwo(t *testing.T, cfg lease.Config, log *strings.Builder) *recorder {
	r := newRecorder(t, cfg, log)
	r.records["k"] = message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: longValue(0)}
	r.start("root")
	r.start("relay", "k")
	r.start("a", "k", "absent")
	r.start("b", "k")
	r.lead("root", 1)
	r.adopt("a", "relay")
	r.adopt("b", "relay")
	r.adopt("relay", "root")
	return r
}

func longValue(n int) []byte { return []byte(fmt.Sprintf("%s%d", strings.Repeat("value ", 10), n)) }

// recordScenes runs the scenes whose messages are written down one by one.
func recordScenes(t *testing.T, log *strings.Builder) {
	r := zoneOfTwo(t, goldenBounds, log)
	r.scene("two children and a relay connect")
	r.pass(500 * time.Millisecond)
	r.show("k", "absent")

	r.scene("a record changes, and goes down as a patch")
	r.write("root", "k", string(longValue(1)), 2, time.Second)
	r.pass(40 * time.Millisecond)
	r.show("k")

	r.scene("a patch is spoilt on its way")
	r.lost = func(_, to string, m *message.Message) bool {
		if to == "a" && len(m.Records) > 0 && len(m.Records[0].Patches) > 0 {
			m.Records = slices.Clone(m.Records)
			m.Records[0].Patches = slices.Clone(m.Records[0].Patches)
			m.Records[0].Patches[0].Delta = []byte("spoilt, and of another base")
		}
		return false
	}
	r.write("root", "k", string(longValue(2)), 3, time.Second)
	r.pass(100 * time.Millisecond)
	r.show("k")

	r.scene("a child is silent, until its lease lapses")
	r.lost = func(from, to string, _ *message.Message) bool { return from == "b" || to == "b" }
	r.write("root", "k", string(longValue(3)), 4, 3*time.Second)
	r.pass(100 * time.Millisecond)
	r.show("k")
	r.lost = func(string, string, *message.Message) bool { return false }
	r.pass(600 * time.Millisecond)
	r.show("k")

	recordFailures(r)
	recordOddMessages(t, log)
	recordRedirects(t, log)
}

// recordFailures goes on with a tree whose root is silent, whose relay starts anew, and
// whose leader changes.
func recordFailures(r *recorder) {
	r.scene("the root is silent, leases lapse")
	r.lost = func(from, _ string, _ *message.Message) bool { return from == "root" }
	r.pass(2500 * time.Millisecond)
	r.show("k", "absent")
	r.lost = func(string, string, *message.Message) bool { return false }
	r.pass(600 * time.Millisecond)
	r.show("k", "absent")

	r.scene("the relay starts anew")
	r.start("relay", "k")
	r.adopt("relay", "root")
	r.pass(700 * time.Millisecond)
	r.show("k")

	r.scene("another leader")
	r.take("root", r.nodes["root"].Suspend(r.now, "absent", 9))
	r.nodes["root"].ResignRoot()
	r.pass(60 * time.Millisecond)
	r.show("k")
	r.lead("relay", 2)
	r.adopt("root", "relay")
	r.pass(400 * time.Millisecond)
	r.show("k", "absent")
}

// recordOddMessages gives a relay with a child what comes late, twice or from others.
func recordOddMessages(t *testing.T, log *strings.Builder) {
	r := zoneOfTwo(t, goldenBounds, log)
	r.pass(500 * time.Millisecond)
	r.scene("messages that are late, repeated or from others")
	relay := r.nodes["relay"]
	for i, m := range oddMessages(r.nodes["root"].VolumeEpoch(), relay.VolumeEpoch()) {
		m.Partition, m.Addr = 3, m.From+":7"
		fmt.Fprintf(r.log, "message %d, %v\n", i, m.Kind)
		r.take("relay", relay.Step(r.now, m))
		r.now++
	}
	r.show("k")
	r.now -= r.now % time.Millisecond
	r.pass(200 * time.Millisecond)
	r.take("a", r.nodes["a"].SetParent(r.now, message.Replica{}))
	r.pass(1200 * time.Millisecond)
	r.show("k", "absent")
}

// oddMessages are for a relay: root and mine are the volume epochs of its parent and
// its own. They are flat frames: other builds may send any of them.
func oddMessages(root, mine message.VolumeEpoch) []message.Message {
	older, stranger := root, message.VolumeEpoch{Ident: "x", Epoch: 1}
	older.Term--
	ver := message.Version{Term: 1, Seq: 1}
	long := []message.Record{{Key: "k", Version: ver}}
	listed := []message.Record{{Key: "k", Version: ver}, {Key: "absent", Deleted: true}, {Key: "q"}}
	return []message.Message{
		{
			Kind: message.KindGrantLease, From: "root",
			VolumeEpoch: root, RequestID: 1, Term: 1, ResponseTo: 1, Length: 9e9, Records: long, ObjectLease: 9e9,
		},
		{
			Kind: message.KindGrantLease, From: "root",
			VolumeEpoch: older, RequestID: 900, Term: 1, ResponseTo: 1, Length: 9e9, Records: long, ObjectLease: 9e9,
		},
		{Kind: message.KindGrantLease, From: "root", VolumeEpoch: root, RequestID: 901, Term: 7, Length: 9e9},
		{Kind: message.KindGrantLease, From: "x", VolumeEpoch: stranger, RequestID: 901, Term: 1, Length: 9e9},
		{Kind: message.KindGrantLease, From: "root", VolumeEpoch: stranger, RequestID: 901, Term: 1, Length: 9e9},
		{
			Kind: message.KindGrantLease, From: "root",
			VolumeEpoch: root, RequestID: 901, Term: 1, ResponseTo: 800, Length: 9e9, Records: long, ObjectLease: 9e9,
		},
		{
			Kind: message.KindReconciled, From: "root",
			VolumeEpoch: root, RequestID: 902, Term: 1, ResponseTo: 800, Length: 9e9, Records: long,
		},
		{Kind: message.KindReconnect, From: "root", VolumeEpoch: root, RequestID: 903, Term: 1},
		{Kind: message.KindReconnect, From: "root", VolumeEpoch: root, RequestID: 904, Term: 1},
		{Kind: message.KindDenyLease, From: "root", VolumeEpoch: root, RequestID: 905, Term: 1, Reason: "no lease"},
		{
			Kind: message.KindRedirect, From: "root",
			VolumeEpoch: root, RequestID: 906, Term: 1, Hint: goldenReplica("a"), Reason: "join",
		},
		{
			Kind: message.KindRedirect, From: "root",
			VolumeEpoch: root, RequestID: 906, Term: 1, Hint: goldenReplica("a"), Reason: "split",
		},
		{Kind: message.KindRedirect, From: "x", VolumeEpoch: stranger, Hint: goldenReplica("b"), Reason: "return"},
		{Kind: message.KindRedirect, From: "y", VolumeEpoch: stranger, Hint: goldenReplica("b"), Reason: "return"},
		{
			Kind: message.KindRedirect, From: "x",
			VolumeEpoch: stranger, RequestID: 5, Term: 1, Hint: goldenReplica("b"), Reason: "join",
		},
		{Kind: message.KindReconnectDone, From: "a", Epoch: 1, VolumeEpoch: mine, ResponseTo: 99},
		{Kind: message.KindReconnectDone, From: "zz", Epoch: 1, VolumeEpoch: mine, ResponseTo: 99},
		{Kind: message.KindLeaseList, From: "a", Epoch: 1, VolumeEpoch: root, RequestID: 70},
		{
			Kind: message.KindLeaseList, From: "a",
			Epoch: 1, VolumeEpoch: mine, RequestID: 71, Records: listed,
		},
		{Kind: message.KindRenewLease, From: "a", Epoch: 1, VolumeEpoch: mine, RequestID: 72, Keys: []string{"k"}},
		{
			Kind: message.KindRenewLease, From: "a",
			Epoch: 2, VolumeEpoch: mine, RequestID: 1, Keys: []string{"k"}, RenewCost: 5e6,
		},
		{Kind: message.KindLeaseList, From: "a", Epoch: 2, VolumeEpoch: mine, RequestID: 2},
		{
			Kind: message.KindRenewLease, From: "b",
			Epoch: 1, VolumeEpoch: mine, RequestID: 73, Keys: []string{"k", "new"}, Records: long, RenewCost: 7e6,
		},
		{Kind: message.KindRenewLease, From: "b", Epoch: 1, VolumeEpoch: stranger, RequestID: 74},
		{
			Kind: message.KindInvalidate, From: "x",
			VolumeEpoch: stranger, RequestID: 4, Term: 1, Key: "k", ResponseTo: 6,
		},
		{
			Kind: message.KindInvalidate, From: "root",
			VolumeEpoch: root, RequestID: 990, Term: 1, Key: "k", ResponseTo: 7,
		},
		{
			Kind: message.KindInvalidate, From: "root",
			VolumeEpoch: root, RequestID: 991, Term: 9, Key: "k", ResponseTo: 8,
		},
		{
			Kind: message.KindGrantLease, From: "root",
			VolumeEpoch: root, RequestID: 989, Term: 1, Records: long, ObjectLease: 9e9,
		},
		{Kind: message.KindRenewLease, From: "a", Epoch: 1, VolumeEpoch: mine, RequestID: 75, Keys: []string{"k"}},
		{Kind: message.KindLeaseList, From: "b", Epoch: 1, VolumeEpoch: mine, RequestID: 76},
		{Kind: message.KindInvalidated, From: "a", Epoch: 1, Key: "k", ResponseTo: 700},
		{Kind: message.KindInvalidated, From: "a", Epoch: 1, Key: "k", ResponseTo: 1},
		{Kind: message.KindInvalidated, From: "b", Epoch: 1, Key: "k", ResponseTo: 1},
		{Kind: message.KindInvalidated, From: "b", Epoch: 1, Key: "k", ResponseTo: 1},
		{Kind: message.KindHello, From: "b", Epoch: 1},
	}
}

// recordRedirects has a slow relay join its children to the root, and a root send
// the children of a relay to it.
func recordRedirects(t *testing.T, log *strings.Builder) {
	cfg := goldenBounds
	cfg.LoadInterval, cfg.MaxRenewals, cfg.MinGain = time.Second, 2000, 5*time.Millisecond
	r := zoneOfTwo(t, cfg, log)
	r.delay = func(from, to string) time.Duration {
		if from == "root" || to == "root" {
			return time.Millisecond
		}
		return 25 * time.Millisecond
	}
	r.scene("a slow relay")
	r.pass(2400 * time.Millisecond)
	r.show()

	for _, most := range []int{2000, 3} {
		cfg.MaxRenewals = most
		r = zoneOfTwo(t, cfg, log)
		r.nodes["root"].RelayOf = func(ident string) message.Replica {
			if ident == "a" || ident == "b" {
				return goldenReplica("relay")
			}
			return message.Replica{}
		}
		r.delay = func(from, to string) time.Duration {
			if most == 2000 && (from == "a" || from == "b" || to == "a" || to == "b") {
				return 30 * time.Millisecond
			}
			return time.Millisecond
		}
		r.adopt("a", "root")
		r.adopt("b", "root")
		r.scene(fmt.Sprintf("children beside their relay, at most %d renewals", most))
		r.pass(2400 * time.Millisecond)
		r.show()
	}
}

// What the nodes of a tree send, byte by byte, and what they ask of their daemon is
// what testdata holds: the record of the build before the handlers were split.
func TestMessagesAreAsRecorded(t *testing.T) {
	var log strings.Builder
	recordScenes(t, &log)
	for seed := range int64(12) {
		recordRandom(t, seed, &log)
	}
	const path = "testdata/messages.golden"
	if *writeGolden {
		if err := os.WriteFile(path, []byte(log.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Split(log.String(), "\n")
	for i, line := range strings.Split(string(want), "\n") {
		if i >= len(got) || got[i] != line {
			actual := strings.Join(got[min(i, len(got)):min(i+1, len(got))], "")
			t.Fatalf("line %d is\n%s\nrecorded is\n%s", i+1, actual, line)
		}
	}
	if len(got) != strings.Count(string(want), "\n")+1 {
		t.Errorf("%d lines, recorded are %d", len(got), strings.Count(string(want), "\n")+1)
	}
}
