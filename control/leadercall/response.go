package leadercall

import "encoding/json"

// Operations that a leader executes. Their names appear in frames exchanged with other builds.
const (
	OpPlan     = "plan"     // replaces the plan; fleetconfig.Plan, may be compressed
	OpChanges  = "changes"  // applies changes to the plan; fleetconfig.Changes, may be compressed
	OpEvacuate = "evacuate" // evacuates a zone; its name as plain text
	OpReturn   = "return"   // ends the evacuation of a zone; its name as plain text
	OpReplica  = "seat"     // moves a replica to another daemon; leader.ReplicaCall
	OpServers  = "servers"  // replaces the list of a service's servers; leader.ServersCall
	OpClaim    = "claim"    // claims a once key; leader.ClaimCall
	OpRelease  = "unclaim"  // ends the request that claimed a once key; leader.ClaimCall
	OpDemand   = "want"     // requests a share of a service's slots; placement.Demand
	OpToken    = "token"    // requests a token of a tenant's rate limit; ratelimit.Request
)

// HasSingleTry reports whether a call is given up if its first try isn't answered. This holds for
// operations whose result is useless later and whose callers send a new call anyway.
//
// Example: calls.Start(now, leader, 3, op, body, deadline, leadercall.HasSingleTry(op))
func HasSingleTry(op string) bool { return op == OpDemand || op == OpToken }

// Results of a Response. Operators' programs and clients depend on them.
const (
	ResultDone      = "done"
	ResultNotDone   = "not done"  // nothing was changed
	ResultUncertain = "uncertain" // the call may have been executed
	ResultUnclear   = "not clear" // nothing was changed now; the outcome of an earlier try is unknown
	ResultConflict  = "beaten"    // a later version is active
	ResultDuplicate = "duplicate" // another request holds, or held, the once key
	ResultInvalid   = "broken"    // the input is invalid
)

// Claim is the record of a once key: the request that claimed it, and that request's state.
type Claim struct {
	Request string   `json:"request"`
	Daemon  string   `json:"daemon"`         // identity of the daemon that handles the request
	State   string   `json:"state"`          // one of the states of a claim
	Past    []string `json:"past,omitempty"` // requests that released the key; only stored with the record
}

// States of a claim.
const (
	ClaimHeld     = "claimed" // the request may be running
	ClaimReleased = "shed"    // the request certainly didn't run: the key may be claimed again
	ClaimDone     = "done"    // the request ran
)

// Response is the body of a call's result, except for verdicts on plans.
type Response struct {
	Result           string   `json:"result"` // one of the results above, or one of the daemon's own
	Reason           string   `json:"why,omitempty"`
	Faults           []string `json:"faults,omitempty"`
	RetryAfterMillis int64    `json:"retry_after_ms,omitempty"`
	Claim            *Claim   `json:"claim,omitempty"` // current or last claim of the once key
	Plan             string   `json:"plan,omitempty"`  // ID of the current plan
	Version          uint64   `json:"version,omitempty"`
}

// MustMarshal encodes one of this module's own types as JSON. It panics on an error, which these types
// can't cause.
//
// Example: body := leadercall.MustMarshal(leadercall.Response{Result: leadercall.ResultDone})
func MustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
