package membership

import (
	"bytes"
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

	"mulleinmast/wire/message"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/messages.golden anew instead of comparing with it")

// goldenBounds are the bounds of the recorded scenes' sessions.
var goldenBounds = Config{
	SessionTimeout: 600 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond,
	MinRelayZone: 2, ToleratedLosses: 1, FirstStart: true,
}

type recordedFrame struct {
	at       time.Duration
	from, to string
	bytes    []byte
}

// recordedDaemon is a daemon with its table.
type recordedDaemon struct {
	self  message.Member
	table *Table
	group []message.Replica
	owns  []message.Leadership
}

// recorder runs the tables of a fleet, carries their messages as bytes, and writes down
// what they ask for. A message that was written down before is named by its number.
type recorder struct {
	t       *testing.T
	cfg     Config
	now     time.Duration
	seeds   []string
	daemons map[string]*recordedDaemon // by address
	frames  []recordedFrame
	lost    func(from, to string) bool
	delay   func() time.Duration
	log     *strings.Builder
	known   map[string]int
}

func newRecorder(t *testing.T, log *strings.Builder) *recorder {
	r := &recorder{
		t: t, cfg: goldenBounds, now: time.Second, log: log,
		daemons: map[string]*recordedDaemon{}, known: map[string]int{},
	}
	r.lost = func(string, string) bool { return false }
	r.delay = func() time.Duration { return time.Millisecond }
	return r
}

func (r *recorder) scene(name string) { fmt.Fprintf(r.log, "\n== %s\n", name) }

// start gives a daemon a new incarnation; one without a disk gets a new identity.
func (r *recorder) start(addr, zone string, disk bool, seeds []string, first bool) {
	d := r.daemons[addr]
	if d == nil {
		d = &recordedDaemon{self: message.Member{Addr: addr, Zone: zone, HasDisk: disk, Build: "1"}}
		r.daemons[addr] = d
	}
	d.self.Epoch++
	if d.self.Ident = "id-" + addr; !disk {
		d.self.Ident = fmt.Sprintf("id-%s-%d", addr, d.self.Epoch)
	}
	d.self.Empty = disk && d.group == nil
	cfg := r.cfg
	cfg.FirstStart = first
	d.table, d.owns = New(cfg, d.self, seeds), nil
}

func (r *recorder) take(from string, o Out) {
	d := r.daemons[from]
	for _, s := range o.Sends {
		m := s.Message
		m.From, m.Addr, m.Epoch = d.self.Ident, d.self.Addr, d.self.Epoch
		b, err := m.MarshalMsg(nil)
		if err != nil {
			r.t.Fatal(err)
		}
		r.note(fmt.Sprintf("%v %s>%s %v", r.now.Truncate(time.Millisecond), from, s.Addr, s.ExactAddr), b)
		if !r.lost(from, s.Addr) {
			r.frames = append(r.frames, recordedFrame{r.now + r.delay(), from, s.Addr, b})
		}
	}
	if o.Bootstrap != nil {
		fmt.Fprintf(r.log, "%v %s: the first group is %v\n", r.now.Truncate(time.Millisecond), from, o.Bootstrap)
		if d.group == nil {
			d.group = o.Bootstrap
		}
	}
}

// note writes a frame down, or the number that it had before.
func (r *recorder) note(what string, b []byte) {
	var text bytes.Buffer
	if _, err := msgp.UnmarshalAsJSON(&text, b); err != nil {
		r.t.Fatal(err)
	}
	if no, ok := r.known[string(b)]; ok {
		fmt.Fprintf(r.log, "%s #%d\n", what, no)
		return
	}
	r.known[string(b)] = len(r.known) + 1
	fmt.Fprintf(r.log, "%s #%d %s %08x\n", what, len(r.known), text.String(), crc32.ChecksumIEEE(b))
}

// deliver brings what has arrived; no two messages at the same time.
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
		if d := r.daemons[f.to]; d != nil && (m.To == "" || m.To == d.self.Ident) {
			r.now++
			r.take(f.to, d.table.Step(r.now, m))
		}
	}
}

// pass lets time pass in steps of 10 ms; tables tick every 50.
func (r *recorder) pass(d time.Duration) {
	for end := r.now + d; r.now < end; r.now = (r.now + 10*time.Millisecond).Truncate(10 * time.Millisecond) {
		r.deliver()
		if r.now.Truncate(10*time.Millisecond)%(50*time.Millisecond) != 0 {
			continue
		}
		for _, addr := range slices.Sorted(maps.Keys(r.daemons)) {
			d := r.daemons[addr]
			d.self.Empty = d.self.HasDisk && d.group == nil
			d.self.Ready = d.group != nil
			r.now++
			r.take(addr, d.table.Tick(r.now, d.self, d.owns))
		}
	}
}

