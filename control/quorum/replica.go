// Package quorum is one partition's replica on a control daemon: it votes, becomes
// a candidate when the leadership falls vacant, and as leader replicates writes to
// a majority. It is a plain state machine: messages and time in, messages and
// saves out.
//
// The terms are Raft's, with one difference: there is no log. A replica's state is
// a set of versioned records and the last complete term: the one under which all
// of them were last made equal to a leader's. A candidate reads a majority, takes
// the records of the highest complete term, merges them by version, and installs
// the result at every replica under its own term before it serves.
//
// The files: vote.go is the voter's side of an election, candidate.go the
// candidate's; heartbeat.go is the leader lease; replicate.go are writes;
// install.go, lagging.go and repair.go make copies equal; group.go changes the
// group, contact.go watches who answers; incarnation.go and folder.go find copied
// and rolled-back data folders; disk.go is what waits for the disk, meta.go what
// is stored.
package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Config holds the bounds that a replica works by. All replicas of a fleet have the
// same; control/daemon derives them from the users' bounds (QuorumConfig).
type Config struct {
	// LeaderLease is the length of a leader lease. A leader that a majority doesn't
	// hear for so long is none any more, and only then can another be elected: longer
	// leases bear longer pauses, shorter ones shorten a change of leaders.
	LeaderLease time.Duration
	// Drift is the most by which one clock runs faster than another, as a fraction of
	// 1. The bound must hold, or two leaders' leases may overlap.
	Drift float64
	// Margin is added to every wait on another's clock, above Drift.
	Margin time.Duration
	// HeartbeatInterval is the time between two heartbeats, and before a write is sent
	// again. It must leave room for some in one LeaderLease.
	HeartbeatInterval time.Duration
	// LostAfter is for how long a replica is silent before a ready learner takes its
	// place. More than one LeaderLease, or a restart would be taken for a loss.
	LostAfter time.Duration
}

// Wait is how long a voter waits out a lease of the given length by its own clock.
//
// Example: c.Wait(time.Second) > time.Second
func (c Config) Wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// Outcome is what became of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Committed Outcome = iota + 1
	Uncertain         // may or may not be found by the next leader
)

// WriteResult is the outcome of the write with this tag.
type WriteResult struct {
	Tag     uint64
	Outcome Outcome
}

// Out is what a step asks for.
type Out struct {
	Sends   []message.Envelope
	Saves   []Save
	Results []WriteResult
	Won     bool // became leader
	Lost    bool // is no longer leader
	// Superseded is why this replica takes no part from now on, if that was just found.
	Superseded string
}

// send adds a message to another replica, or to this one.
func (o *Out) send(to message.Replica, m message.Message) {
	o.Sends = append(o.Sends, envelope(to, m))
}

// envelope addresses a message.
func envelope(to message.Replica, m message.Message) message.Envelope {
	m.To = to.Ident
	return message.Envelope{Addr: to.Addr, Message: m}
}

// role is what a replica is in its present term.
type role uint8

const (
	follower     role = iota
	preCandidate      // asks, binding nobody, whether an election could be won
	candidate         // asks for votes
	installing        // won its election, and brings a majority to its records before it serves
	leader
)

// repairLeases is how many leader leases pass between two comparisons with one
// replica, and how many a voter may stay bound to a term above the leader's, with
// no copy kept up, before the leader takes a higher one.
const repairLeases = 8

// Replica is the state machine. It is not safe for concurrent use.
type Replica struct {
	cfg       Config
	partition int
	self      message.Replica

	meta    Meta // goes to the disk with every save
	records *digest.Records

	now      time.Duration // of the step under way
	resigned bool          // renews no lease and begins no election any more

	role role
	term uint64 // as candidate or leader; the last term in which it was one

	support   leaderSupport     // whom it supports as leader
	lastGrant withdrawableGrant // the vote it gave last
	epochs    map[string]uint64 // the latest incarnation that was heard of each daemon
	election  election
	lease     leaderLease

	leaderSince time.Duration // when it knew that no older leader could act
	writesFrom  time.Duration // as leader: nothing is written before

	replication replication
	copies      copies
	contact     contact
	learners    []message.Replica // as leader: who is sent a copy and every write, and has no vote
	change      groupChange

	disk  diskQueue
	guard incarnationGuard

	Repairs int // times that a replica's copy was found to differ and was sent this one's
}

// InitialState is what a replica starts from.
type InitialState struct {
	Partition int
	Self      message.Replica
	Folder    *Folder         // shared by the replicas of a daemon; nil: no incarnation is claimed or checked
	Meta      Meta            // what the disk held
	Records   *digest.Records // what the disk held; the replica's own from now on
	IsNew     bool            // it has never voted: it need not wait out a lease that it supported before
}

