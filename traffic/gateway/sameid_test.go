package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"mulleinmast/traffic/forward"
)

// testTimeout is how long a test waits for an event that is expected immediately.
const testTimeout = 5 * time.Second

// startRequest serves a request in a goroutine. When it has ended, what its client received is sent on
// the channel, including a panic, if there was one.
func startRequest(g *Gateway, id, path string, e *recordingClient) <-chan []string {
	ended := make(chan []string, 1)
	go func() {
		defer func() {
			if fault := recover(); fault != nil {
				e.add("panic: %v", fault)
			}
			ended <- e.log
		}()
		g.Serve(context.Background(), &Request{ID: id, Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}, ClientTimeout: testTimeout}, e)
	}()
	return ended
}

// awaitResult waits for the end of a request and returns what its client received.
func awaitResult(ended <-chan []string) []string {
	select {
	case log := <-ended:
		return log
	case <-time.After(testTimeout):
		return []string{"no end"}
	}
}

// A client or a proxy may send two requests with the same id concurrently. The first is served
// as usual. The second must fail with 409 and reach no server, as that would run the
// same attempt twice.
func TestConcurrentRequestsWithSameID(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/", "/safe/", "/unsafe/"} {
		g, err := newTestGateway() // not the shared one, so that a failure doesn't affect other tests
		if err != nil {
			t.Fatal(err)
		}
		taken, goOn := make(chan struct{}, 2), make(chan struct{})
		f := &fakeEngines{decode: func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
			taken <- struct{}{}
			<-goOn
			return events(1, 2, nil), forward.OK
		}}
		g.engines = f
		first := startRequest(g, "same", path, &recordingClient{})
		<-taken
		second := startRequest(g, "same", path, &recordingClient{})
		select {
		case <-taken: // must not happen: the second request reached a server
		case got := <-second:
			if !slices.Equal(got, []string{"fail 409"}) {
				t.Errorf("%s: the second client received %q", path, got)
			}
		case <-time.After(testTimeout):
			t.Errorf("%s: the second request does not end", path)
		}
		close(goOn)
		if got := awaitResult(first); !slices.Equal(got, []string{"head 200", "1;", "2;"}) {
			t.Errorf("%s: the first client received %q", path, got)
		}
		if f.mu.Lock(); len(f.calls) != 1 {
			t.Errorf("%s: expected 1 call, got %q", path, f.calls)
		}
		f.mu.Unlock()
		if got := awaitResult(startRequest(g, "next", path, &recordingClient{})); !slices.Equal(got, []string{"head 200", "1;", "2;"}) {
			t.Errorf("%s: the next client received %q", path, got)
		}
	}
}

// An id may be used again once its request has ended.
func TestIDMayBeReusedAfterRequestEnds(t *testing.T) {
	g, err := newTestGateway()
	if err != nil {
		t.Fatal(err)
	}
	g.engines = &fakeEngines{decode: scriptedOutcomes(events(1, 1, nil), events(1, 1, nil))}
	for range 2 {
		if got := awaitResult(startRequest(g, "again", "/resume/", &recordingClient{})); !slices.Equal(got, []string{"head 200", "1;"}) {
			t.Errorf("client received %q", got)
		}
	}
}
