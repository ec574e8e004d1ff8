// Package entry simulates the platform's load balancer: it checks the readiness of
// every daemon each second and assigns each new connection to a daemon in the
// client's zone, chosen by a hash of the client's name.
package entry

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinmast/proof/standin/wire"
	"mulleinmast/wire/httpresponse"
)

// Daemon describes a daemon to the load balancer and the operator.
type Daemon struct {
	Name, Zone               string
	Public, Readiness, Admin string // addresses; Admin serves the operator's calls
	Life                     int    // number of times its process was started
}

const maxMisses = 2 // failed checks in a row that take a daemon out of rotation

// Balancer is the load balancer.
type Balancer struct {
	daemons func() []Daemon
	client  *http.Client

	mu           sync.Mutex
	failedChecks map[string]int // failed readiness checks since the last success, by daemon
	inRotation   map[string]bool
	rounds       int
}

// New returns a load balancer for the daemons that list returns.
//
// Example: e := entry.New(fleet.Daemons)
func New(daemons func() []Daemon) *Balancer {
	transport := httpresponse.NewTransport(&net.Dialer{})
	transport.DisableKeepAlives = true
	return &Balancer{
		daemons: daemons, failedChecks: map[string]int{}, inRotation: map[string]bool{},
		client: &http.Client{Timeout: 900 * time.Millisecond, Transport: transport},
	}
}

// Serve checks all daemons each second until the context is canceled.
//
// Example: go e.Serve(ctx)
func (e *Balancer) Serve(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		e.checkAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Balancer) checkAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, d := range e.daemons() {
		wait.Go(func() {
			ok := e.checkReady(ctx, d)
			e.mu.Lock()
			defer e.mu.Unlock()
			if ok {
				e.failedChecks[d.Name], e.inRotation[d.Name] = 0, true
				return
			}
			if e.failedChecks[d.Name]++; e.failedChecks[d.Name] >= maxMisses {
				e.inRotation[d.Name] = false
			}
		})
	}
	wait.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rounds++
}

func (e *Balancer) checkReady(ctx context.Context, d Daemon) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Readiness+wire.ReadyPath, nil)
	if err != nil {
		return false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// InRotation returns the number of daemons that receive new connections.
//
// Example: for e.InRotation() < 6 { wait() }
func (e *Balancer) InRotation() int {
	all := e.daemons()
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, d := range all {
		if e.inRotation[d.Name] {
			n++
		}
	}
	return n
}

// Pick returns the daemon for a client's connection; each further try selects the next
// daemon. It reports false if there are no daemons.
//
// Example: d, ok := e.Pick("c-17", "north", 0)
func (e *Balancer) Pick(client, zone string, try int) (Daemon, bool) {
	all := e.daemons()
	e.mu.Lock()
	defer e.mu.Unlock()
	var zoneDaemons, candidates, ready []Daemon
	for _, d := range all {
		if e.inRotation[d.Name] {
			ready = append(ready, d)
		}
		if d.Zone == zone {
			zoneDaemons = append(zoneDaemons, d)
			if e.inRotation[d.Name] {
				candidates = append(candidates, d)
			}
		}
	}
	switch { // none of the zone in rotation: other zones; fewer than half: all of the zone
	case len(candidates) == 0 && len(ready) > 0:
		candidates = ready
	case len(candidates)*2 < len(zoneDaemons):
		candidates = zoneDaemons
	case len(candidates) == 0:
		candidates = all
	}
	if len(candidates) == 0 {
		return Daemon{}, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(client)) // hash.Hash never returns an error
	return candidates[(uint64(h.Sum32())+uint64(try))%uint64(len(candidates))], true
}
