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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/messages.golden instead of comparing with it")

// goldenConfig is the lease configuration of the recorded scenarios.
var goldenConfig = lease.Config{
	VolumeLease: 800 * time.Millisecond, ObjectLease: 3 * time.Second, Drift: 0.02,
	Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond,
}

// prefixCodec encodes a patch as the length of the common prefix and the bytes that follow
// it, preceded by a checksum of the value that the patch applies to. Values below the root
// begin with '#'.
type prefixCodec struct{}

// Patch returns nil if the common prefix is shorter than half of the new value.
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

// Apply fails if the checksum does not match.
func (prefixCodec) Apply(from, patch []byte) ([]byte, error) {
	from = bytes.TrimPrefix(from, []byte("#"))
	var sum uint32
	var n int
	if len(patch) < 12 {
		return nil, errors.New("patch is too short")
	}
	if _, err := fmt.Sscanf(string(patch[:12]), "%08x%04d", &sum, &n); err != nil || sum != crc32.ChecksumIEEE(from) {
		return nil, fmt.Errorf("patch is for a different base value: %w", err)
	}
	return slices.Concat([]byte("#"), from[:n], patch[12:]), nil
}

// Whole returns the value with the '#' mark.
func (prefixCodec) Whole(stored []byte) []byte {
	return slices.Concat([]byte("#"), bytes.TrimPrefix(stored, []byte("#")))
}

// recordedFrame is an encoded message in flight.
type recordedFrame struct {
	at       time.Duration
	from, to string
	bytes    []byte
}

// recorder runs nodes, delivers their messages in encoded form, and logs their messages and
// other output.
type recorder struct {
	t             *testing.T
	cfg           lease.Config
	now           time.Duration
	nodes         map[string]*lease.Node
	epochs        map[string]uint64
	records       map[string]message.Record // at the root
	rootLeaseEnd  time.Duration             // end of the leader lease
	inFlight      []recordedFrame
	delay         func(from, to string) time.Duration
	isLost        func(from, to string, m *message.Message) bool
	completedTags []uint64 // tags of completed invalidations
	log           *strings.Builder
}

func newRecorder(t *testing.T, cfg lease.Config, log *strings.Builder) *recorder {
	r := &recorder{t: t, cfg: cfg, now: time.Second, log: log}
	r.nodes, r.epochs, r.records = map[string]*lease.Node{}, map[string]uint64{}, map[string]message.Record{}
	r.delay = func(string, string) time.Duration { return 2 * time.Millisecond }
	r.isLost = func(string, string, *message.Message) bool { return false }
	return r
}

func (r *recorder) logScenario(name string) { fmt.Fprintf(r.log, "\n== %s\n", name) }

// startNode starts or restarts a node, with a new epoch.
func (r *recorder) startNode(name string, pins ...string) *lease.Node {
	r.epochs[name]++
	n := lease.New(r.cfg, 3, goldenReplica(name), r.epochs[name])
	n.UseCodec(prefixCodec{}, 40)
	r.nodes[name] = n
	for _, key := range pins {
		r.logAndSend(name, n.Pin(r.now, key))
	}
	return n
}

func goldenReplica(name string) message.Replica {
	return message.Replica{Ident: name, Addr: name + ":7"}
}

// makeRoot makes a node the root.
func (r *recorder) makeRoot(name string, term uint64) {
	r.rootLeaseEnd = r.now + 2*r.cfg.VolumeLease
	r.nodes[name].BecomeRoot(term, func(key string) message.Record {
		if rec, ok := r.records[key]; ok {
			return rec
		}
		return message.Record{Key: key, Deleted: true}
	}, func() time.Duration { return r.rootLeaseEnd })
}

func (r *recorder) setParent(name, parent string) {
	r.logAndSend(name, r.nodes[name].SetParent(r.now, goldenReplica(parent)))
}

// logAndSend logs the output of a step and sends its messages.
func (r *recorder) logAndSend(from string, o lease.Out) {
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
		if r.isLost(from, to, &m) {
			continue
		}
		if b, err = m.MarshalMsg(nil); err != nil {
			r.t.Fatal(err)
		}
		r.inFlight = append(r.inFlight, recordedFrame{r.now + r.delay(from, to), from, to, b})
	}
	if len(o.Readable)+len(o.Withdrawn)+len(o.Invalidated) > 0 || o.Orphaned || o.Redirect.Ident != "" {
		fmt.Fprintf(r.log, "%v %s: readable %q, withdrawn %q, invalidated %v, orphaned %v, redirected to %q %q\n",
			r.now, from, o.Readable, o.Withdrawn, o.Invalidated, o.Orphaned, o.Redirect.Ident, o.Redirect.Addr)
	}
	r.completedTags = append(r.completedTags, o.Invalidated...)
}

