package serverpool

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// A call that is no longer allowed when its first byte is about to be sent never reaches a server
// completely, neither on a new connection nor on a reused one, and the next call succeeds.
func TestBlockedCallNeverReachesServer(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		received.Add(1)
		_, _ = w.Write([]byte(`{"handle":"h"}`))
	}))
	defer srv.Close()
	addr := srv.Listener.Addr().String()
	client := NewClient(time.Second)
	request := PrefillRequest{Request: "r", Parts: []Part{{Text: "long enough"}}}
	call := func(allowed bool) Outcome {
		_, outcome, _ := client.Prefill(context.Background(), addr, request, func() bool { return allowed })
		return outcome
	}
	for i, allowed := range []bool{false, true, true, false, true} {
		if outcome := call(allowed); (outcome == OK) != allowed || !allowed && outcome != Blocked {
			t.Errorf("call %d, allowed %v: outcome %d", i, allowed, outcome)
		}
	}
	if n := received.Load(); n != 3 {
		t.Errorf("%d calls reached the server, expected 3", n)
	}
}

// A piece with one mutated byte is never accepted as a piece of another run, and
// parsing it never panics.
func TestMutatedPieceIsNotAcceptedForAnotherRun(t *testing.T) {
	good := []byte(`{"request":"req-1","run":"run-1","n":3,"text":"abc"}`)
	for i := range good {
		for _, x := range []byte{0, '0', '9', '"', '}', 'x'} {
			line := append([]byte(nil), good...)
			line[i] = x
			p, err := parsePiece(line)
			accepted := err == nil && p.Mismatch("req-1", "run-1", 3) == ""
			if accepted && (p.Request != "req-1" || p.RunID != "run-1" || p.Number != 3 || p.Error != "") {
				t.Fatalf("%q was accepted", line)
			}
		}
	}
}
