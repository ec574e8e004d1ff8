package forward

import "time"

// WarmupLimit limits the requests per second that a warming server gets from all daemons
// together: Rate times Over, plus Slack.
type WarmupLimit struct {
	Rate  float64 // requests per second; 0 means no limit
	Over  float64
	Slack float64
}

// daemonSet is the set of daemons that share the fleet's limits. They are identified by
// address, so that a restarted daemon replaces its earlier incarnation. Daemons that
// disappeared recently still count: during a network partition each side sees only its own
// daemons, while all of them still send.
type daemonSet struct {
	self     string
	lastSeen map[string]time.Duration
}

// SetDaemons sets the addresses of the current daemons, which share the slack of retries
// and the rate of warming servers. A daemon that was not listed for six retry windows no
// longer counts.
//
// Example: d.SetDaemons(now, view.Self.Addr, addresses)
func (d *Dispatcher) SetDaemons(now time.Duration, self string, daemons []string) {
	d.daemons.self = self
	d.daemons.lastSeen[self] = now
	for _, addr := range daemons {
		d.daemons.lastSeen[addr] = now
	}
	for addr, at := range d.daemons.lastSeen {
		if now-at > 6*d.cfg.RetryWindow {
			delete(d.daemons.lastSeen, addr)
		}
	}
	d.retries.Slack = d.cfg.RetrySlack / len(d.daemons.lastSeen)
	clear(d.warmupSpacing)
}

// SetWarmupLimit sets the limit for each of the service's warming servers.
//
// Example: d.SetWarmupLimit(forward.WarmupLimit{Rate: 12, Over: 1.5, Slack: 5})
func (d *Dispatcher) SetWarmupLimit(w WarmupLimit) {
	if d.warmup != w {
		d.warmup = w
		clear(d.warmupSpacing)
	}
}

// warmupSpacingOf returns the interval between this daemon's sends to a warming server, or
// false if the daemon must not use the server. Each daemon that uses the server gets an equal
// share of its rate and may exceed the share by one request in any second. The number of these
// daemons is therefore limited to the server's limit minus its rate, but is at least 1. They
// are the first in an order of daemons that all daemons compute identically.
func (d *Dispatcher) warmupSpacingOf(server string) (time.Duration, bool) {
	if d.warmup.Rate <= 0 {
		return 0, true
	}
	spacing, ok := d.warmupSpacing[server]
	if !ok {
		key := rendezvousWeight(0, server)
		maxDaemons := max(1, int(d.warmup.Rate*(d.warmup.Over-1)+d.warmup.Slack))
		rank, ownWeight := 0, rendezvousWeight(key, d.daemons.self)
		for addr := range d.daemons.lastSeen {
			if rendezvousWeight(key, addr) > ownWeight {
				rank++
			}
		}
		spacing = -1
		if d.daemons.self != "" && rank < maxDaemons {
			spacing = time.Duration(float64(time.Second) * float64(min(maxDaemons, len(d.daemons.lastSeen))) / d.warmup.Rate)
		}
		d.warmupSpacing[server] = spacing
	}
	return spacing, spacing >= 0
}

// acceptsWarmup reports whether this daemon may send a warming server another request now.
func (d *Dispatcher) acceptsWarmup(now time.Duration, server string) bool {
	spacing, ok := d.warmupSpacingOf(server)
	return ok && (spacing == 0 || now >= d.statsOf(server).warmupSentAt+spacing || d.statsOf(server).warmupSentAt == 0)
}
