package leader

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

const repeatWindow = 5 * time.Second

// orderLeader is a leader that remembers orders for as long as they may be sent again, and
// the daemons that send them there as control/leadercall does.
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

// pass lets time pass, and has the leader reconcile.
func (l *orderLeader) pass(long time.Duration) {
	for end := l.now + long; l.now < end; {
		l.tick()
		l.carryOut(l.controller.Reconcile(l.now, ClusterView{}))
	}
}

// try sends one try of a call, on a basis.
func (l *orderLeader) try(from string, callID uint64, op, zone string, basis message.Version) message.CallResult {
	l.t.Helper()
	l.lastRequest++
	l.send(from, message.Call{RequestID: l.lastRequest, CallID: callID, Op: op, Body: []byte(zone), Basis: basis})
	if len(l.answers) != 1 {
		l.t.Fatalf("%s: answers %+v", op, l.answers)
	}
	return l.answers[0].AsCallResult()
}

// unknownBasis is that of a call that was named none yet.
var unknownBasis = message.Version{Seq: 1 << 60}

// order sends a call until it is not behind, and returns the status that it is answered.
func (l *orderLeader) order(from string, callID uint64, op, zone string) int {
	l.t.Helper()
	result := l.try(from, callID, op, zone, unknownBasis)
	if result.Status == leadercall.StatusBehind {
		result = l.try(from, callID, op, zone, result.Basis)
	}
	return result.Status
}

// An order that was accepted and undone since, and comes again as another call, has
// no clear answer for as long as it may be a late repeat, whoever is leader; then
// it is a new order.
func TestAnUndoneOrderComesBackOnlyAsANewOne(t *testing.T) {
	for _, test := range []struct{ first, undo string }{{"evacuate", "return"}, {"return", "evacuate"}} {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader changed %v", test.first, leaderChanges), func(t *testing.T) {
				l := startOrderLeader(t, nil)
				if test.first == "return" {
					l.order("q", 1, "evacuate", "north")
					l.pass(2 * repeatWindow)
				}
				for i, op := range []string{test.first, test.first, test.undo} { // the second is a repeat at once
					if status := l.order("p", uint64(10+i), op, "north"); status != 200 {
						t.Fatalf("%s: %d", op, status)
					}
				}
				if leaderChanges {
					l = startOrderLeader(t, l)
				}
				status, out := l.order("r", 1, test.first, "north"), l.isEvacuated("north")
				if status != leadercall.StatusNotDone || out != (test.undo == "evacuate") {
					t.Errorf("a late repeat: %d, out %v", status, out)
				}
				if status := l.order("r", 2, test.undo, "north"); status != 200 {
					t.Errorf("%s sent again: %d", test.undo, status)
				}
				if status := l.order("r", 3, "evacuate", "south"); status != 200 || !l.isEvacuated("south") {
					t.Errorf("another zone: %d", status)
				}
				l.pass(repeatWindow + time.Second)
				status, out = l.order("r", 4, test.first, "north"), l.isEvacuated("north")
				if status != 200 || out != (test.first == "evacuate") {
					t.Errorf("a new order later: %d, out %v", status, out)
				}
			})
		}
	}
}

// An order that is too old to be sent again isn't taken for a late one by the
// next leader, which can't know its age.
func TestAnOldOrderIsForgottenBeforeTheNextLeader(t *testing.T) {
	l := startOrderLeader(t, nil)
	for i, op := range []string{"evacuate", "return"} {
		if status := l.order("p", uint64(i+1), op, "north"); status != 200 {
			t.Fatal(status)
		}
	}
	l.pass(2 * repeatWindow)
	l = startOrderLeader(t, l)
	if status := l.order("q", 1, "evacuate", "north"); status != 200 || !l.isEvacuated("north") {
		t.Errorf("a new order to a new leader: %d", status)
	}
}

// A try that was held up on its way, and was never carried out, does nothing
// once the zones are others than its caller was named.
func TestATryOnOlderZonesDoesNothing(t *testing.T) {
	l := startOrderLeader(t, nil)
	first := l.try("p", 1, "evacuate", "north", unknownBasis)
	if first.Status != leadercall.StatusBehind || first.Basis == (message.Version{}) {
		t.Fatalf("%+v", first)
	}
	// Its second try is held up; the same order comes through another daemon.
	if status := l.order("q", 1, "evacuate", "north"); status != 200 {
		t.Fatal(status)
	}
	if status := l.order("q", 2, "return", "north"); status != 200 {
		t.Fatal(status)
	}
	l.pass(4 * repeatWindow)
	late := l.try("p", 1, "evacuate", "north", first.Basis)
	if late.Status != leadercall.StatusBehind || l.isEvacuated("north") {
		t.Errorf("a try that was held up: %d, north is out: %v", late.Status, l.isEvacuated("north"))
	}
}

// Orders that may be sent again are kept, and when there are very many no
// further one is accepted rather than one forgotten.
func TestOrdersAreBoundedInMemory(t *testing.T) {
	l := startOrderLeader(t, nil)
	for i := range uint64(maxPastCalls + 20) {
		want := 200
		if i >= maxPastCalls {
			want = leadercall.StatusNotDone
		}
		if status := l.order("p", i+1, "evacuate", fmt.Sprint("zone-", i)); status != want {
			t.Fatalf("order %d: %d", i, status)
		}
	}
	if n := l.countPastCalls(); n != maxPastCalls {
		t.Errorf("%d are kept", n)
	}
	l.pass(2 * repeatWindow)
	if status := l.order("p", 9000, "evacuate", "late"); status != 200 {
		t.Errorf("later: %d", status)
	}
	if n := l.countPastCalls(); n != keptPastCalls {
		t.Errorf("%d are kept later", n)
	}
}
