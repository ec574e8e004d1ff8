package forward

import (
	"fmt"
	"hash/fnv"
	"time"

	"mulleinmast/traffic/attempt"
)

// pendingRequest is one request on its way.
type pendingRequest struct {
	Request
	arrivedAt        time.Duration
	attempts         attempt.Ledger
	hash             uint64
	attemptNumber    int
	phase            attempt.Phase
	server           Server
	sentAt           time.Duration
	handle           *Handle
	countedSends     int           // sends that count against Tries: all but the first reading that a server took up
	prefillAccepted  bool          // a server took a reading up
	lostHandles      []Handle      // memory that a server could not get: it may be there still
	streamStarted    bool          // events have gone out to the client
	isRetry          bool          // the send under way is a second one
	firstSendCounted bool          // its first send was counted
	uncachedTokens   int           // tokens that the server under way has to read, as far as known
	predictedWait    time.Duration // that it waits for others, as the last choice predicts it
	predictedPrefill time.Duration // that its prompt takes to read, by the same
	trace            []string
}

// maxAttempts is the number of sends that count.
func (t *pendingRequest) maxAttempts() int { return max(1, t.MaxAttempts) }

// Start takes a request in and makes its first move. Its id is its client's own:
// while a request of the same id is under way here it is not taken in, and it has
// no further moves.
//
// Example: move := l.Start(now, call)
func (l *Dispatcher) Start(now time.Duration, c Request) Decision {
	if l.pending[c.ID] != nil {
		l.counts.Duplicates++
		return Decision{Action: Duplicate, Reason: "a request of this id is under way"}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.ID))
	t := &pendingRequest{Request: c, arrivedAt: now, attempts: attempt.Ledger{Once: !c.Repeatable, Most: max(1, c.MaxAttempts)}, hash: h.Sum64()}
	l.pending[c.ID] = t
	if c.TTFTTarget > 0 && (l.shortestTTFT == 0 || c.TTFTTarget < l.shortestTTFT) {
		l.shortestTTFT = c.TTFTTarget
	}
	if c.InterTokenTarget > 0 && (l.shortestInterToken == 0 || c.InterTokenTarget < l.shortestInterToken) {
		l.shortestInterToken = c.InterTokenTarget
	}
	return l.decide(now, t)
}

// Continue asks for the move after a Wait.
//
// Example: move := l.Continue(now, id)
func (l *Dispatcher) Continue(now time.Duration, id string) Decision {
	return l.decide(now, l.pending[id])
}

// decide derives the decide move from the ledger.
func (l *Dispatcher) decide(now time.Duration, t *pendingRequest) Decision {
	if n := len(t.attempts.Attempts); n > 0 && t.attempts.Attempts[n-1].Known == attempt.Ended {
		return l.finish(now, t, Done, "") // even if its time is up by now
	}
	if now >= t.Deadline {
		return l.giveUp(now, t, "its time is up")
	}
	if n := len(t.attempts.Attempts); n > 0 {
		last := t.attempts.Attempts[n-1]
		switch {
		case last.Known == attempt.First && !(t.Resumable && t.Repeatable):
			return l.finish(now, t, Break, last.Why)
		case last.Known == attempt.Lost && last.Phase == attempt.Decode && !t.Repeatable:
			return l.finish(now, t, Unknown, last.Why)
		case last.Known == attempt.NotSent && n > 2*t.maxAttempts():
			return l.giveUp(now, t, last.Why)
		}
	}
	if t.countedSends > 0 && (t.countedSends >= t.maxAttempts() || !l.retries.Has(now)) {
		return l.giveUp(now, t, "no further try to spare after: "+t.attempts.Attempts[len(t.attempts.Attempts)-1].Why)
	}
	if !l.refreshServers(now) || len(l.servable) == 0 {
		return l.wait(now, t, "no valid leases here")
	}
	m, ok := l.pickServer(now, t)
	if !ok {
		return l.wait(now, t, "no server to go to")
	}
	if !l.canMeetTarget(now, t) {
		return l.giveUp(now, t, "it can't be in time: the servers have too much under way")
	}
	again := t.countedSends > 0 || m.Action == Prefill && t.prefillAccepted
	if again && !l.takeRetry(now) {
		return l.giveUp(now, t, "no further try to spare")
	}
	t.isRetry = again
	return l.startAttempt(now, t, m)
}

