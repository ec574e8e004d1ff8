package notary

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

func (s *Seat) asked(now time.Duration, from form.Seat, n form.Note, o *Out) {
	own := s.meta.Group
	switch {
	case !n.Group.Has(n.From): // only a seat stands
		s.shed(now, from, n, o)
		return
	case n.Group.Num > own.Num && n.Group.Has(s.me.Ident):
		s.join(now, n.Group)
		own = n.Group
	case own.Num == 0 || own.Num > n.Group.Num || !own.Has(s.me.Ident) || !sameSeats(own, n.Group):
		s.shed(now, from, n, o)
		return
	}
	again := n.Num == s.meta.Promised && n.From == s.meta.To
	if n.Op == probe {
		if s.may(now, n) && n.Num > s.meta.Promised {
			o.send(from, form.Note{Kind: form.Promise, Op: probe, Part: s.part, Num: n.Num, Group: form.Group{Num: own.Num}})
		} else {
			s.shed(now, from, n, o)
		}
		return
	}
	if !s.may(now, n) || n.Num <= s.meta.Promised && !again {
		s.shed(now, from, n, o)
		return
	}
	if !again {
		s.before, s.undo = s.meta, n.Num
	}
	if n.From == s.me.Ident {
		s.meta.Tried = n.Num
	}
	if now < s.till && s.support != n.From || now < s.till && s.over() {
		s.quiet = max(s.quiet, s.till)
	}
	s.meta.Promised, s.meta.To, s.meta.ToEpoch = n.Num, n.From, n.Epoch
	s.support, s.till = n.From, now+s.cfg.Wait(s.cfg.Duty)
	if n.From != s.me.Ident {
		s.drop(o)
	}
	var recs []form.Rec
	for _, sp := range survey.Differ(n.Digs, s.book.Digs()) {
		for r := range s.book.In(sp) {
			recs = append(recs, r)
		}
	}
	rep := form.Note{Kind: form.Promise, Part: s.part, Num: n.Num, Set: s.meta.Set, Digs: s.book.Digs(), Recs: recs, Group: s.meta.Group, To: from.Ident, Len: int64(max(0, s.quiet-now))}
	s.save(o, nil, nil, form.Send{Addr: from.Addr, Note: rep})
}

func sameSeats(a, b form.Group) bool {
	if a.Num != b.Num || len(a.Seats) != len(b.Seats) || len(a.Next) != len(b.Next) {
		return false
	}
	for i := range a.Seats {
		if a.Seats[i].Ident != b.Seats[i].Ident {
			return false
		}
	}
	for i := range a.Next {
		if a.Next[i].Ident != b.Next[i].Ident {
			return false
		}
	}
	return true
}

// drop ends candidacy or duty; writes under way become uncertain.
func (s *Seat) drop(o *Out) {
	if s.mode == owning {
		o.Lost = true
		// What was granted under this lease must lapse before we stand again.
		s.next = max(s.next, s.lease+s.cfg.Duty/4)
	}
	if s.mode == asking {
		for _, seat := range s.meta.Group.All() {
			o.send(seat, form.Note{Kind: form.Void, Part: s.part, Num: s.num})
		}
	}
	for _, no := range slices.Sorted(maps.Keys(s.writes)) {
		w := s.writes[no]
		o.Done = append(o.Done, Done{Tag: w.tag, Fate: Uncertain})
	}
	s.writes = map[uint64]*write{}
	s.mode, s.votes, s.filled, s.stuck = idle, nil, nil, nil
	s.rounds, s.yes = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
}

func (s *Seat) shed(now time.Duration, from form.Seat, n form.Note, o *Out) {
	o.send(from, form.Note{Kind: form.Refuse, Part: s.part, Num: n.Num, Set: s.meta.Promised, Group: s.meta.Group, Len: int64(s.left(now, n)), Hint: s.hint.Seat})
}

// may tells whether a candidate can be promised a ballot now. One that would
// not write nothing while leases stand, as an older build's, waits them out.
func (s *Seat) may(now time.Duration, n form.Note) bool {
	return now >= s.till || s.support == n.From || s.over() && time.Duration(n.Len) >= s.till-now
}

// left is how long this seat is bound still, and not to the one that asks.
func (s *Seat) left(now time.Duration, n form.Note) time.Duration {
	if s.may(now, n) {
		return 0
	}
	return s.till - now
}

func (s *Seat) shedBy(now time.Duration, n form.Note, o *Out) {
	s.high = max(s.high, n.Set)
	if n.Group.Num > s.meta.Group.Num && n.Num == s.num {
		s.meta.Group = n.Group
		s.save(o, nil, nil)
		if s.mode == asking || s.mode == probing {
			s.drop(o)
		}
	}
	if n.Num == s.num && (s.mode == asking || s.mode == probing) {
		s.next = max(s.next, now+min(time.Duration(n.Len), s.cfg.Wait(s.cfg.Duty))+s.delay()/2+s.cfg.Margin)
	}
	// One voter bound to another ballot does not end a duty that a majority
	// supports; if it stays bound, Tick takes a higher ballot.
	if n.Num == s.num && n.Set >= s.num && s.mode == owning {
		if _, ok := s.stuck[n.From]; !ok {
			s.stuck[n.From] = now
		}
	}
}

