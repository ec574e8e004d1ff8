package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

const (
	testPatience = 400 * time.Millisecond
	orderRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
)

// orderEndpoint is an HTTP server that passes on what AwaitCaller returns for each request.
type orderEndpoint struct {
	socket net.Listener
	left   chan time.Duration
	server *http.Server
}

func newOrderEndpoint(t *testing.T) *orderEndpoint {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &orderEndpoint{socket: socket, left: make(chan time.Duration, 1)}
	e.server = &http.Server{
		ConnContext:       WithConnection,
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			e.left <- AwaitCaller(r, testPatience)
		}),
	}
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// serve starts to accept connections, as a daemon does that resumes after a freeze.
func (e *orderEndpoint) serve() { go func() { _ = e.server.Serve(e.socket) }() }

// connect sends a request; the system accepts it even while the endpoint doesn't serve.
func (e *orderEndpoint) connect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", e.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, orderRequest); err != nil {
		t.Fatal(err)
	}
	return conn
}

// An order of a caller that waits is carried out within what is left of the caller's patience.
func TestWaitingCallerKeepsItsPatience(t *testing.T) {
	e := newOrderEndpoint(t)
	e.serve()
	e.connect(t)
	if left := <-e.left; left <= 0 || left > testPatience-disconnectWait {
		t.Errorf("%v left of %v", left, testPatience)
	}
}

// An order that lay in the socket of a frozen daemon for longer than its caller waits isn't carried out, even if the
// end of the caller's connection was lost with a cut link.
func TestOrderOlderThanItsCallersPatienceIsDropped(t *testing.T) {
	e := newOrderEndpoint(t)
	e.connect(t)
	<-time.After(testPatience + 100*time.Millisecond)
	e.serve()
	if left := <-e.left; left != 0 {
		t.Errorf("an order that came %v ago has %v left", testPatience, left)
	}
}

// An order of a caller that hung up isn't carried out, whether that came before the daemon read it or after.
func TestOrderOfCallerWhoHungUpIsDropped(t *testing.T) {
	e := newOrderEndpoint(t)
	_ = e.connect(t).Close()
	e.serve()
	if left := <-e.left; left != 0 {
		t.Errorf("an order whose caller hung up before it was read has %v left", left)
	}
	_ = e.connect(t).Close()
	if left := <-e.left; left != 0 {
		t.Errorf("an order whose caller hung up at once has %v left", left)
	}
}

// endedContext has ended, but its channel isn't ready: the other case of a select was taken.
type endedContext struct{ context.Context }

func (endedContext) Done() <-chan struct{} { return nil }

func (endedContext) Err() error { return context.Canceled }

// If the daemon stood still while it waited, the wait and the end of the connection come at the same time; then the
// end counts, whichever is seen first.
func TestHangUpDuringFreezeCounts(t *testing.T) {
	r := httptest.NewRequestWithContext(endedContext{context.Background()}, http.MethodPost, "/", nil)
	if left := AwaitCaller(r, testPatience); left != 0 {
		t.Errorf("%v left of the patience of a caller who hung up", left)
	}
}
