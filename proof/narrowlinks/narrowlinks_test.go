package narrowlinks

import (
	"testing"
	"time"
)

// A platform replaced half of 256 model servers while 300 daemons served, 28 servers a second. In each zone one
// daemon relayed the records of the service's partition to some sixty others, over a link of 10 Mbit/s, which
// carries 1,250 KB a second: the relays took 943 and sent 1,263 KB in a second of the release, all five of them
// were full for half a minute, and no processor was short. Each replaced server had four records withdrawn from
// every daemon and sent to it anew, and the list, without which no daemon has any server, was withdrawn with each
// of these seconds. Renewals waited behind all that, leases lapsed, and daemons went on by their last lists: two
// of them sent to a server 4,001 and 4,002 ms after the platform had listed that it leaves. When the release was
// over the relays stayed full, since a lapsed lease has everything compared and sent once more, and it took a loss
// of power of all machines to end it.
func TestDaemonsHaveServersThroughARelease(t *testing.T) {
	const (
		formed    = 7    // seconds until all records are at all daemons
		whileIt   = 0.90 // of the looks find a server in each second of a release
		afterIt   = 0.99 // and from some seconds after its end
		comesBack = 5    // so many
	)
	for _, c := range []struct {
		name   string
		change func(*Options)
	}{
		{"half of the servers", func(*Options) {}},
		{"for twice as long", func(o *Options) { o.To, o.Length = 18*time.Second, 30*time.Second }},
		{"while six daemons lose power", func(o *Options) { o.Dead = 6 }},
		{"all reaches one daemon 2 s later than usual", func(o *Options) {
			o.Late, o.To, o.Length = 2*time.Second, 18*time.Second, 30*time.Second
		}},
		{"links that carry other things, too", func(o *Options) { o.Narrow = 6 }},
		{"in a zone without a control daemon", func(o *Options) { o.Control, o.Daemons, o.Replaced = false, 30, 14 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := Default(1)
			c.change(&o)
			r := Run(o)
			t.Logf("latest send %v, busiest link %.2f, %d KB", r.LatestSend, r.BusiestLink, r.Bytes/1024)
			if r.LatestSend > o.Bounds.Leave*9/10 {
				t.Errorf("a daemon would send to a server %v after it was listed as leaving, bound %v", r.LatestSend, o.Bounds.Leave)
			}
			for i, s := range r.Seconds[formed:] {
				second, least := formed+i, whileIt
				if second >= int(o.To/time.Second)+comesBack || second < int(o.From/time.Second) {
					least = afterIt
				}
				if s.Share() < least {
					t.Errorf("second %d: %.2f of the looks find a server, at least %.2f should", second, s.Share(), least)
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
		t.Errorf("%v, %d bytes and %v, %d bytes", a.LatestSend, a.Bytes, b.LatestSend, b.Bytes)
	}
}
