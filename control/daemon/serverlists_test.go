package daemon

import (
	"context"
	"testing"

	"mulleinmast/control/fleetconfig"
)

type fakeSource struct{}

// List names one server that is leaving.
func (fakeSource) List(context.Context) (map[string][]fleetconfig.Server, error) {
	return map[string][]fleetconfig.Server{
		"timetable": {{Addr: "10.0.0.9:80", Zone: "north", Capacity: 1, Leaving: true}},
	}, nil
}

// While a plan is being written it can't be read at its leader, and in a row of
// changes that is nearly always so: the servers' lists go on all the same.
func TestListsDoNotWaitForAPlan(t *testing.T) {
	d := openIsolated(t, func(*Config) {})
	d.ServerSource = fakeSource{}
	if _, ok := d.Read(0, fleetconfig.PlanKey); ok {
		t.Fatal("the plan can be read")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // nobody answers here: what counts is that the list was sent
	lists := newListWriter(1, nil)
	if d.pullServerLists(ctx, lists); lists.sequence != 1 {
		t.Errorf("%d lists sent, expected 1", lists.sequence)
	}
}
