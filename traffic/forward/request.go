package forward

import (
	"fmt"
	"hash/fnv"
	"time"

	"mulleinmast/traffic/attempt"
)

// pendingRequest is one request under way, with what is known of its attempts.
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
	countedSends     int           // sends that count against MaxAttempts: all but the first prefill that a server took
	prefillAccepted  bool          // a server took a prefill
	lostHandles      []Handle      // KV caches that a decode server could not get: they may be there still
	streamStarted    bool          // events have gone out to the client
	isRetry          bool          // the send under way is a retry
	firstSendCounted bool          // in the counts and for the retry ratio
	uncachedTokens   int           // that the server under way has to read, as far as known
	predictedWait    time.Duration // behind other requests, as the last pick predicts it
	predictedPrefill time.Duration // to read its prompt, by the same pick
	trace            []string
}

// maxAttempts is the number of sends that count.
func (r *pendingRequest) maxAttempts() int { return max(1, r.MaxAttempts) }

// Start takes a request in and makes its first decision. Its id is its client's
// own: while a request of the same id is under way here it is a duplicate, and ends
// at once.
//
// Example: decision := d.Start(now, request)
func (d *Dispatcher) Start(now time.Duration, c Request) Decision {
	if d.pending[c.ID] != nil {
		d.counts.Duplicates++
		return Decision{Action: Duplicate, Reason: "a request of this id is under way"}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.ID))
	r := &pendingRequest{
		Request:   c,
		arrivedAt: now,
		attempts:  attempt.Ledger{AtMostOnce: !c.Repeatable, MaxPerPhase: max(1, c.MaxAttempts)},
		hash:      h.Sum64(),
	}
	d.pending[c.ID] = r
	if c.TTFTTarget > 0 && (d.shortestTTFT == 0 || c.TTFTTarget < d.shortestTTFT) {
		d.shortestTTFT = c.TTFTTarget
	}
	if c.InterTokenTarget > 0 && (d.shortestInterToken == 0 || c.InterTokenTarget < d.shortestInterToken) {
		d.shortestInterToken = c.InterTokenTarget
	}
	return d.decide(now, r)
}

// Continue makes the decision after a Wait.
//
// Example: decision := d.Continue(now, id)
func (d *Dispatcher) Continue(now time.Duration, id string) Decision {
	return d.decide(now, d.pending[id])
}

// decide derives the next decision from what is known of the attempts.
func (d *Dispatcher) decide(now time.Duration, r *pendingRequest) Decision {
	if m, final := d.decideByAttempts(now, r); final {
		return m
	}
	if !d.refreshServers(now) || len(d.servable) == 0 {
		return d.wait(now, r, "no valid leases here")
	}
	m, ok := d.pickServer(now, r)
	if !ok {
		return d.wait(now, r, "no server to go to")
	}
	if !d.canMeetTarget(now, r) {
		return d.giveUp(r, "it can't be in time: the servers have too much under way")
	}
	isRetry := r.countedSends > 0 || m.Action == Prefill && r.prefillAccepted
	if isRetry && !d.takeRetry(now) {
		return d.giveUp(r, "no further try to spare")
	}
	r.isRetry = isRetry
	return d.startAttempt(now, r, m)
}

// decideByAttempts ends a request whose attempts and deadline leave nothing to do;
// final is false if another attempt may be made.
func (d *Dispatcher) decideByAttempts(now time.Duration, r *pendingRequest) (m Decision, final bool) {
	last, n := r.lastAttempt()
	switch {
	case n > 0 && last.Known == attempt.Ended:
		return d.finish(r, Done, ""), true // even if its time is up by now
	case now >= r.Deadline:
		return d.giveUp(r, "its time is up"), true
	case n == 0:
	case last.Known == attempt.First && !(r.Resumable && r.Repeatable):
		return d.finish(r, Break, last.Why), true
	case last.Known == attempt.Lost && last.Phase == attempt.Decode && !r.Repeatable:
		return d.finish(r, Unknown, last.Why), true
	case last.Known == attempt.NotSent && n > 2*r.maxAttempts():
		return d.giveUp(r, last.Why), true
	}
	if r.countedSends > 0 && (r.countedSends >= r.maxAttempts() || !d.retries.Has(now)) {
		return d.giveUp(r, "no further try to spare after: "+last.Why), true
	}
	return Decision{}, false
}

