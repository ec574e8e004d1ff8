package forward

import (
	"fmt"
	"hash/fnv"
	"time"

	"mulleinmast/traffic/attempt"
)

// pendingRequest is a request in progress with the state of its attempts.
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
	countedSends     int           // sends that reached a server, except the first accepted prefill
	prefillAccepted  bool          // a server accepted a prefill
	lostHandles      []Handle      // KV caches that a decode server could not fetch; they may still exist
	streamStarted    bool          // events were sent to the client
	isRetry          bool          // the current send is a retry
	firstSendCounted bool          // the first send was counted in Counts and the retry bucket
	uncachedTokens   int           // tokens that the current server still has to prefill, as far as known
	predictedWait    time.Duration // wait for other requests, as predicted by the last pick
	predictedPrefill time.Duration // prefill time of the prompt, as predicted by the last pick
	trace            []string
}

// maxAttempts returns the limit for countedSends.
func (r *pendingRequest) maxAttempts() int { return max(1, r.MaxAttempts) }

// Start accepts a request and returns the first decision. The client chooses the request's
// ID: while another request with the same ID is pending here, the new one is a duplicate
// and ends immediately.
//
// Example: decision := d.Start(now, request)
func (d *Dispatcher) Start(now time.Duration, req Request) Decision {
	if d.pending[req.ID] != nil {
		d.counts.Duplicates++
		return Decision{Action: Duplicate, Reason: "a request of this id is under way"}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(req.ID))
	r := &pendingRequest{
		Request:   req,
		arrivedAt: now,
		attempts:  attempt.Ledger{AtMostOnce: !req.Repeatable, MaxPerPhase: max(1, req.MaxAttempts)},
		hash:      h.Sum64(),
	}
	d.pending[req.ID] = r
	if req.TTFTTarget > 0 && (d.shortestTTFT == 0 || req.TTFTTarget < d.shortestTTFT) {
		d.shortestTTFT = req.TTFTTarget
	}
	if req.InterTokenTarget > 0 && (d.shortestInterToken == 0 || req.InterTokenTarget < d.shortestInterToken) {
		d.shortestInterToken = req.InterTokenTarget
	}
	return d.decide(now, r)
}

// Continue returns the next decision after a Wait.
//
// Example: decision := d.Continue(now, id)
func (d *Dispatcher) Continue(now time.Duration, id string) Decision {
	return d.decide(now, d.pending[id])
}

// decide derives the next decision from the state of the attempts.
func (d *Dispatcher) decide(now time.Duration, r *pendingRequest) Decision {
	if decision, final := d.decideByAttempts(now, r); final {
		return decision
	}
	if !d.refreshServers(now) || len(d.servable) == 0 {
		return d.wait(now, r, "no valid leases here")
	}
	decision, ok := d.pickServer(now, r)
	if !ok {
		return d.wait(now, r, "no server to go to")
	}
	if !d.canMeetTarget(now, r) {
		return d.giveUp(r, "it can't be in time: the servers have too much under way")
	}
	isRetry := r.countedSends > 0 || decision.Action == Prefill && r.prefillAccepted
	if isRetry && !d.takeRetry(now) {
		return d.giveUp(r, "no further try to spare")
	}
	r.isRetry = isRetry
	return d.startAttempt(now, r, decision)
}

// decideByAttempts ends a request whose attempts or deadline allow no further attempt;
// final is false if another attempt may be made.
func (d *Dispatcher) decideByAttempts(now time.Duration, r *pendingRequest) (decision Decision, final bool) {
	last, n := r.lastAttempt()
	switch {
	case n > 0 && last.State == attempt.Ended:
		return d.finish(r, Done, ""), true // even if the deadline has passed by now
	case now >= r.Deadline:
		return d.giveUp(r, "its time is up"), true
	case n == 0:
	case last.State == attempt.Streaming && !(r.Resumable && r.Repeatable):
		return d.finish(r, Break, last.Why), true
	case last.State == attempt.Lost && last.Phase == attempt.Decode && !r.Repeatable:
		return d.finish(r, Unknown, last.Why), true
	case last.State == attempt.NotSent && n > 2*r.maxAttempts():
		return d.giveUp(r, last.Why), true
	}
	if r.countedSends > 0 && (r.countedSends >= r.maxAttempts() || !d.retries.Has(now)) {
		return d.giveUp(r, "no further try to spare after: "+last.Why), true
	}
	return Decision{}, false
}

