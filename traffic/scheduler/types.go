// Package scheduler decides what becomes of each request of one service on one
// daemon: queue, prefill, handoff of the KV cache, decode, stream, answer. It is a plain
// state machine: it takes requests, shares, outcomes of calls and time, and
// returns decisions: calls, pieces and answers. The native API carries them out over
// HTTP, the simulator over simulated servers.
//
// The files: dispatcher.go is the machine and its inputs from the leader and the clock,
// servers.go the view of the records, request.go a request from its start to each next
// decision, call.go the calls to servers, stream.go the answer's pieces, timeout.go what
// is given up, finish.go the answers, pick.go the choice of a server, plan.go admission.
package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

// Config holds the bounds a dispatcher works by.
type Config struct {
	Queue            slots.Config
	RetryRatio       float64       // retries over first sends in every RetryWindow
	RetryWindow      time.Duration // see attempt.Bucket
	MaxAttempts      int           // of each phase of a request
	MaxWait          time.Duration // that a request waits for leases, a share and servers
	FailureBackoff   time.Duration // a server that failed is passed over for so long
	RejectionBackoff time.Duration // and one that rejected a request
	StallTimeout     time.Duration // a client that takes no piece for so long is cut off
	MaxPiecesAhead   int           // pieces sent on that the client has not taken
	RetryAfter       time.Duration // when to come back, where nothing better is known
	MaxPrefixes      int           // prefixes remembered
}

// Source reads a record under valid leases.
type Source func(partition int, key string) (message.Record, bool)

// Request is one request as the plan admits it.
type Request struct {
	ID            string
	Tenant        string
	Model         string
	Priority      int           // 0 is first, 9 last
	QueueFraction float64       // of the queue that its tenant may fill
	Deadline      time.Duration // on the daemon's clock
	Tokens        int           // of the answer, at most
	OnceKey       string        // the request runs at most once under this key; "": it may run again
	Parts         []serverpool.Part
}

// Action says what a decision asks for.
type Action uint8

// The actions.
const (
	Claim       Action = iota + 1 // claim the once key
	SettleClaim                   // record what became of the claimed request
	Prefill                       // call a prefill server
	Decode                        // call a decode server and read its stream
	CancelCall                    // end the call of this attempt
	SendPiece                     // send a piece to the client
	Respond                       // final: answer the client
)

// String names an action, as histories have it.
//
// Example: scheduler.Prefill.String() == "prefill"
func (k Action) String() string {
	return [...]string{"none", "claim", "settle", "prefill", "decode", "cut", "pass", "reply"}[k]
}

// The states of a claim, as they are stored under its once key.
const (
	claimTaken    = "claimed"
	claimReleased = "shed" // the request has not run; the key may be used again
	claimDone     = "done"
)

// Decision is something to carry out for a request.
type Decision struct {
	RequestID   string
	Action      Action
	Attempt     int                       // the attempt's number, to come back with its outcome
	Addr        string                    // of a Prefill and a Decode: the server's address
	PrefillCall serverpool.PrefillRequest // of a Prefill
	DecodeCall  serverpool.DecodeRequest  // of a Decode
	Timeout     time.Duration             // of a call
	Piece       serverpool.Piece          // of a SendPiece
	OnceKey     string                    // of a claim, with its tenant
	ClaimState  string
	Answer      Answer // of a Respond
}

// The results of requests, as clients and histories see them; attempt.Move has the others.
const (
	ResultFinish    = "finish"
	ResultUncertain = "uncertain"
	ResultBreak     = "break"
	ResultDuplicate = "duplicate"
	ResultGone      = "gone" // the client went away
)

// Answer is the end of a request.
type Answer struct {
	Result        string // one of the results
	Status        int    // the HTTP status; 0 where none is sent any more
	Reason        string
	RetryAfter    time.Duration
	Body          []byte // of a duplicate: what the partition's leader answered
	ClientStalled bool   // the client takes nothing: its connection is to be cut
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
	Picks      []string          `json:"choice,omitempty"` // the servers it was sent to, and why
	TookMillis int64             `json:"took_ms"`
}

// Out is what a step asks for.
type Out struct {
	Decisions  []Decision
	NeedsSlots bool // the leader is to hear at once of what waits here
}

func (o *Out) add(m Decision) { o.Decisions = append(o.Decisions, m) }

// Counts are a dispatcher's numbers.
type Counts struct {
	FirstSends, Retries              int64
	Served, Refused, Unknown, Broken int64
	Duplicates, Abandoned            int64
	WastedPrefills                   int64 // of refused requests
	CachedParts, PromptParts         int64 // parts that prefill servers had cached, and all parts that they read
	RefusedByReason                  map[string]int64
}
