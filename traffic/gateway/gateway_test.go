package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
)

const eventStream = "text/event-stream"

// sharedGateway returns the gateway that most tests share.
var sharedGateway = sync.OnceValues(newTestGateway)

// newTestGateway starts the gateway of the only daemon of a fleet, with three decode servers and two
// prefill servers.
func newTestGateway() (*Gateway, error) {
	dir, err := os.MkdirTemp("", "gateway-test-")
	if err != nil {
		return nil, err
	}
	cfg := daemon.Default()
	cfg.WireAddr, cfg.HTTPAddr = "", ""
	for _, at := range []*string{&cfg.WireAddr, &cfg.HTTPAddr} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*at = ln.Addr().String()
		_ = ln.Close()
	}
	cfg.Seeds, cfg.DataFolder, cfg.Losses, cfg.Bounds.Plan, cfg.Retry.Slack = []string{cfg.WireAddr}, dir, 0, 500*time.Millisecond, 1000
	c, err := daemon.Open(cfg, eventlog.New(64, io.Discard))
	if err != nil {
		return nil, err
	}
	g := New(c, &fakeEngines{})
	ctx := context.Background()
	go func() { _ = g.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	p := fleetconfig.Plan{ID: "first", Tenants: []fleetconfig.Tenant{}, Services: []fleetconfig.Service{{Name: "one", PrefillServers: 1, DecodeServers: 1, TokenBytes: 10}}}
	for _, r := range []fleetconfig.Route{{Kind: fleetconfig.Safe}, {Kind: fleetconfig.Unsafe}, {Kind: fleetconfig.Stream}, {Name: "resume", Kind: fleetconfig.Stream, Resume: true}} {
		if r.Name == "" {
			r.Name = r.Kind
		}
		r.Host, r.Prefix, r.GiveUpMillis, r.TargetMillis, r.MaxAttempts, r.Services = "h.example", "/"+r.Name+"/", 5000, 400, 3, []fleetconfig.Share{{Service: "one", Weight: 1}}
		p.Routes = append(p.Routes, r)
	}
	body, err := fleetconfig.EncodeCall(p)
	if err != nil {
		return nil, err
	}
	list := fleetconfig.List{Version: 1}
	for i, part := range []string{placement.Decode, placement.Decode, placement.Decode, placement.Prefill, placement.Prefill} {
		list.Servers = append(list.Servers, fleetconfig.Server{ID: fmt.Sprint("i-", i), Addr: fmt.Sprint("10.0.0.", i+1, ":1"), Zone: cfg.Zone, Capacity: 8, Role: part})
	}
	if code, rep := c.Call(ctx, 0, "plan", body, 20*time.Second); code != 200 {
		return nil, fmt.Errorf("set plan: %d %s", code, rep)
	}
	if code, rep := c.Call(ctx, c.Partition("one"), "servers", leadercall.MustMarshal(leader.ServersCall{Service: "one", List: list}), 20*time.Second); code != 200 {
		return nil, fmt.Errorf("set servers: %d %s", code, rep)
	}
	limit := time.After(20 * time.Second)
	for {
		n := 0
		for _, x := range list.Servers {
			if rec, ok := c.ReadAllowingStale(c.Partition("one"), fleetconfig.ServerRecordKey("one", x.ID)); ok && !rec.Deleted {
				n++
			}
		}
		if n == len(list.Servers) {
			return g, nil
		}
		select {
		case <-limit:
			return nil, fmt.Errorf("timed out: only %d servers have a record", n)
		case <-c.Changed():
		case <-time.After(c.Cfg.VolumeLease() / 16):
		}
	}
}

var requests, prompts = 0, uint64(0)

// serve runs one request to its end, with a new dispatcher so that no back-off from earlier
// tests applies, and returns what the client received.
func serve(t *testing.T, f *fakeEngines, path string, e *recordingClient, edit func(req *Request)) []string {
	t.Helper()
	g, err := sharedGateway()
	if err != nil {
		t.Fatal(err)
	}
	g.engines = f
	d := g.dispatcherFor("one")
	d.mu.Lock()
	d.Dispatcher = forward.New(g.cfg, "one", d.partition, source{g.daemon}, serviceLoads{g, "one"})
	g.updateDaemons(d)
	d.mu.Unlock()
	requests++
	req := &Request{ID: fmt.Sprint("r", requests), Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}}
	ctx := context.Background()
	if edit != nil {
		edit(req)
	}
	done := make(chan bool)
	go func() { g.Serve(ctx, req, e); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: the request does not end; calls %v, client received %v", path, f.calls, e.log)
	}
	if n := g.InFlight(); n != 0 {
		t.Errorf("%d requests are open", n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Dispatcher.InFlight() != 0 {
		t.Errorf("%d requests are left in the dispatcher", d.Dispatcher.InFlight())
	}
	return e.log
}

// scriptedOutcomes returns a decode function whose n-th call takes the n-th entry of a list.
func scriptedOutcomes(list ...any) func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
	return func(n int, _ context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		if n > len(list) {
			return nil, forward.Overloaded
		}
		switch x := list[n-1].(type) {
		case forward.Outcome:
			return nil, x
		case *scriptedAnswer:
			return x, forward.OK
		}
		panic("unexpected type of scripted outcome")
	}
}