// deliver delivers the messages that are due, in the order of sending.
func (r *recorder) deliver() {
	for {
		i := slices.IndexFunc(r.inFlight, func(f recordedFrame) bool { return f.at <= r.now })
		if i < 0 {
			return
		}
		f := r.inFlight[i]
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
		var m message.Message
		if _, err := m.UnmarshalMsg(f.bytes); err != nil {
			r.t.Fatal(err)
		}
		if n := r.nodes[f.to]; n != nil {
			r.logAndSend(f.to, n.Step(r.now, m))
		}
	}
}

// advance advances the time in steps of 1 ms; nodes tick every 20 ms.
func (r *recorder) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += time.Millisecond {
		r.deliver()
		if r.now%(20*time.Millisecond) != 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
			if r.nodes[name].IsRoot() {
				r.rootLeaseEnd = max(r.rootLeaseEnd, r.now+2*r.cfg.VolumeLease)
			}
			r.logAndSend(name, r.nodes[name].Tick(r.now))
		}
	}
}

// writeRecord changes a record at the root once its invalidation is complete, or after
// maxWait if it is not complete by then.
func (r *recorder) writeRecord(root, key, value string, tag uint64, maxWait time.Duration) {
	r.logAndSend(root, r.nodes[root].Suspend(r.now, key, tag))
	for end := r.now + maxWait; r.now < end && !slices.Contains(r.completedTags, tag); {
		r.advance(time.Millisecond)
	}
	r.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: tag}, Value: []byte(value)}
	r.logAndSend(root, r.nodes[root].Resume(r.now, key))
}

// logState logs the state of all nodes and the records that they would serve.
func (r *recorder) logState(keys ...string) {
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		view, err := json.Marshal(n.View(r.now))
		if err != nil {
			r.t.Fatal(err)
		}
		expiredAt, servesStale := n.StaleSince(r.now)
		fmt.Fprintf(r.log, "%v %s: %s parent %q cost %v till %v until %v lapsed %v %v changes %d whole %d\n",
			r.now, name, view, n.Parent().Ident, n.RenewCost(), n.VolumeExpiry()-r.now, n.ValidUntil()-r.now,
			expiredAt, servesStale, n.SentAsPatches(), n.SentInFull())
		for _, key := range keys {
			rec, ok := n.Get(r.now, key)
			last, at, servesStale := n.LastKnown(r.now, key)
			fmt.Fprintf(r.log, "  %s: %v %v %v %.20q, last %v %v %v\n",
				key, ok, rec.Version, rec.Deleted, rec.Value, servesStale, last.Version, at)
		}
	}
}

// newRelayWithTwoChildren returns a recorder with a root, a relay, and two children below
// the relay.
func newRelayWithTwoChildren(t *testing.T, cfg lease.Config, log *strings.Builder) *recorder {
	r := newRecorder(t, cfg, log)
	r.records["k"] = message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: longValue(0)}
	r.startNode("root")
	r.startNode("relay", "k")
	r.startNode("a", "k", "absent")
	r.startNode("b", "k")
	r.makeRoot("root", 1)
	r.setParent("a", "relay")
	r.setParent("b", "relay")
	r.setParent("relay", "root")
	return r
}

func longValue(n int) []byte { return []byte(fmt.Sprintf("%s%d", strings.Repeat("value ", 10), n)) }

// recordScenarios runs the scenarios whose messages are logged individually.
func recordScenarios(t *testing.T, log *strings.Builder) {
	r := newRelayWithTwoChildren(t, goldenConfig, log)
	r.logScenario("two children and a relay connect")
	r.advance(500 * time.Millisecond)
	r.logState("k", "absent")

	r.logScenario("a record changes, and goes down as a patch")
	r.writeRecord("root", "k", string(longValue(1)), 2, time.Second)
	r.advance(40 * time.Millisecond)
	r.logState("k")

	r.logScenario("a patch is spoilt on its way")
	r.isLost = func(_, to string, m *message.Message) bool {
		if to == "a" && len(m.Records) > 0 && len(m.Records[0].Patches) > 0 {
			m.Records = slices.Clone(m.Records)
			m.Records[0].Patches = slices.Clone(m.Records[0].Patches)
			m.Records[0].Patches[0].Delta = []byte("spoilt, and of another base")
		}
		return false
	}
	r.writeRecord("root", "k", string(longValue(2)), 3, time.Second)
	r.advance(100 * time.Millisecond)
	r.logState("k")

	r.logScenario("a child is silent, until its lease lapses")
	r.isLost = func(from, to string, _ *message.Message) bool { return from == "b" || to == "b" }
	r.writeRecord("root", "k", string(longValue(3)), 4, 3*time.Second)
	r.advance(100 * time.Millisecond)
	r.logState("k")
	r.isLost = func(string, string, *message.Message) bool { return false }
	r.advance(600 * time.Millisecond)
	r.logState("k")

	recordFailures(r)
	recordUnexpectedMessages(t, log)
	recordRedirects(t, log)
}

