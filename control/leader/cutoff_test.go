package leader

import (
	"net/http"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A leader whose leader lease has lapsed by its own clock, and that nobody has
// told so, says to every call that it is not the leader: it confirms nothing,
// refuses nothing, and finds no fault with a call either.
func TestALapsedLeaderSaysNothing(t *testing.T) {
	a := open(t, 0, nil)
	base := fleetconfig.Plan{ID: "one", Tenants: []fleetconfig.Tenant{}}
	plan, err := fleetconfig.EncodeCall(base)
	if err != nil {
		t.Fatal(err)
	}
	calls := []struct {
		op   string
		body []byte
		code int // from the leader
	}{
		{"plan", plan, 200},
		{"plan", leadercall.Pack(fleetconfig.Plan{ID: "two"}), 409},
		{"plan", []byte("{"), 400},
		{"changes", leadercall.Pack(fleetconfig.Changes{ID: "c", Base: 9}), 409},
		{"evacuate", []byte("north"), 200},
		{"seat", leadercall.Pack(ReplicaCall{Out: "nobody"}), 409},
		{"no such call", nil, 400},
	}
	for i, x := range calls {
		if code, word := a.call("d", uint64(i+1), uint64(i+1), x.op, x.body); code != x.code {
			t.Errorf("%s, by the leader: %d %s, expected %d", x.op, code, word, x.code)
		}
	}
	a.now = a.m.Partition().Replica.LeaseEnd()
	for i, x := range calls {
		n := message.Message{Kind: message.KindCall, Partition: 0, From: "d", Epoch: 1, Addr: "10.0.0.9:1", ResponseTo: uint64(i + 100), RequestID: uint64(i + 100), Op: x.op, Body: x.body}
		a.back = nil
		if a.carry(a.m.Step(a.now, n)); len(a.back) != 1 || a.back[0].Status != leadercall.StatusNotLeader || len(a.back[0].Body) > 0 {
			t.Errorf("%s, after the lease: %+v, expected %d", x.op, a.back, http.StatusMisdirectedRequest)
		}
	}
	if _, ok := a.m.Partition().Node.Get(a.now, fleetconfig.PlanKey); ok || a.m.MayOrder(a.now, a.m.Partition().Replica.Term()) {
		t.Error("after the lease a record is served or an order may go out")
	}
}
