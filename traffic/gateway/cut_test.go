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

// joined is a daemon without a disk in the fleet of gate's, cut off from it.
func joined(t *testing.T, overrun time.Duration) (*Gateway, *fake) {
	t.Helper()
	g, err := gate()
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
	f := &fake{}
	c.Transport.DropPeers.Store(&map[string]bool{"*": true})
	out := New(c, f)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = out.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	return out, f
}

// soon waits for something, with an end.
func soon(t *testing.T, c *daemon.Daemon, what string, so func() bool) {
	t.Helper()
	limit, beat := time.After(20*time.Second), time.NewTicker(c.Cfg.VolumeLease()/32)
	defer beat.Stop()
	for !so() {
		select {
		case <-limit:
			t.Fatal("not in time: " + what)
		case <-beat.C:
		}
	}
}

// A daemon that is cut off goes on with the requests that its last records
// allow, for the overrun. What these don't allow it doesn't refuse for good,
// since a later configuration may; nor does one that knows no configuration.
func TestLastRecordsRefuseNothingForGood(t *testing.T) {
	g, f := joined(t, 3*time.Second)
	ask := func(path string) string {
		f.write = func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
			return &script{status: 200, kind: "text/plain", pieces: []piece{{"", "a"}}}, forward.OK
		}
		e := &ears{}
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
		t.Errorf("before it knew any configuration: %q, limits in force %v", got, sure)
	}
	g.daemon.Transport.DropPeers.Store(nil)
	soon(t, g.daemon, "the first request served", func() bool { return ask("/unsafe/") == "head 200 a" })
	soon(t, g.daemon, "in touch, no such route", func() bool { return ask("/none/") == "fail 404" })
	g.daemon.Transport.DropPeers.Store(&map[string]bool{"*": true})
	soon(t, g.daemon, "last records", func() bool {
		_, leased := g.daemon.Read(0, fleetconfig.PlanKey)
		_, last := g.daemon.ReadAllowingStale(0, fleetconfig.PlanKey)
		return !leased && last
	})
	until := g.daemon.Now() + g.daemon.Cfg.MaxStaleness(0, fleetconfig.PlanKey, true)
	soon(t, g.daemon, "cut off, served by last records", func() bool { return ask("/unsafe/") == "head 200 a" })
	expect("cut off", "/none/", "refuse 503")
	if _, sure := g.BodyBytes(); sure {
		t.Error("cut off: its limits count as those in force")
	}
	soon(t, g.daemon, "the end of the overrun", func() bool { return g.daemon.Now() > until })
	expect("cut off for long", "/unsafe/", "refuse 503")
	expect("cut off for long", "/none/", "refuse 503")
	g.daemon.Transport.DropPeers.Store(nil)
	soon(t, g.daemon, "back in touch", func() bool { return ask("/unsafe/") == "head 200 a" })
	soon(t, g.daemon, "back in touch, no such route", func() bool { return ask("/none/") == "fail 404" })
}
