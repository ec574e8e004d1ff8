// Package attempt is the ledger of one request: each attempt and what is known
// of it. The next move is a pure function of the ledger.
package attempt

import "time"

// Known is what is known of an attempt.
type Known uint8

// What can be known. For a prefill Lost means only wasted work; for a decode
// it means that the request may have run.
const (
	Open       Known = iota // no outcome yet
	NotSent                 // nothing reached the server
	Refused                 // the server said that it did not and will not run it
	Prefilled               // a prefill ended and left a handle
	HandleLost              // a decode was turned away: its handle is gone or not ours
	Lost                    // sent, and no word
	First                   // a piece has gone out to the client, more may come
	Ended                   // the whole answer has gone out
)

var names = [...]string{"open", "not sent", "shed", "handle", "lapsed", "lost", "first piece", "ended"}

// String names what is known.
//
// Example: attempt.Lost.String() == "lost"
func (k Known) String() string { return names[k] }

// Phase is the half of the work that an attempt did.
type Phase uint8

// The phases.
const (
	Prefill Phase = iota
	Decode
)

// String names the phase.
//
// Example: attempt.Decode.String() == "decode"
func (p Phase) String() string { return [...]string{"prefill", "decode"}[p] }

// Attempt is one line of the ledger.
type Attempt struct {
	Phase  Phase  `json:"phase"`
	Server string `json:"server"`
	Known  Known  `json:"known"`
	Why    string `json:"why,omitempty"`
}

// Move is what to do next.
type Move uint8

// The moves.
const (
	Wait      Move = iota // an attempt is open
	DoPrefill             // find a prefill server
	DoDecode              // hand over to a decode server
	Refuse                // final: not run and never will be
	Unknown               // final: may have run
	Break                 // final: abort the stream
	Finish                // final: all went out
)

// String names the move.
//
// Example: attempt.Refuse.String() == "refused"
func (m Move) String() string {
	return [...]string{"wait", "prefill", "decode", "shed", "uncertain", "break", "finish"}[m]
}

// Ledger is a request's attempts.
type Ledger struct {
	AtMostOnce  bool
	MaxPerPhase int // attempts of one phase
	Attempts    []Attempt
}

// Add opens an attempt.
//
// Example: l.Add(attempt.Prefill, "127.0.0.1:9000")
func (l *Ledger) Add(p Phase, server string) {
	l.Attempts = append(l.Attempts, Attempt{Phase: p, Server: server})
}

// Record says what became of the last attempt.
//
// Example: l.Record(attempt.Refused, "503")
func (l *Ledger) Record(k Known, why string) {
	a := &l.Attempts[len(l.Attempts)-1]
	a.Known, a.Why = k, why
}

// MayHaveRun tells whether the request may have run anywhere.
//
// Example: if !l.MayHaveRun() { refused() }
func (l Ledger) MayHaveRun() bool {
	for _, a := range l.Attempts {
		if a.Phase == Decode && (a.Known == Open || a.Known == Lost || a.Known == First || a.Known == Ended) {
			return true
		}
	}
	return false
}

// Tries counts the attempts of a phase.
//
// Example: l.Tries(attempt.Decode)
func (l Ledger) Tries(p Phase) int {
	n := 0
	for _, a := range l.Attempts {
		if a.Phase == p {
			n++
		}
	}
	return n
}

// Tried tells whether a server had an attempt of this phase.
//
// Example: if l.Tried(attempt.Prefill, addr) { avoid(addr) }
func (l Ledger) Tried(p Phase, addr string) bool {
	for _, a := range l.Attempts {
		if a.Phase == p && a.Server == addr {
			return true
		}
	}
	return false
}

// Next derives the next move; again tells whether it is a retry and so needs
// a token. Where none is to be had, End tells the final answer.
//
// Example: move, again := l.Next()
func (l Ledger) Next() (m Move, again bool) {
	if len(l.Attempts) == 0 {
		return DoPrefill, false
	}
	last := l.Attempts[len(l.Attempts)-1]
	if last.Phase == Prefill {
		switch last.Known {
		case Open:
			return Wait, false
		case Prefilled:
			return DoDecode, false
		}
		return l.or(DoPrefill, l.Tries(Prefill) < l.MaxPerPhase), true
	}
	switch last.Known {
	case Open:
		return Wait, false
	case Ended:
		return Finish, false
	case First:
		return Break, false
	case NotSent, Refused:
		return l.or(DoDecode, l.Tries(Decode) < l.MaxPerPhase), true
	case HandleLost:
		return l.or(DoPrefill, l.Tries(Prefill) < l.MaxPerPhase), true
	}
	// Lost: a once request is never sent again.
	return l.or(DoPrefill, !l.AtMostOnce && l.Tries(Prefill) < l.MaxPerPhase), true
}

func (l Ledger) or(m Move, may bool) Move {
	if may {
		return m
	}
	return l.End()
}

// End is the final move when nothing more is to be tried.
//
// Example: if !bucket.Take() { move = l.End() }
func (l Ledger) End() Move {
	if l.MayHaveRun() {
		return Unknown
	}
	return Refuse
}

// Undo takes the last attempt back: nothing went out, so it was none.
//
// Example: if out == serverpool.Barred { l.Undo() }
func (l *Ledger) Undo() { l.Attempts = l.Attempts[:len(l.Attempts)-1] }

// steps is how finely a Bucket tells time within its window.
const steps = 16

// Bucket bounds retries to a fraction of first tries in every window, so that
// what quiet times earned can't be spent in one failure. A sum of buckets
// keeps the bound that each of them keeps.
type Bucket struct {
	Ratio  float64
	Window time.Duration
	Slack  int // retries in a window beyond those earned
	slots  [steps + 2]struct {
		no           int64
		first, again int
	}
}

func (b *Bucket) slotAt(now time.Duration) *struct {
	no           int64
	first, again int
} {
	no := int64(now / (b.Window / steps))
	s := &b.slots[no%int64(len(b.slots))]
	if s.no != no {
		s.no, s.first, s.again = no, 0, 0
	}
	return s
}

// Earn counts a first try.
//
// Example: b.Earn(now)
func (b *Bucket) Earn(now time.Duration) { b.slotAt(now).first++ }

// Has tells whether a retry may be made now. First tries count over a little
// less than the window, retries over a little more.
//
// Example: if !b.Has(now) { giveUp() }
func (b *Bucket) Has(now time.Duration) bool {
	no := b.slotAt(now).no
	first, again := 0, 0
	for _, s := range b.slots {
		if s.no > no-steps+1 {
			first += s.first
		}
		if s.no > no-steps-2 {
			again += s.again
		}
	}
	return float64(again+1) <= b.Ratio*float64(first)+float64(b.Slack)
}

// Take spends a retry if one may be made.
//
// Example: if !b.Take(now) { giveUp() }
func (b *Bucket) Take(now time.Duration) bool {
	if !b.Has(now) {
		return false
	}
	b.slotAt(now).again++
	return true
}

// Return returns a retry that was taken at that time and not made.
//
// Example: b.Return(takenAt)
func (b *Bucket) Return(at time.Duration) {
	no := int64(at / (b.Window / steps))
	if s := &b.slots[no%int64(len(b.slots))]; s.no == no && s.again > 0 {
		s.again--
	}
}
