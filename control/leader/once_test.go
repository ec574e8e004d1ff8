package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

var self = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}

// office is a leader that is alone in its group, with its disk at hand.
type office struct {
	t       *testing.T
	m       *Controller
	now     time.Duration
	records map[string]message.Record // what the disk holds
	meta    quorum.Meta
	back    []message.Message
	last    []message.Record // of the last save
}

// open makes a leader out of what the disk of another holds, or of nothing.
func open(t *testing.T, number int, old *office) *office {
	t.Helper()
	a := &office{t: t, records: map[string]message.Record{}, meta: quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{self}}}}
	held := digest.NewRecords()
	if old != nil {
		a.meta = old.meta
		for k, r := range old.records {
			a.records[k] = r
			held.Put(r)
		}
	}
	quorumConfig := quorum.Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, HeartbeatInterval: 333 * time.Millisecond}
	tree := lease.Config{VolumeLease: 800 * time.Millisecond, ObjectLease: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond}
	a.m = New(Config{Placement: placement.Config{ShareLength: time.Second}, OnceKeyRetention: time.Hour}, number, self,
		partition.New(number, self, 1, quorum.New(quorumConfig, number, self, nil, a.meta, held, 0, true), lease.New(tree, number, self, 1)))
	for a.step(); !a.m.IsLeader(a.now); a.step() {
		if a.now > time.Minute {
			t.Fatal("no leader")
		}
	}
	return a
}

func (a *office) step() {
	a.now += 10 * time.Millisecond
	a.carry(a.m.Tick(a.now))
}

func (a *office) carry(o Out) {
	for _, s := range o.Saves {
		a.meta = s.Meta
		a.last = s.Records
		for _, r := range s.Records {
			a.records[r.Key] = r
		}
		a.carry(a.m.Saved(a.now, s.Ticket))
	}
	for _, m := range o.Sends {
		if m.Message.Kind == message.KindCallResult {
			a.back = append(a.back, m.Message)
		}
	}
}

// call hands a try of a daemon's call to the leader and returns the code and the
// word that went back.
func (a *office) call(from string, ref, no uint64, op string, body []byte) (int, string) {
	a.t.Helper()
	a.back = nil
	a.carry(a.m.Step(a.now, message.Message{Kind: message.KindCall, Partition: a.m.partition, From: from, Epoch: 1, Addr: "10.0.0.9:1", ResponseTo: ref, RequestID: no, Op: op, Body: body}))
	if len(a.back) != 1 || a.back[0].ResponseTo != no {
		a.t.Fatalf("%s: answers %+v", op, a.back)
	}
	var w leadercall.Response
	if err := json.Unmarshal(a.back[0].Body, &w); err != nil {
		a.t.Fatal(err)
	}
	return a.back[0].Status, w.Result
}

func (a *office) read(key string) message.Record {
	r, ok := a.m.Partition().Node.Get(a.now, key)
	if !ok {
		a.t.Fatalf("%s is not served", key)
	}
	return r
}

// An evacuation or its end that was held up on its way, or sent a second time
// since its answer was lost, undoes nothing that came between; nor when another
// daemon has become leader meanwhile. Each try gets the first one's answer.
func TestALateTryUndoesNothing(t *testing.T) {
	for what, x := range map[string]struct {
		late string // came first and comes again at the end
		then string // came between
		out  bool   // in the end
	}{
		"an end of an evacuation":             {"return", "evacuate", true},
		"an evacuation":                       {"evacuate", "return", false},
		"an end that found nothing to change": {"return", "evacuate", true},
		"an evacuation that changed nothing":  {"evacuate", "return", false},
	} {
		for _, moved := range []bool{false, true} {
			a := open(t, 0, nil)
			no := uint64(0)
			call := func(from string, ref uint64, op string) {
				t.Helper()
				no++
				if code, w := a.call(from, ref, no, op, []byte("north")); code != 200 || w != "done" {
					t.Errorf("%s: %s: %d %s", what, op, code, w)
				}
			}
			if x.late == "return" && what != "an end that found nothing to change" {
				call("q", 1, "evacuate")
			}
			if what == "an evacuation that changed nothing" {
				call("q", 1, "evacuate")
			}
			call("p", 7, x.late)
			call("q", 7, x.then) // another daemon may count its calls alike
			if moved {
				a = open(t, 0, a)
			}
			call("p", 7, x.late)
			if out := fleetconfig.OpenZones(a.read(fleetconfig.ZoneKey))["north"]; out != x.out {
				t.Errorf("%s, leader changed %v: north is out: %v", what, moved, out)
			}
			call("p", 8, x.late) // a call of its own is carried out
			if out := fleetconfig.OpenZones(a.read(fleetconfig.ZoneKey))["north"]; out == x.out {
				t.Errorf("%s, leader changed %v: a new call did nothing", what, moved)
			}
		}
	}
}

