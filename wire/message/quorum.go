package message

import "time"

// The messages of a partition's group: votes, the leader lease, writes, and the
// transfer that makes a replica's records equal to the leader's.

// Values of the frame's Op in the kinds of this file. They are part of the wire format and of histories.
const (
	opPreVote     = "probe"
	opTerminating = "parting"
)

// VoteRequest asks a replica for its vote in a term.
type VoteRequest struct {
	Term       uint64
	PreVote    bool          // asks only whether the vote would be granted, without binding the voter
	Group      Group         // the candidate's
	Digests    []uint64      // of each range of the candidate's records; empty in a pre-vote
	WriteDelay time.Duration // longest time that the candidate agrees to hold back writes as leader; 0 from earlier builds
}

// Message encodes the request as a frame.
//
// Example: message.VoteRequest{Term: 7, Group: g}.Message(0).Kind == message.KindRequestVote
func (v VoteRequest) Message(partition int) Message {
	return Message{
		Kind: KindRequestVote, Partition: partition, Op: opIf(v.PreVote, opPreVote),
		Term: v.Term, Group: v.Group, Digests: v.Digests, Length: int64(v.WriteDelay),
	}
}

// AsVoteRequest decodes a frame of KindRequestVote.
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
	PreVote          bool   // answers a pre-vote that the voter would grant; only Term and Group.Number are set
	Group            Group  // the voter's
	CandidateEpoch   uint64 // the incarnation of the candidate that sent the request; 0 from earlier builds
	LastCompleteTerm uint64
	Digests          []uint64      // of each range of the voter's records
	Records          []Record      // the voter's records in the ranges that differ from the candidate's
	LeasesValidFor   time.Duration // remaining time for which leases of an earlier leader may be valid
}

// Message encodes the vote as a frame.
//
// Example: message.VoteGrant{Term: 7}.Message(0).Kind == message.KindGrantVote
func (v VoteGrant) Message(partition int) Message {
	return Message{
		Kind: KindGrantVote, Partition: partition, Op: opIf(v.PreVote, opPreVote),
		Term: v.Term, Group: v.Group, ResponseTo: v.CandidateEpoch, LastComplete: v.LastCompleteTerm,
		Digests: v.Digests, Records: v.Records, Length: int64(v.LeasesValidFor),
	}
}

// AsVoteGrant decodes a frame of KindGrantVote.
//
// Example: r.handleVoteGrant(now, m.Sender(), m.AsVoteGrant(), &out)
func (m Message) AsVoteGrant() VoteGrant {
	return VoteGrant{
		Term: m.Term, PreVote: m.Op == opPreVote, Group: m.Group, CandidateEpoch: m.ResponseTo,
		LastCompleteTerm: m.LastComplete, Digests: m.Digests, Records: m.Records, LeasesValidFor: time.Duration(m.Length),
	}
}

// VoteRejection refuses the vote to a candidate, or refuses a heartbeat or write from
// the leader of an earlier term.
type VoteRejection struct {
	Term             uint64        // of the refused request
	VotedTerm        uint64        // the highest term that the voter has voted in
	Group            Group         // the voter's
	SupportRemaining time.Duration // remaining time for which the voter supports another leader
	KnownLeader      Replica       // the leader that the voter last supported
}

// Message encodes the rejection as a frame.
//
// Example: message.VoteRejection{Term: 7, VotedTerm: 8}.Message(0).Kind == message.KindRejectVote
func (v VoteRejection) Message(partition int) Message {
	return Message{
		Kind: KindRejectVote, Partition: partition, Term: v.Term, LastComplete: v.VotedTerm,
		Group: v.Group, Length: int64(v.SupportRemaining), Hint: v.KnownLeader,
	}
}

// AsVoteRejection decodes a frame of KindRejectVote.
//
// Example: r.handleVoteRejection(now, m.Sender(), m.AsVoteRejection(), &out)
func (m Message) AsVoteRejection() VoteRejection {
	return VoteRejection{
		Term: m.Term, VotedTerm: m.LastComplete, Group: m.Group,
		SupportRemaining: time.Duration(m.Length), KnownLeader: m.Hint,
	}
}

// AbandonTerm announces that a candidate has abandoned a term that it has not won.
type AbandonTerm struct {
	Term uint64
}

// Message encodes the announcement as a frame.
//
// Example: message.AbandonTerm{Term: 7}.Message(0).Kind == message.KindAbandonTerm
func (v AbandonTerm) Message(partition int) Message {
	return Message{Kind: KindAbandonTerm, Partition: partition, Term: v.Term}
}

// AsAbandonTerm decodes a frame of KindAbandonTerm.
//
// Example: r.handleAbandonTerm(m.Sender(), m.AsAbandonTerm(), &out)
func (m Message) AsAbandonTerm() AbandonTerm { return AbandonTerm{Term: m.Term} }

