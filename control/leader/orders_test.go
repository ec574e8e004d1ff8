package leader

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// longAfter is longer than an operator sends an order again, and than any attempt of a call takes.
const longAfter = 20 * time.Second

// orderLeader is a leader together with daemons that send orders the way control/leadercall does.
type orderLeader struct {
	*testLeader
	lastRequest uint64
}

func startOrderLeader(t *testing.T, former *orderLeader) *orderLeader {
	t.Helper()
	if former == nil {
		return &orderLeader{testLeader: startLeader(t, 0, nil)}
	}
	return &orderLeader{testLeader: startLeader(t, 0, former.testLeader), lastRequest: former.lastRequest}
}

// advance advances the time by d, with the leader reconciling.
func (l *orderLeader) advance(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.tick()
		l.apply(l.controller.Reconcile(l.now, ClusterView{}))
	}
}

// sendAttempt sends one attempt of a call with a basis.
func (l *orderLeader) sendAttempt(
	from string, callID uint64, op, zone string, basis message.Version,
) message.CallResult {
	l.t.Helper()
	l.lastRequest++
	l.send(from, message.Call{RequestID: l.lastRequest, CallID: callID, Op: op, Body: []byte(zone), Basis: basis})
	if len(l.answers) != 1 {
		l.t.Fatalf("%s: answers %+v", op, l.answers)
	}
	return l.answers[0].AsCallResult()
}

// unknownBasis is the basis that an attempt carries before a leader has returned one to its call.
var unknownBasis = message.Version{Seq: 1 << 60}

// sendOrder sends a call, repeats it if its basis doesn't match, and returns the status of the answer.
func (l *orderLeader) sendOrder(from string, callID uint64, op, zone string) int {
	l.t.Helper()
	result := l.sendAttempt(from, callID, op, zone, unknownBasis)
	if result.Status == leadercall.StatusBehind {
		result = l.sendAttempt(from, callID, op, zone, result.Basis)
	}
	return result.Status
}

// expectOrder sends a call whose caller waits; it must be acknowledged and done.
func (l *orderLeader) expectOrder(from string, callID uint64, op, zone string) {
	l.t.Helper()
	if status := l.sendOrder(from, callID, op, zone); status != 200 {
		l.t.Errorf("%s of %s: status %d", op, zone, status)
	}
	if evacuated := l.isEvacuated(zone); evacuated != (op == leadercall.OpEvacuate) {
		l.t.Errorf("%s of %s was acknowledged, and the zone is evacuated: %v", op, zone, evacuated)
	}
}

// An order that was undone and is given anew is acknowledged and done at once, however soon it comes and whether or
// not the leader has changed. It was refused for 1.25 times the bound on acknowledgements, as a possible late repeat.
func TestUndoneOrderIsExecutedAgain(t *testing.T) {
	for _, test := range []struct{ first, undo string }{{"evacuate", "return"}, {"return", "evacuate"}} {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader changed %v", test.first, leaderChanges), func(t *testing.T) {
				l := startOrderLeader(t, nil)
				if test.first == "return" {
					l.expectOrder("q", 1, "evacuate", "north")
				}
				for i, op := range []string{test.first, test.first, test.undo} { // the second is an immediate repeat
					l.expectOrder("p", uint64(10+i), op, "north")
				}
				if leaderChanges {
					l = startOrderLeader(t, l)
				}
				l.expectOrder("r", 1, test.first, "north")
				l.expectOrder("r", 2, test.undo, "north")
				l.expectOrder("r", 3, "evacuate", "south")
				l.expectOrder("p", 13, test.first, "north")
				l.advance(longAfter)
				l.expectOrder("r", 4, test.undo, "north")
				l.expectOrder("r", 5, test.first, "north")
			})
		}
	}
}

// A record of past calls by an earlier build, which names orders that may be resent, doesn't make a leader refuse them.
func TestOrdersInRecordOfEarlierBuildAreNotRefused(t *testing.T) {
	l := startOrderLeader(t, nil)
	stored := []byte(`[{"call":"p#1/1","word":{"result":"done"},"what":"evacuate/north"},` +
		`{"call":"p#1/2","word":{"result":"done"},"what":"return/north"}]`)
	job := partition.Job{Keys: []string{pastCallsKey}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{{Key: pastCallsKey, Value: stored}}, nil
	}}
	l.apply(l.controller.Submit(l.now, job, nil))
	l = startOrderLeader(t, l)
	l.expectOrder("q", 1, "evacuate", "north")
	if status := l.sendOrder("p", 2, "return", "north"); status != 200 || !l.isEvacuated("north") {
		t.Errorf("another attempt of a call of the record: status %d, north evacuated: %v", status, l.isEvacuated("north"))
	}
	l.expectOrder("q", 2, "return", "north")
}

// A delayed attempt that was never executed does nothing once the record of evacuated zones
// has a later version than the basis that its caller was given.
func TestAttemptOnStaleZonesDoesNothing(t *testing.T) {
	l := startOrderLeader(t, nil)
	first := l.sendAttempt("p", 1, "evacuate", "north", unknownBasis)
	if first.Status != leadercall.StatusBehind || first.Basis == (message.Version{}) {
		t.Fatalf("%+v", first)
	}
	// The second attempt is delayed, and the same order arrives through another daemon.
	if status := l.sendOrder("q", 1, "evacuate", "north"); status != 200 {
		t.Fatal(status)
	}
	if status := l.sendOrder("q", 2, "return", "north"); status != 200 {
		t.Fatal(status)
	}
	l.advance(longAfter)
	late := l.sendAttempt("p", 1, "evacuate", "north", first.Basis)
	if late.Status != leadercall.StatusBehind || l.isEvacuated("north") {
		t.Errorf("a delayed attempt: status %d, north evacuated: %v", late.Status, l.isEvacuated("north"))
	}
}

// An order that is acknowledged ends all attempts that began before it, even if it found nothing to change: an
// attempt that arrives later would undo it.
func TestAcknowledgedOrderEndsEarlierAttempts(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		l := startOrderLeader(t, nil)
		l.expectOrder("q", 1, "evacuate", "north")
		abandoned := l.sendAttempt("p", 1, "return", "north", unknownBasis)
		if abandoned.Status != leadercall.StatusBehind {
			t.Fatalf("%+v", abandoned)
		}
		// The return is given up while its second attempt is delayed; the zone is to stay evacuated.
		l.expectOrder("q", 2, "evacuate", "north")
		if leaderChanges {
			l = startOrderLeader(t, l)
		}
		late := l.sendAttempt("p", 1, "return", "north", abandoned.Basis)
		if late.Status != leadercall.StatusBehind || !l.isEvacuated("north") {
			t.Errorf("a delayed attempt, leader changed %v: status %d, north evacuated: %v",
				leaderChanges, late.Status, l.isEvacuated("north"))
		}
	}
}

// However many orders come at once, none is refused, and the record of past calls stays bounded.
func TestManyOrdersAreNotRefused(t *testing.T) {
	l := startOrderLeader(t, nil)
	for i := range uint64(10 * keptPastCalls) {
		l.expectOrder("p", i+1, "evacuate", fmt.Sprint("zone-", i))
	}
	if n := l.countPastCalls(); n != keptPastCalls {
		t.Errorf("%d past calls are kept", n)
	}
}
