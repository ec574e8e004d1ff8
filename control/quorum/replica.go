// Package quorum implements one partition's replica on a control daemon. A replica votes,
// becomes a candidate when there is no leader, and as leader replicates writes to a
// majority. It is a state machine whose inputs are messages and time, and whose outputs are
// messages and saves.
//
// The terminology is Raft's, with one difference: there is no log. A replica's state is
// a set of versioned records and the last complete term, which is the term of the leader
// whose records were last installed completely. A candidate reads the state of a majority,
// takes the records of the highest complete term, merges them by version, and installs
// the result at the replicas under its own term before it serves.
//
// The files: vote.go holds the voter's side of an election and candidate.go the
// candidate's; heartbeat.go the leader lease; replicate.go the writes; install.go,
// lagging.go and repair.go bring copies up to date; group.go changes the group;
// contact.go tracks which replicas answer; incarnation.go and folder.go detect copied
// and rolled-back data folders; disk.go tracks pending saves; meta.go defines the
// stored state.
package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Config holds a replica's time bounds. They must be the same on all replicas of a
// fleet; control/daemon derives them from the users' settings (QuorumConfig).
type Config struct {
	// LeaderLease is the length of a leader lease. A leader that gets no acknowledgement
	// from a majority for this long stops being leader, and only then can another leader
	// be elected. Longer leases tolerate longer pauses, shorter ones allow faster failover.
	LeaderLease time.Duration
	// Drift is the maximum rate by which one clock runs faster than another, as a
	// fraction of 1. If a clock exceeds it, two leaders' leases may overlap.
	Drift float64
	// Margin is added, in addition to Drift, to every wait for a time on another replica's clock.
	Margin time.Duration
	// HeartbeatInterval is the time between two heartbeats, and the time after which a
	// pending write is resent. Several intervals must fit into one LeaderLease.
	HeartbeatInterval time.Duration
	// LostAfter is how long a replica may be silent before a ready learner replaces it.
	// It must be longer than one LeaderLease, or a restart would be treated as a loss.
	LostAfter time.Duration
}

// Wait returns how long a voter must wait by its own clock until a lease of the given
// length has expired.
//
// Example: c.Wait(time.Second) > time.Second
func (c Config) Wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// Outcome is the outcome of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Committed Outcome = iota + 1
	Uncertain         // the next leader may or may not find the write
)

// WriteResult is the outcome of the write with a tag.
type WriteResult struct {
	Tag     uint64
	Outcome Outcome
}

// Out is the output of a step: what the caller must send and save, and what changed.
type Out struct {
	Sends   []message.Envelope
	Saves   []Save
	Results []WriteResult
	Won     bool // became leader
	Lost    bool // is no longer leader
	// Superseded is why this replica was superseded in this step; empty if it wasn't.
	Superseded string
}

// send adds a message to another replica, or to this one.
func (o *Out) send(to message.Replica, m message.Message) {
	o.Sends = append(o.Sends, envelope(to, m))
}

// envelope addresses a message to a replica.
func envelope(to message.Replica, m message.Message) message.Envelope {
	m.To = to.Ident
	return message.Envelope{Addr: to.Addr, Message: m}
}

// role is a replica's role in its current term.
type role uint8

const (
	follower     role = iota
	preCandidate      // requests pre-votes, which bind no voter
	candidate         // requests votes, which bind the voters
	installing        // won its election, and installs its records at a majority before it serves
	leader
)

// repairIntervalLeases is the number of leader leases between two comparisons with the
// same replica, and the number of comparisons that a lagging peer may leave unanswered. It also
// limits for how many leader leases a voter may stay bound to a term above the leader's,
// during which the voter's copy isn't updated. After that, the leader steps down so that
// the next election uses a higher term.
const repairIntervalLeases = 8

