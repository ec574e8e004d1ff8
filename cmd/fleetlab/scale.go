package main

import (
	"fmt"
	"time"

	"mulleinmast/proof/sim"
)

// Parameters of the simulated fleets.
const (
	scaleLength     = 25 * time.Second
	scaleCalm       = time.Second
	treeSeconds     = 130 // simulated time of sim.Tree
	leaders         = 2   // number of leaders to average the received messages over
	crowdShare      = 3   // weight of the fault "crowd"
	durationRounded = 10 * time.Microsecond
)

// scale simulates healthy fleets of growing size, without and with relays, and prints
// the message rate at the leaders and how long writes wait for invalidations. It also
// simulates slow relays and crowds of requests.
func scale(seed int64) int {
	for _, size := range []int{9, 30, 90, 180} {
		for _, flat := range []bool{true, false} {
			simulateHealthyFleet(seed, size, flat)
		}
	}
	for _, static := range []bool{true, false} {
		simulateSlowRelays(seed, static)
	}
	simulateCrowds(seed)
	return exitPassed
}

// simulateHealthyFleet simulates a fleet without faults; flat disables relays.
func simulateHealthyFleet(seed int64, size int, flat bool) {
	o := sim.Default(seed)
	o.Zones = []int{size / 3, size / 3, size / 3}
	o.Faults = nil
	o.Length = scaleLength
	o.Calm = scaleCalm
	o.Clean = true
	o.Flat = flat
	r := sim.Run(o)
	shape := "relays"
	if flat {
		shape = "flat"
	}
	fmt.Printf("%3d daemons, %-6s: %6.1f messages per second into each leader, %5.1f invalidations per write, "+
		"write median %v 99th %v, %d rules broken\n",
		size, shape, float64(r.RootMessages)/scaleLength.Seconds()/leaders,
		float64(r.Invalidations)/float64(max(1, r.Yes)), quantile(r.Waits, 0.5), quantile(r.Waits, 0.99), len(r.Broken))
}

// simulateSlowRelays simulates a fleet in distant zones; the relays of one zone are slow for 40 s.
func simulateSlowRelays(seed int64, static bool) {
	r := sim.Run(sim.Tree(seed, static))
	fmt.Printf("18 daemons in 3 far zones, one zone's relays slow for 40 s, static %v: "+
		"%d join and %d split messages, mean renewal time in that zone %v, "+
		"%.1f messages per second into each leader, %d rules broken\n",
		static, r.Steers["join"], r.Steers["split"], r.Renewal.Round(durationRounded),
		float64(r.RootMessages)/treeSeconds/leaders, len(r.Broken))
}

// simulateCrowds simulates bursts of requests whose clients retry refused requests after
// the delay that the refusal names.
func simulateCrowds(seed int64) {
	o := sim.Scenarios["servers"](seed)
	o.Faults, o.Back = map[string]float64{"crowd": crowdShare}, true
	r := sim.Run(o)
	fmt.Printf("crowds at 12 times the usual rate: %d refused requests were retried when told to, %d of them served; "+
		"complete answers by tenant %v of %v sent in crowds; %d rules broken\n",
		r.Returned, r.Helped, r.Served, r.Sent, len(r.Broken))
}
