package leader

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// listOf returns the body of a call with a list of decode servers; the server with ID leaving is leaving.
func listOf(version uint64, leaving string, ids ...string) []byte {
	list := fleetconfig.List{Version: version}
	for _, id := range ids {
		list.Servers = append(list.Servers, fleetconfig.Server{
			ID: id, Addr: "10.0.0." + id + ":1", Zone: "a", Capacity: 8, Role: placement.Decode, Leaving: id == leaving,
		})
	}
	return leadercall.MustMarshal(ServersCall{Service: "m", List: list})
}

// reconcile runs a round of reconciliation with an empty configuration.
func (l *testLeader) reconcile() Out {
	none := message.Record{Deleted: true, Version: message.Version{Term: 1, Seq: 1}}
	return l.controller.Reconcile(l.now, ClusterView{Plan: none, PlanValid: true, Zones: none, ZonesValid: true})
}

// The records of one round of placement are written together, so that each daemon is notified of them once.
func TestPlacementRecordsAreWrittenTogether(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.controller.cfg.Placement.MaxFailures = 3
	l.call("d", 1, 1, leadercall.OpServers, listOf(1, "", "1", "2", "3"))
	out := l.reconcile()
	if len(out.Saves) != 1 || len(out.Saves[0].Records) != 3 {
		t.Fatalf("saves %+v", out.Saves)
	}
	l.apply(out)
	for _, id := range []string{"1", "2", "3"} {
		if r, ok := placement.OpenServerRecord(l.readRecord(fleetconfig.ServerRecordKey("m", id))); !ok ||
			r.Status != placement.Up {
			t.Errorf("server %s: %+v %v", id, r, ok)
		}
	}
	if again := l.reconcile(); len(again.Saves) != 0 {
		t.Errorf("a round without changes wrote %+v", again.Saves)
	}
}

// The record of a leaving server is written concurrently with the list that names it as leaving, not after it,
// since either write may have to wait for an unresponsive daemon. A list older than the current one is ignored.
func TestLeavingServerRecordDoesNotWaitForList(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.controller.cfg.Placement.MaxFailures = 3
	l.call("d", 1, 1, leadercall.OpServers, listOf(5, "", "1", "2"))
	l.apply(l.reconcile())
	step := func(request uint64, body []byte) Out {
		frame := message.Call{RequestID: request, CallID: request, Op: leadercall.OpServers, Body: body}.Message(1)
		frame.From, frame.Addr, frame.Epoch = "d", "10.0.0.9:1", 1
		return l.controller.Step(l.now, frame)
	}
	l.now += time.Millisecond
	l.apply(step(2, listOf(4, "2", "1", "2")))
	if out := l.reconcile(); len(out.Saves) != 0 {
		t.Errorf("an older list caused writes %+v", out.Saves)
	}
	list := step(3, listOf(6, "1", "1", "2")) // not saved to disk yet
	if len(list.Saves) != 1 {
		t.Fatalf("saves of the list: %+v", list.Saves)
	}
	record := l.reconcile()
	if len(record.Saves) != 1 || len(record.Saves[0].Records) != 1 {
		t.Fatalf("saves while the list is pending: %+v", record.Saves)
	}
	written, _ := placement.OpenServerRecord(record.Saves[0].Records[0])
	if key := record.Saves[0].Records[0].Key; key != fleetconfig.ServerRecordKey("m", "1") || written.Status != placement.Leaving {
		t.Errorf("wrote %s: %+v", key, written)
	}
	l.apply(list)
	l.apply(record)
	if out := l.reconcile(); len(out.Saves) != 0 {
		t.Errorf("after both were committed, a round wrote %+v", out.Saves)
	}
}
