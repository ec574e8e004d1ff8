package cabin

import (
	"context"
	"strings"

	"mulleinmast/control/interlock"
	"mulleinmast/control/master"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// works runs the owner's systems over its servers and its group.
func (c *Cabin) works(ctx context.Context, s *shard) {
	var sight master.Sight
	sight.Plan, sight.OkPlan = c.Read(0, tariff.PlanKey)
	sight.Cells, sight.OkCells = c.Read(0, tariff.CellKey)
	if c.arch != nil {
		sight.Seats, sight.OkSeats = c.Read(0, tariff.SeatKey)
	}
	sight.Strain = c.Strain
	sight.Vacant = func(seats []form.Seat) ([]form.Seat, bool) {
		c.rmu.Lock()
		defer c.rmu.Unlock()
		return c.rost.Vacant(c.Now(), seats, part(c.Cfg.Bounds.Recover, 1.5))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.Works(c.Now(), sight)
	term := s.Term()
	c.carry(s, o)
	for _, key := range o.Polls {
		go c.poll(ctx, s, term, key)
	}
	for _, ord := range o.Orders {
		go c.order(ctx, s, ord)
	}
}

func (c *Cabin) poll(ctx context.Context, s *shard, term uint64, key string) {
	ctx, done := context.WithTimeout(ctx, 2*c.Cfg.Works().Poll)
	defer done()
	u, err := c.Hands.Usage(ctx, key[strings.LastIndexByte(key, '/')+1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Polled(c.Now(), term, key, u, err == nil)
}

// order sends an order; the duty lease is looked at once more just before its
// first byte.
func (c *Cabin) order(ctx context.Context, s *shard, o interlock.Order) {
	ctx, done := context.WithTimeout(ctx, part(c.Cfg.Bounds.Swap, 0.2))
	defer done()
	err := c.Orders.Order(ctx, o, c.me.Ident, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.MayOrder(c.Now(), o.Term)
	})
	if err != nil {
		c.Book.Note("servers", "order to %s: %v", o.Addr, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Ordered(c.Now(), o, err == nil)
}
