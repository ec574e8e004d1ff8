// Package daemon is the daemon: it drives the state machines with real time,
// wire and disk. Each partition is a shard under its own lock.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"

	"mulleinmast/control/clock"
	"mulleinmast/control/digest"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
	"mulleinmast/wire/transport"
)

const writeBuffer = 64 << 10

// Error is the class of start-up errors; AddressError marks an address that can't be used.
var (
	Error        = errs.Class("mulleinmast")
	AddressError = errs.Class("address")
)

// Daemon is one daemon.
type Daemon struct {
	Cfg          Config
	Events       *eventlog.Log
	Transport    *transport.Transport
	Mux          *http.ServeMux
	TrafficState func() map[string]any // what traffic adds to the state dump
	// Metrics are this daemon's own figures; drivers add theirs.
	Metrics *metrics.Set
	// Explainers tells what became of a request by its id, or of all that are known.
	Explainers []func(request string) []any
	// LoadPoller and Orders are the calls to model servers. Until a driver sets them
	// each call has failed.
	LoadPoller  LoadPoller
	OrderSender OrderSender
	// Pressure tells how hard a server is pressed; none: nobody knows.
	Pressure func(service, server string) placement.Pressure
	// OnLoadReport takes what other daemons tell of the servers' load.
	OnLoadReport func(message.Message)
	// ServerSource tells which servers there are; none: the platform PUTs the lists.
	ServerSource ServerSource

	clock    *clock.Clock
	arch     *storage.Store
	me       message.Replica
	epoch    uint64
	shards   []*shard
	view     atomic.Pointer[membership.View]
	rmu      sync.Mutex
	rost     *membership.Table
	stop     atomic.Bool
	stopAt   atomic.Int64
	plans    fleetconfig.PlanReader
	ready    atomic.Bool
	begun    atomic.Bool  // it was ready once
	readyAt  atomic.Int64 // when it was last
	standing standing     // the furthest that it came; the membership table's loop writes it

	superseded superseded
	withdrawn  withdrawn // the plan, at its changes

	dmu        sync.Mutex
	dq         storage.Batch
	dwake      chan struct{}
	diskWrites *metrics.Histogram
	terms      *metrics.Counter
	stall      atomic.Int64 // test switch: every disk write takes this long more
	refused    atomic.Int64 // writes in a row that the disk refused

	cmu   sync.Mutex
	runs  *leadercall.Calls
	calls map[uint64]chan leadercall.Result

	nmu  sync.Mutex
	news chan struct{}

	web   net.Listener
	extra []suture.Service
}

// LoadPoller asks a server for its load.
type LoadPoller interface {
	Usage(ctx context.Context, addr string) (placement.Usage, error)
}

// OrderSender gives a server an order; may is asked just before the first byte goes
// out. An error means that the server may or may not have taken it.
type OrderSender interface {
	Order(ctx context.Context, o placement.Order, holder string, may func() bool) error
}