// lastAttempt is the last attempt, and how many there were.
func (r *pendingRequest) lastAttempt() (last attempt.Attempt, n int) {
	n = len(r.attempts.Attempts)
	if n > 0 {
		last = r.attempts.Attempts[n-1]
	}
	return last, n
}

// startAttempt opens an attempt at the server that was picked, and counts it.
func (d *Dispatcher) startAttempt(now time.Duration, r *pendingRequest, m Decision) Decision {
	r.attemptNumber++
	r.server, r.sentAt = m.Server, now
	m.Attempt, m.Until = r.attemptNumber, r.Deadline
	d.statsOf(m.Server.Key).inFlight++
	if m.Server.Warming {
		d.statsOf(m.Server.Key).warmupSentAt = now
	}
	switch {
	case m.Action == Prefill:
		r.phase = attempt.Prefill
		d.load.AddLoad(m.Server.Key, r.uncachedTokens, 0)
	case m.Handle != nil:
		r.phase, r.uncachedTokens = attempt.Decode, 0
		d.load.AddLoad(m.Server.Key, 0, 1)
	default:
		r.phase = attempt.Decode
		d.load.AddLoad(m.Server.Key, r.uncachedTokens, 1)
	}
	if r.isRetry {
		d.counts.Retries++
	} else if !r.firstSendCounted { // MaySend may block it and have it come here again
		r.firstSendCounted = true
		d.counts.FirstSends++
		d.retries.Earn(now)
		d.window.turn(now, d.cfg.RetryWindow)
		d.window.first++
		if m.Action == Prefill {
			d.counts.Disaggregated++
		} else {
			d.counts.Combined++
		}
	}
	m.Priority = d.priority(now, r, m)
	r.attempts.Add(r.phase, m.Server.Key)
	r.trace = append(r.trace, fmt.Sprintf("%s at %s (%s), %d tokens to read, after %d ms",
		m.Action, m.Server.Addr, m.Server.Zone, r.uncachedTokens, (now-r.arrivedAt).Milliseconds()))
	return m
}

// priority is a request's place among others at a server: its route's urgency, but
// one that can't meet its TTFT target any more gives way to all that still can, and
// a short prompt need not wait behind long ones.
func (d *Dispatcher) priority(now time.Duration, r *pendingRequest, m Decision) int {
	switch {
	case !r.streamStarted && now-r.arrivedAt > r.TTFTTarget:
		return min(9, r.LeastUrgency+1+r.Urgency)
	case m.Action == Prefill && prefillTime(r.uncachedTokens, d.prefillRate) <= r.TTFTTarget/16:
		return 0
	}
	return min(9, r.Urgency)
}

// callEnded records the end of the call under way.
func (d *Dispatcher) callEnded(now time.Duration, r *pendingRequest, out Outcome) {
	st := d.statsOf(r.server.Key)
	st.inFlight--
	st.seenAt = now
	d.prefillFinished(r)
	accountsBalance.Hold(st.inFlight >= 0,
		"%s: %d calls under way at %s after %s ended", d.service, st.inFlight, r.server.Key, r.ID)
	if r.phase == attempt.Decode {
		d.load.AddLoad(r.server.Key, 0, -1)
	}
	if out == NotSent && r.isRetry { // nothing arrived
		d.returnRetry(r.sentAt)
	}
	switch out {
	case NotSent, Lost: // a longer backoff each time, until it answers
		st.backoffUntil = now + d.cfg.FailureBackoff<<min(st.consecutiveFailures, 3)
		st.consecutiveFailures++
		d.load.CallEnded(now, r.server.Key, false)
	case Overloaded, WrongServer:
		st.backoffUntil = now + d.cfg.RejectionBackoff
		d.load.CallEnded(now, r.server.Key, true)
	case OK, HandleLost:
		st.backoffUntil, st.consecutiveFailures = 0, 0
		d.load.CallEnded(now, r.server.Key, true)
	}
}

