package overload

import (
	"testing"
	"time"
)

const (
	begins = 10 * time.Second
	seeds  = 5
)

// loops are the troubles that may leave a crowd of their own behind.
var loops = []struct {
	what     string
	troubles []Trouble
	over     time.Duration // when the last of them ends
}{
	{"four times as many requests for 6 s, and their further tries", []Trouble{{At: begins, For: 6 * time.Second, Crowd: 4}}, 16 * time.Second},
	{"all stores cold at once", []Trouble{{At: begins, Cold: true}}, begins},
	{"all connections to servers reset at once", []Trouble{{At: begins, Reset: true}}, begins},
	{"no daemon with valid leases for 2 s", []Trouble{{At: begins, For: 2 * time.Second, Blind: true}}, 12 * time.Second},
	{"three of four servers away for 6 s", []Trouble{{At: begins, For: 6 * time.Second, Gone: 0.75}}, 16 * time.Second},
	{"all of these, one over the other", []Trouble{
		{At: begins, For: 6 * time.Second, Crowd: 4},
		{At: 12 * time.Second, Cold: true},
		{At: 13 * time.Second, Reset: true},
		{At: 13 * time.Second, For: 2 * time.Second, Blind: true},
		{At: 14 * time.Second, For: 4 * time.Second, Gone: 0.5},
	}, 18 * time.Second},
}

// Without any trouble nearly all is served inside its aim once the stores are warm.
func TestACalmDay(t *testing.T) {
	for seed := int64(1); seed <= seeds; seed++ {
		if s := Run(Default(seed)).Sum(6, 30); s.Timely() < 0.97 || s.Served() < 0.999 {
			t.Errorf("seed %d: %.3f in aim, %.3f served", seed, s.Timely(), s.Served())
		}
	}
}

// After each trouble, and after all of them at once, as large a part is served in the
// second 5 s after its end as 0.95 of that before, with nothing restarted.
func TestAFleetComesBackByItself(t *testing.T) {
	for _, x := range loops {
		var longest time.Duration
		var before, during, after Second
		for seed := int64(1); seed <= seeds; seed++ {
			o := Default(seed)
			o.Troubles = x.troubles
			r := Run(o)
			end := int(x.over / time.Second)
			b, a := r.Sum(5, 9), r.Sum(end+5, end+6)
			if a.Served() < 0.95*b.Served() {
				t.Errorf("%s, seed %d: %.2f of %d are served 5 s after its end, %.2f before", x.what, seed, a.Served(), a.Asked, b.Served())
			}
			back := r.Recovered(x.over, 0.95*b.Served())
			if back < 0 {
				t.Errorf("%s, seed %d: never back", x.what, seed)
			}
			longest = max(longest, back)
			before.add(b)
			during.add(r.Sum(int(begins/time.Second), max(end, int(begins/time.Second)+1)))
			after.add(a)
		}
		t.Logf("%s: served %.3f before, %.3f during, %.3f 5 s after; in aim %.3f, %.3f, %.3f; back after %v at the latest",
			x.what, before.Served(), during.Served(), after.Served(), before.Timely(), during.Timely(), after.Timely(), longest)
	}
}

// A trouble that doesn't end is seen: the share served says so.
func TestALossThatStaysIsSeen(t *testing.T) {
	o := Default(1)
	o.Troubles = []Trouble{{At: begins, For: time.Hour, Gone: 0.75}}
	r := Run(o)
	if s := r.Sum(20, 30); s.Served() > 0.9 {
		t.Errorf("%.2f are served by a quarter of the servers", s.Served())
	}
	if back := r.Recovered(begins, 0.999); back >= 0 && back < 5*time.Second {
		t.Errorf("back after %v", back)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := Run(Default(3)), Run(Default(3))
	for n := range a.Seconds {
		if a.Seconds[n] != b.Seconds[n] {
			t.Fatalf("second %d: %+v and %+v", n, a.Seconds[n], b.Seconds[n])
		}
	}
}
