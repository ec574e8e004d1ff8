package forward

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// At any fleet size, the daemons together stay within a warming server's limit in every
// second, even if a network partition splits them in two; and at least one daemon may use
// the server.
func TestWarmingServerIsNotOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "daemons")
		w := WarmupLimit{Rate: float64(rapid.IntRange(1, 60).Draw(t, "rate")), Over: 1 + float64(rapid.IntRange(0, 10).Draw(t, "over"))/10, Slack: float64(rapid.IntRange(1, 10).Draw(t, "slack"))}
		daemons := daemonNames(n)
		var dispatchers []*Dispatcher
		now := time.Minute
		for _, self := range daemons {
			d := New(testConfig, "s", 1, &fakeSource{now: &now}, fakeLoad{})
			d.SetWarmupLimit(w)
			d.SetDaemons(now, self, daemons)
			dispatchers = append(dispatchers, d)
		}
		if cut := rapid.IntRange(0, n).Draw(t, "cut"); cut > 0 { // each side of the network partition sees only itself
			for i, d := range dispatchers {
				if i < cut {
					d.SetDaemons(now+time.Second, daemons[i], daemons[:cut])
				} else {
					d.SetDaemons(now+time.Second, daemons[i], daemons[cut:])
				}
			}
		}
		server := fmt.Sprintf("srv-%d", rapid.IntRange(0, 1000).Draw(t, "server"))
		var sent []time.Duration
		for now := 2 * time.Minute; now < 2*time.Minute+4*time.Second; now += 10 * time.Millisecond {
			for _, d := range dispatchers {
				if d.acceptsWarmup(now, server) {
					d.statsOf(server).warmupSentAt = now
					sent = append(sent, now)
				}
			}
		}
		if len(sent) == 0 {
			t.Fatal("no daemon may use the warming server")
		}
		from := 0
		for i, at := range sent {
			for sent[from] <= at-time.Second {
				from++
			}
			if limit := w.Rate*w.Over + w.Slack; float64(i-from+1) > limit {
				t.Fatalf("%d sends in the second that ends at %v, the limit is %.1f", i-from+1, at, limit)
			}
		}
	})
}
