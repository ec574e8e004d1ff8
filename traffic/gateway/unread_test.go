package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"
)

// A client that reads nothing holds its request no longer than its time, and no
// server is blamed for it: nothing is sent again, and the next request finds the
// server as it was.
func TestAClientThatReadsNothing(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		g, err := newGate()
		if err != nil {
			t.Fatal(err)
		}
		f := &fake{write: outcomes(events(1, 9, nil), events(2, 9, nil), events(3, 9, nil))}
		g.engines = f
		e := &ears{full: true, late: make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(context.Background(), &Request{ID: "unread", Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}, ClientTimeout: 300 * time.Millisecond}, e)
		}()
		select {
		case <-ended:
		case <-time.After(mostWait):
			t.Fatalf("%s: no end", path)
		}
		if e.left <= 0 || e.left > time.Second || !slices.Equal(e.log, []string{"head 200", "1;", "break"}) {
			t.Errorf("%s: it may wait %v and gets %q", path, e.left, e.log)
		}
		if len(f.calls) != 1 || g.dispatcherOf("one").Counts().Abandoned != 1 {
			t.Errorf("%s: servers get %q, %d clients left", path, f.calls, g.dispatcherOf("one").Counts().Abandoned)
		}
	}
}

// A client that can't be reached is no fault of the server's.
func TestAClientThatCanNotBeReached(t *testing.T) {
	f := &fake{write: outcomes(events(1, 9, nil), events(4, 9, nil))}
	if log := serve(t, f, "/resume/", &ears{deaf: 3}, nil); !slices.Equal(log, []string{"head 200", "1;", "2;", "3;", "break"}) || len(f.calls) != 1 {
		t.Errorf("the client gets %q, servers %q", log, f.calls)
	}
	g, _ := gate()
	down := serviceLoads{g, "one"}
	for _, s := range g.dispatcherOf("one").Servers() {
		if down.IsDown(g.daemon.Now(), s.Key) {
			t.Errorf("%s is thought to answer nobody", s.Key)
		}
	}
}
