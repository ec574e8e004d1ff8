package message

import "fmt"

// Kind says what a Message is: which typed value it holds. Its number stands on the
// wire, its name in histories and counts; both stay as they are.
type Kind uint8

// The kinds of messages, each with the typed value that it is read into.
const (
	KindNone Kind = iota

	// Leases between a parent and a child of a partition's tree (lease.go).

	KindRenewLease    // child asks for a volume lease and for records
	KindGrantLease    // parent grants them
	KindReconnect     // parent asks for the child's list
	KindLeaseList     // child sends keys and versions
	KindReconciled    // parent confirms the matching ones and grants the volume lease
	KindReconnectDone // child is done
	KindInvalidate    // parent withdraws a record
	KindInvalidated   // child (and all below it) dropped it
	KindDenyLease     // parent can't serve; look elsewhere
	KindRedirect      // parent names a better parent (join, split, return)

	// Votes, writes and leadership in a partition's group (quorum.go).

	KindRequestVote    // a candidate asks for a vote, or whether it would get one
	KindGrantVote      // the vote, with the voter's records that the candidate lacks
	KindRejectVote     // no vote, and why
	KindInstallState   // the leader makes a replica's records equal to its own
	KindStateInstalled // they are
	KindStateMismatch  // voter isn't at this term's state: here are its digests
	KindReplicate      // the leader writes records
	KindReplicated     // they are on the replica's disk
	KindHeartbeat      // renews the leader lease
	KindAbandonTerm    // a candidate gave this term up before it was won
	KindHeartbeatAck   // the replica supports the leader

	// The membership table (membership.go).

	KindHello        // a daemon opens or renews its session
	KindWelcome      // the control daemon has it in its table
	KindGossip       // control daemons exchange their tables
	KindCensus       // a daemon without groups asks the seeds what they have
	KindCensusAnswer // what this one has

	// Calls to a partition's leader (call.go).

	KindCall
	KindCallResult

	KindBootstrap   // these replicas make the first group
	KindLoadReport  // what is under way at servers, and what they keep (traffic/loadreport)
	KindIncarnation // which incarnation of the other a replica goes by, and what it is itself

	kindEnd // one past the last
)

// kindNames are by the kind's number. They are older than the constants' names.
var kindNames = [...]string{
	"none",
	"renew", "grant", "reconnect", "listing", "synced", "connect", "invalidate", "invalidated", "deny", "steer",
	"ask", "promise", "refuse", "fill", "filled", "unfit", "accept", "accepted", "support", "void", "supported",
	"hello", "welcome", "gossip", "census", "count",
	"call", "back",
	"found", "board", "incarnation",
}

// String names a kind.
//
// Example: message.KindInvalidate.String() == "invalidate"
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// IsKnown tells whether k is a kind of this version.
//
// Example: message.Kind(200).IsKnown() == false
func (k Kind) IsKnown() bool { return k > KindNone && k < kindEnd }
