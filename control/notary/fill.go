package notary

import (
	"encoding/json"
	"strings"
	"time"

	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

// sendFill brings a seat whose book has the given digests to this one.
func (s *Seat) sendFill(now time.Duration, to form.Seat, digs []uint64, o *Out) {
	if to.Ident == s.me.Ident {
		return
	}
	s.fillAt[to.Ident] = now
	var spans []int
	var recs []form.Rec
	if digs != nil { // without them this only asks for them
		spans = survey.Differ(s.book.Digs(), digs)
	}
	for _, sp := range spans {
		for r := range s.book.In(sp) {
			recs = append(recs, r)
		}
	}
	o.send(to, form.Note{Kind: form.Fill, Part: s.part, Num: s.num, Digs: digs, Spans: spans, Recs: recs, Group: s.meta.Group})
}

// fill makes this seat's book equal to the owner's. Ranges are replaced whole
// only when the book is still the one the owner saw and was not yet brought
// to this ballot; later fills only add what is newer.
func (s *Seat) fill(from form.Seat, n form.Note, o *Out) {
	if s.meta.Promised > n.Num || s.meta.Promised == n.Num && s.meta.To != n.From || !n.Group.Has(s.me.Ident) || !n.Group.Has(n.From) || n.From == s.me.Ident {
		return
	}
	if n.Group.Num > s.meta.Group.Num {
		s.meta.Group = n.Group
	}
	if n.Group.Num < s.meta.Group.Num {
		return
	}
	if s.meta.Promised < n.Num {
		// A seat that missed the ballot joins it: a majority has settled it.
		s.meta.Promised, s.meta.To, s.meta.ToEpoch = n.Num, n.From, n.Epoch
		s.drop(o)
	}
	done := form.Send{Addr: from.Addr, Note: form.Note{Kind: form.Filled, Part: s.part, Num: n.Num, To: from.Ident}}
	if s.meta.Set == n.Num && n.Op == compare {
		s.compared(from, n, o)
		return
	}
	if s.meta.Set == n.Num {
		var recs []form.Rec
		for _, r := range n.Recs {
			if s.book.Take(r) {
				recs = append(recs, r)
			}
		}
		s.save(o, nil, recs, done)
		return
	}
	if len(survey.Differ(s.book.Digs(), n.Digs)) > 0 {
		o.send(from, form.Note{Kind: form.Unfit, Part: s.part, Num: n.Num, Digs: s.book.Digs()})
		return
	}
	for _, sp := range n.Spans {
		var gone []string
		for r := range s.book.In(sp) {
			gone = append(gone, r.Key)
		}
		for _, k := range gone {
			s.book.Drop(k)
		}
	}
	for _, r := range n.Recs {
		s.book.Put(r)
	}
	s.meta.Set = n.Num
	s.save(o, n.Spans, n.Recs, done)
}

// prune drops what is below the floor, if the floor is among the new records.
func (s *Seat) prune(recs []form.Rec) (gone []string) {
	for _, r := range recs {
		if r.Key != FloorKey {
			continue
		}
		floor := floorOf(s.book)
		for x := range s.book.All() {
			if strings.HasPrefix(x.Key, FloorOf) && x.Ver.Less(floor) {
				gone = append(gone, x.Key)
			}
		}
		for _, k := range gone {
			s.book.Drop(k)
		}
	}
	return gone
}

func (s *Seat) save(o *Out, wipe []int, recs []form.Rec, then ...form.Send) {
	s.tick++
	o.Saves = append(o.Saves, Save{Ticket: s.tick, Part: s.part, Meta: s.meta, Wipe: wipe, Recs: recs, Drop: s.prune(recs)})
	if len(then) > 0 {
		s.after[s.tick] = then
	}
}

// Saved tells the seat that a save is on disk.
//
// Example: out := s.Saved(save.Ticket)
func (s *Seat) Saved(ticket uint64) Out {
	o := Out{Sends: s.after[ticket]}
	delete(s.after, ticket)
	return o
}

// floorOf is the version below which once keys are no longer kept.
func floorOf(b *survey.Book) (v form.Ver) {
	if r, ok := b.Get(FloorKey); ok && json.Unmarshal(r.Val, &v) != nil {
		return form.Ver{}
	}
	return v
}
