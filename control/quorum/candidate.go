package quorum

import (
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// This file implements the candidate's side of elections: requesting pre-votes, counting
// votes until a majority has voted, and merging the records that the votes carry.

// election is the state of a replica's own candidacies.
type election struct {
	notBefore         time.Duration // earliest time of the next candidacy
	startedAt         time.Duration // when the current pre-vote or vote was requested
	rejectedTerm      uint64        // the highest term that a voter was bound to when it rejected this replica
	preVotes          map[string]bool
	votes             map[string]voterState
	boundToHigherTerm map[string]time.Duration // as leader: voters bound to a higher term, and since when
}

// voterState describes a voter's records, as sent with its vote.
type voterState struct {
	lastComplete uint64
	digests      []uint64
	records      []message.Record // in the ranges that differ from the candidate's
}

// requestPreVotes asks all replicas whether they would vote for this replica now. Pre-votes
// bind no voter, so a replica that can't win an election doesn't disturb the leader.
func (r *Replica) requestPreVotes(now time.Duration, out *Out) {
	r.term = max(r.election.rejectedTerm, r.meta.VotedTerm, r.meta.CandidateTerm, r.term) + 1
	r.role, r.election.startedAt, r.election.preVotes = preCandidate, now, map[string]bool{}
	for _, replica := range r.meta.Group.All() {
		r.requestPreVote(replica, out)
	}
}

// requestPreVote requests one replica's pre-vote.
func (r *Replica) requestPreVote(to message.Replica, out *Out) {
	out.send(to, message.VoteRequest{
		Term: r.term, PreVote: true, Group: r.meta.Group, WriteDelay: r.maxWriteDelay(),
	}.Message(r.partition))
}

// requestVotes starts an election once a majority has granted its pre-votes.
func (r *Replica) requestVotes(now time.Duration, out *Out) {
	if r.meta.VotedTerm >= r.term { // it has since voted in this term or a higher one
		r.stepDown(out)
		return
	}
	r.role, r.election.startedAt, r.election.boundToHigherTerm = candidate, now, map[string]time.Duration{}
	r.writesFrom = 0
	r.election.votes = map[string]voterState{}
	for _, replica := range r.meta.Group.All() {
		r.requestVote(replica, out)
	}
}

// requestVote requests one replica's vote.
func (r *Replica) requestVote(to message.Replica, out *Out) {
	out.send(to, message.VoteRequest{
		Term: r.term, Group: r.meta.Group, Digests: r.records.Digests(), WriteDelay: r.maxWriteDelay(),
	}.Message(r.partition))
}

// maxWriteDelay returns the longest time for which this replica would delay its writes
// as leader.
func (r *Replica) maxWriteDelay() time.Duration { return r.cfg.Wait(r.cfg.LeaderLease) }

// handleVoteGrant counts a pre-vote or a vote.
func (r *Replica) handleVoteGrant(now time.Duration, from message.Sender, grant message.VoteGrant, out *Out) {
	if grant.Term != r.term || grant.Group.Number != r.meta.Group.Number {
		return
	}
	switch {
	case grant.PreVote && r.role == preCandidate:
		r.countPreVote(now, from, out)
	case !grant.PreVote && r.role == candidate:
		r.countVote(now, from, grant, out)
	}
}

func (r *Replica) countPreVote(now time.Duration, from message.Sender, out *Out) {
	r.election.preVotes[from.Ident] = true
	if r.meta.Group.HasQuorum(func(ident string) bool { return r.election.preVotes[ident] }) {
		r.requestVotes(now, out)
	}
}

func (r *Replica) countVote(now time.Duration, from message.Sender, grant message.VoteGrant, out *Out) {
	// If an incarnation ended before its own vote was on disk, the next incarnation may use
	// the same term. Votes for the earlier incarnation hold only the records that the copy of
	// that incarnation lacked, so they don't count.
	if grant.CandidateEpoch != 0 && grant.CandidateEpoch != r.epochs[r.self.Ident] {
		return
	}
	r.election.votes[from.Ident] = voterState{grant.LastCompleteTerm, grant.Digests, grant.Records}
	if grant.LeasesValidFor > 0 {
		wait := r.cfg.Wait(min(grant.LeasesValidFor, r.cfg.Wait(r.cfg.LeaderLease)))
		r.writesFrom = max(r.writesFrom, now+wait)
	}
	hasVote := func(ident string) bool { _, ok := r.election.votes[ident]; return ok }
	// This replica's own vote is required, since its records are merged with the voters' records.
	if !hasVote(r.self.Ident) || !r.meta.Group.HasQuorum(hasVote) {
		return
	}
	r.startInstalling(now, out)
}

// startInstalling begins the leadership of a candidate that has a majority's votes. The
// replicas of this majority support no other leader, so no earlier leader's lease is valid.
func (r *Replica) startInstalling(now time.Duration, out *Out) {
	r.leaderSince = now
	r.role = installing
	r.learners = nil
	r.copies = newCopies()
	r.change = groupChange{}
	r.guard.startAnnouncing()
	r.contact = r.newContact(now)
	r.lease.end = r.election.startedAt + r.cfg.LeaderLease
	r.mergeVotes(out)
	for _, replica := range r.meta.Group.All() {
		r.sendInstall(now, replica, r.election.votes[replica.Ident].digests, out)
	}
	r.sendHeartbeats(now, out)
}

// mergeVotes replaces this replica's records by the newest among the majority's votes.
func (r *Replica) mergeVotes(out *Out) {
	highest := uint64(0)
	for _, v := range r.election.votes {
		highest = max(highest, v.lastComplete)
	}
	own := r.records.Digests()
	merged := digest.NewRecords()
	for _, v := range r.election.votes {
		if v.lastComplete == highest {
			r.mergeVoterRecords(merged, own, v)
		}
	}
	dropTombstones(merged)
	wipe := digest.DifferingRanges(own, merged.Digests())
	r.records = merged
	r.meta.LastComplete = r.term
	r.replication.lastRequest = 0
	installed := message.StateInstalled{Term: r.term}.Message(r.partition)
	r.save(out, wipe, merged.RecordsIn(wipe), envelope(r.self, installed))
}

// mergeVoterRecords merges one voter's records by version. In ranges with equal digests,
// the voter's records equal this replica's own records, which are merged instead. In the
// other ranges, it merges the records that the voter sent.
func (r *Replica) mergeVoterRecords(merged *digest.Records, own []uint64, v voterState) {
	differs := map[int]bool{}
	for _, span := range digest.DifferingRanges(own, v.digests) {
		differs[span] = true
	}
	for span := range digest.Ranges {
		if differs[span] {
			continue
		}
		for rec := range r.records.InRange(span) {
			merged.PutNewer(rec)
		}
	}
	for _, rec := range v.records {
		if differs[digest.RangeOf(rec.Key)] {
			merged.PutNewer(rec)
		}
	}
}

// dropTombstones drops the markers of deleted records. Installing a new term replaces
// complete ranges of all earlier copies, so a copy that still holds a deleted record
// is never merged with the new state. Markers under FloorPrefix are kept until the floor
// deletes them.
func dropTombstones(records *digest.Records) {
	var deleted []string
	for rec := range records.All() {
		if rec.Deleted && !strings.HasPrefix(rec.Key, FloorPrefix) {
			deleted = append(deleted, rec.Key)
		}
	}
	for _, key := range deleted {
		records.Delete(key)
	}
}

// tryBecomeLeader makes an elected candidate the leader once a majority holds its records.
func (r *Replica) tryBecomeLeader(now time.Duration, out *Out) {
	if r.role != installing || now >= r.lease.end {
		return
	}
	if !r.meta.Group.HasQuorum(func(ident string) bool { return r.copies.installed[ident] }) {
		return
	}
	r.role = leader
	r.support.known = message.Leadership{Partition: r.partition, Term: r.term, Leader: r.self}
	out.Won = true
}

// handleVoteRejection handles a voter's rejection of a vote request, of a heartbeat
// for a term that it isn't bound to, or of a write if it has voted in a higher term.
func (r *Replica) handleVoteRejection(
	now time.Duration, from message.Sender, m message.VoteRejection, out *Out,
) {
	r.noteAnswer(now, from, m.Term)
	r.election.rejectedTerm = max(r.election.rejectedTerm, m.VotedTerm)
	if m.Term != r.term {
		return
	}
	if m.Group.Number > r.meta.Group.Number {
		r.adoptGroup(m.Group)
		r.save(out, nil, nil)
		if r.isElecting() {
			r.stepDown(out)
		}
	}
	if r.isElecting() {
		bound := min(m.SupportRemaining, r.cfg.Wait(r.cfg.LeaderLease))
		r.election.notBefore = max(r.election.notBefore, now+bound+r.electionDelay()/2+r.cfg.Margin)
	}
	// A single voter bound to a higher term doesn't end a leadership that a majority
	// supports. If the voter stays bound, Tick steps down so that the next election uses
	// a higher term.
	if m.VotedTerm >= r.term && r.role == leader {
		if _, known := r.election.boundToHigherTerm[from.Ident]; !known {
			r.election.boundToHigherTerm[from.Ident] = now
		}
	}
}

// isElecting reports whether this replica is a candidate or pre-candidate.
func (r *Replica) isElecting() bool { return r.role == preCandidate || r.role == candidate }

// electionDelay returns how long this replica delays its candidacies. The delay grows with
// its rank in this partition and is zero for the replica that ranks first.
func (r *Replica) electionDelay() time.Duration {
	ahead := 0
	for _, other := range r.meta.Group.All() {
		if candidateRank(r.partition, other.Addr) > candidateRank(r.partition, r.self.Addr) {
			ahead++
		}
	}
	return time.Duration(ahead) * r.cfg.LeaderLease / 12
}

// candidateRank returns a number by which the replicas of a partition are ranked; the highest
// ranks first. The order differs between partitions, to spread leaderships over the replicas.
func candidateRank(partition int, addr string) uint64 {
	return digest.Fingerprint(message.Record{Key: addr, Version: message.Version{Term: uint64(partition), Seq: 7}})
}
