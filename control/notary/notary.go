// Package notary is one part's seat on a control daemon: it votes, stands for
// the owner's duty when that falls vacant, and as owner commits writes to a
// majority. It is a plain state machine: inputs in, notes and saves out.
//
// There is no log. A seat's state is a book of versioned records and the
// ballot ("set") under which that whole book was last made equal to an
// owner's. A candidate reads a majority, takes the books of the highest set,
// merges them by version, and fills every seat with the result under its own
// ballot before it serves.
package notary

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

// Config holds the bounds a seat works by.
type Config struct {
	Duty   time.Duration // length of the owner's duty lease
	Drift  float64       // most by which one clock runs faster than another
	Margin time.Duration // added to every wait on another's clock
	Beat   time.Duration // renew and resend interval
}

// Wait is how long a granter waits out a lease of the given length.
//
// Example: c.Wait(time.Second) > time.Second
func (c Config) Wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// Save is something to be synced to disk; the seat hears Saved(Ticket) when it is.
type Save struct {
	Ticket uint64
	Part   int
	Meta   Meta
	Wipe   []int // ranges whose other records are to be deleted
	Recs   []form.Rec
	Drop   []string // records below the floor
}

// FloorKey is the record that says up to which version the records under
// FloorOf are no longer kept. Every seat drops them on its own; one that comes
// back from a seat that was late is dropped again.
const (
	FloorKey = "floor/once"
	FloorOf  = "once/"
)

// Meta is a seat's durable state beside its records.
type Meta struct {
	Promised uint64
	To       string
	Tried    uint64 // highest ballot this seat ever stood with: none is used twice
	Set      uint64
	Group    form.Group
}

// Fate is what became of a write.
type Fate uint8

// The fates of a write.
const (
	Written   Fate = iota + 1
	Uncertain      // may or may not be found by the next owner
)

// Done tells the fate of the write with this tag.
type Done struct {
	Tag  uint64
	Fate Fate
}

// Out is what a step asks for.
type Out struct {
	Sends []form.Send
	Saves []Save
	Done  []Done
	Won   bool // became owner
	Lost  bool // is no longer owner
}

func (o *Out) send(to form.Seat, n form.Note) {
	n.To = to.Ident
	o.Sends = append(o.Sends, form.Send{Addr: to.Addr, Note: n})
}

type mode uint8

const (
	idle    mode = iota
	probing      // asking, without a promise, whether a ballot could be won
	asking
	filling
	owning
)

type vote struct {
	set  uint64
	digs []uint64
	recs []form.Rec
}

type write struct {
	tag  uint64
	recs []form.Rec
	acks map[string]bool
	sent time.Duration
}

// Seat is the state machine.
type Seat struct {
	cfg  Config
	part int
	me   form.Seat

	meta Meta
	book *survey.Book

	born    time.Duration
	support string
	till    time.Duration // until when we support nobody else
	hint    form.Own
	before  Meta // what our vote was bound to before its last promise

	tick   uint64
	after  map[uint64][]form.Send // sends held until the ticket is synced
	mode   mode
	num    uint64
	high   uint64
	askAt  time.Duration
	next   time.Duration
	votes  map[string]vote
	probed map[string]bool
	stuck  map[string]time.Duration // voters bound to another ballot, and since when
	filled map[string]bool
	fillAt map[string]time.Duration
	lease  time.Duration
	wonAt  time.Duration
	round  uint64
	rounds map[uint64]time.Duration
	yes    map[uint64]map[string]bool
	beatAt time.Duration
	seq    uint64
	writes map[uint64]*write
	quit   bool
}

// New makes a seat from what the disk held; a seat waits one full lease after
// its start before it promises anything.
//
// Example: s := notary.New(cfg, 0, me, meta, book, now, false)
func New(cfg Config, part int, me form.Seat, meta Meta, book *survey.Book, now time.Duration, fresh bool) *Seat {
	s := &Seat{cfg: cfg, part: part, me: me, meta: meta, book: book, born: now, after: map[uint64][]form.Send{},
		rounds: map[uint64]time.Duration{}, yes: map[uint64]map[string]bool{}, writes: map[uint64]*write{}}
	s.till = now + cfg.Wait(cfg.Duty)
	if fresh {
		s.till = now
	}
	s.next = now + s.delay()
	return s
}

