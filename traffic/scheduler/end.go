package scheduler

import (
	"fmt"
	"strings"
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// ClientGone tells that the client went away.
//
// Example: out := l.ClientGone(now, id)
func (l *Dispatcher) ClientGone(now time.Duration, id string) (o Out) {
	t := l.pending[id]
	if t == nil {
		return o
	}
	l.refreshServers(now)
	l.stopRequest(now, t, "the client went away", &o)
	l.counts.Abandoned++
	t.reason = "the client went away"
	if t.attempts.AtMostOnce && !t.attempts.MayHaveRun() {
		l.act(&o, Decision{RequestID: id, Action: SettleClaim, OnceKey: t.claimKey(), ClaimState: "shed"})
	}
	l.release(now, t, Answer{Result: "gone", Reason: t.reason}, &o)
	l.handOutSlots(now, &o)
	return o
}

// stopRequest ends whatever the trip is at.
func (l *Dispatcher) stopRequest(now time.Duration, t *pendingRequest, why string, o *Out) {
	switch t.stage {
	case queued:
		l.queue.Remove(t.queueEntry)
	case calling, streaming:
		l.act(o, Decision{RequestID: t.ID, Action: CancelCall, Attempt: t.attemptNumber})
		if t.stage == streaming {
			t.attempts.Record(attempt.First, why)
		} else {
			t.attempts.Record(attempt.Lost, why)
		}
		l.queue.Release(now, t.phase, t.Priority, t.server, false)
	}
}

// checkTimeouts looks at what a trip has waited for.
func (l *Dispatcher) checkTimeouts(now time.Duration, t *pendingRequest, o *Out) {
	switch t.stage {
	case queued:
		blind := !l.queue.HasValidShare(now) || len(l.servable) == 0
		if !blind && l.canBeServed(t) {
			t.servableAt = now
		}
		if now-t.servableAt <= l.cfg.MaxWait && now < t.Deadline {
			return
		}
		t.reason = "no server left that it could go to"
		if blind {
			t.reason = "no valid leases or share here"
		}
		l.queue.Remove(t.queueEntry)
		l.finish(now, t, t.attempts.End(), o)
	case calling:
		if now >= t.callUntil || now >= t.Deadline {
			l.act(o, Decision{RequestID: t.ID, Action: CancelCall, Attempt: t.attemptNumber})
			if t.phase == slots.Prefill {
				t.attempts.Record(attempt.Lost, "no answer in time")
				l.callEnded(now, t, serverpool.Lost)
				l.decide(now, t, o)
			} else {
				l.decodeEnded(now, t, serverpool.Lost, "no first piece in time", o)
			}
		}
	case streaming:
		slow := t.piecesSent > t.piecesTaken && now-t.takenAt > l.cfg.StallTimeout
		if !slow && now < t.Deadline {
			return
		}
		why := "its deadline passed"
		if slow {
			why = "the client takes no pieces"
		}
		l.stopRequest(now, t, why, o)
		t.reason = why
		l.counts.Broken++
		l.release(now, t, Answer{Result: "break", Reason: why, ClientStalled: slow}, o)
	}
}

// finish makes the last move.
func (l *Dispatcher) finish(now time.Duration, t *pendingRequest, move attempt.Move, o *Out) {
	kind := t.reason // a few fixed words, to count by
	if t.reason == "" && len(t.attempts.Attempts) > 0 {
		last := t.attempts.Attempts[len(t.attempts.Attempts)-1]
		kind, t.reason = fmt.Sprintf("last %s: %s", last.Phase, last.Known), last.Why
	}
	e := Answer{Result: move.String(), Reason: t.reason, RetryAfter: t.retryAfter}
	if e.RetryAfter == 0 {
		e.RetryAfter = l.cfg.RetryAfter
	}
	switch move {
	case attempt.Finish:
		e.Status, e.Reason = 200, ""
		l.counts.Served++
		if t.attempts.AtMostOnce {
			l.act(o, Decision{RequestID: t.ID, Action: SettleClaim, OnceKey: t.claimKey(), ClaimState: "done"})
		}
	case attempt.Break:
		l.counts.Broken++
	case attempt.Unknown:
		l.counts.Unknown++
		e.Status, e.Reason = 502, "it may have run: "+t.reason
	case attempt.Refuse:
		e.Status = 503
		if strings.HasPrefix(t.reason, "this tenant") {
			e.Status = 429
		}
		l.counts.Refused++
		l.counts.RefusalReasons[kind]++
		for _, a := range t.attempts.Attempts {
			if a.Known == attempt.Prefilled {
				l.counts.WastedPrefills++
			}
		}
		if t.attempts.AtMostOnce {
			l.act(o, Decision{RequestID: t.ID, Action: SettleClaim, OnceKey: t.claimKey(), ClaimState: "shed"})
		}
	default:
		panic("no final move: " + move.String())
	}
	l.release(now, t, e, o)
}

func (l *Dispatcher) release(now time.Duration, t *pendingRequest, e Answer, o *Out) {
	delete(l.pending, t.ID)
	e.Trace = Trace{Request: t.ID, Tenant: t.Tenant, Model: t.Model, Result: e.Result, Reason: e.Reason, Attempts: t.attempts.Attempts, Picks: t.picks, TookMillis: (now - t.arrivedAt).Milliseconds()}
	l.act(o, Decision{RequestID: t.ID, Action: Respond, Answer: e})
}
