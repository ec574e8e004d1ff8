package quorum

import (
	"encoding/json"
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// sendFill brings a replica whose records have the given digests to this one.
func (s *Replica) sendFill(now time.Duration, to message.Replica, digs []uint64, o *Out) {
	if to.Ident == s.me.Ident {
		return
	}
	s.fillAt[to.Ident] = now
	var spans []int
	if digs != nil { // without them this only asks for them
		spans = digest.DifferingRanges(s.records.Digests(), digs)
	}
	o.send(to, message.Message{Kind: message.KindInstallState, Partition: s.partition, Term: s.num, LastComplete: s.records.Sum(), Digests: digs, Ranges: spans, Records: s.records.RecordsIn(spans), Group: s.meta.Group})
}

// fill makes this replica's records equal to the leader's. Ranges are replaced whole
// only when the records are still those the leader saw and was not yet brought
// to this term; later fills only add what is newer.
func (s *Replica) fill(from message.Replica, n message.Message, o *Out) {
	if !n.Group.Has(n.From) || n.From == s.me.Ident || n.Group.Number < s.meta.Group.Number {
		return
	}
	out := s.meta.Group.Has(s.me.Ident) && !n.Group.Has(s.me.Ident) // of the group: then no promise stands
	if !out && (s.meta.VotedTerm > n.Term || s.meta.VotedTerm == n.Term && s.meta.VotedFor != n.From) {
		return
	}
	s.adopt(n.Group)
	if s.meta.VotedTerm < n.Term {
		// A replica that missed the term joins it: a majority has settled it.
		s.meta.VotedTerm, s.meta.VotedFor, s.meta.VotedForEpoch = n.Term, n.From, n.Epoch
		s.drop(o)
		s.bound = s.tick + 1 // with the next save
	}
	done := message.Envelope{Addr: from.Addr, Message: message.Message{Kind: message.KindStateInstalled, Partition: s.partition, Term: n.Term, To: from.Ident}}
	held := s.meta.LastComplete == n.Term && !s.meta.Incomplete
	if held && n.Op == compare {
		s.compared(from, n, o)
		return
	}
	if held && n.Op == wholeCopy {
		s.completed(from, n, o)
		return
	}
	if held {
		var recs []message.Record
		for _, r := range n.Records {
			if s.records.PutNewer(r) {
				recs = append(recs, r)
			}
		}
		s.save(o, nil, recs, done)
		return
	}
	// What it would make of these records must be the leader's: a copy that was cut
	// short is none. A build that doesn't tell its sum is believed.
	if len(digest.DifferingRanges(s.records.Digests(), n.Digests)) > 0 || n.LastComplete != 0 && n.LastComplete != s.records.SumAfterInstall(n.Ranges, n.Records) {
		o.send(from, message.Message{Kind: message.KindStateMismatch, Partition: s.partition, Term: n.Term, Digests: s.records.Digests()})
		return
	}
	for _, sp := range n.Ranges {
		var gone []string
		for r := range s.records.InRange(sp) {
			gone = append(gone, r.Key)
		}
		for _, k := range gone {
			s.records.Delete(k)
		}
	}
	for _, r := range n.Records {
		s.records.Put(r)
	}
	s.meta.LastComplete, s.meta.Incomplete = n.Term, false
	s.save(o, n.Ranges, n.Records, done)
}

// prune drops what is below the floor, if the floor is among the new records.
func (s *Replica) prune(recs []message.Record) (gone []string) {
	for _, r := range recs {
		if r.Key != FloorKey {
			continue
		}
		floor := floorOf(s.records)
		for x := range s.records.All() {
			if strings.HasPrefix(x.Key, FloorPrefix) && x.Version.Less(floor) {
				gone = append(gone, x.Key)
			}
		}
		for _, k := range gone {
			s.records.Delete(k)
		}
	}
	return gone
}

func (s *Replica) save(o *Out, wipe []int, recs []message.Record, then ...message.Envelope) {
	s.put(o, Save{WipeRanges: wipe, Records: recs, Delete: s.prune(recs)}, then...)
}

// put gives the disk a save; then goes out once it is there.
func (s *Replica) put(o *Out, v Save, then ...message.Envelope) {
	s.tick++
	if s.folder != nil {
		s.meta.State, s.meta.History = s.folder.stamp(), s.folder.past
	}
	s.unsaved = false
	v.Ticket, v.Partition, v.Meta, v.Sum = s.tick, s.partition, s.meta, s.meta.Sum(s.records)
	o.Saves = append(o.Saves, v)
	s.gave(s.tick, s.meta.State.Saves)
	if len(then) > 0 {
		s.after[s.tick] = then
	}
}

// Saved tells the replica that a save is on disk.
//
// Example: out := s.Saved(save.Ticket)
func (s *Replica) Saved(ticket uint64) Out {
	saves := s.synced(ticket)
	if s.folder != nil {
		s.folder.onDisk(saves)
	}
	o := Out{Sends: s.after[ticket]}
	delete(s.after, ticket)
	if s.superseded != "" {
		return Out{}
	}
	s.sign(&o)
	return o
}

// floorOf is the version below which once keys are no longer kept.
func floorOf(b *digest.Records) (v message.Version) {
	if r, ok := b.Get(FloorKey); ok && json.Unmarshal(r.Value, &v) != nil {
		return message.Version{}
	}
	return v
}