// prefillFinished takes the prompt under way off the server's load once it was read.
func (d *Dispatcher) prefillFinished(r *pendingRequest) {
	if r.uncachedTokens > 0 {
		d.load.AddLoad(r.server.Key, -r.uncachedTokens, 0)
		r.uncachedTokens = 0
	}
}

// recordPrefix records that the server under way has the prompt cached now.
func (d *Dispatcher) recordPrefix(r *pendingRequest, tokens int) {
	if n, key := sharedPrefix(r.Parts); n > 0 {
		d.load.RecordPrefix(key, r.server.Key, tokens)
	}
}

// traceOutcome adds the outcome to the last line of the trace.
func (r *pendingRequest) traceOutcome(now time.Duration, out Outcome, why string) {
	if len(r.trace) == 0 {
		return
	}
	last := &r.trace[len(r.trace)-1]
	*last += fmt.Sprintf("; %s after %d ms", out, (now - r.arrivedAt).Milliseconds())
	if why != "" {
		*last += ": " + why
	}
}

// checkBalance checks that no server is thought busy when no request is under way.
func (d *Dispatcher) checkBalance() {
	if len(d.pending) > 0 {
		return
	}
	for key, st := range d.stats {
		accountsBalance.Hold(st.inFlight == 0,
			"%s: no request is under way, and %d calls are at %s", d.service, st.inFlight, key)
	}
}

// undoAttempt takes back an attempt of which nothing went out.
func (d *Dispatcher) undoAttempt(r *pendingRequest) {
	r.attempts.Undo()
	r.trace = r.trace[:len(r.trace)-1]
	if r.isRetry {
		d.counts.Retries--
		d.returnRetry(r.sentAt)
	}
}

// knownOf is what an outcome tells of its attempt.
var knownOf = map[Outcome]attempt.State{
	NotSent:     attempt.NotSent,
	Overloaded:  attempt.Refused,
	WrongServer: attempt.Refused,
	HandleLost:  attempt.HandleLost,
	Lost:        attempt.Lost,
}

// PrefillDone takes the end of a prefill.
//
// Example: decision := d.PrefillDone(now, id, forward.OK, forward.Handle{ID: "3fa0", ...}, "")
func (d *Dispatcher) PrefillDone(now time.Duration, id string, out Outcome, h Handle, why string) Decision {
	r := d.pending[id]
	unread := r.uncachedTokens
	d.callEnded(now, r, out)
	r.traceOutcome(now, out, why)
	if out == Blocked {
		d.undoAttempt(r)
		return d.decide(now, r)
	}
	switch {
	case out == Overloaded || out == WrongServer || (out == OK || out == Lost) && r.prefillAccepted:
		r.countedSends++
	case out == OK || out == Lost:
		if r.prefillAccepted = true; r.isRetry { // it did not count
			d.returnRetry(r.sentAt)
		}
	}
	if out == OK && (h.RequestID != r.ID || h.Attempt != r.attemptNumber || h.Server.Key != r.server.Key || h.ID == "") {
		out, why = Lost, "a handle that is not this request's"
	}
	if out == OK {
		r.handle = &h
		d.recordPrefix(r, unread)
		r.attempts.Record(attempt.Prefilled, "")
		return d.decide(now, r)
	}
	r.attempts.Record(knownOf[out], why)
	return d.decide(now, r)
}

// StreamStarted tells that the first event of a stream, or the head of another answer,
// has gone out to the client.
//
// Example: d.StreamStarted(now, id)
func (d *Dispatcher) StreamStarted(now time.Duration, id string) {
	r := d.pending[id]
	if r.attempts.Attempts[len(r.attempts.Attempts)-1].Known == attempt.Open {
		r.attempts.Record(attempt.First, "")
		fresh := r.uncachedTokens
		if r.handle != nil {
			fresh = r.InputTokens
		}
		d.recordPrefix(r, fresh)
	}
	d.load.CallEnded(now, r.server.Key, true)
	d.prefillFinished(r)
	r.streamStarted = true
}

