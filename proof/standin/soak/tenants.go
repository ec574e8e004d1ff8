package soak

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"mulleinmast/proof/standin/client"
	"mulleinmast/proof/standin/wire"
)

// Parameters of a tenant that exceeds its limit.
const (
	overloadInterval = 8 * time.Millisecond // interval between requests, to the daemons in turn
	overloadRequests = 48                   // concurrent requests at most
)

// tenantTroubles affect deployments with tenants.
func tenantTroubles() []trouble {
	return []trouble{
		{"a tenant asks for too much", 8, (*run).hotTenant},
		{"a key is taken away", 5, (*run).revoke},
		{"a limit changes", 5, (*run).changeLimit},
	}
}

// customer returns a random customer of the current configuration, if it has any.
func (r *run) customer(rng *rand.Rand) (wire.Customer, bool) {
	all := r.Op.Now().Customers
	if len(all) == 0 {
		return wire.Customer{}, false
	}
	return all[rng.Intn(len(all))], true
}

// hotTenant sends many times a tenant's limit for some seconds, to all daemons in turn.
func (r *run) hotTenant(ctx context.Context, rng *rand.Rand) {
	c, ok := r.customer(rng)
	if !ok || len(c.Keys) == 0 {
		return
	}
	key, length := c.Keys[rng.Intn(len(c.Keys))], between(rng, time.Second, 6*time.Second)
	r.Note("%s exceeds its limit for %v", c.Name, length.Round(100*time.Millisecond))
	slots := make(chan bool, overloadRequests)
	ticker := time.NewTicker(overloadInterval)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := range int(length / overloadInterval) {
		<-ticker.C
		all := r.Fleet.Daemons()
		if ctx.Err() != nil || len(all) == 0 {
			return
		}
		route := r.Routes[n%len(r.Routes)]
		select {
		case slots <- true:
		default:
			continue
		}
		wait.Go(func() {
			defer func() { <-slots }()
			r.Load.ProbeAs(ctx, all[n%len(all)], route.Host, route.Start, route, client.Identity{Key: key})
		})
	}
}

// revoke removes a key and restores it after a while.
func (r *run) revoke(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	c, ok := r.customer(rng)
	if !ok || len(c.Keys) < 2 {
		return
	}
	key := c.Keys[len(c.Keys)-1] // ordinary clients use the first keys
	r.Note("a key of %s is removed", c.Name)
	without := c
	without.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(k string) bool { return k == key })
	r.sendCustomer(ctx, without)
	route := r.Routes[0]
	for range 4 {
		for _, d := range r.Fleet.Daemons() {
			r.Load.ProbeAs(ctx, d, route.Host, route.Start, route, client.Identity{Key: key})
		}
		r.Sleep(ctx, r.Bounds.Apply/2)
	}
	for ctx.Err() == nil && !r.hasKeysOf(c) {
		r.sendCustomer(ctx, c)
	}
}

// hasKeysOf reports whether a customer has the same keys in the current configuration.
func (r *run) hasKeysOf(c wire.Customer) bool {
	return slices.ContainsFunc(r.Op.Now().Customers, func(now wire.Customer) bool {
		return now.Name == c.Name && slices.Equal(now.Keys, c.Keys)
	})
}

// changeLimit sets a tenant's limit far below or above its rate and restores it after a
// while.
func (r *run) changeLimit(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	c, ok := r.customer(rng)
	if !ok || c.Rate == 0 {
		return
	}
	changed := c
	changed.Rate = 2 + 40*rng.Float64()
	changed.Burst = changed.Rate * rng.Float64()
	r.Note("the limit of %s is %.1f requests a second with a burst of %.1f", c.Name, changed.Rate, changed.Burst)
	r.sendCustomer(ctx, changed)
	r.Sleep(ctx, between(rng, time.Second, 2*r.Bounds.QuotaWindow))
	for ctx.Err() == nil && !r.hasLimitOf(c) { // a change without a clear answer may have been lost
		r.sendCustomer(ctx, c)
	}
}

// hasLimitOf reports whether a customer has the same limit in the current configuration.
func (r *run) hasLimitOf(c wire.Customer) bool {
	return slices.ContainsFunc(r.Op.Now().Customers, func(now wire.Customer) bool {
		return now.Name == c.Name && now.Rate == c.Rate && now.Burst == c.Burst
	})
}

// sendCustomer sends a change of one customer.
func (r *run) sendCustomer(ctx context.Context, c wire.Customer) {
	var ch wire.Change
	ch.Replace.Customers = []wire.Customer{c}
	r.send(ctx, ch, 1)
}
