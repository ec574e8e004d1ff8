package overload

import (
	"fmt"
	"time"

	"mulleinmast/traffic/forward"
)

// startRequest simulates one client request: a first attempt, and a retry after a
// failure that permits one.
func (w *simulation) startRequest(c Class) {
	w.ids++
	second := min(int(w.now/time.Second), len(w.result.Seconds)-1)
	s := &w.result.Seconds[second]
	s.Started++
	call := forward.Request{Service: service, Disaggregated: true, Resumable: c.Attempts > 1, Repeatable: c.Attempts > 1, Urgency: c.Urgency, LeastUrgency: 1, MaxAttempts: c.Attempts, TTFTTarget: c.TTFTTarget, InterTokenTarget: c.InterTokenTarget, Deadline: w.now + c.Deadline, BodyBytes: 9 * c.OwnTokens}
	for i, tokens := range c.SharedTokens {
		// The second part is a variant below the first, as in a prompt prefix tree.
		call.Parts = append(call.Parts, forward.Part{Key: uint64(i+1)<<40 | uint64(len(c.Name))<<32 | uint64(w.rng.Intn(c.SharedVariants[i])), Tokens: tokens})
		call.InputTokens += tokens
	}
	own := int(float64(c.OwnTokens) * (0.4 + 1.2*w.rng.Float64()))
	call.Parts = append(call.Parts, forward.Part{Key: 1<<60 | uint64(w.ids), Tokens: own})
	call.InputTokens += own
	call.MaxOutputTokens = max(1, int(float64(c.OutputTokens)*(0.4+1.2*w.rng.Float64())))
	w.sendAttempt(c, call, w.now, s, 1)
}

// sendAttempt sends an attempt to a random daemon. firstSentAt is the time of the client's
// first attempt.
func (w *simulation) sendAttempt(c Class, call forward.Request, firstSentAt time.Duration, s *Second, retriesLeft int) {
	w.ids++
	s.Attempts++
	call.ID = fmt.Sprint("r", w.ids)
	t := &attempt{front: w.daemons[w.rng.Intn(len(w.daemons))], call: call}
	var firstEventAt time.Duration
	t.onFirstEvent = func() { firstEventAt = w.now }
	t.onEnd = func(end forward.Action, retryAfter time.Duration) {
		switch {
		case end == forward.Done && firstEventAt > 0 && firstEventAt-firstSentAt <= c.TTFTTarget:
			s.OnTime++
		case end == forward.Done:
			s.Late++
		case end == forward.Refuse && retriesLeft > 0 && w.now+retryAfter < call.Deadline:
			w.after(min(retryAfter, (call.Deadline-w.now)/3), func() { w.sendAttempt(c, call, firstSentAt, s, retriesLeft-1) })
		case end == forward.Refuse:
			s.Refused++
		case call.Repeatable && retriesLeft > 0 && w.now < call.Deadline && !t.streaming:
			w.sendAttempt(c, call, firstSentAt, s, retriesLeft-1)
		default:
			s.Failed++
		}
	}
	w.after(networkLatency, t.start)
}
