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
	ToEpoch  uint64 // the life of To that was promised
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
	till    time.Duration     // until when we support nobody else
	quiet   time.Duration     // until when leases under an earlier owner may stand
	lives   map[string]uint64 // the latest life of each seat that was heard
	calm    time.Duration     // as owner: nothing is written before this
	hint    form.Own
	before  Meta   // what our vote was bound to before its last promise
	undo    uint64 // the ballot of that promise; none since the start

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
	seenAt map[string]time.Duration // when a seat's copy was last compared
	lease  time.Duration
	wonAt  time.Duration
	round  uint64
	rounds map[uint64]time.Duration
	yes    map[uint64]map[string]bool
	beatAt time.Duration
	seq    uint64
	writes map[uint64]*write
	quit   bool

	Mended int // times that a seat's copy was found to differ and sent ours
}

// New makes a seat from what the disk held; a seat waits one full lease after
// its start before it promises anything.
//
// Example: s := notary.New(cfg, 0, me, meta, book, now, false)
func New(cfg Config, part int, me form.Seat, meta Meta, book *survey.Book, now time.Duration, fresh bool) *Seat {
	s := &Seat{cfg: cfg, part: part, me: me, meta: meta, book: book, born: now, after: map[uint64][]form.Send{}, lives: map[string]uint64{},
		rounds: map[uint64]time.Duration{}, yes: map[uint64]map[string]bool{}, writes: map[uint64]*write{}}
	s.till = now + cfg.Wait(cfg.Duty)
	if fresh {
		s.till = now
	}
	s.quiet = s.till
	s.next = now + s.delay()
	if !fresh && meta.To == me.Ident && meta.ToEpoch > 0 {
		s.lives[me.Ident] = meta.ToEpoch + 1 // that was an earlier life of ours
	}
	return s
}

// over tells whether the owner that this seat is bound to is known to be gone:
// its daemon has started anew since, and a new life holds no duty.
func (s *Seat) over() bool {
	return s.meta.ToEpoch > 0 && s.lives[s.meta.To] > s.meta.ToEpoch
}

// free tells whether this seat may promise itself to another now: the lease of
// the owner that it supported has lapsed, or that owner is gone. In the second
// case leases that were granted under it may still stand, so the next owner is
// told how long to write nothing.
func (s *Seat) free(now time.Duration) bool { return now >= s.till || s.over() }

// live notes the life of a daemon that a note came from.
func (s *Seat) live(now time.Duration, n form.Note) {
	if n.Epoch <= s.lives[n.From] {
		return
	}
	was := s.over()
	s.lives[n.From] = n.Epoch
	if s.over() && !was && s.mode == idle {
		s.quiet = max(s.quiet, s.till)
		s.next = now + s.delay()
	}
}

// Calm is when an owner may begin to write: leases that stood under an earlier
// one whose daemon is gone have lapsed by then.
//
// Example: if now >= s.Calm() { write() }
func (s *Seat) Calm() time.Duration { return s.calm }

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

// Hear takes a note from another seat (or from itself).
//
// Example: out := s.Hear(now, note)
func (s *Seat) Hear(now time.Duration, n form.Note) (o Out) {
	from := form.Seat{Ident: n.From, Addr: n.Addr}
	if g := s.meta.Group; g.Num > 0 && !g.Has(n.From) && (n.Kind != form.Ask && n.Kind != form.Fill && n.Kind != form.Accept && n.Kind != form.Support) {
		return o // only seats have a voice
	}
	s.live(now, n)
	switch n.Kind {
	case form.Ask:
		s.asked(now, from, n, &o)
	case form.Promise:
		s.promise(now, n, &o)
	case form.Refuse:
		s.shedBy(now, n, &o)
	case form.Fill:
		s.fill(from, n, &o)
	case form.Filled:
		if s.standing(n.Num) && n.Op == compare {
			s.reported(n, &o)
		} else if s.standing(n.Num) {
			s.filled[n.From] = true
			s.settle(now, &o)
		}
	case form.Unfit:
		if s.standing(n.Num) && n.Op == compare {
			s.mend(from, n.Digs, &o)
		} else if s.standing(n.Num) {
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
			s.shed(now, from, n, &o)
		}
	case form.Void:
		// Nobody can ever be owner under a ballot that its candidate gave up, so
		// the vote need not stay bound to it.
		if s.meta.Promised == n.Num && s.meta.To == n.From && s.undo == n.Num {
			s.meta.Promised, s.meta.To, s.meta.ToEpoch = s.before.Promised, s.before.To, s.before.ToEpoch
			s.save(&o, nil, nil)
		}
	case form.Supported:
		s.supported(now, n)
	}
	return o
}
