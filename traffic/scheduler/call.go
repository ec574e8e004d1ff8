package scheduler

import (
	"fmt"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// startCall starts the attempt that a slot was assigned for, if the server may still get new work.
func (d *Dispatcher) startCall(now time.Duration, r *pendingRequest, addr string, out *Out) {
	record, ok := d.servableInRole(now, addr, roleFor(r.phase))
	if !ok {
		d.requeue(now, r, addr)
		return
	}
	if r.isRetry && !d.retries.Take(now) {
		d.queue.Release(now, r.phase, r.Priority, addr, false)
		d.giveUp(now, r, "no retry to spare", out)
		return
	}
	d.countSend(now, r)
	r.stage, r.server = calling, addr
	r.attemptNumber++
	// A server that doesn't answer gets half of the remaining time, so that another server can be tried.
	half := (r.Deadline - now) / 2
	r.callDeadline = now + half
	if r.phase == slots.Prefill {
		out.add(d.prefillCall(now, r, record, half))
	} else {
		out.add(d.decodeCall(now, r))
	}
}

// roleFor returns the server role that handles a phase.
func roleFor(phase slots.Phase) string {
	if phase == slots.Decode {
		return placement.Decode
	}
	return placement.Prefill
}

// countSend counts a call as the request's first one or as a retry.
func (d *Dispatcher) countSend(now time.Duration, r *pendingRequest) {
	if !r.firstSendCounted {
		r.firstSendCounted = true
		d.counts.FirstSends++
		d.retries.Earn(now)
	}
	if r.isRetry {
		d.counts.Retries++
	}
}

// prefillCall records an attempt on a prefill server and returns the decision to call it.
func (d *Dispatcher) prefillCall(
	now time.Duration, r *pendingRequest, record placement.ServerRecord, timeout time.Duration,
) Decision {
	r.attempts.Add(attempt.Prefill, r.server)
	r.picks = append(r.picks, fmt.Sprintf("prefill server %s (%s, %s) holds %d of %d prompt parts",
		r.server, record.Zone, record.Status, r.cachedParts[r.server], len(r.prefixHashes)))
	r.prefillZone = record.Zone
	r.pairedServers = map[string]bool{}
	for _, addr := range record.Pairs {
		r.pairedServers[addr] = true
	}
	r.recordVersion = d.records[r.server].version.String()
	return Decision{
		RequestID: r.ID, Action: Prefill, Attempt: r.attemptNumber, Addr: r.server, Timeout: timeout,
		PrefillCall: serverpool.PrefillRequest{
			Request: r.ID, Attempt: r.attemptNumber, Term: d.leaderTerm(), RecordVersion: r.recordVersion,
			Parts: r.Parts, PrefixHashes: r.prefixHashes, TimeoutMillis: (r.Deadline - now).Milliseconds(),
		},
	}
}

// decodeCall records an attempt on a decode server and returns the decision to call it. The
// stream of the call may last until the request's deadline.
func (d *Dispatcher) decodeCall(now time.Duration, r *pendingRequest) Decision {
	r.attempts.Add(attempt.Decode, r.server)
	r.picks = append(r.picks, fmt.Sprintf("decode server %s, paired with %s", r.server, r.handle.PrefillServer))
	r.runID = fmt.Sprintf("%s-%d", r.ID, r.attemptNumber)
	return Decision{
		RequestID: r.ID, Action: Decode, Attempt: r.attemptNumber, Addr: r.server, Timeout: r.Deadline - now,
		DecodeCall: serverpool.DecodeRequest{
			Handle: r.handle, Term: d.leaderTerm(), RunID: r.runID, Tokens: r.Tokens, OnceKey: r.OnceKey,
			TimeoutMillis: (r.Deadline - now).Milliseconds(),
		},
	}
}

// requeue releases a slot that can no longer be used and queues the request again. Nothing was sent,
// so this doesn't count as an attempt and the request keeps its place.
func (d *Dispatcher) requeue(now time.Duration, r *pendingRequest, addr string) {
	d.refreshServers(now)
	d.queue.Release(now, r.phase, r.Priority, addr, false)
	r.stage = queued
	d.queue.Enqueue(now, r.queueEntry, r.QueueFraction)
}

// activeCall returns the request whose current call has this attempt number, or nil.
func (d *Dispatcher) activeCall(id string, attemptNumber int) *pendingRequest {
	r := d.pending[id]
	if r == nil || r.attemptNumber != attemptNumber || r.stage != calling && r.stage != streaming {
		return nil
	}
	return r
}

// requestForOutcome returns the request that an outcome belongs to. It returns nil if there is nothing
// left to do: the outcome is stale, or MaySend blocked the call and the attempt has been undone.
func (d *Dispatcher) requestForOutcome(
	now time.Duration, id string, attemptNumber int, outcome serverpool.Outcome, out *Out,
) *pendingRequest {
	r := d.activeCall(id, attemptNumber)
	if r == nil {
		return nil
	}
	d.refreshServers(now)
	if outcome == serverpool.Blocked {
		d.undoAttempt(now, r, out)
		return nil
	}
	return r
}

// undoAttempt removes an attempt that MaySend blocked before anything was sent, and queues the request again.
func (d *Dispatcher) undoAttempt(now time.Duration, r *pendingRequest, out *Out) {
	r.attempts.Undo()
	r.picks = r.picks[:len(r.picks)-1]
	if r.isRetry {
		d.counts.Retries--
		d.retries.Return(now)
	}
	d.requeue(now, r, r.server)
	d.processQueueResults(now, out)
}

// finishCall releases the attempt's slot and backs off from a server that failed or rejected the call.
func (d *Dispatcher) finishCall(now time.Duration, r *pendingRequest, outcome serverpool.Outcome) {
	failed := outcome == serverpool.Lost || outcome == serverpool.NotSent
	switch {
	case failed:
		d.backoffUntil[r.server] = now + d.cfg.FailureBackoff
	case outcome == serverpool.Refused:
		d.backoffUntil[r.server] = now + d.cfg.RejectionBackoff
	case outcome == serverpool.OK:
		delete(d.backoffUntil, r.server)
	}
	d.queue.Release(now, r.phase, r.Priority, r.server, failed)
}

// cancelCall adds the decision to cancel the current call.
func (r *pendingRequest) cancelCall(out *Out) {
	out.add(Decision{RequestID: r.ID, Action: CancelCall, Attempt: r.attemptNumber})
}

// PrefillDone handles the outcome of a prefill call.
//
// Example: out := d.PrefillDone(now, id, attempt, handle, serverpool.OK, "")
func (d *Dispatcher) PrefillDone(
	now time.Duration, id string, attemptNumber int, handle serverpool.Handle, outcome serverpool.Outcome, why string,
) (out Out) {
	r := d.requestForOutcome(now, id, attemptNumber, outcome, &out)
	if r == nil {
		return out
	}
	if outcome == serverpool.OK {
		// The handle must belong to this request, attempt, prefill server and record version.
		if why = handle.Mismatch(id, attemptNumber, r.server, r.recordVersion); why != "" {
			outcome = serverpool.HandleLost
		}
	}
	d.finishPrefill(now, r, handle, outcome, why, &out)
	d.processQueueResults(now, &out)
	return out
}

// finishPrefill records the outcome of a prefill and decides the request's next step.
func (d *Dispatcher) finishPrefill(
	now time.Duration, r *pendingRequest, handle serverpool.Handle, outcome serverpool.Outcome, why string, out *Out,
) {
	switch outcome {
	case serverpool.OK:
		r.handle = handle
		r.attempts.Record(attempt.Prefilled, "")
		d.counts.PromptParts += int64(len(r.prefixHashes))
		d.counts.CachedParts += int64(handle.CachedParts)
		d.prefixes.Record(r.prefixHashes, r.server)
	case serverpool.NotSent:
		r.attempts.Record(attempt.NotSent, why)
		d.prefixes.ForgetServer(r.server)
	case serverpool.Refused:
		r.attempts.Record(attempt.Refused, why)
	default:
		r.attempts.Record(attempt.Lost, why)
	}
	d.finishCall(now, r, outcome)
	d.decideNext(now, r, out)
}

// DecodeDone handles a decode call that ended without a complete stream: the server rejected the
// request, the call failed, or the stream broke off.
//
// Example: out := d.DecodeDone(now, id, attempt, serverpool.Refused, "full")
func (d *Dispatcher) DecodeDone(
	now time.Duration, id string, attemptNumber int, outcome serverpool.Outcome, why string,
) (out Out) {
	r := d.requestForOutcome(now, id, attemptNumber, outcome, &out)
	if r == nil {
		return out
	}
	d.finishDecode(now, r, outcome, why, &out)
	d.processQueueResults(now, &out)
	return out
}

// finishDecode records the outcome of an incomplete decode and decides the request's next step.
func (d *Dispatcher) finishDecode(
	now time.Duration, r *pendingRequest, outcome serverpool.Outcome, why string, out *Out,
) {
	switch {
	case r.stage == streaming:
		r.attempts.Record(attempt.Streaming, why)
		outcome = serverpool.Lost
	case outcome == serverpool.NotSent:
		r.attempts.Record(attempt.NotSent, why)
	case outcome == serverpool.Refused:
		r.attempts.Record(attempt.Refused, why)
	case outcome == serverpool.HandleLost:
		r.attempts.Record(attempt.HandleLost, why)
	default:
		r.attempts.Record(attempt.Lost, why)
	}
	d.finishCall(now, r, outcome)
	d.decideNext(now, r, out)
}