// show writes down what the tables know.
func (r *recorder) show() {
	for _, addr := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[addr]
		v := d.table.View()
		fmt.Fprintf(r.log, "%v %s: live %v, formed %v\n",
			r.now.Truncate(time.Millisecond), addr, v.HasSession, d.table.bootstrap.formed)
		for _, m := range v.Members {
			r.member("  member", m)
		}
		for _, l := range v.Lost {
			r.member(fmt.Sprintf("  lost at %v", l.LostAt), l.Member)
		}
		for _, l := range v.PartitionedFrom() {
			fmt.Fprintf(r.log, "  cut off from %s\n", l.Addr)
		}
		for _, p := range slices.Sorted(maps.Keys(v.Leaderships)) {
			fmt.Fprintf(r.log, "  partition %d: %d %v\n", p, v.Leaderships[p].Term, v.Leaderships[p].Leader)
		}
		for p := range 3 {
			group := message.Group{Number: 1, Replicas: d.group}
			fmt.Fprintf(r.log, "  partition %d: relay %v, parent %v, hands over %v\n",
				p, v.Relay(p, d.self.Zone), v.Parent(p), v.MustHandOver(group))
		}
		fmt.Fprintf(r.log, "  %d of the core\n", len(v.ControlDaemons()))
	}
}

func (r *recorder) member(what string, m message.Member) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		r.t.Fatal(err)
	}
	fmt.Fprintf(r.log, "%s %s %s %08x\n", what, m.Ident, m.Addr, crc32.ChecksumIEEE(b))
}

// hear gives a daemon a message as from another.
func (r *recorder) hear(to string, m message.Message) {
	r.now++
	r.take(to, r.daemons[to].table.Step(r.now, m))
}

func recordScenes(t *testing.T, log *strings.Builder) {
	r := newRecorder(t, log)
	r.seeds = []string{"a:1", "b:1", "s:1"}
	r.start("a:1", "north", true, r.seeds, true)
	r.start("b:1", "south", true, r.seeds, true)
	r.start("s:1", "south", false, r.seeds, true)
	r.start("d:1", "west", true, r.seeds, true)
	r.start("m:1", "north", false, r.seeds, true)
	r.scene("a fleet forms")
	r.pass(2200 * time.Millisecond)
	r.show()

	r.scene("leaders, and a daemon that knows one seed")
	a, b := r.daemons["a:1"], r.daemons["b:1"]
	a.owns = []message.Leadership{
		{Partition: 0, Term: 4, Leader: a.self.Replica()},
		{Partition: 2, Term: 5, Leader: a.self.Replica()},
	}
	b.owns = []message.Leadership{{Partition: 1, Term: 2, Leader: b.self.Replica()}}
	r.start("n:1", "north", false, []string{"s:1"}, false)
	r.pass(900 * time.Millisecond)
	r.show()

	r.scene("a daemon starts anew")
	r.start("m:1", "north", false, r.seeds, false)
	r.pass(500 * time.Millisecond)

	r.scene("a control daemon is cut off")
	r.lost = func(from, to string) bool {
		return (from == "a:1" || to == "a:1") && r.daemons[from].self.HasDisk && r.daemons[to].self.HasDisk
	}
	r.pass(1300 * time.Millisecond)
	r.show()
	b.owns = []message.Leadership{{Partition: 0, Term: 6, Leader: b.self.Replica()}}
	a.owns = nil
	r.pass(500 * time.Millisecond)
	r.show()
	r.lost = func(string, string) bool { return false }
	r.pass(1000 * time.Millisecond)
	r.show()
	recordOddMessages(r)
	recordParents(r)
}

// recordOddMessages gives tables what is late, of another kind or from strangers.
func recordOddMessages(r *recorder) {
	r.scene("messages that are late, odd or from strangers")
	rejoined := r.daemons["m:1"].self
	for i, odd := range oddMessages(r.daemons["a:1"].self, r.daemons["s:1"].self) {
		fmt.Fprintf(r.log, "message %d to %s, %v\n", i, odd.to, odd.message.Kind)
		r.hear(odd.to, odd.message)
	}
	r.show()
	r.daemons["a:1"].table.AddControlAddrs("x:1", "a:1", "x:1")
	r.daemons["m:1"].self = rejoined
	r.pass(1300 * time.Millisecond)
	r.show()
}

// oddMessage is a frame for the daemon of an address.
type oddMessage struct {
	to      string
	message message.Message
}

