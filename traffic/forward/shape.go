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

// Call is one try of a client, as the route lets it in.
type Call struct {
	ID      string
	Service string
	Repeat  bool // it may run more than once
	Resume  bool // a stream that broke off may go on at another server
	Split   bool // its prompt may be read apart from the writing
	After   bool // the client itself goes on with a stream
	Urgency int  // 0 is first, 9 last
	Least   int  // the urgency of the least urgent route
	Tries   int  // most servers that it may be sent to
	Aim     time.Duration
	Gap     time.Duration // longest pause between events that is in time
	Due     time.Duration // on the daemon's clock
	Parts   []Part
	In, Out int // tokens of the prompt, and the most out
	Bytes   int // of the body
}

// Config holds the bounds a lane works by.
type Config struct {
	Zone     string
	Retry    float64       // second sends over first ones in every Window
	Window   time.Duration // see attempt.Bucket
	Slack    int           // second sends beyond that, of all daemons
	Patience time.Duration // that a request waits for leases and servers
	InTime   float64       // a request is refused at once that would wait for others so long that it is late: beyond this part of its aim; 0: none is
	Shy      time.Duration // a server that failed is passed by this long
	Turned   time.Duration // and one that turned a request away
	Back     time.Duration // when to come back, where nothing better is known
	Pace     float64       // tokens read in a ms, before any was measured
	Weights  Weights
}

// Source reads records under valid leases.
type Source interface {
	// Read serves a record of a part.
	Read(partition int, key string) (message.Record, bool)
	// Gen counts the changes of what a part serves.
	Gen(partition int) uint64
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
	ID     string
	Call   string // the request that it was read for
	No     int    // and the attempt
	Server Server
	Tokens int
}

// Outcome is how a call to a server went.
type Outcome uint8

// The outcomes.
const (
	OK      Outcome = iota
	NotSent         // nothing reached the server
	Full            // the server did not and will not run it: no place
	Moved           // it did not run it: it is another server, or plays another part
	Gone            // it did not run it: the prompt's memory can't be had
	Lost            // sent, and no whole answer
	Barred          // not sent: a record or lease was gone at the last look
)

// String names an outcome.
//
// Example: forward.Lost.String() == "lost"
func (o Outcome) String() string {
	return [...]string{"ok", "not sent", "full", "moved", "gone", "lost", "barred"}[o]
}

// Load is what a server told of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Kind says what a move is.
type Kind uint8

// The kinds of moves.
const (
	Wait      Kind = iota + 1 // for leases or servers, then ask again
	Read                      // have a server read the prompt
	Write                     // have a server write the answer
	Refuse                    // final: it has not run and never will
	Unknown                   // final: it may have run
	Break                     // final: the stream has begun and can't go on
	Done                      // final: all went out
	Duplicate                 // final: another request of its id is under way
)

// String names a kind.
//
// Example: forward.Read.String() == "read"
func (k Kind) String() string {
	return [...]string{"none", "wait", "read", "write", "refuse", "unknown", "break", "done", "duplicate"}[k]
}

// Final tells whether the request ends with this move.
//
// Example: if move.Kind.Final() { respond(move) }
func (k Kind) Final() bool { return k >= Refuse }

// Move is what to do next for a request.
type Move struct {
	Kind   Kind
	No     int // the attempt
	To     Server
	Handle *Handle       // of a Write: the memory to take up; none: it reads the prompt itself
	Until  time.Duration // of a Wait; of a call: it is given up then
	Rank   int           // what the server is to be told of its urgency: 0 is first, 9 last
	Free   []Handle      // memory that won't be taken up
	Back   time.Duration // of a Refuse: when to come back
	Why    string
	Steps  []string // of a final move: the sends so far, each with its outcome
}

// Counts are a lane's numbers.
type Counts struct {
	First, Again, Served, Refused, Unknown, Broken, Left, Split, Direct, Resumed, Duplicates int64
}
