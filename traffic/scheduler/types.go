// Package scheduler decides what becomes of each request of one service on one
// daemon: queue, prefill server, hand-over, decode server, stream, final answer. It is a plain
// state machine: it takes requests, shares, outcomes of calls and time, and
// returns calls, pieces and answers. The native API carries them out over HTTP, the
// simulator over simulated servers.
package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

// Config holds the bounds a lane works by.
type Config struct {
	Queue            slots.Config
	RetryRatio       float64       // retries over first tries, in every Window
	RetryWindow      time.Duration // see attempt.Bucket
	MaxAttempts      int           // attempts of each phase
	MaxWait          time.Duration // without leases, a share or a server to go to
	FailureBackoff   time.Duration // a server that failed is passed by this long
	RejectionBackoff time.Duration // and one that turned a request away
	StallTimeout     time.Duration // a client that takes no piece this long is broken off
	MaxPiecesAhead   int           // pieces handed on that the client has not taken
	RetryAfter       time.Duration // when to come back, where nothing better is known
	MaxPrefixes      int           // prefixes remembered
}

// Source reads a record under valid leases.
type Source func(partition int, key string) (message.Record, bool)

// Request is one request as the plan lets it in.
type Request struct {
	ID            string
	Tenant        string
	Model         string
	Priority      int
	QueueFraction float64 // most of the queue that its tenant may fill
	Deadline      time.Duration
	Tokens        int
	OnceKey       string
	Parts         []serverpool.Part
}

// Action says what an Act asks for.
type Action uint8

// The kinds of acts.
const (
	Claim       Action = iota + 1 // claim the once key
	SettleClaim                   // write what became of the claimed request
	Prefill                       // call a prefill server
	Decode                        // call a decode server and read its stream
	CancelCall                    // end the call with this number
	SendPiece                     // hand a piece to the client
	Respond                       // the final answer
)

// String names a kind.
//
// Example: scheduler.Prefill.String() == "prefill"
func (k Action) String() string {
	return [...]string{"none", "claim", "settle", "prefill", "decode", "cut", "pass", "reply"}[k]
}

// Decision is something to carry out for a trip.
type Decision struct {
	RequestID   string
	Action      Action
	Attempt     int // the attempt, for its outcome
	Addr        string
	PrefillCall serverpool.PrefillRequest
	DecodeCall  serverpool.DecodeRequest
	Timeout     time.Duration // the call may take this long
	Piece       serverpool.Piece
	OnceKey     string // of a claim
	ClaimState  string
	Answer      Answer
}

// Answer is a final answer.
type Answer struct {
	Result        string // finish, refused, uncertain, break, duplicate, gone
	Status        int
	Reason        string
	RetryAfter    time.Duration
	Body          []byte // of the claim's leader, for a duplicate
	ClientStalled bool   // the client takes nothing: cut its connection
	Trace         Trace
}

// Trace is a request as the query shell explains it.
type Trace struct {
	Request    string            `json:"request"`
	Tenant     string            `json:"tenant"`
	Model      string            `json:"model"`
	Result     string            `json:"result"`
	Reason     string            `json:"why,omitempty"`
	Attempts   []attempt.Attempt `json:"ledger"`
	Picks      []string          `json:"choice,omitempty"`
	TookMillis int64             `json:"took_ms"`
}

// Out is what a step asks for. Kick means that the leader should hear at once
// of what waits here.
type Out struct {
	Decisions  []Decision
	NeedsSlots bool
}

// Counts are a lane's numbers.
type Counts struct {
	FirstSends, Retries, Served, Refused, Unknown, Broken, Duplicates, Abandoned, WastedPrefills, CachedParts, PromptParts int64
	RefusalReasons                                                                                                         map[string]int64
}