// DisableResume tells that what has gone out can't be resumed at another server: it
// was no stream, or its events had no ids to go on from.
//
// Example: d.DisableResume(id)
func (d *Dispatcher) DisableResume(id string) {
	if r := d.pending[id]; r != nil {
		r.Resumable = false
	}
}

// EventSent tells that one more event has gone out, so long after the one before.
//
// Example: d.EventSent(id, 42*time.Millisecond)
func (d *Dispatcher) EventSent(id string, sinceLast time.Duration) {
	if r := d.pending[id]; r != nil {
		d.load.ObserveInterTokenLatency(r.server.Key, sinceLast)
	}
}

// DecodeDone takes the end of a decode: OK means that all of it went out.
//
// Example: decision := d.DecodeDone(now, id, forward.Lost, "reset")
func (d *Dispatcher) DecodeDone(now time.Duration, id string, out Outcome, why string) Decision {
	r := d.pending[id]
	d.callEnded(now, r, out)
	r.traceOutcome(now, out, why)
	if out == Blocked {
		d.undoAttempt(r)
		return d.decide(now, r)
	}
	if out != NotSent {
		r.countedSends++
	}
	switch {
	case r.handle == nil:
	case out == HandleLost:
		r.lostHandles, r.handle = append(r.lostHandles, *r.handle), nil
	case out == OK || out == Lost: // taken up; a server that rejected it did not take it
		r.handle = nil
	}
	last := &r.attempts.Attempts[len(r.attempts.Attempts)-1]
	switch {
	case out == OK:
		r.attempts.Record(attempt.Ended, "")
	case last.Known == attempt.First:
		r.attempts.Record(attempt.First, why)
		if r.Resumable && r.Repeatable {
			d.counts.Resumed++
		}
	default:
		r.attempts.Record(knownOf[out], why)
	}
	return d.decide(now, r)
}

// ClientGone tells that the client went away; calling says that a call is under way,
// which the caller cuts.
//
// Example: d.ClientGone(now, id, true)
func (d *Dispatcher) ClientGone(now time.Duration, id string, calling bool) Decision {
	r := d.pending[id]
	if calling {
		d.callEnded(now, r, Blocked)
	}
	d.counts.Abandoned++
	return d.release(r, Decision{Action: Break, Reason: "the client went away"})
}

// Withdraw ends a request that may not go on; its last decision was a call, which its caller
// doesn't make.
//
// Example: decision := d.Withdraw(now, id, "its key was taken away")
func (d *Dispatcher) Withdraw(now time.Duration, id, why string) Decision {
	r := d.pending[id]
	d.callEnded(now, r, Blocked)
	d.undoAttempt(r)
	return d.giveUp(r, why)
}

// giveUp is the last decision where nothing more is to be tried.
func (d *Dispatcher) giveUp(r *pendingRequest, why string) Decision {
	switch {
	case r.streamStarted:
		return d.finish(r, Break, why)
	case r.attempts.MayHaveRun():
		return d.finish(r, Unknown, why)
	}
	return d.finish(r, Refuse, why)
}

// finish counts a final decision and ends the request.
func (d *Dispatcher) finish(r *pendingRequest, k Action, why string) Decision {
	switch k {
	case Done:
		d.counts.Served++
	case Refuse:
		d.counts.Refused++
	case Unknown:
		d.counts.Unknown++
	case Break:
		d.counts.Broken++
	}
	return d.release(r, Decision{Action: k, Reason: why, RetryAfter: d.cfg.RetryAfter})
}

// release forgets the request and hands back the KV caches that nobody took up.
func (d *Dispatcher) release(r *pendingRequest, m Decision) Decision {
	delete(d.pending, r.ID)
	d.checkBalance()
	m.Trace = r.trace
	m.ReleaseHandles = append(m.ReleaseHandles, r.lostHandles...)
	if r.handle != nil {
		m.ReleaseHandles = append(m.ReleaseHandles, *r.handle)
		r.handle = nil
	}
	return m
}
