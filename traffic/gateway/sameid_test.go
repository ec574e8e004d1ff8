package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"mulleinmast/traffic/forward"
)

// mostWait is how long a test waits for an end that should come at once.
const mostWait = 5 * time.Second

// start serves a request beside the test; what its client got comes once it has
// ended, with a word if that is a panic.
func start(g *Gateway, id, path string, e *ears) <-chan []string {
	ended := make(chan []string, 1)
	go func() {
		defer func() {
			if fault := recover(); fault != nil {
				e.add("panic: %v", fault)
			}
			ended <- e.log
		}()
		g.Serve(context.Background(), &Request{ID: id, Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}, ClientTimeout: mostWait}, e)
	}()
	return ended
}

// gets waits for the end of a request.
func gets(ended <-chan []string) []string {
	select {
	case log := <-ended:
		return log
	case <-time.After(mostWait):
		return []string{"no end"}
	}
}

// A client, or what stands between it and us, may send one id twice at once. The
// first request is served as if it were alone; the second is told that its id is
// in use, and no server gets it: it would be a second run of the same try.
func TestTwoRequestsOfOneID(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/", "/safe/", "/unsafe/"} {
		g, err := newGate() // a fault here must not reach other tests
		if err != nil {
			t.Fatal(err)
		}
		taken, goOn := make(chan struct{}, 2), make(chan struct{})
		f := &fake{write: func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
			taken <- struct{}{}
			<-goOn
			return events(1, 2, nil), forward.OK
		}}
		g.engines = f
		first := start(g, "same", path, &ears{})
		<-taken
		second := start(g, "same", path, &ears{})
		select {
		case <-taken: // it should not come to a server
		case got := <-second:
			if !slices.Equal(got, []string{"fail 409"}) {
				t.Errorf("%s: the second gets %q", path, got)
			}
		case <-time.After(mostWait):
			t.Errorf("%s: the second has no end", path)
		}
		close(goOn)
		if got := gets(first); !slices.Equal(got, []string{"head 200", "1;", "2;"}) {
			t.Errorf("%s: the first gets %q", path, got)
		}
		if f.mu.Lock(); len(f.calls) != 1 {
			t.Errorf("%s: servers get %q", path, f.calls)
		}
		f.mu.Unlock()
		if got := gets(start(g, "next", path, &ears{})); !slices.Equal(got, []string{"head 200", "1;", "2;"}) {
			t.Errorf("%s: the next request gets %q", path, got)
		}
	}
}

// An id may come again once its request has ended.
func TestAnIDMayComeAgain(t *testing.T) {
	g, err := newGate()
	if err != nil {
		t.Fatal(err)
	}
	g.engines = &fake{write: outcomes(events(1, 1, nil), events(1, 1, nil))}
	for range 2 {
		if got := gets(start(g, "again", "/resume/", &ears{})); !slices.Equal(got, []string{"head 200", "1;"}) {
			t.Errorf("it gets %q", got)
		}
	}
}
