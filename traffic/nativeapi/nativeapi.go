// Package nativeapi is the daemon's native HTTP API for clients. It executes the
// decisions of traffic/scheduler: claims, calls to servers, pieces and answers.
//
// Files: nativeapi.go has the API and its settings, dispatcher.go the locked state machine
// of a service, request.go the parsing and validation of requests, stream.go the client
// side of one request, calls.go its calls to servers, status.go traces, state and metrics.
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
	maxTraces    = 256 // requests whose traces are kept for the query shell

	dialTimeoutRatio = 0.25 // timeout for connecting to a model server, as a fraction of the plan bound
)

// API serves clients over the native HTTP protocol.
type API struct {
	daemon      *daemon.Daemon
	client      *serverpool.Client
	dispatchers sync.Map // *dispatcher by service
	plan        atomic.Pointer[scheduler.PlanIndex]
	ctx         context.Context // canceled when the daemon stops

	badRequests  atomic.Int64
	refusedEarly atomic.Int64 // requests refused before they reached a dispatcher
	inFlight     atomic.Int64

	traces traceRing
}

// New registers the API's handlers on the daemon's mux. It also sets the client for the daemon's own calls to
// model servers, which the caller may replace.
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

// InFlight returns the number of unfinished requests.
//
// Example: for api.InFlight() > 0 { wait() }
func (a *API) InFlight() int64 { return a.inFlight.Load() }

// Config derives a dispatcher's limits and timeouts from the daemon's config.
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
