package cabin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/master"
	"mulleinmast/control/roster"
	"mulleinmast/wire/form"
)

type shard struct {
	mu   sync.Mutex
	part int
	gen  atomic.Uint64 // counts changes of what may be served
	*master.Master
	guide roster.Guide
}

// step runs one input through a shard and carries out what it asks for.
func (c *Cabin) step(s *shard, f func(*master.Master, time.Duration) master.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.carry(s, f(s.Master, c.Now()))
}

func (c *Cabin) carry(s *shard, o master.Out) {
	if len(o.Saves) > 0 {
		c.toDisk(o.Saves)
	}
	for _, m := range o.Sends {
		c.send(m)
	}
	for _, l := range o.Lines {
		c.Book.Note(l.Kind, "%s", l.Text)
	}
	if o.Lost {
		tell := c.Book.Trouble
		if c.stop.Load() { // it was let go
			tell = c.Book.Note
		}
		tell("duty", "part %d: duty lost", s.part)
	}
	if o.Orphan {
		s.guide.Orphaned(c.Now())
		c.Book.Note("tree", "part %d: parent %s can't serve", s.part, s.Section().Node.Parent().Addr)
	}
	if o.Steer.Ident != "" {
		s.guide.Steered(c.Now(), o.Steer)
		c.Book.Note("tree", "part %d: steered to %s", s.part, o.Steer.Addr)
	}
	if len(o.Fresh)+len(o.Gone) > 0 || o.Won || o.Lost {
		c.tellNews()
	}
	if gen := s.Section().Node.Gen(); gen != s.gen.Load() {
		s.gen.Store(gen)
		c.tellNews()
	}
}

// send puts a note on the line; one to ourselves never leaves the daemon.
func (c *Cabin) send(m form.Send) {
	if m.Note.To == c.me.Ident {
		m.Note.From, m.Note.Epoch, m.Note.Addr = c.me.Ident, c.epoch, c.me.Addr
		go c.hear(m.Note) // the shard's lock is held here
		return
	}
	// A seat is known by its identity; its machine may have a new address.
	if at, ok := c.View().Find(m.Note.To); ok {
		m.Addr = at.Addr
	}
	c.Line.Send(m)
}

func (c *Cabin) tellNews() {
	c.nmu.Lock()
	close(c.news)
	c.news = make(chan struct{})
	c.nmu.Unlock()
}

// News is closed when any record changes here.
//
// Example: <-c.News()
func (c *Cabin) News() <-chan struct{} {
	c.nmu.Lock()
	defer c.nmu.Unlock()
	return c.news
}

func (c *Cabin) hear(n form.Note) {
	switch {
	case n.Kind >= form.Hello && n.Kind <= form.Count, n.Kind == form.Found:
		c.rmu.Lock()
		o := c.rost.Hear(c.Now(), n)
		c.rmu.Unlock()
		for _, m := range o.Sends {
			c.Line.Send(m)
		}
		if o.Found != nil {
			c.found(o.Found)
		}
	case n.Kind == form.Board:
		if c.Hint != nil {
			c.Hint(n)
		}
	case n.Kind == form.Back:
		c.cmu.Lock()
		o := c.runs.Hear(c.Now(), n)
		c.errands(o)
		c.cmu.Unlock()
	case n.Part < 0 || n.Part >= len(c.shards):
		c.Book.Trouble("wire", "%s: %s for part %d, which isn't one of %d", n.Addr, n.Kind, n.Part, len(c.shards))
	default:
		c.step(c.shards[n.Part], func(s *master.Master, now time.Duration) master.Out { return s.Hear(now, n) })
	}
}

// Tell puts notes on the line to other daemons.
//
// Example: c.Tell(board.Tick(now, me, members))
func (c *Cabin) Tell(list []form.Send) {
	for _, m := range list {
		c.Line.Send(m)
	}
}

// Read serves a record from this daemon's cache if both leases are valid now.
//
// Example: rec, ok := c.Read(0, tariff.PlanKey)
func (c *Cabin) Read(part int, key string) (form.Rec, bool) {
	s := c.shards[part]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Section().Node.Get(c.Now(), key)
}