var errReset = errors.New("reset")

// Each sequence of call outcomes must lead to the expected calls to servers and output to the client.
func TestRequestOutcomes(t *testing.T) {
	text := func(status int, err error, texts ...string) *scriptedAnswer {
		a := &scriptedAnswer{status: status, kind: "text/plain", err: err}
		for _, s := range texts {
			a.pieces = append(a.pieces, piece{"", s})
		}
		return a
	}
	for _, x := range []struct {
		what, path string
		script     []any
		calls      string
		gets       string
	}{
		{"no route", "/none/", nil, "", "fail 404"},
		{"complete", "/unsafe/", []any{text(200, nil, "a", "b")}, "decode", "head 200 a b"},
		{"complete and empty", "/unsafe/", []any{text(204, nil)}, "decode", "head 204"},
		{"error response", "/unsafe/", []any{text(500, nil, "sorry")}, "decode", "head 500 sorry"},
		{"lost once", "/unsafe/", []any{forward.Lost}, "decode", "fail 502"},
		{"overloaded, then lost", "/unsafe/", []any{forward.Overloaded, forward.Lost}, "decode decode", "fail 502"},
		{"not sent, then complete", "/unsafe/", []any{forward.NotSent, text(200, nil, "a")}, "decode decode", "head 200 a"},
		{"rejected by all", "/unsafe/", []any{forward.Overloaded, forward.WrongServer, forward.Overloaded}, "decode decode decode", "refuse 503"},
		{"interrupted", "/unsafe/", []any{text(200, errReset, "a")}, "decode", "head 200 a break"},
		{"lost before its first byte", "/unsafe/", []any{text(200, errReset)}, "decode", "fail 502"},
		{"safe, lost, then complete", "/safe/", []any{forward.Lost, text(200, nil, "a")}, "decode decode", "head 200 a"},
		{"safe, error response, then complete", "/safe/", []any{text(500, nil, "sorry"), text(200, nil, "a")}, "decode decode", "head 200 a"},
		{"safe, lost before its first byte, then complete", "/safe/", []any{text(200, errReset), text(200, nil, "a")}, "decode decode", "head 200 a"},
		{"safe, lost by all", "/safe/", []any{forward.Lost, forward.Lost, forward.Lost}, "decode decode decode", "fail 502"},
		{"safe, interrupted", "/safe/", []any{text(200, errReset, "a")}, "decode", "head 200 a break"},
		{"a stream", "/stream/", []any{events(1, 3, nil)}, "decode", "head 200 1; 2; 3;"},
		{"a stream interrupted", "/stream/", []any{events(1, 2, errReset)}, "decode", "head 200 1; 2; break"},
		{"a stream lost", "/stream/", []any{forward.Lost}, "decode", "fail 502"},
		{"resumed elsewhere", "/resume/", []any{events(1, 2, errReset), events(3, 4, nil)}, "decode|decode after 2", "head 200 1; 2; 3; 4;"},
		{"resumed twice", "/resume/", []any{events(1, 2, errReset), events(3, 3, errReset), events(4, 5, nil)}, "decode|decode after 2|decode after 3", "head 200 1; 2; 3; 4; 5;"},
		{"resumed, lost before an event", "/resume/", []any{events(1, 2, errReset), events(3, 2, errReset), events(3, 4, nil)}, "decode|decode after 2|decode after 2", "head 200 1; 2; 3; 4;"},
		{"resumed, error response", "/resume/", []any{events(1, 1, errReset), text(500, nil, "sorry"), events(2, 2, nil)}, "decode|decode after 1|decode after 1", "head 200 1; 2;"},
		{"resumed by no server", "/resume/", []any{events(1, 1, errReset), forward.Overloaded, forward.Overloaded}, "decode|decode after 1|decode after 1", "head 200 1; break"},
		{"lost before an event", "/resume/", []any{forward.Lost, events(1, 2, nil)}, "decode decode", "head 200 1; 2;"},
	} {
		f := &fakeEngines{decode: scriptedOutcomes(x.script...)}
		log := serve(t, f, x.path, &recordingClient{}, nil)
		sep := " "
		if strings.Contains(x.calls, "|") {
			sep = "|"
		}
		if got := strings.Join(log, " "); got != x.gets || strings.Join(f.calls, sep) != x.calls {
			t.Errorf("%s: client received %q, calls %q; expected %q and %q", x.what, got, f.calls, x.gets, x.calls)
		}
		for _, s := range x.script {
			if a, ok := s.(*scriptedAnswer); ok && !a.closed {
				t.Errorf("%s: an answer was not closed", x.what)
			}
		}
	}
}