// pickServer chooses between reading apart and a server that does both, and where.
func (l *Dispatcher) pickServer(now time.Duration, t *pendingRequest) (Decision, bool) {
	apart := t.Disaggregated && t.InputTokens > 0 && !t.streamStarted && !t.ContinuesStream && t.attempts.Tries(attempt.Prefill) < t.maxAttempts()
	if t.prefillAccepted { // another reading counts, and so does the writing after it
		apart = apart && t.countedSends+1 < t.maxAttempts() && l.retries.Has(now)
	}
	return l.choose(now, t, apart)
}

func (l *Dispatcher) startAttempt(now time.Duration, t *pendingRequest, m Decision) Decision {
	t.attemptNumber++
	t.server, t.sentAt = m.Server, now
	m.Attempt, m.Until = t.attemptNumber, t.Deadline
	l.statsOf(m.Server.Key).inFlight++
	if m.Server.Warming {
		l.statsOf(m.Server.Key).warmupSentAt = now
	}
	switch {
	case m.Action == Prefill:
		t.phase = attempt.Prefill
		l.load.AddLoad(m.Server.Key, t.uncachedTokens, 0)
	case m.Handle != nil:
		t.phase, t.uncachedTokens = attempt.Decode, 0
		l.load.AddLoad(m.Server.Key, 0, 1)
	default:
		t.phase = attempt.Decode
		l.load.AddLoad(m.Server.Key, t.uncachedTokens, 1)
	}
	if t.isRetry {
		l.counts.Retries++
	} else if !t.firstSendCounted { // the last look may bar it and have it come here again
		t.firstSendCounted = true
		l.counts.FirstSends++
		l.retries.Earn(now)
		l.window.turn(now, l.cfg.RetryWindow)
		l.window.first++
		if m.Action == Prefill {
			l.counts.Disaggregated++
		} else {
			l.counts.Combined++
		}
	}
	m.Priority = l.priority(now, t, m)
	t.attempts.Add(t.phase, m.Server.Key)
	t.trace = append(t.trace, fmt.Sprintf("%s at %s (%s), %d tokens to read, after %d ms", m.Action, m.Server.Addr, m.Server.Zone, t.uncachedTokens, (now-t.arrivedAt).Milliseconds()))
	return m
}

// priority is a request's place among others at a server: its route's, but one that
// can't meet its aim any more gives way to all that still can, and a prompt that
// is read in no time need not wait behind long ones.
func (l *Dispatcher) priority(now time.Duration, t *pendingRequest, m Decision) int {
	switch {
	case !t.streamStarted && now-t.arrivedAt > t.TTFTTarget:
		return min(9, t.LeastUrgency+1+t.Urgency)
	case m.Action == Prefill && prefillTime(t.uncachedTokens, l.prefillRate) <= t.TTFTTarget/16:
		return 0
	}
	return min(9, t.Urgency)
}

// callEnded records the end of the call under way.
func (l *Dispatcher) callEnded(now time.Duration, t *pendingRequest, out Outcome) {
	st := l.statsOf(t.server.Key)
	st.inFlight--
	st.seenAt = now
	l.prefillFinished(t)
	accountsBalance.Hold(st.inFlight >= 0, "%s: %d calls under way at %s after %s ended", l.service, st.inFlight, t.server.Key, t.ID)
	if t.phase == attempt.Decode {
		l.load.AddLoad(t.server.Key, 0, -1)
	}
	if out == NotSent && t.isRetry { // nothing arrived
		l.returnRetry(t.sentAt)
	}
	switch out {
	case NotSent, Lost: // passed by for longer each time, until it answers
		st.backoffUntil = now + l.cfg.FailureBackoff<<min(st.consecutiveFailures, 3)
		st.consecutiveFailures++
		l.load.CallEnded(now, t.server.Key, false)
	case Overloaded, WrongServer:
		st.backoffUntil = now + l.cfg.RejectionBackoff
		l.load.CallEnded(now, t.server.Key, true)
	case OK, HandleLost:
		st.backoffUntil, st.consecutiveFailures = 0, 0
		l.load.CallEnded(now, t.server.Key, true)
	}
}

