package message

import "fmt"

// Kind is the kind of a Message and determines which typed value it holds. The wire
// format contains the kind's number; histories and counters contain its name. Neither may change.
type Kind uint8

// The kinds of messages. Each decodes into one typed value.
const (
	KindNone Kind = iota

	// Leases between a parent and a child of a partition's tree (lease.go).

	KindRenewLease    // child requests a volume lease and records
	KindGrantLease    // parent grants the requested leases
	KindReconnect     // parent asks for the list of records that the child holds
	KindLeaseList     // child sends the keys and versions of the records that it holds
	KindReconciled    // parent confirms the listed records that are up to date and grants the volume lease
	KindReconnectDone // child has applied the reconciliation
	KindInvalidate    // parent invalidates a record
	KindInvalidated   // child and all its descendants have dropped the record
	KindDenyLease     // parent can't grant leases; the child tries another parent
	KindRedirect      // parent refers the child to another parent; reasons: RedirectJoin, RedirectSplit, RedirectReturn

	// Votes, writes and leadership in a partition's group (quorum.go).

	KindRequestVote    // candidate requests a vote or a pre-vote
	KindGrantVote      // replica votes and sends the records that the candidate lacks
	KindRejectVote     // replica refuses the vote and gives the reason
	KindInstallState   // leader makes a replica's records equal to its own
	KindStateInstalled // replica confirms that its records equal the leader's
	KindStateMismatch  // replica lacks the state of this term and sends its digests
	KindReplicate      // leader writes records
	KindReplicated     // replica has the written records on disk
	KindHeartbeat      // leader renews its lease
	KindAbandonTerm    // candidate abandons a term that it has not won
	KindHeartbeatAck   // replica supports the leader's lease

	// The membership table (membership.go).

	KindHello        // daemon opens or renews its session
	KindWelcome      // control daemon confirms the session
	KindGossip       // control daemons exchange their sessions
	KindCensus       // daemon that knows no group asks a seed for its group
	KindCensusAnswer // seed's answer to a census

	// Calls to a partition's leader (call.go).

	KindCall
	KindCallResult

	KindBootstrap   // names the replicas of the first group
	KindLoadReport  // requests in progress and cache contents of the servers (traffic/loadreport)
	KindIncarnation // replica states its own incarnation and which incarnation of the receiver it recognizes

	kindEnd // one past the last kind
)

// kindNames are indexed by kind. They predate the names of the constants.
var kindNames = [...]string{
	"none",
	"renew", "grant", "reconnect", "listing", "synced", "connect", "invalidate", "invalidated", "deny", "steer",
	"ask", "promise", "refuse", "fill", "filled", "unfit", "accept", "accepted", "support", "void", "supported",
	"hello", "welcome", "gossip", "census", "count",
	"call", "back",
	"found", "board", "incarnation",
}

// String returns the name of the kind, as in histories and counters.
//
// Example: message.KindInvalidate.String() == "invalidate"
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// IsKnown reports whether this version of the protocol defines k.
//
// Example: message.Kind(200).IsKnown() == false
func (k Kind) IsKnown() bool { return k > KindNone && k < kindEnd }
