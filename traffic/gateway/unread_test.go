package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"
)

// A request whose client stops reading ends at the client's timeout. The server isn't
// considered faulty, and nothing is sent again.
func TestClientThatStopsReading(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		g, err := newTestGateway()
		if err != nil {
			t.Fatal(err)
		}
		f := &fakeEngines{decode: scriptedOutcomes(events(1, 9, nil), events(2, 9, nil), events(3, 9, nil))}
		g.engines = f
		e := &recordingClient{blocked: true, timeUp: make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(context.Background(), &Request{ID: "unread", Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}, ClientTimeout: 300 * time.Millisecond}, e)
		}()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatalf("%s: the request does not end", path)
		}
		if e.timeLimit <= 0 || e.timeLimit > time.Second || !slices.Equal(e.log, []string{"head 200", "1;", "break"}) {
			t.Errorf("%s: time limit %v, client received %q", path, e.timeLimit, e.log)
		}
		if len(f.calls) != 1 || g.dispatcherFor("one").Counts().Abandoned != 1 {
			t.Errorf("%s: calls %q, %d requests counted as abandoned", path, f.calls, g.dispatcherFor("one").Counts().Abandoned)
		}
	}
}

// A server isn't considered down because a client can't be reached.
func TestUnreachableClientIsNotServerFault(t *testing.T) {
	f := &fakeEngines{decode: scriptedOutcomes(events(1, 9, nil), events(4, 9, nil))}
	if log := serve(t, f, "/resume/", &recordingClient{acceptPieces: 3}, nil); !slices.Equal(log, []string{"head 200", "1;", "2;", "3;", "break"}) || len(f.calls) != 1 {
		t.Errorf("client received %q, calls %q", log, f.calls)
	}
	g, _ := sharedGateway()
	down := serviceLoads{g, "one"}
	for _, s := range g.dispatcherFor("one").Servers() {
		if down.IsDown(g.daemon.Now(), s.Key) {
			t.Errorf("server %s is considered down", s.Key)
		}
	}
}
