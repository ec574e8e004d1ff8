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

// A call that may not be made any more just before its first byte never reaches a server whole,
// on a fresh connection or on one in use; and the next call goes through.
func TestBlockedCallNeverReachesAServer(t *testing.T) {
	var whole atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		whole.Add(1)
		_, _ = w.Write([]byte(`{"handle":"h"}`))
	}))
	defer srv.Close()
	addr := srv.Listener.Addr().String()
	client := NewClient(time.Second)
	request := PrefillRequest{Request: "r", Parts: []Part{{Text: "long enough"}}}
	call := func(may bool) Outcome {
		_, outcome, _ := client.Prefill(context.Background(), addr, request, func() bool { return may })
		return outcome
	}
	for i, may := range []bool{false, true, true, false, true} {
		if out := call(may); (out == OK) != may || !may && out != Blocked {
			t.Errorf("call %d, allowed %v: outcome %d", i, may, out)
		}
	}
	if n := whole.Load(); n != 3 {
		t.Errorf("%d calls reached the server, 3 were allowed", n)
	}
}

// What a server says, mutated one byte at a time, never passes for a piece of
// another run, and never panics.
func TestMutatedPieces(t *testing.T) {
	good := []byte(`{"request":"req-1","run":"run-1","n":3,"text":"abc"}`)
	for i := range good {
		for _, x := range []byte{0, '0', '9', '"', '}', 'x'} {
			line := append([]byte(nil), good...)
			line[i] = x
			p, err := parsePiece(line)
			passes := err == nil && p.Mismatch("req-1", "run-1", 3) == ""
			if passes && (p.Request != "req-1" || p.RunID != "run-1" || p.Number != 3 || p.Error != "") {
				t.Fatalf("%q passes", line)
			}
		}
	}
}