// prefillFinished takes the prompt under way off the board once it has been read.
func (l *Dispatcher) prefillFinished(t *pendingRequest) {
	if t.uncachedTokens > 0 {
		l.load.AddLoad(t.server.Key, -t.uncachedTokens, 0)
		t.uncachedTokens = 0
	}
}

// recordPrefix records that the server under way has the prompt now.
func (l *Dispatcher) recordPrefix(t *pendingRequest, tokens int) {
	if n, key := sharedPrefix(t.Parts); n > 0 {
		l.load.RecordPrefix(key, t.server.Key, tokens)
	}
}

// traceOutcome adds the outcome to the last step of the story.
func (t *pendingRequest) traceOutcome(now time.Duration, out Outcome, why string) {
	if len(t.trace) == 0 {
		return
	}
	last := &t.trace[len(t.trace)-1]
	*last += fmt.Sprintf("; %s after %d ms", out, (now - t.arrivedAt).Milliseconds())
	if why != "" {
		*last += ": " + why
	}
}

// checkBalance checks that no server is thought busy when no request is under way.
func (l *Dispatcher) checkBalance() {
	if len(l.pending) > 0 {
		return
	}
	for key, st := range l.stats {
		accountsBalance.Hold(st.inFlight == 0, "%s: no request is under way, and %d calls are at %s", l.service, st.inFlight, key)
	}
}

// undoAttempt takes back an attempt that the last look stopped: nothing went out.
func (l *Dispatcher) undoAttempt(now time.Duration, t *pendingRequest) Decision {
	t.attempts.Undo()
	t.trace = t.trace[:len(t.trace)-1]
	if t.isRetry {
		l.counts.Retries--
		l.returnRetry(t.sentAt)
	}
	return l.decide(now, t)
}

var knownOf = map[Outcome]attempt.Known{NotSent: attempt.NotSent, Overloaded: attempt.Refused, WrongServer: attempt.Refused, HandleLost: attempt.Lapsed, Lost: attempt.Lost}

// PrefillDone takes the end of a reading call.
//
// Example: move := l.PrefillDone(now, id, forward.OK, forward.Handle{ID: "3fa0", ...}, "")
func (l *Dispatcher) PrefillDone(now time.Duration, id string, out Outcome, h Handle, why string) Decision {
	t := l.pending[id]
	unread := t.uncachedTokens
	l.callEnded(now, t, out)
	t.traceOutcome(now, out, why)
	if out == Blocked {
		return l.undoAttempt(now, t)
	}
	switch {
	case out == Overloaded || out == WrongServer || (out == OK || out == Lost) && t.prefillAccepted:
		t.countedSends++
	case out == OK || out == Lost:
		if t.prefillAccepted = true; t.isRetry { // it did not count
			l.returnRetry(t.sentAt)
		}
	}
	if out == OK && (h.RequestID != t.ID || h.Attempt != t.attemptNumber || h.Server.Key != t.server.Key || h.ID == "") {
		out, why = Lost, "a handle that is not this request's"
	}
	if out == OK {
		t.handle = &h
		l.recordPrefix(t, unread)
		t.attempts.Learn(attempt.Handle, "")
		return l.decide(now, t)
	}
	t.attempts.Learn(knownOf[out], why)
	return l.decide(now, t)
}