// Last serves a record under valid leases or, while its owner can't be reached,
// as it was when they lapsed: not longer than Overrun after that, and never once
// it was withdrawn. Requests are routed by it and readiness goes by it; nothing
// is ordered, written or told to others on its ground.
//
// Example: rec, ok := c.Last(0, tariff.PlanKey)
func (c *Cabin) Last(part int, key string) (form.Rec, bool) {
	s := c.shards[part]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if rec, ok := s.Section().Node.Get(now, key); ok {
		return rec, true
	}
	rec, lapsed, ok := s.Section().Node.Last(now, key)
	return rec, ok && now < lapsed+c.Cfg.Overrun()
}

// LastUntil is when what Last serves of a part ends, unless leases are renewed.
//
// Example: if c.Now() < c.LastUntil(p) { route() }
func (c *Cabin) LastUntil(part int) time.Duration {
	s := c.shards[part]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if until := s.Section().Node.Until(); now < until {
		return until
	}
	lapsed, ok := s.Section().Node.Lapsed(now)
	if !ok { // nothing is served until a renewal was asked for in vain
		return lapsed
	}
	return lapsed + c.Cfg.Overrun()
}

// Gen counts the changes of what a part serves here: what was read stands as
// long as Gen is the same and Until has not passed.
//
// Example: gen := c.Gen(p); read(); ...; if c.Gen(p) != gen { readAgain() }
func (c *Cabin) Gen(part int) uint64 { return c.shards[part].gen.Load() }

// Until is when the first of the leases lapses under which this daemon serves
// a part's records, unless they are renewed before.
//
// Example: if c.Now() < c.Until(p) { serve() }
func (c *Cabin) Until(part int) time.Duration {
	s := c.shards[part]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Section().Node.Until()
}

// Pin keeps a record wanted here.
//
// Example: c.Pin(p, tariff.ListKey("timetable"))
func (c *Cabin) Pin(part int, key string) {
	c.step(c.shards[part], func(s *master.Master, now time.Duration) master.Out { return s.Pin(now, key) })
}

// Await waits for a record to be servable.
//
// Example: rec, ok := c.Await(ctx, 0, tariff.PlanKey)
func (c *Cabin) Await(ctx context.Context, part int, key string) (form.Rec, bool) {
	pinned := false
	for {
		news := c.News()
		if r, ok := c.Read(part, key); ok {
			return r, true
		}
		if !pinned {
			c.Pin(part, key)
			pinned = true
		}
		select {
		case <-ctx.Done():
			return form.Rec{}, false
		case <-news:
		case <-time.After(c.Cfg.Vol() / 16): // volume leases come without news
		}
	}
}

// Term is the ballot of a part's owner as far as known; attempts carry it.
//
// Example: term := c.Term(p)
func (c *Cabin) Term(part int) uint64 { return c.View().Owns[part].Num }

// tickShards lets time pass in all parts, one after another: one wake-up, and
// one write to each daemon that several of them speak to.
func (c *Cabin) tickShards(ctx context.Context) error {
	t := time.NewTicker(c.Cfg.Vol() / 32)
	defer t.Stop()
	slow := c.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		c.Line.Together(func() {
			works := c.arch != nil && c.Now()-slow >= c.Cfg.Vol()/16 // only control daemons own anything
			if works {
				slow = c.Now()
			}
			v := c.View()
			for _, s := range c.shards {
				c.tickShard(ctx, s, v, works)
			}
			c.cmu.Lock()
			c.errands(c.runs.Tick(c.Now(), c.ownerOf))
			c.cmu.Unlock()
		})
	}
}

// tickShard lets time pass in one part: leases, duty, parent, servers.
func (c *Cabin) tickShard(ctx context.Context, s *shard, v *roster.View, works bool) {
	now := c.Now()
	s.mu.Lock()
	c.carry(s, s.Tick(now))
	if p := s.guide.Parent(now, v); p != s.Section().Node.Parent() && !s.Section().Node.Root() {
		c.carry(s, s.Adopt(now, p))
	}
	for _, m := range s.guide.Hints(s.Section().Node.Live(now), s.Section().Node.Mark(), v) {
		c.Line.Send(m)
	}
	s.mu.Unlock()
	if works {
		c.works(ctx, s)
	}
}
