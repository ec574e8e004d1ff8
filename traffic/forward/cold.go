package forward

import "time"

// Warm bounds what a warming server gets in a second from all daemons together:
// Rate times Over, and Slack more.
type Warm struct {
	Rate  float64 // requests a second that it bears; 0: it bears what others do
	Over  float64
	Slack float64
}

// crew is the daemons that share the bounds of a fleet: by address, since a
// daemon that starts anew takes its earlier life's place, and with those that
// are gone of late, since a daemon that is cut off sees few others, and so do
// they.
type crew struct {
	me   string
	seen map[string]time.Duration
}

// Fleet tells which daemons there are, by address: the slack of second sends
// and the rate of warming servers are divided among them. One that was not
// named for long is no longer counted.
//
// Example: l.Fleet(now, view.Me.Addr, addresses)
func (l *Lane) Fleet(now time.Duration, me string, daemons []string) {
	l.crew.me = me
	l.crew.seen[me] = now
	for _, d := range daemons {
		l.crew.seen[d] = now
	}
	for d, at := range l.crew.seen {
		if now-at > 6*l.cfg.Window {
			delete(l.crew.seen, d)
		}
	}
	l.bucket.Slack = l.cfg.Slack / len(l.crew.seen)
	clear(l.spacing)
}

// Warm tells what the service's warming servers bear.
//
// Example: l.Warm(forward.Warm{Rate: 12, Over: 1.5, Slack: 5})
func (l *Lane) Warm(w Warm) {
	if l.warm != w {
		l.warm = w
		clear(l.spacing)
	}
}

// apart is the time between two sends of this daemon to a warming server; none
// at all if others are to use it. As many daemons use one as there are requests
// between its rate and the bound, the first of an order that all see alike, and
// each its part of the rate: in any second they send the rate and one more each.
func (l *Lane) apart(server string) (time.Duration, bool) {
	if l.warm.Rate <= 0 {
		return 0, true
	}
	d, ok := l.spacing[server]
	if !ok {
		key := weight(0, server)
		most := max(1, int(l.warm.Rate*(l.warm.Over-1)+l.warm.Slack))
		before, mine := 0, weight(key, l.crew.me)
		for addr := range l.crew.seen {
			if weight(key, addr) > mine {
				before++
			}
		}
		d = -1
		if l.crew.me != "" && before < most {
			d = time.Duration(float64(time.Second) * float64(min(most, len(l.crew.seen))) / l.warm.Rate)
		}
		l.spacing[server] = d
	}
	return d, d >= 0
}

// bears tells whether a warming server may get one more request from here now.
func (l *Lane) bears(now time.Duration, server string) bool {
	d, ok := l.apart(server)
	return ok && (d == 0 || now >= l.stat(server).coldAt+d || l.stat(server).coldAt == 0)
}