// StreamStarted tells that the first event of a stream, or the head of another answer,
// has gone out to the client.
//
// Example: l.StreamStarted(now, id)
func (l *Dispatcher) StreamStarted(now time.Duration, id string) {
	t := l.pending[id]
	if t.attempts.Attempts[len(t.attempts.Attempts)-1].Known == attempt.Open {
		t.attempts.Learn(attempt.First, "")
		fresh := t.uncachedTokens
		if t.handle != nil {
			fresh = t.InputTokens
		}
		l.recordPrefix(t, fresh)
	}
	l.load.CallEnded(now, t.server.Key, true)
	l.prefillFinished(t)
	t.streamStarted = true
}

// DisableResume tells that what has gone out can't be gone on with elsewhere: it was no
// stream, or had no ids to go on from.
//
// Example: l.DisableResume(id)
func (l *Dispatcher) DisableResume(id string) {
	if t := l.pending[id]; t != nil {
		t.Resumable = false
	}
}

// EventSent tells that one more event has gone out, d after the one before.
//
// Example: l.EventSent(id, 42*time.Millisecond)
func (l *Dispatcher) EventSent(id string, d time.Duration) {
	if t := l.pending[id]; t != nil {
		l.load.ObserveInterTokenLatency(t.server.Key, d)
	}
}

// DecodeDone takes the end of a writing call: OK means that all of it went out.
//
// Example: move := l.DecodeDone(now, id, forward.Lost, "reset")
func (l *Dispatcher) DecodeDone(now time.Duration, id string, out Outcome, why string) Decision {
	t := l.pending[id]
	l.callEnded(now, t, out)
	t.traceOutcome(now, out, why)
	if out == Blocked {
		return l.undoAttempt(now, t)
	}
	if out != NotSent {
		t.countedSends++
	}
	switch {
	case t.handle == nil:
	case out == HandleLost:
		t.lostHandles, t.handle = append(t.lostHandles, *t.handle), nil
	case out == OK || out == Lost: // taken up; who turned it away did not take it
		t.handle = nil
	}
	last := &t.attempts.Attempts[len(t.attempts.Attempts)-1]
	switch {
	case out == OK:
		t.attempts.Learn(attempt.Ended, "")
	case last.Known == attempt.First:
		t.attempts.Learn(attempt.First, why)
		if t.Resumable && t.Repeatable {
			l.counts.Resumed++
		}
	default:
		t.attempts.Learn(knownOf[out], why)
	}
	return l.decide(now, t)
}

// ClientGone tells that the client went away; whatever is under way is cut by the
// caller.
//
// Example: l.ClientGone(now, id, forward.Lost)
func (l *Dispatcher) ClientGone(now time.Duration, id string, calling bool) Decision {
	t := l.pending[id]
	if calling {
		l.callEnded(now, t, Blocked)
	}
	l.counts.Abandoned++
	return l.release(now, t, Decision{Action: Break, Reason: "the client went away"})
}

// giveUp is the last move where nothing more is to be tried.
func (l *Dispatcher) giveUp(now time.Duration, t *pendingRequest, why string) Decision {
	switch {
	case t.streamStarted:
		return l.finish(now, t, Break, why)
	case t.attempts.Ran():
		return l.finish(now, t, Unknown, why)
	}
	return l.finish(now, t, Refuse, why)
}

func (l *Dispatcher) finish(now time.Duration, t *pendingRequest, k Action, why string) Decision {
	switch k {
	case Done:
		l.counts.Served++
	case Refuse:
		l.counts.Refused++
	case Unknown:
		l.counts.Unknown++
	case Break:
		l.counts.Broken++
	}
	return l.release(now, t, Decision{Action: k, Reason: why, RetryAfter: l.cfg.RetryAfter})
}

func (l *Dispatcher) release(now time.Duration, t *pendingRequest, m Decision) Decision {
	delete(l.pending, t.ID)
	l.checkBalance()
	m.Trace = t.trace
	m.ReleaseHandles = append(m.ReleaseHandles, t.lostHandles...)
	if t.handle != nil {
		m.ReleaseHandles = append(m.ReleaseHandles, *t.handle)
		t.handle = nil
	}
	return m
}
