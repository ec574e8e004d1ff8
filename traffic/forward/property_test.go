package forward

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/invariant"
)

// The model is quick: where nobody says otherwise it is run many times. A violated
// invariant fails the package's tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("3000")
	}
	os.Exit(invariant.Main(m))
}

// Whatever happens to servers, records and calls: a request that may have run
// is not sent again unless it may be repeated, it is refused only if it can't
// have run, a handle goes to one decode server and is freed if none got it, a stream is
// taken up elsewhere only if it may be, and every request ends.
func TestWhateverHappensToARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, bounds)
		m.check = func(_ *model, j *journey) {
			if most := max(2, j.MaxAttempts); j.sends() > most {
				t.Fatalf("%s: %d sends, %d tries allowed", j.ID, j.sends(), j.MaxAttempts)
			}
		}
		m.run(rapid.IntRange(1, 60).Draw(t, "steps"))
	})
}

// What one daemon sends beyond the first call of each request stays within its
// part of the allowance in every window, whatever fails.
func TestFurtherSendsStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := bounds
		cfg.RetrySlack = rapid.IntRange(0, 3).Draw(t, "slack")
		m := newModel(t, cfg)
		m.run(rapid.IntRange(1, 300).Draw(t, "steps"))
		slices.Sort(m.extra)
		for i, at := range m.extra {
			n, last := 0, [3]int{}
			for _, x := range m.extra[:i+1] {
				if x > at-cfg.RetryWindow {
					n++
				}
			}
			for k, from := range []time.Duration{at - cfg.RetryWindow, at - 2*cfg.RetryWindow, at - cfg.RetryWindow*3/2} {
				for _, x := range m.begun {
					if x > from && x <= from+cfg.RetryWindow {
						last[k]++
					}
				}
			}
			if most := cfg.RetryRatio*float64(slices.Max(last[:])) + float64(cfg.RetrySlack); float64(n) > most {
				t.Fatalf("%d further arrivals in the window that ends at %v, %v requests in it and before: more than %.1f", n, at, last, most)
			}
		}
	})
}

// fleet names n daemons.
func fleet(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("d-%d", i))
	}
	return out
}

// The fleet shares the slack: no daemon has more than its part of it.
func TestTheSlackIsShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack, n := rapid.IntRange(0, 200).Draw(t, "slack"), rapid.IntRange(0, 300).Draw(t, "daemons")
		cfg := bounds
		cfg.RetrySlack = slack
		l := New(cfg, "s", 1, &records{now: new(time.Duration)}, tally{})
		l.SetDaemons(time.Minute, "d-0", fleet(n))
		if l.retries.Slack*max(1, n) > slack {
			t.Fatalf("%d of %d for each of %d", l.retries.Slack, slack, n)
		}
	})
}

// A route's tries are the greatest number of servers that one try may be sent to; the
// first reading is not counted.
func TestNoMoreServersThanTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, bounds)
		m.check = func(_ *model, j *journey) {
			if j.sends() > j.MaxAttempts {
				t.Fatalf("%s: %d sends, %d tries allowed", j.ID, j.sends(), j.MaxAttempts)
			}
		}
		m.run(rapid.IntRange(1, 30).Draw(t, "steps"))
	})
}

// A decode server that turned the request away did not take up its memory: that is
// given to the next one, or freed.
func TestMemoryThatWasTurnedAwayIsNotForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, bounds)
		m.check = func(_ *model, j *journey) {
			freed := map[string]bool{}
			for _, h := range j.m.ReleaseHandles {
				freed[h.ID] = true
			}
			for id, is := range j.handles {
				if is == "turned" && !freed[id] {
					t.Fatalf("%s: handle %s was turned away and is forgotten", j.ID, id)
				}
			}
		}
		m.run(rapid.IntRange(1, 60).Draw(t, "steps"))
	})
}
