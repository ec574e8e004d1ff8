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

// Config configures the clients of a Load.
type Config struct {
	Rate              float64 // requests a second
	Retries           int     // retries after the first try
	PersistentClients int     // clients that reuse their connections
	Zones             []string
	Seed              int64
	Name              string   // prefix of client names and attempt ids
	Keys              []string // tenants' API keys, assigned to the clients round-robin; empty: clients send no key
}

// Load generates requests from many clients.
type Load struct {
	Config
	log          *record.Log
	balancer     *entry.Balancer
	requestKinds atomic.Pointer[[]RequestKind]
	lastID       atomic.Int64
	wg           sync.WaitGroup
}

// New returns a load generator whose clients connect through the given load balancer.
//
// Example: l := client.New(cfg, log, door); l.SetRequestKinds(kinds); l.Run(ctx)
func New(c Config, log *record.Log, balancer *entry.Balancer) *Load {
	return &Load{Config: c, log: log, balancer: balancer}
}

// SetRequestKinds sets the kinds of requests that clients send from now on.
//
// Example: l.SetRequestKinds([]client.RequestKind{{Route: r, Weight: 1}})
func (l *Load) SetRequestKinds(kinds []RequestKind) { l.requestKinds.Store(&kinds) }

// client is one simulated client.
type client struct {
	name      string
	zone      string
	keepAlive bool
	conn      *conn
	rng       *rand.Rand
	key       string // API key of its tenant
}

