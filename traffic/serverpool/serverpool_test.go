package serverpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// answerRaw starts a server that answers one request on each connection with the same bytes, and returns its address.
func answerRaw(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// A broken response is a lost call: it gives no handle and no load, and it refuses nothing. Whole responses count,
// however they are framed.
func TestBrokenResponsesAreLost(t *testing.T) {
	const handle, usage, refusal = `{"handle":"h"}`, `{"busy":1}`, `{"result":"shed","why":"full"}`
	prefill := func(addr string) (bool, string) {
		_, outcome, why := NewClient(time.Second).Prefill(context.Background(), addr, PrefillRequest{Request: "r"}, nil)
		return outcome != Lost, why
	}
	load := func(addr string) (bool, string) {
		_, err := NewClient(time.Second).Usage(context.Background(), addr)
		return err == nil, fmt.Sprint(err)
	}
	for name, x := range map[string]struct {
		call         func(addr string) (bool, string)
		status, body string
	}{
		"prefill": {prefill, "200 OK", handle}, "usage": {load, "200 OK", usage}, "refusal": {prefill, "503 X", refusal},
	} {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(x.body))
		chunks := fmt.Sprintf("%x\r\n%s\r\n", len(x.body), x.body)
		for _, y := range []struct {
			what, answer string
			whole        bool
		}{
			{"a length", "HTTP/1.1 " + x.status + "\r\n" + length + "\r\n" + x.body, true},
			{"chunks", "HTTP/1.1 " + x.status + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", true},
			{"no length", "HTTP/1.1 " + x.status + "\r\n\r\n" + x.body, true},
			{"status 000", "HTTP/1.1 000 X\r\n" + length + "\r\n" + x.body, false},
			{"status 600", "HTTP/1.1 600 X\r\n" + length + "\r\n" + x.body, false},
			{"a blank in a name", "HTTP/1.1 " + x.status + "\r\nX Note: 1\r\n" + length + "\r\n" + x.body, false},
			{"a length too long", "HTTP/1.1 " + x.status + "\r\nContent-Length: 100\r\n\r\n" + x.body, false},
			{"chunks without the last", "HTTP/1.1 " + x.status + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false},
		} {
			if counts, why := x.call(answerRaw(t, y.answer)); counts != y.whole {
				t.Errorf("%s, %s: counts %v, %s", name, y.what, counts, why)
			}
		}
	}
}