func (s *Seat) promise(now time.Duration, n form.Note, o *Out) {
	if n.Num != s.num || n.Group.Num != s.meta.Group.Num {
		return
	}
	if s.mode == probing && n.Op == probe {
		s.probed[n.From] = true
		if s.meta.Group.Quorum(func(id string) bool { return s.probed[id] }) {
			s.stand(now, o)
		}
		return
	}
	if s.mode != asking || n.Op == probe {
		return
	}
	s.votes[n.From] = vote{set: n.Set, digs: n.Digs, recs: n.Recs}
	if n.Len > 0 {
		s.calm = max(s.calm, now+s.cfg.Wait(min(time.Duration(n.Len), s.cfg.Wait(s.cfg.Duty))))
	}
	// Our own voice must be among them: the owner reads from its own book.
	if _, own := s.votes[s.me.Ident]; !own || !s.meta.Group.Quorum(func(id string) bool { _, ok := s.votes[id]; return ok }) {
		return
	}
	// A majority supports nobody else, so no older owner's lease stands.
	s.wonAt = now
	s.mode = filling
	s.filled, s.fillAt, s.seenAt = map[string]bool{}, map[string]time.Duration{}, map[string]time.Duration{}
	s.lease = s.askAt + s.cfg.Duty
	s.merge(o)
	for _, seat := range s.meta.Group.All() {
		s.sendFill(now, seat, s.votes[seat.Ident].digs, o)
	}
	s.beat(now, o)
}

// merge makes this seat's book the newest that the majority showed.
func (s *Seat) merge(o *Out) {
	top := uint64(0)
	for _, v := range s.votes {
		top = max(top, v.set)
	}
	own := s.book.Digs()
	fresh := survey.NewBook()
	for _, v := range s.votes {
		if v.set != top {
			continue
		}
		diff := map[int]bool{}
		for _, sp := range survey.Differ(own, v.digs) {
			diff[sp] = true
		}
		for sp := 0; sp < survey.Spans; sp++ {
			if !diff[sp] {
				for r := range s.book.In(sp) {
					fresh.Take(r)
				}
			}
		}
		for _, r := range v.recs {
			if diff[survey.Span(r.Key)] {
				fresh.Take(r)
			}
		}
	}
	wipe := survey.Differ(own, fresh.Digs())
	var recs []form.Rec
	for _, sp := range wipe {
		for r := range fresh.In(sp) {
			recs = append(recs, r)
		}
	}
	s.book = fresh
	s.meta.Set = s.num
	s.seq = 0
	self := form.Note{Kind: form.Filled, Part: s.part, Num: s.num, To: s.me.Ident}
	s.save(o, wipe, recs, form.Send{Addr: s.me.Addr, Note: self})
}

// settle turns a candidate into the owner once a majority holds its book.
func (s *Seat) settle(now time.Duration, o *Out) {
	if s.mode == filling && s.meta.Group.Quorum(func(id string) bool { return s.filled[id] }) && now < s.lease {
		s.mode = owning
		s.hint = form.Own{Part: s.part, Num: s.num, Seat: s.me}
		o.Won = true
	}
}

const probe = "probe"

// probe asks whether a ballot could be won now, which binds nobody, so that a
// seat that can't win doesn't disturb the owner.
func (s *Seat) probe(now time.Duration, o *Out) {
	s.num = max(s.high, s.meta.Promised, s.meta.Tried, s.num) + 1
	s.mode, s.askAt, s.probed = probing, now, map[string]bool{}
	for _, seat := range s.meta.Group.All() {
		o.send(seat, form.Note{Kind: form.Ask, Op: probe, Part: s.part, Num: s.num, Group: s.meta.Group, Len: s.wait()})
	}
}

// wait is for how long at most this seat would write nothing as owner.
func (s *Seat) wait() int64 { return int64(s.cfg.Wait(s.cfg.Duty)) }

func (s *Seat) stand(now time.Duration, o *Out) {
	if s.meta.Promised >= s.num { // we were asked for that ballot meanwhile
		s.drop(o)
		return
	}
	s.mode, s.askAt, s.stuck = asking, now, map[string]time.Duration{}
	s.calm = 0
	s.votes = map[string]vote{}
	digs := s.book.Digs()
	for _, seat := range s.meta.Group.All() {
		o.send(seat, form.Note{Kind: form.Ask, Part: s.part, Num: s.num, Digs: digs, Group: s.meta.Group, Len: s.wait()})
	}
}

// delay spaces candidates out: the seat first in this part's order goes first.
func (s *Seat) delay() time.Duration {
	n := 0
	for _, o := range s.meta.Group.All() {
		if score(s.part, o.Addr) > score(s.part, s.me.Addr) {
			n++
		}
	}
	return time.Duration(n) * s.cfg.Duty / 12
}

func score(part int, addr string) uint64 {
	return survey.Print(form.Rec{Key: addr, Ver: form.Ver{Term: uint64(part), Seq: 7}})
}
