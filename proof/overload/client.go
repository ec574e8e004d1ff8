package overload

import (
	"fmt"
	"time"

	"mulleinmast/traffic/forward"
)

// ask is one request of a client: a try, and one more after a failure that lets it.
func (w *world) ask(c Class) {
	w.ids++
	second := min(int(w.now/time.Second), len(w.result.Seconds)-1)
	s := &w.result.Seconds[second]
	s.Asked++
	call := forward.Request{Service: service, Disaggregated: true, Resumable: c.Tries > 1, Repeatable: c.Tries > 1, Urgency: c.Urgency, LeastUrgency: 1, MaxAttempts: c.Tries, TTFTTarget: c.Aim, InterTokenTarget: c.Gap, Deadline: w.now + c.Deadline, BodyBytes: 9 * c.Own}
	for i, tokens := range c.Shared {
		// The second part belongs to one of the first: a chain, as prompts are.
		call.Parts = append(call.Parts, forward.Part{Key: uint64(i+1)<<40 | uint64(len(c.Name))<<32 | uint64(w.rng.Intn(c.Things[i])), Tokens: tokens})
		call.InputTokens += tokens
	}
	own := int(float64(c.Own) * (0.4 + 1.2*w.rng.Float64()))
	call.Parts = append(call.Parts, forward.Part{Key: 1<<60 | uint64(w.ids), Tokens: own})
	call.InputTokens += own
	call.MaxOutputTokens = max(1, int(float64(c.Out)*(0.4+1.2*w.rng.Float64())))
	w.attempt(c, call, w.now, s, 1)
}

// attempt sends a try to some daemon. began is when the client's first try was.
func (w *world) attempt(c Class, call forward.Request, began time.Duration, s *Second, left int) {
	w.ids++
	s.Tries++
	call.ID = fmt.Sprint("r", w.ids)
	t := &try{f: w.daemons[w.rng.Intn(len(w.daemons))], call: call}
	var firstAt time.Duration
	t.first = func() { firstAt = w.now }
	t.told = func(k forward.Action, back time.Duration) {
		switch {
		case k == forward.Done && firstAt > 0 && firstAt-began <= c.Aim:
			s.InAim++
		case k == forward.Done:
			s.Late++
		case k == forward.Refuse && left > 0 && w.now+back < call.Deadline:
			w.after(min(back, (call.Deadline-w.now)/3), func() { w.attempt(c, call, began, s, left-1) })
		case k == forward.Refuse:
			s.Refused++
		case call.Repeatable && left > 0 && w.now < call.Deadline && !t.began:
			w.attempt(c, call, began, s, left-1)
		default:
			s.Failed++
		}
	}
	w.after(hop, t.start)
}
