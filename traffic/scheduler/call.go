package scheduler

import (
	"fmt"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// startCall opens the attempt for which a slot was given, if the server may still have it.
func (d *Dispatcher) startCall(now time.Duration, r *pendingRequest, addr string, out *Out) {
	record, ok := d.servableFor(now, addr, roleOf(r.phase))
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
	// A silent server gets half of what is left, so that another can be tried.
	half := (r.Deadline - now) / 2
	r.callUntil = now + half
	if r.phase == slots.Prefill {
		out.add(d.prefillCall(now, r, record, half))
	} else {
		out.add(d.decodeCall(now, r))
	}
}

// roleOf is the role of the servers that do a phase.
func roleOf(phase slots.Phase) string {
	if phase == slots.Decode {
		return placement.Decode
	}
	return placement.Prefill
}

// countSend counts a send, as a first one or as a retry.
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

// prefillCall opens an attempt at a prefill server.
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

// decodeCall opens an attempt at a decode server; its stream may take until the deadline.
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

// requeue returns a slot that can't be used any more. Nothing was tried, so it is
// no attempt and the request keeps its place.
func (d *Dispatcher) requeue(now time.Duration, r *pendingRequest, addr string) {
	d.refreshServers(now)
	d.queue.Release(now, r.phase, r.Priority, addr, false)
	r.stage = queued
	d.queue.Enqueue(now, r.queueEntry, r.QueueFraction)
}

// inCall finds a request by the call under way.
func (d *Dispatcher) inCall(id string, attemptNumber int) *pendingRequest {
	r := d.pending[id]
	if r == nil || r.attemptNumber != attemptNumber || r.stage != calling && r.stage != streaming {
		return nil
	}
	return r
}

// takeOutcome finds the request that an outcome is for, unless there is nothing more to
// do: a stray outcome, or that of a call which MaySend stopped.
func (d *Dispatcher) takeOutcome(
	now time.Duration, id string, attemptNumber int, outcome serverpool.Outcome, out *Out,
) *pendingRequest {
	r := d.inCall(id, attemptNumber)
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

// undoAttempt takes back an attempt that MaySend stopped: nothing went out.
func (d *Dispatcher) undoAttempt(now time.Duration, r *pendingRequest, out *Out) {
	r.attempts.Undo()
	r.picks = r.picks[:len(r.picks)-1]
	if r.isRetry {
		d.counts.Retries--
		d.retries.Return(now)
	}
	d.requeue(now, r, r.server)
	d.takeSlots(now, out)
}

// callEnded returns the slot of the attempt, and has a server that failed passed over.
func (d *Dispatcher) callEnded(now time.Duration, r *pendingRequest, outcome serverpool.Outcome) {
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

// cancelCall has the call under way ended.
func (r *pendingRequest) cancelCall(out *Out) {
	out.add(Decision{RequestID: r.ID, Action: CancelCall, Attempt: r.attemptNumber})
}

// PrefillDone takes the end of a prefill.
//
// Example: out := d.PrefillDone(now, id, attempt, handle, serverpool.OK, "")
func (d *Dispatcher) PrefillDone(
	now time.Duration, id string, attemptNumber int, handle serverpool.Handle, outcome serverpool.Outcome, why string,
) (out Out) {
	r := d.takeOutcome(now, id, attemptNumber, outcome, &out)
	if r == nil {
		return out
	}
	if outcome == serverpool.OK {
		// The handle is bound to this request, attempt, prefill server and record.
		if why = handle.Mismatch(id, attemptNumber, r.server, r.recordVersion); why != "" {
			outcome = serverpool.HandleLost
		}
	}
	d.prefillEnded(now, r, handle, outcome, why, &out)
	d.takeSlots(now, &out)
	return out
}

// prefillEnded records the end of a prefill and decides on.
func (d *Dispatcher) prefillEnded(
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
	d.callEnded(now, r, outcome)
	d.decide(now, r, out)
}

// DecodeDone takes the end of a call to a decode server that streams nothing more: it
// rejected the request, or its stream broke off.
//
// Example: out := d.DecodeDone(now, id, attempt, serverpool.Refused, "full")
func (d *Dispatcher) DecodeDone(
	now time.Duration, id string, attemptNumber int, outcome serverpool.Outcome, why string,
) (out Out) {
	r := d.takeOutcome(now, id, attemptNumber, outcome, &out)
	if r == nil {
		return out
	}
	d.decodeEnded(now, r, outcome, why, &out)
	d.takeSlots(now, &out)
	return out
}

// decodeEnded records the end of a decode that is not whole, and decides on.
func (d *Dispatcher) decodeEnded(
	now time.Duration, r *pendingRequest, outcome serverpool.Outcome, why string, out *Out,
) {
	switch {
	case r.stage == streaming:
		r.attempts.Record(attempt.First, why)
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
	d.callEnded(now, r, outcome)
	d.decide(now, r, out)
}
