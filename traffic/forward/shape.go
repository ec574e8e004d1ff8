// Package forward decides what becomes of each client's request on one daemon:
// which server reads its prompt, which one writes its answer, what is done
// when one of them fails, and how the request ends. It is a plain state
// machine for one service: it takes requests, outcomes of calls and time, and
// returns the next move. traffic/gateway carries the moves out.
package forward

import (
	"time"

	"mulleinmast/wire/message"
)

// Part is one part of a prompt: its key and its length in tokens.
type Part struct {
	Key    uint64
	Tokens int
}

// Request is one try of a client, as the route lets it in.
type Request struct {
	ID                           string
	Service                      string
	Repeatable                   bool // it may run more than once
	Resumable                    bool // a stream that broke off may go on at another server
	Disaggregated                bool // its prompt may be read apart from the writing
	ContinuesStream              bool // the client itself goes on with a stream
	Urgency                      int  // 0 is first, 9 last
	LeastUrgency                 int  // the urgency of the least urgent route
	MaxAttempts                  int  // most servers that it may be sent to
	TTFTTarget                   time.Duration
	InterTokenTarget             time.Duration // longest pause between events that is in time
	Deadline                     time.Duration // on the daemon's clock
	Parts                        []Part
	InputTokens, MaxOutputTokens int // tokens of the prompt, and the most out
	BodyBytes                    int // of the body
}

// Config holds the bounds a dispatcher works by.
type Config struct {
	Zone             string
	RetryRatio       float64       // second sends over first ones in every Window
	RetryWindow      time.Duration // see attempt.Bucket
	RetrySlack       int           // second sends beyond that, of all daemons
	MaxWait          time.Duration // that a request waits for leases and servers
	MaxPredictedWait float64       // a request is refused at once that would wait for others so long that it is late: beyond this part of its aim; 0: none is
	FailureBackoff   time.Duration // a server that failed is passed by this long
	RejectionBackoff time.Duration // and one that turned a request away
	RetryAfter       time.Duration // when to come back, where nothing better is known
	PrefillRate      float64       // tokens read in a ms, before any was measured
	Weights          Weights
}

// Source reads records under valid leases.
type Source interface {
	// Read serves a record of a part.
	Read(partition int, key string) (message.Record, bool)
	// Generation counts the changes of what a part serves.
	Generation(partition int) uint64
	// Until is when the first of a part's leases lapses.
	Until(partition int) time.Duration
}

// Server is a model server as the records name it now.
type Server struct {
	Key, Addr, Zone string
	Part            string
	Slots           int
	Warming         bool
}

// Handle is prompt memory that a reading server keeps for one request.
type Handle struct {
	ID        string
	RequestID string // the request that it was read for
	Attempt   int    // and the attempt
	Server    Server
	Tokens    int
}

// Outcome is how a call to a server went.
type Outcome uint8

// The outcomes.
const (
	OK          Outcome = iota
	NotSent             // nothing reached the server
	Overloaded          // the server did not and will not run it: no place
	WrongServer         // it did not run it: it is another server, or plays another part
	HandleLost          // it did not run it: the prompt's memory can't be had
	Lost                // sent, and no whole answer
	Blocked             // not sent: a record or lease was gone at the last look
)

// String names an outcome.
//
// Example: forward.Lost.String() == "lost"
func (o Outcome) String() string {
	return [...]string{"ok", "not sent", "full", "moved", "gone", "lost", "barred"}[o]
}

// Load is what a server told of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Action says what a move is.
type Action uint8

// The kinds of moves.
const (
	Wait      Action = iota + 1 // for leases or servers, then ask again
	Prefill                     // have a server read the prompt
	Decode                      // have a server write the answer
	Refuse                      // final: it has not run and never will
	Unknown                     // final: it may have run
	Break                       // final: the stream has begun and can't go on
	Done                        // final: all went out
	Duplicate                   // final: another request of its id is under way
)

// String names a kind.
//
// Example: forward.Read.String() == "read"
func (k Action) String() string {
	return [...]string{"none", "wait", "read", "write", "refuse", "unknown", "break", "done", "duplicate"}[k]
}

// Final tells whether the request ends with this move.
//
// Example: if move.Kind.Final() { respond(move) }
func (k Action) Final() bool { return k >= Refuse }

// Decision is what to do next for a request.
type Decision struct {
	Action         Action
	Attempt        int // the attempt
	Server         Server
	Handle         *Handle       // of a Write: the memory to take up; none: it reads the prompt itself
	Until          time.Duration // of a Wait; of a call: it is given up then
	Priority       int           // what the server is to be told of its urgency: 0 is first, 9 last
	ReleaseHandles []Handle      // memory that won't be taken up
	RetryAfter     time.Duration // of a Refuse: when to come back
	Reason         string
	Trace          []string // of a final move: the sends so far, each with its outcome
}

// Counts are a dispatcher's numbers.
type Counts struct {
	FirstSends, Retries, Served, Refused, Unknown, Broken, Abandoned, Disaggregated, Combined, Resumed, Duplicates int64
}
