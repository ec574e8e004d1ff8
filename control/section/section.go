// Package section is one part of the state on one daemon: its place in the
// lease tree, its seat in the group if the daemon has a disk, and the writes
// that join the two. A write goes: stop granting, purge the tree, commit to a
// majority, grant again and reply. Notes a section sends to itself never
// leave it.
package section

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

// Job is a write: the keys it touches, and what to write given what is there.
// Make runs when no other write holds the keys; it returns the records of some
// of them, or none when nothing is to be written, and any word for the caller.
type Job struct {
	Keys []string
	Make func(read purge.Source) (recs []form.Rec, word any)
}

// Fate is what became of a job.
type Fate uint8

// The fates of a job.
const (
	Done      Fate = iota + 1 // purged, committed and in force
	Unchanged                 // Make wrote nothing
	Uncertain                 // may or may not be in force
	NotOwner                  // nothing was done
)

// String names a fate.
//
// Example: section.Done.String() == "done"
func (f Fate) String() string {
	return [...]string{"none", "done", "unchanged", "uncertain", "not owner"}[f]
}

// Result is a job's fate.
type Result struct {
	Tag  uint64
	Fate Fate
	Word any
}

// Out is what a step asks for.
type Out struct {
	Sends   []form.Send
	Saves   []notary.Save
	Results []Result
	Fresh   []string
	Gone    []string
	Won     bool
	Lost    bool
	Orphan  bool
	Steer   form.Seat
}

type job struct {
	Job
	tag  uint64
	due  int // holds not yet purged
	recs []form.Rec
	word any
	held []string // the keys that it writes
}

// Section is the state machine.
type Section struct {
	part  int
	me    form.Seat
	epoch uint64
	Seat  *notary.Seat // nil on a daemon without a disk
	Node  *purge.Node
	// Calm is when an owner may begin to write: the seat's unless a proof says
	// otherwise.
	Calm func() time.Duration

	queue []*job
	busy  map[string]bool
	runs  map[uint64]*job
}

// New joins a seat (or nil) and a node.
//
// Example: s := section.New(0, me, epoch, seat, node)
func New(part int, me form.Seat, epoch uint64, seat *notary.Seat, node *purge.Node) *Section {
	s := &Section{part: part, me: me, epoch: epoch, Seat: seat, Node: node, busy: map[string]bool{}, runs: map[uint64]*job{}}
	if seat != nil {
		s.Calm = seat.Calm
	}
	return s
}

// Owner tells whether this daemon holds the part's duty now.
//
// Example: if !s.Owner(now) { passOn() }
func (s *Section) Owner(now time.Duration) bool { return s.Seat != nil && s.Seat.Owner(now) }

func (s *Section) read(key string) form.Rec {
	if r, ok := s.Seat.Book().Get(key); ok {
		return r
	}
	return form.Rec{Key: key, Dead: true}
}

// Hear takes a note.
//
// Example: out := s.Hear(now, note)
func (s *Section) Hear(now time.Duration, n form.Note) (o Out) {
	s.hear(now, n, &o)
	s.turn(now, &o)
	return o
}

func (s *Section) hear(now time.Duration, n form.Note, o *Out) {
	if n.Kind >= form.Ask && n.Kind <= form.Supported {
		if s.Seat != nil {
			s.fromSeat(now, s.Seat.Hear(now, n), o)
		}
		return
	}
	s.fromNode(now, s.Node.Hear(now, n), o)
}

// Saved tells that a save is on disk.
//
// Example: out := s.Saved(now, ticket)
func (s *Section) Saved(now time.Duration, ticket uint64) (o Out) {
	s.fromSeat(now, s.Seat.Saved(ticket), &o)
	s.turn(now, &o)
	return o
}

// Tick lets time pass.
//
// Example: out := s.Tick(now)
func (s *Section) Tick(now time.Duration) (o Out) {
	if s.Seat != nil {
		s.fromSeat(now, s.Seat.Tick(now), &o)
	}
	s.fromNode(now, s.Node.Tick(now), &o)
	s.turn(now, &o)
	return o
}

// Found makes the first group.
//
// Example: out := s.Found(now, group)
func (s *Section) Found(now time.Duration, g form.Group) (o Out) {
	s.fromSeat(now, s.Seat.Found(now, g), &o)
	s.turn(now, &o)
	return o
}

// Regroup moves the group towards the wanted seats, if we own the part.
//
// Example: out := s.Regroup(now, seats)
func (s *Section) Regroup(now time.Duration, want []form.Seat) (o Out) {
	if s.Owner(now) && len(s.runs) == 0 && now >= s.Calm() {
		out, _ := s.Seat.Regroup(now, 0, want)
		s.fromSeat(now, out, &o)
		s.turn(now, &o)
	}
	return o
}

// Do queues a write; its Result carries the tag (which must not be zero).
//
// Example: out := s.Do(now, 17, job)
func (s *Section) Do(now time.Duration, tag uint64, j Job) (o Out) {
	if !s.Owner(now) {
		o.Results = append(o.Results, Result{Tag: tag, Fate: NotOwner})
		return o
	}
	s.queue = append(s.queue, &job{Job: j, tag: tag})
	s.turn(now, &o)
	return o
}