// Open readies a daemon: data folder, addresses, machines. Nothing runs yet.
//
// Example: c, err := daemon.Open(cfg, records)
func Open(cfg Config, events *eventlog.Log) (*Daemon, error) {
	c := &Daemon{
		Cfg: cfg, Events: events, Mux: http.NewServeMux(), Metrics: metrics.NewSet(), LoadPoller: undriven{}, OrderSender: undriven{}, clock: clock.New(), epoch: 1,
		dwake: make(chan struct{}, 1), calls: map[uint64]chan leadercall.Result{}, news: make(chan struct{}), superseded: superseded{told: make(chan struct{})},
	}
	c.me = message.Replica{Ident: storage.NewIdent(), Addr: cfg.WireAddr}
	if cfg.DataFolder != "" {
		a, err := openFolder(cfg, events)
		if err != nil {
			return nil, err
		}
		c.arch, c.me.Ident, c.epoch = a, a.Ident, a.Epoch
		switch {
		case a.WasBackup:
			events.Say("disk", "the state here is a back-up: set aside as %s, starting empty as %s; the other disks have what is newer. If a majority of the disks is lost, stop all daemons, put the back-ups back, each with an empty file %s beside it", a.QuarantinePath, a.Ident, storage.MajorityLostFile)
		case a.WasSuperseded:
			events.Say("disk", "the state here was superseded; set aside as %s, starting empty as %s", a.QuarantinePath, a.Ident)
		case a.QuarantinePath != "":
			events.Say("disk", "state was damaged; set aside as %s, starting empty as %s", a.QuarantinePath, a.Ident)
		}
		if a.CorruptRecords > 0 {
			events.Say("disk", "%d records are spoilt and count as missing; the other copies have them", a.CorruptRecords)
		}
		if len(a.IncompletePartitions) > 0 {
			events.Say("disk", "partitions %v aren't what was written: they have no vote until the other copies have filled them", a.IncompletePartitions)
		}
		for p := range a.Partitions {
			if p > cfg.Partitions {
				a.Close()
				return nil, storage.Error.New("%s: holds partition %d, but parts is %d", cfg.DataFolder, p, cfg.Partitions)
			}
		}
	}
	c.Transport = &transport.Transport{PeerTimeout: cfg.VolumeLease(), Fleet: cfg.Fleet, Self: c.me, Epoch: c.epoch, Receive: c.hear, OnError: func(from string, err error) { c.Events.Trouble("wire", "%s: %v", from, err) }}
	if err := c.Transport.Listen(cfg.WireAddr); err != nil {
		c.close()
		return nil, AddressError.Wrap(err)
	}
	ln, err := net.Listen("tcp", cfg.HTTPAddr)
	if err != nil {
		c.close()
		return nil, AddressError.Wrap(err)
	}
	c.web = ln
	c.runs = leadercall.New(leadercall.Config{TryTimeout: cfg.VolumeLease() / 2, RetryInterval: cfg.VolumeLease() / 32, RetryAfter: cfg.Bounds.Plan}, incarnation.Starts(c.epoch)) // calls may be sent twice: each is known by its id
	c.rost = membership.New(cfg.MembershipConfig(), c.member(), cfg.Seeds)
	if c.arch != nil {
		for _, h := range c.arch.Partitions {
			for _, replica := range h.Meta.Group.All() {
				c.rost.AddControlAddrs(replica.Addr)
			}
		}
	}
	c.view.Store(c.rost.View())
	now := c.Now()
	folder := c.folder()
	for p := 0; p <= cfg.Partitions; p++ {
		var replica *quorum.Replica
		if c.arch != nil {
			h, ok := c.arch.Partitions[p]
			if !ok {
				h = storage.PartitionState{Records: digest.NewRecords()}
			}
			replica = quorum.New(cfg.QuorumConfig(), p, c.me, folder, h.Meta, h.Records, now, h.Meta.Group.Number == 0)
		}
		node := lease.New(cfg.LeaseConfig(), p, c.me, c.epoch)
		node.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
		p := p
		node.RelayOf = func(id string) message.Replica {
			v := c.View()
			if m, ok := v.Find(id); ok {
				return v.Relay(p, m.Zone)
			}
			return message.Replica{}
		}
		m := leader.New(leader.Config{Placement: cfg.PlacementConfig(), OnceKeyRetention: cfg.OnceKeyRetention(), RepeatWindow: cfg.ResendWindow(), ReadableFormat: c.formatRead}, p, c.me, partition.New(p, c.me, c.epoch, replica, node))
		c.shards = append(c.shards, &shard{partition: p, Controller: m, guide: membership.ParentChooser{Partition: p, VolumeLease: cfg.VolumeLease()}})
	}
	c.Pin(0, fleetconfig.PlanKey)
	c.Pin(0, fleetconfig.ZoneKey)
	if c.arch != nil {
		c.Pin(0, fleetconfig.ReplicaKey)
	}
	c.operate()
	c.measure()
	return c, nil
}

