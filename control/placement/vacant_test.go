package placement

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Where the last server of a side leaves, is lost or falls silent, another takes
// its role: without a decode server nothing is served.
func TestASideWithoutServersGetsOne(t *testing.T) {
	leave := func(s *listedFleet, id string) {
		s.set(id, func(e *fleetconfig.Server) { e.Leaving = true })
	}
	for _, test := range []struct {
		name            string
		prefill, decode int
		leave           string
		wantPrefill     int
		wantDecode      int
	}{
		{"the only decode server of three", 2, 1, "s2", 1, 1},
		{"the only decode server of two", 1, 1, "s1", 0, 1},
		{"the only prefill server of three", 1, 2, "s0", 1, 1},
		{"the only prefill server of two", 1, 1, "s0", 0, 1},
		{"one of two decode servers", 1, 2, "s2", 1, 1},
	} {
		s := newListedFleet(t, test.prefill, test.decode, fleetconfig.Service{})
		s.run(10 * time.Second)
		leave(s, test.leave)
		s.run(20 * time.Second)
		if s.countInUse(Prefill) != test.wantPrefill || s.countInUse(Decode) != test.wantDecode {
			t.Errorf(
				"%s leaves: %d prefill and %d decode servers in use, expected %d and %d; orders %v", test.name,
				s.countInUse(Prefill), s.countInUse(Decode), test.wantPrefill, test.wantDecode, s.orders,
			)
		}
	}
}

// A server that warms up is there soon: nothing is shifted for its sake.
func TestAServerThatWarmsUpFillsItsSide(t *testing.T) {
	s := newListedFleet(t, 1, 1, fleetconfig.Service{})
	s.run(10 * time.Second)
	s.add(Decode, true)
	s.run(time.Second)
	s.set("s1", func(e *fleetconfig.Server) { e.Leaving = true })
	s.run(10 * time.Second)
	if len(s.shifts) > 0 || s.countInUse(Prefill) != 1 {
		t.Errorf("shifts at %v, %d prefill servers in use", s.shifts, s.countInUse(Prefill))
	}
}