func withLongPrompt(req *Request) {
	req.InputTokens, req.MaxOutputTokens = 30000, 10
	prompts++ // a prompt that no server has cached
	req.Parts = []forward.Part{{Key: prompts, Tokens: 29000}, {Key: 1, Tokens: 1000}}
}

// The prefill of a long prompt runs on a prefill server. Its KV cache is handed over to a decode
// server, and released if no decode server uses it.
func TestDisaggregatedPrefill(t *testing.T) {
	prefill := func(list ...forward.Outcome) func(int, forward.Decision) forward.Outcome {
		return func(n int, _ forward.Decision) forward.Outcome { return list[min(n, len(list))-1] }
	}
	for _, x := range []struct {
		what     string
		prefill  []forward.Outcome
		decode   []any
		calls    string
		gets     string
		released string
	}{
		{"handed over", []forward.Outcome{forward.OK}, []any{events(1, 2, nil)}, "prefill|decode h1", "head 200 1; 2;", ""},
		{"rejected by all", []forward.Outcome{forward.OK}, []any{forward.Overloaded, forward.Overloaded, forward.Overloaded}, "prefill|decode h1|decode h1|decode h1", "refuse 503", "h1"},
		{"not sent anywhere", []forward.Outcome{forward.OK}, []any{forward.NotSent, forward.NotSent, forward.NotSent}, "prefill|decode h1|decode h1|decode h1", "refuse 503", "h1"},
		{"lost with the KV cache", []forward.Outcome{forward.OK}, []any{forward.Lost}, "prefill|decode h1", "fail 502", ""},
		{"KV cache lost, prefilled again", []forward.Outcome{forward.OK}, []any{forward.HandleLost, events(1, 1, nil)}, "prefill|decode h1|prefill|decode h2", "head 200 1;", "h1"},
		{"one prefill server is full", []forward.Outcome{forward.Overloaded, forward.OK}, []any{events(1, 1, nil)}, "prefill|prefill|decode h2", "head 200 1;", ""},
	} {
		f := &fakeEngines{prefill: prefill(x.prefill...), decode: scriptedOutcomes(x.decode...)}
		log := serve(t, f, "/stream/", &recordingClient{}, withLongPrompt)
		g, _ := sharedGateway()
		limit := time.After(5 * time.Second)
		for { // handles are released asynchronously
			f.mu.Lock()
			released := strings.Join(f.released, " ")
			f.mu.Unlock()
			if released == x.released {
				break
			}
			select {
			case <-limit:
				t.Fatalf("%s: released %q, expected %q", x.what, released, x.released)
			case <-time.After(g.daemon.Cfg.VolumeLease() / 64):
			}
		}
		if got := strings.Join(log, " "); got != x.gets || strings.Join(f.calls, "|") != x.calls {
			t.Errorf("%s: client received %q, calls %q; expected %q and %q", x.what, got, f.calls, x.gets, x.calls)
		}
	}
}

