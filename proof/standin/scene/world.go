// Package scene runs scenarios of faults and changes on a deployment: a fleet of real
// daemons with stand-in servers, clients and an operator. Package rules checks the
// outcome.
package scene

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/proof/standin/client"
	"mulleinmast/proof/standin/cloud"
	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/operator"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/rules"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
	"mulleinmast/proof/track"
)

// Error is the class of errors in starting a deployment.
var Error = errs.Class("scene")

// Config describes a deployment.
type Config struct {
	Dir     string
	Program string  // the daemon
	Old     string  // another build of the daemon, for a mixed fleet; empty: none
	Pace    float64 // factor on the bounds: 1 is the platform's values, less is faster
	PerZone int     // machines in each of the three zones
	Short   bool    // shortens long scenes
	Rate    float64 // requests per second
	Seed    int64
	// Forming is called once the processes of a new fleet have been started, before they are ready; nil: nothing.
	Forming func(ctx context.Context, w *World)
	// Customers of the initial configuration. Clients use the first key of each in turn. Without customers,
	// clients need no key.
	Customers []wire.Customer
}

// Zones are the zones of every deployment.
var Zones = []string{"north", "south", "west"}

// Bounds returns the bounds of the rules at a pace.
//
// Example: b := scene.Bounds(1); b.Drain == 3*time.Second
func Bounds(pace float64) rules.Bounds {
	d := func(ms float64) time.Duration { return time.Duration(ms * pace * float64(time.Millisecond)) }
	return rules.Bounds{
		InTouch: d(3000), Drain: d(3000), Grace: max(d(8000), 4500*time.Millisecond), LostSlack: 200 * time.Millisecond, Apply: d(2000), GoBack: 250 * time.Millisecond,
		Evacuate: d(5000), Recovery: d(12000), Lease: d(3000), RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdOverrun: 1.5, ColdSlack: 5,
		QuotaWindow: 5 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 20,
	}
}

// World is a running deployment with all that surrounds it.
type World struct {
	Config
	Bounds rules.Bounds
	Log    *record.Log
	Fleet  *fleet.Fleet
	Cloud  *cloud.Cloud
	Entry  *entry.Balancer
	Op     *operator.Operator
	Load   *client.Load
	Routes []wire.Route // of the initial configuration
	notes  []string
	failed bool

	peers   server.Peers
	mu      sync.Mutex
	servers []*server.Server
	born    int
	ports   int
	stop    []func()
}

// Note adds a note to the report.
//
// Example: w.Note("a new leader after %v", took)
func (w *World) Note(how string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%6.2fs ", w.Log.Now().Seconds())+fmt.Sprintf(how, args...))
}

// Fail fails the scene and adds the reason to the report.
//
// Example: w.Fail("no leader after %v", limit)
func (w *World) Fail(how string, args ...any) {
	w.Note("FAILED "+how, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
}

// Until waits for a condition and fails the scene if it is not met within a limit.
//
// Example: w.Until(ctx, 12*time.Second, "ready", func() bool { return w.Entry.In() == 6 })
func (w *World) Until(ctx context.Context, limit time.Duration, what string, cond func() bool) bool {
	ok := track.Until(ctx, limit, cond)
	if !ok {
		w.Fail("%s: not within %v", what, limit)
	}
	return ok
}

// New creates a deployment and starts its servers and server list, but no daemons.
//
// Example: w, err := scene.New(cfg); defer w.Stop()
func New(c Config) (*World, error) {
	w := &World{Config: c, Bounds: Bounds(c.Pace), Log: record.New(), ports: 8080}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return w, Error.Wrap(err)
	}
	at, err := fleet.FreeNet()
	if err != nil {
		return w, err
	}
	lag := time.Duration(800 * c.Pace * float64(time.Millisecond))
	cc := cloud.Config{Address: at + ".250:8266", Lag: lag, Rate: 42, PageSize: 4}
	if w.Cloud, err = cloud.Start(cc, w.Log); err != nil {
		return w, err
	}
	w.stop = append(w.stop, w.Cloud.End)
	w.Fleet = fleet.New(fleet.Config{
		Dir: c.Dir, Program: c.Program, Old: c.Old, Net: at, Zones: Zones, PerZone: c.PerZone, Bounds: w.Bounds, Ack: time.Duration(4000 * max(c.Pace, 0.7) * float64(time.Millisecond)),
		Cloud: cc.Address, Lag: lag, Rate: cc.Rate,
	}, w.Log)
	w.Entry = entry.New(w.Fleet.Daemons)
	w.Op = operator.New(w.Log, w.Fleet.Daemons, 20*time.Second)
	crowd := client.Config{
		Rate: c.Rate, Retries: 2, PersistentClients: 12, Zones: Zones, Seed: c.Seed, Name: fmt.Sprintf("%04x", c.Seed&0xffff),
	}
	for _, customer := range c.Customers {
		crowd.Keys = append(crowd.Keys, customer.Keys[0])
	}
	w.Load = client.New(crowd, w.Log, w.Entry)
	for i := range 6 {
		if _, err := w.Serve("gen", Zones[i%3], []string{wire.Prefill, wire.Decode}[i/3], 0); err != nil {
			return w, err
		}
	}
	for _, svc := range []string{"plain", "other"} {
		for i := range 3 {
			if _, err := w.Serve(svc, Zones[i], "", 0); err != nil {
				return w, err
			}
		}
	}
	return w, nil
}

