package message

import "time"

// The messages of a partition's group: votes, the leader lease, writes, and how a
// replica's records are made equal to the leader's.

// What the Op of a frame says in the kinds of this file. They stand on the wire and in histories.
const (
	opPreVote     = "probe"
	opTerminating = "parting"
)

// VoteRequest asks a replica for its vote in a term.
type VoteRequest struct {
	Term       uint64
	PreVote    bool          // asks only whether the vote would be granted, which binds nobody
	Group      Group         // the candidate's
	Digests    []uint64      // of each range of the candidate's records; none in a pre-vote
	WriteDelay time.Duration // for how long at most the candidate would write nothing as leader; an earlier build's: 0
}

// Message is the frame of the request.
//
// Example: message.VoteRequest{Term: 7, Group: g}.Message(0).Kind == message.KindRequestVote
func (v VoteRequest) Message(partition int) Message {
	return Message{
		Kind: KindRequestVote, Partition: partition, Op: opIf(v.PreVote, opPreVote),
		Term: v.Term, Group: v.Group, Digests: v.Digests, Length: int64(v.WriteDelay),
	}
}

// AsVoteRequest reads a frame of KindRequestVote.
//
// Example: r.handleVoteRequest(now, m.Sender(), m.AsVoteRequest(), &out)
func (m Message) AsVoteRequest() VoteRequest {
	return VoteRequest{
		Term: m.Term, PreVote: m.Op == opPreVote, Group: m.Group,
		Digests: m.Digests, WriteDelay: time.Duration(m.Length),
	}
}

// VoteGrant is a replica's vote for the candidate of a term, with what the
// candidate needs to take over as leader.
type VoteGrant struct {
	Term             uint64
	PreVote          bool   // the vote would be granted; only Term and the number of Group are set
	Group            Group  // the voter's
	CandidateEpoch   uint64 // the incarnation of the candidate that asked; an earlier build's: 0
	LastCompleteTerm uint64
	Digests          []uint64      // of each range of the voter's records
	Records          []Record      // the voter's in the ranges that differ from the candidate's
	LeasesStandFor   time.Duration // for how long leases of an earlier leader may still be valid
}

// Message is the frame of the vote.
//
// Example: message.VoteGrant{Term: 7}.Message(0).Kind == message.KindGrantVote
func (v VoteGrant) Message(partition int) Message {
	return Message{
		Kind: KindGrantVote, Partition: partition, Op: opIf(v.PreVote, opPreVote),
		Term: v.Term, Group: v.Group, ResponseTo: v.CandidateEpoch, LastComplete: v.LastCompleteTerm,
		Digests: v.Digests, Records: v.Records, Length: int64(v.LeasesStandFor),
	}
}

// AsVoteGrant reads a frame of KindGrantVote.
//
// Example: r.handleVoteGrant(now, m.Sender(), m.AsVoteGrant(), &out)
func (m Message) AsVoteGrant() VoteGrant {
	return VoteGrant{
		Term: m.Term, PreVote: m.Op == opPreVote, Group: m.Group, CandidateEpoch: m.ResponseTo,
		LastCompleteTerm: m.LastComplete, Digests: m.Digests, Records: m.Records, LeasesStandFor: time.Duration(m.Length),
	}
}

// VoteRejection refuses a candidate its vote, or a leader of an earlier term its
// heartbeat or write.
type VoteRejection struct {
	Term        uint64        // that was asked for
	VotedTerm   uint64        // the highest that the voter has voted in
	Group       Group         // the voter's
	BoundFor    time.Duration // for how long the voter still supports another leader
	KnownLeader Replica       // that the voter last supported
}

// Message is the frame of the rejection.
//
// Example: message.VoteRejection{Term: 7, VotedTerm: 8}.Message(0).Kind == message.KindRejectVote
func (v VoteRejection) Message(partition int) Message {
	return Message{
		Kind: KindRejectVote, Partition: partition, Term: v.Term, LastComplete: v.VotedTerm,
		Group: v.Group, Length: int64(v.BoundFor), Hint: v.KnownLeader,
	}
}

// AsVoteRejection reads a frame of KindRejectVote.
//
// Example: r.handleVoteRejection(now, m.Sender(), m.AsVoteRejection(), &out)
func (m Message) AsVoteRejection() VoteRejection {
	return VoteRejection{
		Term: m.Term, VotedTerm: m.LastComplete, Group: m.Group,
		BoundFor: time.Duration(m.Length), KnownLeader: m.Hint,
	}
}

// AbandonTerm says that a candidate gave its term up before it was won.
type AbandonTerm struct {
	Term uint64
}

// Message is the frame that gives the term up.
//
// Example: message.AbandonTerm{Term: 7}.Message(0).Kind == message.KindAbandonTerm
func (v AbandonTerm) Message(partition int) Message {
	return Message{Kind: KindAbandonTerm, Partition: partition, Term: v.Term}
}

