package placement

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
)

// If the last server of a side leaves, a server of the other side takes its role,
// because nothing is served without a decode server. The last decode server is not
// shifted to prefill.
func TestVacantSideGetsServer(t *testing.T) {
	leave := func(fleet *listedFleet, id string) {
		fleet.set(id, func(e *fleetconfig.Server) { e.Leaving = true })
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
		fleet := newListedFleet(t, test.prefill, test.decode, fleetconfig.Service{})
		fleet.advance(10 * time.Second)
		leave(fleet, test.leave)
		fleet.advance(20 * time.Second)
		if fleet.countInUse(Prefill) != test.wantPrefill || fleet.countInUse(Decode) != test.wantDecode {
			t.Errorf(
				"%s leaves: %d prefill and %d decode servers in use, expected %d and %d; orders %v", test.name,
				fleet.countInUse(Prefill), fleet.countInUse(Decode), test.wantPrefill, test.wantDecode, fleet.orders,
			)
		}
	}
}

// No server is shifted to a side that has a warming server, since the warming server will be in use soon.
func TestWarmingServerFillsItsSide(t *testing.T) {
	fleet := newListedFleet(t, 1, 1, fleetconfig.Service{})
	fleet.advance(10 * time.Second)
	fleet.add(Decode, true)
	fleet.advance(time.Second)
	fleet.set("s1", func(e *fleetconfig.Server) { e.Leaving = true })
	fleet.advance(10 * time.Second)
	if len(fleet.shifts) > 0 || fleet.countInUse(Prefill) != 1 {
		t.Errorf("shifts at %v, %d prefill servers in use", fleet.shifts, fleet.countInUse(Prefill))
	}
}
