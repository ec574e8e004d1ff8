package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func first(free []string) string { return free[0] }

func entry(id string, phase Phase, priority int, deadline time.Duration) *Entry {
	return &Entry{
		ID: id, Phase: phase, Priority: priority, Tenant: string(rune(97 + priority)), Deadline: deadline, Pick: first,
	}
}

func TestUrgentGoesFirstAndDisplacesTheLast(t *testing.T) {
	q := New(Config{MaxQueued: 2, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute})
	q.Enqueue(0, entry("low", Prefill, 8, time.Hour), 1)
	q.Enqueue(0, entry("mid", Prefill, 4, time.Hour), 1)
	q.Enqueue(0, entry("top", Prefill, 0, time.Hour), 1)
	if k := q.TakeResults(); len(k) != 1 || k[0].ID != "low" || !k[0].Refused || k[0].RetryAfter < time.Second {
		t.Errorf("the least urgent was not displaced: %+v", k)
	}
	q.SetShare(1, map[string]int{"a": 1}, time.Minute)
	if k := q.TakeResults(); len(k) != 1 || k[0].ID != "top" || k[0].Addr != "a" {
		t.Errorf("the urgent one did not go first, alone: %+v", k)
	}
	q.Release(2, Prefill, 0, "a", false)
	if k := q.TakeResults(); len(k) != 1 || k[0].ID != "mid" || k[0].Addr != "a" {
		t.Errorf("the slot was not passed on: %+v", k)
	}
}

func TestRefusedOnceHalfOfItsTimeHasPassed(t *testing.T) {
	q := New(Config{MaxQueued: 10, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute})
	q.Enqueue(0, entry("w", Prefill, 1, 10*time.Second), 1)
	q.Assign(4900 * time.Millisecond)
	if len(q.TakeResults()) != 0 {
		t.Error("given up on too early")
	}
	q.Assign(5100 * time.Millisecond)
	if len(q.TakeResults()) == 0 {
		t.Error("suntil held with half of its time gone")
	}
}

// Slots held never exceed the share, and nothing is given after it lapsed.
func TestSlotsInUseNeverExceedTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxQueued: 20, MinRetryAfter: 1, MaxRetryAfter: time.Hour})
		now, until := time.Duration(0), time.Duration(0)
		share := map[string]int{}
		held := map[string]int{}
		var use []string
		for i := 0; i < 80; i++ {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "step"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				phase := Phase(rapid.IntRange(0, 1).Draw(t, "phase"))
				priority := rapid.IntRange(0, 9).Draw(t, "priority")
				q.Enqueue(now, entry("w", phase, priority, now+1000), 1)
			case 2:
				share = map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")}
				until = now + 100
				q.SetShare(now, share, until)
			case 3:
				if len(use) > 0 {
					a := use[0]
					use = use[1:]
					held[a]--
					q.Release(now, Prefill, 0, a, false)
				}
			}
			for _, k := range q.TakeResults() {
				if k.Refused {
					continue
				}
				if held[k.Addr]++; held[k.Addr] > share[k.Addr] || now >= until {
					t.Fatalf("%s: %d held of %d, share ends in %v", k.Addr, held[k.Addr], share[k.Addr], until-now)
				}
				use = append(use, k.Addr)
			}
		}
	})
}
