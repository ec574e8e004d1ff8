package leader

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

const repeatWindow = 5 * time.Second

// orderLeader is a leader that keeps orders for as long as they may be resent, together with
// daemons that send calls the way control/leadercall does.
type orderLeader struct {
	*testLeader
	lastRequest uint64
}

func startOrderLeader(t *testing.T, former *orderLeader) *orderLeader {
	t.Helper()
	l := &orderLeader{}
	if former == nil {
		l.testLeader = startLeader(t, 0, nil)
	} else {
		l.testLeader, l.lastRequest = startLeader(t, 0, former.testLeader), former.lastRequest
	}
	l.controller.orders.window = repeatWindow
	return l
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

// An order was accepted and then undone. If it is resent as another call, its result is
// unclear as long as it may be a late repeat, even after a leader change. Once it can't be
// a late repeat, it is executed as a new order.
func TestUndoneOrderIsNotRepeatedWithinWindow(t *testing.T) {
	for _, test := range []struct{ first, undo string }{{"evacuate", "return"}, {"return", "evacuate"}} {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader changed %v", test.first, leaderChanges), func(t *testing.T) {
				l := startOrderLeader(t, nil)
				if test.first == "return" {
					l.sendOrder("q", 1, "evacuate", "north")
					l.advance(2 * repeatWindow)
				}
				for i, op := range []string{test.first, test.first, test.undo} { // the second is an immediate repeat
					if status := l.sendOrder("p", uint64(10+i), op, "north"); status != 200 {
						t.Fatalf("%s: %d", op, status)
					}
				}
				if leaderChanges {
					l = startOrderLeader(t, l)
				}
				status, out := l.sendOrder("r", 1, test.first, "north"), l.isEvacuated("north")
				if status != leadercall.StatusNotDone || out != (test.undo == "evacuate") {
					t.Errorf("a late repeat: status %d, north evacuated: %v", status, out)
				}
				if status := l.sendOrder("r", 2, test.undo, "north"); status != 200 {
					t.Errorf("repeated %s: status %d", test.undo, status)
				}
				if status := l.sendOrder("r", 3, "evacuate", "south"); status != 200 || !l.isEvacuated("south") {
					t.Errorf("an order for another zone: status %d", status)
				}
				l.advance(repeatWindow + time.Second)
				status, out = l.sendOrder("r", 4, test.first, "north"), l.isEvacuated("north")
				if status != 200 || out != (test.first == "evacuate") {
					t.Errorf("a new order after the window: status %d, north evacuated: %v", status, out)
				}
			})
		}
	}
}

// An order that can no longer be resent is removed from the record, so that the next
// leader, which can't know its age, doesn't refuse a new order as its late repeat.
func TestExpiredOrderIsForgottenBeforeNextLeader(t *testing.T) {
	l := startOrderLeader(t, nil)
	for i, op := range []string{"evacuate", "return"} {
		if status := l.sendOrder("p", uint64(i+1), op, "north"); status != 200 {
			t.Fatal(status)
		}
	}
	l.advance(2 * repeatWindow)
	l = startOrderLeader(t, l)
	if status := l.sendOrder("q", 1, "evacuate", "north"); status != 200 || !l.isEvacuated("north") {
		t.Errorf("a new order to a new leader: status %d", status)
	}
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
	l.advance(4 * repeatWindow)
	late := l.sendAttempt("p", 1, "evacuate", "north", first.Basis)
	if late.Status != leadercall.StatusBehind || l.isEvacuated("north") {
		t.Errorf("a delayed attempt: status %d, north evacuated: %v", late.Status, l.isEvacuated("north"))
	}
}

// All orders that may be resent are kept. While the record holds maxPastCalls orders, further
// orders are refused, and no kept order is dropped.
func TestRecentOrdersAreBounded(t *testing.T) {
	l := startOrderLeader(t, nil)
	for i := range uint64(maxPastCalls + 20) {
		want := 200
		if i >= maxPastCalls {
			want = leadercall.StatusNotDone
		}
		if status := l.sendOrder("p", i+1, "evacuate", fmt.Sprint("zone-", i)); status != want {
			t.Fatalf("order %d: status %d", i, status)
		}
	}
	if n := l.countPastCalls(); n != maxPastCalls {
		t.Errorf("%d past calls are kept", n)
	}
	l.advance(2 * repeatWindow)
	if status := l.sendOrder("p", 9000, "evacuate", "late"); status != 200 {
		t.Errorf("an order after the window: status %d", status)
	}
	if n := l.countPastCalls(); n != keptPastCalls {
		t.Errorf("%d past calls are kept after the window", n)
	}
}

// An order that is acknowledged ends all attempts that began before it, even if it found nothing to change: an
// attempt that arrives later would undo it.
func TestAcknowledgedOrderEndsEarlierAttempts(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		l := startOrderLeader(t, nil)
		l.sendOrder("q", 1, "evacuate", "north")
		abandoned := l.sendAttempt("p", 1, "return", "north", unknownBasis)
		if abandoned.Status != leadercall.StatusBehind {
			t.Fatalf("%+v", abandoned)
		}
		// The return is given up while its second attempt is delayed; the zone is to stay evacuated.
		if status := l.sendOrder("q", 2, "evacuate", "north"); status != 200 {
			t.Fatal(status)
		}
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
