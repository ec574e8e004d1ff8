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
	pollTimeoutRatio  = 2   // ratio to the poll interval
	orderTimeoutRatio = 0.2 // ratio to the swap bound
)

// LoadPoller queries a model server's load.
type LoadPoller interface {
	Usage(ctx context.Context, addr string) (placement.Usage, error)
}

// OrderSender sends an order to a model server. It calls allowed just before the first byte is
// sent. After an error it is unknown whether the server received the order.
type OrderSender interface {
	Order(ctx context.Context, o placement.Order, ident string, allowed func() bool) error
}

// noDriver implements LoadPoller and OrderSender while no driver is set.
type noDriver struct{}

var errNoDriver = Error.New("no driver for model servers is set")

// Usage always fails.
//
// Example: _, err := noDriver{}.Usage(ctx, addr); err != nil
func (noDriver) Usage(context.Context, string) (u placement.Usage, err error) {
	return u, errNoDriver
}

// Order always fails.
//
// Example: noDriver{}.Order(ctx, order, ident, allowed) != nil
func (noDriver) Order(context.Context, placement.Order, string, func() bool) error {
	return errNoDriver
}

// reconcile has a partition's leader reconcile its group, its once keys and its servers, and starts
// the polls and orders that the leader requests.
func (d *Daemon) reconcile(ctx context.Context, s *shard) {
	cluster := d.clusterView()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.controller.Reconcile(d.Now(), cluster)
	term := s.controller.Term()
	d.apply(s, out)
	for _, key := range out.Polls {
		go d.pollServer(ctx, s, term, key)
	}
	for _, order := range out.Orders {
		go d.sendOrder(ctx, s, order)
	}
}

// clusterView returns the input of leaders' reconciliation: the configuration under valid leases,
// and the members. The caller must not hold a shard's lock.
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

// pollServer queries a server's load and passes the result to the leader that requested it.
func (d *Daemon) pollServer(ctx context.Context, s *shard, term uint64, key string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeoutRatio*d.Cfg.PlacementConfig().PollInterval)
	defer cancel()
	usage, err := d.LoadPoller.Usage(ctx, addrOfServer(key))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.HandlePoll(d.Now(), term, key, usage, err == nil)
}

// addrOfServer returns the address in a server record's key.
func addrOfServer(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// sendOrder sends an order to a server. The leader lease is checked again just before the first
// byte of the order is sent.
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
	s.controller.HandleOrderResult(order, err == nil)
}

// checkFence reports whether an order's fence is at least as high as that of all orders sent from
// here before. The caller holds the lock.
func (s *shard) checkFence(order placement.Order) bool {
	ok := fenceMonotonic.Hold(order.Term >= s.highestFence,
		"partition %d: order to %s has fence %d after one with fence %d", s.partition, order.Addr, order.Term, s.highestFence)
	s.highestFence = max(s.highestFence, order.Term)
	return ok
}
