package notary

import (
	"time"

	"mulleinmast/wire/form"
)

func (s *Seat) accept(now time.Duration, from form.Seat, n form.Note, o *Out) {
	if s.meta.Promised != n.Num || s.meta.To != n.From {
		if s.meta.Promised > n.Num {
			s.shed(now, from, n, o)
		} else if n.From != s.me.Ident {
			o.send(from, form.Note{Kind: form.Unfit, Part: s.part, Num: n.Num, Digs: s.book.Digs()})
		}
		return
	}
	if s.meta.Set != n.Num {
		o.send(from, form.Note{Kind: form.Unfit, Part: s.part, Num: n.Num, Digs: s.book.Digs()})
		return
	}
	if n.Group.Num > s.meta.Group.Num {
		s.meta.Group = n.Group
	}
	var recs []form.Rec
	for _, r := range n.Recs {
		if s.book.Take(r) {
			recs = append(recs, r)
		}
	}
	s.save(o, nil, recs, form.Send{Addr: from.Addr, Note: form.Note{Kind: form.Accepted, Part: s.part, Num: n.Num, Ref: n.No, To: from.Ident}})
}

func (s *Seat) accepted(now time.Duration, n form.Note, o *Out) {
	if s.mode != owning || n.Num != s.num {
		return
	}
	w := s.writes[n.Ref]
	if w == nil {
		return
	}
	w.acks[n.From] = true
	if !s.meta.Group.Quorum(func(id string) bool { return w.acks[id] }) {
		return
	}
	delete(s.writes, n.Ref)
	fate := Written
	if now >= s.lease {
		fate = Uncertain // it will most likely be found, but we may not say so
	}
	o.Done = append(o.Done, Done{Tag: w.tag, Fate: fate})
}

// Write starts a majority write; Out.Done tells its fate later. The records'
// versions are set here.
//
// Example: out, recs := s.Write(now, 17, []form.Rec{{Key: "plan/now", Val: b}})
func (s *Seat) Write(now time.Duration, tag uint64, recs []form.Rec) (o Out, set []form.Rec) {
	for i := range recs {
		s.seq++
		recs[i].Ver = form.Ver{Term: s.num, Seq: s.seq}
	}
	s.commit(now, tag, recs, &o)
	return o, recs
}

func (s *Seat) commit(now time.Duration, tag uint64, recs []form.Rec, o *Out) {
	s.seq++
	w := &write{tag: tag, recs: recs, acks: map[string]bool{}, sent: now}
	s.writes[s.seq] = w
	s.sendWrite(s.seq, w, o)
}

func (s *Seat) sendWrite(no uint64, w *write, o *Out) {
	for _, seat := range s.meta.Group.All() {
		if !w.acks[seat.Ident] {
			o.send(seat, form.Note{Kind: form.Accept, Part: s.part, Num: s.num, No: no, Recs: w.recs, Group: s.meta.Group})
		}
	}
}

// Seq is the version of the last record written under this ballot.
//
// Example: mark := s.Seq()
func (s *Seat) Seq() form.Ver { return form.Ver{Term: s.num, Seq: s.seq} }