// Serve starts another server and adds it to the list.
//
// Example: s, err := w.Serve("gen", "north", wire.Decode, 2*time.Second)
func (w *World) Serve(svc, zone, phase string, cold time.Duration) (*server.Server, error) {
	w.mu.Lock()
	w.born++
	n := w.born
	w.mu.Unlock()
	return w.ServeAt(fmt.Sprintf("%s.%d:8080", w.Fleet.Net, 100+n), svc, zone, phase, cold)
}

// ServeAt starts another server at an address, which may be reused.
//
// Example: s, err := w.ServeAt(old.Address, "plain", "north", "", 0)
func (w *World) ServeAt(addr, svc, zone, phase string, cold time.Duration) (*server.Server, error) {
	c := server.Config{
		ID: fmt.Sprintf("i-%s-%x", svc, time.Now().UnixNano()&0xffffffff), Service: svc, Zone: zone, Address: addr, Phase: phase, Slots: 16, Queue: 24, Health: "/health",
		Work: 10 * time.Millisecond, KeepAlive: 4 * time.Second, TellsLoad: true, ColdFor: cold, ColdRate: 12,
	}
	c.Changed = func(s *server.Server) { w.Cloud.Put(s.ID, s) }
	if phase != "" {
		c.PrefillRate, c.Step, c.Memory, c.TokenBytes, c.Mbps, c.Hold, c.Switch = 20, 15*time.Millisecond, 60000, 18432, 550000, 2*time.Second, 300*time.Millisecond
	}
	s, err := server.Start(c, w.Log, &w.peers)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.Cloud.Put(s.ID, s)
	return s, nil
}

// Servers returns the running servers of a service, or all if the service is empty.
//
// Example: for _, s := range w.Servers("gen") { s.InjectFault(server.Break, 2) }
func (w *World) Servers(svc string) (out []*server.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.Service == svc || svc == "" {
			out = append(out, s)
		}
	}
	return out
}

func (w *World) removeServer(s *server.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.servers {
		if x == s {
			w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
			return
		}
	}
}

// Release drains and stops a server as the platform does.
//
// Example: w.Release(ctx, s)
func (w *World) Release(ctx context.Context, s *server.Server) {
	s.Drain()
	w.Cloud.Put(s.ID, s)
	t := time.NewTimer(w.Cloud.Lag + w.Bounds.Drain + time.Second) // a margin of a second
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	w.removeServer(s)
	s.End()
	w.Cloud.Remove(s.ID)
}

// Crash ends a server abruptly; it stays on the list for a second.
//
// Example: w.Crash(ctx, s)
func (w *World) Crash(ctx context.Context, s *server.Server) {
	w.removeServer(s)
	s.Crash()
	t := time.NewTimer(time.Second)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	w.Cloud.Remove(s.ID)
}

// Stop stops all daemons, servers and clients.
//
// Example: defer w.Stop()
func (w *World) Stop() {
	for _, f := range w.stop {
		f()
	}
	w.stop = nil
	if w.Fleet != nil {
		w.Fleet.Stop()
	}
	for _, s := range w.Servers("") {
		s.End()
		w.removeServer(s)
	}
}

