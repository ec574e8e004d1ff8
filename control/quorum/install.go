package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// This file implements the installation of state, which makes a replica's records equal to
// the leader's and assigns them the leader's term.

// copies is what a leader knows about the copies at the other replicas and learners.
type copies struct {
	installed     map[string]bool          // the peer's copy holds the leader's term
	installSentAt map[string]time.Duration // when the peer was last sent an InstallState, for a term or to join
	comparedAt    map[string]time.Duration // when the peer's copy was last compared, see repair.go
	joinComplete  map[string]bool          // the peer joins in the current group change and holds the complete state
	lagging       map[string]*laggingPeer  // peers that missed committed writes
}

func newCopies() copies {
	return copies{
		installed: map[string]bool{}, installSentAt: map[string]time.Duration{}, comparedAt: map[string]time.Duration{},
		joinComplete: map[string]bool{}, lagging: map[string]*laggingPeer{},
	}
}

// forget drops what is known about a daemon's copy, except when the daemon was last sent
// an InstallState.
func (c *copies) forget(ident string) {
	delete(c.installed, ident)
	delete(c.comparedAt, ident)
	delete(c.joinComplete, ident)
	delete(c.lagging, ident)
}

// sendInstall sends a replica this leader's records in the ranges where the replica's
// digests differ, under this leader's term. If digests is nil, the message holds no records
// and only asks for the replica's digests.
func (r *Replica) sendInstall(now time.Duration, to message.Replica, digests []uint64, out *Out) {
	if to.Ident == r.self.Ident {
		return
	}
	r.copies.installSentAt[to.Ident] = now
	var ranges []int
	if digests != nil {
		ranges = digest.DifferingRanges(r.records.Digests(), digests)
	}
	out.send(to, message.InstallState{
		Term: r.term, RecordsChecksum: r.records.Sum(), Digests: digests,
		Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// resendInstalls sends another InstallState to each peer that doesn't hold this term yet.
func (r *Replica) resendInstalls(now time.Duration, out *Out) {
	for _, peer := range r.peers() {
		if !r.copies.installed[peer.Ident] && now-r.copies.installSentAt[peer.Ident] >= 2*r.cfg.HeartbeatInterval {
			r.sendInstall(now, peer, nil, out)
		}
	}
}

// handleInstallState makes this replica's records equal to the leader's or, if they
// hold the leader's term already, handles a repair, a join or newer records.
func (r *Replica) handleInstallState(from message.Sender, m message.InstallState, out *Out) {
	if !m.Group.Has(from.Ident) || from.Ident == r.self.Ident || m.Group.Number < r.meta.Group.Number {
		return
	}
	isRemoved := r.meta.Group.Has(r.self.Ident) && !m.Group.Has(r.self.Ident) // adoptGroup releases the vote
	if !isRemoved && (r.meta.VotedTerm > m.Term || r.meta.VotedTerm == m.Term && r.meta.VotedFor != from.Ident) {
		return
	}
	r.adoptGroup(m.Group)
	if r.meta.VotedTerm < m.Term {
		r.joinTerm(from, m.Term, out)
	}
	switch {
	case !r.meta.holdsTerm(m.Term):
		r.replaceRecords(from, m, out)
	case m.Purpose == message.InstallForRepair:
		r.answerRepair(from, m, out)
	case m.Purpose == message.InstallForJoin:
		r.answerJoin(from, m, out)
	default: // a duplicate, or overtaken by writes of this term; store only newer records
		r.save(out, nil, r.putNewer(m.Records), r.stateInstalledEnvelope(from, m.Term))
	}
}

// joinTerm binds a replica that missed an election to the winner, which has the votes
// of a majority.
func (r *Replica) joinTerm(from message.Sender, term uint64, out *Out) {
	r.meta.setVote(vote{term: term, candidate: from.Ident, candidateEpoch: from.Epoch})
	r.stepDown(out)
	r.disk.markVoteInNextSave()
}

// replaceRecords replaces all records in the ranges that the leader sent. It answers with
// a StateMismatch if this copy has changed since the leader compared it, or if the result
// would differ from the leader's records, for example because the message was truncated in
// transit. Leaders of earlier builds send no checksum, so the result is not checked for them.
func (r *Replica) replaceRecords(from message.Sender, m message.InstallState, out *Out) {
	isUnexpected := len(digest.DifferingRanges(r.records.Digests(), m.Digests)) > 0
	if isUnexpected || m.RecordsChecksum != 0 && m.RecordsChecksum != r.records.SumAfterInstall(m.Ranges, m.Records) {
		out.send(from.Replica, message.StateMismatch{Term: m.Term, Digests: r.records.Digests()}.Message(r.partition))
		return
	}
	for _, span := range m.Ranges {
		r.deleteRange(span)
	}
	for _, rec := range m.Records {
		r.records.Put(rec)
	}
	r.meta.LastComplete, r.meta.Incomplete = m.Term, false
	r.save(out, m.Ranges, m.Records, r.stateInstalledEnvelope(from, m.Term))
}

// deleteRange deletes all records of a range.
func (r *Replica) deleteRange(span int) {
	var keys []string
	for rec := range r.records.InRange(span) {
		keys = append(keys, rec.Key)
	}
	for _, key := range keys {
		r.records.Delete(key)
	}
}

// stateInstalledEnvelope returns the answer that confirms that this replica's records hold
// a leader's term.
func (r *Replica) stateInstalledEnvelope(from message.Sender, term uint64) message.Envelope {
	return envelope(from.Replica, message.StateInstalled{Term: term}.Message(r.partition))
}

// handleStateInstalled handles a peer's confirmation that the state sent to it is on disk.
func (r *Replica) handleStateInstalled(
	now time.Duration, from message.Sender, m message.StateInstalled, out *Out,
) {
	r.noteAnswer(now, from, m.Term)
	if !r.leadsTerm(m.Term) {
		return
	}
	switch m.Purpose {
	case message.InstallForRepair:
		if r.meta.Group.Has(from.Ident) {
			r.checkNewerRecords(m.Records, out)
		}
		r.noteCaughtUp(from, m.ResponseTo)
	case message.InstallForJoin:
		r.noteComplete(from, m.ResponseTo)
	default:
		r.copies.installed[from.Ident] = true
		r.tryBecomeLeader(now, out)
	}
}

// handleStateMismatch sends a peer the records that its copy lacks.
func (r *Replica) handleStateMismatch(
	now time.Duration, from message.Sender, m message.StateMismatch, out *Out,
) {
	r.noteAnswer(now, from, m.Term)
	if !r.leadsTerm(m.Term) {
		return
	}
	switch m.Purpose {
	case message.InstallForRepair:
		r.sendRepair(from.Replica, m.Digests, out)
	case message.InstallForJoin:
		r.sendMissingRecords(from.Replica, m, out)
	default:
		delete(r.copies.installed, from.Ident)
		r.sendInstall(now, from.Replica, m.Digests, out)
	}
}