// Owner tells whether the duty is held and its lease valid now.
//
// Example: if s.Owner(now) { grant() }
func (s *Seat) Owner(now time.Duration) bool { return s.mode == owning && now < s.lease }

// Num is the ballot under which this seat is owner or candidate.
//
// Example: mark.Term = s.Num()
func (s *Seat) Num() uint64 { return s.num }

// Lease is when the owner's duty lease ends.
//
// Example: left := s.Lease() - now
func (s *Seat) Lease() time.Duration { return s.lease }

// Since is when this seat knew that no older owner could act.
//
// Example: if now-s.Since() < swap { holdOrders() }
func (s *Seat) Since() time.Duration { return s.wonAt }

// Hint is the owner that this seat last supported.
//
// Example: own := s.Hint()
func (s *Seat) Hint() form.Own { return s.hint }

// Group is the part's voters as this seat knows them.
//
// Example: if s.Group().Num == 0 { standby() }
func (s *Seat) Group() form.Group { return s.meta.Group }

// Book is the seat's records; read it only while the seat is owner.
//
// Example: rec, ok := s.Book().Get(key)
func (s *Seat) Book() *survey.Book { return s.book }

// Meta is the durable state beside the records.
//
// Example: s.Meta().Set
func (s *Seat) Meta() Meta { return s.meta }

// Resign lets the duty lapse: nothing is renewed and nothing is taken on.
//
// Example: s.Resign()
func (s *Seat) Resign() { s.quit = true }

// delay spaces candidates out: the seat first in this part's order goes first.
func (s *Seat) delay() time.Duration {
	n := 0
	for _, o := range s.meta.Group.All() {
		if score(s.part, o.Addr) > score(s.part, s.me.Addr) {
			n++
		}
	}
	return time.Duration(n) * s.cfg.Duty / 4
}

func score(part int, addr string) uint64 {
	return survey.Print(form.Rec{Key: addr, Ver: form.Ver{Term: uint64(part), Seq: 7}})
}

func (s *Seat) save(o *Out, wipe []int, recs []form.Rec, then ...form.Send) {
	s.tick++
	o.Saves = append(o.Saves, Save{Ticket: s.tick, Part: s.part, Meta: s.meta, Wipe: wipe, Recs: recs, Drop: s.prune(recs)})
	if len(then) > 0 {
		s.after[s.tick] = then
	}
}

