// Package platform is the stand-in for the users' platform: it asks every
// daemon once a second whether it is ready and hands clients one of their
// own zone, or of another when none there is.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Box is a daemon as the platform knows it.
type Box struct{ Addr, Zone string }

// Platform is the state.
type Platform struct {
	boxes func() []Box
	web   *http.Client
	mu    sync.Mutex
	ready []Box
}

// New makes a platform over the daemons that boxes names.
//
// Example: p := platform.New(func() []platform.Box { return boxes })
func New(boxes func() []Box) *Platform {
	return &Platform{boxes: boxes, web: &http.Client{Timeout: 800 * time.Millisecond}}
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

// Check asks every daemon once, all at the same time.
//
// Example: p.Check()
func (p *Platform) Check() {
	list := p.boxes()
	ok := make([]bool, len(list))
	var wg sync.WaitGroup
	for i, b := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := p.web.Get("http://" + b.Addr + "/readyz")
			if err == nil {
				ok[i] = res.StatusCode == http.StatusOK
				_ = res.Body.Close()
			}
		}()
	}
	wg.Wait()
	var ready []Box
	for i, b := range list {
		if ok[i] {
			ready = append(ready, b)
		}
	}
	p.mu.Lock()
	p.ready = ready
	p.mu.Unlock()
}

// Pick hands out a daemon for a client of a zone; dice is any number. With
// none ready anywhere it names any daemon.
//
// Example: addr := p.Pick("zone-a", rng.Int())
func (p *Platform) Pick(zone string, dice int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near []Box
	for _, b := range p.ready {
		if b.Zone == zone {
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		near = p.ready
	}
	if len(near) == 0 {
		near = p.boxes()
	}
	return near[dice%len(near)].Addr
}
