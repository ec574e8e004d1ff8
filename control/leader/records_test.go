package leader

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// listOf is a list of decode servers, of which some leave.
func listOf(version uint64, leaving string, ids ...string) []byte {
	list := fleetconfig.List{Version: version}
	for _, id := range ids {
		list.Servers = append(list.Servers, fleetconfig.Server{
			ID: id, Addr: "10.0.0." + id + ":1", Zone: "a", Capacity: 8, Role: placement.Decode, Leaving: id == leaving,
		})
	}
	return leadercall.Pack(ServersCall{Service: "m", List: list})
}

// reconcile runs a round of placement with an empty configuration in force.
func (l *testLeader) reconcile() Out {
	none := message.Record{Deleted: true, Version: message.Version{Term: 1, Seq: 1}}
	return l.controller.Reconcile(l.now, ClusterView{Plan: none, PlanValid: true, Zones: none, ZonesValid: true})
}

// The records of one round of placement are one write, so that each daemon hears of them at once.
func TestTheRecordsOfARoundAreOneWrite(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.controller.cfg.Placement.MaxFailures = 3
	l.call("d", 1, 1, leadercall.OpServers, listOf(1, "", "1", "2", "3"))
	out := l.reconcile()
	if len(out.Saves) != 1 || len(out.Saves[0].Records) != 3 {
		t.Fatalf("saves %+v", out.Saves)
	}
	l.carryOut(out)
	for _, id := range []string{"1", "2", "3"} {
		if r, ok := placement.OpenServerRecord(l.read(fleetconfig.ServerRecordKey("m", id))); !ok || r.Status != placement.Up {
			t.Errorf("server %s: %+v %v", id, r, ok)
		}
	}
	if again := l.reconcile(); len(again.Saves) != 0 {
		t.Errorf("a round in which nothing changed writes %+v", again.Saves)
	}
}

// The record of a server that leaves is written beside the list that says so, not after it: either
// may have to wait for a daemon that doesn't answer. A list that is older than the one in force says nothing.
func TestALeavingServersRecordDoesNotWaitForTheList(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.controller.cfg.Placement.MaxFailures = 3
	l.call("d", 1, 1, leadercall.OpServers, listOf(5, "", "1", "2"))
	l.carryOut(l.reconcile())
	step := func(request uint64, body []byte) Out {
		frame := message.Call{RequestID: request, CallID: request, Op: leadercall.OpServers, Body: body}.Message(1)
		frame.From, frame.Addr, frame.Epoch = "d", "10.0.0.9:1", 1
		return l.controller.Step(l.now, frame)
	}
	l.now += time.Millisecond
	l.carryOut(step(2, listOf(4, "2", "1", "2")))
	if out := l.reconcile(); len(out.Saves) != 0 {
		t.Errorf("by an older list it writes %+v", out.Saves)
	}
	list := step(3, listOf(6, "1", "1", "2")) // its disk isn't asked yet
	if len(list.Saves) != 1 {
		t.Fatalf("the list: %+v", list.Saves)
	}
	record := l.reconcile()
	if len(record.Saves) != 1 || len(record.Saves[0].Records) != 1 {
		t.Fatalf("beside the list: %+v", record.Saves)
	}
	written, _ := placement.OpenServerRecord(record.Saves[0].Records[0])
	if key := record.Saves[0].Records[0].Key; key != fleetconfig.ServerRecordKey("m", "1") || written.Status != placement.Leaving {
		t.Errorf("%s is written: %+v", key, written)
	}
	l.carryOut(list)
	l.carryOut(record)
	if out := l.reconcile(); len(out.Saves) != 0 {
		t.Errorf("once both are in force it writes %+v", out.Saves)
	}
}