// Adopt sets the node's parent.
//
// Example: out := s.Adopt(now, seat)
func (s *Section) Adopt(now time.Duration, p form.Seat) (o Out) {
	s.fromNode(now, s.Node.Adopt(now, p), &o)
	return o
}

// Pin keeps a record wanted here.
//
// Example: out := s.Pin(now, "plan/now")
func (s *Section) Pin(now time.Duration, key string) (o Out) {
	s.fromNode(now, s.Node.Pin(now, key), &o)
	s.turn(now, &o)
	return o
}

// turn starts the jobs whose keys are free and delivers notes to ourselves.
func (s *Section) turn(now time.Duration, o *Out) {
	for {
		s.start(now, o)
		var self []form.Note
		rest := o.Sends[:0]
		for _, m := range o.Sends {
			m.Note.From, m.Note.Epoch, m.Note.Addr = s.me.Ident, s.epoch, s.me.Addr
			if m.Note.To == s.me.Ident {
				self = append(self, m.Note)
			} else {
				rest = append(rest, m)
			}
		}
		o.Sends = rest
		if len(self) == 0 {
			return
		}
		for _, n := range self {
			s.hear(now, n, o)
		}
	}
}

// abreast is how many writes run beside one another: each is waited for by
// every daemon below, and what comes in a crowd (all servers of a model) would
// else be on its way to all of them at once.
const abreast = 32

func (s *Section) start(now time.Duration, o *Out) {
	if len(s.queue) == 0 || !s.Owner(now) || now < s.Calm() {
		return
	}
	var rest []*job
	blocked := map[string]bool{}
	for _, j := range s.queue {
		free := true
		for _, k := range j.Keys {
			if s.busy[k] || blocked[k] {
				free = false
			}
		}
		if !free || len(s.runs) >= abreast {
			for _, k := range j.Keys {
				blocked[k] = true
			}
			rest = append(rest, j)
			continue
		}
		j.recs, j.word = j.Make(s.read)
		if len(j.recs) == 0 {
			o.Results = append(o.Results, Result{Tag: j.tag, Fate: Unchanged, Word: j.word})
			continue
		}
		s.runs[j.tag] = j
		for _, k := range j.Keys {
			s.busy[k] = true
		}
		for _, r := range j.recs {
			j.held = append(j.held, r.Key)
		}
		j.due = len(j.held)
		for _, k := range j.held {
			s.fromNode(now, s.Node.Hold(now, k, j.tag), o)
		}
	}
	s.queue = rest
}

func (s *Section) fromNode(now time.Duration, p purge.Out, o *Out) {
	o.Sends = append(o.Sends, p.Sends...)
	o.Fresh = append(o.Fresh, p.Fresh...)
	o.Gone = append(o.Gone, p.Gone...)
	o.Orphan = o.Orphan || p.Orphan
	if p.Steer.Ident != "" {
		o.Steer = p.Steer
	}
	for _, tag := range p.Purged {
		j := s.runs[tag]
		if j == nil {
			continue
		}
		if j.due--; j.due > 0 {
			continue
		}
		if !s.Owner(now) { // nothing was committed
			delete(s.runs, tag)
			o.Results = append(o.Results, Result{Tag: tag, Fate: NotOwner})
			continue
		}
		out, recs := s.Seat.Write(now, tag, j.recs)
		j.recs = recs
		s.fromSeat(now, out, o)
	}
}

func (s *Section) fromSeat(now time.Duration, n notary.Out, o *Out) {
	o.Sends = append(o.Sends, n.Sends...)
	o.Saves = append(o.Saves, n.Saves...)
	for _, d := range n.Done {
		j := s.runs[d.Tag]
		if j == nil {
			continue
		}
		delete(s.runs, d.Tag)
		r := Result{Tag: d.Tag, Fate: Uncertain, Word: j.word}
		if d.Fate == notary.Written {
			r.Fate = Done
			for _, k := range j.Keys {
				delete(s.busy, k)
			}
			for _, k := range j.held {
				s.fromNode(now, s.Node.Free(now, k), o)
			}
		}
		o.Results = append(o.Results, r)
	}
	if n.Lost {
		s.lose(o)
	}
	if n.Won {
		o.Won = true
		s.Node.Crown(s.Seat.Num(), s.read, s.Seat.Lease)
	}
}

func (s *Section) lose(o *Out) {
	o.Lost = true
	s.Node.Uncrown()
	for _, j := range s.queue {
		o.Results = append(o.Results, Result{Tag: j.tag, Fate: NotOwner})
	}
	for _, tag := range slices.Sorted(maps.Keys(s.runs)) { // purging, not yet committed
		o.Results = append(o.Results, Result{Tag: tag, Fate: NotOwner})
	}
	s.queue, s.busy, s.runs = nil, map[string]bool{}, map[uint64]*job{}
}

// Digs is the digest of every range of this seat's book.
//
// Example: survey.Differ(a.Digs(), b.Digs())
func (s *Section) Digs() []uint64 {
	if s.Seat == nil {
		return make([]uint64, survey.Spans)
	}
	return s.Seat.Book().Digs()
}
