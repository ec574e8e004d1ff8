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

// gate is a gateway that most tests share.
var gate = sync.OnceValues(newGate)

// newGate makes the gateway of one daemon, alone in its fleet, with five servers
// of two halves.
func newGate() (*Gateway, error) {
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
	g := New(c, &fake{})
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
		return nil, fmt.Errorf("plan: %d %s", code, rep)
	}
	if code, rep := c.Call(ctx, c.Partition("one"), "servers", leadercall.Pack(leader.ServersCall{Service: "one", List: list}), 20*time.Second); code != 200 {
		return nil, fmt.Errorf("servers: %d %s", code, rep)
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
			return nil, fmt.Errorf("only %d servers in use", n)
		case <-c.Changed():
		case <-time.After(c.Cfg.VolumeLease() / 16):
		}
	}
}

var requests, prompts = 0, uint64(0)

// serve sends one request through; servers are never shy of a test before.
func serve(t *testing.T, f *fake, path string, e *ears, edit func(q *Request)) []string {
	t.Helper()
	g, err := gate()
	if err != nil {
		t.Fatal(err)
	}
	g.engines = f
	l := g.dispatcherOf("one")
	l.mu.Lock()
	l.Dispatcher = forward.New(g.cfg, "one", l.partition, source{g.daemon}, serviceLoads{g, "one"})
	g.setDaemons(l)
	l.mu.Unlock()
	requests++
	q := &Request{ID: fmt.Sprint("r", requests), Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}}
	ctx := context.Background()
	if edit != nil {
		edit(q)
	}
	done := make(chan bool)
	go func() { g.Serve(ctx, q, e); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: no end; calls %v, the client has %v", path, f.calls, e.log)
	}
	if n := g.Open(); n != 0 {
		t.Errorf("%d requests are open", n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Dispatcher.InFlight() != 0 {
		t.Errorf("%d requests are left in the lane", l.Dispatcher.InFlight())
	}
	return e.log
}

// outcomes scripts writing calls: each takes the next.
func outcomes(list ...any) func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
	return func(n int, _ context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		if n > len(list) {
			return nil, forward.Overloaded
		}
		switch x := list[n-1].(type) {
		case forward.Outcome:
			return nil, x
		case *script:
			return x, forward.OK
		}
		panic("no such line")
	}
}

var errCut = errors.New("reset")

// What a client gets, and what servers got, for each way that calls can go.
func TestEndsOfARequest(t *testing.T) {
	text := func(status int, err error, texts ...string) *script {
		a := &script{status: status, kind: "text/plain", err: err}
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
		{"whole", "/unsafe/", []any{text(200, nil, "a", "b")}, "write", "head 200 a b"},
		{"whole and empty", "/unsafe/", []any{text(204, nil)}, "write", "head 204"},
		{"its own fault", "/unsafe/", []any{text(500, nil, "sorry")}, "write", "head 500 sorry"},
		{"lost once", "/unsafe/", []any{forward.Lost}, "write", "fail 502"},
		{"turned away, then lost", "/unsafe/", []any{forward.Overloaded, forward.Lost}, "write write", "fail 502"},
		{"not sent, then whole", "/unsafe/", []any{forward.NotSent, text(200, nil, "a")}, "write write", "head 200 a"},
		{"turned away by all", "/unsafe/", []any{forward.Overloaded, forward.WrongServer, forward.Overloaded}, "write write write", "refuse 503"},
		{"broken off", "/unsafe/", []any{text(200, errCut, "a")}, "write", "head 200 a break"},
		{"lost before its first byte", "/unsafe/", []any{text(200, errCut)}, "write", "fail 502"},
		{"safe, lost, then whole", "/safe/", []any{forward.Lost, text(200, nil, "a")}, "write write", "head 200 a"},
		{"safe, a fault, then whole", "/safe/", []any{text(500, nil, "sorry"), text(200, nil, "a")}, "write write", "head 200 a"},
		{"safe, lost before its first byte, then whole", "/safe/", []any{text(200, errCut), text(200, nil, "a")}, "write write", "head 200 a"},
		{"safe, lost by all", "/safe/", []any{forward.Lost, forward.Lost, forward.Lost}, "write write write", "fail 502"},
		{"safe, broken off", "/safe/", []any{text(200, errCut, "a")}, "write", "head 200 a break"},
		{"a stream", "/stream/", []any{events(1, 3, nil)}, "write", "head 200 1; 2; 3;"},
		{"a stream broken off", "/stream/", []any{events(1, 2, errCut)}, "write", "head 200 1; 2; break"},
		{"a stream lost", "/stream/", []any{forward.Lost}, "write", "fail 502"},
		{"taken up elsewhere", "/resume/", []any{events(1, 2, errCut), events(3, 4, nil)}, "write|write after 2", "head 200 1; 2; 3; 4;"},
		{"taken up twice", "/resume/", []any{events(1, 2, errCut), events(3, 3, errCut), events(4, 5, nil)}, "write|write after 2|write after 3", "head 200 1; 2; 3; 4; 5;"},
		{"taken up, lost before an event", "/resume/", []any{events(1, 2, errCut), events(3, 2, errCut), events(3, 4, nil)}, "write|write after 2|write after 2", "head 200 1; 2; 3; 4;"},
		{"taken up by a fault", "/resume/", []any{events(1, 1, errCut), text(500, nil, "sorry"), events(2, 2, nil)}, "write|write after 1|write after 1", "head 200 1; 2;"},
		{"taken up by none", "/resume/", []any{events(1, 1, errCut), forward.Overloaded, forward.Overloaded}, "write|write after 1|write after 1", "head 200 1; break"},
		{"lost before an event", "/resume/", []any{forward.Lost, events(1, 2, nil)}, "write write", "head 200 1; 2;"},
	} {
		f := &fake{write: outcomes(x.script...)}
		log := serve(t, f, x.path, &ears{}, nil)
		sep := " "
		if strings.Contains(x.calls, "|") {
			sep = "|"
		}
		if got := strings.Join(log, " "); got != x.gets || strings.Join(f.calls, sep) != x.calls {
			t.Errorf("%s: the client gets %q, servers %q; expected %q and %q", x.what, got, f.calls, x.gets, x.calls)
		}
		for _, s := range x.script {
			if a, ok := s.(*script); ok && !a.closed {
				t.Errorf("%s: an answer was not closed", x.what)
			}
		}
	}
}

