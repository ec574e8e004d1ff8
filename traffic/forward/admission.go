package forward

import "time"

// atLimitRatio is the part of the longest predicted wait that a request of a tenant at its
// limit may have: in a crowd it gives way to tenants that ask for less than theirs.
const atLimitRatio = 0.5

// canMeetTarget tells whether a request that has not started is predicted to wait so
// short for others that it can meet its TTFT target; one whose own prompt takes most
// of the target may wait for half of it. One that can't would make others late as
// well; it is refused at once, and its client may come back to a shorter queue.
func (d *Dispatcher) canMeetTarget(now time.Duration, r *pendingRequest) bool {
	if d.cfg.MaxPredictedWait == 0 || r.TTFTTarget == 0 || r.streamStarted || r.handle != nil || r.attempts.MayHaveRun() {
		return true
	}
	may := max(r.TTFTTarget-r.predictedPrefill, r.TTFTTarget/2)
	longest := d.cfg.MaxPredictedWait * float64(may)
	if r.TenantAtLimit {
		longest *= atLimitRatio
	}
	return float64(now-r.arrivedAt+r.predictedWait) <= longest
}

// takeRetry takes a retry, if one is left.
func (d *Dispatcher) takeRetry(now time.Duration) bool {
	if !d.retries.Take(now) {
		return false
	}
	d.window.turn(now, d.cfg.RetryWindow)
	d.window.spent++
	most := d.cfg.RetryRatio*float64(d.window.first+d.window.before) + 2*float64(d.retries.Slack)
	triesAllowed.Hold(float64(d.window.spent) <= most,
		"%s: %d further tries in a window, at most %.1f are earned", d.service, d.window.spent, most)
	return true
}

// returnRetry returns a retry that was taken then and did not count.
func (d *Dispatcher) returnRetry(then time.Duration) {
	d.retries.Return(then)
	d.window.spent = max(0, d.window.spent-1)
}

// wait holds a request for a short while, for leases or a server.
func (d *Dispatcher) wait(now time.Duration, r *pendingRequest, why string) Decision {
	until := min(max(r.arrivedAt, r.sentAt)+d.cfg.MaxWait, r.Deadline)
	if now >= until {
		return d.giveUp(r, why)
	}
	return Decision{Action: Wait, Until: until, Reason: why}
}
