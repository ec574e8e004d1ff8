// Package attempt is the ledger of one request: each attempt and what is known
// of it. The next move is a pure function of the ledger.
package attempt

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

// Move is what to do next for a request.
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
	AtMostOnce  bool // once it may have run it is never sent again
	MaxPerPhase int  // attempts of one phase
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

// Next derives the next move. isRetry tells whether it needs a retry of the bucket; where
// none is to be had, End is the final move.
//
// Example: move, isRetry := l.Next()
func (l Ledger) Next() (m Move, isRetry bool) {
	if len(l.Attempts) == 0 {
		return DoPrefill, false
	}
	last := l.Attempts[len(l.Attempts)-1]
	if last.Phase == Prefill {
		return l.afterPrefill(last.Known)
	}
	return l.afterDecode(last.Known)
}

func (l Ledger) afterPrefill(k Known) (m Move, isRetry bool) {
	switch k {
	case Open:
		return Wait, false
	case Prefilled:
		return DoDecode, false
	}
	return l.retry(DoPrefill, l.mayTry(Prefill)), true
}

func (l Ledger) afterDecode(k Known) (m Move, isRetry bool) {
	switch k {
	case Open:
		return Wait, false
	case Ended:
		return Finish, false
	case First:
		return Break, false
	case NotSent, Refused:
		return l.retry(DoDecode, l.mayTry(Decode)), true
	case HandleLost:
		return l.retry(DoPrefill, l.mayTry(Prefill)), true
	}
	// Lost: it may have run.
	return l.retry(DoPrefill, !l.AtMostOnce && l.mayTry(Prefill)), true
}

// mayTry tells whether one more attempt of a phase is allowed.
func (l Ledger) mayTry(p Phase) bool { return l.Tries(p) < l.MaxPerPhase }

// retry is a move if it is allowed, and else the final one.
func (l Ledger) retry(m Move, allowed bool) Move {
	if allowed {
		return m
	}
	return l.End()
}

// End is the final move when nothing more is to be tried.
//
// Example: if !bucket.Take(now) { move = l.End() }
func (l Ledger) End() Move {
	if l.MayHaveRun() {
		return Unknown
	}
	return Refuse
}

// Undo takes the last attempt back: nothing went out, so it was none.
//
// Example: if out == serverpool.Blocked { l.Undo() }
func (l *Ledger) Undo() { l.Attempts = l.Attempts[:len(l.Attempts)-1] }
