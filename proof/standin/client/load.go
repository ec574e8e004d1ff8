package client

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
)

// Config is how clients behave.
type Config struct {
	Rate    float64 // requests a second
	Further int     // tries after the first
	Actors  int     // clients that keep their connections
	Zones   []string
	Seed    int64
	Name    string   // begins the ids of its tries
	Keys    []string // of tenants, one for each client in turn; none: clients send no key
}

// Load is a crowd of clients.
type Load struct {
	Config
	log  *record.Log
	door *entry.Entry
	asks atomic.Pointer[[]Ask]
	ids  atomic.Int64
	wait sync.WaitGroup
}

// New makes a crowd that comes through an address.
//
// Example: l := client.New(cfg, log, door); l.Menu(asks); l.Run(ctx)
func New(c Config, log *record.Log, door *entry.Entry) *Load {
	return &Load{Config: c, log: log, door: door}
}

// Menu says what is asked for from now on.
//
// Example: l.Menu([]client.Ask{{Route: r, Weight: 1}})
func (l *Load) Menu(asks []Ask) { l.asks.Store(&asks) }

// client is one of the crowd.
type client struct {
	name string
	zone string
	keep bool
	line *line
	rng  *rand.Rand
	key  string // of its tenant
}

// Run sends requests until the context ends, and waits for their ends.
//
// Example: go l.Run(ctx)
func (l *Load) Run(ctx context.Context) {
	rng := rand.New(rand.NewSource(l.Seed))
	idle := make(chan *client, l.Actors)
	for i := range l.Actors {
		idle <- &client{name: fmt.Sprintf("%s-keeps-%d", l.Name, i), zone: l.Zones[i%len(l.Zones)], keep: true, rng: rand.New(rand.NewSource(l.Seed + int64(i) + 1))}
	}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			l.wait.Wait()
			for range l.Actors {
				if c := <-idle; c.line != nil {
					l.check(c)
					_ = c.line.Close()
				}
			}
			return
		case <-t.C:
		}
		var c *client
		select {
		case c = <-idle:
		default:
			c = &client{name: fmt.Sprintf("%s-new-%d", l.Name, n), zone: l.Zones[rng.Intn(len(l.Zones))], rng: rand.New(rand.NewSource(rng.Int63()))}
		}
		if c.key == "" && len(l.Keys) > 0 {
			c.key = l.Keys[n%len(l.Keys)]
		}
		a := pick(*l.asks.Load(), c.rng)
		l.wait.Go(func() {
			l.request(context.WithoutCancel(ctx), c, a)
			if c.keep {
				idle <- c
			}
		})
	}
}

func pick(asks []Ask, rng *rand.Rand) Ask {
	sum := 0
	for _, a := range asks {
		sum += a.Weight
	}
	n := rng.Intn(max(1, sum))
	for _, a := range asks {
		if n -= a.Weight; n < 0 {
			return a
		}
	}
	return asks[0]
}

// message makes a request of a kind; all its tries have the same body.
func (l *Load) message(c *client, a Ask) message {
	m := message{
		Ask: a, host: a.Route.Host, method: "POST", target: fmt.Sprintf("%s%s?n=%d", a.Route.Start, a.Path, c.rng.Intn(1000)), chunked: c.rng.Intn(4) == 0,
		body: strings.Repeat("prompt ", 1+c.rng.Intn(60)), key: c.key,
	}
	if a.In > 0 {
		var parts []string
		rest := a.In
		for i, n := range a.Shared {
			parts = append(parts, fmt.Sprintf("%08x:%d", 0xa0000000+len(a.Route.Name)*256+i, n))
			rest -= n
		}
		m.parts = strings.Join(append(parts, fmt.Sprintf("%08x:%d", c.rng.Uint32(), max(1, rest))), ",")
	}
	return m
}

// check messages bytes that came on an idle connection.
func (l *Load) check(c *client) bool {
	b, open := c.line.unasked()
	if b != "" {
		t := &record.Try{ID: "", Client: c.name, Daemon: c.line.daemon.Name, Sent: l.log.Now(), End: l.log.Now(), Fault: fmt.Sprintf("bytes on an idle connection: %q", b)}
		l.log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
	}
	return open
}

