package daemon

import (
	"context"
	"testing"

	"mulleinmast/control/fleetconfig"
)

type oneList struct{}

// List names one server that is leaving.
func (oneList) List(context.Context) (map[string][]fleetconfig.Server, error) {
	return map[string][]fleetconfig.Server{"timetable": {{Addr: "10.0.0.9:80", Zone: "north", Capacity: 1, Leaving: true}}}, nil
}

// While a plan is being written it can't be read at its leader, and in a row of
// changes that is nearly always so: the servers' lists go on all the same.
func TestListsDoNotWaitForAPlan(t *testing.T) {
	c := alone(t, func(*Config) {})
	c.ServerSource = oneList{}
	if _, ok := c.Read(0, fleetconfig.PlanKey); ok {
		t.Fatal("the plan can be read")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nobody answers here: what counts is that the list was handed on
	lists := newListWriter(1, nil)
	if c.pullServerLists(ctx, lists); lists.sequence != 1 {
		t.Errorf("%d lists handed on, expected 1", lists.sequence)
	}
}