// Heartbeat asks a replica or learner to renew its support for the leader's lease.
type Heartbeat struct {
	Term  uint64
	Round uint64            // sequence number that the leader assigned to the heartbeat
	Peers []PeerIncarnation // what the leader knows about the other replicas; the receiver may not know it
}

// Message encodes the heartbeat as a frame.
//
// Example: message.Heartbeat{Term: 7, Round: 3}.Message(0).Kind == message.KindHeartbeat
func (v Heartbeat) Message(partition int) Message {
	return Message{Kind: KindHeartbeat, Partition: partition, Term: v.Term, RequestID: v.Round, Peers: v.Peers}
}

// AsHeartbeat decodes a frame of KindHeartbeat.
//
// Example: r.handleHeartbeat(now, m.Sender(), m.AsHeartbeat(), &out)
func (m Message) AsHeartbeat() Heartbeat {
	return Heartbeat{Term: m.Term, Round: m.RequestID, Peers: m.Peers}
}

// HeartbeatAck confirms that its sender supports the leader's lease as of a round.
type HeartbeatAck struct {
	Term        uint64
	Round       uint64
	Terminating bool // the sender's daemon is shutting down
}

// Message encodes the acknowledgement as a frame.
//
// Example: message.HeartbeatAck{Term: 7, Round: 3}.Message(0).Kind == message.KindHeartbeatAck
func (v HeartbeatAck) Message(partition int) Message {
	return Message{
		Kind: KindHeartbeatAck, Partition: partition, Term: v.Term,
		ResponseTo: v.Round, Op: opIf(v.Terminating, opTerminating),
	}
}

// AsHeartbeatAck decodes a frame of KindHeartbeatAck.
//
// Example: r.handleHeartbeatAck(now, m.Sender(), m.AsHeartbeatAck())
func (m Message) AsHeartbeatAck() HeartbeatAck {
	return HeartbeatAck{Term: m.Term, Round: m.ResponseTo, Terminating: m.Op == opTerminating}
}

// InstallPurpose is the purpose of a state installation. It is part of the wire format.
type InstallPurpose string

// The purposes of a state installation.
const (
	InstallForTerm   InstallPurpose = ""        // brings a replica to the leader's state for its term
	InstallForRepair InstallPurpose = "compare" // compares a replica's records with the leader's and sends the differences
	InstallForJoin   InstallPurpose = "whole"   // has a new replica confirm that it holds all records of the leader
)

// InstallState makes a replica's records equal to the leader's, or first requests the
// digests of the replica's records. A field comment that begins with "term", "repair" or
// "join" applies only to that purpose.
type InstallState struct {
	Term            uint64
	Purpose         InstallPurpose
	RequestID       uint64   // repair: the leader's last write, or 0 if no answer is needed; join: the group's number
	RecordsChecksum uint64   // term: checksum of all records of the leader; 0 from earlier builds
	Digests         []uint64 // term: of the replica's records, as known to the leader; repair, join: of the leader's
	Ranges          []int    // to be replaced or compared; empty: only digests are requested
	Records         []Record // all records of the leader in Ranges
	Group           Group    // the leader's
}

// Message encodes the installation as a frame.
//
// Example: message.InstallState{Term: 7}.Message(0).Kind == message.KindInstallState
func (v InstallState) Message(partition int) Message {
	return Message{
		Kind: KindInstallState, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, RequestID: v.RequestID, LastComplete: v.RecordsChecksum,
		Digests: v.Digests, Ranges: v.Ranges, Records: v.Records, Group: v.Group,
	}
}

// AsInstallState decodes a frame of KindInstallState.
//
// Example: r.handleInstallState(m.Sender(), m.AsInstallState(), &out)
func (m Message) AsInstallState() InstallState {
	return InstallState{
		Term: m.Term, Purpose: InstallPurpose(m.Op), RequestID: m.RequestID, RecordsChecksum: m.LastComplete,
		Digests: m.Digests, Ranges: m.Ranges, Records: m.Records, Group: m.Group,
	}
}

// StateInstalled confirms that the installed state is on the sender's disk.
type StateInstalled struct {
	Term       uint64
	Purpose    InstallPurpose
	ResponseTo uint64   // the RequestID of the InstallState
	Records    []Record // repair: the sender's records that are newer than the leader's
}

// Message encodes the answer as a frame.
//
// Example: message.StateInstalled{Term: 7}.Message(0).Kind == message.KindStateInstalled
func (v StateInstalled) Message(partition int) Message {
	return Message{
		Kind: KindStateInstalled, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, ResponseTo: v.ResponseTo, Records: v.Records,
	}
}

// AsStateInstalled decodes a frame of KindStateInstalled.
//
// Example: r.handleStateInstalled(now, m.Sender(), m.AsStateInstalled(), &out)
func (m Message) AsStateInstalled() StateInstalled {
	return StateInstalled{Term: m.Term, Purpose: InstallPurpose(m.Op), ResponseTo: m.ResponseTo, Records: m.Records}
}

