// Package entry is a stand-in for the platform's address: it asks every daemon
// each second whether it is ready, and passes each new connection to one of the
// client's zone, chosen by a hash of the client.
package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"mulleinmast/proof/standin/wire"
)

// Daemon is one daemon as the platform knows it.
type Daemon struct {
	Name, Zone               string
	Public, Readiness, Steer string // addresses; Steer takes the operator's calls
	Life                     int    // counts the starts of its process
}

const misses = 2

// Entry is the address.
type Entry struct {
	list func() []Daemon
	web  *http.Client

	mu     sync.Mutex
	missed map[string]int // by daemon; absent: it has not answered yet
	in     map[string]bool
	looks  int
}

// New makes an address over the daemons that list names.
//
// Example: e := entry.New(fleet.Daemons)
func New(list func() []Daemon) *Entry {
	return &Entry{
		list: list, missed: map[string]int{}, in: map[string]bool{},
		web: &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Serve asks all daemons each second until the context ends.
//
// Example: go e.Serve(ctx)
func (e *Entry) Serve(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		e.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Entry) look(ctx context.Context) {
	var wait sync.WaitGroup
	for _, d := range e.list() {
		wait.Go(func() {
			ok := e.ask(ctx, d)
			e.mu.Lock()
			defer e.mu.Unlock()
			if ok {
				e.missed[d.Name], e.in[d.Name] = 0, true
				return
			}
			if e.missed[d.Name]++; e.missed[d.Name] >= misses {
				e.in[d.Name] = false
			}
		})
	}
	wait.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.looks++
}

func (e *Entry) ask(ctx context.Context, d Daemon) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Readiness+wire.ReadyPath, nil)
	if err != nil {
		return false
	}
	res, err := e.web.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// In counts the daemons that get new connections.
//
// Example: for e.In() < 6 { wait() }
func (e *Entry) In() int {
	all := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, d := range all {
		if e.in[d.Name] {
			n++
		}
	}
	return n
}

// Pick passes a client's connection on; a further try reaches another daemon.
//
// Example: d, ok := e.Pick("c-17", "north", 0)
func (e *Entry) Pick(client, zone string, try int) (Daemon, bool) {
	all := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	var near, in, ready []Daemon
	for _, d := range all {
		if e.in[d.Name] {
			ready = append(ready, d)
		}
		if d.Zone == zone {
			near = append(near, d)
			if e.in[d.Name] {
				in = append(in, d)
			}
		}
	}
	switch { // fewer than half of a zone's are in: all of them; none: another zone's
	case len(in) == 0 && len(ready) > 0:
		in = ready
	case len(in)*2 < len(near):
		in = near
	case len(in) == 0:
		in = all
	}
	if len(in) == 0 {
		return Daemon{}, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(client)) // a hash takes all
	return in[(uint64(h.Sum32())+uint64(try))%uint64(len(in))], true
}
