package forward

import "time"

// atLimitRatio is the fraction of the maximum predicted wait that is allowed to requests of a
// tenant at its limit: under load they yield to tenants that stay below their limits.
const atLimitRatio = 0.5

// canMeetTarget reports whether a request's wait is predicted to be at most MaxPredictedWait
// times the allowance for waiting. The allowance is the TTFT target less the time of the
// request's own prefill, but at least half of the target. A request that can't meet its
// target would delay others as well, so it is refused immediately, and its client can retry
// when the queue is shorter. Requests that may already have started are not checked.
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

// returnRetry gives back a retry that was taken at takenAt, because nothing reached the server
// or because the send was the first accepted prefill.
func (d *Dispatcher) returnRetry(takenAt time.Duration) {
	d.retries.Return(takenAt)
	d.retryWindow.retries = max(0, d.retryWindow.retries-1)
}

// wait makes a request wait for valid leases or an available server, until MaxWait after its
// arrival or last send at most. After this time or the deadline it ends the request.
func (d *Dispatcher) wait(now time.Duration, r *pendingRequest, why string) Decision {
	until := min(max(r.arrivedAt, r.sentAt)+d.cfg.MaxWait, r.Deadline)
	if now >= until {
		return d.giveUp(r, why)
	}
	return Decision{Action: Wait, Until: until, Reason: why}
}