// Run sends requests until the context is canceled, then waits for those in flight.
//
// Example: go l.Run(ctx)
func (l *Load) Run(ctx context.Context) {
	rng := rand.New(rand.NewSource(l.Seed))
	idle := make(chan *client, l.PersistentClients)
	for i := range l.PersistentClients {
		idle <- &client{name: fmt.Sprintf("%s-keeps-%d", l.Name, i), zone: l.Zones[i%len(l.Zones)], keepAlive: true, rng: rand.New(rand.NewSource(l.Seed + int64(i) + 1))}
	}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			l.wg.Wait()
			for range l.PersistentClients {
				if c := <-idle; c.conn != nil {
					l.checkIdle(c)
					_ = c.conn.Close()
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
		a := pickWeighted(*l.requestKinds.Load(), c.rng)
		l.wg.Go(func() {
			l.sendWithRetries(context.WithoutCancel(ctx), c, a)
			if c.keepAlive {
				idle <- c
			}
		})
	}
}

func pickWeighted(kinds []RequestKind, rng *rand.Rand) RequestKind {
	sum := 0
	for _, a := range kinds {
		sum += a.Weight
	}
	n := rng.Intn(max(1, sum))
	for _, a := range kinds {
		if n -= a.Weight; n < 0 {
			return a
		}
	}
	return kinds[0]
}

// newMessage builds a request of the given kind; all its tries send the same body.
func (l *Load) newMessage(c *client, a RequestKind) message {
	m := message{
		RequestKind: a, host: a.Route.Host, method: "POST", target: fmt.Sprintf("%s%s?n=%d", a.Route.Start, a.Path, c.rng.Intn(1000)), chunked: c.rng.Intn(4) == 0,
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

// checkIdle records bytes that arrived on an idle connection and reports whether
// the connection is still open.
func (l *Load) checkIdle(c *client) bool {
	b, open := c.conn.unsolicited()
	if b != "" {
		t := &record.Try{ID: "", Client: c.name, Daemon: c.conn.daemon.Name, Sent: l.log.Now(), End: l.log.Now(), Fault: fmt.Sprintf("bytes on an idle connection: %q", b)}
		l.log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
	}
	return open
}

// sendWithRetries sends one request and retries it until it succeeds, must not be
// retried or runs out of time.
func (l *Load) sendWithRetries(ctx context.Context, c *client, a RequestKind) {
	m := l.newMessage(c, a)
	timeout := time.Duration(a.Route.GiveUpMs) * time.Millisecond
	deadline := time.Now().Add(timeout)
	targetLatency, targetGap := time.Duration(a.Route.TargetMs)*time.Millisecond, time.Duration(a.Route.GapMs)*time.Millisecond
	readTimeout := timeout
	if a.Route.Kind == wire.Streaming {
		readTimeout = max(2*time.Second, 4*targetLatency, 8*targetGap)
	}
	for try := 0; try <= l.Retries; try++ {
		if m.timeLeft = time.Until(deadline); m.timeLeft <= 0 {
			return
		}
		t := l.sendOnce(ctx, c, &m, try, readTimeout, deadline)
		if t == nil {
			continue // no daemon accepted the connection
		}
		var done, sent bool
		var retryAfter float64
		l.log.Do(func(*record.All) {
			done, sent, retryAfter = t.Served(), t.SentFully > 0, t.RetryIn
			switch {
			case done || t.Status/100 == 2 && t.Complete:
				done = true
			case t.Status == 400 || t.Status == 401 || t.Status == 404 || t.Status == 413 || t.Status == 431:
				done = true
			case len(t.Pieces) > 0: // an interrupted stream
				done = !a.Route.Resume
				m.lastEvent = t.Pieces[len(t.Pieces)-1].ID
			case !a.Route.Repeatable():
				done = sent && !t.Promised()
			}
		})
		if done {
			return
		}
		if wait := min(time.Duration(retryAfter*float64(time.Second)), time.Until(deadline)/3); wait > 0 {
			timer := time.NewTimer(wait)
			<-timer.C
		}
	}
}

// sendOnce sends one try of a request. It returns nil if no daemon accepted the connection.
func (l *Load) sendOnce(ctx context.Context, c *client, m *message, try int, readTimeout time.Duration, deadline time.Time) *record.Try {
	if c.conn != nil && (try > 0 || !l.checkIdle(c)) {
		_ = c.conn.Close()
		c.conn = nil
	}
	used := c.conn
	if used == nil {
		d, ok := l.balancer.Pick(c.name, c.zone, try)
		if !ok {
			return nil
		}
		var err error
		if used, err = dial(ctx, d); err != nil {
			return nil
		}
	}
	m.id = fmt.Sprintf("%s%08x", l.Name, l.lastID.Add(1))
	t := l.recordTry(used.daemon, m, deadline)
	t.Client = c.name
	keep := used.exchange(l.log, *m, t, readTimeout, deadline)
	l.log.Do(func(*record.All) { t.End = l.log.Now() })
	if c.conn = used; !keep || !c.keepAlive {
		if keep {
			l.checkIdle(c)
		}
		_ = used.Close()
		c.conn = nil
	}
	return t
}

func (l *Load) recordTry(d entry.Daemon, m *message, deadline time.Time) *record.Try {
	now := l.log.Now()
	t := &record.Try{
		ID: m.id, Daemon: d.Name, Life: d.Life, Host: m.host, Target: m.target, Method: m.method, Body: server.Digest([]byte(m.body)), Route: m.Route.Name,
		Resume: m.lastEvent, Prompt: m.prompt(), Key: m.key, Sent: now, Deadline: now + time.Until(deadline),
	}
	l.log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
	return t
}

// Probe sends one request directly to a daemon and returns its record.
//
// Example: t := l.Probe(ctx, daemon, "new.example", "/a/", route)
func (l *Load) Probe(ctx context.Context, d entry.Daemon, host, path string, r wire.Route) *record.Try {
	key := ""
	if len(l.Keys) > 0 {
		key = l.Keys[0]
	}
	return l.ProbeAs(ctx, d, host, path, r, Identity{Key: key})
}

// Identity holds the credentials that a client sends.
type Identity struct {
	Key    string // empty: none is sent
	Tenant string // value of the tenant header, which clients must not set; empty: not set
}

// ProbeAs is like Probe but sends the given identity.
//
// Example: t := l.ProbeAs(ctx, daemon, "new.example", "/a/", route, client.Identity{Key: "unknown"})
func (l *Load) ProbeAs(
	ctx context.Context, d entry.Daemon, host, path string, r wire.Route, who Identity,
) *record.Try {
	deadline := time.Now().Add(2 * time.Second)
	m := &message{RequestKind: RequestKind{Route: r}, id: fmt.Sprintf("%sprobe%06x", l.Name, l.lastID.Add(1)), host: host, method: "POST", target: path + "probe", body: "probe", timeLeft: 2 * time.Second, key: who.Key, tenant: who.Tenant}
	nc, err := dial(ctx, d)
	if err != nil {
		return nil
	}
	defer func() { _ = nc.Close() }()
	t := l.recordTry(d, m, deadline)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "probe", true })
	_ = nc.exchange(l.log, *m, t, 2*time.Second, deadline)
	l.log.Do(func(*record.All) { t.End = l.log.Now() })
	return t
}
