package leader

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

const again = 5 * time.Second

// keeper is a leader that keeps orders for as long as they may be sent again, and
// daemons that send them there as control/leadercall does.
type keeper struct {
	*office
	no uint64
}

func openKeeper(t *testing.T, old *keeper) *keeper {
	t.Helper()
	if old == nil {
		d := &keeper{office: open(t, 0, nil)}
		d.m.orders.again = again
		return d
	}
	d := &keeper{office: open(t, 0, old.office), no: old.no}
	d.m.orders.again = again
	return d
}

// pass lets time pass, with the leader's works.
func (d *keeper) pass(long time.Duration) {
	for end := d.now + long; d.now < end; {
		d.step()
		d.carry(d.m.Reconcile(d.now, ClusterView{}))
	}
}

// try sends one try of a call, on a mark.
func (d *keeper) try(from string, ref uint64, op, zone string, on message.Version) (code int, mark message.Version) {
	d.t.Helper()
	d.no++
	d.back = nil
	d.carry(d.m.Step(d.now, message.Message{Kind: message.KindCall, From: from, Epoch: 1, Addr: "10.0.0.9:1", ResponseTo: ref, RequestID: d.no, Op: op, Body: []byte(zone), Version: on}))
	if len(d.back) != 1 {
		d.t.Fatalf("%s: answers %+v", op, d.back)
	}
	return d.back[0].Status, d.back[0].Version
}

var unknown = message.Version{Seq: 1 << 60}

// order sends a call until it is not behind.
func (d *keeper) order(from string, ref uint64, op, zone string) int {
	d.t.Helper()
	code, mark := d.try(from, ref, op, zone, unknown)
	if code == leadercall.StatusBehind {
		code, _ = d.try(from, ref, op, zone, mark)
	}
	return code
}

func (d *keeper) out(zone string) bool {
	return fleetconfig.OpenZones(d.read(fleetconfig.ZoneKey))[zone]
}

// An order that was taken and undone since, and comes again as another call, has
// no clear answer for as long as it may be a late repeat, whoever is leader; then
// it is a new order.
func TestAnUndoneOrderComesBackOnlyAsANewOne(t *testing.T) {
	for _, x := range []struct{ first, undo string }{{"evacuate", "return"}, {"return", "evacuate"}} {
		for _, moved := range []bool{false, true} {
			d := openKeeper(t, nil)
			if x.first == "return" {
				d.order("q", 1, "evacuate", "north")
				d.pass(2 * again)
			}
			for i, op := range []string{x.first, x.first, x.undo} { // the second is a repeat at once
				if code := d.order("p", uint64(10+i), op, "north"); code != 200 {
					t.Fatalf("%s: %d", op, code)
				}
			}
			if moved {
				d = openKeeper(t, d)
			}
			if code := d.order("r", 1, x.first, "north"); code != leadercall.StatusNotDone || d.out("north") != (x.undo == "evacuate") {
				t.Errorf("%s, leader changed %v: a late repeat: %d, out %v", x.first, moved, code, d.out("north"))
			}
			if code := d.order("r", 2, x.undo, "north"); code != 200 {
				t.Errorf("%s sent again: %d", x.undo, code)
			}
			if code := d.order("r", 3, "evacuate", "south"); code != 200 || !d.out("south") {
				t.Errorf("another zone: %d", code)
			}
			d.pass(again + time.Second)
			if code := d.order("r", 4, x.first, "north"); code != 200 || d.out("north") != (x.first == "evacuate") {
				t.Errorf("%s, leader changed %v: a new order later: %d, out %v", x.first, moved, code, d.out("north"))
			}
		}
	}
}

// An order that is too old to be sent again isn't taken for a late one by the
// next leader, which can't know its age.
func TestAnOldOrderIsForgottenBeforeTheNextLeader(t *testing.T) {
	d := openKeeper(t, nil)
	for i, op := range []string{"evacuate", "return"} {
		if code := d.order("p", uint64(i+1), op, "north"); code != 200 {
			t.Fatal(code)
		}
	}
	d.pass(2 * again)
	d = openKeeper(t, d)
	if code := d.order("q", 1, "evacuate", "north"); code != 200 || !d.out("north") {
		t.Errorf("a new order to a new leader: %d", code)
	}
}

// A try that was held up on its way, and was never carried out, does nothing
// once the zones are others than its caller was told.
func TestATryOnOlderZonesDoesNothing(t *testing.T) {
	d := openKeeper(t, nil)
	code, mark := d.try("p", 1, "evacuate", "north", unknown)
	if code != leadercall.StatusBehind || mark == (message.Version{}) {
		t.Fatalf("%d %v", code, mark)
	}
	// Its second try is held up; the same order comes through another daemon.
	if code := d.order("q", 1, "evacuate", "north"); code != 200 {
		t.Fatal(code)
	}
	if code := d.order("q", 2, "return", "north"); code != 200 {
		t.Fatal(code)
	}
	d.pass(4 * again)
	if code, _ := d.try("p", 1, "evacuate", "north", mark); code != leadercall.StatusBehind || d.out("north") {
		t.Errorf("a try that was held up: %d, north is out: %v", code, d.out("north"))
	}
}

// Orders that may be sent again are kept, and when there are very many no
// further one is taken rather than one forgotten.
func TestOrdersAreBoundedInMemory(t *testing.T) {
	d := openKeeper(t, nil)
	for i := range uint64(mostCalls + 20) {
		want := 200
		if i >= mostCalls {
			want = leadercall.StatusNotDone
		}
		if code := d.order("p", i+1, "evacuate", fmt.Sprint("zone-", i)); code != want {
			t.Fatalf("order %d: %d", i, code)
		}
	}
	if n := kept(t, d.read(callsKey)); n != mostCalls {
		t.Errorf("%d are kept", n)
	}
	d.pass(2 * again)
	if code := d.order("p", 9000, "evacuate", "late"); code != 200 {
		t.Errorf("later: %d", code)
	}
	if n := kept(t, d.read(callsKey)); n != keepCalls {
		t.Errorf("%d are kept later", n)
	}
}
