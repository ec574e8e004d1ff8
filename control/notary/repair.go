package notary

import (
	"strings"
	"time"

	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

// Copies of one group that hold the same ballot are compared in the
// background, at a steady low rate and not beside writes: the owner sends its
// digests, a seat whose copy differs sends its own, the owner sends what it
// has in the ranges that differ. The newer version wins. Nothing of this
// counts as a vote, and no copy is raised above the owner's ballot.

const compare = "compare"

// every is how many duty leases pass between two looks at one seat, and how
// many a seat may stay bound to a ballot above the owner's, with no copy kept
// up, before the owner takes a higher one.
const every = 8

func (s *Seat) repair(now time.Duration, o *Out) {
	if s.mode != owning || len(s.writes) > 0 {
		return
	}
	for _, seat := range s.meta.Group.All() {
		if !s.filled[seat.Ident] || seat.Ident == s.me.Ident {
			continue
		}
		if at, ok := s.seenAt[seat.Ident]; ok && now-at < every*s.cfg.Duty {
			continue
		} else if s.seenAt[seat.Ident] = now; !ok {
			continue // it was filled just now
		}
		o.send(seat, form.Note{Kind: form.Fill, Op: compare, Part: s.part, Num: s.num, Digs: s.book.Digs(), Group: s.meta.Group})
	}
}

// compared is a seat's side: its digests, or what the owner sent taken in.
func (s *Seat) compared(from form.Seat, n form.Note, o *Out) {
	if n.Spans == nil {
		if len(survey.Differ(s.book.Digs(), n.Digs)) > 0 {
			o.send(from, form.Note{Kind: form.Unfit, Op: compare, Part: s.part, Num: n.Num, Digs: s.book.Digs()})
		}
		return
	}
	theirs := map[string]form.Rec{}
	var recs, newer []form.Rec
	for _, r := range n.Recs {
		theirs[r.Key] = r
		own, ok := s.book.Get(r.Key)
		switch {
		case !ok || own.Ver.Less(r.Ver) || own.Ver.Term > n.Num || own.Ver == r.Ver && survey.Print(own) != survey.Print(r):
			s.book.Put(r)
			recs = append(recs, r)
		case r.Ver.Less(own.Ver):
			newer = append(newer, own)
		}
	}
	var gone []string
	floor := floorOf(s.book)
	for _, sp := range n.Spans {
		for own := range s.book.In(sp) {
			if _, ok := theirs[own.Key]; ok {
				continue
			}
			if strings.HasPrefix(own.Key, FloorOf) && own.Ver.Less(floor) || own.Ver.Term > n.Num {
				gone = append(gone, own.Key)
			} else {
				newer = append(newer, own)
			}
		}
	}
	for _, k := range gone {
		s.book.Drop(k)
	}
	done := form.Send{Addr: from.Addr, Note: form.Note{Kind: form.Filled, Op: compare, Part: s.part, Num: n.Num, Recs: newer, To: from.Ident}}
	s.tick++
	o.Saves = append(o.Saves, Save{Ticket: s.tick, Part: s.part, Meta: s.meta, Recs: recs, Drop: gone})
	s.after[s.tick] = []form.Send{done}
}

// mend sends a seat what the owner has in the ranges that differ.
func (s *Seat) mend(to form.Seat, digs []uint64, o *Out) {
	spans := survey.Differ(s.book.Digs(), digs)
	if s.mode != owning || len(s.writes) > 0 || len(spans) == 0 {
		return
	}
	var recs []form.Rec
	for _, sp := range spans {
		for r := range s.book.In(sp) {
			recs = append(recs, r)
		}
	}
	s.Mended++
	o.send(to, form.Note{Kind: form.Fill, Op: compare, Part: s.part, Num: s.num, Spans: spans, Recs: recs, Group: s.meta.Group})
}

// reported looks at what a seat has that is newer than the owner's copy was.
// What the owner wrote since explains it; else its own copy is the bad one: it
// gives the duty up, and the next ballot takes the newest of a majority.
func (s *Seat) reported(n form.Note, o *Out) {
	for _, r := range n.Recs {
		cur, ok := s.book.Get(r.Key)
		if s.mode == owning && r.Ver.Term <= s.num && (!ok || cur.Ver.Less(r.Ver)) && !(strings.HasPrefix(r.Key, FloorOf) && r.Ver.Less(floorOf(s.book))) {
			s.drop(o)
			return
		}
	}
}
