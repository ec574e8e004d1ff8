package quorum

import (
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A group changes one replica at a time. A learner is first sent a copy and every
// write, without a vote; then the leader makes a joint group of the old replicas
// and the new, in which both majorities are needed. Once that group is committed,
// the newcomer has confirmed that it holds all that the leader held when the change
// began, and both majorities have renewed the leader's lease, the new replicas
// stand alone: so none of them elects another leader while that lasts. Either way
// is open until then: the change is undone if the newcomer falls silent. The next
// leader finds the change in its group, and finishes or undoes it.

// groupNumberShift makes the numbers of groups grow with the term of the leader
// that made them: no two leaders use one number, and a later leader's is the higher.
const groupNumberShift = 16

// groupChange is the last change that this leader made.
type groupChange struct {
	request          uint64 // the write that commits the group; 0: none of this leadership
	roundBefore      uint64 // the last round of heartbeats before the group was made
	isLeaseSupported bool   // a later round had the group's majority, or both
}

// Bootstrap makes the first group of a fleet; only a replica without a group takes it.
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
	// Bring the group to the others, so that each is a candidate for the partitions
	// where it comes first and the leaderships are spread from the start.
	for _, replica := range group.Replicas {
		if replica.Ident != r.self.Ident {
			out.send(replica, message.VoteRequest{PreVote: true, Group: group}.Message(r.partition))
		}
	}
	return out
}

// joinGroup takes a group that this replica has a vote in.
func (r *Replica) joinGroup(now time.Duration, group message.Group) {
	isFirst := r.meta.Group.Number == 0
	r.meta.Group = group
	if isFirst {
		r.election.notBefore = max(r.election.notBefore, now+r.electionDelay())
	}
}

// adoptGroup takes a later group. A replica that is not in it any more is free of
// its vote: the change that took it out was committed by a majority that bound
// every later candidate to the new group.
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

// isParticipant reports whether a message of a kind is from a participant: replicas
// are in everything, learners where they answer for their copies, and others where
// they may bring a group that this replica doesn't know yet.
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

// SetLearners names the learners; each is sent a copy and every write, and has no
// vote. One that is not named for a moment stays while it answers.
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
	r.learners = r.learnersOf(now, list)
	for _, learner := range r.learners {
		if !has(before, learner.Ident) {
			r.copies.forget(learner.Ident)
			r.contact.forget(learner.Ident)
			r.sendInstall(now, learner, nil, &out)
		}
	}
	return out
}

// learnersOf are the learners of a list and those at present who still answer.
func (r *Replica) learnersOf(now time.Duration, list []message.Replica) []message.Replica {
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

// ReplaceReplica begins a change: a learner takes a replica's place. A leader
// doesn't take itself out, and no change begins while another is under way.
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
	delete(r.copies.complete, joining.Ident)
	r.changeGroup(now, tag, old, next, &out)
	r.claimIncarnations(&out)
	return out, true
}

// isChanging reports whether a change of the group is under way.
func (r *Replica) isChanging() bool { return len(r.meta.Group.Next) > 0 || r.isChangeUncommitted() }

// isChangeUncommitted reports whether no majority has the last group that this leader made.
func (r *Replica) isChangeUncommitted() bool { return r.replication.pending[r.change.request] != nil }

// ContinueChange goes on with the change that is under way, this leader's or an
// earlier one's: it asks the newcomer again, finishes, or undoes the change if the
// newcomer is silent or the leader would take itself out. It finishes only under
// a lease that a majority of the next group supports: that majority need know of
// no other leader, and two changes in a row would let it elect another.
//
// Example: out := r.ContinueChange(now, 0)
func (r *Replica) ContinueChange(now time.Duration, tag uint64) (out Out) {
	group := r.meta.Group
	if !r.IsLeader(now) || len(group.Next) == 0 {
		return out
	}
	defer func() { r.claimIncarnations(&out) }()
	isReady, undo := r.checkNewcomers(now, group, &out)
	undo = undo || !has(group.Next, r.self.Ident)
	switch {
	case undo: // also before it is committed: the old replicas are in both
		r.changeGroup(now, tag, group.Replicas, nil, &out)
	case r.change.request == 0: // an earlier leader's: it may not have been committed
		r.changeGroup(now, tag, group.Replicas, group.Next, &out)
	case isReady && r.change.isLeaseSupported && !r.isChangeUncommitted():
		r.changeGroup(now, tag, group.Next, nil, &out)
	}
	return out
}

// checkNewcomers asks the newcomers of a change that haven't confirmed again. It
// reports whether all hold the complete state, and whether one of them is lost.
func (r *Replica) checkNewcomers(now time.Duration, group message.Group, out *Out) (isReady, isLost bool) {
	isReady = true
	for _, replica := range group.Next {
		if has(group.Replicas, replica.Ident) || r.isComplete(replica.Ident) {
			continue
		}
		isReady, isLost = false, isLost || r.IsLost(now, replica.Ident)
		if now-r.copies.installSentAt[replica.Ident] >= r.cfg.HeartbeatInterval/4 {
			r.askIfComplete(now, replica, out)
		}
	}
	return isReady, isLost
}

// isComplete reports whether a newcomer holds all that the leader holds, on its disk:
// by its own answer or, of the leader itself, because its copy was saved.
func (r *Replica) isComplete(ident string) bool {
	if ident == r.self.Ident {
		return r.copies.installed[ident]
	}
	return r.copies.complete[ident]
}

// changeGroup makes a group and has its majority, or both, take it.
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
	r.change = groupChange{request: r.replication.lastRequest, roundBefore: r.lease.round}
	r.sendHeartbeats(now, out)
	for _, replica := range next {
		if !has(replicas, replica.Ident) {
			r.askIfComplete(now, replica, out)
		}
	}
}

// askIfComplete asks a newcomer whether it holds all that the leader holds now.
func (r *Replica) askIfComplete(now time.Duration, to message.Replica, out *Out) {
	r.copies.installSentAt[to.Ident] = now
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForJoin, RequestID: r.meta.Group.Number,
		Digests: r.records.Digests(), Group: r.meta.Group,
	}.Message(r.partition))
}

// sendMissing sends a newcomer what it lacks.
func (r *Replica) sendMissing(to message.Replica, m message.StateMismatch, out *Out) {
	ranges := digest.DifferingRanges(r.records.Digests(), m.Digests)
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForJoin, RequestID: m.ResponseTo,
		Digests: m.Digests, Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// answerJoin is a newcomer's side: it confirms that it holds all, once it does and
// that is on disk, or what it has.
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

// noteComplete takes a newcomer's answer that it holds all; one that was given before
// this change began counts for nothing.
func (r *Replica) noteComplete(from message.Sender, groupNumber uint64) {
	if len(r.meta.Group.Next) > 0 && groupNumber == r.meta.Group.Number {
		r.copies.complete[from.Ident], r.copies.installed[from.Ident] = true, true
	}
}