// A request ends when its client disconnects or stops reading: calls to servers are canceled
// and nothing is sent again.
func TestClientDisconnects(t *testing.T) {
	f := &fakeEngines{decode: scriptedOutcomes(events(1, 9, nil), events(4, 9, nil))}
	if log := serve(t, f, "/stream/", &recordingClient{acceptPieces: 3}, nil); strings.Join(log, " ") != "head 200 1; 2; 3; break" || len(f.calls) != 1 {
		t.Errorf("%v %v", log, f.calls)
	}
	g, _ := sharedGateway()
	ctx, cut := context.WithCancel(context.Background())
	f = &fakeEngines{decode: func(_ int, ctx context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		cut()
		<-ctx.Done()
		return nil, forward.Lost
	}}
	g.engines = f
	e := &recordingClient{}
	g.Serve(ctx, &Request{ID: "gone", Host: "h.example", Path: "/resume/", Header: http.Header{}}, e)
	if len(f.calls) != 1 || !slices.Equal(e.log, []string{"break"}) || g.InFlight() != 0 {
		t.Errorf("%v %v, %d open", f.calls, e.log, g.InFlight())
	}
	ctx, cut = context.WithCancel(context.Background())
	f = &fakeEngines{prefill: func(int, forward.Decision) forward.Outcome { cut(); return forward.OK }, decode: scriptedOutcomes(events(1, 2, nil))}
	g.engines = f
	req := &Request{ID: "gone-2", Host: "h.example", Path: "/stream/", Header: http.Header{}}
	withLongPrompt(req)
	g.Serve(ctx, req, &recordingClient{})
	if len(f.calls) != 1 {
		t.Errorf("%v", f.calls)
	}
	for limit := time.After(5 * time.Second); ; {
		f.mu.Lock()
		n := len(f.released)
		f.mu.Unlock()
		if n == 1 {
			break
		}
		select {
		case <-limit:
			t.Fatal("the KV cache is not released")
		case <-time.After(g.daemon.Cfg.VolumeLease() / 64):
		}
	}
}

// A request ends when the client's timeout has passed, even if its server doesn't answer.
func TestRequestEndsAtClientTimeout(t *testing.T) {
	f := &fakeEngines{decode: func(_ int, ctx context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		<-ctx.Done()
		return nil, forward.Lost
	}}
	from := time.Now()
	log := serve(t, f, "/resume/", &recordingClient{}, func(req *Request) { req.ClientTimeout = 300 * time.Millisecond })
	if took := time.Since(from); strings.Join(log, " ") != "fail 502" || took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("%v after %v", log, took)
	}
}

// The deadline of the route applies even if the client would wait longer. No server is given
// more time than that.
func TestRouteDeadlineBoundsRequest(t *testing.T) {
	const giveUp = 5 * time.Second // deadline of the routes in newTestGateway
	g, _ := sharedGateway()
	for _, left := range []time.Duration{0, time.Hour, time.Second} {
		var until time.Duration
		f := &fakeEngines{decode: func(_ int, _ context.Context, m forward.Decision, _ string) (Answer, forward.Outcome) {
			until = m.Until - g.daemon.Now()
			return nil, forward.Lost
		}}
		serve(t, f, "/stream/", &recordingClient{}, func(req *Request) { req.ClientTimeout = left })
		most := giveUp
		if left > 0 {
			most = min(most, left)
		}
		if until <= most/2 || until > most {
			t.Errorf("client timeout %v: deadline in %v", left, until)
		}
	}
}

// Only a stream whose events have ids can be resumed at another server; any other answer that
// has begun can't be continued.
func TestAnswersThatCannotBeResumed(t *testing.T) {
	body := func(status int, kind string, p ...piece) *scriptedAnswer {
		return &scriptedAnswer{status: status, kind: kind, pieces: p, err: errReset}
	}
	for what, first := range map[string]*scriptedAnswer{
		"a body that isn't a stream": body(200, "text/plain", piece{"", "half"}),
		"the body of an error":       body(404, "text/plain", piece{"", "half"}),
		"a stream without ids":       body(200, eventStream, piece{"", "1;"}),
		"a stream whose ids stop":    body(200, eventStream, piece{"1", "1;"}, piece{"", "2;"}),
	} {
		f := &fakeEngines{decode: scriptedOutcomes(first, events(1, 3, nil), events(1, 3, nil))}
		log := serve(t, f, "/resume/", &recordingClient{}, nil)
		if len(f.calls) != 1 || log[len(log)-1] != "break" {
			t.Errorf("%s: client received %q, calls %q", what, log, f.calls)
		}
	}
	f := &fakeEngines{decode: scriptedOutcomes(events(1, 2, errReset), events(2, 3, nil))}
	if log := serve(t, f, "/resume/", &recordingClient{}, nil); strings.Join(log, " ") != "head 200 1; 2; break" {
		t.Errorf("a server resumes with an event that the client already has: %q", log)
	}
	f = &fakeEngines{decode: scriptedOutcomes(events(1, 2, errReset), &scriptedAnswer{status: 200, kind: "text/plain", pieces: []piece{{"", "x"}}})}
	if log := serve(t, f, "/resume/", &recordingClient{}, nil); strings.Join(log, " ") != "head 200 1; 2; break" {
		t.Errorf("a server resumes with a body that isn't a stream: %q", log)
	}
}
