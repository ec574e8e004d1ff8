package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// This file implements repair. Copies that hold the same term are compared in the
// background, at a steady low rate and not during writes. The leader sends its digests, a replica whose copy
// differs sends its own digests, and the leader sends its records in the ranges that
// differ. The newer version of a record wins. A repair never counts as a vote and
// never raises a copy above the leader's term.

// compareCopies starts a comparison with each peer that was last compared at least
// repairIntervalLeases leader leases ago.
func (r *Replica) compareCopies(now time.Duration, out *Out) {
	if r.role != leader || len(r.replication.pending) > 0 {
		return
	}
	for _, peer := range r.peers() {
		if !r.copies.installed[peer.Ident] || peer.Ident == r.self.Ident {
			continue
		}
		at, compared := r.copies.comparedAt[peer.Ident]
		if compared && now-at < repairIntervalLeases*r.cfg.LeaderLease {
			continue
		}
		r.copies.comparedAt[peer.Ident] = now
		if !compared {
			continue // the peer's copy was installed recently and needs no comparison yet
		}
		out.send(peer, message.InstallState{
			Term: r.term, Purpose: message.InstallForRepair, Digests: r.records.Digests(), Group: r.meta.Group,
		}.Message(r.partition))
	}
}

// answerRepair handles a repair message. A message that holds only digests is passed to
// answerComparison. If the message holds records, this replica applies them and answers with
// its own records that are newer than the leader's or unknown to the leader.
func (r *Replica) answerRepair(from message.Sender, m message.InstallState, out *Out) {
	if m.Ranges == nil {
		r.answerComparison(from, m, out)
		return
	}
	accepted, newer := r.applyRepair(m)
	deleted, unknown := r.deleteStrayRecords(m)
	done := message.StateInstalled{
		Term: m.Term, Purpose: message.InstallForRepair, ResponseTo: m.RequestID, Records: append(newer, unknown...),
	}
	r.enqueueSave(out, Save{Records: accepted, Delete: deleted}, envelope(from.Replica, done.Message(r.partition)))
}

// answerComparison answers a repair message that holds only the leader's digests. If this
// replica's digests differ, it sends them. If they are equal, it confirms this to a leader
// that waits for the copy to catch up, once all earlier saves are on disk.
func (r *Replica) answerComparison(from message.Sender, m message.InstallState, out *Out) {
	if len(digest.DifferingRanges(r.records.Digests(), m.Digests)) > 0 {
		out.send(from.Replica, message.StateMismatch{
			Term: m.Term, Purpose: message.InstallForRepair, Digests: r.records.Digests(),
		}.Message(r.partition))
		return
	}
	if m.RequestID > 0 { // the leader waits for this copy to catch up
		done := message.StateInstalled{Term: m.Term, Purpose: message.InstallForRepair, ResponseTo: m.RequestID}
		r.enqueueSave(out, Save{}, envelope(from.Replica, done.Message(r.partition)))
	}
}

// applyRepair stores the leader's records that are newer than this replica's. It returns the
// stored records and this replica's newer records. This replica's records of a term above the
// leader's are replaced too, since they were never committed.
func (r *Replica) applyRepair(m message.InstallState) (accepted, newer []message.Record) {
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

// conflicts reports whether two records have the same version and different contents.
// No version is written twice, so one of them is damaged.
func conflicts(own, rec message.Record) bool {
	return own.Version == rec.Version && digest.Fingerprint(own) != digest.Fingerprint(rec)
}

// deleteStrayRecords examines this replica's records that the leader lacks in the ranges
// that the leader sent. It deletes the invalid records, which are below the floor or of a
// term above the leader's, and returns their keys. It returns the other records as unknown,
// since the leader may have lost them.
func (r *Replica) deleteStrayRecords(m message.InstallState) (deleted []string, unknown []message.Record) {
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

// sendRepair sends a replica the leader's records in the ranges that differ.
func (r *Replica) sendRepair(to message.Replica, digests []uint64, out *Out) {
	ranges := digest.DifferingRanges(r.records.Digests(), digests)
	hasPendingWrites := len(r.replication.pending) > 0 && r.copies.lagging[to.Ident] == nil
	if r.role != leader || hasPendingWrites || len(ranges) == 0 {
		return
	}
	r.Repairs++
	out.send(to, message.InstallState{
		Term: r.term, Purpose: message.InstallForRepair, RequestID: r.replication.lastRequest,
		Ranges: ranges, Records: r.records.RecordsIn(ranges), Group: r.meta.Group,
	}.Message(r.partition))
}

// checkNewerRecords checks the records of a replica that were newer than the leader's or
// missing in the leader's copy. If the leader's copy still lacks one, the leader's copy is
// damaged. The leader then steps down, and the next term merges a majority's newest records.
func (r *Replica) checkNewerRecords(records []message.Record, out *Out) {
	for _, rec := range records {
		own, ok := r.records.Get(rec.Key)
		lacks := rec.Version.Term <= r.term && (!ok || own.Version.Less(rec.Version))
		if r.role == leader && lacks && !isBelow(rec, floorOf(r.records)) {
			r.stepDown(out)
			return
		}
	}
}
