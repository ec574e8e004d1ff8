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

// The model is fast, so it runs 3000 times unless -rapid.checks is given. A violated
// invariant fails the package's tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("3000")
	}
	os.Exit(invariant.Main(m))
}

// Under random changes of servers, records and call outcomes, these guarantees must hold. A
// request that may have run is sent again only if it is repeatable, and is refused only if it
// can't have run. A handle goes to one decode server and is released if no server used it. A
// stream is resumed at another server only if it is resumable. Every request ends.
func TestRequestGuaranteesHoldForAnyOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, testConfig)
		m.checkEnded = func(_ *model, req *modelRequest) {
			if limit := max(2, req.MaxAttempts); req.countedSends() > limit {
				t.Fatalf("%s: %d sends, MaxAttempts is %d", req.ID, req.countedSends(), req.MaxAttempts)
			}
		}
		m.run(rapid.IntRange(1, 60).Draw(t, "steps"))
	})
}

// A daemon's retries stay within its share of the limit in every window, regardless of failures.
func TestRetriesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig
		cfg.RetrySlack = rapid.IntRange(0, 3).Draw(t, "slack")
		m := newModel(t, cfg)
		m.run(rapid.IntRange(1, 300).Draw(t, "steps"))
		slices.Sort(m.retryTimes)
		for i, at := range m.retryTimes {
			retries, requests := 0, [3]int{}
			for _, x := range m.retryTimes[:i+1] {
				if x > at-cfg.RetryWindow {
					retries++
				}
			}
			for k, from := range []time.Duration{at - cfg.RetryWindow, at - 2*cfg.RetryWindow, at - cfg.RetryWindow*3/2} {
				for _, x := range m.startTimes {
					if x > from && x <= from+cfg.RetryWindow {
						requests[k]++
					}
				}
			}
			if limit := cfg.RetryRatio*float64(slices.Max(requests[:])) + float64(cfg.RetrySlack); float64(retries) > limit {
				t.Fatalf("%d retries in the window that ends at %v, for %v requests in it and in earlier windows: more than %.1f", retries, at, requests, limit)
			}
		}
	})
}

// daemonNames returns the names of n daemons.
func daemonNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("d-%d", i))
	}
	return names
}

// The daemons share the retry slack: no daemon has more than its share.
func TestRetrySlackIsShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack, n := rapid.IntRange(0, 200).Draw(t, "slack"), rapid.IntRange(0, 300).Draw(t, "daemons")
		cfg := testConfig
		cfg.RetrySlack = slack
		d := New(cfg, "s", 1, &fakeSource{now: new(time.Duration)}, fakeLoad{})
		d.SetDaemons(time.Minute, "d-0", daemonNames(n))
		if d.retries.Slack*max(1, n) > slack {
			t.Fatalf("each of the daemons has slack %d of %d, with %d daemons", d.retries.Slack, slack, n)
		}
	})
}

// A request is sent to at most MaxAttempts servers; the first accepted prefill does not count.
func TestSendsStayWithinMaxAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, testConfig)
		m.checkEnded = func(_ *model, req *modelRequest) {
			if req.countedSends() > req.MaxAttempts {
				t.Fatalf("%s: %d sends, MaxAttempts is %d", req.ID, req.countedSends(), req.MaxAttempts)
			}
		}
		m.run(rapid.IntRange(1, 30).Draw(t, "steps"))
	})
}

// A decode server that rejected the call did not fetch the KV cache: the handle goes to the
// next server or is released.
func TestHandleOfRejectedDecodeIsReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, testConfig)
		m.checkEnded = func(_ *model, req *modelRequest) {
			released := map[string]bool{}
			for _, h := range req.decision.ReleaseHandles {
				released[h.ID] = true
			}
			for id, state := range req.handles {
				if state == "turned" && !released[id] {
					t.Fatalf("%s: handle %s of a rejected decode was not released", req.ID, id)
				}
			}
		}
		m.run(rapid.IntRange(1, 60).Draw(t, "steps"))
	})
}
