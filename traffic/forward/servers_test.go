package forward

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
)

// Leases that lapse and come back change no record, so Generation stays as it was: the
// servers are read again all the same, as they were dropped in between.
func TestServersComeBackWithTheLeases(t *testing.T) {
	now := time.Second
	src := &records{now: &now, until: 2 * time.Second, gen: 1, list: []fleetconfig.Server{{ID: "a", Addr: "10.0.0.1:1", Zone: "z", Capacity: 8}}, part: map[string]string{"a": placement.Decode}}
	l := New(Config{RetryWindow: time.Second}, "s", 1, src, nil)
	for i, x := range []struct {
		now, until time.Duration
		gen        uint64
		held, ok   bool
	}{
		{time.Second, 2 * time.Second, 1, false, true},
		{3 * time.Second, 2 * time.Second, 1, false, false}, // lapsed
		{4 * time.Second, 5 * time.Second, 1, false, true},
		{4 * time.Second, 5 * time.Second, 2, true, false}, // being written
		{4 * time.Second, 5 * time.Second, 2, true, false},
		{6 * time.Second, 9 * time.Second, 3, false, true},
		{7 * time.Second, 9 * time.Second, 3, false, true},
	} {
		now, src.until, src.gen, src.held = x.now, x.until, x.gen, x.held
		if ok := l.refreshServers(now); ok != x.ok || ok && len(l.Servers()) != 1 {
			t.Errorf("%d: stands %v, servers %v", i, ok, l.Servers())
		}
	}
}
