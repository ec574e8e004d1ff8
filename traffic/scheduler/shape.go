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
	Queue    slots.Config
	Retry    float64       // retries over first tries, in every Window
	Window   time.Duration // see attempt.Bucket
	Most     int           // attempts of each phase
	Patience time.Duration // without leases, a share or a server to go to
	Shy      time.Duration // a server that failed is passed by this long
	Turned   time.Duration // and one that turned a request away
	Stall    time.Duration // a client that takes no piece this long is broken off
	Ahead    int           // pieces handed on that the client has not taken
	Back     time.Duration // when to come back, where nothing better is known
	Prefixes int           // prefixes remembered
}

// Source reads a record under valid leases.
type Source func(partition int, key string) (message.Record, bool)

// Request is one request as the plan lets it in.
type Request struct {
	ID     string
	Tenant string
	Model  string
	Prio   int
	Part   float64 // most of the queue that its tenant may fill
	Due    time.Duration
	Tokens int
	Once   string
	Parts  []serverpool.Part
}

// Kind says what an Act asks for.
type Kind uint8

// The kinds of acts.
const (
	Claim    Kind = iota + 1 // claim the once key
	Settle                   // write what became of the claimed request
	Prefill                  // call a prefill server
	Decode                   // call a decode server and read its stream
	Cut                      // end the call with this number
	Pass                     // hand a piece to the client
	Response                 // the final answer
)

// String names a kind.
//
// Example: scheduler.Prefill.String() == "prefill"
func (k Kind) String() string {
	return [...]string{"none", "claim", "settle", "prefill", "decode", "cut", "pass", "reply"}[k]
}

// Act is something to carry out for a trip.
type Act struct {
	Trip  string
	Kind  Kind
	No    int // the attempt, for its outcome
	Addr  string
	Read  serverpool.Prefill
	Make  serverpool.Decode
	Wait  time.Duration // the call may take this long
	Piece serverpool.Piece
	Key   string // of a claim
	State string
	End   End
}

// End is a final answer.
type End struct {
	Result string // finish, refused, uncertain, break, duplicate, gone
	Code   int
	Why    string
	After  time.Duration
	Word   []byte // of the claim's leader, for a duplicate
	Stuck  bool   // the client takes nothing: cut its connection
	Story  Story
}

// Story is a request as the query shell explains it.
type Story struct {
	Request string            `json:"request"`
	Tenant  string            `json:"tenant"`
	Model   string            `json:"model"`
	Result  string            `json:"result"`
	Why     string            `json:"why,omitempty"`
	Ledger  []attempt.Attempt `json:"ledger"`
	Choice  []string          `json:"choice,omitempty"`
	Took    int64             `json:"took_ms"`
}

// Out is what a step asks for. Kick means that the leader should hear at once
// of what waits here.
type Out struct {
	Acts []Act
	Kick bool
}

// Counts are a lane's numbers.
type Counts struct {
	First, Retries, Served, Refusals, Unsure, Broken, Dups, Gone, Wasted, Hits, Reads int64
	Why                                                                               map[string]int64
}
