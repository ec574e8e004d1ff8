package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/control/membership"
	"mulleinmast/wire/message"
)

type shard struct {
	mu        sync.Mutex
	partition int
	gen       atomic.Uint64 // counts changes of what may be served
	*leader.Controller
	guide  membership.ParentChooser
	fence  uint64             // the highest that an order from here bore
	saved  uint64             // the last save that was told as done; the disk's loop writes it
	checks map[string]checked // records that were asked for, by key
}

// step runs one input through a shard and carries out what it asks for.
func (c *Daemon) step(s *shard, f func(*leader.Controller, time.Duration) leader.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.carry(s, f(s.Controller, c.Now()))
}

func (c *Daemon) carry(s *shard, o leader.Out) {
	if o.Superseded != "" {
		c.supersede(s.partition, o.Superseded)
	}
	if len(o.Saves) > 0 {
		c.toDisk(o.Saves)
	}
	for _, m := range o.Sends {
		c.send(m)
	}
	for _, l := range o.Events {
		c.Events.Record(l.Kind, "%s", l.Text)
	}
	if o.Won {
		c.terms.Inc()
	}
	if o.Lost {
		tell := c.Events.Trouble
		if c.stop.Load() { // it was let go
			tell = c.Events.Record
		}
		tell("leader", "partition %d: leadership lost", s.partition)
	}
	if o.Orphaned {
		s.guide.FallBackToLeader(c.Now())
		c.Events.Record("tree", "partition %d: parent %s can't serve", s.partition, s.Partition().Node.Parent().Addr)
	}
	if o.Redirect.Ident != "" {
		s.guide.FollowRedirect(c.Now(), o.Redirect)
		c.Events.Record("tree", "partition %d: steered to %s", s.partition, o.Redirect.Addr)
	}
	if s.partition == 0 {
		c.withdrawn.note(c.Now(), o.Withdrawn, o.Readable)
	}
	if len(o.Readable)+len(o.Withdrawn) > 0 || o.Won || o.Lost {
		c.tellNews()
	}
	if gen := s.Partition().Node.Generation(); gen != s.gen.Load() {
		s.gen.Store(gen)
		c.tellNews()
	}
}

// send puts a message on the line; one to ourselves never leaves the daemon.
func (c *Daemon) send(m message.Envelope) {
	if m.Message.To == c.me.Ident {
		m.Message.From, m.Message.Epoch, m.Message.Addr = c.me.Ident, c.epoch, c.me.Addr
		go c.hear(m.Message) // the shard's lock is held here
		return
	}
	// A replica is known by its identity; its machine may have a new address.
	if at, ok := c.View().Find(m.Message.To); ok && !m.ExactAddr {
		m.Addr = at.Addr
	}
	c.Transport.Send(m)
}

func (c *Daemon) tellNews() {
	c.nmu.Lock()
	close(c.news)
	c.news = make(chan struct{})
	c.nmu.Unlock()
}

// Changed is closed when any record changes here.
//
// Example: <-c.Changed()
func (c *Daemon) Changed() <-chan struct{} {
	c.nmu.Lock()
	defer c.nmu.Unlock()
	return c.news
}

func (c *Daemon) hear(n message.Message) {
	switch {
	case n.Kind >= message.KindHello && n.Kind <= message.KindCensusAnswer, n.Kind == message.KindBootstrap:
		o := c.hearMember(n)
		for _, m := range o.Sends {
			c.Transport.Send(m)
		}
		if o.Bootstrap != nil {
			c.found(o.Bootstrap)
		}
	case n.Kind == message.KindLoadReport:
		if c.OnLoadReport != nil {
			c.OnLoadReport(n)
		}
	case n.Kind == message.KindCallResult:
		c.hearBack(n)
	case n.Partition < 0 || n.Partition >= len(c.shards):
		c.Events.Trouble("wire", "%s: %s for partition %d, which isn't one of %d", n.Addr, n.Kind, n.Partition, len(c.shards))
	default:
		c.step(c.shards[n.Partition], func(s *leader.Controller, now time.Duration) leader.Out { return s.Step(now, n) })
	}
}

// hearMember has the membership table take a message. Here and wherever a state
// machine takes a step its lock is given back however that ends: a fault in one
// step must not keep all others waiting.
func (c *Daemon) hearMember(n message.Message) membership.Out {
	c.rmu.Lock()
	defer c.rmu.Unlock()
	return c.rost.Step(c.Now(), n)
}

// hearBack takes the answer to a call.
func (c *Daemon) hearBack(n message.Message) {
	c.cmu.Lock()
	defer c.cmu.Unlock()
	c.carryCalls(c.runs.Step(c.Now(), n))
}

// SendAll puts messages on the line to other daemons.
//
// Example: c.SendAll(board.Tick(now, me, members))
func (c *Daemon) SendAll(list []message.Envelope) {
	for _, m := range list {
		c.Transport.Send(m)
	}
}

