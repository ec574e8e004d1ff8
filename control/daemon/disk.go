package daemon

import (
	"context"
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
)

// toDisk queues saves; what is queued together is one transaction.
func (c *Daemon) toDisk(list []quorum.Save) {
	c.dmu.Lock()
	for _, s := range list {
		c.dq.Add(s)
	}
	c.dmu.Unlock()
	select {
	case c.dwake <- struct{}{}:
	default:
	}
}

func (c *Daemon) serveDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.dwake:
		}
		for c.flush(ctx) {
		}
	}
}

// flush writes what waits; false says that nothing did. A write that fails goes
// before what comes later, in one batch with it: nothing was said to anybody
// yet, so it is tried until it works or the daemon is stopped.
func (c *Daemon) flush(ctx context.Context) bool {
	c.dmu.Lock()
	batch := c.dq
	c.dq = storage.Batch{}
	c.dmu.Unlock()
	if batch.Empty() || ctx.Err() != nil {
		return false
	}
	if d := c.stall.Load(); d > 0 {
		pause(ctx, time.Duration(d))
	}
	at := c.Now()
	err := c.arch.Write(batch.Saves())
	took := c.Now() - at
	c.diskWrites.Update(took.Seconds())
	if took > c.Cfg.VolumeLease() {
		c.Events.Trouble("disk", "a write of %d parts took %v", len(batch.Saves()), took.Round(time.Millisecond))
	}
	if err != nil {
		c.Events.Trouble("disk", "%v", err)
		c.refused.Add(1)
		c.dmu.Lock()
		batch.Append(c.dq)
		c.dq = batch
		c.dmu.Unlock()
		pause(ctx, c.Cfg.VolumeLease()/4)
		return true
	}
	if n := c.refused.Swap(0); n > 0 {
		c.Events.Say("disk", "takes writes again, after it refused %d", n)
	}
	for _, x := range batch.Tickets {
		s := c.shards[x.Partition]
		s.wrote(x.Number)
		c.step(s, func(s *leader.Controller, now time.Duration) leader.Out { return s.Saved(now, x.Number) })
	}
	return true
}

// wrote notes that a save is on disk.
func (s *shard) wrote(save uint64) {
	savesInOrder.Hold(save > s.saved, "partition %d: save %d is told as done after save %d", s.partition, save, s.saved)
	s.saved = save
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
