package main

import (
	"fmt"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/sim"
)

// sweep runs many seeds of the simulated scenarios and names every seed that
// broke a rule.
func sweep(kinds string, from, count int64) int {
	names := strings.Split(kinds, ",")
	if kinds == "all" {
		names = nil
		for n := range sim.Scenarios {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	bad := 0
	for _, name := range names {
		options, ok := sim.Scenarios[name]
		if !ok {
			_, _ = fmt.Fprintf(os.Stderr, "fleetlab: -sweep %q: no such simulated scenario\n", name)
			return 2
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		seeds := numbers(from, count)
		broken := 0
		var yes, never, maybe, reads int
		faults := map[string]int{}
		results, refusals, plans := map[string]int{}, map[string]int{}, map[string]int{}
		var gap, wait []time.Duration
		for i := 0; i < runtime.GOMAXPROCS(0); i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for seed := range seeds {
					r := sim.Run(options(seed))
					mu.Lock()
					if len(r.Broken) > 0 {
						broken++
						fmt.Printf("%s seed %d: %s (and %d more)\n", name, seed, r.Broken[0], len(r.Broken)-1)
					}
					yes, never, maybe, reads = yes+r.Yes, never+r.Never, maybe+r.Maybe, reads+r.Reads
					sum(faults, r.Faults)
					sum(results, r.Results)
					sum(refusals, r.Refusals)
					sum(plans, r.Plans)
					gap = append(gap, r.Gap)
					wait = append(wait, r.Waits...)
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		fmt.Printf("%-8s %d seeds, %d broken; writes: %d in force, %d refused, %d uncertain; %d reads; simulated: write median %v 99th %v, longest without a leader median %v 99th %v; faults %v\n",
			name, count, broken, yes, never, maybe, reads, at(wait, 0.5), at(wait, 0.99), at(gap, 0.5), at(gap, 0.99), faults)
		if len(results) > 0 {
			fmt.Printf("         requests %v; refusals %v; plans %v\n", results, refusals, plans)
		}
		bad += broken
	}
	if bad > 0 {
		return 1
	}
	return 0
}

func sum(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

func numbers(from, count int64) chan int64 {
	c := make(chan int64)
	go func() {
		for s := from; s < from+count; s++ {
			c <- s
		}
		close(c)
	}()
	return c
}

func at(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[int(q*float64(len(list)-1))].Round(10 * time.Microsecond)
}

// scale runs healthy fleets of growing size, flat and with relays, and reports
// what reaches the leaders and how long a write waits for its invalidation.
func scale(seed int64) int {
	for _, size := range []int{9, 30, 90, 180} {
		for _, flat := range []bool{true, false} {
			o := sim.Default(seed)
			o.Zones, o.Faults, o.Length, o.Calm, o.Clean, o.Flat = []int{size / 3, size / 3, size / 3}, nil, 25*time.Second, time.Second, true, flat
			r := sim.Run(o)
			shape := "relays"
			if flat {
				shape = "flat"
			}
			fmt.Printf("%3d daemons, %-6s: %6.1f notes a second into each leader, %5.1f invalidations a write, write median %v 99th %v, %d rules broken\n",
				size, shape, float64(r.RootMessages)/25/2, float64(r.Invalidations)/float64(max(1, r.Yes)), at(r.Waits, 0.5), at(r.Waits, 0.99), len(r.Broken))
		}
	}
	for _, static := range []bool{true, false} {
		r := sim.Run(sim.Tree(seed, static))
		fmt.Printf("18 daemons in 3 far zones, one zone's relays slow for 40 s, static %v: %d joins and %d splits told, renewal in that zone meanwhile %v, %.1f notes a second into each leader, %d rules broken\n",
			static, r.Steers["join"], r.Steers["split"], r.Renewal.Round(10*time.Microsecond), float64(r.RootMessages)/130/2, len(r.Broken))
	}
	o := sim.Scenarios["servers"](seed)
	o.Faults, o.Back = map[string]float64{"crowd": 3}, true
	r := sim.Run(o)
	fmt.Printf("crowds of 12 times the usual rate: %d requests refused came back when told to, %d of them served; whole answers by tenant %v of %v sent in crowds; %d rules broken\n",
		r.Returned, r.Helped, r.Served, r.Sent, len(r.Broken))
	return 0
}
