package overload

import (
	"fmt"
	"time"

	"mulleinmast/traffic/forward"
)

// startRequest simulates one client request: a first attempt, and a retry after a
// failure that permits one.
func (sim *simulation) startRequest(c Class) {
	sim.lastID++
	second := min(int(sim.now/time.Second), len(sim.result.Seconds)-1)
	s := &sim.result.Seconds[second]
	s.Started++
	call := forward.Request{
		Service: service, Disaggregated: true, Resumable: c.Attempts > 1, Repeatable: c.Attempts > 1,
		Urgency: c.Urgency, LeastUrgency: 1, MaxAttempts: c.Attempts, BodyBytes: 9 * c.OwnTokens,
		TTFTTarget: c.TTFTTarget, InterTokenTarget: c.InterTokenTarget, Deadline: sim.now + c.Deadline,
	}
	for i, tokens := range c.SharedTokens {
		// The second part is a variant below the first, as in a prompt prefix tree.
		key := uint64(i+1)<<40 | uint64(len(c.Name))<<32 | uint64(sim.rng.Intn(c.SharedVariants[i]))
		call.Parts = append(call.Parts, forward.Part{Key: key, Tokens: tokens})
		call.InputTokens += tokens
	}
	own := int(float64(c.OwnTokens) * (0.4 + 1.2*sim.rng.Float64()))
	call.Parts = append(call.Parts, forward.Part{Key: 1<<60 | uint64(sim.lastID), Tokens: own})
	call.InputTokens += own
	call.MaxOutputTokens = max(1, int(float64(c.OutputTokens)*(0.4+1.2*sim.rng.Float64())))
	sim.sendAttempt(c, call, sim.now, s, 1)
}

// sendAttempt sends an attempt to a random daemon. firstSentAt is the time of the client's
// first attempt.
func (sim *simulation) sendAttempt(
	c Class, call forward.Request, firstSentAt time.Duration, s *Second, retriesLeft int,
) {
	sim.lastID++
	s.Attempts++
	call.ID = fmt.Sprint("r", sim.lastID)
	t := &attempt{front: sim.daemons[sim.rng.Intn(len(sim.daemons))], call: call}
	var firstEventAt time.Duration
	t.onFirstEvent = func() { firstEventAt = sim.now }
	t.onEnd = func(end forward.Action, retryAfter time.Duration) {
		switch {
		case end == forward.Done && firstEventAt > 0 && firstEventAt-firstSentAt <= c.TTFTTarget:
			s.OnTime++
		case end == forward.Done:
			s.Late++
		case end == forward.Refuse && retriesLeft > 0 && sim.now+retryAfter < call.Deadline:
			sim.after(min(retryAfter, (call.Deadline-sim.now)/3), func() {
				sim.sendAttempt(c, call, firstSentAt, s, retriesLeft-1)
			})
		case end == forward.Refuse:
			s.Refused++
		case call.Repeatable && retriesLeft > 0 && sim.now < call.Deadline && !t.streaming:
			sim.sendAttempt(c, call, firstSentAt, s, retriesLeft-1)
		default:
			s.Failed++
		}
	}
	sim.after(networkLatency, t.start)
}
