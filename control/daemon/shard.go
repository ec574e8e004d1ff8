package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Ratios to the volume lease.
const (
	shardTicks     = 32 // the shards are ticked so often in a volume lease
	reconcileTicks = 16 // and a leader reconciles so often
)

// shard is one partition on this daemon: its state machine under a lock.
type shard struct {
	partition  int
	generation atomic.Uint64 // counts changes of what may be served; written under mu

	mu           sync.Mutex         // guards the fields below
	controller   *leader.Controller // the state machine
	parents      membership.ParentChooser
	highestFence uint64               // of the orders that were given from here
	lastSave     uint64               // newest save that was reported as done
	checks       map[string]readCheck // of requested records, by key
}

func newShard(p int, controller *leader.Controller, cfg Config) *shard {
	return &shard{
		partition:  p,
		controller: controller,
		parents:    membership.ParentChooser{Partition: p, VolumeLease: cfg.VolumeLease()},
	}
}

// replica is nil on a daemon without a data folder.
func (s *shard) replica() *quorum.Replica { return s.controller.Partition().Replica }

func (s *shard) node() *lease.Node { return s.controller.Partition().Node }

// step runs one input through a shard's state machine and carries out what it asks
// for. The lock is released however the step ends: a fault in one step must not
// keep all others waiting.
func (d *Daemon) step(s *shard, input func(c *leader.Controller, now time.Duration) leader.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.carryOut(s, input(s.controller, d.Now()))
}

// carryOut does what a step asks for. The shard's lock is held.
func (d *Daemon) carryOut(s *shard, out leader.Out) {
	if out.Superseded != "" {
		d.supersede(s.partition, out.Superseded)
	}
	if len(out.Saves) > 0 {
		d.disk.add(out.Saves)
	}
	for _, e := range out.Sends {
		d.send(e)
	}
	for _, line := range out.Events {
		d.Events.Debug(line.Kind, line.Text)
	}
	d.noteLeadership(s, out)
	d.followTree(s, out)
	if s.partition == 0 {
		d.planGaps.note(d.Now(), out.Withdrawn, out.Readable)
	}
	d.announce(s, out)
}

// noteLeadership counts and logs a leadership that was won or lost.
func (d *Daemon) noteLeadership(s *shard, out leader.Out) {
	if out.Won {
		d.leadsWon.Inc()
	}
	if !out.Lost {
		return
	}
	log := d.Events.Warn
	if d.readiness.stopping.Load() { // it was resigned
		log = d.Events.Debug
	}
	log("leader", "leadership lost", "partition", s.partition)
}

// followTree has the next parent chosen where the present one can't serve or names
// a better one.
func (d *Daemon) followTree(s *shard, out leader.Out) {
	if out.Orphaned {
		s.parents.FallBackToLeader(d.Now())
		d.Events.Debug("tree", "the parent can't serve", "partition", s.partition, "parent", s.node().Parent().Addr)
	}
	if out.Redirect.Ident != "" {
		s.parents.FollowRedirect(d.Now(), out.Redirect)
		d.Events.Debug("tree", "redirected", "partition", s.partition, "parent", out.Redirect.Addr)
	}
}

// announce wakes those who wait for a change of records or of what may be served.
func (d *Daemon) announce(s *shard, out leader.Out) {
	if len(out.Readable)+len(out.Withdrawn) > 0 || out.Won || out.Lost {
		d.changes.notify()
	}
	if generation := s.node().Generation(); generation != s.generation.Load() {
		s.generation.Store(generation)
		d.changes.notify()
	}
}

// runShards lets time pass in all partitions, one after another: one timer, and one
// write to each daemon that several of them send to.
func (d *Daemon) runShards(ctx context.Context) error {
	ticker := time.NewTicker(d.Cfg.VolumeLease() / shardTicks)
	defer ticker.Stop()
	reconciled := d.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d.Transport.Coalesce(func() {
			// Only control daemons lead anything.
			reconcile := d.store != nil && d.Now()-reconciled >= d.Cfg.VolumeLease()/reconcileTicks
			if reconcile {
				reconciled = d.Now()
			}
			view := d.View()
			for _, s := range d.shards {
				d.tickShard(s, view)
				if reconcile {
					d.reconcile(ctx, s)
				}
			}
			d.calls.tick()
		})
	}
}

// tickShard lets time pass in a partition's leases, leadership and place in the
// lease tree.
func (d *Daemon) tickShard(s *shard, view *membership.View) {
	now := d.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d.carryOut(s, s.controller.Tick(now))
	if parent := s.parents.Parent(now, view); parent != s.node().Parent() && !s.node().IsRoot() {
		d.carryOut(s, s.controller.SetParent(now, parent))
	}
	for _, e := range s.parents.ReturnRedirects(s.node().HasVolumeLease(now), s.node().VolumeEpoch(), view) {
		d.Transport.Send(e)
	}
}

// isLeader reports whether this daemon leads the partition now. The lock is held.
func (s *shard) isLeader(now time.Duration) bool { return s.controller.IsLeader(now) }

// group is that of the partition as the replica here knows it; the zero group
// without one. The lock is not held.
func (s *shard) group() message.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica() == nil {
		return message.Group{}
	}
	return s.replica().Group()
}

// termLed is the term under which this daemon leads a partition now; 0: it doesn't.
func (d *Daemon) termLed(partition int) uint64 {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeader(d.Now()) {
		return 0
	}
	return s.replica().Term()
}
