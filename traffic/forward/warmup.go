package forward

import "time"

// WarmupLimit bounds what a warming server gets in a second from all daemons together:
// Rate times Over, and Slack more.
type WarmupLimit struct {
	Rate  float64 // requests a second; 0: as many as any other server
	Over  float64
	Slack float64
}

// daemonSet is the daemons that share the bounds of a fleet: by address, since a
// daemon that restarts takes its earlier incarnation's place, and with those that
// left of late, since an isolated daemon sees few others, and so do they.
type daemonSet struct {
	me   string
	seen map[string]time.Duration
}

// SetDaemons tells which daemons there are, by address: the slack of retries and
// the rate of warming servers are divided among them. One that was not named for
// six retry windows is no longer counted.
//
// Example: d.SetDaemons(now, view.Self.Addr, addresses)
func (d *Dispatcher) SetDaemons(now time.Duration, me string, daemons []string) {
	d.daemons.me = me
	d.daemons.seen[me] = now
	for _, addr := range daemons {
		d.daemons.seen[addr] = now
	}
	for addr, at := range d.daemons.seen {
		if now-at > 6*d.cfg.RetryWindow {
			delete(d.daemons.seen, addr)
		}
	}
	d.retries.Slack = d.cfg.RetrySlack / len(d.daemons.seen)
	clear(d.warmupSpacing)
}

// SetWarmupLimit bounds what the service's warming servers get.
//
// Example: d.SetWarmupLimit(forward.WarmupLimit{Rate: 12, Over: 1.5, Slack: 5})
func (d *Dispatcher) SetWarmupLimit(w WarmupLimit) {
	if d.warmup != w {
		d.warmup = w
		clear(d.warmupSpacing)
	}
}

// warmupSpacingOf is the time between two sends of this daemon to a warming server; none
// at all if others are to use it. As many daemons use one as there are requests
// between its rate and the bound, the first of an order that all see alike, and
// each its part of the rate: in any second they send the rate and one more each.
func (d *Dispatcher) warmupSpacingOf(server string) (time.Duration, bool) {
	if d.warmup.Rate <= 0 {
		return 0, true
	}
	spacing, ok := d.warmupSpacing[server]
	if !ok {
		key := rendezvousWeight(0, server)
		most := max(1, int(d.warmup.Rate*(d.warmup.Over-1)+d.warmup.Slack))
		before, mine := 0, rendezvousWeight(key, d.daemons.me)
		for addr := range d.daemons.seen {
			if rendezvousWeight(key, addr) > mine {
				before++
			}
		}
		spacing = -1
		if d.daemons.me != "" && before < most {
			spacing = time.Duration(float64(time.Second) * float64(min(most, len(d.daemons.seen))) / d.warmup.Rate)
		}
		d.warmupSpacing[server] = spacing
	}
	return spacing, spacing >= 0
}

// acceptsWarmup tells whether a warming server may get one more request from this
// daemon now.
func (d *Dispatcher) acceptsWarmup(now time.Duration, server string) bool {
	spacing, ok := d.warmupSpacingOf(server)
	return ok && (spacing == 0 || now >= d.statsOf(server).warmupSentAt+spacing || d.statsOf(server).warmupSentAt == 0)
}
