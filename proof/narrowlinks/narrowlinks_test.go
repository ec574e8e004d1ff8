package narrowlinks

import (
	"testing"
	"time"
)

// Guards against relays saturated by a release of the model servers. With 300 daemons, 256 servers and 28
// replacements per second, the relay of each zone served some sixty daemons over a 10 Mbit/s link (1,250 KB/s): it
// received 943 KB/s and sent 1,263 KB/s; all five relays were saturated for half a minute, while processors were not.
// Each replaced server invalidated and resent four records per daemon, and each second invalidated the server list,
// without which a daemon has no servers. Lease renewals queued behind this traffic, leases expired, and daemons used
// their last lists: two sent to a server 4,001 and 4,002 ms after it was listed as leaving. After the release the
// relays stayed saturated, since an expired lease causes all records to be compared and resent, until all machines
// lost power.
func TestDaemonsHaveServersDuringRelease(t *testing.T) {
	const (
		formationSeconds = 7    // seconds until all daemons have all records
		duringShare      = 0.90 // least share of requests that get a server, in each second of a release
		afterShare       = 0.99 // the same, from recoverySeconds after its end
		recoverySeconds  = 5    // seconds
	)
	for _, c := range []struct {
		name   string
		change func(*Options)
	}{
		{"half of the servers", func(*Options) {}},
		{"for twice as long", func(o *Options) { o.To, o.Length = 18*time.Second, 30*time.Second }},
		{"while six daemons lose power", func(o *Options) { o.FailedDaemons = 6 }},
		{"messages to one daemon delayed by 2 s", func(o *Options) {
			o.ExtraLatency, o.To, o.Length = 2*time.Second, 18*time.Second, 30*time.Second
		}},
		{"links shared with other traffic", func(o *Options) { o.DaemonMbps = 6 }},
		{"in a zone without a control daemon", func(o *Options) {
			o.HasControlDaemon, o.Daemons, o.ReplacedPerSecond = false, 30, 14
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := Default(1)
			c.change(&o)
			r := Run(o)
			t.Logf("latest send after %v, busiest link %.2f, %d KB", r.LatestSend, r.BusiestLink, r.Bytes/1024)
			if r.LatestSend > o.Bounds.Leave*9/10 {
				t.Errorf("a daemon would send to a server %v after it was listed as leaving; bound %v", r.LatestSend, o.Bounds.Leave)
			}
			for i, s := range r.Seconds[formationSeconds:] {
				second, least := formationSeconds+i, duringShare
				if second >= int(o.To/time.Second)+recoverySeconds || second < int(o.From/time.Second) {
					least = afterShare
				}
				if s.Share() < least {
					t.Errorf("second %d: %.2f of the requests get a server, want at least %.2f", second, s.Share(), least)
				}
			}
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	o := Default(3)
	o.Daemons, o.Length = 8, 12*time.Second
	a, b := Run(o), Run(o)
	if a.LatestSend != b.LatestSend || a.Bytes != b.Bytes {
		t.Errorf("same seed, different runs: %v, %d bytes and %v, %d bytes", a.LatestSend, a.Bytes, b.LatestSend, b.Bytes)
	}
}
