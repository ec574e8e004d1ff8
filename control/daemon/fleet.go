package daemon

import (
	"context"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/membership"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

func (c *Daemon) member() message.Member {
	empty := c.arch != nil
	for _, s := range c.shards {
		s.mu.Lock()
		if s.Partition().Replica != nil && s.Partition().Replica.Group().Number > 0 {
			empty = false
		}
		s.mu.Unlock()
	}
	if c.shards == nil && c.arch != nil {
		for _, h := range c.arch.Partitions {
			if h.Meta.Group.Number > 0 {
				empty = false
			}
		}
	}
	return message.Member{Ident: c.me.Ident, Epoch: c.epoch, Addr: c.me.Addr, HTTPAddr: c.Cfg.HTTPAddr, Zone: c.Cfg.Zone, HasDisk: c.arch != nil, Ready: c.shown(), Empty: empty, Build: Build}
}

// shown tells whether the session table is to show this daemon as ready: a dip
// as short as a change of configuration makes is not worth telling the fleet.
func (c *Daemon) shown() bool {
	if c.ready.Load() {
		c.readyAt.Store(int64(c.Now()))
		return true
	}
	return c.wasReady(c.Cfg.MembershipConfig().SessionTimeout)
}

func (c *Daemon) tickMembership(ctx context.Context) error {
	t := time.NewTicker(c.Cfg.MembershipConfig().HeartbeatInterval / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		var owns []message.Leadership
		for _, s := range c.shards {
			s.mu.Lock()
			if s.Partition().Replica != nil {
				if s.IsLeader(c.Now()) {
					owns = append(owns, message.Leadership{Partition: s.partition, Term: s.Partition().Replica.Term(), Leader: c.me})
				} else if h := s.Partition().Replica.KnownLeader(); h.Term > 0 {
					owns = append(owns, h)
				}
			}
			s.mu.Unlock()
		}
		if now := c.isReady(); c.ready.Swap(now) != now {
			c.turned(now)
		}
		c.reportStanding()
		me := c.member() // takes the shards' locks, so before the membership table's
		o := c.tickTable(me, owns)
		if c.WhySuperseded() != "" { // the session is the other one's
			continue
		}
		for _, m := range o.Sends {
			c.Transport.Send(m)
		}
		if o.Bootstrap != nil {
			c.found(o.Bootstrap)
		}
	}
}

// tickTable lets time pass in the membership table and shows what it knows then.
func (c *Daemon) tickTable(me message.Member, owns []message.Leadership) membership.Out {
	c.rmu.Lock()
	defer c.rmu.Unlock()
	o := c.rost.Tick(c.Now(), me, owns)
	c.view.Store(c.rost.View())
	return o
}

// found makes the first group of every partition, in one transaction.
func (c *Daemon) found(replicas []message.Replica) {
	c.Events.Say("fleet", "nobody knows of a group: the fleet is founded with %v", replicas)
	var saves []quorum.Save
	var sends []message.Envelope
	for _, s := range c.shards { // a promise that a partition makes meanwhile must come to the disk later
		s.mu.Lock()
	}
	for _, s := range c.shards {
		o := s.Bootstrap(c.Now(), message.Group{Number: 1, Replicas: replicas})
		saves, sends = append(saves, o.Saves...), append(sends, o.Sends...)
	}
	c.toDisk(saves)
	for _, s := range c.shards {
		s.mu.Unlock()
	}
	for _, m := range sends {
		c.Transport.Send(m)
	}
}

// turned records that the daemon became ready, or no longer is; the first time
// is written out.
func (c *Daemon) turned(ready bool) {
	switch {
	case !ready:
		c.Events.Record("ready", "no more: %s", c.unready())
	case c.begun.Swap(true):
		c.Events.Record("ready", "again")
	default:
		c.Events.Say("ready", "ready %v after the start", c.Now().Round(time.Millisecond))
	}
}

func (c *Daemon) isReady() bool {
	if c.stop.Load() || c.WhySuperseded() != "" {
		return false
	}
	_, a := c.ReadAllowingStale(0, fleetconfig.PlanKey)
	_, b := c.ReadAllowingStale(0, fleetconfig.ZoneKey)
	return a && b
}

// Plan names the plan in force here, if it is under valid leases.
//
// Example: id, version, ok := c.Plan()
func (c *Daemon) Plan() (id string, version uint64, ok bool) {
	rec, ok := c.Read(0, fleetconfig.PlanKey)
	if !ok {
		return "", 0, false
	}
	p := c.plans.Open(rec)
	return p.ID, p.Version, true
}

// OpenPlan reads a plan record, once a version; the plan is not to be changed.
//
// Example: plan := c.OpenPlan(rec)
func (c *Daemon) OpenPlan(rec message.Record) fleetconfig.Plan { return c.plans.Open(rec) }