// Replica is the state machine. It is not safe for concurrent use.
type Replica struct {
	cfg       Config
	partition int
	self      message.Replica

	meta    Meta // stored with every save
	records *digest.Records

	now      time.Duration // the time of the current step
	resigned bool          // no longer renews its lease or starts elections

	role role
	term uint64 // the term in which this replica is, or was last, candidate or leader

	support   leaderSupport
	lastGrant withdrawableGrant // the last vote that this replica granted
	epochs    map[string]uint64 // the latest known incarnation of each daemon
	election  election
	lease     leaderLease

	leaderSince time.Duration // when this replica won its last election; no earlier leader can act after that
	writesFrom  time.Duration // as leader: no write may start before this time

	replication replication
	copies      copies
	contact     contact
	learners    []message.Replica // as leader: daemons that receive a copy and every write, and have no vote
	change      groupChange

	disk  diskQueue
	guard incarnationGuard

	Repairs int // how many times records were sent to repair a replica's differing copy
}

// InitialState is the state that a replica starts from.
type InitialState struct {
	Partition int
	Self      message.Replica
	Folder    *Folder         // shared by the replicas of a daemon; nil: no incarnation is claimed or checked
	Meta      Meta            // as read from disk
	Records   *digest.Records // as read from disk; the caller must not use them after New
	IsNew     bool            // the replica has never voted, so New doesn't wait for a lease to expire
}

// New returns a replica. Unless IsNew is set, the replica does not vote until one full lease
// has passed, since it may have supported a leader right before the restart.
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
		r.epochs[self.Ident] = meta.VotedForEpoch + 1 // the vote was for an earlier incarnation of this daemon
	}
	return r
}

// WritesFrom returns the time from which this leader may write. By then, the leases granted
// under an earlier leader whose daemon restarted have expired.
//
// Example: if now >= r.WritesFrom() { write() }
func (r *Replica) WritesFrom() time.Duration { return r.writesFrom }

// IsLeader reports whether this replica is leader and its lease is valid now.
//
// Example: if r.IsLeader(now) { grant() }
func (r *Replica) IsLeader(now time.Duration) bool { return r.role == leader && now < r.lease.end }

// Term returns the term in which this replica is, or was last, leader or candidate.
//
// Example: epoch.Term = r.Term()
func (r *Replica) Term() uint64 { return r.term }

// LeaseEnd returns when the leader lease ends.
//
// Example: left := r.LeaseEnd() - now
func (r *Replica) LeaseEnd() time.Duration { return r.lease.end }

// LeaderSince returns when this replica won its last election. No earlier leader can act
// after that time.
//
// Example: if now-r.LeaderSince() < grace { holdOrders() }
func (r *Replica) LeaderSince() time.Duration { return r.leaderSince }

// KnownLeader returns the leader that this replica last supported.
//
// Example: leadership := r.KnownLeader()
func (r *Replica) KnownLeader() message.Leadership { return r.support.known }

// Group returns the partition's voters as this replica knows them.
//
// Example: if r.Group().Number == 0 { standby() }
func (r *Replica) Group() message.Group { return r.meta.Group }

// Records returns the replica's records; read them only while the replica is leader.
//
// Example: rec, ok := r.Records().Get(key)
func (r *Replica) Records() *digest.Records { return r.records }

// Meta returns the durable state except the records.
//
// Example: r.Meta().LastComplete
func (r *Replica) Meta() Meta { return r.meta }

// Resign lets the leadership expire: the replica no longer renews its lease and starts
// no election.
//
// Example: r.Resign()
func (r *Replica) Resign() { r.resigned = true }

