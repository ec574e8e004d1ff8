package daemon

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
)

// ServerSource tells which servers there are, by service. Where the platform keeps a
// list to be asked for, the leader of the configuration asks, and writes what
// changed to the leaders of the services.
type ServerSource interface {
	// List asks for the whole list; an error leaves everything as it is.
	List(ctx context.Context) (map[string][]fleetconfig.Server, error)
}

// listing is what the source said last, under one term.
type listing struct {
	term  uint64
	seq   uint64
	taken map[string][]byte // by service, as its leader took it
	over  func() bool       // the term is, or its lease
}

// tickSource asks the source at a steady pace while this daemon owns the
// configuration.
func (c *Daemon) tickSource(ctx context.Context) error {
	t := time.NewTicker(fraction(c.Cfg.Bounds.Leave, 0.15))
	defer t.Stop()
	var l listing
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		term := c.term(0)
		if term == 0 {
			continue
		}
		if l.term != term {
			l = listing{term: term, taken: map[string][]byte{}, over: func() bool { return c.term(0) != term }}
		}
		c.pull(ctx, &l)
	}
}

// term is the term under which this daemon leads a partition now; 0: it doesn't.
func (c *Daemon) term(partition int) uint64 {
	s := c.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.IsLeader(c.Now()) {
		return 0
	}
	return s.Partition().Replica.Term()
}

// pull takes one look at the source and hands on what changed.
func (c *Daemon) pull(ctx context.Context, l *listing) {
	ctx, done := context.WithTimeout(ctx, c.Cfg.Bounds.Leave/3)
	defer done()
	got, err := c.ServerSource.List(ctx)
	if err != nil {
		c.Events.Record("source", "%v", err)
		return
	}
	// While a plan is being written, which in a row of changes is nearly always,
	// it can't be read: a service that has no server any more waits for it, the
	// lists don't.
	if rec, ok := c.Read(0, fleetconfig.PlanKey); ok {
		for _, svc := range c.plans.Open(rec).Services {
			if _, ok := got[svc.Name]; !ok {
				got[svc.Name] = nil
			}
		}
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, svc := range slices.Sorted(maps.Keys(got)) {
		list := fleetconfig.List{Servers: got[svc]}
		slices.SortFunc(list.Servers, func(a, b fleetconfig.Server) int { return bytes.Compare([]byte(a.Key()), []byte(b.Key())) })
		if f := list.Validate(); f.Any() || !fleetconfig.IsValidName(svc) {
			c.Events.Record("source", "list of %q not taken: %v", svc, f.List)
			continue
		}
		val := leadercall.Pack(list)
		mu.Lock()
		same := bytes.Equal(val, l.taken[svc]) && l.taken[svc] != nil
		mu.Unlock()
		if same {
			continue
		}
		if l.over != nil && l.over() { // what it was told meanwhile is another's to hand on
			break
		}
		l.seq++
		list.Version = l.term<<24 + l.seq
		wait.Go(func() {
			if code, _ := c.Call(ctx, c.Partition(svc), "servers", leadercall.Pack(leader.ServersCall{Service: svc, List: list}), c.Cfg.Bounds.Leave/3); code == 200 {
				mu.Lock()
				l.taken[svc] = val
				mu.Unlock()
			}
		})
	}
	wait.Wait()
}
