package gateway

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/membership"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/limiter"
	"mulleinmast/wire/message"
)

// newLimitedGateway returns the gateway of the only daemon of a fleet, with three tenants of
// different limits and one without a limit.
func newLimitedGateway(t *testing.T) *Gateway {
	t.Helper()
	g, err := newTestGateway()
	if err != nil {
		t.Fatal(err)
	}
	var changes []fleetconfig.Change
	for _, tenant := range []fleetconfig.Tenant{
		{Name: "small", Keys: []string{"k-small"}, Rate: 1, Burst: 2},
		{Name: "tight", Keys: []string{"k-tight"}, Rate: 1},
		{Name: "large", Keys: []string{"k-large"}, Rate: 1000, Burst: 1000},
		{Name: "free", Keys: []string{"k-free"}},
	} {
		tenant.ByKey, tenant.TimeoutMillis, tenant.QueueFraction = true, 1000, 1
		changes = append(changes, fleetconfig.Change{Op: fleetconfig.OpSetTenant, Tenant: &tenant})
	}
	body, err := fleetconfig.EncodeCall(fleetconfig.Changes{ID: "tenants", Base: 1, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	if code, rep := g.daemon.Call(context.Background(), 0, "changes", body, testTimeout); code != 200 {
		t.Fatalf("set tenants: %d %s", code, rep)
	}
	eventually(t, g.daemon, "a plan with keys", func() bool {
		p, ok := g.currentPlan()
		return ok && p.tenants.Required()
	})
	return g
}

// tokenCount returns how many attempts to take a token had an outcome, from the metrics.
func tokenCount(g *Gateway, outcome string) string {
	var out bytes.Buffer
	g.daemon.Metrics.WritePrometheus(&out)
	for line := range strings.Lines(out.String()) {
		if name, count, _ := strings.Cut(strings.TrimSpace(line), " "); name == fmt.Sprintf(
			"mulleinmast_limit_tokens_total{outcome=%q}", outcome) {
			return count
		}
	}
	return "0"
}

// After a power loss, a view contains the leaders of only some partitions. The other leaders must
// be marked as unknown, and known leaders must be marked as near if they are in the same zone.
func TestLeadersOfPartialView(t *testing.T) {
	self := message.Member{Ident: "me", Zone: "north", HasDisk: true}
	view := *membership.New(daemon.Default().MembershipConfig(), self, nil).View()
	view.Leaderships = map[int]message.Leadership{
		2: {Partition: 2, Leader: message.Replica{Ident: "me"}}, 8: {Partition: 8, Leader: message.Replica{Ident: "far"}},
	}
	want := make([]limiter.Leader, 9)
	want[2], want[8] = limiter.Leader{Known: true, Near: true}, limiter.Leader{Known: true}
	if got := limiterLeaders(&view, 8); !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
}

// serveWithKey runs one request with a key and returns what its client received.
func serveWithKey(g *Gateway, f *fakeEngines, path, key string) []string {
	g.engines = f
	e := &recordingClient{}
	requests++
	req := &Request{ID: fmt.Sprint("limited", requests), Method: "POST", Host: "h.example", Path: path, Target: path, Key: key}
	g.Serve(context.Background(), req, e)
	return e.log
}

// A tenant is served within its limit and gets 429 beyond it. A tenant without a limit needs
// no token, and a request without a known key is not served.
func TestTenantLimitIsEnforced(t *testing.T) {
	g := newLimitedGateway(t)
	served := func() *fakeEngines { return &fakeEngines{decode: scriptedOutcomes(events(1, 1, nil))} }
	fullAnswer := []string{"head 200", "1;"}
	eventually(t, g.daemon, "a token", func() bool { return slices.Equal(serveWithKey(g, served(), "/safe/", "k-small"), fullAnswer) })
	if got := serveWithKey(g, served(), "/safe/", "k-small"); !slices.Equal(got, []string{"refuse 429"}) {
		t.Errorf("over the limit: %q", got)
	}
	for key, want := range map[string][]string{
		"k-free": fullAnswer, "k-large": fullAnswer, "k-other": {"fail 401"}, "": {"fail 401"},
	} {
		f := served()
		if got := serveWithKey(g, f, "/safe/", key); !slices.Equal(got, want) || want[0] != "head 200" && len(f.calls) > 0 {
			t.Errorf("key %q: client received %q, calls %q", key, got, f.calls)
		}
	}
	if beyond := tokenCount(g, tokenLimitExceeded); beyond == "0" {
		t.Error("no refusal is counted in the metrics")
	}
}

// A run that may have begun consumes its token. Another run of the same request needs another
// token, and is refused if the limit is exceeded.
func TestEachRunConsumesAToken(t *testing.T) {
	g := newLimitedGateway(t)
	lost := func() *fakeEngines { return &fakeEngines{decode: scriptedOutcomes(forward.Lost, events(1, 1, nil))} }
	if got := serveWithKey(g, lost(), "/safe/", "k-large"); !slices.Equal(got, []string{"head 200", "1;"}) || tokenCount(g, tokenGranted) != "2" {
		t.Errorf("%q with %s tokens, expected 2", got, tokenCount(g, tokenGranted))
	}
	refused := func() *fakeEngines {
		return &fakeEngines{decode: scriptedOutcomes(forward.Overloaded, events(1, 1, nil))}
	}
	if got := serveWithKey(g, refused(), "/safe/", "k-large"); !slices.Equal(got, []string{"head 200", "1;"}) || tokenCount(g, tokenGranted) != "3" {
		t.Errorf("%q with %s tokens, expected 3: a server that rejects a request doesn't run it", got, tokenCount(g, tokenGranted))
	}
	eventually(t, g.daemon, "a request with one token for two runs", func() bool {
		f := lost()
		got := serveWithKey(g, f, "/safe/", "k-small")
		return slices.Equal(got, []string{"fail 502"}) && len(f.calls) == 1
	})
}

// A request that waited until its token expired takes a new token before it runs, and doesn't
// run without one.
func TestExpiredTokenIsReplaced(t *testing.T) {
	g := newLimitedGateway(t)
	eventually(t, g.daemon, "a token that expires during prefill", func() bool {
		before := tokenCount(g, tokenGranted)
		f := &fakeEngines{
			prefill: func(int, forward.Decision) forward.Outcome {
				<-time.After(300 * time.Millisecond) // a token of the tight tenant is valid for 250 ms
				return forward.OK
			},
			decode: scriptedOutcomes(events(1, 1, nil)),
		}
		g.engines = f
		e := &recordingClient{}
		requests++
		g.Serve(context.Background(), &Request{
			ID: fmt.Sprint("limited", requests), Method: "POST", Host: "h.example", Path: "/stream/", Target: "/stream/",
			Key: "k-tight", InputTokens: 9000, Parts: []forward.Part{{Key: 7, Tokens: 9000}},
		}, e)
		if tokenCount(g, tokenGranted) == before || !slices.Equal(e.log, []string{"refuse 503"}) {
			return false
		}
		eventually(t, g.daemon, "its handle is released", func() bool { // handles are released asynchronously
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.released) == 1
		})
		return true
	})
}
