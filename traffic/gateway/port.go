// Package gateway serves client requests according to the routes of the current plan. It
// defines the interfaces of two drivers: one receives requests from clients, the other
// calls the model servers. traffic/forward decides how each request is handled.
package gateway

import (
	"context"
	"net/http"
	"time"

	"mulleinmast/traffic/forward"
)

// Request is one attempt of a client, completely read by the driver.
type Request struct {
	ID              string // chosen by the client, echoed by servers
	Key             string // API key of the client's tenant, a secret; never sent to a server
	Method          string
	Host            string
	Path            string // determines the route
	Target          string // path and query as received, forwarded unchanged
	Header          http.Header
	Body            []byte
	ClientTimeout   time.Duration // how long the client will wait; 0 if not specified
	Parts           []forward.Part
	InputTokens     int    // tokens of the prompt
	MaxOutputTokens int    // maximum number of output tokens
	LastEventID     string // the client resumes a stream after this event
}

// Answer is a server's answer while it is being received.
type Answer interface {
	Status() int
	Header() http.Header
	// Next returns the next event of a stream, or bytes of another body, with the
	// id of the event if it has one. It returns io.EOF if and only if the complete
	// body was received.
	Next() (b []byte, id string, err error)
	// Close ends the call; if the body wasn't read completely, its connection is closed.
	Close()
}

// Engines calls the model servers. A call is canceled when its context ends. maySend is
// called just before the first byte is sent; if it returns false, the outcome is
// forward.Blocked.
type Engines interface {
	// Prefill has a server prefill the prompt and keep its KV cache.
	Prefill(
		ctx context.Context, req *Request, fwd forward.Request, decision forward.Decision, maySend func() bool,
	) (h forward.Handle, outcome forward.Outcome, why string)
	// Decode has a server generate the answer, starting after the event with the id lastEvent.
	Decode(
		ctx context.Context, req *Request, fwd forward.Request, decision forward.Decision, lastEvent string,
		maySend func() bool,
	) (a Answer, outcome forward.Outcome, why string)
	// ReleaseHandle frees a KV cache that no decode server will use.
	ReleaseHandle(h forward.Handle)
	// OnLoad registers f, which is called with each load reported by a server.
	OnLoad(f func(service, server string, load forward.Load))
}

// Client receives the answer to one request.
type Client interface {
	// Within limits the time for the answer, counted from this call.
	Within(timeout time.Duration)
	// Begin sends the status and header of the answer.
	Begin(status int, h http.Header)
	// Pass sends bytes of the body immediately; it returns false if the client can't be reached.
	Pass(b []byte) bool
	// Refuse ends a request that has not run and never will.
	Refuse(status int, retryAfter time.Duration, why string)
	// Fail ends a request without any guarantee whether it ran.
	Fail(status int, why string)
	// Break aborts an answer that has begun, so that the client can't take it for complete.
	Break()
}
