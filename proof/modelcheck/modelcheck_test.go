package modelcheck

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// The invariants hold in every state within the small scopes.
func TestSmallScopesKeepInvariants(t *testing.T) {
	for _, s := range Small {
		if r := Explore(s); r.Broken != "" || !r.Complete {
			t.Error(r)
		} else {
			t.Log(r)
		}
	}
}

// The invariants hold in the walks of a few seeds, and the walks make progress.
func TestWalksKeepInvariants(t *testing.T) {
	acked, terms, copies := 0, 0, 0
	for seed := int64(1); seed <= 3; seed++ {
		for _, k := range Walks(seed, 2500) {
			r := k.Go()
			copies += r.Copies
			if acked, terms = acked+r.Acked, terms+r.Terms; r.Broken != "" {
				t.Error(r)
			}
		}
	}
	if acked < 30 || terms < 60 || copies < 3 {
		t.Errorf("%d changes acknowledged under %d terms, %d older copies started: the walks make too little progress",
			acked, terms, copies)
	}
	t.Logf("%d changes acknowledged, %d terms, %d older copies started", acked, terms, copies)
}

// Each planted fault violates an invariant in one of a few walks. The log shows which one,
// and after how many events.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for _, p := range plantedFaults {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 20; seed++ {
				for _, k := range Walks(seed, 3000) {
					k.Setup.Fault = p
					if r := k.Go(); r.Broken != "" {
						t.Logf("%s, after %d events: %s", r.Name, r.Events, r.Broken)
						return
					}
				}
			}
			t.Error("no walk violates an invariant")
		})
	}
}

// The explorer detects a planted fault and reports the shortest trace to it. A second run
// gives the same result.
func TestShortestTraceIsReported(t *testing.T) {
	s := Scope{
		Name: "planted", Setup: Setup{Replicas: 3, Fault: ignoredBase},
		Bounds: Bounds{Write: 2, Crash: 1}, Total: 3, Depth: 12,
	}
	r := Explore(s)
	if !strings.HasPrefix(r.Broken, "one change on a base") || r.Events > 6 || len(r.Trace) < 4 || r.Complete {
		t.Errorf("two changes on one base need six events (two requests and four rounds of messages): %v", r)
	}
	if again := Explore(s); again.Broken != r.Broken || again.States != r.States || !slices.Equal(again.Trace, r.Trace) {
		t.Errorf("second run: %v, first run: %v", again, r)
	}
}

// Applying an event to a fork must not modify the original state.
func TestForksAreIndependent(t *testing.T) {
	w := newWorld(&Setup{Replicas: 3, Standbys: 1, Caches: 1, Tree: true})
	rng := rand.New(rand.NewSource(1))
	for n := 0; n < 300; n++ {
		before := w.hash()
		for range 4 {
			fork := w.fork()
			if e, ok := fork.randomEvent(rng, newEventWeights(rng)); ok {
				fork.apply(e)
			}
		}
		for _, d := range w.daemons {
			d.cachedHash = 0 // force a new hash
		}
		if w.hash() != before {
			t.Fatalf("after %d steps: an event in a fork changed the original state", n)
		}
		w = w.fork()
		w.step()
	}
}