// firstConfig returns the initial configuration.
func (w *World) firstConfig() wire.Config {
	run := &wire.Runtime{Slots: 16, Memory: 60000, TokenBytes: 18432, Mbps: 550000, Interval: 1, HoldS: 2, SwitchS: 0.3, Models: []wire.Weights{{Name: "m", Version: 1, Adapters: []string{}}}}
	c := wire.Config{Version: 5, Limits: wire.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderWaitMs: 3000, IdleMs: 15000}}
	for _, svc := range []string{"gen", "plain", "other"} {
		s := wire.Service{Name: svc, Health: "/health", Conns: 300, Protocol: "h1", ColdS: 2, ColdRate: 12}
		if svc == "gen" {
			s.Runtime = run
		}
		c.Services = append(c.Services, s)
	}
	for _, r := range []wire.Route{
		{Name: "r-safe", Host: "nony24.example", Start: "/safe/", Kind: wire.Safe, Service: "plain"},
		{Name: "r-unsafe", Host: "nony24.example", Start: "/safe/but/", Kind: wire.Unsafe, Service: "plain"},
		{Name: "r-stream", Host: "ficu95.example", Start: "/lohu930/", Kind: wire.Streaming, Service: "gen"},
		{Name: "r-resume", Host: "ficu95.example", Start: "/pufi791/", Kind: wire.Streaming, Resume: true, Weighted: []wire.Weighted{{Service: "gen", Share: 90}, {Service: "gen", Share: 10}}},
	} {
		r.GiveUpMs, r.TargetMs, r.GapMs, r.Tries, r.Urgency = 5000, 800, 250, 3, len(c.Routes)
		c.Routes = append(c.Routes, r)
	}
	w.Routes, c.Customers = c.Routes, w.Customers
	return c
}

// Menu returns the requests that clients send for routes.
//
// Example: w.Load.SetRequestKinds(w.Menu(routes))
func (w *World) Menu(routes []wire.Route) (out []client.RequestKind) {
	for _, r := range routes {
		a := client.RequestKind{Route: r, Weight: 2, Path: "x"}
		if r.Kind == wire.Streaming {
			a.Weight, a.In, a.Out, a.Shared = 3, 3000, 8, []int{1600, 800}
			if r.Resume {
				a.In, a.Out, a.Shared = 900, 16, []int{400}
			}
		}
		out = append(out, a)
	}
	return out
}

// WaitServed waits until n more tries were served.
//
// Example: w.WaitServed(ctx, 100)
func (w *World) WaitServed(ctx context.Context, n int) bool {
	_, before, _ := w.countTries()
	return w.Until(ctx, 30*time.Second+time.Duration(float64(n)/w.Rate*4)*time.Second, fmt.Sprint(n, " more served"), func() bool {
		_, now, _ := w.countTries()
		return now >= before+n
	})
}

// Start starts the daemons, sends the initial configuration and starts the clients.
//
// Example: err := w.Start(ctx)
func (w *World) Start(ctx context.Context) error {
	if err := w.Fleet.Start(); err != nil {
		return err
	}
	with, cut := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { w.Entry.Serve(with) })
	w.stop = append([]func(){func() { cut(); wait.Wait() }}, w.stop...)
	if w.Forming != nil {
		w.Forming(ctx, w)
	}
	n := len(w.Fleet.Machines())
	if !track.Until(ctx, 30*time.Second, func() bool { return w.Entry.InRotation() == n }) {
		return Error.New("only %d of %d daemons are ready; logs in %s", w.Entry.InRotation(), n, w.Dir)
	}
	w.Note("%d daemons are ready", n)
	if c := w.Op.Put(ctx, w.firstConfig(), 0); c.Status != 200 {
		return Error.New("the initial configuration was answered %d", c.Status)
	}
	if !track.Until(ctx, 20*time.Second, func() bool { return w.servedByAll(ctx) }) {
		return Error.New("some daemons do not serve the initial configuration; logs in %s", w.Dir)
	}
	w.Note("the initial configuration is applied")
	w.Load.SetRequestKinds(w.Menu(w.Routes))
	wait.Go(func() { w.Load.Run(with) })
	return nil
}

// servedByAll reports whether each daemon serves the first route.
func (w *World) servedByAll(ctx context.Context) bool {
	for _, d := range w.Fleet.Daemons() {
		if t := w.Load.Probe(ctx, d, w.Routes[0].Host, w.Routes[0].Start, w.Routes[0]); t == nil || !t.Served() {
			return false
		}
	}
	return true
}
