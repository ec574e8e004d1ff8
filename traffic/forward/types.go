// Package forward decides what becomes of each client's request on one daemon:
// which server prefills its prompt, which one decodes the answer, what is done
// when one of them fails, and how the request ends. It is a plain state
// machine for one service: it takes requests, outcomes of calls and time, and
// returns the next decision. traffic/gateway carries the decisions out.
//
// The files: request.go is a request and its attempts, decision after decision;
// filter.go, score.go and pick.go choose a server, affinity.go ranks servers for
// a shared prefix; admission.go bounds waits and retries, warmup.go what new
// servers get; dispatcher.go is the view of the records; load.go is the interface
// to the load of all daemons.
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

// Request is one try of a client, as its route lets it in.
type Request struct {
	ID                           string
	Service                      string
	Tenant                       string // whose client sent it; "": none
	TenantAtLimit                bool   // the tenant asks for all that its limit gives
	Repeatable                   bool   // it may run more than once
	Resumable                    bool   // a stream that broke off may go on at another server
	Disaggregated                bool   // prefill and decode may be on two servers
	ContinuesStream              bool   // the client itself resumes a stream
	Urgency                      int    // 0 is first, 9 last
	LeastUrgency                 int    // the urgency of the least urgent route
	MaxAttempts                  int    // servers that it may be sent to, at most
	TTFTTarget                   time.Duration
	InterTokenTarget             time.Duration // longest pause between events that is in time
	Deadline                     time.Duration // on the daemon's clock
	Parts                        []Part
	InputTokens, MaxOutputTokens int // tokens of the prompt, and the most out
	BodyBytes                    int // of the body
}

// Config holds the bounds a dispatcher works by.
type Config struct {
	Zone        string
	RetryRatio  float64       // retries over first sends in every RetryWindow
	RetryWindow time.Duration // see attempt.Bucket
	RetrySlack  int           // retries beyond that, of all daemons together
	MaxWait     time.Duration // that a request waits for leases and servers
	// MaxPredictedWait is in parts of the TTFT target: a request that is predicted to
	// wait for longer is refused at once; 0: none is.
	MaxPredictedWait float64
	// MaxListAge is for how long after it was withdrawn a list still says which servers there
	// are; whether one may be used is for its own record to say, under its own leases.
	MaxListAge       time.Duration
	FailureBackoff   time.Duration // a server that failed is passed over for so long
	RejectionBackoff time.Duration // and one that rejected a request
	RetryAfter       time.Duration // when to come back, where nothing better is known
	PrefillRate      float64       // tokens read in a ms, before any was measured
	Weights          Weights
}

// Source reads the records by which requests may be routed now: under valid leases, or
// for a bounded time after they lapsed.
type Source interface {
	// Read serves a record of a partition.
	Read(partition int, key string) (message.Record, bool)
	// Generation counts the changes of what a partition serves.
	Generation(partition int) uint64
	// Until is when what Read serves of a partition ends, unless leases are renewed.
	Until(partition int) time.Duration
}

// Server is a model server as the records name it now.
type Server struct {
	Key, Addr, Zone string
	Role            string
	Slots           int
	Warming         bool
}

// Handle names the KV cache that a prefill left on a server, for one request and attempt.
type Handle struct {
	ID        string
	RequestID string // the request that was prefilled
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
	WrongServer         // it did not run it: it is another server, or has another role
	HandleLost          // it did not run it: the KV cache can't be had
	Lost                // sent, and no whole answer
	Blocked             // not sent: MaySend said no
)

// String names an outcome.
//
// Example: forward.Lost.String() == "lost"
func (o Outcome) String() string {
	return [...]string{"ok", "not sent", "full", "moved", "gone", "lost", "barred"}[o]
}

// Load is what a server reported of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Action says what a decision is.
type Action uint8

// The actions.
const (
	Wait      Action = iota + 1 // for leases or servers, then ask again
	Prefill                     // have a server read the prompt and keep its KV cache
	Decode                      // have a server write the answer
	Refuse                      // final: it has not run and never will
	Unknown                     // final: it may have run
	Break                       // final: the stream has begun and can't go on
	Done                        // final: all went out
	Duplicate                   // final: another request of its id is under way
)

// String names an action, as logs and figures have it.
//
// Example: forward.Prefill.String() == "read"
func (k Action) String() string {
	return [...]string{"none", "wait", "read", "write", "refuse", "unknown", "break", "done", "duplicate"}[k]
}

// Final tells whether the request ends with this action.
//
// Example: if decision.Action.Final() { respond(decision) }
func (k Action) Final() bool { return k >= Refuse }

// Decision is what to do next for a request.
type Decision struct {
	Action         Action
	Attempt        int // the attempt
	Server         Server
	Handle         *Handle       // of a Decode: the KV cache to take up; none: the server reads the prompt itself
	Until          time.Duration // of a Wait; of a call: it is given up then
	Priority       int           // for the server: 0 is first, 9 last
	ReleaseHandles []Handle      // KV caches that won't be taken up
	RetryAfter     time.Duration // of a Refuse: when to come back
	Reason         string
	Trace          []string // of a final decision: the sends, each with its outcome
}

// Counts are a dispatcher's numbers.
type Counts struct {
	FirstSends, Retries, Served, Refused, Unknown, Broken, Abandoned, Disaggregated, Combined, Resumed, Duplicates int64
}
