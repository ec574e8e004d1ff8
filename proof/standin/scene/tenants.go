package scene

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulleinmast/proof/standin/client"
	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Customers returns tenants with keys: one whose usual requests are well within its limit,
// one with a small limit, and one without a limit.
//
// Example: cfg.Customers = scene.Customers()
func Customers() []wire.Customer {
	urgent := 0
	return []wire.Customer{
		{Name: "large", Keys: []string{"k-large-1", "k-large-2"}, Rate: 20, Burst: 20},
		{Name: "small", Keys: []string{"k-small-1"}, Rate: 30, Burst: 15, Urgency: &urgent},
		{Name: "other", Keys: []string{"k-other-1", "k-other-2"}},
	}
}

// Parameters of the overload in the scene tenants.
const (
	overloadFor      = 7 * time.Second       // how long a tenant exceeds its limit many times
	overloadInterval = 10 * time.Millisecond // interval between requests, to the daemons in turn
	overloadRequests = 64                    // concurrent requests at most
)

// tenants sends requests with valid keys, unknown keys, no key and a forged tenant name,
// exceeds a tenant's limit many times, and removes a key, and then all customers.
func tenants(ctx context.Context, w *World) {
	w.probeIdentities(ctx)
	w.exceedLimit(ctx, "k-large-2")
	w.revoke(ctx, "other", "k-other-2")
	w.removeAllCustomers(ctx)
}

// probeIdentities sends requests with each kind of identity to each daemon and checks the
// status of the answers.
func (w *World) probeIdentities(ctx context.Context) {
	r := w.Routes[0]
	for _, d := range w.Fleet.Daemons() {
		for who, want := range map[client.Identity]int{
			{Key: "k-other-1"}:                  http.StatusOK,
			{Key: "k-other-1", Tenant: "large"}: http.StatusOK,
			{Key: "k-nobody"}:                   http.StatusUnauthorized,
			{}:                                  http.StatusUnauthorized,
			{Tenant: "large"}:                   http.StatusUnauthorized,
		} {
			t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, who)
			if t == nil || t.Status != want {
				w.Fail("%s answered a client with identity %+v with %v, expected %d", d.Name, who, statusOf(t), want)
			}
		}
	}
}

// statusOf formats the status of a try for a message.
func statusOf(t *record.Try) string {
	if t == nil {
		return "no connection"
	}
	return fmt.Sprint(t.Status)
}

// exceedLimit sends many times a tenant's limit, to all daemons in turn.
func (w *World) exceedLimit(ctx context.Context, key string) {
	r := w.Routes[0]
	slots := make(chan bool, overloadRequests)
	var wait sync.WaitGroup
	ticker := time.NewTicker(overloadInterval)
	defer ticker.Stop()
	daemons := w.Fleet.Daemons()
	var mu sync.Mutex
	ends := map[string]int{}
	for n := range int(overloadFor / overloadInterval) {
		<-ticker.C
		select {
		case slots <- true:
		default:
			continue
		}
		d := daemons[n%len(daemons)]
		wait.Go(func() {
			defer func() { <-slots }()
			t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, client.Identity{Key: key})
			mu.Lock()
			defer mu.Unlock()
			ends[statusOf(t)]++
		})
	}
	wait.Wait()
	w.Note("answers to a tenant over its limit: %v", ends)
	if ends["429"] == 0 {
		w.Fail("no request of a tenant over its limit was refused: %v", ends)
	}
	// The limit is 20 requests a second with a burst of 20; the load generator's clients of the
	// same tenant use part of it.
	if least := int(overloadFor.Seconds()) * 10; ends["200"] < least {
		w.Fail("a tenant over its limit got %v, its limit allows at least %d", ends, least)
	}
}

// revoke removes a key. Once the change is applied, requests with that key are refused, and
// those with the tenant's other key are still served.
func (w *World) revoke(ctx context.Context, tenant, key string) {
	r := w.Routes[0]
	now := w.Op.Now()
	ch := wire.Change{Version: now.Version + 2}
	for _, c := range now.Customers {
		if c.Name != tenant {
			continue
		}
		kept := make([]string, 0, len(c.Keys))
		for _, k := range c.Keys {
			if k != key {
				kept = append(kept, k)
			}
		}
		c.Keys = kept
		ch.Replace.Customers = append(ch.Replace.Customers, c)
	}
	if c := w.Op.Patch(ctx, ch, now); c.Status != http.StatusOK {
		w.Fail("the change that removes a key was answered %d", c.Status)
		return
	}
	answers := func(d entry.Daemon, key string, want int) bool {
		t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, client.Identity{Key: key})
		return t != nil && t.Status == want
	}
	for _, d := range w.Fleet.Daemons() {
		w.Until(ctx, w.Bounds.Apply, d.Name+" refuses the removed key", func() bool {
			return answers(d, key, http.StatusUnauthorized)
		})
		w.Until(ctx, w.Bounds.Apply, d.Name+" serves the tenant's other key", func() bool {
			return answers(d, "k-other-1", http.StatusOK)
		})
	}
}

// removeAllCustomers removes the customers, by name and by a complete configuration with an empty list, and puts them
// back each time. While the list is empty every daemon must refuse keys that were removed, unknown keys and requests
// without a key.
func (w *World) removeAllCustomers(ctx context.Context) {
	before := w.Op.Now()
	removeByName := wire.Change{}
	for _, customer := range before.Customers {
		removeByName.Remove.Customers = append(removeByName.Remove.Customers, customer.Name)
	}
	restore := wire.Change{}
	restore.Replace.Customers = before.Customers
	patch := func(change wire.Change) *record.Change {
		change.Version = w.Op.Now().Version + 2
		return w.Op.Patch(ctx, change, w.Op.Now())
	}
	putEmptyList := func() *record.Change {
		empty := w.Op.Now()
		base := empty.Version
		empty.Version, empty.Customers = base+2, []wire.Customer{}
		return w.Op.Put(ctx, empty, base)
	}
	for what, remove := range map[string]func() *record.Change{
		"all customers were removed":         func() *record.Change { return patch(removeByName) },
		"an empty list of customers was put": putEmptyList,
	} {
		if c := remove(); c.Status != http.StatusOK {
			w.Fail("%s: the call was answered %d", what, c.Status)
			return
		}
		w.expectNobodyServed(ctx, what)
		if c := patch(restore); c.Status != http.StatusOK {
			w.Fail("the change that puts the customers back was answered %d", c.Status)
			return
		}
		w.WaitServed(ctx, int(w.Rate))
	}
}

// expectNobodyServed checks that every daemon refuses all keys on a route that isn't public.
func (w *World) expectNobodyServed(ctx context.Context, since string) {
	w.Sleep(ctx, w.Bounds.Apply)
	r := w.Routes[0]
	for _, d := range w.Fleet.Daemons() {
		for _, key := range []string{"k-other-1", "k-large-1", "k-nobody", ""} {
			t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, client.Identity{Key: key})
			if t == nil || t.Status != http.StatusUnauthorized {
				w.Fail("%s answered a client with key %q with %v, %.0f s after %s", d.Name, key, statusOf(t), w.Bounds.Apply.Seconds(), since)
			}
		}
	}
}
