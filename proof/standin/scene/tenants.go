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

// Customers are tenants with keys: one with a limit that its usual requests keep well,
// one with a small limit, and one without.
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

// Bounds of the scene tenants.
const (
	hotFor      = 7 * time.Second       // a tenant asks for many times its limit
	hotEvery    = 10 * time.Millisecond // at a daemon, in turn
	hotRequests = 64                    // of these that may be under way
)

// tenants: clients come with keys, with unknown ones, with none and with a claim to be
// another tenant; one tenant asks for many times its limit; a key is taken away.
func tenants(ctx context.Context, w *World) {
	w.probeIdentities(ctx)
	w.askForTooMuch(ctx, "k-large-2")
	w.revoke(ctx, "other", "k-other-2")
}

// probeIdentities asks each daemon as clients of all kinds, and fails the scene where the
// answer isn't the one that they should get.
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
				w.Fail("%s answers %+v with %v, expected %d", d.Name, who, statusOf(t), want)
			}
		}
	}
}

// statusOf is the status that a try got, for a message.
func statusOf(t *record.Try) string {
	if t == nil {
		return "no connection"
	}
	return fmt.Sprint(t.Status)
}

// askForTooMuch sends many times what a tenant may have, at all daemons in turn.
func (w *World) askForTooMuch(ctx context.Context, key string) {
	r := w.Routes[0]
	places := make(chan bool, hotRequests)
	var wait sync.WaitGroup
	ticker := time.NewTicker(hotEvery)
	defer ticker.Stop()
	daemons := w.Fleet.Daemons()
	var mu sync.Mutex
	ends := map[string]int{}
	for n := range int(hotFor / hotEvery) {
		<-ticker.C
		select {
		case places <- true:
		default:
			continue
		}
		d := daemons[n%len(daemons)]
		wait.Go(func() {
			defer func() { <-places }()
			t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, client.Identity{Key: key})
			mu.Lock()
			defer mu.Unlock()
			ends[statusOf(t)]++
		})
	}
	wait.Wait()
	w.Say("a tenant that asks for too much: %v", ends)
	if ends["429"] == 0 {
		w.Fail("nothing of a tenant that asks for too much is refused: %v", ends)
	}
	// The limit is 20 a second and 20 more; its clients of the crowd use some of it.
	if least := int(hotFor.Seconds()) * 10; ends["200"] < least {
		w.Fail("a tenant that asks for too much gets %v, at least %d are its own", ends, least)
	}
}

// revoke takes a key away: soon nobody is served with it, and others of its tenant are.
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
		w.Fail("a key can't be taken away: %d", c.Status)
		return
	}
	is := func(d entry.Daemon, key string, want int) bool {
		t := w.Load.ProbeAs(ctx, d, r.Host, r.Start, r, client.Identity{Key: key})
		return t != nil && t.Status == want
	}
	for _, d := range w.Fleet.Daemons() {
		w.Until(ctx, w.Bounds.Apply, d.Name+" serves nobody with the key", func() bool {
			return is(d, key, http.StatusUnauthorized)
		})
		w.Until(ctx, w.Bounds.Apply, d.Name+" serves the tenant's other key", func() bool {
			return is(d, "k-other-1", http.StatusOK)
		})
	}
}
