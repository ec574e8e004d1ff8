package daemon

import (
	"io"
	"testing"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/invariant"
	"mulleinmast/control/placement"
)

// An order with a lower fence than an earlier one is rejected and counted.
func TestLowerFenceIsRefused(t *testing.T) {
	s := &shard{}
	for _, fence := range []uint64{7, 7, 9} {
		if !s.checkFence(placement.Order{Term: fence}) {
			t.Errorf("fence %d was rejected", fence)
		}
	}
	before := fenceMonotonic.Count()
	if s.checkFence(placement.Order{Term: 8}) || fenceMonotonic.Count() != before+1 {
		t.Errorf("fence 8 after 9: %d violations counted", fenceMonotonic.Count()-before)
	}
	fenceMonotonic.Discount(1)
}

// A save that is reported as done after a later one is counted as a violation.
func TestSavesOutOfOrderAreCounted(t *testing.T) {
	s := &shard{}
	for _, save := range []uint64{1, 2, 5} {
		s.checkSaveOrder(save)
	}
	before := savesInOrder.Count()
	if s.checkSaveOrder(4); savesInOrder.Count() != before+1 {
		t.Errorf("save 4 after 5: %d violations counted", savesInOrder.Count()-before)
	}
	savesInOrder.Discount(1)
}

// An invariant violation is logged in addition to being counted.
func TestViolationsAreLogged(t *testing.T) {
	events := eventlog.New(8, io.Discard)
	defer LogViolations(events)()
	check := invariant.New("test_logged", "nothing is odd")
	check.Hold(false, "%d is odd", 3)
	check.Discount(1)
	lines := events.Since(0)
	if len(lines) != 1 || lines[0].Kind != "trouble invariant" || lines[0].Text != "3 is odd check=test_logged" {
		t.Errorf("logged: %+v", lines)
	}
}
