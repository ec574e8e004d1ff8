package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/forward"
)

// newCutOffGateway returns the gateway of a daemon without a disk, which belongs to the fleet of
// sharedGateway but is cut off from it.
func newCutOffGateway(t *testing.T, overrun time.Duration) (*Gateway, *fakeEngines) {
	t.Helper()
	g, err := sharedGateway()
	if err != nil {
		t.Fatal(err)
	}
	cfg := g.daemon.Cfg
	cfg.DataFolder, cfg.Seeds, cfg.Bounds.Recover = "", []string{g.daemon.Cfg.WireAddr}, overrun
	for _, at := range []*string{&cfg.WireAddr, &cfg.HTTPAddr} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		*at = ln.Addr().String()
		_ = ln.Close()
	}
	c, err := daemon.Open(cfg, eventlog.New(64, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEngines{}
	c.Transport.DropPeers.Store(&map[string]bool{"*": true})
	out := New(c, f)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = out.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	return out, f
}

// eventually waits until a condition holds and fails the test after 20 seconds.
func eventually(t *testing.T, c *daemon.Daemon, what string, condition func() bool) {
	t.Helper()
	limit, ticker := time.After(20*time.Second), time.NewTicker(c.Cfg.VolumeLease()/32)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-limit:
			t.Fatal("timed out waiting for: " + what)
		case <-ticker.C:
		}
	}
}

// A daemon that is cut off keeps serving requests that its last records allow, until the overrun
// after its leases expired has passed. It doesn't permanently refuse other requests, because a
// later configuration may allow them. A daemon without a configuration doesn't do so either.
func TestStaleRecordsNeverRefusePermanently(t *testing.T) {
	g, f := newCutOffGateway(t, 3*time.Second)
	ask := func(path string) string {
		f.decode = func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
			return &scriptedAnswer{status: 200, kind: "text/plain", pieces: []piece{{"", "a"}}}, forward.OK
		}
		e := &recordingClient{}
		g.Serve(context.Background(), &Request{ID: path, Method: "POST", Host: "h.example", Path: path, Target: path, Header: http.Header{}}, e)
		return strings.Join(e.log, " ")
	}
	expect := func(when, path, want string) {
		t.Helper()
		if got := ask(path); got != want {
			t.Errorf("%s, %s: %q, expected %q", when, path, got, want)
		}
	}
	_, sure := g.BodyBytes()
	if got := ask("/none/"); got != "refuse 503" || sure {
		t.Errorf("before any configuration is known: %q, sure of the limits: %v", got, sure)
	}
	g.daemon.Transport.DropPeers.Store(nil)
	eventually(t, g.daemon, "the first request served", func() bool { return ask("/unsafe/") == "head 200 a" })
	eventually(t, g.daemon, "connected, no such route", func() bool { return ask("/none/") == "fail 404" })
	g.daemon.Transport.DropPeers.Store(&map[string]bool{"*": true})
	eventually(t, g.daemon, "expired leases with records still readable", func() bool {
		_, leased := g.daemon.Read(0, fleetconfig.PlanKey)
		_, last := g.daemon.ReadAllowingStale(0, fleetconfig.PlanKey)
		return !leased && last
	})
	until := g.daemon.Now() + g.daemon.Cfg.MaxStaleness(0, fleetconfig.PlanKey, true)
	eventually(t, g.daemon, "cut off, served by the last records", func() bool { return ask("/unsafe/") == "head 200 a" })
	expect("cut off", "/none/", "refuse 503")
	if _, sure := g.BodyBytes(); sure {
		t.Error("cut off: the limits are reported as current")
	}
	eventually(t, g.daemon, "the end of the overrun", func() bool { return g.daemon.Now() > until })
	expect("after the overrun", "/unsafe/", "refuse 503")
	expect("after the overrun", "/none/", "refuse 503")
	g.daemon.Transport.DropPeers.Store(nil)
	eventually(t, g.daemon, "served after reconnecting", func() bool { return ask("/unsafe/") == "head 200 a" })
	eventually(t, g.daemon, "reconnected, no such route", func() bool { return ask("/none/") == "fail 404" })
}
