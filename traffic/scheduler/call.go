package scheduler

import (
	"fmt"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// startCall opens the attempt for which a slot was given, if its ground stands.
func (l *Dispatcher) startCall(now time.Duration, t *pendingRequest, addr string, o *Out) {
	part := placement.Prefill
	if t.phase == slots.Decode {
		part = placement.Decode
	}
	b, ok := l.servableFor(now, addr, part)
	if ok && t.isRetry && !l.retries.Take(now) {
		l.queue.Release(now, t.phase, t.Priority, addr, false)
		t.reason = "no retry to spare"
		l.finish(now, t, t.attempts.End(), o)
		return
	}
	if !ok {
		l.requeue(now, t, addr)
		return
	}
	if !t.firstSendCounted {
		t.firstSendCounted = true
		l.counts.FirstSends++
		l.retries.Earn(now)
	}
	if t.isRetry {
		l.counts.Retries++
	}
	t.stage, t.server = calling, addr
	t.attemptNumber++
	// A silent server gets half of what is left, so that another can be tried.
	half := (t.Deadline - now) / 2
	t.callUntil = now + half
	a := Decision{RequestID: t.ID, Attempt: t.attemptNumber, Addr: addr, Timeout: half}
	if t.phase == slots.Prefill {
		t.attempts.Add(attempt.Prefill, addr)
		t.picks = append(t.picks, fmt.Sprintf("prefill server %s (%s, %s) holds %d of %d prompt parts", addr, b.Zone, b.Status, t.cachedParts[addr], len(t.prefixHashes)))
		t.prefillZone = b.Zone
		t.pairedServers = map[string]bool{}
		for _, m := range b.Pairs {
			t.pairedServers[m] = true
		}
		a.Action = Prefill
		t.recordVersion = l.records[addr].version.String()
		a.PrefillCall = serverpool.PrefillRequest{Request: t.ID, Attempt: t.attemptNumber, Term: l.leaderTerm(), RecordVersion: t.recordVersion, Parts: t.Parts, PrefixHashes: t.prefixHashes, TimeoutMillis: (t.Deadline - now).Milliseconds()}
	} else {
		t.attempts.Add(attempt.Decode, addr)
		t.picks = append(t.picks, fmt.Sprintf("decode server %s, paired with %s", addr, t.handle.PrefillServer))
		t.runID = fmt.Sprintf("%s-%d", t.ID, t.attemptNumber)
		a.Action = Decode
		a.Timeout = t.Deadline - now
		a.DecodeCall = serverpool.DecodeRequest{Handle: t.handle, Term: l.leaderTerm(), RunID: t.runID, Tokens: t.Tokens, OnceKey: t.OnceKey, TimeoutMillis: (t.Deadline - now).Milliseconds()}
	}
	l.act(o, a)
}

// requeue gives a slot back whose ground was gone; nothing was tried, so it is
// no attempt and the request keeps its place.
func (l *Dispatcher) requeue(now time.Duration, t *pendingRequest, addr string) {
	l.refreshServers(now)
	l.queue.Release(now, t.phase, t.Priority, addr, false)
	t.stage = queued
	l.queue.Enqueue(now, t.queueEntry, t.QueueFraction)
}

// underCall finds a trip by the call that its outcome is for.
func (l *Dispatcher) underCall(id string, no int) *pendingRequest {
	if t := l.pending[id]; t != nil && t.attemptNumber == no && (t.stage == calling || t.stage == streaming) {
		return t
	}
	return nil
}

// callEnded gives the slot of the attempt back, and passes a server by that failed.
func (l *Dispatcher) callEnded(now time.Duration, t *pendingRequest, out serverpool.Outcome) {
	bad := out == serverpool.Lost || out == serverpool.NotSent
	switch {
	case bad:
		l.backoffUntil[t.server] = now + l.cfg.FailureBackoff
	case out == serverpool.Refused:
		l.backoffUntil[t.server] = now + l.cfg.RejectionBackoff
	case out == serverpool.OK:
		delete(l.backoffUntil, t.server)
	}
	l.queue.Release(now, t.phase, t.Priority, t.server, bad)
}

// undoAttempt takes an attempt back that the last look stopped.
func (l *Dispatcher) undoAttempt(now time.Duration, t *pendingRequest, o *Out) {
	t.attempts.Undo()
	t.picks = t.picks[:len(t.picks)-1]
	if t.isRetry {
		l.counts.Retries--
		l.retries.Return(now)
	}
	l.requeue(now, t, t.server)
	l.handOutSlots(now, o)
}

// takeOutcome finds the trip that an outcome is for, unless there is nothing more to
// do: a stray one, or a call that the last look stopped.
func (l *Dispatcher) takeOutcome(now time.Duration, id string, no int, out serverpool.Outcome, o *Out) *pendingRequest {
	t := l.underCall(id, no)
	if t == nil {
		return nil
	}
	l.refreshServers(now)
	if out == serverpool.Blocked {
		l.undoAttempt(now, t, o)
		return nil
	}
	return t
}

// PrefillDone takes a prefill server's answer, or its silence.
//
// Example: out := l.PrefillDone(now, id, no, handle, serverpool.OK, "")
func (l *Dispatcher) PrefillDone(now time.Duration, id string, no int, hd serverpool.Handle, out serverpool.Outcome, why string) (o Out) {
	t := l.takeOutcome(now, id, no, out, &o)
	if t == nil {
		return o
	}
	if out == serverpool.OK {
		// The handle is bound to this request, attempt, prefill server and record.
		if why = hd.Mismatch(id, no, t.server, t.recordVersion); why != "" {
			out = serverpool.HandleLost
		}
	}
	switch out {
	case serverpool.OK:
		t.handle = hd
		t.attempts.Record(attempt.Prefilled, "")
		l.counts.PromptParts += int64(len(t.prefixHashes))
		l.counts.CachedParts += int64(hd.CachedParts)
		l.prefixes.Record(t.prefixHashes, t.server)
	case serverpool.NotSent:
		t.attempts.Record(attempt.NotSent, why)
		l.prefixes.ForgetServer(t.server)
	case serverpool.Refused:
		t.attempts.Record(attempt.Refused, why)
	default:
		t.attempts.Record(attempt.Lost, why)
	}
	l.callEnded(now, t, out)
	l.decide(now, t, &o)
	l.handOutSlots(now, &o)
	return o
}

// DecodeDone takes the end of a call to a decode server that streamed nothing more: it
// turned the request away, or its stream broke off.
//
// Example: out := l.DecodeDone(now, id, no, serverpool.Refused, "full")
func (l *Dispatcher) DecodeDone(now time.Duration, id string, no int, out serverpool.Outcome, why string) (o Out) {
	t := l.takeOutcome(now, id, no, out, &o)
	if t == nil {
		return o
	}
	l.decodeEnded(now, t, out, why, &o)
	l.handOutSlots(now, &o)
	return o
}

func (l *Dispatcher) decodeEnded(now time.Duration, t *pendingRequest, out serverpool.Outcome, why string, o *Out) {
	switch {
	case t.stage == streaming:
		t.attempts.Record(attempt.First, why)
		out = serverpool.Lost
	case out == serverpool.NotSent:
		t.attempts.Record(attempt.NotSent, why)
	case out == serverpool.Refused:
		t.attempts.Record(attempt.Refused, why)
	case out == serverpool.HandleLost:
		t.attempts.Record(attempt.HandleLost, why)
	default:
		t.attempts.Record(attempt.Lost, why)
	}
	l.callEnded(now, t, out)
	l.decide(now, t, o)
}

// PieceReceived takes one piece of a decode server's stream; one that doesn't fit ends it.
//
// Example: out := l.PieceReceived(now, id, no, piece)
func (l *Dispatcher) PieceReceived(now time.Duration, id string, no int, p serverpool.Piece) (o Out) {
	t := l.underCall(id, no)
	if t == nil || t.phase != slots.Decode {
		return o
	}
	if why := p.Mismatch(id, t.runID, t.piecesSent); why != "" {
		l.act(&o, Decision{RequestID: id, Action: CancelCall, Attempt: no})
		l.refreshServers(now)
		l.decodeEnded(now, t, serverpool.Lost, why, &o)
		l.handOutSlots(now, &o)
		return o
	}
	if t.stage == calling {
		t.stage, t.takenAt = streaming, now
	}
	if t.piecesSent == t.piecesTaken {
		t.takenAt = now
	}
	t.piecesSent++
	l.act(&o, Decision{RequestID: id, Action: SendPiece, Attempt: no, Piece: p})
	if p.End {
		t.attempts.Record(attempt.Ended, "")
		l.refreshServers(now)
		l.callEnded(now, t, serverpool.OK)
		l.decide(now, t, &o)
		l.handOutSlots(now, &o)
	}
	return o
}

// PiecesTaken tells that the client took pieces, so many so far.
//
// Example: l.PiecesTaken(now, id, 3)
func (l *Dispatcher) PiecesTaken(now time.Duration, id string, n int) {
	if t := l.pending[id]; t != nil && n > t.piecesTaken {
		t.piecesTaken, t.takenAt = n, now
	}
}
