package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

func (s *Replica) accept(now time.Duration, from message.Replica, n message.Message, o *Out) {
	if s.meta.Promised != n.Num || s.meta.To != n.From {
		if s.meta.Promised > n.Num {
			s.refuse(now, from, n, o)
		} else if n.From != s.me.Ident {
			o.send(from, message.Message{Kind: message.Unfit, Partition: s.partition, Num: n.Num, Digs: s.records.Digs()})
		}
		return
	}
	if s.meta.LastComplete != n.Num || s.meta.Short {
		o.send(from, message.Message{Kind: message.Unfit, Partition: s.partition, Num: n.Num, Digs: s.records.Digs()})
		return
	}
	s.adopt(n.Group)
	var recs []message.Rec
	for _, r := range n.Recs {
		if s.records.Take(r) {
			recs = append(recs, r)
		}
	}
	s.save(o, nil, recs, message.Send{Addr: from.Addr, Message: message.Message{Kind: message.Accepted, Partition: s.partition, Num: n.Num, Ref: n.No, To: from.Ident}})
}

func (s *Replica) accepted(now time.Duration, n message.Message, o *Out) {
	if s.mode != owning || n.Num != s.num {
		return
	}
	w := s.writes[n.Ref]
	if w == nil {
		s.late(n.From, n.Ref)
		return
	}
	w.acks[n.From] = true
	if !s.meta.Group.Quorum(func(id string) bool { return w.acks[id] }) {
		return
	}
	s.settled(n.Ref, w)
	fate := Written
	if now >= s.lease {
		fate = Uncertain // it will most likely be found, but we may not say so
	}
	o.Done = append(o.Done, Done{Tag: w.tag, Fate: fate})
}

// Write starts a majority write; Out.Done tells its fate later. The records'
// versions are set here.
//
// Example: out, recs := s.Write(now, 17, []message.Rec{{Key: "plan/now", Val: b}})
func (s *Replica) Write(now time.Duration, tag uint64, recs []message.Rec) (o Out, set []message.Rec) {
	for i := range recs {
		s.seq++
		recs[i].Ver = message.Ver{Term: s.num, Seq: s.seq}
	}
	s.commit(now, tag, recs, &o)
	s.sign(&o)
	return o, recs
}

func (s *Replica) commit(now time.Duration, tag uint64, recs []message.Rec, o *Out) {
	s.seq++
	w := &write{tag: tag, recs: recs, acks: map[string]bool{}, sent: now}
	s.writes[s.seq] = w
	s.sendWrite(s.seq, w, o)
}

func (s *Replica) sendWrite(no uint64, w *write, o *Out) {
	for _, replica := range s.peers() {
		if !w.acks[replica.Ident] {
			o.send(replica, message.Message{Kind: message.Accept, Partition: s.partition, Num: s.num, No: no, Recs: w.recs, Group: s.meta.Group})
		}
	}
}

// Seq is the version of the last record written under this term.
//
// Example: mark := s.Seq()
func (s *Replica) Seq() message.Ver { return message.Ver{Term: s.num, Seq: s.seq} }