func long(q *Request) {
	q.InputTokens, q.MaxOutputTokens = 30000, 10
	prompts++ // one that no server keeps
	q.Parts = []forward.Part{{Key: prompts, Tokens: 29000}, {Key: 1, Tokens: 1000}}
}

// A long prompt is read apart; its memory goes to one server, and is freed if
// no server takes it up.
func TestAPromptReadApart(t *testing.T) {
	read := func(list ...forward.Outcome) func(int, forward.Decision) forward.Outcome {
		return func(n int, _ forward.Decision) forward.Outcome { return list[min(n, len(list))-1] }
	}
	for _, x := range []struct {
		what  string
		read  []forward.Outcome
		write []any
		calls string
		gets  string
		freed string
	}{
		{"handed over", []forward.Outcome{forward.OK}, []any{events(1, 2, nil)}, "read|write h1", "head 200 1; 2;", ""},
		{"turned away by all", []forward.Outcome{forward.OK}, []any{forward.Overloaded, forward.Overloaded, forward.Overloaded}, "read|write h1|write h1|write h1", "refuse 503", "h1"},
		{"not sent anywhere", []forward.Outcome{forward.OK}, []any{forward.NotSent, forward.NotSent, forward.NotSent}, "read|write h1|write h1|write h1", "refuse 503", "h1"},
		{"lost with the memory", []forward.Outcome{forward.OK}, []any{forward.Lost}, "read|write h1", "fail 502", ""},
		{"memory gone, read anew", []forward.Outcome{forward.OK}, []any{forward.HandleLost, events(1, 1, nil)}, "read|write h1|read|write h2", "head 200 1;", "h1"},
		{"one prefill server is full", []forward.Outcome{forward.Overloaded, forward.OK}, []any{events(1, 1, nil)}, "read|read|write h2", "head 200 1;", ""},
	} {
		f := &fake{read: read(x.read...), write: outcomes(x.write...)}
		log := serve(t, f, "/stream/", &ears{}, long)
		g, _ := gate()
		limit := time.After(5 * time.Second)
		for { // what is freed is freed on the side
			f.mu.Lock()
			freed := strings.Join(f.freed, " ")
			f.mu.Unlock()
			if freed == x.freed {
				break
			}
			select {
			case <-limit:
				t.Fatalf("%s: freed %q, expected %q", x.what, freed, x.freed)
			case <-time.After(g.daemon.Cfg.VolumeLease() / 64):
			}
		}
		if got := strings.Join(log, " "); got != x.gets || strings.Join(f.calls, "|") != x.calls {
			t.Errorf("%s: the client gets %q, servers %q; expected %q and %q", x.what, got, f.calls, x.gets, x.calls)
		}
	}
}

