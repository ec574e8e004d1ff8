// Package dispatch decides what becomes of each request of one service on one
// daemon: queue, reader, hand-over, maker, stream, final reply. It is a plain
// state machine: it takes requests, shares, outcomes of calls and time, and
// returns calls, pieces and replies. The desk carries them out over HTTP, the
// simulator over simulated servers.
package dispatch

import (
	"time"

	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/waybill"
	"mulleinmast/traffic/yard"
	"mulleinmast/wire/form"
)

// Config holds the bounds a lane works by.
type Config struct {
	Queue    slots.Config
	Retry    float64       // retries over first tries, in every Window
	Window   time.Duration // see waybill.Bucket
	Most     int           // attempts of each phase
	Patience time.Duration // without leases, a share or a server to go to
	Shy      time.Duration // a server that failed is passed by this long
	Turned   time.Duration // and one that turned a request away
	Stall    time.Duration // a requester that takes no piece this long is broken off
	Ahead    int           // pieces handed on that the requester has not taken
	Back     time.Duration // when to come back, where nothing better is known
	Prefixes int           // prefixes remembered
}

// Source reads a record under valid leases.
type Source func(part int, key string) (form.Rec, bool)

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
	Parts  []yard.Part
}

// Kind says what an Act asks for.
type Kind uint8

// The kinds of acts.
const (
	Claim   Kind = iota + 1 // claim the once key
	Settle                  // write what became of the claimed request
	Prefill                 // call a reader
	Decode                  // call a maker and read its stream
	Cut                     // end the call with this number
	Pass                    // hand a piece to the requester
	Reply                   // the final reply
)

// String names a kind.
//
// Example: dispatch.Prefill.String() == "prefill"
func (k Kind) String() string {
	return [...]string{"none", "claim", "settle", "prefill", "decode", "cut", "pass", "reply"}[k]
}

// Act is something to carry out for a trip.
type Act struct {
	Trip  string
	Kind  Kind
	No    int // the attempt, for its outcome
	Addr  string
	Read  yard.Prefill
	Make  yard.Decode
	Wait  time.Duration // the call may take this long
	Piece yard.Piece
	Key   string // of a claim
	State string
	End   End
}

// End is a final reply.
type End struct {
	Result string // finish, shed, uncertain, break, duplicate, gone
	Code   int
	Why    string
	After  time.Duration
	Word   []byte // of the claim's owner, for a duplicate
	Stuck  bool   // the requester takes nothing: cut its connection
	Story  Story
}

// Story is a request as the query shell explains it.
type Story struct {
	Request string            `json:"request"`
	Tenant  string            `json:"tenant"`
	Model   string            `json:"model"`
	Result  string            `json:"result"`
	Why     string            `json:"why,omitempty"`
	Ledger  []waybill.Attempt `json:"ledger"`
	Choice  []string          `json:"choice,omitempty"`
	Took    int64             `json:"took_ms"`
}

// Out is what a step asks for. Kick means that the owner should hear at once
// of what waits here.
type Out struct {
	Acts []Act
	Kick bool
}

// Counts are a lane's numbers.
type Counts struct {
	First, Retries, Served, Sheds, Unsure, Broken, Dups, Gone, Wasted, Hits, Reads int64
	Why                                                                            map[string]int64
}