// lastAttempt returns the last attempt and the number of attempts.
func (r *pendingRequest) lastAttempt() (last attempt.Attempt, n int) {
	n = len(r.attempts.Attempts)
	if n > 0 {
		last = r.attempts.Attempts[n-1]
	}
	return last, n
}

// startAttempt starts and counts an attempt at the picked server.
func (d *Dispatcher) startAttempt(now time.Duration, r *pendingRequest, decision Decision) Decision {
	r.attemptNumber++
	r.server, r.sentAt = decision.Server, now
	decision.Attempt, decision.Until = r.attemptNumber, r.Deadline
	d.statsOf(decision.Server.Key).inFlight++
	if decision.Server.Warming {
		d.statsOf(decision.Server.Key).warmupSentAt = now
	}
	switch {
	case decision.Action == Prefill:
		r.phase = attempt.Prefill
		d.load.AddLoad(decision.Server.Key, r.uncachedTokens, 0)
	case decision.Handle != nil:
		r.phase, r.uncachedTokens = attempt.Decode, 0
		d.load.AddLoad(decision.Server.Key, 0, 1)
	default:
		r.phase = attempt.Decode
		d.load.AddLoad(decision.Server.Key, r.uncachedTokens, 1)
	}
	if r.isRetry {
		d.counts.Retries++
	} else if !r.firstSendCounted { // not counted again after MaySend blocked a send
		r.firstSendCounted = true
		d.counts.FirstSends++
		d.retries.Earn(now)
		d.retryWindow.rotate(now, d.cfg.RetryWindow)
		d.retryWindow.firstSends++
		if decision.Action == Prefill {
			d.counts.Disaggregated++
		} else {
			d.counts.Combined++
		}
	}
	decision.Priority = d.priority(now, r, decision)
	r.attempts.Add(r.phase, decision.Server.Key)
	r.trace = append(r.trace, fmt.Sprintf("%s at %s (%s), %d tokens to read, after %d ms",
		decision.Action, decision.Server.Addr, decision.Server.Zone, r.uncachedTokens, (now-r.arrivedAt).Milliseconds()))
	return decision
}

// priority returns a request's priority at a server, which is normally the urgency of its
// route. A request that has missed its TTFT target yields to all requests that can still meet
// theirs. A short prefill gets the highest priority, so that it doesn't wait behind long ones.
func (d *Dispatcher) priority(now time.Duration, r *pendingRequest, decision Decision) int {
	switch {
	case !r.streamStarted && now-r.arrivedAt > r.TTFTTarget:
		return min(9, r.LeastUrgency+1+r.Urgency)
	case decision.Action == Prefill && prefillTime(r.uncachedTokens, d.prefillRate) <= r.TTFTTarget/16:
		return 0
	}
	return min(9, r.Urgency)
}