// folder is what the replicas here share; none without a data folder.
func (c *Daemon) folder() *quorum.Folder {
	if c.arch == nil {
		return nil
	}
	var held []quorum.Meta
	for _, h := range c.arch.Partitions {
		held = append(held, h.Meta)
	}
	return quorum.OpenFolder(c.epoch, held...)
}

// openFolder opens the data folder. A disk that is full or in trouble is waited
// for: without its epoch on disk a daemon must not speak, and what is on the
// disk is worth more than an early start.
func openFolder(cfg Config, events *eventlog.Log) (*storage.Store, error) {
	for {
		a, err := storage.Open(cfg.DataFolder, cfg.Fleet)
		if err == nil || !storage.IsTransient(err) {
			return a, err
		}
		events.Trouble("disk", "%v; trying again", err)
		time.Sleep(cfg.VolumeLease() / 4)
	}
}

func (c *Daemon) close() {
	if c.arch != nil {
		c.arch.Close()
	}
}

// Now is the daemon's time, suspended time included; no decision uses any other.
//
// Example: if c.Now() < till { serve() }
func (c *Daemon) Now() time.Duration { return c.clock.Now() }

// Ident is this daemon's identity.
//
// Example: id := c.Ident()
func (c *Daemon) Ident() string { return c.me.Ident }

// View is the fleet as last heard.
//
// Example: for _, m := range c.View().Members { ... }
func (c *Daemon) View() *membership.View { return c.view.Load() }

// Partition is the one that holds a service's records; partition 0 is configuration.
//
// Example: p := c.Partition("timetable")
func (c *Daemon) Partition(svc string) int { return fleetconfig.PartitionOf(svc, c.Cfg.Partitions) }

// Run runs the daemon until the context ends.
//
// Example: err := c.Run(ctx)
func (c *Daemon) Run(ctx context.Context) error {
	defer c.close()
	sup := suture.New("mulleinmast", suture.Spec{EventHook: func(e suture.Event) { c.Events.Trouble("supervisor", "%s", e.String()) }})
	sup.Add(c.Transport)
	sup.Add(service(c.serveWeb))
	sup.Add(service(c.tickMembership))
	sup.Add(service(c.tickShards))
	if c.arch != nil {
		sup.Add(service(c.serveDisk))
		if c.ServerSource != nil {
			sup.Add(service(c.tickSource))
		}
	}
	for _, s := range c.extra {
		sup.Add(s)
	}
	err := sup.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type service func(context.Context) error

// Serve runs the service; suture calls it.
//
// Example: sup.Add(service(c.tickMembership))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

func (c *Daemon) serveWeb(ctx context.Context) error {
	// A small buffer: what a client doesn't read must not pile up here.
	small := func(ctx context.Context, conn net.Conn) context.Context {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetWriteBuffer(writeBuffer)
		}
		return ctx
	}
	srv := &http.Server{Handler: c.Mux, ConnContext: small, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(c.web)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// RefusesRequests tells whether the daemon was told to go so long ago that the platform
// has seen it is not ready; until then it still takes requests.
//
// Example: if c.RefusesRequests() { refused() }
func (c *Daemon) RefusesRequests() bool {
	return c.stop.Load() && c.Now()-time.Duration(c.stopAt.Load()) >= c.Cfg.Bounds.Plan
}

// Leave makes the daemon not ready and lets its leaderships lapse.
//
// Example: c.Leave(); waitForStreams()
func (c *Daemon) Leave() {
	c.stopAt.Store(int64(c.Now()))
	c.stop.Store(true)
	c.ready.Store(false)
	c.Events.Record("stop", "asked to stop")
	for _, s := range c.shards {
		s.mu.Lock()
		if s.Partition().Replica != nil {
			s.Partition().Replica.Resign()
		}
		s.mu.Unlock()
	}
}
