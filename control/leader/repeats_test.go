package leader

import (
	"fmt"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// A delayed or repeated attempt to start or end an evacuation doesn't undo a later order, even if
// the leader has changed since. Attempts are repeated if an answer is lost; each attempt gets the
// same answer as the first one.
func TestLateAttemptDoesNotUndoLaterOrder(t *testing.T) {
	for name, test := range map[string]struct {
		before string // order executed at the start; "" if none
		late   string // order executed next, and repeated at the end
		then   string // order executed in between
		out    bool   // whether the zone is evacuated at the end
	}{
		"an end of an evacuation":             {"evacuate", "return", "evacuate", true},
		"an evacuation":                       {"", "evacuate", "return", false},
		"an end that found nothing to change": {"", "return", "evacuate", true},
		"an evacuation that changed nothing":  {"evacuate", "evacuate", "return", false},
	} {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader changed %v", name, leaderChanges), func(t *testing.T) {
				l := startLeader(t, 0, nil)
				requestID := uint64(0)
				call := func(from string, callID uint64, op string) {
					t.Helper()
					requestID++
					if status, result := l.call(from, callID, requestID, op, []byte("north")); status != 200 || result != "done" {
						t.Errorf("%s: %d %s", op, status, result)
					}
				}
				if test.before != "" {
					call("q", 1, test.before)
				}
				call("p", 7, test.late)
				call("q", 7, test.then) // another daemon may use the same call number
				if leaderChanges {
					l = startLeader(t, 0, l)
				}
				call("p", 7, test.late)
				if out := l.isEvacuated("north"); out != test.out {
					t.Errorf("north evacuated: %v", out)
				}
				call("p", 8, test.late) // a new call is executed
				if out := l.isEvacuated("north"); out == test.out {
					t.Error("a new call did nothing")
				}
			})
		}
	}
}

func (l *testLeader) isEvacuated(zone string) bool {
	l.t.Helper()
	return fleetconfig.MustReadZones(l.readRecord(fleetconfig.ZoneKey))[zone]
}

// A late attempt doesn't repeat a replica move that has been reverted since, nor execute a move that was refused at
// the first attempt.
func TestLateReplicaCallDoesNotUndoLaterMove(t *testing.T) {
	l := startLeader(t, 0, nil)
	replicas := leadercall.MustMarshal([]message.Replica{
		self, {Ident: "b", Addr: "10.0.0.2:1"}, {Ident: "c", Addr: "10.0.0.3:1"},
	})
	job := partition.Job{Keys: []string{fleetconfig.ReplicaKey}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{{Key: fleetconfig.ReplicaKey, Value: replicas}}, nil
	}}
	l.apply(l.controller.Submit(l.now, job, func(partition.Result) {}))
	move := func(out, in string) []byte {
		return leadercall.MustMarshal(ReplicaCall{Out: out, Ident: in, Addr: "10.0.0.4:1"})
	}
	for i, test := range []struct {
		callID uint64
		body   []byte
		want   string
		has    string
	}{
		{1, move("d", "e"), "not done", "c"},
		{2, move("c", "d"), "done", "d"},
		{1, move("d", "e"), "not done", "d"},
		{3, move("d", "c"), "done", "c"},
		{2, move("c", "d"), "done", "c"},
	} {
		if _, result := l.call("p", test.callID, uint64(i+1), leadercall.OpReplica, test.body); result != test.want {
			t.Errorf("%d: result %q", i, result)
		}
		replicas, err := readReplicas(l.readRecord(fleetconfig.ReplicaKey))
		if err != nil || !isReplica(replicas, test.has) {
			t.Errorf("%d: replicas %v lack %s (error %v)", i, replicas, test.has, err)
		}
	}
}