// New makes a replica. Unless it is new, it waits out one full lease before it
// votes, since it may have supported a leader until its start.
//
// Example: r := quorum.New(cfg, quorum.InitialState{Self: self, Records: records, IsNew: true}, now)
func New(cfg Config, initial InitialState, now time.Duration) *Replica {
	meta, self := initial.Meta, initial.Self
	r := &Replica{
		cfg: cfg, partition: initial.Partition, self: self, meta: meta, records: initial.Records, now: now,
		epochs:      map[string]uint64{},
		lease:       newLeaderLease(),
		replication: newReplication(),
		disk:        diskQueue{onSync: map[uint64][]message.Envelope{}},
		guard:       incarnationGuard{folder: initial.Folder, acknowledgedBy: map[string]bool{}},
	}
	r.support.until = now + cfg.Wait(cfg.LeaderLease)
	if initial.IsNew {
		r.support.until = now
	}
	r.support.earlierLeasesUntil = r.support.until
	r.election.notBefore = now + r.electionDelay()
	if !initial.IsNew && meta.VotedFor == self.Ident && meta.VotedForEpoch > 0 {
		r.epochs[self.Ident] = meta.VotedForEpoch + 1 // that was an earlier incarnation of this daemon
	}
	return r
}

// WritesFrom is when a leader may begin to write: leases that stood under an
// earlier leader whose daemon restarted have lapsed by then.
//
// Example: if now >= r.WritesFrom() { write() }
func (r *Replica) WritesFrom() time.Duration { return r.writesFrom }

// IsLeader reports whether this replica is leader and its lease valid now.
//
// Example: if r.IsLeader(now) { grant() }
func (r *Replica) IsLeader(now time.Duration) bool { return r.role == leader && now < r.lease.end }

// Term is the term in which this replica is leader or candidate, or was last.
//
// Example: epoch.Term = r.Term()
func (r *Replica) Term() uint64 { return r.term }

// LeaseEnd is when the leader lease ends.
//
// Example: left := r.LeaseEnd() - now
func (r *Replica) LeaseEnd() time.Duration { return r.lease.end }

// LeaderSince is when this replica knew that no older leader could act.
//
// Example: if now-r.LeaderSince() < grace { holdOrders() }
func (r *Replica) LeaderSince() time.Duration { return r.leaderSince }

// KnownLeader is the leader that this replica last supported.
//
// Example: leadership := r.KnownLeader()
func (r *Replica) KnownLeader() message.Leadership { return r.support.known }

// Group is the partition's voters as this replica knows them.
//
// Example: if r.Group().Number == 0 { standby() }
func (r *Replica) Group() message.Group { return r.meta.Group }

// Records is the replica's records; read it only while the replica is leader.
//
// Example: rec, ok := r.Records().Get(key)
func (r *Replica) Records() *digest.Records { return r.records }

// Meta is the durable state beside the records.
//
// Example: r.Meta().LastComplete
func (r *Replica) Meta() Meta { return r.meta }

// Resign lets the leadership lapse: nothing is renewed and no election is begun.
//
// Example: r.Resign()
func (r *Replica) Resign() { r.resigned = true }

// Step takes a message from another replica, or from this one.
//
// Example: out := r.Step(now, m)
func (r *Replica) Step(now time.Duration, m message.Message) (out Out) {
	r.now = now
	defer func() { r.claimIncarnations(&out) }()
	from := m.Sender()
	if !r.admits(now, from, m.IncarnationClaims(), &out) || !r.isParticipant(from, m.Kind, m.Term) || r.isOutdated(from) {
		return out
	}
	r.noteEpoch(now, from)
	switch m.Kind {
	case message.KindRequestVote:
		r.handleVoteRequest(now, from, m.AsVoteRequest(), &out)
	case message.KindGrantVote:
		r.handleVoteGrant(now, from, m.AsVoteGrant(), &out)
	case message.KindRejectVote:
		r.handleVoteRejection(now, from, m.AsVoteRejection(), &out)
	case message.KindAbandonTerm:
		r.handleAbandonTerm(from, m.AsAbandonTerm(), &out)
	case message.KindHeartbeat:
		r.handleHeartbeat(now, from, m.AsHeartbeat(), &out)
	case message.KindHeartbeatAck:
		r.handleHeartbeatAck(now, from, m.AsHeartbeatAck())
	case message.KindInstallState:
		r.handleInstallState(from, m.AsInstallState(), &out)
	case message.KindStateInstalled:
		r.handleStateInstalled(now, from, m.AsStateInstalled(), &out)
	case message.KindStateMismatch:
		r.handleStateMismatch(now, from, m.AsStateMismatch(), &out)
	case message.KindReplicate:
		r.handleReplicate(now, from, m.AsReplicate(), &out)
	case message.KindReplicated:
		r.handleReplicated(now, from, m.AsReplicated(), &out)
	}
	return out
}

