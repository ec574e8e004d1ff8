// Package daemon drives the state machines of one daemon with real time, network
// and disk, and serves the operators' calls. Each partition is a shard under its
// own lock; what all shards share stands in types of its own, each with its lock:
// the disk writer, the session table, the calls under way, the change notifier and
// the readiness. A shard's lock is taken before any of these.
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

// Bounds of the HTTP server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// socketBuffer is small: what a client doesn't read must not pile up here.
	socketBuffer = 64 << 10
)

// Error is the class of start-up errors; AddressError marks an address that can't
// be used.
var (
	Error        = errs.Class("mulleinmast")
	AddressError = errs.Class("address")
)

// Daemon is one daemon. The exported fields are set between Open and Run, by the
// drivers that serve clients and speak to model servers; none changes later.
type Daemon struct {
	Cfg       Config
	Events    *eventlog.Log
	Transport *transport.Transport // to the other daemons
	Mux       *http.ServeMux       // the operators' calls; drivers add theirs
	Metrics   *metrics.Set         // this daemon's own metrics; drivers add theirs

	// TrafficState is what the data plane adds to the state dump; nil: nothing.
	TrafficState func() map[string]any
	// Explainers explain what became of a request by its id, or of all that are known.
	Explainers []func(request string) []any
	// LoadPoller and OrderSender call the model servers. Until a driver sets them
	// each call fails.
	LoadPoller  LoadPoller
	OrderSender OrderSender
	// Pressure is how hard a server is pressed; nil: unknown.
	Pressure func(service, server string) placement.Pressure
	// OnLoadReport takes what other daemons report of the servers' load.
	OnLoadReport func(message.Message)
	// ServerSource names the servers; nil: the platform PUTs the lists.
	ServerSource ServerSource

	clock *clock.Clock
	self  message.Replica // this daemon's identity and address
	epoch uint64          // of its incarnation
	store *storage.Store  // nil without a data folder
	plans fleetconfig.PlanReader

	shards       []*shard // by partition
	members      *memberTable
	disk         *diskWriter
	calls        *callTracker
	changes      *changeNotifier
	readiness    readiness
	supersession *supersession
	planGaps     planGaps
	leadsWon     *metrics.Counter
	listDelay    *metrics.Histogram // from the begin of a pull of the servers' lists until one is written

	httpListener net.Listener
	services     []suture.Service // added by drivers
}

// Now is the daemon's time, suspended time included; no decision uses any other.
//
// Example: if d.Now() < expiry { serve() }
func (d *Daemon) Now() time.Duration { return d.clock.Now() }

// Ident is this daemon's identity.
//
// Example: id := d.Ident()
func (d *Daemon) Ident() string { return d.self.Ident }

// View is the fleet as the session table showed it last.
//
// Example: for _, m := range d.View().Members { ... }
func (d *Daemon) View() *membership.View { return d.members.view.Load() }

// Partition is the one that holds a service's records; partition 0 is configuration.
//
// Example: p := d.Partition("timetable")
func (d *Daemon) Partition(service string) int {
	return fleetconfig.PartitionOf(service, d.Cfg.Partitions)
}

// Add has the daemon's supervisor run one more service; call it before Run.
//
// Example: d.Add(listener)
func (d *Daemon) Add(s suture.Service) { d.services = append(d.services, s) }

// AddControlAddrs names more control daemons, such as those in a config that was
// changed.
//
// Example: d.AddControlAddrs("10.0.0.7:7000")
func (d *Daemon) AddControlAddrs(addrs ...string) { d.members.addControlAddrs(addrs...) }

// Run runs the daemon until the context ends, and closes it.
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

// Serve runs the service; the supervisor calls it.
//
// Example: supervisor.Add(service(d.runMembership))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

func (d *Daemon) serveHTTP(ctx context.Context) error {
	smallBuffer := func(ctx context.Context, conn net.Conn) context.Context {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(socketBuffer)
		}
		return ctx
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
