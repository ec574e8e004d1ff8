package daemon

import (
	"context"
	"time"
)

// handOverRatio is the part of the grace period that a daemon which was told to
// end waits at most for its replicas to be taken over.
const handOverRatio = 0.6

// PartitionsToHandOver counts the partitions that still count on this daemon's copy though a standby
// could take its place, or is about to; none where the copy is superseded.
//
// Example: if c.PartitionsToHandOver() == 0 { end() }
func (c *Daemon) PartitionsToHandOver() (n int) {
	if c.WhySuperseded() != "" {
		return 0
	}
	v := c.View()
	for _, s := range c.shards {
		s.mu.Lock()
		if replica := s.Partition().Replica; replica != nil && v.MustHandOver(replica.Group()) {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// HandOver returns when no partition counts on this daemon's copy any more, at once
// if no standby could take its place, and at the latest when the context ends
// or most of the grace period is over since the daemon was told to end.
//
// Example: c.Leave(); serveOn(); c.HandOver(ctx)
func (c *Daemon) HandOver(ctx context.Context) {
	limit := time.Duration(c.stopAt.Load()) + fraction(c.Cfg.GracePeriod, handOverRatio)
	for c.PartitionsToHandOver() > 0 && c.Now() < limit && pause(ctx, c.Cfg.VolumeLease()/32) {
	}
	if n := c.PartitionsToHandOver(); n > 0 {
		c.Events.Say("stop", "%d partitions still count on this copy", n)
	}
}

// standing is how far a daemon with a disk has come since its start.
type standing uint8

const (
	newcomer standing = iota // some partition's copy is missing here
	holding                  // it has a copy of every partition
	counting                 // and a vote in every partition
)

// reportStanding writes out once when this daemon holds a copy of every partition, and once
// when every partition counts on it.
func (c *Daemon) reportStanding() {
	if c.arch == nil || c.standing == counting {
		return
	}
	now := counting
	for _, s := range c.shards {
		s.mu.Lock()
		g, set := s.Partition().Replica.Group(), s.Partition().Replica.Meta().LastComplete
		s.mu.Unlock()
		switch {
		case g.Number == 0 || set == 0:
			return
		case len(g.Next) > 0 || !g.Has(c.me.Ident):
			now = holding
		}
	}
	if now > c.standing {
		c.standing = now
		c.Events.Say("replicas", "%s %d partitions %v after the start", [...]string{holding: "holds a copy of all", counting: "counts in all"}[now], len(c.shards), c.Now().Round(time.Millisecond))
	}
}
