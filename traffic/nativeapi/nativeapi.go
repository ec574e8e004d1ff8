// Package nativeapi is the clients' side of the daemon over HTTP. It carries out
// what traffic/scheduler decides: claims, calls to servers, pieces and answers.
//
// The files: nativeapi.go is the API and its settings, dispatcher.go the state machine of
// a service under its lock, request.go the reading of a request, stream.go the client's
// side of one request, calls.go its calls, status.go what operators are shown.
package nativeapi

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

const (
	maxBodyBytes = 4 << 20
	maxParts     = 256
	maxTraces    = 256 // requests that are kept for the query shell

	dialTimeoutRatio = 0.25 // of the plan bound: connecting to a model server
)

// API serves clients by the product's own calls.
type API struct {
	daemon      *daemon.Daemon
	client      *serverpool.Client
	dispatchers sync.Map // service -> *dispatcher
	plan        atomic.Pointer[scheduler.PlanIndex]
	ctx         context.Context // ends with the daemon

	badRequests  atomic.Int64
	refusedEarly atomic.Int64 // before they came to a dispatcher
	inFlight     atomic.Int64

	traces traceRing
}

// New lays out the clients' calls on the daemon's mux, and makes the daemon's
// own calls to model servers unless the caller sets others.
//
// Example: api := nativeapi.New(ctx, d)
func New(ctx context.Context, d *daemon.Daemon) *API {
	dialTimeout := time.Duration(float64(d.Cfg.Bounds.Plan) * dialTimeoutRatio)
	a := &API{daemon: d, ctx: ctx, client: serverpool.NewClient(dialTimeout)}
	d.LoadPoller, d.OrderSender = a.client, a.client
	d.Mux.HandleFunc("POST /v1/generate", a.handleGenerate)
	d.Mux.HandleFunc("GET /metrics", a.handleMetrics)
	d.Mux.HandleFunc("GET /v1/why/{request}", a.handleWhy)
	d.TrafficState = a.trafficState
	return a
}

// Open is the number of requests under way.
//
// Example: for api.Open() > 0 { wait() }
func (a *API) Open() int64 { return a.inFlight.Load() }

// Config is a dispatcher's bounds, as ratios to those in the config.
//
// Example: d := scheduler.New(nativeapi.Config(cfg), service, partition, read, term)
func Config(c daemon.Config) scheduler.Config {
	b := c.Bounds
	return scheduler.Config{
		Queue:            slots.Config{MaxQueued: c.QueueLimit, MinRetryAfter: b.Plan / 2, MaxRetryAfter: 5 * b.Recover},
		RetryRatio:       0.2,
		RetryWindow:      b.Recover,
		MaxAttempts:      3,
		MaxWait:          2 * c.VolumeLease(),
		FailureBackoff:   2 * c.VolumeLease(),
		RejectionBackoff: c.VolumeLease() / 4,
		StallTimeout:     b.Plan,
		MaxPiecesAhead:   32,
		RetryAfter:       b.Plan / 2,
		MaxPrefixes:      1 << 16,
	}
}
