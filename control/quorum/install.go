package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Installing state: how a replica's records are made equal to the leader's under
// the leader's term.

// copies is what a leader knows of the copies at the other replicas and learners.
type copies struct {
	installed     map[string]bool          // holds the leader's term
	installSentAt map[string]time.Duration // when it was last sent an install, for a term or to join
	comparedAt    map[string]time.Duration // when it was last compared; see repair.go
	complete      map[string]bool          // newcomers of the present group change that hold the complete state
	lagging       map[string]*lagging      // who missed writes
}

func newCopies() copies {
	return copies{
		installed: map[string]bool{}, installSentAt: map[string]time.Duration{}, comparedAt: map[string]time.Duration{},
		complete: map[string]bool{}, lagging: map[string]*lagging{},
	}
}

// forget drops what was known of a daemon's copy; when it was sent an install stays.
func (c *copies) forget(ident string) {
	delete(c.installed, ident)
	delete(c.comparedAt, ident)
	delete(c.complete, ident)
	delete(c.lagging, ident)
}

// sendInstall brings a replica whose records have the given digests to this one's
// term; without digests it only asks for them.
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
		Term: r.term, RecordsSum: r.records.Sum(), Digests: digests,
		Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// resendInstalls asks those again who don't hold this term yet.
func (r *Replica) resendInstalls(now time.Duration, out *Out) {
	for _, peer := range r.peers() {
		if !r.copies.installed[peer.Ident] && now-r.copies.installSentAt[peer.Ident] >= 2*r.cfg.HeartbeatInterval {
			r.sendInstall(now, peer, nil, out)
		}
	}
}

// handleInstallState makes this replica's records equal to the leader's, or
// compares them with it once they hold the leader's term.
func (r *Replica) handleInstallState(from message.Sender, m message.InstallState, out *Out) {
	if !m.Group.Has(from.Ident) || from.Ident == r.self.Ident || m.Group.Number < r.meta.Group.Number {
		return
	}
	leaves := r.meta.Group.Has(r.self.Ident) && !m.Group.Has(r.self.Ident) // then no vote stands
	if !leaves && (r.meta.VotedTerm > m.Term || r.meta.VotedTerm == m.Term && r.meta.VotedFor != from.Ident) {
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
	default: // installed already, or before writes of this term: only newer records are put
		r.save(out, nil, r.putNewer(m.Records), r.stateInstalledFor(from, m.Term))
	}
}

// joinTerm binds a replica that missed an election to its winner: a majority has
// voted for it.
func (r *Replica) joinTerm(from message.Sender, term uint64, out *Out) {
	r.meta.setVote(vote{term: term, candidate: from.Ident, candidateEpoch: from.Epoch})
	r.stepDown(out)
	r.disk.voteIsInNextSave()
}

// replaceRecords replaces all of the ranges that the leader sent, if the records
// are still those that the leader knew of, and if what results is what the leader
// has: a copy that was cut short on its way is none. A build that sends no checksum
// is believed.
func (r *Replica) replaceRecords(from message.Sender, m message.InstallState, out *Out) {
	isUnexpected := len(digest.DifferingRanges(r.records.Digests(), m.Digests)) > 0
	if isUnexpected || m.RecordsSum != 0 && m.RecordsSum != r.records.SumAfterInstall(m.Ranges, m.Records) {
		out.send(from.Replica, message.StateMismatch{Term: m.Term, Digests: r.records.Digests()}.Message(r.partition))
		return
	}
	for _, span := range m.Ranges {
		r.dropRange(span)
	}
	for _, rec := range m.Records {
		r.records.Put(rec)
	}
	r.meta.LastComplete, r.meta.Incomplete = m.Term, false
	r.save(out, m.Ranges, m.Records, r.stateInstalledFor(from, m.Term))
}

// dropRange drops all records of a range.
func (r *Replica) dropRange(span int) {
	var keys []string
	for rec := range r.records.InRange(span) {
		keys = append(keys, rec.Key)
	}
	for _, key := range keys {
		r.records.Delete(key)
	}
}

// stateInstalledFor is the answer that this replica holds a leader's term.
func (r *Replica) stateInstalledFor(from message.Sender, term uint64) message.Envelope {
	return envelope(from.Replica, message.StateInstalled{Term: term}.Message(r.partition))
}

// handleStateInstalled takes a peer's answer that its disk holds what it was sent.
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
			r.checkNewer(m.Records, out)
		}
		r.noteCaughtUp(from, m.ResponseTo)
	case message.InstallForJoin:
		r.noteComplete(from, m.ResponseTo)
	default:
		r.copies.installed[from.Ident] = true
		r.tryBecomeLeader(now, out)
	}
}

// handleStateMismatch sends a peer what its copy lacks.
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
		r.sendMissing(from.Replica, m, out)
	default:
		delete(r.copies.installed, from.Ident)
		r.sendInstall(now, from.Replica, m.Digests, out)
	}
}
