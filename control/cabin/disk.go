package cabin

import (
	"context"
	"time"

	"mulleinmast/control/master"
	"mulleinmast/control/notary"
)

// toDisk queues saves; what is queued together is one transaction.
func (c *Cabin) toDisk(list []notary.Save) {
	c.dmu.Lock()
	c.dq = append(c.dq, list...)
	c.dmu.Unlock()
	select {
	case c.dwake <- struct{}{}:
	default:
	}
}

func (c *Cabin) serveDisk(ctx context.Context) error {
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
			c.Book.Trouble("disk", "%v", err)
			if !pause(ctx, c.Cfg.Vol()/4) {
				return ctx.Err()
			}
		}
		for _, x := range list {
			c.step(c.shards[x.Part], func(s *master.Master, now time.Duration) master.Out { return s.Saved(now, x.Ticket) })
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
