// Package forward decides how each client request is handled on one daemon: which server
// prefills its prompt, which server decodes the answer, what happens when one of them fails,
// and how the request ends. It is a state machine for one service without any I/O: its inputs
// are requests, outcomes of calls and the time, its output is the next decision.
// traffic/gateway executes the decisions.
//
// Files: request.go handles a request and its attempts; filter.go, sample.go, score.go and pick.go
// choose a server, and affinity.go ranks servers for a shared prefix; admission.go limits waits and
// retries, warmup.go the load of new servers; dispatcher.go maintains the view of the records;
// load.go is the interface to the load of all daemons.
package forward

import (
	"time"

	"mulleinmast/wire/message"
)

// Part is one part of a prompt, given by its key and its length in tokens.
type Part struct {
	Key    uint64
	Tokens int
}

// Request is a client request with the limits of its route.
type Request struct {
	ID                           string
	Service                      string
	Tenant                       string // tenant of the client; "" for none
	TenantAtLimit                bool   // the tenant uses all that its limit allows
	Repeatable                   bool   // may run more than once
	Resumable                    bool   // an interrupted stream may be resumed at another server
	Disaggregated                bool   // prefill and decode may run on separate servers
	ContinuesStream              bool   // the client is resuming an earlier stream
	Urgency                      int    // 0 is the most urgent, 9 the least
	LeastUrgency                 int    // urgency of the least urgent route
	MaxAttempts                  int    // maximum number of servers that it may be sent to
	TTFTTarget                   time.Duration
	InterTokenTarget             time.Duration // maximum time between events
	Deadline                     time.Duration // on the daemon's clock
	Parts                        []Part
	InputTokens, MaxOutputTokens int // prompt tokens, and maximum tokens of the answer
	BodyBytes                    int // size of the request body
}

// Config holds the limits and parameters of a dispatcher.
type Config struct {
	Zone        string
	RetryRatio  float64       // retries per first send in every RetryWindow
	RetryWindow time.Duration // see attempt.Bucket
	RetrySlack  int           // additional retries per window, for all daemons together
	MaxWait     time.Duration // maximum time that a request waits for leases and servers
	// MaxPredictedWait is the maximum predicted wait as a multiple of the time that the TTFT
	// target leaves for waiting. Requests beyond it are refused immediately; 0 disables the check.
	MaxPredictedWait float64
	// MaxListAge is how long a server list remains in use after it was withdrawn. Whether a
	// listed server may be used still depends on its own record, which has its own leases.
	MaxListAge       time.Duration
	FailureBackoff   time.Duration // how long a server is avoided after a failed call
	RejectionBackoff time.Duration // how long a server is avoided after it rejected a request
	RetryAfter       time.Duration // when a refused client should retry
	PrefillRate      float64       // prefill rate of a server in tokens per ms
	Weights          Weights
}

// Source reads the records that may be used for routing now: under valid leases, or for a
// limited time after they expired.
type Source interface {
	// Read returns a record of a partition, or false if the record may not be used now.
	Read(partition int, key string) (message.Record, bool)
	// Generation returns the number of changes to a partition's readable records.
	Generation(partition int) uint64
	// Until returns when a partition's records stop being readable, unless leases are renewed.
	Until(partition int) time.Duration
}

// Server is a model server as described by the current records.
type Server struct {
	Key, Addr, Zone string
	Role            string
	Slots           int
	Warming         bool
}

// Handle identifies the KV cache that the prefill of one request and attempt left on a server.
type Handle struct {
	ID        string
	RequestID string // request that was prefilled
	Attempt   int    // attempt that prefilled it
	Server    Server
	Tokens    int
}

// Outcome is the result of a call to a server.
type Outcome uint8

// The outcomes.
const (
	OK          Outcome = iota
	NotSent             // nothing reached the server
	Overloaded          // the server has no free slot; it did not and will not run the request
	WrongServer         // not run: a different server, or one with another role, has the address
	HandleLost          // not run: the KV cache is not available
	Lost                // sent, but no complete answer was received
	Blocked             // not sent: MaySend returned false
)

// String returns the outcome's name, as used in traces.
//
// Example: forward.Lost.String() == "lost"
func (o Outcome) String() string {
	return [...]string{"ok", "not sent", "full", "moved", "gone", "lost", "barred"}[o]
}

// Load is the load that a server reported with an answer.
type Load struct{ Running, Waiting, Slots int }

// Action is the kind of a decision.
type Action uint8

// The actions.
const (
	Wait      Action = iota + 1 // wait for leases or servers, then call Continue
	Prefill                     // have a server prefill the prompt and keep its KV cache
	Decode                      // have a server decode the answer
	Refuse                      // final: the request has not run and never will
	Unknown                     // final: the request may have run
	Break                       // final: the stream has started and can't be continued
	Done                        // final: the complete answer was sent
	Duplicate                   // final: another request with the same ID is pending
)

// String returns the action's name, as used in logs and metrics.
//
// Example: forward.Prefill.String() == "read"
func (a Action) String() string {
	return [...]string{"none", "wait", "read", "write", "refuse", "unknown", "break", "done", "duplicate"}[a]
}

// Final reports whether the request ends with this action.
//
// Example: if decision.Action.Final() { respond(decision) }
func (a Action) Final() bool { return a >= Refuse }

// Decision is the next step for a request.
type Decision struct {
	Action         Action
	Attempt        int // attempt number
	Server         Server
	Handle         *Handle       // for a Decode: the KV cache to fetch; nil if the server prefills the prompt itself
	Until          time.Duration // for a Wait: its end; for a call: its deadline
	Priority       int           // at the server: 0 is the most urgent, 9 the least
	ReleaseHandles []Handle      // KV caches to release, as they won't be used
	RetryAfter     time.Duration // for a Refuse: when the client should retry
	Reason         string
	Trace          []string // for a final decision: the sends with their outcomes
}

// Counts are a dispatcher's counters.
type Counts struct {
	FirstSends, Retries, Served, Refused, Unknown, Broken, Abandoned, Disaggregated, Combined, Resumed, Duplicates int64
}
