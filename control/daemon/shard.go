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
	shardTicks     = 32 // ticks of the shards per volume lease
	reconcileTicks = 16 // reconciliations of a leader per volume lease
)

// shard is one partition on this daemon: its state machine and a lock.
type shard struct {
	partition  int
	generation atomic.Uint64 // counts changes of the records that may be served; written under mu

	mu           sync.Mutex         // guards the fields below
	controller   *leader.Controller // the state machine
	parents      membership.ParentChooser
	highestFence uint64               // highest fence of the orders sent from here
	lastSave     uint64               // newest save that was reported as done
	checks       map[string]readCheck // by key, of requested records
}

func newShard(p int, controller *leader.Controller, cfg Config) *shard {
	return &shard{
		partition:  p,
		controller: controller,
		parents:    membership.ParentChooser{Partition: p, VolumeLease: cfg.VolumeLease()},
	}
}

// replica returns the partition's replica; nil on a daemon without a data folder.
func (s *shard) replica() *quorum.Replica { return s.controller.Partition().Replica }

func (s *shard) node() *lease.Node { return s.controller.Partition().Node }

// step passes one input to a shard's state machine and executes the result. The lock is released
// even if the step panics, so that one faulty step doesn't block all others.
func (d *Daemon) step(s *shard, input func(c *leader.Controller, now time.Duration) leader.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.apply(s, input(s.controller, d.Now()))
}

// apply executes the result of a step. The caller holds the shard's lock.
func (d *Daemon) apply(s *shard, out leader.Out) {
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
	d.recordLeadershipChange(s, out)
	d.updateParent(s, out)
	if s.partition == 0 {
		d.planGaps.observe(d.Now(), out.Withdrawn, out.Readable)
	}
	d.notifyChanges(s, out)
}

// recordLeadershipChange counts won leaderships and logs lost ones.
func (d *Daemon) recordLeadershipChange(s *shard, out leader.Out) {
	if out.Won {
		d.leadershipsWon.Inc()
	}
	if !out.Lost {
		return
	}
	log := d.Events.Warn
	if d.readiness.stopping.Load() { // the daemon resigned it
		log = d.Events.Debug
	}
	log("leader", "leadership lost", "partition", s.partition)
}

// updateParent tells the parent chooser if the current parent can't serve or redirects to another
// one. The next tick of the shard sets the new parent.
func (d *Daemon) updateParent(s *shard, out leader.Out) {
	if out.Orphaned {
		s.parents.FallBackToLeader(d.Now())
		d.Events.Debug("tree", "parent cannot serve", "partition", s.partition, "parent", s.node().Parent().Addr)
	}
	if out.Redirect.Ident != "" {
		s.parents.FollowRedirect(d.Now(), out.Redirect)
		d.Events.Debug("tree", "redirected", "partition", s.partition, "parent", out.Redirect.Addr)
	}
}

// notifyChanges wakes goroutines that wait for a change of records or of their validity.
func (d *Daemon) notifyChanges(s *shard, out leader.Out) {
	if len(out.Readable)+len(out.Withdrawn) > 0 || out.Won || out.Lost {
		d.changes.notify()
	}
	if generation := s.node().Generation(); generation != s.generation.Load() {
		s.generation.Store(generation)
		d.changes.notify()
	}
}

// runShards ticks all partitions one after another, so that one timer suffices and the messages of
// several partitions to the same daemon are sent in one write.
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
			// Only control daemons lead partitions.
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

// tickShard advances a partition's leases, leadership and position in the lease tree to the
// current time.
func (d *Daemon) tickShard(s *shard, view *membership.View) {
	now := d.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d.apply(s, s.controller.Tick(now))
	if parent := s.parents.Parent(now, view); parent != s.node().Parent() && !s.node().IsRoot() {
		d.apply(s, s.controller.SetParent(now, parent))
	}
	for _, e := range s.parents.ReturnRedirects(s.node().HasVolumeLease(now), s.node().VolumeEpoch(), view) {
		d.Transport.Send(e)
	}
}

// isLeader reports whether this daemon currently leads the partition. The caller holds the lock.
func (s *shard) isLeader(now time.Duration) bool { return s.controller.IsLeader(now) }

// group returns the partition's group as known to the replica here, or the zero group if there is
// none. The caller must not hold the lock.
func (s *shard) group() message.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica() == nil {
		return message.Group{}
	}
	return s.replica().Group()
}

// termLed returns the term in which this daemon currently leads a partition; 0 if it doesn't.
func (d *Daemon) termLed(partition int) uint64 {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeader(d.Now()) {
		return 0
	}
	return s.replica().Term()
}
