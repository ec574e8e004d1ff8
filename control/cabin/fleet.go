package cabin

import (
	"context"
	"time"

	"mulleinmast/control/notary"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

func (c *Cabin) member() form.Member {
	empty := c.arch != nil
	for _, s := range c.shards {
		s.mu.Lock()
		if s.Section().Seat != nil && s.Section().Seat.Group().Num > 0 {
			empty = false
		}
		s.mu.Unlock()
	}
	if c.shards == nil && c.arch != nil {
		for _, h := range c.arch.Parts {
			if h.Meta.Group.Num > 0 {
				empty = false
			}
		}
	}
	return form.Member{Ident: c.me.Ident, Epoch: c.epoch, Addr: c.me.Addr, Web: c.Cfg.Web, Cell: c.Cfg.Cell, Disk: c.arch != nil, Ready: c.shown(), Empty: empty, Build: Build}
}

// shown tells whether the session table is to show this daemon as ready: a dip
// as short as a change of configuration makes is not worth telling the fleet.
func (c *Cabin) shown() bool {
	if c.ready.Load() {
		c.readyAt.Store(int64(c.Now()))
		return true
	}
	at := time.Duration(c.readyAt.Load())
	return at > 0 && !c.stop.Load() && c.Now()-at < c.Cfg.Sessions().Session
}

func (c *Cabin) tickRoster(ctx context.Context) error {
	t := time.NewTicker(c.Cfg.Sessions().Beat / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		var owns []form.Own
		for _, s := range c.shards {
			s.mu.Lock()
			if s.Section().Seat != nil {
				if s.Owner(c.Now()) {
					owns = append(owns, form.Own{Part: s.part, Num: s.Section().Seat.Num(), Seat: c.me})
				} else if h := s.Section().Seat.Hint(); h.Num > 0 {
					owns = append(owns, h)
				}
			}
			s.mu.Unlock()
		}
		if now := c.isReady(); c.ready.Swap(now) != now {
			c.turned(now)
		}
		me := c.member() // takes the shards' locks, so before the roster's
		c.rmu.Lock()
		o := c.rost.Tick(c.Now(), me, owns)
		v := c.rost.View()
		c.rmu.Unlock()
		c.view.Store(v)
		for _, m := range o.Sends {
			c.Line.Send(m)
		}
		if o.Found != nil {
			c.found(o.Found)
		}
	}
}

// found makes the first group of every part, in one transaction.
func (c *Cabin) found(seats []form.Seat) {
	c.Book.Say("fleet", "nobody knows of a group: the fleet is founded with %v", seats)
	var saves []notary.Save
	var sends []form.Send
	for _, s := range c.shards {
		s.mu.Lock()
		o := s.Found(c.Now(), form.Group{Num: 1, Seats: seats})
		s.mu.Unlock()
		saves, sends = append(saves, o.Saves...), append(sends, o.Sends...)
	}
	c.toDisk(saves)
	for _, m := range sends {
		c.Line.Send(m)
	}
}

// turned notes that the daemon became ready, or no longer is; the first time
// is written out.
func (c *Cabin) turned(ready bool) {
	switch {
	case !ready:
		c.Book.Note("ready", "no more: %s", c.unready())
	case c.begun.Swap(true):
		c.Book.Note("ready", "again")
	default:
		c.Book.Say("ready", "ready %v after the start", c.Now().Round(time.Millisecond))
	}
}

func (c *Cabin) isReady() bool {
	if c.stop.Load() {
		return false
	}
	_, a := c.Last(0, tariff.PlanKey)
	_, b := c.Last(0, tariff.CellKey)
	return a && b
}

// Plan names the plan in force here, if it is under valid leases.
//
// Example: id, version, ok := c.Plan()
func (c *Cabin) Plan() (id string, version uint64, ok bool) {
	rec, ok := c.Read(0, tariff.PlanKey)
	if !ok {
		return "", 0, false
	}
	p := c.plans.Open(rec)
	return p.ID, p.Version, true
}

// OpenPlan reads a plan record, once a version; the plan is not to be changed.
//
// Example: plan := c.OpenPlan(rec)
func (c *Cabin) OpenPlan(rec form.Rec) tariff.Plan { return c.plans.Open(rec) }
