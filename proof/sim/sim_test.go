package sim

import (
	"fmt"
	"testing"
)

func sweep(t *testing.T, name string, from, to int64) (yes, reads int) {
	t.Helper()
	for seed := from; seed <= to; seed++ {
		r := Run(Scenarios[name](seed))
		for _, b := range r.Broken {
			t.Errorf("%s seed %d: %s", name, seed, b)
		}
		yes, reads = yes+r.Yes, reads+r.Reads
	}
	return yes, reads
}

func TestRulesHoldOverSeeds(t *testing.T) {
	for name := range Scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := int64(12)
			if name == "swaps" {
				n = 4
			}
			yes, reads := sweep(t, name, 1, n)
			if yes < 20*int(n) || reads < 300*int(n) {
				t.Errorf("too little happened: %d writes in force, %d reads", yes, reads)
			}
		})
	}
}

// Each sabotage breaks one thing that safety rests on; the checker must see it.
func TestCheckerCatchesSabotage(t *testing.T) {
	for what, name := range map[string]string{
		"nosync":     "kills",   // says saved before it is on disk
		"ackpurge":   "cuts",    // a purge is acknowledged and never done
		"drift":      "freezes", // clocks run further apart than the bound
		"nowait":     "cuts",    // a granter doesn't wait a lease out
		"nowaitvote": "kills",   // a restarted voter promises at once
		"standstill": "freezes", // the clock stops while its machine is suspended
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 60; seed++ {
				o := Scenarios[name](seed)
				o.Sabotage = what
				for _, b := range Run(o).Broken {
					t.Logf("seed %d: %s", seed, b)
					return
				}
			}
			t.Errorf("60 seeds and nothing seen")
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := Run(Default(3)), Run(Default(3))
	if fmt.Sprint(a.History) != fmt.Sprint(b.History) {
		t.Error("two runs of one seed differ")
	}
}
