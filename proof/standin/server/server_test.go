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

type bench struct {
	t     *testing.T
	log   *record.Log
	peers Peers
	n     int
}

func (b *bench) start(phase string, edit func(*Config)) *Server {
	b.t.Helper()
	b.n++
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	c := Config{
		ID: fmt.Sprint("i-", b.n), Service: "gen", Zone: "north", Address: ln.Addr().String(), Phase: phase, Slots: 1, Queue: 1, Pace: 1000, Step: time.Millisecond, Memory: 1000, TokenBytes: 1, Mbps: 1000,
		Hold: time.Minute, Health: "/health", KeepAlive: 30 * time.Second,
	}
	_ = ln.Close()
	if edit != nil {
		edit(&c)
	}
	s, err := Start(c, b.log, &b.peers)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.End)
	return s
}

// ask sends a request and gives its answer, whole.
func ask(s *Server, method, path, body string, head ...string) (int, http.Header, string) {
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

// A handle is taken once, by whoever comes with it, and then it is gone; what
// is freed or lapsed can't be had either.
func TestHandles(t *testing.T) {
	b := &bench{t: t, log: record.New()}
	r, w := b.start(wire.Reading, nil), b.start(wire.Writing, nil)
	read := func(s *Server) string {
		code, h, body := ask(s, "POST", "/a/", "p", attempt("a"), tokens, prefix, wire.Stage+": reading")
		var got wire.Handle
		if err := json.Unmarshal([]byte(body), &got); code != 200 || err != nil || got.ID == "" || got.Tokens != 20 || h.Get(wire.Attempt) != "a" {
			t.Fatal(code, h, body)
		}
		return got.ID
	}
	write := func(id string) (int, http.Header, string) {
		return ask(w, "POST", "/a/", "p", attempt("a"), tokens, prefix, wire.Memory+": "+r.Address+"/"+id)
	}
	id := read(r)
	if r.Handles() != 1 {
		t.Error(r.Handles())
	}
	code, h, body := write(id)
	if code != 200 || h.Get(wire.Seal) == "" || strings.Count(body, "data: ") != 3 || !strings.Contains(body, "id: 3\n") {
		t.Error(code, h, body)
	}
	if code, h, _ := write(id); code != 503 || h.Get(wire.NotRun) == "" || r.Handles() != 0 {
		t.Error("taken twice:", code, h)
	}
	id = read(r)
	if code, _, _ := ask(r, "DELETE", wire.HandlePath+id, ""); code != 200 {
		t.Error(code)
	}
	if code, _, _ := write(id); code != 503 {
		t.Error("freed and taken:", code)
	}
	r.Misbehave(Lapse, 1)
	if code, _, _ := write(read(r)); code != 503 {
		t.Error("lapsed and taken:", code)
	}
	var came string
	b.log.Count(func(a *record.All) int {
		for _, x := range a.Arrivals {
			came += x.Out + x.HandleOf + " "
		}
		return 0
	})
	if came != "read rana away read away read away " {
		t.Error(came)
	}
}

// Who is asked for another server, another part, or too much, says that it has
// not run the request.
func TestTurnedAway(t *testing.T) {
	b := &bench{t: t, log: record.New()}
	r, w := b.start(wire.Reading, nil), b.start(wire.Writing, nil)
	for what, x := range map[string]struct {
		s    *Server
		code int
		head []string
	}{
		"another server": {w, 421, []string{attempt("a"), wire.Expect + ": i-9"}},
		"a reading half": {r, 421, []string{attempt("a")}},
		"a writing half": {w, 421, []string{attempt("a"), wire.Stage + ": reading"}},
		"no id":          {w, 400, nil},
		"no such memory": {w, 503, []string{attempt("a"), wire.Memory + ": 127.0.0.1:1/x"}},
	} {
		if code, h, _ := ask(x.s, "POST", "/a/", "", x.head...); code != x.code || h.Get(wire.NotRun) == "" {
			t.Errorf("%s: %d %v", what, code, h)
		}
	}
	slow := b.start(wire.Writing, func(c *Config) { c.Slots, c.Queue, c.Step = 1, 0, time.Hour })
	for range slow.Slots {
		slow.slots <- struct{}{}
	}
	if code, h, _ := ask(slow, "POST", "/a/", "", attempt("a"), tokens, prefix); code != 503 || h.Get(wire.NotRun) == "" {
		t.Error("full:", code, h)
	}
	<-slow.slots
	w.Drain()
	if code, h, _ := ask(w, "GET", "/health", ""); code != 503 || h.Get(wire.ServedBy) != w.ID || w.Entry().State != wire.Draining {
		t.Error("draining:", code, h)
	}
	if code, h, _ := ask(w, "POST", "/a/", "", attempt("b"), tokens, prefix); code != 200 || h.Get(wire.Seal) == "" {
		t.Error("it goes on serving:", code, h)
	}
}

// A stream is gone on with after the event that the client has.
func TestGoingOn(t *testing.T) {
	b := &bench{t: t, log: record.New()}
	w := b.start(wire.Writing, nil)
	if _, _, body := ask(w, "POST", "/a/", "", attempt("a"), tokens, prefix, wire.LastEvent+": 2"); strings.Contains(body, "id: 2") || !strings.HasPrefix(body, "id: 3\n") || !strings.Contains(body, Text("a", "i-1.1", 3)) {
		t.Errorf("%q", body)
	}
}

func TestOrders(t *testing.T) {
	b := &bench{t: t, log: record.New()}
	turned := make(chan bool, 1)
	w := b.start(wire.Writing, func(c *Config) { c.ChecksFence, c.Changed = true, func(*Server) { turned <- true } })
	order := func(body string) int {
		code, _, _ := ask(w, "POST", wire.OrderPath, body)
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
			t.Errorf("%s: %d, expected %d", x.body, got, x.code)
		}
	}
	<-turned
	if e := w.Entry(); e.Phase != wire.Reading || w.report().Calls != 1 {
		t.Errorf("%+v %+v", e, w.report())
	}
	if n := b.log.Count(func(a *record.All) int { return len(a.Orders) }); n != 5 { // those with a holder's fence
		t.Error(n)
	}
}

// Each way to misbehave shows on the wire.
func TestMisbehaving(t *testing.T) {
	b := &bench{t: t, log: record.New()}
	w := b.start(wire.Writing, nil)
	for f, looks := range map[Fault]func(code int, h http.Header, body string) bool{
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
		w.Misbehave(f, 1)
		if code, h, body := ask(w, "POST", "/a/", "", attempt("a"), tokens, prefix); !looks(code, h, body) {
			t.Errorf("%d: %d %v %q", f, code, h, body)
		}
		if code, _, body := ask(w, "POST", "/a/", "", attempt("a"), tokens, prefix); code != 200 || !strings.Contains(body, "id: 3") {
			t.Errorf("after %d: %d %q", f, code, body)
		}
	}
	w.Crash()
	if code, _, _ := ask(w, "POST", "/a/", "", attempt("a")); code != 0 {
		t.Error("it crashed, and answers", code)
	}
	if w.Life.Died == 0 {
		t.Error("nobody noted its end")
	}
}