// oddMessages are of strangers, and of a control daemon and a seed without a disk. They
// are flat frames: other builds may send any of them.
func oddMessages(a, s message.Member) []oddMessage {
	other := message.Member{Ident: "x", Addr: "x:1", HasDisk: true, Epoch: 3}
	plain := message.Member{Ident: "y", Addr: "y:1", Epoch: 3}
	successor := message.Member{Ident: "z", Addr: "y:1"}
	group := message.Group{Number: 1, Replicas: []message.Replica{a.Replica(), other.Replica()}}
	claim := []message.Leadership{{Partition: 1, Term: 9, Leader: other.Replica()}}
	return []oddMessage{
		{"a:1", message.Message{Kind: message.KindHello}},
		{"a:1", message.Message{Kind: message.KindHello, Self: plain}},
		{"a:1", message.Message{Kind: message.KindHello, Self: plain, Op: "differ", Term: 12}},
		{"a:1", message.Message{Kind: message.KindHello, Self: successor, Op: "differ"}},
		{"s:1", message.Message{Kind: message.KindHello, Self: plain}},
		{"s:1", message.Message{Kind: message.KindHello}},
		{"m:1", message.Message{Kind: message.KindWelcome, Op: "refer", Members: []message.Member{other, plain}}},
		{"m:1", message.Message{
			Kind: message.KindWelcome, Op: "differ", Term: 5, Members: []message.Member{other}, Keys: []string{"b:1"},
		}},
		{"m:1", message.Message{Kind: message.KindWelcome, Op: "unknown", Members: []message.Member{other}}},
		{"m:1", message.Message{Kind: message.KindWelcome, Addr: "a:1", Length: 1, Leaderships: claim}},
		{"m:1", message.Message{Kind: message.KindWelcome, Addr: "b:1", Length: 9}},
		{"a:1", message.Message{Kind: message.KindGossip, Self: other, Op: "same", LastComplete: 77, ResponseTo: 3}},
		{"a:1", message.Message{
			Kind: message.KindGossip, Self: other, Members: []message.Member{plain}, LastComplete: 77, ResponseTo: 3,
		}},
		{"a:1", message.Message{Kind: message.KindGossip, Self: other, Op: "same", LastComplete: 77}},
		{"s:1", message.Message{Kind: message.KindGossip, Self: other}},
		{"s:1", message.Message{Kind: message.KindGossip}},
		{"a:1", message.Message{Kind: message.KindCensus, Addr: "x:1", Self: other, RequestID: 4, Group: group}},
		{"s:1", message.Message{Kind: message.KindCensus, Addr: "a:1", Self: a, RequestID: 4, Group: group}},
		{"a:1", message.Message{Kind: message.KindCensusAnswer, Addr: "b:1", ResponseTo: 9, Self: other}},
		{"a:1", message.Message{Kind: message.KindBootstrap, Addr: "b:1", Group: group}},
		{"d:1", message.Message{Kind: message.KindBootstrap, Addr: "x:1", Group: group}},
		{"a:1", message.Message{Kind: message.KindRenewLease, Addr: "b:1", Self: s}},
	}
}

// recordParents writes down the parents that are chosen.
func recordParents(r *recorder) {
	r.scene("parents")
	for _, addr := range []string{"m:1", "n:1", "a:1"} {
		v := r.daemons[addr].table.View()
		chooser := ParentChooser{Partition: 0, VolumeLease: time.Second}
		show := func(now time.Duration) { fmt.Fprintf(r.log, "%s at %v: %v\n", addr, now, chooser.Parent(now, v)) }
		show(0)
		chooser.FallBackToLeader(time.Second)
		show(2 * time.Second)
		show(7 * time.Second)
		for i, to := range []message.Replica{v.Leaderships[0].Leader, v.Relay(0, "north"), {Ident: "x", Addr: "x:1"}} {
			chooser.FollowRedirect(time.Duration(i*50)*time.Second, to)
			show(time.Duration(i*50+10) * time.Second)
			show(time.Duration(i*50+45) * time.Second)
		}
		for _, live := range []bool{true, true, false, true} {
			for _, s := range chooser.ReturnRedirects(live, message.VolumeEpoch{Ident: v.Self.Ident, Epoch: 2}, v) {
				b, err := s.Message.MarshalMsg(nil)
				if err != nil {
					r.t.Fatal(err)
				}
				r.note(addr+">"+s.Addr, b)
			}
		}
	}
}

// What the tables of a fleet send, byte by byte, and what they know is what testdata
// holds: the record of the build before the handlers were split.
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