// request sees one request through all its tries.
func (l *Load) request(ctx context.Context, c *client, a Ask) {
	m := l.message(c, a)
	total := time.Duration(a.Route.GiveUpMs) * time.Millisecond
	until := time.Now().Add(total)
	aim, gap := time.Duration(a.Route.TargetMs)*time.Millisecond, time.Duration(a.Route.GapMs)*time.Millisecond
	silence := total
	if a.Route.Kind == wire.Streaming {
		silence = max(2*time.Second, 4*aim, 8*gap)
	}
	for try := 0; try <= l.Further; try++ {
		if m.left = time.Until(until); m.left <= 0 {
			return
		}
		t := l.try(ctx, c, &m, try, silence, until)
		if t == nil {
			continue // nobody could be reached
		}
		var done, sent bool
		var back float64
		l.log.Do(func(*record.All) {
			done, sent, back = t.Served(), t.Whole > 0, t.RetryIn
			switch {
			case done || t.Status/100 == 2 && t.Complete:
				done = true
			case t.Status == 400 || t.Status == 401 || t.Status == 404 || t.Status == 413 || t.Status == 431:
				done = true
			case len(t.Pieces) > 0: // a stream that was cut
				done = !a.Route.Resume
				m.after = t.Pieces[len(t.Pieces)-1].ID
			case !a.Route.Repeatable():
				done = sent && !t.Promised()
			}
		})
		if done {
			return
		}
		if wait := min(time.Duration(back*float64(time.Second)), time.Until(until)/3); wait > 0 {
			timer := time.NewTimer(wait)
			<-timer.C
		}
	}
}

// try sends a request once; nil: no daemon took the connection.
func (l *Load) try(ctx context.Context, c *client, m *message, try int, silence time.Duration, until time.Time) *record.Try {
	if c.line != nil && (try > 0 || !l.check(c)) {
		_ = c.line.Close()
		c.line = nil
	}
	used := c.line
	if used == nil {
		d, ok := l.door.Pick(c.name, c.zone, try)
		if !ok {
			return nil
		}
		var err error
		if used, err = dial(ctx, d); err != nil {
			return nil
		}
	}
	m.id = fmt.Sprintf("%s%08x", l.Name, l.ids.Add(1))
	t := l.open(used.daemon, m, until)
	t.Client = c.name
	keep := used.exchange(l.log, *m, t, silence, until)
	l.log.Do(func(*record.All) { t.End = l.log.Now() })
	if c.line = used; !keep || !c.keep {
		if keep {
			l.check(c)
		}
		_ = used.Close()
		c.line = nil
	}
	return t
}

func (l *Load) open(d entry.Daemon, m *message, until time.Time) *record.Try {
	now := l.log.Now()
	t := &record.Try{
		ID: m.id, Daemon: d.Name, Life: d.Life, Host: m.host, Target: m.target, Method: m.method, Body: server.Digest([]byte(m.body)), Route: m.Route.Name,
		Resume: m.after, Prompt: m.prompt(), Key: m.key, Sent: now, Deadline: now + time.Until(until),
	}
	l.log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
	return t
}

// Probe sends one request straight to a daemon and gives what came of it.
//
// Example: t := l.Probe(ctx, daemon, "new.example", "/a/", route)
func (l *Load) Probe(ctx context.Context, d entry.Daemon, host, path string, r wire.Route) *record.Try {
	key := ""
	if len(l.Keys) > 0 {
		key = l.Keys[0]
	}
	return l.ProbeAs(ctx, d, host, path, r, Identity{Key: key})
}

// Identity is what a client says of itself.
type Identity struct {
	Key    string // none: it sends none
	Tenant string // that it claims to be, which no client may; none: it claims nothing
}

// ProbeAs is Probe with a key.
//
// Example: t := l.ProbeAs(ctx, daemon, "new.example", "/a/", route, client.Identity{Key: "unknown"})
func (l *Load) ProbeAs(
	ctx context.Context, d entry.Daemon, host, path string, r wire.Route, who Identity,
) *record.Try {
	until := time.Now().Add(2 * time.Second)
	m := &message{Ask: Ask{Route: r}, id: fmt.Sprintf("%sprobe%06x", l.Name, l.ids.Add(1)), host: host, method: "POST", target: path + "probe", body: "probe", left: 2 * time.Second, key: who.Key, tenant: who.Tenant}
	to, err := dial(ctx, d)
	if err != nil {
		return nil
	}
	defer func() { _ = to.Close() }()
	t := l.open(d, m, until)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "probe", true })
	_ = to.exchange(l.log, *m, t, 2*time.Second, until)
	l.log.Do(func(*record.All) { t.End = l.log.Now() })
	return t
}
