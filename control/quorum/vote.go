package quorum

import (
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// The voter's side of elections.

// leaderSupport is whom a replica supports as leader. While it does, it votes for
// nobody else, so that no two leaders hold a lease at once.
type leaderSupport struct {
	leader             string        // identity of the candidate or leader it supported last
	until              time.Duration // it votes for nobody else before
	earlierLeasesUntil time.Duration // until when leases granted under an earlier leader may be valid
	known              message.Leadership
	knownAt            time.Duration // when known was last supported
}

// withdrawableGrant is a vote that was granted and may be withdrawn while nobody
// can have won by it: should its candidate give the term up, the replica is bound
// as it was before.
type withdrawableGrant struct {
	term   uint64 // that was granted; 0: nothing that can be withdrawn
	before vote   // what the replica was bound to until then
}

// isLeaderRestarted reports whether the leader that this replica is bound to is known
// to be no more: its daemon has started anew since, and a new incarnation holds no
// leadership.
func (r *Replica) isLeaderRestarted() bool {
	return r.meta.VotedForEpoch > 0 && r.epochs[r.meta.VotedFor] > r.meta.VotedForEpoch
}

// isUnbound reports whether this replica may support another leader now: the lease
// that it supported has lapsed, or its leader has restarted. In the second case
// leases granted under that one may still be valid, so the vote for the next
// leader says for how long it must write nothing.
func (r *Replica) isUnbound(now time.Duration) bool {
	return now >= r.support.until || r.isLeaderRestarted()
}

// canVote reports whether a candidate can have this replica's vote now. A
// candidate that doesn't promise to wait before it writes, as one of an earlier
// build, gets the vote only once the lease has lapsed.
func (r *Replica) canVote(now time.Duration, candidate string, writeDelay time.Duration) bool {
	return now >= r.support.until || r.support.leader == candidate ||
		r.isLeaderRestarted() && writeDelay >= r.support.until-now
}

// isOutdated reports whether a message comes from an incarnation that has ended
// since.
func (r *Replica) isOutdated(from message.Sender) bool {
	return from.Epoch < r.epochs[from.Ident]
}

// noteEpoch records the incarnation that a message came from. A follower that
// learns so that its leader restarted may become a candidate.
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

// handleVoteRequest answers a candidate.
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

// joinForVote reports whether this replica has a vote in a candidate's group. If the
// group is later than its own and has it as a member, it takes that group over first;
// the next save holds it.
func (r *Replica) joinForVote(now time.Duration, candidate string, group message.Group) bool {
	own := r.meta.Group
	if !group.Has(candidate) || r.meta.Incomplete { // what this disk lost may be all that a majority has
		return false
	}
	if group.Number > own.Number && group.Has(r.self.Ident) {
		r.joinGroup(now, group)
		return true
	}
	return own.Number != 0 && own.Has(r.self.Ident) && sameReplicas(own, group)
}

// sameReplicas reports whether two groups are one.
func sameReplicas(a, b message.Group) bool {
	sameIdent := func(x, y message.Replica) bool { return x.Ident == y.Ident }
	return a.Number == b.Number &&
		slices.EqualFunc(a.Replicas, b.Replicas, sameIdent) && slices.EqualFunc(a.Next, b.Next, sameIdent)
}

// grantVote binds this replica to a candidate and, once that is on disk, sends it
// the vote with the records that the candidate lacks.
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
		LeasesStandFor: max(0, r.support.earlierLeasesUntil-now),
	}
	r.save(out, nil, nil, envelope(from.Replica, grant.Message(r.partition)))
	r.disk.voteIsInLastSave()
}

// reject refuses a candidate its vote, or a leader its heartbeat or write.
func (r *Replica) reject(now time.Duration, to message.Replica, term uint64, writeDelay time.Duration, out *Out) {
	boundFor := time.Duration(0)
	if !r.canVote(now, to.Ident, writeDelay) {
		boundFor = r.support.until - now
	}
	out.send(to, message.VoteRejection{
		Term: term, VotedTerm: r.meta.VotedTerm, Group: r.meta.Group,
		BoundFor: boundFor, KnownLeader: r.support.known.Leader,
	}.Message(r.partition))
}

// handleAbandonTerm withdraws the vote from a candidate that gave its term up:
// nobody can ever be leader in that term. A later incarnation of that candidate may
// have asked for the same term, so only the one that was voted for can do this.
func (r *Replica) handleAbandonTerm(from message.Sender, m message.AbandonTerm, out *Out) {
	if !r.meta.isVotedFor(m.Term, from.Ident) || r.meta.VotedForEpoch != from.Epoch || r.lastGrant.term != m.Term {
		return
	}
	r.meta.setVote(r.lastGrant.before)
	r.save(out, nil, nil)
	r.disk.voteIsInLastSave()
}
