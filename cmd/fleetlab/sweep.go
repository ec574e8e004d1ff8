package main

import (
	"fmt"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/sim"
)

// sweep runs many seeds of the simulated scenarios and prints every seed that broke a
// rule.
func sweep(scenarios string, firstSeed, seedCount int64) int {
	failures := 0
	for _, name := range scenarioNames(scenarios) {
		options, ok := sim.Scenarios[name]
		if !ok {
			return usageError("-sweep %q: unknown simulated scenario", name)
		}
		totals := sweepScenario(name, options, firstSeed, seedCount)
		totals.print(name, seedCount)
		failures += totals.broken
	}
	return exitCode(failures)
}

// scenarioNames splits and sorts a list of scenarios; "all" selects every one.
func scenarioNames(list string) []string {
	names := strings.Split(list, ",")
	if list == "all" {
		names = nil
		for name := range sim.Scenarios {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// sweepScenario runs the seeds of one scenario on all cores.
func sweepScenario(name string, options func(seed int64) sim.Options, firstSeed, seedCount int64) *sweepTotals {
	totals := newSweepTotals()
	seeds := seedsFrom(firstSeed, seedCount)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				totals.add(name, seed, sim.Run(options(seed)))
			}
		})
	}
	workers.Wait()
	return totals
}

func seedsFrom(first, count int64) <-chan int64 {
	seeds := make(chan int64)
	go func() {
		for seed := first; seed < first+count; seed++ {
			seeds <- seed
		}
		close(seeds)
	}()
	return seeds
}

// sweepTotals accumulates the results of a scenario's seeds.
type sweepTotals struct {
	mu sync.Mutex // protects the fields below while the seeds run

	broken                        int // number of seeds that broke a rule
	committed, refused, uncertain int // number of writes by outcome
	reads                         int
	faults                        map[string]int
	requests, refusals, plans     map[string]int
	withoutLeader, writeDuration  []time.Duration
}

func newSweepTotals() *sweepTotals {
	return &sweepTotals{
		faults:   map[string]int{},
		requests: map[string]int{},
		refusals: map[string]int{},
		plans:    map[string]int{},
	}
}

// add adds the result of one seed, and prints the seed if it broke a rule.
func (t *sweepTotals) add(scenario string, seed int64, r sim.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Broken) > 0 {
		t.broken++
		fmt.Printf("%s seed %d: %s (and %d more)\n", scenario, seed, r.Broken[0], len(r.Broken)-1)
	}
	t.committed += r.Yes
	t.refused += r.Never
	t.uncertain += r.Maybe
	t.reads += r.Reads
	addCounts(t.faults, r.Faults)
	addCounts(t.requests, r.Results)
	addCounts(t.refusals, r.Refusals)
	addCounts(t.plans, r.Plans)
	t.withoutLeader = append(t.withoutLeader, r.Gap)
	t.writeDuration = append(t.writeDuration, r.Waits...)
}

func (t *sweepTotals) print(scenario string, seedCount int64) {
	fmt.Printf("%-8s %d seeds, %d broken; writes: %d committed, %d refused, %d uncertain; %d reads; "+
		"simulated: write median %v 99th %v, longest without a leader median %v 99th %v; faults %v\n",
		scenario, seedCount, t.broken, t.committed, t.refused, t.uncertain, t.reads,
		quantile(t.writeDuration, 0.5), quantile(t.writeDuration, 0.99),
		quantile(t.withoutLeader, 0.5), quantile(t.withoutLeader, 0.99), t.faults)
	if len(t.requests) > 0 {
		fmt.Printf("         requests %v; refusals %v; plans %v\n", t.requests, t.refusals, t.plans)
	}
}

// addCounts adds the counts in from to those in total.
func addCounts(total, from map[string]int) {
	for name, count := range from {
		total[name] += count
	}
}

// quantile returns the value below which the fraction q of the durations lies. It sorts
// the slice.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[int(q*float64(len(durations)-1))].Round(durationRounded)
}
