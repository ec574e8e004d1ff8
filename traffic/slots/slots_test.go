package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func pickFirst(free []string) string { return free[0] }

func entry(id string, phase Phase, priority int, deadline time.Duration) *Entry {
	return &Entry{
		ID: id, Phase: phase, Priority: priority, Tenant: string(rune(97 + priority)), Deadline: deadline, Pick: pickFirst,
	}
}

func TestUrgentRequestGoesFirstAndDisplacesLast(t *testing.T) {
	q := New(Config{MaxQueued: 2, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute})
	q.Enqueue(0, entry("low", Prefill, 8, time.Hour), 1)
	q.Enqueue(0, entry("mid", Prefill, 4, time.Hour), 1)
	q.Enqueue(0, entry("top", Prefill, 0, time.Hour), 1)
	if results := q.TakeResults(); len(results) != 1 || results[0].ID != "low" || !results[0].Refused || results[0].RetryAfter < time.Second {
		t.Errorf("least urgent request was not displaced: %+v", results)
	}
	q.SetShare(1, map[string]int{"a": 1}, time.Minute)
	if results := q.TakeResults(); len(results) != 1 || results[0].ID != "top" || results[0].Addr != "a" {
		t.Errorf("expected a slot for the most urgent request only: %+v", results)
	}
	q.Release(2, Prefill, 0, "a", false)
	if results := q.TakeResults(); len(results) != 1 || results[0].ID != "mid" || results[0].Addr != "a" {
		t.Errorf("released slot was not assigned to the next request: %+v", results)
	}
}

func TestRequestIsRefusedAfterHalfItsTime(t *testing.T) {
	q := New(Config{MaxQueued: 10, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute})
	q.Enqueue(0, entry("w", Prefill, 1, 10*time.Second), 1)
	q.Assign(4900 * time.Millisecond)
	if len(q.TakeResults()) != 0 {
		t.Error("refused before half of its time had passed")
	}
	q.Assign(5100 * time.Millisecond)
	if len(q.TakeResults()) == 0 {
		t.Error("still queued after half of its time had passed")
	}
}

// Slots in use never exceed the share, and no slot is assigned after the share has expired.
func TestSlotsInUseNeverExceedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxQueued: 20, MinRetryAfter: 1, MaxRetryAfter: time.Hour})
		now, until := time.Duration(0), time.Duration(0)
		share := map[string]int{}
		held := map[string]int{}
		var inUse []string
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
				if len(inUse) > 0 {
					addr := inUse[0]
					inUse = inUse[1:]
					held[addr]--
					q.Release(now, Prefill, 0, addr, false)
				}
			}
			for _, result := range q.TakeResults() {
				if result.Refused {
					continue
				}
				if held[result.Addr]++; held[result.Addr] > share[result.Addr] || now >= until {
					t.Fatalf("%s: %d slots in use, the share has %d and expires in %v", result.Addr, held[result.Addr], share[result.Addr], until-now)
				}
				inUse = append(inUse, result.Addr)
			}
		}
	})
}