// Step handles a message from another replica, or from this one.
//
// Example: out := r.Step(now, m)
func (r *Replica) Step(now time.Duration, m message.Message) (out Out) {
	r.now = now
	defer func() { r.claimIncarnations(&out) }()
	from := m.Sender()
	if !r.admitsMessage(now, from, m.IncarnationClaims(), &out) ||
		!r.isParticipant(from, m.Kind, m.Term) || r.isFromEarlierIncarnation(from) {
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

// Tick handles the passage of time: it renews or ends leases, starts elections and
// resends unanswered messages.
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
	if r.hasWonElection() && now >= r.lease.end {
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

// mustStepDown reports whether a candidate or leader must step down before its lease
// ends.
func (r *Replica) mustStepDown(now time.Duration) bool {
	return r.role != follower && r.isDiskStalled(now) || r.isOutvoted(now)
}

// isOutvoted reports whether a voter has been bound to a term above this leader's for more
// than repairIntervalLeases leader leases. Only an election in a higher term releases such a
// voter. A leader with pending writes first waits for them to complete.
func (r *Replica) isOutvoted(now time.Duration) bool {
	if r.role != leader || len(r.replication.pending) > 0 {
		return false
	}
	for _, since := range r.election.boundToHigherTerm {
		if now-since > repairIntervalLeases*r.cfg.LeaderLease {
			return true
		}
	}
	return false
}

// mayLead reports whether this replica may start an election or continue as leader. It may
// not if it has resigned, is incomplete, has a stalled disk or isn't in the group.
func (r *Replica) mayLead(now time.Duration) bool {
	return !r.resigned && !r.meta.Incomplete && !r.isDiskStalled(now) && r.meta.Group.Has(r.self.Ident)
}

// tickFollower requests pre-votes once this replica may support another leader and its
// election delay has passed.
func (r *Replica) tickFollower(now time.Duration, out *Out) {
	if !r.isUnbound(now) {
		r.election.notBefore = r.support.until + r.electionDelay()
		return
	}
	if now >= r.election.notBefore {
		r.requestPreVotes(now, out)
	}
}

// tickCandidate gives up an election that took too long.
func (r *Replica) tickCandidate(now time.Duration, out *Out) {
	if now-r.election.startedAt <= r.cfg.LeaderLease/2 {
		return
	}
	r.stepDown(out)
	r.election.notBefore = max(r.election.notBefore, now+r.electionDelay()+r.cfg.HeartbeatInterval)
}

// tickLeader renews the lease, compares copies, and resends unanswered messages.
func (r *Replica) tickLeader(now time.Duration, out *Out) {
	if now-r.lease.heartbeatAt >= r.cfg.HeartbeatInterval {
		r.sendHeartbeats(now, out)
	}
	r.resendInstalls(now, out)
	r.compareCopies(now, out)
	r.catchUpLagging(now, out)
	r.resendWrites(now, out)
}

// stepDown ends a candidacy or leadership; pending writes become uncertain.
func (r *Replica) stepDown(out *Out) {
	if r.role == leader {
		out.Lost = true
		// Leases granted under this leader lease must expire before this replica becomes
		// a candidate again.
		r.election.notBefore = max(r.election.notBefore, r.lease.end+r.cfg.LeaderLease/4)
	}
	if r.role == candidate {
		for _, replica := range r.meta.Group.All() {
			out.send(replica, message.AbandonTerm{Term: r.term}.Message(r.partition))
		}
	}
	out.Results = append(out.Results, r.replication.abandonAll()...)
	r.role = follower
	r.election.votes, r.election.boundToHigherTerm = nil, nil
	r.copies.installed, r.copies.lagging = nil, nil
	r.lease.clearRounds()
}

// hasWonElection reports whether this replica won the election of its term.
func (r *Replica) hasWonElection() bool { return r.role == installing || r.role == leader }

// leadsTerm reports whether this replica won the election of a term and is still in that
// term. Answers in this term are then to its own messages.
func (r *Replica) leadsTerm(term uint64) bool { return r.hasWonElection() && r.term == term }

// peers returns the daemons that the leader keeps up to date: replicas and learners.
func (r *Replica) peers() []message.Replica {
	list := r.meta.Group.All()
	for _, l := range r.learners {
		if !has(list, l.Ident) {
			list = append(list, l)
		}
	}
	return list
}

// has reports whether a list holds a replica with an identity.
func has(list []message.Replica, ident string) bool { return message.Group{Replicas: list}.Has(ident) }