// AsAbandonTerm reads a frame of KindAbandonTerm.
//
// Example: r.handleAbandonTerm(m.Sender(), m.AsAbandonTerm(), &out)
func (m Message) AsAbandonTerm() AbandonTerm { return AbandonTerm{Term: m.Term} }

// Heartbeat asks a replica or learner to support the leader's lease once more.
type Heartbeat struct {
	Term  uint64
	Round uint64            // the leader counts its heartbeats
	Peers []PeerIncarnation // what the leader knows of the other replicas, where that is news to the receiver
}

// Message is the frame of the heartbeat.
//
// Example: message.Heartbeat{Term: 7, Round: 3}.Message(0).Kind == message.KindHeartbeat
func (v Heartbeat) Message(partition int) Message {
	return Message{Kind: KindHeartbeat, Partition: partition, Term: v.Term, RequestID: v.Round, Peers: v.Peers}
}

// AsHeartbeat reads a frame of KindHeartbeat.
//
// Example: r.handleHeartbeat(now, m.Sender(), m.AsHeartbeat(), &out)
func (m Message) AsHeartbeat() Heartbeat {
	return Heartbeat{Term: m.Term, Round: m.RequestID, Peers: m.Peers}
}

// HeartbeatAck says that its sender supports the leader's lease from a round on.
type HeartbeatAck struct {
	Term        uint64
	Round       uint64
	Terminating bool // the sender's daemon was asked to end
}

// Message is the frame of the acknowledgement.
//
// Example: message.HeartbeatAck{Term: 7, Round: 3}.Message(0).Kind == message.KindHeartbeatAck
func (v HeartbeatAck) Message(partition int) Message {
	return Message{
		Kind: KindHeartbeatAck, Partition: partition, Term: v.Term,
		ResponseTo: v.Round, Op: opIf(v.Terminating, opTerminating),
	}
}

// AsHeartbeatAck reads a frame of KindHeartbeatAck.
//
// Example: r.handleHeartbeatAck(now, m.Sender(), m.AsHeartbeatAck())
func (m Message) AsHeartbeatAck() HeartbeatAck {
	return HeartbeatAck{Term: m.Term, Round: m.ResponseTo, Terminating: m.Op == opTerminating}
}

// InstallPurpose says what an install of state is for. It stands on the wire.
type InstallPurpose string

// The purposes of an install of state.
const (
	InstallForTerm   InstallPurpose = ""        // raises a copy to the leader's term
	InstallForRepair InstallPurpose = "compare" // compares a copy that holds the term, and sends what differs
	InstallForJoin   InstallPurpose = "whole"   // has a new replica confirm that it holds all that the leader holds
)

// InstallState makes a replica's records equal to the leader's, or asks it for the
// digests of its records first.
type InstallState struct {
	Term       uint64
	Purpose    InstallPurpose
	RequestID  uint64   // repair: the leader's last write, 0 where it waits for no answer; join: the group's number
	RecordsSum uint64   // for a term: of the leader's whole records; an earlier build's: 0
	Digests    []uint64 // for a term: of the replica's records as the leader knows them; else of the leader's
	Ranges     []int    // that are to be replaced or compared; none: only digests are asked for
	Records    []Record // all that the leader has in Ranges
	Group      Group    // the leader's
}

// Message is the frame of the install.
//
// Example: message.InstallState{Term: 7}.Message(0).Kind == message.KindInstallState
func (v InstallState) Message(partition int) Message {
	return Message{
		Kind: KindInstallState, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, RequestID: v.RequestID, LastComplete: v.RecordsSum,
		Digests: v.Digests, Ranges: v.Ranges, Records: v.Records, Group: v.Group,
	}
}

// AsInstallState reads a frame of KindInstallState.
//
// Example: r.handleInstallState(m.Sender(), m.AsInstallState(), &out)
func (m Message) AsInstallState() InstallState {
	return InstallState{
		Term: m.Term, Purpose: InstallPurpose(m.Op), RequestID: m.RequestID, RecordsSum: m.LastComplete,
		Digests: m.Digests, Ranges: m.Ranges, Records: m.Records, Group: m.Group,
	}
}

// StateInstalled says that the sender's disk holds what was installed.
type StateInstalled struct {
	Term       uint64
	Purpose    InstallPurpose
	ResponseTo uint64   // the RequestID of the install
	Records    []Record // repair: what the sender holds that is newer than the leader's
}

// Message is the frame of the answer.
//
// Example: message.StateInstalled{Term: 7}.Message(0).Kind == message.KindStateInstalled
func (v StateInstalled) Message(partition int) Message {
	return Message{
		Kind: KindStateInstalled, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, ResponseTo: v.ResponseTo, Records: v.Records,
	}
}

// AsStateInstalled reads a frame of KindStateInstalled.
//
// Example: r.handleStateInstalled(now, m.Sender(), m.AsStateInstalled(), &out)
func (m Message) AsStateInstalled() StateInstalled {
	return StateInstalled{Term: m.Term, Purpose: InstallPurpose(m.Op), ResponseTo: m.ResponseTo, Records: m.Records}
}