// A late attempt to store a list of servers without a version doesn't replace a list that was stored later.
func TestLateUnversionedListDoesNotUndoLaterList(t *testing.T) {
	l := startLeader(t, 1, nil)
	list := func(leaving bool) []byte {
		server := fleetconfig.Server{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8, Leaving: leaving}
		return leadercall.MustMarshal(ServersCall{"m", fleetconfig.List{Servers: []fleetconfig.Server{server}}})
	}
	for i, leaving := range []bool{false, true, false} { // the third repeats the first
		status, result := l.call("p", uint64(i%2+1), uint64(i+1), leadercall.OpServers, list(leaving))
		if status != 200 || result != "done" {
			t.Errorf("%d %s", status, result)
		}
	}
	if !fleetconfig.MustReadList(l.readRecord(fleetconfig.ListKey("m"))).Servers[0].Leaving {
		t.Error("a repeated list restored a leaving server")
	}
}

// A call that is acknowledged ends the attempts of calls of its kind that began before it, even if it found nothing to
// change: moves of replicas and lists without a version have no sequence either.
func TestAcknowledgedCallEndsEarlierAttempts(t *testing.T) {
	list := func(leaving bool) []byte {
		server := fleetconfig.Server{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8, Leaving: leaving}
		return leadercall.MustMarshal(ServersCall{"m", fleetconfig.List{Servers: []fleetconfig.Server{server}}})
	}
	move := func(out, in string) []byte {
		return leadercall.MustMarshal(ReplicaCall{Out: out, Ident: in, Addr: "10.0.0.4:1"})
	}
	for name, test := range map[string]struct {
		partition      int
		op, key        string
		wanted, undone []byte // the call that is acknowledged twice, and the one whose attempt is late
	}{
		"a list without a version": {1, leadercall.OpServers, fleetconfig.ListKey("m"), list(true), list(false)},
		"a move of a replica":      {0, leadercall.OpReplica, fleetconfig.ReplicaKey, move(self.Ident, "e"), move("e", self.Ident)},
	} {
		t.Run(name, func(t *testing.T) {
			l := startLeader(t, test.partition, nil)
			requestID := uint64(0)
			attempt := func(from string, callID uint64, body []byte, basis message.Version) message.CallResult {
				requestID++
				l.send(from, message.Call{RequestID: requestID, CallID: callID, Op: test.op, Body: body, Basis: basis})
				return l.answers[0].AsCallResult()
			}
			call := func(from string, callID uint64, body []byte) {
				t.Helper()
				basis := attempt(from, callID, body, unknownBasis).Basis
				if result := attempt(from, callID, body, basis); result.Status != 200 {
					t.Fatalf("%d %s", result.Status, result.Body)
				}
			}
			call("q", 1, test.wanted)
			abandoned := attempt("p", 1, test.undone, unknownBasis)
			call("q", 2, test.wanted)
			before := l.readRecord(test.key)
			late := attempt("p", 1, test.undone, abandoned.Basis)
			if after := l.readRecord(test.key); late.Status != leadercall.StatusBehind || after.Version != before.Version {
				t.Errorf("a late attempt: status %d, the record is %s", late.Status, after.Value)
			}
		})
	}
}

// The number of past calls is bounded, and a call of a build that doesn't number its
// calls is executed each time.
func TestPastCallsAreBounded(t *testing.T) {
	l := startLeader(t, 0, nil)
	for i := uint64(1); i <= 3*keptPastCalls; i++ {
		l.call("p", i, i, []string{"evacuate", "return"}[i%2], fmt.Appendf(nil, "zone-%d", i%5))
	}
	if n := l.countPastCalls(); n != keptPastCalls {
		t.Errorf("%d past calls are kept", n)
	}
	for i, op := range []string{"evacuate", "return", "evacuate"} {
		l.call("old", 0, uint64(i+1), op, []byte("south"))
		if out := l.isEvacuated("south"); out != (op == "evacuate") {
			t.Errorf("%s by an older build: south evacuated: %v", op, out)
		}
	}
}

// countPastCalls returns the number of calls in the record of past calls, which must be readable.
func (l *testLeader) countPastCalls() int {
	l.t.Helper()
	list, err := readPastCalls(l.readRecord(pastCallsKey))
	if err != nil {
		l.t.Fatal(err)
	}
	return len(list)
}
