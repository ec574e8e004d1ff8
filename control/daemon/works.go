package daemon

import (
	"context"
	"strings"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/placement"
)

// works runs the leader's systems over its servers and its group.
func (c *Daemon) works(ctx context.Context, s *shard) {
	var sight leader.ClusterView
	sight.Plan, sight.PlanValid = c.Read(0, fleetconfig.PlanKey)
	sight.Zones, sight.ZonesValid = c.Read(0, fleetconfig.ZoneKey)
	if c.arch != nil {
		sight.Replicas, sight.ReplicasValid = c.Read(0, fleetconfig.ReplicaKey)
		sight.ControlDaemons = c.View().ControlDaemons()
	}
	sight.Pressure = c.Pressure
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.Reconcile(c.Now(), sight)
	term := s.Term()
	c.carry(s, o)
	for _, key := range o.Polls {
		go c.poll(ctx, s, term, key)
	}
	for _, ord := range o.Orders {
		go c.order(ctx, s, ord)
	}
}

// undriven stands for the calls to model servers while no driver is set.
type undriven struct{}

var errUndriven = Error.New("nobody calls the model servers here")

// Usage has failed.
//
// Example: _, err := undriven{}.Usage(ctx, addr); err != nil
func (undriven) Usage(context.Context, string) (u placement.Usage, err error) {
	return u, errUndriven
}

// Order has failed.
//
// Example: undriven{}.Order(ctx, order, holder, may) != nil
func (undriven) Order(context.Context, placement.Order, string, func() bool) error {
	return errUndriven
}

func (c *Daemon) poll(ctx context.Context, s *shard, term uint64, key string) {
	ctx, done := context.WithTimeout(ctx, 2*c.Cfg.PlacementConfig().PollInterval)
	defer done()
	u, err := c.LoadPoller.Usage(ctx, key[strings.LastIndexByte(key, '/')+1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.HandlePoll(c.Now(), term, key, u, err == nil)
}

// fenced checks that an order bears no lower fence than one that this daemon gave
// before.
func (s *shard) fenced(o placement.Order) bool {
	rises := fenceRises.Hold(o.Term >= s.fence, "partition %d: an order to %s with fence %d after %d", s.partition, o.Addr, o.Term, s.fence)
	s.fence = max(s.fence, o.Term)
	return rises
}

// order sends an order; the leader lease is looked at once more just before its
// first byte.
func (c *Daemon) order(ctx context.Context, s *shard, o placement.Order) {
	ctx, done := context.WithTimeout(ctx, fraction(c.Cfg.Bounds.Swap, 0.2))
	defer done()
	err := c.OrderSender.Order(ctx, o, c.me.Ident, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.MayOrder(c.Now(), o.Term) && s.fenced(o)
	})
	if err != nil {
		c.Events.Record("servers", "order to %s: %v", o.Addr, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.HandleOrdered(c.Now(), o, err == nil)
}
