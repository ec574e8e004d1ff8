package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func any1(free []string) string { return free[0] }

func wait(id string, side Side, prio int, due time.Duration) *Wait {
	return &Wait{ID: id, Side: side, Prio: prio, Tenant: string(rune(97 + prio)), Due: due, Pick: any1}
}

func TestUrgentFirstAndDisplaced(t *testing.T) {
	q := New(Config{Most: 2, Floor: time.Second, Ceil: time.Minute})
	q.Put(0, wait("low", Read, 8, time.Hour), 1)
	q.Put(0, wait("mid", Read, 4, time.Hour), 1)
	q.Put(0, wait("top", Read, 0, time.Hour), 1)
	if k := q.Tickets(); len(k) != 1 || k[0].ID != "low" || !k[0].Refused || k[0].After < time.Second {
		t.Errorf("the least urgent was not displaced: %+v", k)
	}
	q.Share(1, map[string]int{"a": 1}, time.Minute)
	if k := q.Tickets(); len(k) != 1 || k[0].ID != "top" || k[0].Addr != "a" {
		t.Errorf("the urgent one did not go first, alone: %+v", k)
	}
	q.Done(2, Read, 0, "a", false)
	if k := q.Tickets(); len(k) != 1 || k[0].ID != "mid" || k[0].Addr != "a" {
		t.Errorf("the slot was not passed on: %+v", k)
	}
}

func TestGivenUpOnEarly(t *testing.T) {
	q := New(Config{Most: 10, Floor: time.Second, Ceil: time.Minute})
	q.Put(0, wait("w", Read, 1, 10*time.Second), 1)
	q.Turn(4900 * time.Millisecond)
	if len(q.Tickets()) != 0 {
		t.Error("given up on too early")
	}
	q.Turn(5100 * time.Millisecond)
	if len(q.Tickets()) == 0 {
		t.Error("still held with half of its time gone")
	}
}

// Slots held never exceed the share, and nothing is given after it lapsed.
func TestNeverBeyondTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Most: 20, Floor: 1, Ceil: time.Hour})
		now, till := time.Duration(0), time.Duration(0)
		share := map[string]int{}
		held := map[string]int{}
		var use []string
		for i := 0; i < 80; i++ {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "step"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				q.Put(now, wait("w", Side(rapid.IntRange(0, 1).Draw(t, "side")), rapid.IntRange(0, 9).Draw(t, "prio"), now+1000), 1)
			case 2:
				share = map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")}
				till = now + 100
				q.Share(now, share, till)
			case 3:
				if len(use) > 0 {
					a := use[0]
					use = use[1:]
					held[a]--
					q.Done(now, Read, 0, a, false)
				}
			}
			for _, k := range q.Tickets() {
				if k.Refused {
					continue
				}
				if held[k.Addr]++; held[k.Addr] > share[k.Addr] || now >= till {
					t.Fatalf("%s: %d held of %d, share ends in %v", k.Addr, held[k.Addr], share[k.Addr], till-now)
				}
				use = append(use, k.Addr)
			}
		}
	})
}
