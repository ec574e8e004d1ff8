// Package daemon runs the state machines of one daemon on real time, network and disk, and serves
// the operator API. Each partition is a shard with its own lock. State shared by all shards is
// kept in separate types, each with its own lock: the disk writer, the session table, the calls in
// progress, the change notifier and the readiness. A shard's lock is acquired before any of these.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"

	"mulleinmast/control/clock"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/membership"
	"mulleinmast/control/placement"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
	"mulleinmast/wire/transport"
)

// Limits of the HTTP server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// socketBuffer is small so that data which a client doesn't read doesn't accumulate here.
	socketBuffer = 64 << 10
)

// Error is the class of start-up errors; AddressError marks an address that can't be bound.
var (
	Error        = errs.Class("mulleinmast")
	AddressError = errs.Class("address")
)

// Daemon is one daemon of the fleet. The drivers that serve clients and call model servers set the
// exported fields between Open and Run; these fields don't change afterwards.
type Daemon struct {
	Cfg       Config
	Events    *eventlog.Log
	Transport *transport.Transport // to the other daemons
	Mux       *http.ServeMux       // operator API; drivers add their routes
	Metrics   *metrics.Set         // metrics of this daemon; drivers add theirs

	// TrafficState returns the data plane's part of the state dump; nil if there is none.
	TrafficState func() map[string]any
	// Explainers return what happened to the request with the given ID, or to all known requests.
	Explainers []func(request string) []any
	// LoadPoller and OrderSender call the model servers. Every call fails unless a driver sets
	// them.
	LoadPoller  LoadPoller
	OrderSender OrderSender
	// Pressure returns how heavily a server is loaded; nil if unknown.
	Pressure func(service, server string) placement.Pressure
	// OnLoadReport handles load reports from other daemons.
	OnLoadReport func(message.Message)
	// ServerSource lists the model servers; nil if the platform PUTs the lists.
	ServerSource ServerSource

	clock *clock.Clock
	self  message.Replica // this daemon's identity and address
	epoch uint64          // incarnation number of this daemon
	store *storage.Store  // nil without a data folder
	plans fleetconfig.PlanReader

	shards         []*shard // by partition
	members        *memberTable
	disk           *diskWriter
	calls          *callTracker
	changes        *changeNotifier
	readiness      readiness
	supersession   *supersession
	planGaps       planGaps
	leadershipsWon *metrics.Counter
	listDelay      *metrics.Histogram // from the start of a poll of the server source until a list is written

	starting     *startWaiter
	httpListener net.Listener
	services     []suture.Service // added by drivers
}

// Now returns the daemon's time, which includes suspended time. All decisions use this clock only.
//
// Example: if d.Now() < expiry { serve() }
func (d *Daemon) Now() time.Duration { return d.clock.Now() }

// Ident returns this daemon's identity.
//
// Example: id := d.Ident()
func (d *Daemon) Ident() string { return d.self.Ident }

// View returns the fleet as of the session table's last tick.
//
// Example: for _, m := range d.View().Members { ... }
func (d *Daemon) View() *membership.View { return d.members.view.Load() }

// Partition returns the partition that holds a service's records. Partition 0 holds the
// configuration.
//
// Example: p := d.Partition("timetable")
func (d *Daemon) Partition(service string) int {
	return fleetconfig.PartitionOf(service, d.Cfg.Partitions)
}

// Add registers another service with the daemon's supervisor. Call it before Run.
//
// Example: d.Add(listener)
func (d *Daemon) Add(s suture.Service) { d.services = append(d.services, s) }

// SetSeeds sets the seeds that a changed configuration names.
//
// Example: d.SetSeeds([]string{"10.0.0.7:7000"})
func (d *Daemon) SetSeeds(seeds []string) { d.members.setSeeds(seeds) }

// Run runs the daemon until the context ends, then closes it.
//
// Example: err := d.Run(ctx)
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	supervisor := suture.New("mulleinmast", suture.Spec{EventHook: func(e suture.Event) {
		d.Events.Warn("supervisor", e.String())
	}})
	supervisor.Add(d.Transport)
	supervisor.Add(service(d.serveHTTP))
	supervisor.Add(service(d.runMembership))
	supervisor.Add(service(d.runShards))
	supervisor.Add(service(d.runWireLog))
	if d.store != nil {
		supervisor.Add(service(d.disk.run))
		if d.ServerSource != nil {
			supervisor.Add(service(d.runServerLists))
		}
	}
	for _, s := range d.services {
		supervisor.Add(s)
	}
	err := supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// service is a function that runs until its context ends.
type service func(context.Context) error

// Serve implements suture.Service.
//
// Example: supervisor.Add(service(d.runMembership))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

func (d *Daemon) serveHTTP(ctx context.Context) error {
	smallBuffer := func(ctx context.Context, conn net.Conn) context.Context {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(socketBuffer)
		}
		return WithConnection(ctx, conn)
	}
	server := &http.Server{
		Handler:           d.Mux,
		ConnContext:       smallBuffer,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(d.httpListener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

func (d *Daemon) close() {
	if d.store != nil {
		d.store.Close()
	}
}
