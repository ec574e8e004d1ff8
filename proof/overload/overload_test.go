package overload

import (
	"testing"
	"time"
)

const (
	faultStart = 10 * time.Second
	seeds      = 5
)

// faultCases are faults whose effects could sustain overload after their end.
var faultCases = []struct {
	what   string
	faults []Fault
	end    time.Duration // of the last fault
}{
	{"four times as many requests for 6 s, with their retries", []Fault{{At: faultStart, For: 6 * time.Second, LoadFactor: 4}}, 16 * time.Second},
	{"all prompt caches cleared at once", []Fault{{At: faultStart, ClearCaches: true}}, faultStart},
	{"all connections to servers reset at once", []Fault{{At: faultStart, ResetConns: true}}, faultStart},
	{"no daemon with valid leases for 2 s", []Fault{{At: faultStart, For: 2 * time.Second, LeasesInvalid: true}}, 12 * time.Second},
	{"three of four servers down for 6 s", []Fault{{At: faultStart, For: 6 * time.Second, ServersDown: 0.75}}, 16 * time.Second},
	{"all of these, overlapping", []Fault{
		{At: faultStart, For: 6 * time.Second, LoadFactor: 4},
		{At: 12 * time.Second, ClearCaches: true},
		{At: 13 * time.Second, ResetConns: true},
		{At: 13 * time.Second, For: 2 * time.Second, LeasesInvalid: true},
		{At: 14 * time.Second, For: 4 * time.Second, ServersDown: 0.5},
	}, 18 * time.Second},
}

// Without faults nearly all requests meet their TTFT target once the caches are warm.
func TestRequestsMeetTargetsWithoutFaults(t *testing.T) {
	for seed := int64(1); seed <= seeds; seed++ {
		if s := Run(Default(seed)).Sum(6, 30); s.Timely() < 0.97 || s.Served() < 0.999 {
			t.Errorf("seed %d: %.3f on time, %.3f served", seed, s.Timely(), s.Served())
		}
	}
}

// 5 s after the end of each fault, and of all faults together, the served fraction is at
// least 0.95 of that before, without any restart.
func TestServiceRecoversAfterFaults(t *testing.T) {
	for _, x := range faultCases {
		var longest time.Duration
		var before, during, after Second
		for seed := int64(1); seed <= seeds; seed++ {
			o := Default(seed)
			o.Faults = x.faults
			r := Run(o)
			end := int(x.end / time.Second)
			b, a := r.Sum(5, 9), r.Sum(end+5, end+6)
			if a.Served() < 0.95*b.Served() {
				t.Errorf("%s, seed %d: %.2f of %d requests served 5 s after the end, %.2f before", x.what, seed, a.Served(), a.Started, b.Served())
			}
			recovery := r.RecoveryTime(x.end, 0.95*b.Served())
			if recovery < 0 {
				t.Errorf("%s, seed %d: no recovery", x.what, seed)
			}
			longest = max(longest, recovery)
			before.add(b)
			during.add(r.Sum(int(faultStart/time.Second), max(end, int(faultStart/time.Second)+1)))
			after.add(a)
		}
		t.Logf("%s: served %.3f before, %.3f during, %.3f 5 s after; on time %.3f, %.3f, %.3f; longest recovery %v",
			x.what, before.Served(), during.Served(), after.Served(), before.Timely(), during.Timely(), after.Timely(), longest)
	}
}

// A fault that does not end shows in the served fraction.
func TestPermanentLossLowersServedFraction(t *testing.T) {
	o := Default(1)
	o.Faults = []Fault{{At: faultStart, For: time.Hour, ServersDown: 0.75}}
	r := Run(o)
	if s := r.Sum(20, 30); s.Served() > 0.9 {
		t.Errorf("%.2f of the requests are served by a quarter of the servers", s.Served())
	}
	if recovery := r.RecoveryTime(faultStart, 0.999); recovery >= 0 && recovery < 5*time.Second {
		t.Errorf("recovered after %v", recovery)
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
