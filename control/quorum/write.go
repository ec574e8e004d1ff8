package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

func (s *Replica) accept(now time.Duration, from message.Replica, n message.Message, o *Out) {
	if s.meta.VotedTerm != n.Term || s.meta.VotedFor != n.From {
		if s.meta.VotedTerm > n.Term {
			s.refuse(now, from, n, o)
		} else if n.From != s.me.Ident {
			o.send(from, message.Message{Kind: message.KindStateMismatch, Partition: s.partition, Term: n.Term, Digests: s.records.Digests()})
		}
		return
	}
	if s.meta.LastComplete != n.Term || s.meta.Incomplete {
		o.send(from, message.Message{Kind: message.KindStateMismatch, Partition: s.partition, Term: n.Term, Digests: s.records.Digests()})
		return
	}
	s.adopt(n.Group)
	var recs []message.Record
	for _, r := range n.Records {
		if s.records.PutNewer(r) {
			recs = append(recs, r)
		}
	}
	s.save(o, nil, recs, message.Envelope{Addr: from.Addr, Message: message.Message{Kind: message.KindReplicated, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID, To: from.Ident}})
}

func (s *Replica) accepted(now time.Duration, n message.Message, o *Out) {
	if s.mode != owning || n.Term != s.num {
		return
	}
	w := s.writes[n.ResponseTo]
	if w == nil {
		s.late(n.From, n.ResponseTo)
		return
	}
	w.acks[n.From] = true
	if !s.meta.Group.HasQuorum(func(id string) bool { return w.acks[id] }) {
		return
	}
	s.settled(n.ResponseTo, w)
	fate := Committed
	if now >= s.lease {
		fate = Uncertain // it will most likely be found, but we may not say so
	}
	o.Results = append(o.Results, WriteResult{Tag: w.tag, Outcome: fate})
}

// Write starts a majority write; Out.Done tells its fate later. The records'
// versions are set here.
//
// Example: out, recs := s.Write(now, 17, []message.Record{{Key: "plan/now", Val: b}})
func (s *Replica) Write(now time.Duration, tag uint64, recs []message.Record) (o Out, set []message.Record) {
	for i := range recs {
		s.seq++
		recs[i].Version = message.Version{Term: s.num, Seq: s.seq}
	}
	s.commit(now, tag, recs, &o)
	s.sign(&o)
	return o, recs
}

func (s *Replica) commit(now time.Duration, tag uint64, recs []message.Record, o *Out) {
	s.seq++
	w := &write{tag: tag, recs: recs, acks: map[string]bool{}, sent: now}
	s.writes[s.seq] = w
	s.sendWrite(s.seq, w, o)
}

func (s *Replica) sendWrite(no uint64, w *write, o *Out) {
	for _, replica := range s.peers() {
		if !w.acks[replica.Ident] {
			o.send(replica, message.Message{Kind: message.KindReplicate, Partition: s.partition, Term: s.num, RequestID: no, Records: w.recs, Group: s.meta.Group})
		}
	}
}

// LastWritten is the version of the last record written under this term.
//
// Example: mark := s.LastWritten()
func (s *Replica) LastWritten() message.Version { return message.Version{Term: s.num, Seq: s.seq} }
