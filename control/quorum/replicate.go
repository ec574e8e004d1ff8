package quorum

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// replication tracks a leader's writes. Request IDs and the sequence numbers of
// records' versions are drawn from the same counter.
type replication struct {
	lastRequest    uint64            // the last number drawn in the current term
	pending        map[uint64]*write // not yet acknowledged by a majority
	partiallyAcked map[uint64]*write // acknowledged by a majority but not by all peers; without their records
}

// write is a write that is being replicated.
type write struct {
	tag     uint64 // set by the caller; returned with the outcome
	records []message.Record
	acks    map[string]bool
	sentAt  time.Duration
}

func newReplication() replication {
	return replication{pending: map[uint64]*write{}, partiallyAcked: map[uint64]*write{}}
}

// start assigns a request ID to a write and adds it to the pending writes.
func (p *replication) start(now time.Duration, tag uint64, records []message.Record) (request uint64, w *write) {
	p.lastRequest++
	w = &write{tag: tag, records: records, acks: map[string]bool{}, sentAt: now}
	p.pending[p.lastRequest] = w
	return p.lastRequest, w
}

// abandonAll drops all writes; the outcome of the pending ones is uncertain.
func (p *replication) abandonAll() (results []WriteResult) {
	for _, request := range slices.Sorted(maps.Keys(p.pending)) {
		results = append(results, WriteResult{Tag: p.pending[request].tag, Outcome: Uncertain})
	}
	p.pending, p.partiallyAcked = map[uint64]*write{}, map[uint64]*write{}
	return results
}

// commit marks a write as acknowledged by a majority. It keeps the write, without records,
// in partiallyAcked if a peer has not acknowledged it yet.
func (p *replication) commit(request uint64, w *write, peers []message.Replica) {
	delete(p.pending, request)
	for _, peer := range peers {
		if !w.acks[peer.Ident] {
			w.records = nil
			p.partiallyAcked[request] = w
		}
	}
}

// Write starts replicating records to a majority, and returns them with their versions
// set. The outcome is returned in the Out.Results of a later step.
//
// Example: out, recs := r.Write(now, 17, []message.Record{{Key: "plan/now", Value: b}})
func (r *Replica) Write(now time.Duration, tag uint64, records []message.Record) (out Out, set []message.Record) {
	for i := range records {
		r.replication.lastRequest++
		records[i].Version = r.LastWritten()
	}
	r.replicate(now, tag, records, &out)
	r.claimIncarnations(&out)
	return out, records
}

// LastWritten returns the version of the last record written in this term.
//
// Example: version := r.LastWritten()
func (r *Replica) LastWritten() message.Version {
	return message.Version{Term: r.term, Seq: r.replication.lastRequest}
}

// replicate sends a write to all replicas and learners.
func (r *Replica) replicate(now time.Duration, tag uint64, records []message.Record, out *Out) {
	request, w := r.replication.start(now, tag, records)
	r.sendWrite(request, w, out)
}

// sendWrite sends a write to the peers that have not acknowledged it yet.
func (r *Replica) sendWrite(request uint64, w *write, out *Out) {
	for _, peer := range r.peers() {
		if !w.acks[peer.Ident] {
			out.send(peer, message.Replicate{
				Term: r.term, RequestID: request, Records: w.records, Group: r.meta.Group,
			}.Message(r.partition))
		}
	}
}

// resendWrites resends the pending writes that were last sent at least a heartbeat interval ago.
func (r *Replica) resendWrites(now time.Duration, out *Out) {
	for _, request := range slices.Sorted(maps.Keys(r.replication.pending)) {
		w := r.replication.pending[request]
		if now-w.sentAt >= r.cfg.HeartbeatInterval {
			w.sentAt = now
			r.sendWrite(request, w, out)
		}
	}
}

// handleReplicate stores a write of the leader if this replica holds the leader's term.
// Without the records installed in that term, its copy would be incomplete.
func (r *Replica) handleReplicate(now time.Duration, from message.Sender, m message.Replicate, out *Out) {
	isVotedFor := r.meta.isVotedFor(m.Term, from.Ident)
	switch {
	case !isVotedFor && r.meta.VotedTerm > m.Term:
		r.reject(now, from.Replica, m.Term, 0, out)
		return
	case !isVotedFor && from.Ident == r.self.Ident:
		return
	case !isVotedFor, !r.meta.holdsTerm(m.Term):
		out.send(from.Replica, message.StateMismatch{Term: m.Term, Digests: r.records.Digests()}.Message(r.partition))
		return
	}
	r.adoptGroup(m.Group)
	accepted := r.putNewer(m.Records)
	done := message.Replicated{Term: m.Term, ResponseTo: m.RequestID}.Message(r.partition)
	r.save(out, nil, accepted, envelope(from.Replica, done))
}

// putNewer stores the records that are newer than this replica's, and returns them.
func (r *Replica) putNewer(records []message.Record) (accepted []message.Record) {
	for _, rec := range records {
		if r.records.PutNewer(rec) {
			accepted = append(accepted, rec)
		}
	}
	return accepted
}

// handleReplicated counts a replica's or learner's acknowledgement of a write.
func (r *Replica) handleReplicated(now time.Duration, from message.Sender, m message.Replicated, out *Out) {
	r.noteAnswer(now, from, m.Term)
	if r.role != leader || m.Term != r.term {
		return
	}
	w := r.replication.pending[m.ResponseTo]
	if w == nil {
		r.noteLateAnswer(from, m.ResponseTo)
		return
	}
	w.acks[from.Ident] = true
	if !r.meta.Group.HasQuorum(func(ident string) bool { return w.acks[ident] }) {
		return
	}
	r.replication.commit(m.ResponseTo, w, r.peers())
	outcome := Committed
	if now >= r.lease.end {
		outcome = Uncertain // the next leader will most likely find the write, but this leader can't be sure
	}
	out.Results = append(out.Results, WriteResult{Tag: w.tag, Outcome: outcome})
}
