// Package cloud simulates the platform's server list: it is paginated, lags behind
// the servers' actual state, and limits the rate of calls.
package cloud

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Error is the class of errors returned by Start.
var Error = errs.Class("stand-in list")

// Config configures the list.
type Config struct {
	Address  string
	Lag      time.Duration
	Rate     float64 // calls per second from all daemons together; 0: no limit
	PageSize int
}

// Source returns a server's current entry.
type Source interface {
	Entry() wire.Entry
}

// snapshot is the state of the list from a point in time on.
type snapshot struct {
	since   time.Duration
	entries []wire.Entry
}

// Cloud serves the list over HTTP.
type Cloud struct {
	Config
	log    *record.Log
	server *http.Server
	ln     net.Listener

	mu        sync.Mutex
	sources   map[string]Source
	snapshots []snapshot
	calls     []time.Duration
	denied    int
	down      bool
}

// Start starts serving the list.
//
// Example: c, err := cloud.Start(cloud.Config{Address: addr, Rate: 42, PageSize: 3}, log)
func Start(cfg Config, log *record.Log) (*Cloud, error) {
	ln, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Cloud{Config: cfg, log: log, ln: ln, sources: map[string]Source{}}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(ln) }()
	return c, nil
}

// End stops serving the list.
//
// Example: defer c.End()
func (c *Cloud) End() { _ = c.server.Close() }

// Put adds a server to the list or refreshes its entry.
//
// Example: c.Put(s.ID, s)
func (c *Cloud) Put(id string, s Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[id] = s
	c.takeSnapshot()
}

// Remove removes a server from the list.
//
// Example: c.Remove(s.ID)
func (c *Cloud) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sources, id)
	c.takeSnapshot()
}

// SetDown makes the list answer every call with 500 while down is true.
//
// Example: c.SetDown(true)
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// takeSnapshot stores the current state of the list, which becomes visible after Lag,
// and records when each server's drain or removal becomes visible.
func (c *Cloud) takeSnapshot() {
	now := c.log.Now()
	s := snapshot{since: now}
	for _, src := range c.sources {
		s.entries = append(s.entries, src.Entry())
	}
	slices.SortFunc(s.entries, func(a, b wire.Entry) int { return strings.Compare(a.ID, b.ID) })
	c.snapshots = append(c.snapshots, s)
	shown := map[string]string{}
	for _, e := range s.entries {
		shown[e.ID] = e.State
	}
	c.log.Do(func(a *record.All) {
		for _, l := range a.Lives {
			state, listed := shown[l.ID]
			if listed && state == wire.Draining && l.DrainShown == 0 {
				l.DrainShown = now + c.Lag
			}
			if !listed && l.GoneShown == 0 {
				l.GoneShown = now + c.Lag
			}
		}
	})
}

// Calls returns the number of calls so far and of those denied by the rate limit.
//
// Example: calls, denied := c.Calls()
func (c *Cloud) Calls() (calls, denied int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls), c.denied
}

// allowCall counts a call and reports whether it is within the rate limit.
func (c *Cloud) allowCall(now time.Duration) bool {
	c.calls = append(c.calls, now)
	n := 0
	for i := len(c.calls) - 1; i >= 0 && c.calls[i] > now-time.Second; i-- {
		n++
	}
	if c.Rate > 0 && float64(n) > c.Rate {
		c.denied++
		return false
	}
	return true
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	switch {
	case r.Method != http.MethodGet || r.URL.Path != wire.ListPath:
		w.WriteHeader(http.StatusNotFound)
		return
	case !c.allowCall(now):
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case c.down:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q := r.URL.Query()
	// A page token holds the index of the snapshot shown by the first page and the next entry's offset.
	index, offset := -1, 0
	if token := q.Get("page-token"); token != "" {
		if n, err := fmt.Sscanf(token, "p-%d-%d", &index, &offset); err != nil || n != 2 || index < 0 || index >= len(c.snapshots) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else {
		for i, s := range c.snapshots {
			if s.since+c.Lag <= now {
				index = i
			}
		}
	}
	var all []wire.Entry
	if index >= 0 {
		for _, e := range c.snapshots[index].entries {
			if z := q.Get("zone"); z == "" || z == e.Zone {
				if e.ColdMs > 0 { // subtract the time since the snapshot
					e.ColdMs = max(0, e.ColdMs-(now-c.snapshots[index].since).Milliseconds())
				}
				all = append(all, e)
			}
		}
	}
	p := wire.Page{Servers: all[min(offset, len(all)):min(offset+c.PageSize, len(all))]}
	if p.Servers == nil {
		p.Servers = []wire.Entry{}
	}
	if offset+c.PageSize < len(all) {
		next := fmt.Sprintf("p-%d-%d", index, offset+c.PageSize)
		p.Next = &next
	}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // wire.Page always marshals
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
