package quorum

import (
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// This file implements the voter's side of elections.

// leaderSupport is a replica's support of a leader. While the support lasts, the replica
// votes for no other candidate, so that no two leaders hold a leader lease at the same time.
type leaderSupport struct {
	leader             string        // identity of the candidate or leader that the replica supported last
	until              time.Duration // the replica votes for no other candidate before this time
	earlierLeasesUntil time.Duration // leases granted under an earlier leader may be valid until this time
	known              message.Leadership
	knownAt            time.Duration // when known was last supported
}

// withdrawableGrant is a granted vote that can still be withdrawn. If the candidate abandons
// the term, nobody can win with the vote, and the previous vote is restored.
type withdrawableGrant struct {
	term   uint64 // the term of the vote; 0: no vote can be withdrawn
	before vote   // the previous vote
}

// isLeaderRestarted reports whether the leader that this replica voted for has restarted
// since the vote. A new incarnation does not resume a leadership.
func (r *Replica) isLeaderRestarted() bool {
	return r.meta.VotedForEpoch > 0 && r.epochs[r.meta.VotedFor] > r.meta.VotedForEpoch
}

// isUnbound reports whether this replica may support another leader now, because the
// lease that it supported has expired or its leader has restarted. After a restart, leases
// granted under that leader may still be valid, so this replica's vote states for how long
// the next leader must not write.
func (r *Replica) isUnbound(now time.Duration) bool {
	return now >= r.support.until || r.isLeaderRestarted()
}

// canVote reports whether this replica may vote for a candidate now. A candidate that
// doesn't promise to delay its writes, such as one of an earlier build, gets the vote
// only once the lease has expired.
func (r *Replica) canVote(now time.Duration, candidate string, writeDelay time.Duration) bool {
	return now >= r.support.until || r.support.leader == candidate ||
		r.isLeaderRestarted() && writeDelay >= r.support.until-now
}

// isFromEarlierIncarnation reports whether a later incarnation of a sender is known.
func (r *Replica) isFromEarlierIncarnation(from message.Sender) bool {
	return from.Epoch < r.epochs[from.Ident]
}

// noteEpoch records the incarnation that sent a message. If this shows a follower that its
// leader has restarted, the follower may become a candidate after its election delay.
func (r *Replica) noteEpoch(now time.Duration, from message.Sender) {
	if from.Epoch <= r.epochs[from.Ident] {
		return
	}
	wasRestarted := r.isLeaderRestarted()
	r.epochs[from.Ident] = from.Epoch
	if r.isLeaderRestarted() && !wasRestarted && r.role == follower {
		r.support.earlierLeasesUntil = max(r.support.earlierLeasesUntil, r.support.until)
		r.election.notBefore = now + r.electionDelay()
	}
}

// handleVoteRequest answers a request for a pre-vote or a vote.
func (r *Replica) handleVoteRequest(now time.Duration, from message.Sender, req message.VoteRequest, out *Out) {
	if !r.joinForVote(now, from.Ident, req.Group) {
		r.reject(now, from.Replica, req.Term, req.WriteDelay, out)
		return
	}
	repeated := r.meta.isVotedFor(req.Term, from.Ident)
	grants := r.canVote(now, from.Ident, req.WriteDelay) &&
		(req.Term > r.meta.VotedTerm || repeated && !req.PreVote)
	switch {
	case !grants:
		r.reject(now, from.Replica, req.Term, req.WriteDelay, out)
	case req.PreVote:
		group := message.Group{Number: r.meta.Group.Number}
		out.send(from.Replica, message.VoteGrant{Term: req.Term, PreVote: true, Group: group}.Message(r.partition))
	default:
		r.grantVote(now, from, req, repeated, out)
	}
}

// joinForVote reports whether this replica has a vote in a candidate's group. If that
// group is later than this replica's own and includes this replica, joinForVote first
// switches to that group. The next save stores the group.
func (r *Replica) joinForVote(now time.Duration, candidate string, group message.Group) bool {
	own := r.meta.Group
	// An incomplete replica may have lost a record that only a majority including its
	// own copy held, so its vote could elect a leader without that record.
	if !group.Has(candidate) || r.meta.Incomplete {
		return false
	}
	if group.Number > own.Number && group.Has(r.self.Ident) {
		r.joinGroup(now, group)
		return true
	}
	return own.Number != 0 && own.Has(r.self.Ident) && sameReplicas(own, group)
}

// sameReplicas reports whether two groups have the same number and the same replicas.
func sameReplicas(a, b message.Group) bool {
	sameIdent := func(x, y message.Replica) bool { return x.Ident == y.Ident }
	return a.Number == b.Number &&
		slices.EqualFunc(a.Replicas, b.Replicas, sameIdent) && slices.EqualFunc(a.Next, b.Next, sameIdent)
}

// grantVote binds this replica to a candidate. Once the vote is on disk, it is sent with
// this replica's records in the ranges where the candidate's digests differ.
func (r *Replica) grantVote(
	now time.Duration, from message.Sender, req message.VoteRequest, repeated bool, out *Out,
) {
	if !repeated {
		r.lastGrant = withdrawableGrant{term: req.Term, before: r.meta.vote()}
	}
	if from.Ident == r.self.Ident {
		r.meta.CandidateTerm = req.Term
	}
	if now < r.support.until && (r.support.leader != from.Ident || r.isLeaderRestarted()) {
		r.support.earlierLeasesUntil = max(r.support.earlierLeasesUntil, r.support.until)
	}
	r.meta.setVote(vote{term: req.Term, candidate: from.Ident, candidateEpoch: from.Epoch})
	r.support.leader, r.support.until = from.Ident, now+r.cfg.Wait(r.cfg.LeaderLease)
	if from.Ident != r.self.Ident {
		r.stepDown(out)
	}
	own := r.records.Digests()
	grant := message.VoteGrant{
		Term: req.Term, Group: r.meta.Group, CandidateEpoch: from.Epoch, LastCompleteTerm: r.meta.LastComplete,
		Digests: own, Records: r.records.RecordsIn(digest.DifferingRanges(req.Digests, own)),
		LeasesValidFor: max(0, r.support.earlierLeasesUntil-now),
	}
	r.save(out, nil, nil, envelope(from.Replica, grant.Message(r.partition)))
	r.disk.markVoteInLastSave()
}

// reject rejects a candidate's request, or a leader's heartbeat or write.
func (r *Replica) reject(now time.Duration, to message.Replica, term uint64, writeDelay time.Duration, out *Out) {
	boundFor := time.Duration(0)
	if !r.canVote(now, to.Ident, writeDelay) {
		boundFor = r.support.until - now
	}
	out.send(to, message.VoteRejection{
		Term: term, VotedTerm: r.meta.VotedTerm, Group: r.meta.Group,
		SupportRemaining: boundFor, KnownLeader: r.support.known.Leader,
	}.Message(r.partition))
}

// handleAbandonTerm withdraws the vote for a candidate that has abandoned its term and can
// no longer become leader in it. A later incarnation of the candidate may have requested a
// vote in the same term, so only the incarnation that has the vote can abandon the term.
func (r *Replica) handleAbandonTerm(from message.Sender, m message.AbandonTerm, out *Out) {
	if !r.meta.isVotedFor(m.Term, from.Ident) || r.meta.VotedForEpoch != from.Epoch || r.lastGrant.term != m.Term {
		return
	}
	r.meta.setVote(r.lastGrant.before)
	r.save(out, nil, nil)
	r.disk.markVoteInLastSave()
}
