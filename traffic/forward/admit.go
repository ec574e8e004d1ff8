package forward

import "time"

// canMeetTarget tells whether a request that hasn't begun waits so short for others, as far
// as is known, that it can be in time; one whose own prompt takes most of its aim may
// wait for half of that. One that can't would make others late as well; its client is
// told at once and may come back to a shorter queue.
func (l *Dispatcher) canMeetTarget(now time.Duration, t *pendingRequest) bool {
	if l.cfg.MaxPredictedWait == 0 || t.TTFTTarget == 0 || t.streamStarted || t.handle != nil || t.attempts.Ran() {
		return true
	}
	may := max(t.TTFTTarget-t.predictedPrefill, t.TTFTTarget/2)
	return float64(now-t.arrivedAt+t.predictedWait) <= l.cfg.MaxPredictedWait*float64(may)
}

// takeRetry takes a further try from the allowance, if there is one.
func (l *Dispatcher) takeRetry(now time.Duration) bool {
	if !l.retries.Take(now) {
		return false
	}
	l.window.turn(now, l.cfg.RetryWindow)
	l.window.spent++
	most := l.cfg.RetryRatio*float64(l.window.first+l.window.before) + 2*float64(l.retries.Slack)
	triesAllowed.Hold(float64(l.window.spent) <= most, "%s: %d further tries in a window, at most %.1f are earned", l.service, l.window.spent, most)
	return true
}

// returnRetry returns a further try that was spent then and did not count.
func (l *Dispatcher) returnRetry(then time.Duration) {
	l.retries.Give(then)
	l.window.spent = max(0, l.window.spent-1)
}

// wait holds a request for a short while, for leases or a server.
func (l *Dispatcher) wait(now time.Duration, t *pendingRequest, why string) Decision {
	until := min(max(t.arrivedAt, t.sentAt)+l.cfg.MaxWait, t.Deadline)
	if now >= until {
		return l.giveUp(now, t, why)
	}
	return Decision{Action: Wait, Until: until, Reason: why}
}