// Read serves a record from this daemon's cache if both leases are valid now and
// this build can read it.
//
// Example: rec, ok := c.Read(0, fleetconfig.PlanKey)
func (c *Daemon) Read(partition int, key string) (message.Record, bool) {
	s := c.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.Partition().Node.Get(c.Now(), key)
	return rec, ok && c.readable(s, rec)
}

// ReadAllowingStale serves a record under valid leases or, while its leader can't be reached,
// as it was when they lapsed: not longer than Overrun after that, and never once
// it was withdrawn. Requests are routed by it and readiness goes by it; nothing
// is ordered, written or told to others on its ground.
//
// Example: rec, ok := c.ReadAllowingStale(0, fleetconfig.PlanKey)
func (c *Daemon) ReadAllowingStale(partition int, key string) (message.Record, bool) {
	s := c.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if rec, ok := s.Partition().Node.Get(now, key); ok {
		return rec, c.readable(s, rec)
	}
	rec, lapsed, ok := s.Partition().Node.LastKnown(now, key)
	return rec, ok && now < lapsed+c.Cfg.MaxStaleness() && c.readable(s, rec)
}

// StaleUntil is when what Last serves of a partition ends, unless leases are renewed.
//
// Example: if c.Now() < c.StaleUntil(p) { route() }
func (c *Daemon) StaleUntil(partition int) time.Duration {
	s := c.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if until := s.Partition().Node.ValidUntil(); now < until {
		return until
	}
	lapsed, ok := s.Partition().Node.Lapsed(now)
	if !ok { // nothing is served until a renewal was asked for in vain
		return lapsed
	}
	return lapsed + c.Cfg.MaxStaleness()
}

// Gen counts the changes of what a partition serves here: what was read stands as
// long as Gen is the same and Until has not passed.
//
// Example: gen := c.Gen(p); read(); ...; if c.Gen(p) != gen { readAgain() }
func (c *Daemon) Gen(partition int) uint64 { return c.shards[partition].gen.Load() }

// ValidUntil is when the first of the leases lapses under which this daemon serves
// a partition's records, unless they are renewed before.
//
// Example: if c.Now() < c.ValidUntil(p) { serve() }
func (c *Daemon) ValidUntil(partition int) time.Duration {
	s := c.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Partition().Node.ValidUntil()
}

// Pin keeps a record wanted here.
//
// Example: c.Pin(p, fleetconfig.ListKey("timetable"))
func (c *Daemon) Pin(partition int, key string) {
	c.step(c.shards[partition], func(s *leader.Controller, now time.Duration) leader.Out { return s.Pin(now, key) })
}

// AwaitRecord waits for a record to be servable.
//
// Example: rec, ok := c.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
func (c *Daemon) AwaitRecord(ctx context.Context, partition int, key string) (message.Record, bool) {
	pinned := false
	for {
		news := c.Changed()
		if r, ok := c.Read(partition, key); ok {
			return r, true
		}
		if !pinned {
			c.Pin(partition, key)
			pinned = true
		}
		select {
		case <-ctx.Done():
			return message.Record{}, false
		case <-news:
		case <-time.After(c.Cfg.VolumeLease() / 16): // volume leases come without news
		}
	}
}

// Term is the term of a partition's leader as far as known; attempts carry it.
//
// Example: term := c.Term(p)
func (c *Daemon) Term(partition int) uint64 { return c.View().Leaderships[partition].Term }

// tickShards lets time pass in all partitions, one after another: one wake-up, and
// one write to each daemon that several of them speak to.
func (c *Daemon) tickShards(ctx context.Context) error {
	t := time.NewTicker(c.Cfg.VolumeLease() / 32)
	defer t.Stop()
	slow := c.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		c.Transport.Coalesce(func() {
			works := c.arch != nil && c.Now()-slow >= c.Cfg.VolumeLease()/16 // only control daemons own anything
			if works {
				slow = c.Now()
			}
			v := c.View()
			for _, s := range c.shards {
				c.tickShard(ctx, s, v, works)
			}
			c.tickCalls()
		})
	}
}

// tickShard lets time pass in one partition: leases, leadership, parent, servers.
func (c *Daemon) tickShard(ctx context.Context, s *shard, v *membership.View, works bool) {
	c.tickTree(s, v)
	if works {
		c.works(ctx, s)
	}
}

// tickTree lets time pass in a partition's leases, leadership and parent.
func (c *Daemon) tickTree(s *shard, v *membership.View) {
	now := c.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.carry(s, s.Tick(now))
	if p := s.guide.Parent(now, v); p != s.Partition().Node.Parent() && !s.Partition().Node.IsRoot() {
		c.carry(s, s.SetParent(now, p))
	}
	for _, m := range s.guide.ReturnRedirects(s.Partition().Node.HasVolumeLease(now), s.Partition().Node.VolumeEpoch(), v) {
		c.Transport.Send(m)
	}
}

// tickCalls lets time pass in the calls under way.
func (c *Daemon) tickCalls() {
	c.cmu.Lock()
	defer c.cmu.Unlock()
	c.carryCalls(c.runs.Tick(c.Now(), c.leaderOf))
}