// Tick lets time pass.
//
// Example: out := r.Tick(now)
func (r *Replica) Tick(now time.Duration) (out Out) {
	r.now = now
	if r.guard.superseded != "" {
		return out
	}
	defer func() { r.claimIncarnations(&out) }()
	r.savePeerIncarnations(now, &out)
	if r.mustStepDown(now) {
		r.stepDown(&out)
		return out
	}
	if r.isTakingOverOrLeader() && now >= r.lease.end {
		r.stepDown(&out)
		r.election.notBefore = now + r.cfg.LeaderLease/4 + r.electionDelay()
		return out
	}
	if !r.mayLead(now) {
		return out
	}
	switch r.role {
	case follower:
		r.tickFollower(now, &out)
	case preCandidate, candidate:
		r.tickCandidate(now, &out)
	case installing, leader:
		r.tickLeader(now, &out)
	}
	return out
}

// mustStepDown reports whether a candidate or leader leaves its place to others
// before its lease ends.
func (r *Replica) mustStepDown(now time.Duration) bool {
	return r.role != follower && r.isDiskStalled(now) || r.isOutvoted(now)
}

// isOutvoted reports whether a voter stayed bound to a term above this leader's for
// so long that only a higher term wins it back. A leader with writes under way
// waits for these.
func (r *Replica) isOutvoted(now time.Duration) bool {
	if r.role != leader || len(r.replication.pending) > 0 {
		return false
	}
	for _, since := range r.election.boundElsewhere {
		if now-since > repairLeases*r.cfg.LeaderLease {
			return true
		}
	}
	return false
}

// mayLead reports whether this replica may be, or become, a leader at all.
func (r *Replica) mayLead(now time.Duration) bool {
	return !r.resigned && !r.meta.Incomplete && !r.isDiskStalled(now) && r.meta.Group.Has(r.self.Ident)
}

// tickFollower becomes a candidate once no leader is left to be supported.
func (r *Replica) tickFollower(now time.Duration, out *Out) {
	if !r.isUnbound(now) {
		r.election.notBefore = r.support.until + r.electionDelay()
		return
	}
	if now >= r.election.notBefore {
		r.requestPreVotes(now, out)
	}
}

// tickCandidate ends an election that took too long.
func (r *Replica) tickCandidate(now time.Duration, out *Out) {
	if now-r.election.startedAt <= r.cfg.LeaderLease/2 {
		return
	}
	r.stepDown(out)
	r.election.notBefore = max(r.election.notBefore, now+r.electionDelay()+r.cfg.HeartbeatInterval)
}

// tickLeader renews the lease, and sends again what was not answered.
func (r *Replica) tickLeader(now time.Duration, out *Out) {
	if now-r.lease.heartbeatAt >= r.cfg.HeartbeatInterval {
		r.sendHeartbeats(now, out)
	}
	r.resendInstalls(now, out)
	r.compareCopies(now, out)
	r.catchUpLagging(now, out)
	r.resendWrites(now, out)
}

// stepDown ends candidacy or leadership; writes under way become uncertain.
func (r *Replica) stepDown(out *Out) {
	if r.role == leader {
		out.Lost = true
		// What was granted under this lease must lapse before this replica is a candidate again.
		r.election.notBefore = max(r.election.notBefore, r.lease.end+r.cfg.LeaderLease/4)
	}
	if r.role == candidate {
		for _, replica := range r.meta.Group.All() {
			out.send(replica, message.AbandonTerm{Term: r.term}.Message(r.partition))
		}
	}
	out.Results = append(out.Results, r.replication.abandon()...)
	r.role = follower
	r.election.votes, r.election.boundElsewhere = nil, nil
	r.copies.installed, r.copies.lagging = nil, nil
	r.lease.forgetRounds()
}

// isTakingOverOrLeader reports whether this replica won the election of its term.
func (r *Replica) isTakingOverOrLeader() bool { return r.role == installing || r.role == leader }

// leadsTerm reports whether an answer under a term is one to this replica's own
// installs, heartbeats or writes.
func (r *Replica) leadsTerm(term uint64) bool { return r.isTakingOverOrLeader() && r.term == term }

// peers lists whom the leader keeps up: the replicas and the learners.
func (r *Replica) peers() []message.Replica {
	list := r.meta.Group.All()
	for _, l := range r.learners {
		if !has(list, l.Ident) {
			list = append(list, l)
		}
	}
	return list
}

// has reports whether a list holds an identity.
func has(list []message.Replica, ident string) bool { return message.Group{Replicas: list}.Has(ident) }
