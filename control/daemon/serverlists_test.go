package daemon

import (
	"context"
	"testing"

	"mulleinmast/control/fleetconfig"
)

type fakeSource struct{}

// List returns one server, which is leaving.
func (fakeSource) List(context.Context) (map[string][]fleetconfig.Server, error) {
	return map[string][]fleetconfig.Server{
		"timetable": {{Addr: "10.0.0.9:80", Zone: "north", Capacity: 1, Leaving: true}},
	}, nil
}

// While a plan is being written, which is nearly always the case during a series of changes, its
// leader can't read it. The leader writes the lists of servers nevertheless.
func TestServerListsDoNotWaitForPlan(t *testing.T) {
	d := openIsolated(t, func(*Config) {})
	d.ServerSource = fakeSource{}
	if _, ok := d.Read(0, fleetconfig.PlanKey); ok {
		t.Fatal("the plan is readable")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // no leader answers here; the test only checks that the list is sent
	lists := newListWriter(1, nil)
	if d.pullServerLists(ctx, lists); lists.sequence != 1 {
		t.Errorf("%d lists sent, expected 1", lists.sequence)
	}
}
