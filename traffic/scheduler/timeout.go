package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// checkTimeouts applies the timeout of the request's current stage.
func (d *Dispatcher) checkTimeouts(now time.Duration, r *pendingRequest, out *Out) {
	switch r.stage {
	case queued:
		d.checkQueued(now, r, out)
	case calling:
		if now >= r.callDeadline || now >= r.Deadline {
			d.timeOutCall(now, r, out)
		}
	case streaming:
		d.checkStream(now, r, out)
	}
}

// checkQueued gives up a queued request that has had no suitable server for longer than MaxWait or has
// reached its deadline.
func (d *Dispatcher) checkQueued(now time.Duration, r *pendingRequest, out *Out) {
	noLeasesOrShare := !d.queue.HasValidShare(now) || len(d.servable) == 0
	if !noLeasesOrShare && d.canBeServed(r) {
		r.lastServableAt = now
	}
	if now-r.lastServableAt <= d.cfg.MaxWait && now < r.Deadline {
		return
	}
	why := "no server left that it could go to"
	if noLeasesOrShare {
		why = "no valid leases or share here"
	}
	d.queue.Remove(r.queueEntry)
	d.giveUp(now, r, why, out)
}

// timeOutCall cancels a call that was not answered in time.
func (d *Dispatcher) timeOutCall(now time.Duration, r *pendingRequest, out *Out) {
	r.cancelCall(out)
	if r.phase == slots.Prefill {
		d.finishPrefill(now, r, serverpool.Handle{}, serverpool.Lost, "no answer in time", out)
	} else {
		d.finishDecode(now, r, serverpool.Lost, "no first piece in time", out)
	}
}

// checkStream aborts a stream whose deadline has passed or whose client has stalled.
func (d *Dispatcher) checkStream(now time.Duration, r *pendingRequest, out *Out) {
	stalled := r.piecesSent > r.piecesTaken && now-r.lastTakenAt > d.cfg.StallTimeout
	if !stalled && now < r.Deadline {
		return
	}
	why := "its deadline passed"
	if stalled {
		why = "the client takes no pieces"
	}
	d.abandon(now, r, why, out)
	d.counts.Broken++
	d.respond(now, r, Answer{Result: ResultBreak, Reason: why, ClientStalled: stalled}, out)
}

// ClientGone ends a request whose client has disconnected.
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
	d.respond(now, r, Answer{Result: ResultGone, Reason: why}, &out)
	d.processQueueResults(now, &out)
	return out
}

// abandon removes a request from the queue or cancels its call.
func (d *Dispatcher) abandon(now time.Duration, r *pendingRequest, why string, out *Out) {
	switch r.stage {
	case queued:
		d.queue.Remove(r.queueEntry)
	case calling, streaming:
		r.cancelCall(out)
		if r.stage == streaming {
			r.attempts.Record(attempt.Streaming, why)
		} else {
			r.attempts.Record(attempt.Lost, why)
		}
		d.queue.Release(now, r.phase, r.Priority, r.server, false)
	}
}
