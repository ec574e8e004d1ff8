package notary

import (
	"time"

	"mulleinmast/wire/form"
)

// Found makes the first group of a fleet; only a seat without a group takes it.
//
// Example: out := s.Found(now, form.Group{Num: 1, Seats: three})
func (s *Seat) Found(now time.Duration, g form.Group) (o Out) {
	if s.meta.Group.Num == 0 && g.Has(s.me.Ident) {
		s.join(now, g)
		s.save(&o, nil, nil)
		// Tell the others of the group, so that each stands for the parts where
		// it comes first and the duties are spread from the start.
		for _, seat := range g.Seats {
			if seat.Ident != s.me.Ident {
				o.send(seat, form.Note{Kind: form.Ask, Op: probe, Part: s.part, Group: g})
			}
		}
	}
	return o
}

func (s *Seat) join(now time.Duration, g form.Group) {
	first := s.meta.Group.Num == 0
	s.meta.Group = g
	if first {
		s.next = max(s.next, now+s.delay())
	}
}

// Regroup moves the owner's group one step towards the wanted seats: first
// one seat changes under a majority of both groups, then the old group goes.
// It returns false while a step is under way or nothing is to be done.
//
// Example: out, ok := s.Regroup(now, tag, wanted)
func (s *Seat) Regroup(now time.Duration, tag uint64, want []form.Seat) (o Out, ok bool) {
	if !s.Owner(now) || len(s.writes) > 0 {
		return o, false
	}
	g := s.meta.Group
	if len(g.Next) > 0 {
		for _, seat := range g.Next {
			if !s.filled[seat.Ident] {
				return o, false
			}
		}
		g = form.Group{Num: g.Num + 1, Seats: g.Next}
	} else {
		out, in := -1, form.Seat{}
		for i, seat := range g.Seats {
			if !has(want, seat.Ident) {
				out = i
			}
		}
		for _, seat := range want {
			if !g.Has(seat.Ident) {
				in = seat
			}
		}
		if out < 0 || in.Ident == "" {
			return o, false
		}
		next := append([]form.Seat(nil), g.Seats...)
		next[out] = in
		g = form.Group{Num: g.Num + 1, Seats: g.Seats, Next: next}
	}
	s.meta.Group = g
	s.save(&o, nil, nil)
	for _, seat := range g.All() {
		if !s.filled[seat.Ident] {
			s.sendFill(now, seat, nil, &o)
		}
	}
	s.commit(now, tag, nil, &o)
	return o, true
}

func has(list []form.Seat, id string) bool { return form.Group{Seats: list}.Has(id) }
