// Package gateway serves clients by the routes of the plan in force. It is the
// product's side of the drivers: one driver brings requests in, another one
// speaks to the model servers; what becomes of a request is decided by
// traffic/forward.
package gateway

import (
	"context"
	"net/http"
	"time"

	"mulleinmast/traffic/forward"
)

// Request is one try of a client as its driver read it, whole.
type Request struct {
	ID              string // the client's own, echoed by servers
	Key             string // of the client's tenant, a secret; no server is shown it
	Method          string
	Host            string
	Path            string // decides the route
	Target          string // path and query as they came, passed on unchanged
	Header          http.Header
	Body            []byte
	ClientTimeout   time.Duration // that the client will wait; 0: it doesn't say
	Parts           []forward.Part
	InputTokens     int    // tokens of the prompt
	MaxOutputTokens int    // most tokens out
	LastEventID     string // the client goes on with a stream after this event
}

// Answer is a server's answer under way.
type Answer interface {
	Status() int
	Header() http.Header
	// Next gives the next event of a stream, or bytes of another body, with the
	// id of the event if it has one. It ends with io.EOF if, and only if, the
	// whole body came.
	Next() (b []byte, id string, err error)
	// Close ends the call; what was not read is dropped with its connection.
	Close()
}

// Engines speaks to the model servers. A context that ends cancels the call. may
// is asked just before the first byte goes out; if it says no, the outcome is
// forward.Blocked.
type Engines interface {
	// Prefill has a server read the prompt and keep its KV cache.
	Prefill(
		ctx context.Context, q *Request, c forward.Request, m forward.Decision, may func() bool,
	) (h forward.Handle, outcome forward.Outcome, why string)
	// Decode has a server write the answer, from after the event with the id last.
	Decode(
		ctx context.Context, q *Request, c forward.Request, m forward.Decision, last string, may func() bool,
	) (a Answer, outcome forward.Outcome, why string)
	// ReleaseHandle frees a KV cache that won't be taken up.
	ReleaseHandle(h forward.Handle)
	// OnLoad has f called with what servers report of their load.
	OnLoad(f func(service, server string, load forward.Load))
}

// Client takes the answer of one request.
type Client interface {
	// Within bounds how long the answer may take, from now on.
	Within(left time.Duration)
	// Begin sends a server's head.
	Begin(status int, h http.Header)
	// Pass sends bytes on at once; false: the client can't be reached.
	Pass(b []byte) bool
	// Refuse ends a request that has not run and never will.
	Refuse(status int, back time.Duration, why string)
	// Fail ends one of which nothing may be promised.
	Fail(status int, why string)
	// Break ends an answer that has begun so that it can't look whole.
	Break()
}
