package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func any1(free []string) string { return free[0] }

func wait(side Side, prio int, due time.Duration) *Wait {
	return &Wait{Side: side, Prio: prio, Tenant: string(rune(97 + prio)), Due: due, Pick: any1, Reply: make(chan Ticket, 1)}
}

func TestUrgentFirstAndDisplaced(t *testing.T) {
	q := New(Config{Most: 2, Floor: time.Second, Ceil: time.Minute})
	low, mid, top := wait(Read, 8, time.Hour), wait(Read, 4, time.Hour), wait(Read, 0, time.Hour)
	q.Put(0, low, 1)
	q.Put(0, mid, 1)
	q.Put(0, top, 1)
	if k := <-low.Reply; !k.Shed || k.After < time.Second {
		t.Errorf("the least urgent was not displaced: %+v", k)
	}
	q.Share(1, map[string]int{"a": 1}, time.Minute)
	if k := <-top.Reply; k.Addr != "a" {
		t.Errorf("the urgent one did not go first: %+v", k)
	}
	if len(mid.Reply) != 0 {
		t.Error("two requests in one slot")
	}
	q.Done(2, Read, 0, "a", false)
	if k := <-mid.Reply; k.Addr != "a" {
		t.Errorf("the slot was not passed on: %+v", k)
	}
}

func TestGivenUpOnEarly(t *testing.T) {
	q := New(Config{Most: 10, Floor: time.Second, Ceil: time.Minute})
	w := wait(Read, 1, 10*time.Second)
	q.Put(0, w, 1)
	q.Turn(4900 * time.Millisecond)
	if len(w.Reply) != 0 {
		t.Error("given up on too early")
	}
	q.Turn(5100 * time.Millisecond)
	if len(w.Reply) == 0 {
		t.Error("still held with half of its budget gone")
	}
}

// Slots held never exceed the share, and nothing is given after it lapsed.
func TestNeverBeyondTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Most: 20, Floor: 1, Ceil: time.Hour})
		now, till := time.Duration(0), time.Duration(0)
		share := map[string]int{}
		held := map[string]int{}
		var open []*Wait
		var use []string
		for i := 0; i < 80; i++ {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "step"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				w := wait(Side(rapid.IntRange(0, 1).Draw(t, "side")), rapid.IntRange(0, 9).Draw(t, "prio"), now+1000)
				open = append(open, w)
				q.Put(now, w, 1)
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
			for _, w := range open {
				select {
				case k := <-w.Reply:
					if k.Shed {
						continue
					}
					if held[k.Addr]++; held[k.Addr] > share[k.Addr] || now >= till {
						t.Fatalf("%s: %d held of %d, share ends in %v", k.Addr, held[k.Addr], share[k.Addr], till-now)
					}
					use = append(use, k.Addr)
				default:
				}
			}
		}
	})
}
