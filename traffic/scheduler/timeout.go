package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// checkTimeouts ends what a request has waited for too long.
func (d *Dispatcher) checkTimeouts(now time.Duration, r *pendingRequest, out *Out) {
	switch r.stage {
	case queued:
		d.checkQueued(now, r, out)
	case calling:
		if now >= r.callUntil || now >= r.Deadline {
			d.callTimedOut(now, r, out)
		}
	case streaming:
		d.checkStream(now, r, out)
	}
}

// checkQueued gives a request up that has had no server to go to for too long.
func (d *Dispatcher) checkQueued(now time.Duration, r *pendingRequest, out *Out) {
	noView := !d.queue.HasValidShare(now) || len(d.servable) == 0
	if !noView && d.canBeServed(r) {
		r.servableAt = now
	}
	if now-r.servableAt <= d.cfg.MaxWait && now < r.Deadline {
		return
	}
	why := "no server left that it could go to"
	if noView {
		why = "no valid leases or share here"
	}
	d.queue.Remove(r.queueEntry)
	d.giveUp(now, r, why, out)
}

// callTimedOut ends a call with no answer.
func (d *Dispatcher) callTimedOut(now time.Duration, r *pendingRequest, out *Out) {
	r.cancelCall(out)
	if r.phase == slots.Prefill {
		d.prefillEnded(now, r, serverpool.Handle{}, serverpool.Lost, "no answer in time", out)
	} else {
		d.decodeEnded(now, r, serverpool.Lost, "no first piece in time", out)
	}
}

// checkStream breaks a stream off whose deadline passed, or whose client takes nothing.
func (d *Dispatcher) checkStream(now time.Duration, r *pendingRequest, out *Out) {
	stalled := r.piecesSent > r.piecesTaken && now-r.takenAt > d.cfg.StallTimeout
	if !stalled && now < r.Deadline {
		return
	}
	why := "its deadline passed"
	if stalled {
		why = "the client takes no pieces"
	}
	d.abandon(now, r, why, out)
	d.counts.Broken++
	d.release(now, r, Answer{Result: ResultBreak, Reason: why, ClientStalled: stalled}, out)
}

// ClientGone tells that the client went away.
//
// Example: out := d.ClientGone(now, id)
func (d *Dispatcher) ClientGone(now time.Duration, id string) (out Out) {
	r := d.pending[id]
	if r == nil {
		return out
	}
	const why = "the client went away"
	d.refreshServers(now)
	d.abandon(now, r, why, &out)
	d.counts.Abandoned++
	if r.attempts.AtMostOnce && !r.attempts.MayHaveRun() {
		out.add(r.claim(SettleClaim, claimReleased))
	}
	d.release(now, r, Answer{Result: ResultGone, Reason: why}, &out)
	d.takeSlots(now, &out)
	return out
}

// abandon takes a request out of the queue, or ends its call.
func (d *Dispatcher) abandon(now time.Duration, r *pendingRequest, why string, out *Out) {
	switch r.stage {
	case queued:
		d.queue.Remove(r.queueEntry)
	case calling, streaming:
		r.cancelCall(out)
		if r.stage == streaming {
			r.attempts.Record(attempt.First, why)
		} else {
			r.attempts.Record(attempt.Lost, why)
		}
		d.queue.Release(now, r.phase, r.Priority, r.server, false)
	}
}
