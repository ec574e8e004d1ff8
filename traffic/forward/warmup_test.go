package forward

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the fleet's size, its daemons together send a warming server no more
// in any second than it bears, even when some of them see only half of the
// others; and some daemon may always use it.
func TestAWarmingServerIsNotFlooded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "daemons")
		w := WarmupLimit{Rate: float64(rapid.IntRange(1, 60).Draw(t, "rate")), Over: 1 + float64(rapid.IntRange(0, 10).Draw(t, "over"))/10, Slack: float64(rapid.IntRange(1, 10).Draw(t, "slack"))}
		all := fleet(n)
		var dispatchers []*Dispatcher
		now := time.Minute
		for _, me := range all {
			l := New(bounds, "s", 1, &records{now: &now}, tally{})
			l.SetWarmupLimit(w)
			l.SetDaemons(now, me, all)
			dispatchers = append(dispatchers, l)
		}
		if cut := rapid.IntRange(0, n).Draw(t, "cut"); cut > 0 { // each side sees itself alone from now on
			for i, l := range dispatchers {
				if i < cut {
					l.SetDaemons(now+time.Second, all[i], all[:cut])
				} else {
					l.SetDaemons(now+time.Second, all[i], all[cut:])
				}
			}
		}
		server := fmt.Sprintf("srv-%d", rapid.IntRange(0, 1000).Draw(t, "server"))
		var sent []time.Duration
		for now := 2 * time.Minute; now < 2*time.Minute+4*time.Second; now += 10 * time.Millisecond {
			for _, l := range dispatchers {
				if l.acceptsWarmup(now, server) {
					l.statsOf(server).warmupSentAt = now
					sent = append(sent, now)
				}
			}
		}
		if len(sent) == 0 {
			t.Fatal("nobody may use it")
		}
		from := 0
		for i, at := range sent {
			for sent[from] <= at-time.Second {
				from++
			}
			if most := w.Rate*w.Over + w.Slack; float64(i-from+1) > most {
				t.Fatalf("%d in the second that ends at %v, %.1f may come", i-from+1, at, most)
			}
		}
	})
}
