package main

import (
	"fmt"
	"time"

	"mulleinmast/proof/sim"
)

// Of the fleets that scale simulates.
const (
	scaleLength     = 25 * time.Second
	scaleCalm       = time.Second
	treeSeconds     = 130 // simulated by sim.Tree
	leaders         = 2   // over which the messages into the leaders are averaged
	crowdShare      = 3   // of the fault crowd
	durationRounded = 10 * time.Microsecond
)

// scale runs healthy fleets of growing size, flat and with relays, and reports
// what reaches the leaders and how long a write waits for its invalidation.
func scale(seed int64) int {
	for _, size := range []int{9, 30, 90, 180} {
		for _, flat := range []bool{true, false} {
			scaleHealthy(seed, size, flat)
		}
	}
	for _, static := range []bool{true, false} {
		scaleSlowRelays(seed, static)
	}
	scaleCrowds(seed)
	return exitPassed
}

// scaleHealthy simulates a fleet without faults.
func scaleHealthy(seed int64, size int, flat bool) {
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
	fmt.Printf("%3d daemons, %-6s: %6.1f notes a second into each leader, %5.1f invalidations a write, "+
		"write median %v 99th %v, %d rules broken\n",
		size, shape, float64(r.RootMessages)/scaleLength.Seconds()/leaders,
		float64(r.Invalidations)/float64(max(1, r.Yes)), quantile(r.Waits, 0.5), quantile(r.Waits, 0.99), len(r.Broken))
}

// scaleSlowRelays simulates far zones one of which has slow relays for a while.
func scaleSlowRelays(seed int64, static bool) {
	r := sim.Run(sim.Tree(seed, static))
	fmt.Printf("18 daemons in 3 far zones, one zone's relays slow for 40 s, static %v: "+
		"%d joins and %d splits told, renewal in that zone meanwhile %v, "+
		"%.1f notes a second into each leader, %d rules broken\n",
		static, r.Steers["join"], r.Steers["split"], r.Renewal.Round(durationRounded),
		float64(r.RootMessages)/treeSeconds/leaders, len(r.Broken))
}

// scaleCrowds simulates crowds of requests whose clients come back when told to.
func scaleCrowds(seed int64) {
	o := sim.Scenarios["servers"](seed)
	o.Faults, o.Back = map[string]float64{"crowd": crowdShare}, true
	r := sim.Run(o)
	fmt.Printf("crowds of 12 times the usual rate: %d requests refused came back when told to, %d of them served; "+
		"whole answers by tenant %v of %v sent in crowds; %d rules broken\n",
		r.Returned, r.Helped, r.Served, r.Sent, len(r.Broken))
}
