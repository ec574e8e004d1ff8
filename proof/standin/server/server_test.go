package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

type testEnv struct {
	t     *testing.T
	log   *record.Log
	peers Peers
	n     int
}

func (env *testEnv) start(phase string, edit func(*Config)) *Server {
	env.t.Helper()
	env.n++
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	c := Config{
		ID: fmt.Sprint("i-", env.n), Service: "gen", Zone: "north", Address: ln.Addr().String(), Phase: phase, Slots: 1, Queue: 1, PrefillRate: 1000, Step: time.Millisecond, Memory: 1000, TokenBytes: 1, Mbps: 1000,
		Hold: time.Minute, Health: "/health", KeepAlive: 30 * time.Second,
	}
	_ = ln.Close()
	if edit != nil {
		edit(&c)
	}
	s, err := Start(c, env.log, &env.peers)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(s.End)
	return s
}

// send sends a request and returns the status, headers and body of the answer. The body
// of a truncated answer begins with "broken: ".
func send(s *Server, method, path, body string, head ...string) (int, http.Header, string) {
	req, err := http.NewRequest(method, "http://"+s.Address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	for _, h := range head {
		k, v, _ := strings.Cut(h, ": ")
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	res, err := tr.RoundTrip(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, res.Header, "broken: " + string(b)
	}
	return res.StatusCode, res.Header, string(b)
}

const (
	tokens = wire.Tokens + ": 20,3"
	prefix = wire.Prefix + ": a:10,b:10"
)

func attempt(id string) string { return wire.Attempt + ": " + id }

// A handle can be taken only once, by any request that presents it. A deleted or expired
// handle can't be taken at all.
func TestHandles(t *testing.T) {
	env := &testEnv{t: t, log: record.New()}
	r, w := env.start(wire.Prefill, nil), env.start(wire.Decode, nil)
	prefill := func(s *Server) string {
		code, h, body := send(s, "POST", "/a/", "p", attempt("a"), tokens, prefix, wire.Stage+": reading")
		var handle wire.Handle
		if err := json.Unmarshal([]byte(body), &handle); code != 200 || err != nil || handle.ID == "" || handle.Tokens != 20 || h.Get(wire.Attempt) != "a" {
			t.Fatal(code, h, body)
		}
		return handle.ID
	}
	decode := func(id string) (int, http.Header, string) {
		return send(w, "POST", "/a/", "p", attempt("a"), tokens, prefix, wire.Memory+": "+r.Address+"/"+id)
	}
	id := prefill(r)
	if r.Handles() != 1 {
		t.Error(r.Handles())
	}
	code, h, body := decode(id)
	if code != 200 || h.Get(wire.Seal) == "" || strings.Count(body, "data: ") != 3 || !strings.Contains(body, "id: 3\n") {
		t.Error(code, h, body)
	}
	if code, h, _ := decode(id); code != 503 || h.Get(wire.NotRun) == "" || r.Handles() != 0 {
		t.Error("handle taken twice:", code, h)
	}
	id = prefill(r)
	if code, _, _ := send(r, "DELETE", wire.HandlePath+id, ""); code != 200 {
		t.Error(code)
	}
	if code, _, _ := decode(id); code != 503 {
		t.Error("deleted handle taken:", code)
	}
	r.InjectFault(Lapse, 1)
	if code, _, _ := decode(prefill(r)); code != 503 {
		t.Error("expired handle taken:", code)
	}
	var outcomes string
	env.log.Count(func(a *record.All) int {
		for _, x := range a.Arrivals {
			outcomes += x.Out + x.HandleOf + " "
		}
		return 0
	})
	if outcomes != "read rana away read away read away " {
		t.Error(outcomes)
	}
}

// A server that gets a request for another server or phase, or is full, refuses it and
// marks the answer as not run.
func TestRefusedRequestsAreMarkedNotRun(t *testing.T) {
	env := &testEnv{t: t, log: record.New()}
	r, w := env.start(wire.Prefill, nil), env.start(wire.Decode, nil)
	for name, x := range map[string]struct {
		s    *Server
		code int
		head []string
	}{
		"another server":                     {w, 421, []string{attempt("a"), wire.Expect + ": i-9"}},
		"decode request to a prefill server": {r, 421, []string{attempt("a")}},
		"prefill request to a decode server": {w, 421, []string{attempt("a"), wire.Stage + ": reading"}},
		"no attempt id":                      {w, 400, nil},
		"unknown KV handle":                  {w, 503, []string{attempt("a"), wire.Memory + ": 127.0.0.1:1/x"}},
	} {
		if code, h, _ := send(x.s, "POST", "/a/", "", x.head...); code != x.code || h.Get(wire.NotRun) == "" {
			t.Errorf("%s: %d %v", name, code, h)
		}
	}
	slow := env.start(wire.Decode, func(c *Config) { c.Slots, c.Queue, c.Step = 1, 0, time.Hour })
	for range slow.Slots {
		slow.slots <- struct{}{}
	}
	if code, h, _ := send(slow, "POST", "/a/", "", attempt("a"), tokens, prefix); code != 503 || h.Get(wire.NotRun) == "" {
		t.Error("full server:", code, h)
	}
	<-slow.slots
	w.Drain()
	if code, h, _ := send(w, "GET", "/health", ""); code != 503 || h.Get(wire.ServedBy) != w.ID || w.Entry().State != wire.Draining {
		t.Error("health check while draining:", code, h)
	}
	if code, h, _ := send(w, "POST", "/a/", "", attempt("b"), tokens, prefix); code != 200 || h.Get(wire.Seal) == "" {
		t.Error("request while draining:", code, h)
	}
}

// A stream resumes after the last event that the client has.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	env := &testEnv{t: t, log: record.New()}
	w := env.start(wire.Decode, nil)
	if _, _, body := send(w, "POST", "/a/", "", attempt("a"), tokens, prefix, wire.LastEvent+": 2"); strings.Contains(body, "id: 2") || !strings.HasPrefix(body, "id: 3\n") || !strings.Contains(body, Text("a", "i-1.1", 3)) {
		t.Errorf("%q", body)
	}
}

func TestOrders(t *testing.T) {
	env := &testEnv{t: t, log: record.New()}
	phaseChanged := make(chan bool, 1)
	w := env.start(wire.Decode, func(c *Config) { c.ChecksFence, c.Changed = true, func(*Server) { phaseChanged <- true } })
	order := func(body string) int {
		code, _, _ := send(w, "POST", wire.OrderPath, body)
		return code
	}
	for _, x := range []struct {
		body string
		code int
	}{
		{`{"operation":"phase","phase":"reading","fence-number":4}`, 400},
		{`{"operation":"phase","phase":"reading","holder":"n"}`, 400},
		{`{"operation":"sing","holder":"n","fence-number":4}`, 400},
		{`{"operation":"phase","phase":"writing","holder":"n","fence-number":4}`, 200},
		{`{"operation":"phase","phase":"reading","holder":"n","fence-number":3}`, 412},
		{`{"operation":"phase","phase":"reading","holder":"n","fence-number":4,"expected":7}`, 409},
		{`{"operation":"phase","phase":"reading","holder":"n","fence-number":4,"expected":0}`, 202},
	} {
		if got := order(x.body); got != x.code {
			t.Errorf("%s: got status %d, want %d", x.body, got, x.code)
		}
	}
	<-phaseChanged
	if e := w.Entry(); e.Phase != wire.Prefill || w.report().Calls != 1 {
		t.Errorf("%+v %+v", e, w.report())
	}
	if n := env.log.Count(func(a *record.All) int { return len(a.Orders) }); n != 5 { // orders with a holder and a fence number
		t.Error(n)
	}
}

// Each injected fault is visible to the client and affects only one answer.
func TestInjectedFaultsAreVisible(t *testing.T) {
	env := &testEnv{t: t, log: record.New()}
	w := env.start(wire.Decode, nil)
	for f, isExpected := range map[Fault]func(code int, h http.Header, body string) bool{
		Break: func(code int, _ http.Header, body string) bool {
			return code == 200 && strings.HasPrefix(body, "broken: ")
		},
		Garble: func(code int, _ http.Header, body string) bool {
			return code == 0 && strings.Contains(body, "malformed")
		},
		Reset: func(code int, _ http.Header, _ string) bool { return code == 0 },
		HeadOnly: func(code int, _ http.Header, body string) bool {
			return code == 200 && strings.HasPrefix(body, "broken: ")
		},
		Denied:  func(code int, h http.Header, _ string) bool { return code == 200 && h.Get(wire.NotRun) != "" },
		Interim: func(code int, _ http.Header, body string) bool { return code == 200 && strings.Contains(body, "id: 3") },
		Doubled: func(code int, _ http.Header, body string) bool { return code == 200 && strings.Contains(body, "id: 3") },
		NoSeal:  func(code int, h http.Header, _ string) bool { return code == 200 && h.Get(wire.Seal) == "" },
		Encoded: func(code int, h http.Header, _ string) bool { return code == 200 && h.Get(wire.Encoding) != "" },
		Close:   func(code int, _ http.Header, body string) bool { return code == 200 && strings.Contains(body, "id: 3") },
		Full:    func(code int, h http.Header, _ string) bool { return code == 503 && h.Get(wire.NotRun) != "" },
	} {
		w.InjectFault(f, 1)
		if code, h, body := send(w, "POST", "/a/", "", attempt("a"), tokens, prefix); !isExpected(code, h, body) {
			t.Errorf("fault %d: got status %d, headers %v, body %q", f, code, h, body)
		}
		if code, _, body := send(w, "POST", "/a/", "", attempt("a"), tokens, prefix); code != 200 || !strings.Contains(body, "id: 3") {
			t.Errorf("request after fault %d: got status %d, body %q", f, code, body)
		}
	}
	w.Crash()
	if code, _, _ := send(w, "POST", "/a/", "", attempt("a")); code != 0 {
		t.Error("crashed server answered with status", code)
	}
	if w.Life.Died == 0 {
		t.Error("the time of the crash was not recorded")
	}
}
