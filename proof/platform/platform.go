// Package platform simulates the load balancer of the users' platform: it probes the
// readiness of every daemon once a second and assigns clients a ready daemon, preferably
// in their own zone.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mulleinmast/wire/httpresponse"
)

// Daemon is a daemon as the platform lists it.
type Daemon struct{ Addr, Zone string }

// Platform is a simulated platform.
type Platform struct {
	daemons func() []Daemon
	client  *http.Client
	mu      sync.Mutex
	ready   []Daemon
}

// New returns a platform for the daemons that the function lists.
//
// Example: p := platform.New(func() []platform.Daemon { return daemons })
func New(daemons func() []Daemon) *Platform {
	return &Platform{daemons: daemons, client: httpresponse.NewClient(800 * time.Millisecond)}
}

// Serve checks readiness every second until the context ends.
//
// Example: go p.Serve(ctx)
func (p *Platform) Serve(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		p.Check()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Check probes every daemon once, concurrently.
//
// Example: p.Check()
func (p *Platform) Check() {
	list := p.daemons()
	ok := make([]bool, len(list))
	var wg sync.WaitGroup
	for i, b := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := p.client.Get("http://" + b.Addr + "/readyz")
			if err == nil {
				ok[i] = res.StatusCode == http.StatusOK
				_ = res.Body.Close()
			}
		}()
	}
	wg.Wait()
	var ready []Daemon
	for i, b := range list {
		if ok[i] {
			ready = append(ready, b)
		}
	}
	p.mu.Lock()
	p.ready = ready
	p.mu.Unlock()
}

// Pick returns the address of a ready daemon for a client of a zone. dice is a random
// number. If no daemon is ready, it returns any daemon.
//
// Example: addr := p.Pick("zone-a", rng.Int())
func (p *Platform) Pick(zone string, dice int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []Daemon
	for _, b := range p.ready {
		if b.Zone == zone {
			candidates = append(candidates, b)
		}
	}
	if len(candidates) == 0 {
		candidates = p.ready
	}
	if len(candidates) == 0 {
		candidates = p.daemons()
	}
	return candidates[dice%len(candidates)].Addr
}
