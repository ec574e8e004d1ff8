// Package attempt keeps a ledger of one request's attempts with what is known of each.
// The next move is a pure function of the ledger.
package attempt

// State is what is known of an attempt.
type State uint8

// States of an attempt. A lost prefill only wastes work. If a decode is lost, the
// request may have run.
const (
	Open       State = iota // no outcome yet
	NotSent                 // nothing reached the server
	Refused                 // the server said that it did not and will not run it
	Prefilled               // a prefill ended and returned a handle
	HandleLost              // a decode was rejected: its handle is gone or belongs to another request
	Lost                    // sent, but no outcome was received
	Streaming               // a piece was sent to the client, more may follow
	Ended                   // the complete answer was sent to the client
)

var stateNames = [...]string{"open", "not sent", "shed", "handle", "lapsed", "lost", "first piece", "ended"}

// String returns the name of the state.
//
// Example: attempt.Lost.String() == "lost"
func (s State) String() string { return stateNames[s] }

// Phase is the part of the work that an attempt does.
type Phase uint8

// The phases.
const (
	Prefill Phase = iota
	Decode
)

// String returns the name of the phase.
//
// Example: attempt.Decode.String() == "decode"
func (p Phase) String() string { return [...]string{"prefill", "decode"}[p] }

// Attempt is one entry of the ledger.
type Attempt struct {
	Phase  Phase  `json:"phase"`
	Server string `json:"server"`
	State  State  `json:"known"`
	Why    string `json:"why,omitempty"`
}

// Move is what to do next for a request.
type Move uint8

// The moves.
const (
	Wait      Move = iota // an attempt is open
	DoPrefill             // find a prefill server
	DoDecode              // hand over to a decode server
	Refuse                // final: the request has not run and never will
	Unknown               // final: the request may have run
	Break                 // final: abort the stream
	Finish                // final: the complete answer was sent
)

// String returns the name of the move.
//
// Example: attempt.Refuse.String() == "refused"
func (m Move) String() string {
	return [...]string{"wait", "prefill", "decode", "shed", "uncertain", "break", "finish"}[m]
}

// Ledger is a request's attempts.
type Ledger struct {
	AtMostOnce  bool // the request is not sent again once it may have run
	MaxPerPhase int  // maximum attempts per phase
	Attempts    []Attempt
}

// Add opens an attempt.
//
// Example: l.Add(attempt.Prefill, "127.0.0.1:9000")
func (l *Ledger) Add(p Phase, server string) {
	l.Attempts = append(l.Attempts, Attempt{Phase: p, Server: server})
}

// Record sets the state of the last attempt.
//
// Example: l.Record(attempt.Refused, "503")
func (l *Ledger) Record(s State, why string) {
	a := &l.Attempts[len(l.Attempts)-1]
	a.State, a.Why = s, why
}

// MayHaveRun reports whether the request may have run on any server.
//
// Example: if !l.MayHaveRun() { refused() }
func (l Ledger) MayHaveRun() bool {
	for _, a := range l.Attempts {
		if a.Phase == Decode && (a.State == Open || a.State == Lost || a.State == Streaming || a.State == Ended) {
			return true
		}
	}
	return false
}

// AttemptCount returns the number of attempts of a phase.
//
// Example: l.AttemptCount(attempt.Decode)
func (l Ledger) AttemptCount(p Phase) int {
	n := 0
	for _, a := range l.Attempts {
		if a.Phase == p {
			n++
		}
	}
	return n
}

// Tried reports whether a server was already sent an attempt of this phase.
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

// Next derives the next move. isRetry reports whether the move must take a retry from the
// bucket; if the bucket has none left, FinalMove returns the final move instead.
//
// Example: move, isRetry := l.Next()
func (l Ledger) Next() (m Move, isRetry bool) {
	if len(l.Attempts) == 0 {
		return DoPrefill, false
	}
	last := l.Attempts[len(l.Attempts)-1]
	if last.Phase == Prefill {
		return l.afterPrefill(last.State)
	}
	return l.afterDecode(last.State)
}

func (l Ledger) afterPrefill(s State) (m Move, isRetry bool) {
	switch s {
	case Open:
		return Wait, false
	case Prefilled:
		return DoDecode, false
	}
	return l.moveOrEnd(DoPrefill, l.hasAttemptsLeft(Prefill)), true
}

func (l Ledger) afterDecode(s State) (m Move, isRetry bool) {
	switch s {
	case Open:
		return Wait, false
	case Ended:
		return Finish, false
	case Streaming:
		return Break, false
	case NotSent, Refused:
		return l.moveOrEnd(DoDecode, l.hasAttemptsLeft(Decode)), true
	case HandleLost:
		return l.moveOrEnd(DoPrefill, l.hasAttemptsLeft(Prefill)), true
	}
	// The decode was lost, so the request may have run.
	return l.moveOrEnd(DoPrefill, !l.AtMostOnce && l.hasAttemptsLeft(Prefill)), true
}

// hasAttemptsLeft reports whether one more attempt of a phase is allowed.
func (l Ledger) hasAttemptsLeft(p Phase) bool { return l.AttemptCount(p) < l.MaxPerPhase }

// moveOrEnd returns the move if it is allowed, and the final move otherwise.
func (l Ledger) moveOrEnd(m Move, allowed bool) Move {
	if allowed {
		return m
	}
	return l.FinalMove()
}

// FinalMove returns the final move of a request that gets no further attempt.
//
// Example: if !bucket.Take(now) { move = l.FinalMove() }
func (l Ledger) FinalMove() Move {
	if l.MayHaveRun() {
		return Unknown
	}
	return Refuse
}

// Undo removes the last attempt, of which nothing was sent.
//
// Example: if out == serverpool.Blocked { l.Undo() }
func (l *Ledger) Undo() { l.Attempts = l.Attempts[:len(l.Attempts)-1] }