// recordFailures continues with a root that is silent, a relay that restarts, and a change
// of leader.
func recordFailures(r *recorder) {
	r.logScenario("the root is silent, leases lapse")
	r.isLost = func(from, _ string, _ *message.Message) bool { return from == "root" }
	r.advance(2500 * time.Millisecond)
	r.logState("k", "absent")
	r.isLost = func(string, string, *message.Message) bool { return false }
	r.advance(600 * time.Millisecond)
	r.logState("k", "absent")

	r.logScenario("the relay starts anew")
	r.startNode("relay", "k")
	r.setParent("relay", "root")
	r.advance(700 * time.Millisecond)
	r.logState("k")

	r.logScenario("another leader")
	r.logAndSend("root", r.nodes["root"].Suspend(r.now, "absent", 9))
	r.nodes["root"].ResignRoot()
	r.advance(60 * time.Millisecond)
	r.logState("k")
	r.makeRoot("relay", 2)
	r.setParent("root", "relay")
	r.advance(400 * time.Millisecond)
	r.logState("k", "absent")
}

// recordUnexpectedMessages sends a relay messages that are late, repeated or from unknown
// nodes.
func recordUnexpectedMessages(t *testing.T, log *strings.Builder) {
	r := newRelayWithTwoChildren(t, goldenConfig, log)
	r.advance(500 * time.Millisecond)
	r.logScenario("messages that are late, repeated or from others")
	relay := r.nodes["relay"]
	for i, m := range unexpectedMessages(r.nodes["root"].VolumeEpoch(), relay.VolumeEpoch()) {
		m.Partition, m.Addr = 3, m.From+":7"
		fmt.Fprintf(r.log, "message %d, %v\n", i, m.Kind)
		r.logAndSend("relay", relay.Step(r.now, m))
		r.now++
	}
	r.logState("k")
	r.now -= r.now % time.Millisecond
	r.advance(200 * time.Millisecond)
	r.logAndSend("a", r.nodes["a"].SetParent(r.now, message.Replica{}))
	r.advance(1200 * time.Millisecond)
	r.logState("k", "absent")
}

// unexpectedMessages returns messages for a relay, given the volume epochs of its parent
// and its own. They are built field by field, since other builds may send any combination.
func unexpectedMessages(root, mine message.VolumeEpoch) []message.Message {
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

// recordRedirects runs scenarios in which a slow relay redirects its children to the root,
// and the root redirects children that bypass their relay to it.
func recordRedirects(t *testing.T, log *strings.Builder) {
	cfg := goldenConfig
	cfg.LoadInterval, cfg.MaxRenewals, cfg.MinGain = time.Second, 2000, 5*time.Millisecond
	r := newRelayWithTwoChildren(t, cfg, log)
	r.delay = func(from, to string) time.Duration {
		if from == "root" || to == "root" {
			return time.Millisecond
		}
		return 25 * time.Millisecond
	}
	r.logScenario("a slow relay")
	r.advance(2400 * time.Millisecond)
	r.logState()

	for _, maxRenewals := range []int{2000, 3} {
		cfg.MaxRenewals = maxRenewals
		r = newRelayWithTwoChildren(t, cfg, log)
		r.nodes["root"].RelayOf = func(ident string) message.Replica {
			if ident == "a" || ident == "b" {
				return goldenReplica("relay")
			}
			return message.Replica{}
		}
		r.delay = func(from, to string) time.Duration {
			if maxRenewals == 2000 && (from == "a" || from == "b" || to == "a" || to == "b") {
				return 30 * time.Millisecond
			}
			return time.Millisecond
		}
		r.setParent("a", "root")
		r.setParent("b", "root")
		r.logScenario(fmt.Sprintf("children beside their relay, at most %d renewals", maxRenewals))
		r.advance(2400 * time.Millisecond)
		r.logState()
	}
}

// The encoded messages and other output of the nodes must match the golden file, which was
// recorded with the build before the message handlers were split.
func TestMessagesMatchGoldenFile(t *testing.T) {
	var log strings.Builder
	recordScenarios(t, &log)
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
			t.Fatalf("line %d differs, got\n%s\nwant\n%s", i+1, actual, line)
		}
	}
	if len(got) != strings.Count(string(want), "\n")+1 {
		t.Errorf("got %d lines, want %d", len(got), strings.Count(string(want), "\n")+1)
	}
}
