// Package cloud is a stand-in for the platform's list of servers: it comes in
// pages, lags behind what is, and takes so many calls a second.
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

// Error is the class of faults in starting the list.
var Error = errs.Class("stand-in list")

// Config is the list's manner.
type Config struct {
	Address  string
	Lag      time.Duration
	Rate     float64 // calls a second, from all daemons together
	PageSize int
}

// Source gives a server's entry as it is now.
type Source interface {
	Entry() wire.Entry
}

// state is the list as it was from a moment on.
type state struct {
	from time.Duration
	list []wire.Entry
}

// Cloud is the list.
type Cloud struct {
	Config
	log *record.Log
	srv *http.Server
	ln  net.Listener

	mu     sync.Mutex
	live   map[string]Source
	past   []state
	calls  []time.Duration
	denied int
	down   bool
}

// Start begins to serve the list.
//
// Example: c, err := cloud.Start(cloud.Config{Address: addr, Rate: 42, PageSize: 3}, log)
func Start(cfg Config, log *record.Log) (*Cloud, error) {
	ln, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Cloud{Config: cfg, log: log, ln: ln, live: map[string]Source{}}
	c.srv = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.srv.Serve(ln) }()
	return c, nil
}

// End closes the list.
//
// Example: defer c.End()
func (c *Cloud) End() { _ = c.srv.Close() }

// Put has a server stand on the list, or its entry looked at anew.
//
// Example: c.Put(s.ID, s)
func (c *Cloud) Put(id string, s Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live[id] = s
	c.turn()
}

// Drop takes a server off the list.
//
// Example: c.Drop(s.ID)
func (c *Cloud) Drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.live, id)
	c.turn()
}

// Down has the list answer 500 until told otherwise.
//
// Example: c.Down(true)
func (c *Cloud) Down(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// turn records how the list is from now on; what it shows lags behind.
func (c *Cloud) turn() {
	now := c.log.Now()
	s := state{from: now}
	for _, src := range c.live {
		s.list = append(s.list, src.Entry())
	}
	slices.SortFunc(s.list, func(a, b wire.Entry) int { return strings.Compare(a.ID, b.ID) })
	c.past = append(c.past, s)
	shown := map[string]string{}
	for _, e := range s.list {
		shown[e.ID] = e.State
	}
	c.log.Do(func(a *record.All) {
		for _, l := range a.Lives {
			state, on := shown[l.ID]
			if on && state == wire.Draining && l.DrainShown == 0 {
				l.DrainShown = now + c.Lag
			}
			if !on && l.GoneShown == 0 {
				l.GoneShown = now + c.Lag
			}
		}
	})
}

// Calls counts the calls so far, and those that were over the rate.
//
// Example: calls, denied := c.Calls()
func (c *Cloud) Calls() (calls, denied int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls), c.denied
}

// take counts a call and tells whether it is within the rate.
func (c *Cloud) take(now time.Duration) bool {
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
	case !c.take(now):
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case c.down:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q := r.URL.Query()
	// A token names the state that its first page showed, and where to go on.
	at, from := -1, 0
	if token := q.Get("page-token"); token != "" {
		if n, err := fmt.Sscanf(token, "p-%d-%d", &at, &from); err != nil || n != 2 || at < 0 || at >= len(c.past) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else {
		for i, s := range c.past {
			if s.from+c.Lag <= now {
				at = i
			}
		}
	}
	var all []wire.Entry
	if at >= 0 {
		for _, e := range c.past[at].list {
			if z := q.Get("zone"); z == "" || z == e.Zone {
				if e.ColdMs > 0 { // what is left of it now
					e.ColdMs = max(0, e.ColdMs-(now-c.past[at].from).Milliseconds())
				}
				all = append(all, e)
			}
		}
	}
	p := wire.Page{Servers: all[min(from, len(all)):min(from+c.PageSize, len(all))]}
	if p.Servers == nil {
		p.Servers = []wire.Entry{}
	}
	if from+c.PageSize < len(all) {
		next := fmt.Sprintf("p-%d-%d", at, from+c.PageSize)
		p.Next = &next
	}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // our own shape always packs
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