// A client that goes away, or takes nothing more, ends its request: servers are
// cut off and nothing is sent again.
func TestAClientThatIsGone(t *testing.T) {
	f := &fake{write: outcomes(events(1, 9, nil), events(4, 9, nil))}
	if log := serve(t, f, "/stream/", &ears{deaf: 3}, nil); strings.Join(log, " ") != "head 200 1; 2; 3; break" || len(f.calls) != 1 {
		t.Errorf("%v %v", log, f.calls)
	}
	g, _ := gate()
	ctx, cut := context.WithCancel(context.Background())
	f = &fake{write: func(_ int, ctx context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		cut()
		<-ctx.Done()
		return nil, forward.Lost
	}}
	g.engines = f
	e := &ears{}
	g.Serve(ctx, &Request{ID: "gone", Host: "h.example", Path: "/resume/", Header: http.Header{}}, e)
	if len(f.calls) != 1 || !slices.Equal(e.log, []string{"break"}) || g.Open() != 0 {
		t.Errorf("%v %v, %d open", f.calls, e.log, g.Open())
	}
	ctx, cut = context.WithCancel(context.Background())
	f = &fake{read: func(int, forward.Decision) forward.Outcome { cut(); return forward.OK }, write: outcomes(events(1, 2, nil))}
	g.engines = f
	q := &Request{ID: "gone-2", Host: "h.example", Path: "/stream/", Header: http.Header{}}
	long(q)
	g.Serve(ctx, q, &ears{})
	if len(f.calls) != 1 {
		t.Errorf("%v", f.calls)
	}
	for limit := time.After(5 * time.Second); ; {
		f.mu.Lock()
		n := len(f.freed)
		f.mu.Unlock()
		if n == 1 {
			break
		}
		select {
		case <-limit:
			t.Fatal("its memory is not freed")
		case <-time.After(g.daemon.Cfg.VolumeLease() / 64):
		}
	}
}

// A request whose time is up ends then, whatever its server does.
func TestTheTimeOfARequest(t *testing.T) {
	f := &fake{write: func(_ int, ctx context.Context, _ forward.Decision, _ string) (Answer, forward.Outcome) {
		<-ctx.Done()
		return nil, forward.Lost
	}}
	from := time.Now()
	log := serve(t, f, "/resume/", &ears{}, func(q *Request) { q.ClientTimeout = 300 * time.Millisecond })
	if took := time.Since(from); strings.Join(log, " ") != "fail 502" || took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("%v after %v", log, took)
	}
}

// However long its client would wait, a request is given up when its route says so:
// no server is given more time.
func TestARequestIsGivenUpWhenItsRouteSaysSo(t *testing.T) {
	const giveUp = 5 * time.Second // of the routes here
	g, _ := gate()
	for _, left := range []time.Duration{0, time.Hour, time.Second} {
		var until time.Duration
		f := &fake{write: func(_ int, _ context.Context, m forward.Decision, _ string) (Answer, forward.Outcome) {
			until = m.Until - g.daemon.Now()
			return nil, forward.Lost
		}}
		serve(t, f, "/stream/", &ears{}, func(q *Request) { q.ClientTimeout = left })
		most := giveUp
		if left > 0 {
			most = min(most, left)
		}
		if until <= most/2 || until > most {
			t.Errorf("a client that waits %v: given up after %v", left, until)
		}
	}
}

// Only a stream whose last event the client can be told of goes on elsewhere;
// what else has begun can't be joined.
func TestWhatCanNotBeTakenUpElsewhere(t *testing.T) {
	body := func(status int, kind string, p ...piece) *script {
		return &script{status: status, kind: kind, pieces: p, err: errCut}
	}
	for what, first := range map[string]*script{
		"a body that is no stream":    body(200, "text/plain", piece{"", "half"}),
		"a fault's body":              body(404, "text/plain", piece{"", "half"}),
		"a stream without ids":        body(200, eventStream, piece{"", "1;"}),
		"a stream whose ids ran out ": body(200, eventStream, piece{"1", "1;"}, piece{"", "2;"}),
	} {
		f := &fake{write: outcomes(first, events(1, 3, nil), events(1, 3, nil))}
		log := serve(t, f, "/resume/", &ears{}, nil)
		if len(f.calls) != 1 || log[len(log)-1] != "break" {
			t.Errorf("%s: the client gets %q, servers %q", what, log, f.calls)
		}
	}
	f := &fake{write: outcomes(events(1, 2, errCut), events(2, 3, nil))}
	if log := serve(t, f, "/resume/", &ears{}, nil); strings.Join(log, " ") != "head 200 1; 2; break" {
		t.Errorf("a server that goes on with an event too early: %q", log)
	}
	f = &fake{write: outcomes(events(1, 2, errCut), &script{status: 200, kind: "text/plain", pieces: []piece{{"", "x"}}})}
	if log := serve(t, f, "/resume/", &ears{}, nil); strings.Join(log, " ") != "head 200 1; 2; break" {
		t.Errorf("a server that goes on with no stream: %q", log)
	}
}
