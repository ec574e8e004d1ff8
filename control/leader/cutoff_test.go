package leader

import (
	"net/http"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A leader whose leader lease has expired by its own clock, and that doesn't know of
// another leader, answers every call with "not leader": it neither confirms nor refuses
// a call, and doesn't reject one as invalid.
func TestLeaderWithExpiredLeaseAnswersNoCall(t *testing.T) {
	l := startLeader(t, 0, nil)
	base := fleetconfig.Plan{ID: "one", Tenants: []fleetconfig.Tenant{}}
	plan, err := fleetconfig.EncodeCall(base)
	if err != nil {
		t.Fatal(err)
	}
	calls := []struct {
		op     string
		body   []byte
		status int // while the leader lease is valid
	}{
		{"plan", plan, 200},
		{"plan", leadercall.MustMarshal(fleetconfig.Plan{ID: "two"}), 409},
		{"plan", []byte("{"), 400},
		{"changes", leadercall.MustMarshal(fleetconfig.Changes{ID: "c", Base: 9}), 409},
		{"evacuate", []byte("north"), 200},
		{"seat", leadercall.MustMarshal(ReplicaCall{Out: "nobody"}), 409},
		{"no such call", nil, 400},
	}
	for i, call := range calls {
		if status, result := l.call("d", uint64(i+1), uint64(i+1), call.op, call.body); status != call.status {
			t.Errorf("%s, with a valid lease: %d %s, expected %d", call.op, status, result, call.status)
		}
	}
	l.now = l.controller.Partition().Replica.LeaseEnd()
	for i, call := range calls {
		id := uint64(i + 100)
		l.send("d", message.Call{RequestID: id, CallID: id, Op: call.op, Body: call.body})
		if len(l.answers) != 1 || l.answers[0].Status != leadercall.StatusNotLeader || len(l.answers[0].Body) > 0 {
			t.Errorf("%s, after the lease expired: %+v, expected %d", call.op, l.answers, http.StatusMisdirectedRequest)
		}
	}
	_, isServed := l.controller.Partition().Node.Get(l.now, fleetconfig.PlanKey)
	if isServed || l.controller.MayOrder(l.now, l.controller.Partition().Replica.Term()) {
		t.Error("after the lease expired, a record is served or orders may be sent")
	}
}
