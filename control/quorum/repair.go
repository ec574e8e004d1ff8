package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Repair: copies of one group that hold the same term are compared in the
// background, at a steady low rate and not beside writes. The leader sends its
// digests, a replica whose copy differs sends its own, the leader sends what it
// has in the ranges that differ. The newer version wins. Nothing of this counts as
// a vote, and no copy is raised above the leader's term.

// compareCopies begins a comparison with each replica whose last is long ago.
func (r *Replica) compareCopies(now time.Duration, out *Out) {
	if r.role != leader || len(r.replication.pending) > 0 {
		return
	}
	for _, peer := range r.peers() {
		if !r.copies.installed[peer.Ident] || peer.Ident == r.self.Ident {
			continue
		}
		at, compared := r.copies.comparedAt[peer.Ident]
		if compared && now-at < repairLeases*r.cfg.LeaderLease {
			continue
		}
		r.copies.comparedAt[peer.Ident] = now
		if !compared {
			continue // it was installed just now
		}
		out.send(peer, message.InstallState{
			Term: r.term, Purpose: message.InstallForRepair, Digests: r.records.Digests(), Group: r.meta.Group,
		}.Message(r.partition))
	}
}

// answerRepair is a replica's side of a comparison: it answers with its digests, or
// takes in what the leader sent and answers with what it holds that is newer.
func (r *Replica) answerRepair(from message.Sender, m message.InstallState, out *Out) {
	if m.Ranges == nil {
		r.answerComparison(from, m, out)
		return
	}
	accepted, newer := r.takeRepair(m)
	deleted, unknown := r.deleteStray(m)
	done := message.StateInstalled{
		Term: m.Term, Purpose: message.InstallForRepair, ResponseTo: m.RequestID, Records: append(newer, unknown...),
	}
	r.put(out, Save{Records: accepted, Delete: deleted}, envelope(from.Replica, done.Message(r.partition)))
}

// answerComparison answers where only digests were sent.
func (r *Replica) answerComparison(from message.Sender, m message.InstallState, out *Out) {
	if len(digest.DifferingRanges(r.records.Digests(), m.Digests)) > 0 {
		out.send(from.Replica, message.StateMismatch{
			Term: m.Term, Purpose: message.InstallForRepair, Digests: r.records.Digests(),
		}.Message(r.partition))
		return
	}
	if m.RequestID > 0 { // the leader waits for this copy
		done := message.StateInstalled{Term: m.Term, Purpose: message.InstallForRepair, ResponseTo: m.RequestID}
		r.put(out, Save{}, envelope(from.Replica, done.Message(r.partition)))
	}
}

// takeRepair takes the records that the leader's copy has newer, and gives them and
// those that are newer here. A record of a term above the leader's was never committed.
func (r *Replica) takeRepair(m message.InstallState) (accepted, newer []message.Record) {
	for _, rec := range m.Records {
		own, ok := r.records.Get(rec.Key)
		switch {
		case !ok || own.Version.Less(rec.Version) || own.Version.Term > m.Term || conflicts(own, rec):
			r.records.Put(rec)
			accepted = append(accepted, rec)
		case rec.Version.Less(own.Version):
			newer = append(newer, own)
		}
	}
	return accepted, newer
}

// conflicts reports whether two records of one version differ, of which one must be
// damaged: no version is written twice.
func conflicts(own, rec message.Record) bool {
	return own.Version == rec.Version && digest.Fingerprint(own) != digest.Fingerprint(rec)
}

// deleteStray deletes what the leader lacks in the ranges that it sent and that
// nothing can have written, and gives the keys, and the records that it may lack
// itself.
func (r *Replica) deleteStray(m message.InstallState) (deleted []string, unknown []message.Record) {
	sent := map[string]bool{}
	for _, rec := range m.Records {
		sent[rec.Key] = true
	}
	floor := floorOf(r.records)
	for _, span := range m.Ranges {
		for own := range r.records.InRange(span) {
			switch {
			case sent[own.Key]:
			case isBelow(own, floor) || own.Version.Term > m.Term:
				deleted = append(deleted, own.Key)
			default:
				unknown = append(unknown, own)
			}
		}
	}
	for _, key := range deleted {
		r.records.Delete(key)
	}
	return deleted, unknown
}

// sendRepair sends a replica what the leader has in the ranges that differ.
func (r *Replica) sendRepair(to message.Replica, digests []uint64, out *Out) {
	ranges := digest.DifferingRanges(r.records.Digests(), digests)
	isBesideWrites := len(r.replication.pending) > 0 && r.copies.lagging[to.Ident] == nil
	if r.role != leader || isBesideWrites || len(ranges) == 0 {
		return
	}
	r.Repairs++
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForRepair, RequestID: r.replication.lastRequest,
		Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// checkNewer looks at what a replica has that is newer than the leader's copy was.
// What the leader wrote since explains it; else its own copy is the damaged one: it
// steps down, and the next term takes the newest of a majority.
func (r *Replica) checkNewer(records []message.Record, out *Out) {
	for _, rec := range records {
		own, ok := r.records.Get(rec.Key)
		lacks := rec.Version.Term <= r.term && (!ok || own.Version.Less(rec.Version))
		if r.role == leader && lacks && !isBelow(rec, floorOf(r.records)) {
			r.stepDown(out)
			return
		}
	}
}
