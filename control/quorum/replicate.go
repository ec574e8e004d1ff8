package quorum

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// replication is a leader's writes. Each has a request number, which is also the
// number of the version of a record in it.
type replication struct {
	lastRequest uint64            // of the present term
	pending     map[uint64]*write // not acknowledged by a majority yet
	partial     map[uint64]*write // acknowledged by a majority and not by all: their records are forgotten
}

// write is one that is being replicated.
type write struct {
	tag     uint64 // the caller's
	records []message.Record
	acks    map[string]bool
	sentAt  time.Duration
}

func newReplication() replication {
	return replication{pending: map[uint64]*write{}, partial: map[uint64]*write{}}
}

// start numbers a write and keeps it until a majority has it.
func (p *replication) start(now time.Duration, tag uint64, records []message.Record) (request uint64, w *write) {
	p.lastRequest++
	w = &write{tag: tag, records: records, acks: map[string]bool{}, sentAt: now}
	p.pending[p.lastRequest] = w
	return p.lastRequest, w
}

// abandon forgets all writes; the outcome of those under way is uncertain.
func (p *replication) abandon() (results []WriteResult) {
	for _, request := range slices.Sorted(maps.Keys(p.pending)) {
		results = append(results, WriteResult{Tag: p.pending[request].tag, Outcome: Uncertain})
	}
	p.pending, p.partial = map[uint64]*write{}, map[uint64]*write{}
	return results
}

// commit notes that a majority has a write, and keeps who hasn't yet.
func (p *replication) commit(request uint64, w *write, peers []message.Replica) {
	delete(p.pending, request)
	for _, peer := range peers {
		if !w.acks[peer.Ident] {
			w.records = nil
			p.partial[request] = w
		}
	}
}

// Write starts a majority write; Out.Results has its outcome later. The records'
// versions are set here.
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

// LastWritten is the version of the last record written in this term.
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

// sendWrite sends a write to whoever has not acknowledged it yet.
func (r *Replica) sendWrite(request uint64, w *write, out *Out) {
	for _, peer := range r.peers() {
		if !w.acks[peer.Ident] {
			out.send(peer, message.Replicate{
				Term: r.term, RequestID: request, Records: w.records, Group: r.meta.Group,
			}.Message(r.partition))
		}
	}
}

// resendWrites sends writes again that were not answered by a majority.
func (r *Replica) resendWrites(now time.Duration, out *Out) {
	for _, request := range slices.Sorted(maps.Keys(r.replication.pending)) {
		w := r.replication.pending[request]
		if now-w.sentAt >= r.cfg.HeartbeatInterval {
			w.sentAt = now
			r.sendWrite(request, w, out)
		}
	}
}

// handleReplicate takes a write of the leader, if this replica's records are those
// that it builds on.
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

// putNewer takes the records that are newer than this replica's, and gives these.
func (r *Replica) putNewer(records []message.Record) (accepted []message.Record) {
	for _, rec := range records {
		if r.records.PutNewer(rec) {
			accepted = append(accepted, rec)
		}
	}
	return accepted
}

// handleReplicated counts a replica's or learner's answer to a write.
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
		outcome = Uncertain // it will most likely be found, but only the next leader knows
	}
	out.Results = append(out.Results, WriteResult{Tag: w.tag, Outcome: outcome})
}
