package forward

import "time"

// inTime tells whether a request that hasn't begun waits so short for others, as far
// as is known, that it can be in time; one whose own prompt takes most of its aim may
// wait for half of that. One that can't would make others late as well; its client is
// told at once and may come back to a shorter queue.
func (l *Lane) inTime(now time.Duration, t *trip) bool {
	if l.cfg.InTime == 0 || t.Aim == 0 || t.begun || t.handle != nil || t.led.Ran() {
		return true
	}
	may := max(t.Aim-t.took, t.Aim/2)
	return float64(now-t.at+t.queued) <= l.cfg.InTime*float64(may)
}

// spend takes a further try from the allowance, if there is one.
func (l *Lane) spend(now time.Duration) bool {
	if !l.bucket.Take(now) {
		return false
	}
	l.window.turn(now, l.cfg.Window)
	l.window.spent++
	most := l.cfg.Retry*float64(l.window.first+l.window.before) + 2*float64(l.bucket.Slack)
	triesAllowed.Hold(float64(l.window.spent) <= most, "%s: %d further tries in a window, at most %.1f are earned", l.svc, l.window.spent, most)
	return true
}

// giveBack returns a further try that was spent then and did not count.
func (l *Lane) giveBack(then time.Duration) {
	l.bucket.Give(then)
	l.window.spent = max(0, l.window.spent-1)
}

// wait holds a request for a short while, for leases or a server.
func (l *Lane) wait(now time.Duration, t *trip, why string) Move {
	until := min(max(t.at, t.sentAt)+l.cfg.Patience, t.Due)
	if now >= until {
		return l.end(now, t, why)
	}
	return Move{Kind: Wait, Until: until, Why: why}
}
