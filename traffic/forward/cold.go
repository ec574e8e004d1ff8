package forward

import "time"

// WarmupLimit bounds what a warming server gets in a second from all daemons together:
// Rate times Over, and Slack more.
type WarmupLimit struct {
	Rate  float64 // requests a second that it bears; 0: it bears what others do
	Over  float64
	Slack float64
}

// daemonSet is the daemons that share the bounds of a fleet: by address, since a
// daemon that starts anew takes its earlier life's place, and with those that
// are gone of late, since a daemon that is cut off sees few others, and so do
// they.
type daemonSet struct {
	me   string
	seen map[string]time.Duration
}

// SetDaemons tells which daemons there are, by address: the slack of second sends
// and the rate of warming servers are divided among them. One that was not
// named for long is no longer counted.
//
// Example: l.SetDaemons(now, view.Self.Addr, addresses)
func (l *Dispatcher) SetDaemons(now time.Duration, me string, daemons []string) {
	l.daemons.me = me
	l.daemons.seen[me] = now
	for _, d := range daemons {
		l.daemons.seen[d] = now
	}
	for d, at := range l.daemons.seen {
		if now-at > 6*l.cfg.RetryWindow {
			delete(l.daemons.seen, d)
		}
	}
	l.retries.Slack = l.cfg.RetrySlack / len(l.daemons.seen)
	clear(l.warmupSpacing)
}

// SetWarmupLimit tells what the service's warming servers bear.
//
// Example: l.SetWarmupLimit(forward.SetWarmupLimit{Rate: 12, Over: 1.5, Slack: 5})
func (l *Dispatcher) SetWarmupLimit(w WarmupLimit) {
	if l.warmup != w {
		l.warmup = w
		clear(l.warmupSpacing)
	}
}

// warmupSpacingOf is the time between two sends of this daemon to a warming server; none
// at all if others are to use it. As many daemons use one as there are requests
// between its rate and the bound, the first of an order that all see alike, and
// each its part of the rate: in any second they send the rate and one more each.
func (l *Dispatcher) warmupSpacingOf(server string) (time.Duration, bool) {
	if l.warmup.Rate <= 0 {
		return 0, true
	}
	d, ok := l.warmupSpacing[server]
	if !ok {
		key := rendezvousWeight(0, server)
		most := max(1, int(l.warmup.Rate*(l.warmup.Over-1)+l.warmup.Slack))
		before, mine := 0, rendezvousWeight(key, l.daemons.me)
		for addr := range l.daemons.seen {
			if rendezvousWeight(key, addr) > mine {
				before++
			}
		}
		d = -1
		if l.daemons.me != "" && before < most {
			d = time.Duration(float64(time.Second) * float64(min(most, len(l.daemons.seen))) / l.warmup.Rate)
		}
		l.warmupSpacing[server] = d
	}
	return d, d >= 0
}

// acceptsWarmup tells whether a warming server may get one more request from here now.
func (l *Dispatcher) acceptsWarmup(now time.Duration, server string) bool {
	d, ok := l.warmupSpacingOf(server)
	return ok && (d == 0 || now >= l.statsOf(server).warmupSentAt+d || l.statsOf(server).warmupSentAt == 0)
}