// StateMismatch reports that the sender's records aren't the ones that a write or an
// installation is based on, and returns their digests.
type StateMismatch struct {
	Term       uint64
	Purpose    InstallPurpose // of the InstallState that it answers
	ResponseTo uint64         // the RequestID of the InstallState
	Digests    []uint64       // of each range of the sender's records
}

// Message encodes the answer as a frame.
//
// Example: message.StateMismatch{Term: 7}.Message(0).Kind == message.KindStateMismatch
func (v StateMismatch) Message(partition int) Message {
	return Message{
		Kind: KindStateMismatch, Partition: partition, Op: string(v.Purpose),
		Term: v.Term, ResponseTo: v.ResponseTo, Digests: v.Digests,
	}
}

// AsStateMismatch decodes a frame of KindStateMismatch.
//
// Example: r.handleStateMismatch(now, m.Sender(), m.AsStateMismatch(), &out)
func (m Message) AsStateMismatch() StateMismatch {
	return StateMismatch{Term: m.Term, Purpose: InstallPurpose(m.Op), ResponseTo: m.ResponseTo, Digests: m.Digests}
}

// Replicate sends a write of the leader to a replica or learner.
type Replicate struct {
	Term      uint64
	RequestID uint64 // sequence number that the leader assigned to the write
	Records   []Record
	Group     Group // the leader's
}

// Message encodes the write as a frame.
//
// Example: message.Replicate{Term: 7, RequestID: 3}.Message(0).Kind == message.KindReplicate
func (v Replicate) Message(partition int) Message {
	return Message{
		Kind: KindReplicate, Partition: partition, Term: v.Term,
		RequestID: v.RequestID, Records: v.Records, Group: v.Group,
	}
}

// AsReplicate decodes a frame of KindReplicate.
//
// Example: r.handleReplicate(now, m.Sender(), m.AsReplicate(), &out)
func (m Message) AsReplicate() Replicate {
	return Replicate{Term: m.Term, RequestID: m.RequestID, Records: m.Records, Group: m.Group}
}

// Replicated confirms that a write is on the sender's disk.
type Replicated struct {
	Term       uint64
	ResponseTo uint64 // the RequestID of the write
}

// Message encodes the answer as a frame.
//
// Example: message.Replicated{Term: 7, ResponseTo: 3}.Message(0).Kind == message.KindReplicated
func (v Replicated) Message(partition int) Message {
	return Message{Kind: KindReplicated, Partition: partition, Term: v.Term, ResponseTo: v.ResponseTo}
}

// AsReplicated decodes a frame of KindReplicated.
//
// Example: r.handleReplicated(now, m.Sender(), m.AsReplicated(), &out)
func (m Message) AsReplicated() Replicated { return Replicated{Term: m.Term, ResponseTo: m.ResponseTo} }

// IncarnationNotice states which incarnation of the receiver the sender recognizes, and
// asks the receiver to answer with its own incarnation. The sender's own incarnation is
// part of every message (see IncarnationClaims).
type IncarnationNotice struct {
	KnownEpoch uint64    // incarnation of the receiver; if 0, it is filled in when the message is sent
	KnownState SavePoint // latest state of the receiver that the sender knows
	Group      Group     // the sender's
}

// Message encodes the notice as a frame.
//
// Example: message.IncarnationNotice{Group: g}.Message(0).Kind == message.KindIncarnation
func (v IncarnationNotice) Message(partition int) Message {
	return Message{
		Kind: KindIncarnation, Partition: partition,
		KnownEpoch: v.KnownEpoch, KnownState: v.KnownState, Group: v.Group,
	}
}

// IncarnationClaims are a message's statements about the incarnations of its sender and
// its receiver. Every message between the replicas of a group carries them.
type IncarnationClaims struct {
	Epoch      uint64            // of the sender
	StartState SavePoint         // state that the sender started from; set until the receiver is known to recognize Epoch
	Saves      uint64            // number of saves on the sender's disk in this incarnation
	KnownEpoch uint64            // incarnation of the receiver that the sender recognizes; 0: none
	KnownState SavePoint         // latest state of the receiver that the sender knows
	Group      Group             // the sender's
	Peers      []PeerIncarnation // what a leader knows about the other replicas
	IsNotice   bool              // the message is an IncarnationNotice
}

// IncarnationClaims returns the incarnation claims of any message of a group.
//
// Example: if !r.admits(now, m.Sender(), m.IncarnationClaims(), &out) { return out }
func (m Message) IncarnationClaims() IncarnationClaims {
	return IncarnationClaims{
		Epoch: m.Epoch, StartState: m.State, Saves: m.Saves, KnownEpoch: m.KnownEpoch, KnownState: m.KnownState,
		Group: m.Group, Peers: m.Peers, IsNotice: m.Kind == KindIncarnation,
	}
}

// opIf returns op if the condition holds, otherwise an empty Op.
func opIf(condition bool, op string) string {
	if condition {
		return op
	}
	return ""
}
