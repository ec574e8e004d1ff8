package forward

import "time"

// atLimitRatio is the fraction of the maximum predicted wait that is allowed to requests of a
// tenant at its limit: under load they yield to tenants that stay below their limits.
const atLimitRatio = 0.5

// canMeetTarget reports whether a request that has not started is predicted to meet its
// TTFT target despite the requests ahead of it. The time that its own prompt takes is
// deducted from the target, but half of the target is always left for waiting. A request
// that can't meet its target would delay others as well, so it is refused at once and its
// client can retry when the queue is shorter.
func (d *Dispatcher) canMeetTarget(now time.Duration, r *pendingRequest) bool {
	if d.cfg.MaxPredictedWait == 0 || r.TTFTTarget == 0 || r.streamStarted || r.handle != nil || r.attempts.MayHaveRun() {
		return true
	}
	allowance := max(r.TTFTTarget-r.predictedPrefill, r.TTFTTarget/2)
	maxWait := d.cfg.MaxPredictedWait * float64(allowance)
	if r.TenantAtLimit {
		maxWait *= atLimitRatio
	}
	return float64(now-r.arrivedAt+r.predictedWait) <= maxWait
}

// takeRetry takes a retry from the bucket and reports whether one was left.
func (d *Dispatcher) takeRetry(now time.Duration) bool {
	if !d.retries.Take(now) {
		return false
	}
	d.retryWindow.rotate(now, d.cfg.RetryWindow)
	d.retryWindow.retries++
	limit := d.cfg.RetryRatio*float64(d.retryWindow.firstSends+d.retryWindow.previousFirstSends) +
		2*float64(d.retries.Slack)
	retriesWithinLimit.Hold(float64(d.retryWindow.retries) <= limit,
		"%s: %d retries in a window, at most %.1f are allowed", d.service, d.retryWindow.retries, limit)
	return true
}

// returnRetry gives back a retry that was taken at takenAt and turned out not to count.
func (d *Dispatcher) returnRetry(takenAt time.Duration) {
	d.retries.Return(takenAt)
	d.retryWindow.retries = max(0, d.retryWindow.retries-1)
}

// wait has a request wait for valid leases or an available server, for MaxWait at most.
func (d *Dispatcher) wait(now time.Duration, r *pendingRequest, why string) Decision {
	until := min(max(r.arrivedAt, r.sentAt)+d.cfg.MaxWait, r.Deadline)
	if now >= until {
		return d.giveUp(r, why)
	}
	return Decision{Action: Wait, Until: until, Reason: why}
}
