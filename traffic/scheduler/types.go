// Package scheduler schedules the requests of one service on one daemon: queueing, prefill,
// handoff of the KV cache, decode, streaming and the answer. It is a pure state machine: its
// inputs are requests, shares, outcomes of calls and the time, its outputs are decisions to
// make calls, send pieces and answer clients. The native API executes them over HTTP, the
// simulator on simulated servers.
//
// Files: dispatcher.go has the state machine and its inputs from the leader and the clock,
// servers.go the servable servers, request.go the start and the next step of a request,
// call.go the calls to servers, stream.go the pieces of an answer, timeout.go timeouts and
// canceled requests, finish.go the answers, pick.go the choice of a server, plan.go admission.
package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

// Config holds a dispatcher's limits and timeouts.
type Config struct {
	Queue            slots.Config
	RetryRatio       float64       // maximum ratio of retries to first sends within RetryWindow
	RetryWindow      time.Duration // see attempt.Bucket
	MaxAttempts      int           // maximum per phase of a request
	MaxWait          time.Duration // longest wait of a request for leases, a share and servers
	FailureBackoff   time.Duration // how long a server that failed is not picked
	RejectionBackoff time.Duration // how long a server that rejected a request is not picked
	StallTimeout     time.Duration // a client that takes no piece for this long is disconnected
	MaxPiecesAhead   int           // maximum of forwarded pieces that the client has not taken
	RetryAfter       time.Duration // default for Answer.RetryAfter
	MaxPrefixes      int           // maximum number of prefixes in the prefix index
}

// Source reads a record. It reports false without valid leases.
type Source func(partition int, key string) (message.Record, bool)

// Request is a request admitted by the plan.
type Request struct {
	ID            string
	Tenant        string
	Model         string
	Priority      int           // 0 is the most urgent, 9 the least
	QueueFraction float64       // fraction of the queue that the tenant may fill
	Deadline      time.Duration // on the daemon's clock
	Tokens        int           // maximum tokens of the answer
	OnceKey       string        // the request runs at most once under this key; "" allows reruns
	Parts         []serverpool.Part
}

// Action is the kind of a decision.
type Action uint8

// Actions.
const (
	Claim       Action = iota + 1 // claim the once key
	SettleClaim                   // record the result of the claimed request
	Prefill                       // call a prefill server
	Decode                        // call a decode server and read its stream
	CancelCall                    // cancel the call of this attempt
	SendPiece                     // send a piece to the client
	Respond                       // answer the client; the request's last decision
)

// String returns the action's name in histories.
//
// Example: scheduler.Prefill.String() == "prefill"
func (a Action) String() string {
	return [...]string{"none", "claim", "settle", "prefill", "decode", "cut", "pass", "reply"}[a]
}

// States of a claim, as stored under its once key.
const (
	claimTaken    = "claimed"
	claimReleased = "shed" // the request has not run; the key may be used again
	claimDone     = "done"
)

// Decision is an instruction to execute for a request.
type Decision struct {
	RequestID   string
	Action      Action
	Attempt     int                       // attempt number, to be returned with the outcome
	Addr        string                    // server address of a Prefill or Decode
	PrefillCall serverpool.PrefillRequest // for Prefill
	DecodeCall  serverpool.DecodeRequest  // for Decode
	Timeout     time.Duration             // for Prefill and Decode
	Piece       serverpool.Piece          // for SendPiece
	OnceKey     string                    // for Claim and SettleClaim, qualified by the tenant
	ClaimState  string                    // for Claim and SettleClaim
	Answer      Answer                    // for Respond
}

// Results of requests, as clients and histories see them; attempt.Move defines the others.
const (
	ResultFinish    = "finish"
	ResultUncertain = "uncertain"
	ResultBreak     = "break"
	ResultDuplicate = "duplicate"
	ResultGone      = "gone" // the client disconnected
)

// Answer is the final result of a request.
type Answer struct {
	Result        string // a Result constant or the name of a final attempt.Move
	Status        int    // HTTP status; 0 if no status is sent
	Reason        string
	RetryAfter    time.Duration
	Body          []byte // for a duplicate: the leader's answer to its claim
	ClientStalled bool   // the client takes no pieces: its connection must be closed
	Trace         Trace
}

// Trace records how a request was handled, for the query shell.
type Trace struct {
	Request    string            `json:"request"`
	Tenant     string            `json:"tenant"`
	Model      string            `json:"model"`
	Result     string            `json:"result"`
	Reason     string            `json:"why,omitempty"`
	Attempts   []attempt.Attempt `json:"ledger"`
	Picks      []string          `json:"choice,omitempty"` // the servers that were picked, and why
	TookMillis int64             `json:"took_ms"`
}

// Out is the output of one input to the state machine.
type Out struct {
	Decisions  []Decision
	NeedsSlots bool // the leader must be notified of the demand immediately
}

func (o *Out) add(decision Decision) { o.Decisions = append(o.Decisions, decision) }

// Counts are a dispatcher's counters.
type Counts struct {
	FirstSends, Retries                int64
	Served, Refused, Uncertain, Broken int64
	Duplicates, Abandoned              int64
	WastedPrefills                     int64 // prefills of requests that were refused later
	CachedParts, PromptParts           int64 // prompt parts found in prefill servers' caches, and all prompt parts
	RefusedByReason                    map[string]int64
}
