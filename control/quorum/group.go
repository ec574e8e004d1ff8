package quorum

import (
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Group membership changes one replica at a time, by joint consensus. A learner first
// receives a copy and every write, without a vote. Then the leader creates a joint
// group of the old and the new replicas, in which a majority of each is needed. The new
// replicas become the group once the joint group is committed, the joining replica has
// confirmed that it holds all that the leader held when the change began, and both
// majorities have renewed the leader's lease. The renewal ensures that the new replicas
// elect no other leader while that lease is valid. Until the new replicas become the group,
// the leader undoes the change if the joining replica stops answering. A new leader finds the joint group
// in its state and finishes or undoes the change.

// groupNumberShift is the number of bits below the leader's term in a group's number. With
// the term in the upper bits, no two leaders use the same number, and a later leader's
// number is higher.
const groupNumberShift = 16

// groupChange is the last group change that this leader made.
type groupChange struct {
	requestID        uint64 // the write that commits the group; 0: no change in this leadership
	lastRoundBefore  uint64 // the last round of heartbeats before the group was made
	isLeaseSupported bool   // a later round renewed the lease with the group's majority or majorities
}

// Bootstrap creates the first group of a fleet. It does nothing on a replica that
// already has a group.
//
// Example: out := r.Bootstrap(now, message.Group{Number: 1, Replicas: three})
func (r *Replica) Bootstrap(now time.Duration, group message.Group) (out Out) {
	r.now = now
	defer func() { r.claimIncarnations(&out) }()
	if r.meta.Group.Number != 0 || !group.Has(r.self.Ident) {
		return out
	}
	r.joinGroup(now, group)
	r.save(&out, nil, nil)
	// Send the group to the others, so that each becomes a candidate for the partitions
	// in which it ranks first and the leaderships are spread from the start.
	for _, replica := range group.Replicas {
		if replica.Ident != r.self.Ident {
			out.send(replica, message.VoteRequest{PreVote: true, Group: group}.Message(r.partition))
		}
	}
	return out
}

// joinGroup sets the group to one in which this replica has a vote.
func (r *Replica) joinGroup(now time.Duration, group message.Group) {
	isFirst := r.meta.Group.Number == 0
	r.meta.Group = group
	if isFirst {
		r.election.notBefore = max(r.election.notBefore, now+r.electionDelay())
	}
}

// adoptGroup switches to a later group. A replica that is no longer a member is
// released from its vote, because the majority that committed its removal binds every
// later candidate to the new group.
func (r *Replica) adoptGroup(group message.Group) {
	if group.Number <= r.meta.Group.Number {
		return
	}
	if r.meta.Group.Has(r.self.Ident) && !group.Has(r.self.Ident) {
		r.meta.CandidateTerm = max(r.meta.CandidateTerm, r.meta.VotedTerm)
		r.meta.setVote(vote{})
		r.lastGrant.term = 0
	}
	r.meta.Group = group
}

// isParticipant reports whether a sender takes part in the exchange of a message's
// kind. Replicas take part in all, learners only with answers about their copies, and
// other daemons with messages that may carry a group that this replica doesn't know.
func (r *Replica) isParticipant(from message.Sender, kind message.Kind, term uint64) bool {
	if r.meta.Group.Number == 0 || r.meta.Group.Has(from.Ident) {
		return true
	}
	switch kind {
	case message.KindStateInstalled, message.KindStateMismatch, message.KindReplicated, message.KindHeartbeatAck:
		return r.leadsTerm(term) && has(r.learners, from.Ident)
	case message.KindRequestVote, message.KindInstallState, message.KindReplicate, message.KindHeartbeat:
		return true
	}
	return false
}

// SetLearners sets the learners. Each receives a copy and every write, and has no
// vote. A current learner that is not in the list remains a learner while it answers.
//
// Example: out := r.SetLearners(now, standbys)
func (r *Replica) SetLearners(now time.Duration, list []message.Replica) (out Out) {
	if !r.IsLeader(now) {
		return out
	}
	defer func() { r.claimIncarnations(&out) }()
	for _, replica := range r.meta.Group.All() {
		if _, answered := r.contact.answeredAt[replica.Ident]; !answered {
			r.contact.answeredAt[replica.Ident] = now
		}
	}
	before := r.learners
	r.learners = r.selectLearners(now, list)
	for _, learner := range r.learners {
		if !has(before, learner.Ident) {
			r.copies.forget(learner.Ident)
			r.contact.forget(learner.Ident)
			r.sendInstall(now, learner, nil, &out)
		}
	}
	return out
}

// selectLearners returns the learners of a list and the current ones that still answer.
func (r *Replica) selectLearners(now time.Duration, list []message.Replica) []message.Replica {
	learners := make([]message.Replica, 0, len(list))
	for _, l := range list {
		if !r.meta.Group.Has(l.Ident) && l.Ident != r.self.Ident {
			learners = append(learners, l)
		}
	}
	for _, l := range r.learners {
		answers := r.SilentFor(now, l.Ident) < r.cfg.LeaderLease
		if !has(learners, l.Ident) && !r.meta.Group.Has(l.Ident) && answers {
			learners = append(learners, l)
		}
	}
	return learners
}

// ReplaceReplica starts a group change in which a learner replaces a replica. A leader
// doesn't remove itself, and no change starts while another is in progress.
//
// Example: out, ok := r.ReplaceReplica(now, 0, "c", d)
func (r *Replica) ReplaceReplica(
	now time.Duration, tag uint64, leaving string, joining message.Replica,
) (out Out, ok bool) {
	old := r.meta.Group.Replicas
	isRefused := r.resigned || r.isChanging() || leaving == r.self.Ident || !has(old, leaving)
	if isRefused || !r.LearnerReady(now, joining.Ident) {
		return out, false
	}
	next := slices.Clone(old)
	for i := range next {
		if next[i].Ident == leaving {
			next[i] = joining
		}
	}
	delete(r.copies.joinComplete, joining.Ident)
	r.changeGroup(now, tag, old, next, &out)
	r.claimIncarnations(&out)
	return out, true
}

// isChanging reports whether a group change is in progress.
func (r *Replica) isChanging() bool { return len(r.meta.Group.Next) > 0 || r.isChangeUncommitted() }

// isChangeUncommitted reports whether the last group that this leader made isn't committed yet.
func (r *Replica) isChangeUncommitted() bool { return r.replication.pending[r.change.requestID] != nil }

// ContinueChange advances the group change in progress, whether this leader or an
// earlier one began it. It repeats the request to the joining replica or finishes the
// change. If the joining replica is lost or the leader would remove itself, it undoes the
// change. It finishes only under a lease that a majority of the next group supports. Otherwise,
// after two changes in a row, a majority that never acknowledged this leader could
// elect another one while the lease is valid.
//
// Example: out := r.ContinueChange(now, 0)
func (r *Replica) ContinueChange(now time.Duration, tag uint64) (out Out) {
	group := r.meta.Group
	if !r.IsLeader(now) || len(group.Next) == 0 {
		return out
	}
	defer func() { r.claimIncarnations(&out) }()
	isReady, undo := r.checkJoining(now, group, &out)
	undo = undo || !has(group.Next, r.self.Ident)
	switch {
	case undo: // allowed before the joint group is committed, since both groups include the old replicas
		r.changeGroup(now, tag, group.Replicas, nil, &out)
	case r.change.requestID == 0: // begun by an earlier leader, and possibly not committed
		r.changeGroup(now, tag, group.Replicas, group.Next, &out)
	case isReady && r.change.isLeaseSupported && !r.isChangeUncommitted():
		r.changeGroup(now, tag, group.Next, nil, &out)
	}
	return out
}

// checkJoining asks each joining replica that hasn't confirmed its copy again to do so. It
// reports whether all joining replicas hold the complete state, and whether one is lost.
func (r *Replica) checkJoining(now time.Duration, group message.Group, out *Out) (isReady, isLost bool) {
	isReady = true
	for _, replica := range group.Next {
		if has(group.Replicas, replica.Ident) || r.hasCompleteCopy(replica.Ident) {
			continue
		}
		isReady, isLost = false, isLost || r.IsLost(now, replica.Ident)
		if now-r.copies.installSentAt[replica.Ident] >= r.cfg.HeartbeatInterval/4 {
			r.askIfComplete(now, replica, out)
		}
	}
	return isReady, isLost
}

// hasCompleteCopy reports whether a joining replica holds the complete state on its disk.
// Other replicas confirm this in an answer; the leader's own copy must be saved.
func (r *Replica) hasCompleteCopy(ident string) bool {
	if ident == r.self.Ident {
		return r.copies.installed[ident]
	}
	return r.copies.joinComplete[ident]
}

// changeGroup creates a group and replicates it to the majority or majorities of that group.
func (r *Replica) changeGroup(now time.Duration, tag uint64, replicas, next []message.Replica, out *Out) {
	r.now = now
	number := max(r.meta.Group.Number+1, r.term<<groupNumberShift)
	r.meta.Group = message.Group{Number: number, Replicas: replicas, Next: next}
	r.save(out, nil, nil)
	for _, replica := range r.meta.Group.All() {
		if !r.copies.installed[replica.Ident] {
			r.sendInstall(now, replica, nil, out)
		}
	}
	r.replicate(now, tag, nil, out)
	r.change = groupChange{requestID: r.replication.lastRequest, lastRoundBefore: r.lease.round}
	r.sendHeartbeats(now, out)
	for _, replica := range next {
		if !has(replicas, replica.Ident) {
			r.askIfComplete(now, replica, out)
		}
	}
}

// askIfComplete asks a joining replica whether it holds all that the leader holds now.
func (r *Replica) askIfComplete(now time.Duration, to message.Replica, out *Out) {
	r.copies.installSentAt[to.Ident] = now
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForJoin, RequestID: r.meta.Group.Number,
		Digests: r.records.Digests(), Group: r.meta.Group,
	}.Message(r.partition))
}

