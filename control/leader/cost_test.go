package leader

import (
	"fmt"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A change sends each replica the plan and one small additional record, regardless of how many
// changes came before, and the plan record that daemons cache doesn't grow.
func TestChangeReplicationCostIsBounded(t *testing.T) {
	l := startLeader(t, 0, nil)
	plan := fleetconfig.Plan{
		ID: "p", Number: 1, Tenants: []fleetconfig.Tenant{},
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
	for i := range 60 {
		plan.Routes = append(
			plan.Routes,
			fleetconfig.Route{
				Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/", Kind: fleetconfig.Safe,
				GiveUpMillis: 5000, Services: []fleetconfig.Share{{Service: "m", Weight: 1}},
			},
		)
	}
	callID := uint64(0)
	call := func(op string, body []byte) (group, daemons int) {
		callID++
		if status, result := l.call("p", callID, callID, op, body); status != 200 {
			t.Fatalf("%s %d: %d %s", op, callID, status, result)
		}
		for _, r := range l.lastSave {
			size := encodedSize(t, message.Message{Kind: message.KindReplicate, Records: []message.Record{r}})
			group += size
			if r.Key == fleetconfig.PlanKey {
				daemons += size
			}
		}
		return group, daemons
	}
	call("plan", leadercall.MustMarshal(plan))
	mean := func(n int) (group, daemons int) {
		for range n {
			r := plan.Routes[0]
			r.GiveUpMillis += int(callID % 2)
			g, d := call(
				"changes",
				leadercall.MustMarshal(fleetconfig.Changes{
					ID: fmt.Sprintf("%032x", callID*0x9E3779B97F4A7C15), Base: callID, Number: callID + 1,
					Changes: []fleetconfig.Change{{Op: "set-route", Route: &r}},
				}),
			)
			group, daemons = group+g, daemons+d
		}
		return group / n, daemons / n
	}
	_, first := mean(8)
	mean(100)
	group, daemons := mean(400)
	t.Logf("a change sends %d bytes to each replica, %d of them to each daemon (%d at first)", group, daemons, first)
	if daemons > first+first/20 || group-daemons > 800 {
		t.Errorf("a change sends %d bytes to each replica and %d to each daemon (%d at first)", group, daemons, first)
	}
}

// encodedSize returns the encoded size of a message on the wire.
func encodedSize(t *testing.T, m message.Message) int {
	t.Helper()
	b, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}