// So with a replica that is given away and back, one that could not be given away
// at first, and a list of servers without a version.
func TestALateReplicaOrListUndoesNothing(t *testing.T) {
	a := open(t, 0, nil)
	replicas := []message.Replica{self, {Ident: "b", Addr: "10.0.0.2:1"}, {Ident: "c", Addr: "10.0.0.3:1"}}
	a.carry(a.m.Do(a.now, partition.Job{Keys: []string{fleetconfig.ReplicaKey}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{{Key: fleetconfig.ReplicaKey, Value: leadercall.Pack(replicas)}}, nil
	}}, func(partition.Result) {}))
	move := func(out, in string) []byte {
		return leadercall.Pack(ReplicaCall{Out: out, Ident: in, Addr: "10.0.0.4:1"})
	}
	for i, x := range []struct {
		ref  uint64
		body []byte
		want string
		has  string
	}{{1, move("d", "e"), "not done", "c"}, {2, move("c", "d"), "done", "d"}, {1, move("d", "e"), "not done", "d"}, {3, move("d", "c"), "done", "c"}, {2, move("c", "d"), "done", "c"}} {
		if _, w := a.call("p", x.ref, uint64(i+1), "seat", x.body); w != x.want {
			t.Errorf("%d: %s", i, w)
		}
		replicas, err := readReplicas(a.read(fleetconfig.ReplicaKey))
		if g := (message.Group{Replicas: replicas}); err != nil || !g.Has(x.has) {
			t.Errorf("%d: %v lacks %s (%v)", i, g.Replicas, x.has, err)
		}
	}

	b := open(t, 1, nil)
	list := func(leaving bool) []byte {
		return leadercall.Pack(ServersCall{"m", fleetconfig.List{Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8, Leaving: leaving}}}})
	}
	for no, leaving := range []bool{false, true, false} { // the third is the first again
		if code, w := b.call("p", uint64(no%2+1), uint64(no+1), "servers", list(leaving)); code != 200 || w != "done" {
			t.Errorf("%d %s", code, w)
		}
	}
	if !fleetconfig.OpenList(b.read(fleetconfig.ListKey("m"))).Servers[0].Leaving {
		t.Error("a list that came a second time brought a leaving server back")
	}
}

// What is kept of calls is bounded; a call of a build that doesn't number its
// calls is carried out each time.
func TestWhatIsKeptOfCalls(t *testing.T) {
	a := open(t, 0, nil)
	for i := uint64(1); i <= 3*keepCalls; i++ {
		a.call("p", i, i, []string{"evacuate", "return"}[i%2], fmt.Appendf(nil, "zone-%d", i%5))
	}
	if n := kept(t, a.read(callsKey)); n != keepCalls {
		t.Errorf("%d calls are kept", n)
	}
	for no, op := range []string{"evacuate", "return", "evacuate"} {
		a.call("old", 0, uint64(no+1), op, []byte("south"))
		if out := fleetconfig.OpenZones(a.read(fleetconfig.ZoneKey))["south"]; out != (op == "evacuate") {
			t.Errorf("%s by an older build: south is out: %v", op, out)
		}
	}
}

// A claim that was held up doesn't take a key that its request gave back, with
// another's claim come and gone since.
func TestALateClaimTakesNothing(t *testing.T) {
	a := open(t, 1, nil)
	no := uint64(0)
	call := func(op, req, state string) string {
		no++
		_, w := a.call("p", no, no, op, leadercall.Pack(ClaimCall{"t/k", leadercall.Claim{Request: req, State: state}}))
		return w
	}
	for _, req := range []string{"r1", "r2", "r3"} {
		if w := call("claim", req, "claimed"); w != "done" {
			t.Errorf("%s: %s", req, w)
		}
		call("unclaim", req, "shed")
	}
	if w := call("claim", "r1", "claimed"); w != "duplicate" {
		t.Errorf("a request that gave the key back got it again: %s", w)
	}
	if w := call("claim", "r4", "claimed"); w != "done" {
		t.Errorf("the key is held: %s", w)
	}
}

// A daemon's report that was overtaken by a later one is not taken for what it
// has in flight now.
func TestALateReportIsDropped(t *testing.T) {
	a := open(t, 1, nil)
	a.m.holder = placement.New(placement.Config{ShareLength: time.Second}, 1, 0)
	want := func(ref uint64, epoch uint64) int {
		a.back = nil
		a.carry(a.m.Step(a.now, message.Message{Kind: message.KindCall, Partition: 1, From: "p", Epoch: epoch, ResponseTo: ref, RequestID: ref, Op: "want", Body: leadercall.Pack(placement.Demand{Service: "m"})}))
		return a.back[0].Status
	}
	for i, x := range []struct {
		ref, epoch uint64
		code       int
	}{{4, 1, 200}, {6, 1, 200}, {5, 1, leadercall.StatusNotLeader}, {1, 2, 200}, {7, 1, leadercall.StatusNotLeader}, {2, 2, 200}} {
		if code := want(x.ref, x.epoch); code != x.code {
			t.Errorf("%d: number %d of life %d: %d", i, x.ref, x.epoch, code)
		}
	}
}

// Shares that a leader gave out before its daemon was gone stand as long as its
// leases: the next one, elected early, gives out none until then.
func TestNoSharesWhileOlderOnesStand(t *testing.T) {
	a := open(t, 1, nil)
	a.m.holder = placement.New(placement.Config{ShareLength: time.Second}, 1, 0)
	calm := a.now + time.Second
	a.m.Partition().WritesFrom = func() time.Duration { return calm }
	for ref, want := range []int{leadercall.StatusNotLeader, 200} {
		a.back = nil
		a.carry(a.m.Step(a.now, message.Message{Kind: message.KindCall, Partition: 1, From: "p", Epoch: 1, ResponseTo: uint64(ref + 1), RequestID: uint64(ref + 1), Op: "want", Body: leadercall.Pack(placement.Demand{Service: "m"})}))
		if a.back[0].Status != want {
			t.Errorf("%v before the calm: %d", calm-a.now, a.back[0].Status)
		}
		calm = a.now
	}
}

// kept counts the calls of a record, which must be one that can be read.
func kept(t *testing.T, r message.Record) int {
	t.Helper()
	list, err := readCalls(r)
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
