package daemon

import (
	"context"
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/control/quorum"
)

// toDisk queues saves; what is queued together is one transaction.
func (c *Daemon) toDisk(list []quorum.Save) {
	c.dmu.Lock()
	c.dq = append(c.dq, list...)
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
		c.dmu.Lock()
		list := c.dq
		c.dq = nil
		c.dmu.Unlock()
		for len(list) > 0 {
			if d := c.stall.Load(); d > 0 {
				pause(ctx, time.Duration(d))
			}
			err := c.arch.Write(list)
			if err == nil {
				break
			}
			// Nothing was said to anybody yet; try until it works or we are stopped.
			c.Events.Trouble("disk", "%v", err)
			if !pause(ctx, c.Cfg.Vol()/4) {
				return ctx.Err()
			}
		}
		for _, x := range list {
			c.step(c.shards[x.Partition], func(s *leader.Controller, now time.Duration) leader.Out { return s.Saved(now, x.Ticket) })
		}
	}
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
