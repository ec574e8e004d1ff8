package daemon

import (
	"context"
	"strings"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/placement"
)

// Timeouts of calls to model servers.
const (
	pollTimeoutRatio  = 2   // to the poll interval
	orderTimeoutRatio = 0.2 // to the swap bound
)

// LoadPoller asks a server for its load.
type LoadPoller interface {
	Usage(ctx context.Context, addr string) (placement.Usage, error)
}

// OrderSender gives a server an order. allowed is asked just before the first byte
// goes out. An error means that the server may or may not have taken the order.
type OrderSender interface {
	Order(ctx context.Context, o placement.Order, ident string, allowed func() bool) error
}

// noDriver stands for the calls to model servers while no driver is set.
type noDriver struct{}

var errNoDriver = Error.New("nobody calls the model servers here")

// Usage fails.
//
// Example: _, err := noDriver{}.Usage(ctx, addr); err != nil
func (noDriver) Usage(context.Context, string) (u placement.Usage, err error) {
	return u, errNoDriver
}

// Order fails.
//
// Example: noDriver{}.Order(ctx, order, ident, allowed) != nil
func (noDriver) Order(context.Context, placement.Order, string, func() bool) error {
	return errNoDriver
}

// reconcile runs a partition's leader over its group, its once keys and its servers,
// and calls the servers that it names.
func (d *Daemon) reconcile(ctx context.Context, s *shard) {
	cluster := d.clusterView()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.controller.Reconcile(d.Now(), cluster)
	term := s.controller.Term()
	d.carryOut(s, out)
	for _, key := range out.Polls {
		go d.pollServer(ctx, s, term, key)
	}
	for _, order := range out.Orders {
		go d.sendOrder(ctx, s, order)
	}
}

// clusterView is what leaders reconcile by: the configuration under valid leases,
// and the members. No shard's lock is held.
func (d *Daemon) clusterView() (view leader.ClusterView) {
	view.Plan, view.PlanValid = d.Read(0, fleetconfig.PlanKey)
	view.Zones, view.ZonesValid = d.Read(0, fleetconfig.ZoneKey)
	if d.store != nil {
		view.Replicas, view.ReplicasValid = d.Read(0, fleetconfig.ReplicaKey)
		view.ControlDaemons = d.View().ControlDaemons()
	}
	view.Pressure = d.Pressure
	return view
}

// pollServer asks a server for its load and reports the answer to the leader that
// asked for it.
func (d *Daemon) pollServer(ctx context.Context, s *shard, term uint64, key string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeoutRatio*d.Cfg.PlacementConfig().PollInterval)
	defer cancel()
	usage, err := d.LoadPoller.Usage(ctx, addrOfServer(key))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.HandlePoll(d.Now(), term, key, usage, err == nil)
}

// addrOfServer is the address in a server record's key.
func addrOfServer(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// sendOrder gives a server an order; the leader lease is checked once more just
// before its first byte.
func (d *Daemon) sendOrder(ctx context.Context, s *shard, order placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, fraction(d.Cfg.Bounds.Swap, orderTimeoutRatio))
	defer cancel()
	allowed := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.controller.MayOrder(d.Now(), order.Term) && s.checkFence(order)
	}
	err := d.OrderSender.Order(ctx, order, d.self.Ident, allowed)
	if err != nil {
		d.Events.Debug("servers", "an order failed", "server", order.Addr, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.HandleOrdered(order, err == nil)
}

// checkFence reports whether an order bears no lower fence than one that this daemon
// gave before. The lock is held.
func (s *shard) checkFence(order placement.Order) bool {
	ok := fenceRises.Hold(order.Term >= s.highestFence, "partition %d: an order to %s with fence %d after %d",
		s.partition, order.Addr, order.Term, s.highestFence)
	s.highestFence = max(s.highestFence, order.Term)
	return ok
}
