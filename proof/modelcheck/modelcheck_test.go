package modelcheck

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// Every state within the small bounds keeps the invariants.
func TestSmallBounds(t *testing.T) {
	for _, s := range Small {
		if r := Explore(s); r.Broken != "" || !r.Whole {
			t.Error(r)
		} else {
			t.Log(r)
		}
	}
}

// Walks of some named seeds keep them, and get somewhere.
func TestWalks(t *testing.T) {
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
		t.Errorf("%d changes acknowledged under %d terms, %d older copies started: the walks get nowhere",
			acked, terms, copies)
	}
	t.Logf("%d changes acknowledged, %d terms, %d older copies started", acked, terms, copies)
}

// A fault that is planted on purpose breaks an invariant in one of a few walks;
// the log tells which, and after how many events.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, p := range plants {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 20; seed++ {
				for _, k := range Walks(seed, 3000) {
					k.Setup.Plant = p
					if r := k.Go(); r.Broken != "" {
						t.Logf("%s, after %d events: %s", r.Name, r.Events, r.Broken)
						return
					}
				}
			}
			t.Error("not caught")
		})
	}
}

// The explorer finds a planted fault too, by the shortest way, and tells it; the
// same way leads there again.
func TestTheShortestTraceIsReported(t *testing.T) {
	s := Scope{
		Name: "planted", Setup: Setup{Replicas: 3, Plant: ignoredBase},
		Most: Bounds{Write: 2, Crash: 1}, Total: 3, Depth: 12,
	}
	r := Explore(s)
	if !strings.HasPrefix(r.Broken, "one change on a base") || r.Events > 6 || len(r.Trace) < 4 || r.Whole {
		t.Errorf("two changes on one base are six events away: two orders, and four rounds of messages: %v", r)
	}
	if again := Explore(s); again.Broken != r.Broken || again.States != r.States || !slices.Equal(again.Trace, r.Trace) {
		t.Errorf("again: %v, was %v", again, r)
	}
}

// An event in one state leaves the state it came from as it was.
func TestStatesAreCopies(t *testing.T) {
	w := begin(&Setup{Replicas: 3, Standbys: 1, Caches: 1, Tree: true})
	rng := rand.New(rand.NewSource(1))
	for n := 0; n < 300; n++ {
		before := w.hash()
		for range 4 {
			fork := w.fork()
			if e, ok := fork.chance(rng, newMood(rng)); ok {
				fork.apply(e)
			}
		}
		for _, d := range w.daemons {
			d.cachedHash = 0 // look at it anew
		}
		if w.hash() != before {
			t.Fatalf("after %d steps: an event in a copy changed the state", n)
		}
		w = w.fork()
		w.step()
	}
}