// sendMissingRecords sends a joining replica the ranges in which its copy differs.
func (r *Replica) sendMissingRecords(to message.Replica, m message.StateMismatch, out *Out) {
	ranges := digest.DifferingRanges(r.records.Digests(), m.Digests)
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForJoin, RequestID: m.ResponseTo,
		Digests: m.Digests, Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// answerJoin answers a leader's request as a joining replica. It sends its digests if its
// copy differs, and otherwise confirms the complete state once that state is on disk.
func (r *Replica) answerJoin(from message.Sender, m message.InstallState, out *Out) {
	if m.Ranges == nil && len(digest.DifferingRanges(r.records.Digests(), m.Digests)) > 0 {
		out.send(from.Replica, message.StateMismatch{
			Term: m.Term, Purpose: message.InstallForJoin, ResponseTo: m.RequestID, Digests: r.records.Digests(),
		}.Message(r.partition))
		return
	}
	var accepted []message.Record
	for _, rec := range m.Records {
		if own, ok := r.records.Get(rec.Key); !ok || own.Version.Less(rec.Version) || conflicts(own, rec) {
			r.records.Put(rec)
			accepted = append(accepted, rec)
		}
	}
	done := message.StateInstalled{Term: m.Term, Purpose: message.InstallForJoin, ResponseTo: m.RequestID}
	r.save(out, nil, accepted, envelope(from.Replica, done.Message(r.partition)))
}

// noteComplete records a joining replica's confirmation that it holds the complete
// state. A confirmation for an earlier change is ignored.
func (r *Replica) noteComplete(from message.Sender, groupNumber uint64) {
	if len(r.meta.Group.Next) > 0 && groupNumber == r.meta.Group.Number {
		r.copies.joinComplete[from.Ident], r.copies.installed[from.Ident] = true, true
	}
}
