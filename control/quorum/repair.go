package quorum

import (
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Copies of one group that hold the same term are compared in the
// background, at a steady low rate and not beside writes: the leader sends its
// digests, a replica whose copy differs sends its own, the leader sends what it
// has in the ranges that differ. The newer version wins. Nothing of this
// counts as a vote, and no copy is raised above the leader's term.

const compare = "compare"

// every is how many leader leases pass between two looks at one replica, and how
// many a replica may stay bound to a term above the leader's, with no copy kept
// up, before the leader takes a higher one.
const every = 8

func (s *Replica) repair(now time.Duration, o *Out) {
	if s.mode != owning || len(s.writes) > 0 {
		return
	}
	for _, replica := range s.peers() {
		if !s.filled[replica.Ident] || replica.Ident == s.me.Ident {
			continue
		}
		if at, ok := s.seenAt[replica.Ident]; ok && now-at < every*s.cfg.LeaderLease {
			continue
		} else if s.seenAt[replica.Ident] = now; !ok {
			continue // it was filled just now
		}
		o.send(replica, message.Message{Kind: message.KindInstallState, Op: compare, Partition: s.partition, Term: s.num, Digests: s.records.Digests(), Group: s.meta.Group})
	}
}

// compared is a replica's side: its digests, or what the leader sent taken in.
func (s *Replica) compared(from message.Replica, n message.Message, o *Out) {
	if n.Ranges == nil {
		if len(digest.DifferingRanges(s.records.Digests(), n.Digests)) > 0 {
			o.send(from, message.Message{Kind: message.KindStateMismatch, Op: compare, Partition: s.partition, Term: n.Term, Digests: s.records.Digests()})
		} else if n.RequestID > 0 { // the leader waits for this copy
			s.put(o, Save{}, message.Envelope{Addr: from.Addr, Message: message.Message{Kind: message.KindStateInstalled, Op: compare, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID, To: from.Ident}})
		}
		return
	}
	theirs := map[string]message.Record{}
	var recs, newer []message.Record
	for _, r := range n.Records {
		theirs[r.Key] = r
		own, ok := s.records.Get(r.Key)
		switch {
		case !ok || own.Version.Less(r.Version) || own.Version.Term > n.Term || own.Version == r.Version && digest.Fingerprint(own) != digest.Fingerprint(r):
			s.records.Put(r)
			recs = append(recs, r)
		case r.Version.Less(own.Version):
			newer = append(newer, own)
		}
	}
	var gone []string
	floor := floorOf(s.records)
	for _, sp := range n.Ranges {
		for own := range s.records.InRange(sp) {
			if _, ok := theirs[own.Key]; ok {
				continue
			}
			if strings.HasPrefix(own.Key, FloorPrefix) && own.Version.Less(floor) || own.Version.Term > n.Term {
				gone = append(gone, own.Key)
			} else {
				newer = append(newer, own)
			}
		}
	}
	for _, k := range gone {
		s.records.Delete(k)
	}
	s.put(o, Save{Records: recs, Delete: gone}, message.Envelope{Addr: from.Addr, Message: message.Message{Kind: message.KindStateInstalled, Op: compare, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID, Records: newer, To: from.Ident}})
}

// mend sends a replica what the leader has in the ranges that differ.
func (s *Replica) mend(to message.Replica, digs []uint64, o *Out) {
	spans := digest.DifferingRanges(s.records.Digests(), digs)
	if s.mode != owning || len(s.writes) > 0 && s.behind[to.Ident] == nil || len(spans) == 0 {
		return
	}
	s.Repairs++
	o.send(to, message.Message{Kind: message.KindInstallState, Op: compare, Partition: s.partition, Term: s.num, RequestID: s.seq, Ranges: spans, Records: s.records.RecordsIn(spans), Group: s.meta.Group})
}

// reported looks at what a replica has that is newer than the leader's copy was.
// What the leader wrote since explains it; else its own copy is the bad one: it
// gives the leadership up, and the next term takes the newest of a majority.
func (s *Replica) reported(n message.Message, o *Out) {
	for _, r := range n.Records {
		cur, ok := s.records.Get(r.Key)
		if s.mode == owning && r.Version.Term <= s.num && (!ok || cur.Version.Less(r.Version)) && !(strings.HasPrefix(r.Key, FloorPrefix) && r.Version.Less(floorOf(s.records))) {
			s.drop(o)
			return
		}
	}
}