// prune drops what is below the floor, if the floor is among the new records.
func (s *Seat) prune(recs []form.Rec) (gone []string) {
	for _, r := range recs {
		var floor form.Ver
		if r.Key != FloorKey || json.Unmarshal(r.Val, &floor) != nil {
			continue
		}
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

// Seq is the version of the last record written under this ballot.
//
// Example: mark := s.Seq()
func (s *Seat) Seq() form.Ver { return form.Ver{Term: s.num, Seq: s.seq} }

// Saved tells the seat that a save is on disk.
//
// Example: out := s.Saved(save.Ticket)
func (s *Seat) Saved(ticket uint64) Out {
	o := Out{Sends: s.after[ticket]}
	delete(s.after, ticket)
	return o
}

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

// Hear takes a note from another seat (or from itself).
//
// Example: out := s.Hear(now, note)
func (s *Seat) Hear(now time.Duration, n form.Note) (o Out) {
	from := form.Seat{Ident: n.From, Addr: n.Addr}
	switch n.Kind {
	case form.Ask:
		s.asked(now, from, n, &o)
	case form.Promise:
		s.promise(now, n, &o)
	case form.Refuse:
		s.refused(now, n, &o)
	case form.Fill:
		s.fill(from, n, &o)
	case form.Filled:
		if s.standing(n.Num) {
			s.filled[n.From] = true
			s.settle(now, &o)
		}
	case form.Unfit:
		if s.standing(n.Num) {
			delete(s.filled, n.From)
			s.sendFill(now, from, n.Digs, &o)
		}
	case form.Accept:
		s.accept(now, from, n, &o)
	case form.Accepted:
		s.accepted(now, n, &o)
	case form.Support:
		if s.meta.Promised == n.Num && s.meta.To == n.From {
			s.support, s.till = n.From, max(s.till, now+s.cfg.Wait(s.cfg.Duty))
			s.hint = form.Own{Part: s.part, Num: n.Num, Seat: from}
			o.send(from, form.Note{Kind: form.Supported, Part: s.part, Num: n.Num, Ref: n.No})
		} else {
			s.refuse(now, from, n, &o)
		}
	case form.Void:
		// Nobody can ever be owner under a ballot that its candidate gave up, so
		// the vote need not stay bound to it.
		if s.meta.Promised == n.Num && s.meta.To == n.From && s.before.Promised < n.Num {
			s.meta.Promised, s.meta.To = s.before.Promised, s.before.To
			s.save(&o, nil, nil)
		}
	case form.Supported:
		s.supported(now, n)
	}
	return o
}

func (s *Seat) standing(num uint64) bool {
	return (s.mode == filling || s.mode == owning) && s.num == num
}

func (s *Seat) refuse(now time.Duration, from form.Seat, n form.Note, o *Out) {
	o.send(from, form.Note{Kind: form.Refuse, Part: s.part, Num: n.Num, Set: s.meta.Promised, Group: s.meta.Group, Len: int64(max(0, s.till-now)), Hint: s.hint.Seat})
}

func (s *Seat) asked(now time.Duration, from form.Seat, n form.Note, o *Out) {
	own := s.meta.Group
	switch {
	case n.Group.Num > own.Num && n.Group.Has(s.me.Ident):
		s.join(now, n.Group)
		own = n.Group
	case own.Num == 0 || own.Num > n.Group.Num || !own.Has(s.me.Ident) || !sameSeats(own, n.Group):
		s.refuse(now, from, n, o)
		return
	}
	again := n.Num == s.meta.Promised && n.From == s.meta.To
	if n.Op == probe {
		if (now >= s.till || s.support == n.From) && n.Num > s.meta.Promised {
			o.send(from, form.Note{Kind: form.Promise, Op: probe, Part: s.part, Num: n.Num, Group: form.Group{Num: own.Num}})
		} else {
			s.refuse(now, from, n, o)
		}
		return
	}
	if now < s.till && s.support != n.From || n.Num <= s.meta.Promised && !again {
		s.refuse(now, from, n, o)
		return
	}
	if !again {
		s.before = s.meta
	}
	if n.From == s.me.Ident {
		s.meta.Tried = n.Num
	}
	s.meta.Promised, s.meta.To = n.Num, n.From
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
	rep := form.Note{Kind: form.Promise, Part: s.part, Num: n.Num, Set: s.meta.Set, Digs: s.book.Digs(), Recs: recs, Group: s.meta.Group, To: from.Ident}
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

func (s *Seat) refused(now time.Duration, n form.Note, o *Out) {
	s.high = max(s.high, n.Set)
	if n.Group.Num > s.meta.Group.Num && n.Num == s.num {
		s.meta.Group = n.Group
		s.save(o, nil, nil)
		if s.mode == asking || s.mode == probing {
			s.drop(o)
		}
	}
	if n.Num == s.num && (s.mode == asking || s.mode == probing) {
		s.next = max(s.next, now+min(time.Duration(n.Len), s.cfg.Wait(s.cfg.Duty))+s.delay()/2+s.cfg.Beat/4)
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
	// Our own voice must be among them: the owner reads from its own book.
	if _, own := s.votes[s.me.Ident]; !own || !s.meta.Group.Quorum(func(id string) bool { _, ok := s.votes[id]; return ok }) {
		return
	}
	// A majority supports nobody else, so no older owner's lease stands.
	s.wonAt = now
	s.mode = filling
	s.filled, s.fillAt = map[string]bool{}, map[string]time.Duration{}
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
	if s.meta.Promised > n.Num || s.meta.Promised == n.Num && s.meta.To != n.From || !n.Group.Has(s.me.Ident) || n.From == s.me.Ident {
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
		s.meta.Promised, s.meta.To = n.Num, n.From
		s.drop(o)
	}
	done := form.Send{Addr: from.Addr, Note: form.Note{Kind: form.Filled, Part: s.part, Num: n.Num, To: from.Ident}}
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

// settle turns a candidate into the owner once a majority holds its book.
func (s *Seat) settle(now time.Duration, o *Out) {
	if s.mode == filling && s.meta.Group.Quorum(func(id string) bool { return s.filled[id] }) && now < s.lease {
		s.mode = owning
		s.hint = form.Own{Part: s.part, Num: s.num, Seat: s.me}
		o.Won = true
	}
}

func (s *Seat) accept(now time.Duration, from form.Seat, n form.Note, o *Out) {
	if s.meta.Promised != n.Num || s.meta.To != n.From {
		if s.meta.Promised > n.Num {
			s.refuse(now, from, n, o)
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

func (s *Seat) supported(now time.Duration, n form.Note) {
	if n.Num == s.num {
		delete(s.stuck, n.From)
	}
	at, ok := s.rounds[n.Ref]
	if !ok || n.Num != s.num {
		return
	}
	if s.yes[n.Ref] == nil {
		s.yes[n.Ref] = map[string]bool{}
	}
	s.yes[n.Ref][n.From] = true
	if s.meta.Group.Quorum(func(id string) bool { return s.yes[n.Ref][id] }) {
		// A lease that has lapsed is not revived: others may have been promised since.
		if now < s.lease {
			s.lease = max(s.lease, at+s.cfg.Duty)
		}
		delete(s.rounds, n.Ref)
		delete(s.yes, n.Ref)
	}
}

func (s *Seat) beat(now time.Duration, o *Out) {
	s.beatAt = now
	s.round++
	s.rounds[s.round] = now
	for r := range s.rounds {
		if r+8 < s.round {
			delete(s.rounds, r)
			delete(s.yes, r)
		}
	}
	for _, seat := range s.meta.Group.All() {
		o.send(seat, form.Note{Kind: form.Support, Part: s.part, Num: s.num, No: s.round})
	}
}

// Tick lets time pass.
//
// Example: out := s.Tick(now)
func (s *Seat) Tick(now time.Duration) (o Out) {
	for _, since := range s.stuck {
		if s.mode == owning && now-since > 16*s.cfg.Duty && len(s.writes) == 0 {
			s.drop(&o)
			return o
		}
	}
	if s.mode == owning && now >= s.lease || s.mode == filling && now >= s.lease {
		s.drop(&o)
		s.next = now + s.cfg.Duty/4 + s.delay()
		return o
	}
	if s.quit || !s.meta.Group.Has(s.me.Ident) {
		return o
	}
	switch s.mode {
	case idle:
		if now >= s.till && now >= s.next {
			s.probe(now, &o)
		} else if now < s.till {
			s.next = s.till + s.delay()
		}
	case probing, asking:
		if now-s.askAt > s.cfg.Duty/2 {
			s.drop(&o)
			s.next = max(s.next, now+s.delay()+s.cfg.Beat)
		}
	case filling, owning:
		if now-s.beatAt >= s.cfg.Beat {
			s.beat(now, &o)
		}
		for _, seat := range s.meta.Group.All() {
			if !s.filled[seat.Ident] && now-s.fillAt[seat.Ident] >= 2*s.cfg.Beat {
				s.sendFill(now, seat, nil, &o)
			}
		}
		for _, no := range slices.Sorted(maps.Keys(s.writes)) {
			w := s.writes[no]
			if now-w.sent >= s.cfg.Beat {
				w.sent = now
				s.sendWrite(no, w, &o)
			}
		}
	}
	return o
}

const probe = "probe"

// probe asks whether a ballot could be won now, which binds nobody, so that a
// seat that can't win doesn't disturb the owner.
func (s *Seat) probe(now time.Duration, o *Out) {
	s.num = max(s.high, s.meta.Promised, s.meta.Tried, s.num) + 1
	s.mode, s.askAt, s.probed = probing, now, map[string]bool{}
	for _, seat := range s.meta.Group.All() {
		o.send(seat, form.Note{Kind: form.Ask, Op: probe, Part: s.part, Num: s.num, Group: s.meta.Group})
	}
}

func (s *Seat) stand(now time.Duration, o *Out) {
	if s.meta.Promised >= s.num { // we were asked for that ballot meanwhile
		s.drop(o)
		return
	}
	s.mode, s.askAt, s.stuck = asking, now, map[string]time.Duration{}
	s.votes = map[string]vote{}
	digs := s.book.Digs()
	for _, seat := range s.meta.Group.All() {
		o.send(seat, form.Note{Kind: form.Ask, Part: s.part, Num: s.num, Digs: digs, Group: s.meta.Group})
	}
}