// callEnded records the end of the current call.
func (d *Dispatcher) callEnded(now time.Duration, r *pendingRequest, outcome Outcome) {
	st := d.statsOf(r.server.Key)
	st.inFlight--
	st.seenAt = now
	d.prefillFinished(r)
	inFlightBalanced.Hold(st.inFlight >= 0,
		"%s: %d calls in flight at %s after %s ended", d.service, st.inFlight, r.server.Key, r.ID)
	if r.phase == attempt.Decode {
		d.load.AddLoad(r.server.Key, 0, -1)
	}
	if outcome == NotSent && r.isRetry { // nothing reached the server
		d.returnRetry(r.sentAt)
	}
	switch outcome {
	case NotSent, Lost: // the backoff doubles per failure, up to 8 times FailureBackoff
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

// prefillFinished removes the current prompt from the server's load once it is prefilled.
func (d *Dispatcher) prefillFinished(r *pendingRequest) {
	if r.uncachedTokens > 0 {
		d.load.AddLoad(r.server.Key, -r.uncachedTokens, 0)
		r.uncachedTokens = 0
	}
}

// recordPrefix records that the current server has the prompt cached now.
func (d *Dispatcher) recordPrefix(r *pendingRequest, tokens int) {
	if n, key := sharedPrefix(r.Parts); n > 0 {
		d.load.RecordPrefix(key, r.server.Key, tokens)
	}
}

// traceOutcome appends the outcome to the last entry of the trace.
func (r *pendingRequest) traceOutcome(now time.Duration, outcome Outcome, why string) {
	if len(r.trace) == 0 {
		return
	}
	last := &r.trace[len(r.trace)-1]
	*last += fmt.Sprintf("; %s after %d ms", outcome, (now - r.arrivedAt).Milliseconds())
	if why != "" {
		*last += ": " + why
	}
}

// checkBalance checks that no calls are counted as in flight when no request is pending.
func (d *Dispatcher) checkBalance() {
	if len(d.pending) > 0 {
		return
	}
	for key, st := range d.stats {
		inFlightBalanced.Hold(st.inFlight == 0,
			"%s: no request is pending, but %d calls are in flight at %s", d.service, st.inFlight, key)
	}
}

// undoAttempt removes an attempt of which nothing was sent.
func (d *Dispatcher) undoAttempt(r *pendingRequest) {
	r.attempts.Undo()
	r.trace = r.trace[:len(r.trace)-1]
	if r.isRetry {
		d.counts.Retries--
		d.returnRetry(r.sentAt)
	}
}

// stateOf maps the outcome of a call to the state of its attempt.
var stateOf = map[Outcome]attempt.State{
	NotSent:     attempt.NotSent,
	Overloaded:  attempt.Refused,
	WrongServer: attempt.Refused,
	HandleLost:  attempt.HandleLost,
	Lost:        attempt.Lost,
}

// PrefillDone handles the end of a prefill and returns the next decision.
//
// Example: decision := d.PrefillDone(now, id, forward.OK, forward.Handle{ID: "3fa0", ...}, "")
func (d *Dispatcher) PrefillDone(now time.Duration, id string, outcome Outcome, h Handle, why string) Decision {
	r := d.pending[id]
	uncachedTokens := r.uncachedTokens
	d.callEnded(now, r, outcome)
	r.traceOutcome(now, outcome, why)
	if outcome == Blocked {
		d.undoAttempt(r)
		return d.decide(now, r)
	}
	switch {
	case outcome == Overloaded || outcome == WrongServer || (outcome == OK || outcome == Lost) && r.prefillAccepted:
		r.countedSends++
	case outcome == OK || outcome == Lost:
		if r.prefillAccepted = true; r.isRetry { // the first accepted prefill doesn't count
			d.returnRetry(r.sentAt)
		}
	}
	if outcome == OK && (h.RequestID != r.ID || h.Attempt != r.attemptNumber ||
		h.Server.Key != r.server.Key || h.ID == "") {
		outcome, why = Lost, "a handle that is not this request's"
	}
	if outcome == OK {
		r.handle = &h
		d.recordPrefix(r, uncachedTokens)
		r.attempts.Record(attempt.Prefilled, "")
		return d.decide(now, r)
	}
	r.attempts.Record(stateOf[outcome], why)
	return d.decide(now, r)
}

// StreamStarted records that the first event of a stream, or the head of another answer,
// was sent to the client.
//
// Example: d.StreamStarted(now, id)
func (d *Dispatcher) StreamStarted(now time.Duration, id string) {
	r := d.pending[id]
	if r.attempts.Attempts[len(r.attempts.Attempts)-1].State == attempt.Open {
		r.attempts.Record(attempt.Streaming, "")
		newTokens := r.uncachedTokens
		if r.handle != nil {
			newTokens = r.InputTokens
		}
		d.recordPrefix(r, newTokens)
	}
	d.load.CallEnded(now, r.server.Key, true)
	d.prefillFinished(r)
	r.streamStarted = true
}

// DisableResume records that an answer can't be resumed at another server: it is not a
// stream, or its events have no IDs to resume from.
//
// Example: d.DisableResume(id)
func (d *Dispatcher) DisableResume(id string) {
	if r := d.pending[id]; r != nil {
		r.Resumable = false
	}
}

// EventSent records that another event was sent to the client, and the time since the previous one.
//
// Example: d.EventSent(id, 42*time.Millisecond)
func (d *Dispatcher) EventSent(id string, sinceLast time.Duration) {
	if r := d.pending[id]; r != nil {
		d.load.ObserveInterTokenLatency(r.server.Key, sinceLast)
	}
}

// DecodeDone handles the end of a decode and returns the next decision. OK means that the
// complete answer was sent.
//
// Example: decision := d.DecodeDone(now, id, forward.Lost, "reset")
func (d *Dispatcher) DecodeDone(now time.Duration, id string, outcome Outcome, why string) Decision {
	r := d.pending[id]
	d.callEnded(now, r, outcome)
	r.traceOutcome(now, outcome, why)
	if outcome == Blocked {
		d.undoAttempt(r)
		return d.decide(now, r)
	}
	if outcome != NotSent {
		r.countedSends++
	}
	switch {
	case r.handle == nil:
	case outcome == HandleLost:
		r.lostHandles, r.handle = append(r.lostHandles, *r.handle), nil
	case outcome == OK || outcome == Lost: // the server fetched the KV cache, unlike one that rejects the call
		r.handle = nil
	}
	last := &r.attempts.Attempts[len(r.attempts.Attempts)-1]
	switch {
	case outcome == OK:
		r.attempts.Record(attempt.Ended, "")
	case last.State == attempt.Streaming:
		r.attempts.Record(attempt.Streaming, why)
		if r.Resumable && r.Repeatable {
			d.counts.Resumed++
		}
	default:
		r.attempts.Record(stateOf[outcome], why)
	}
	return d.decide(now, r)
}

// ClientGone ends a request whose client disconnected. calling is true if a call is in
// flight; the caller must cancel this call.
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

// Withdraw ends a request that may not continue. The caller must not make the call that the last
// decision asked for.
//
// Example: decision := d.Withdraw(now, id, "its key was taken away")
func (d *Dispatcher) Withdraw(now time.Duration, id, why string) Decision {
	r := d.pending[id]
	d.callEnded(now, r, Blocked)
	d.undoAttempt(r)
	return d.giveUp(r, why)
}

// giveUp ends a request that gets no further attempt.
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
func (d *Dispatcher) finish(r *pendingRequest, action Action, why string) Decision {
	switch action {
	case Done:
		d.counts.Served++
	case Refuse:
		d.counts.Refused++
	case Unknown:
		d.counts.Unknown++
	case Break:
		d.counts.Broken++
	}
	return d.release(r, Decision{Action: action, Reason: why, RetryAfter: d.cfg.RetryAfter})
}

// release removes the request and returns its unused KV caches for release.
func (d *Dispatcher) release(r *pendingRequest, decision Decision) Decision {
	delete(d.pending, r.ID)
	d.checkBalance()
	decision.Trace = r.trace
	decision.ReleaseHandles = append(decision.ReleaseHandles, r.lostHandles...)
	if r.handle != nil {
		decision.ReleaseHandles = append(decision.ReleaseHandles, *r.handle)
		r.handle = nil
	}
	return decision
}