// StateMismatch says that the sender's records aren't what a write or an install
// builds on, and what they are.
type StateMismatch struct {
	Term       uint64
	Purpose    InstallPurpose // of the install that it answers to
	ResponseTo uint64         // the RequestID of the install
	Digests    []uint64       // of each range of the sender's records
}

// Message is the frame of the answer.
//
// Example: message.StateMismatch{Term: 7}.Message(0).Kind == message.KindStateMismatch
func (v StateMismatch) Message(partition int) Message {
	return Message{
		Kind: KindStateMismatch, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, ResponseTo: v.ResponseTo, Digests: v.Digests,
	}
}

// AsStateMismatch reads a frame of KindStateMismatch.
//
// Example: r.handleStateMismatch(now, m.Sender(), m.AsStateMismatch(), &out)
func (m Message) AsStateMismatch() StateMismatch {
	return StateMismatch{Term: m.Term, Purpose: InstallPurpose(m.Op), ResponseTo: m.ResponseTo, Digests: m.Digests}
}

// Replicate has a replica or learner take a write of the leader.
type Replicate struct {
	Term      uint64
	RequestID uint64 // the leader counts its writes
	Records   []Record
	Group     Group // the leader's
}

// Message is the frame of the write.
//
// Example: message.Replicate{Term: 7, RequestID: 3}.Message(0).Kind == message.KindReplicate
func (v Replicate) Message(partition int) Message {
	return Message{
		Kind: KindReplicate, Partition: partition, Term: v.Term,
		RequestID: v.RequestID, Records: v.Records, Group: v.Group,
	}
}

// AsReplicate reads a frame of KindReplicate.
//
// Example: r.handleReplicate(now, m.Sender(), m.AsReplicate(), &out)
func (m Message) AsReplicate() Replicate {
	return Replicate{Term: m.Term, RequestID: m.RequestID, Records: m.Records, Group: m.Group}
}

// Replicated says that the sender's disk holds a write.
type Replicated struct {
	Term       uint64
	ResponseTo uint64 // the RequestID of the write
}

// Message is the frame of the answer.
//
// Example: message.Replicated{Term: 7, ResponseTo: 3}.Message(0).Kind == message.KindReplicated
func (v Replicated) Message(partition int) Message {
	return Message{Kind: KindReplicated, Partition: partition, Term: v.Term, ResponseTo: v.ResponseTo}
}

// AsReplicated reads a frame of KindReplicated.
//
// Example: r.handleReplicated(now, m.Sender(), m.AsReplicated(), &out)
func (m Message) AsReplicated() Replicated { return Replicated{Term: m.Term, ResponseTo: m.ResponseTo} }

// IncarnationNotice says which incarnation of the receiver its sender goes by, and
// has the receiver answer with its own. What the sender says of itself rides on
// every message: see IncarnationClaims.
type IncarnationNotice struct {
	KnownEpoch uint64    // of the receiver; 0: filled in as the message leaves
	KnownState SavePoint // the latest of it that the sender knows of
	Group      Group     // the sender's
}

// Message is the frame of the notice.
//
// Example: message.IncarnationNotice{Group: g}.Message(0).Kind == message.KindIncarnation
func (v IncarnationNotice) Message(partition int) Message {
	return Message{
		Kind: KindIncarnation, Partition: partition,
		KnownEpoch: v.KnownEpoch, KnownState: v.KnownState, Group: v.Group,
	}
}

// IncarnationClaims are what a message says of incarnations, its sender's and its
// receiver's. Every kind of message of a group carries them.
type IncarnationClaims struct {
	Epoch      uint64            // of the sender
	StartState SavePoint         // that the sender started from, until the receiver is known to go by Epoch
	Saves      uint64            // of this incarnation that are on the sender's disk
	KnownEpoch uint64            // the incarnation of the receiver that the sender goes by; none: 0
	KnownState SavePoint         // the latest of the receiver that the sender knows of
	Group      Group             // the sender's
	Peers      []PeerIncarnation // what a leader knows of the other replicas
	IsNotice   bool              // the message says nothing else
}

// IncarnationClaims reads what any message of a group says of incarnations.
//
// Example: if !r.admits(now, m.Sender(), m.IncarnationClaims(), &out) { return out }
func (m Message) IncarnationClaims() IncarnationClaims {
	return IncarnationClaims{
		Epoch: m.Epoch, StartState: m.State, Saves: m.Saves, KnownEpoch: m.KnownEpoch, KnownState: m.KnownState,
		Group: m.Group, Peers: m.Peers, IsNotice: m.Kind == KindIncarnation,
	}
}

// opIf is an Op where a condition holds, else none.
func opIf(is bool, op string) string {
	if is {
		return op
	}
	return ""
}
