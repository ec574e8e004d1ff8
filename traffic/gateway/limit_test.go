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

// limited is a gateway alone in its fleet, with two tenants of which one has a small limit.
func limited(t *testing.T) *Gateway {
	t.Helper()
	g, err := newGate()
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
	if code, rep := g.daemon.Call(context.Background(), 0, "changes", body, mostWait); code != 200 {
		t.Fatalf("%d %s", code, rep)
	}
	soon(t, g.daemon, "a plan with keys", func() bool {
		p, ok := g.readPlan()
		return ok && p.tenants.Required()
	})
	return g
}

// tokens is how many attempts to take a token had an outcome.
func tokens(g *Gateway, outcome string) string {
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

// After a loss of power a view knows the leaders of some partitions only, and none of
// others; those that it knows are told apart by their zone.
func TestAViewThatKnowsSomeLeaders(t *testing.T) {
	self := message.Member{Ident: "me", Zone: "north", HasDisk: true}
	view := *membership.New(daemon.Default().MembershipConfig(), self, nil).View()
	view.Leaderships = map[int]message.Leadership{
		2: {Partition: 2, Leader: message.Replica{Ident: "me"}}, 8: {Partition: 8, Leader: message.Replica{Ident: "far"}},
	}
	want := make([]limiter.Leader, 9)
	want[2], want[8] = limiter.Leader{Known: true, Near: true}, limiter.Leader{Known: true}
	if got := leadersOf(&view, 8); !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
}

// askAs sends one request with a key and gives what its client gets.
func askAs(g *Gateway, f *fake, path, key string) []string {
	g.engines = f
	e := &ears{}
	requests++
	q := &Request{ID: fmt.Sprint("limited", requests), Method: "POST", Host: "h.example", Path: path, Target: path, Key: key}
	g.Serve(context.Background(), q, e)
	return e.log
}

// A tenant gets what its limit gives and 429 beyond it; one without a limit needs no token;
// without a key that is known nothing is served.
func TestATenantIsHeldToItsLimit(t *testing.T) {
	g := limited(t)
	served := func() *fake { return &fake{write: outcomes(events(1, 1, nil))} }
	whole := []string{"head 200", "1;"}
	soon(t, g.daemon, "a token", func() bool { return slices.Equal(askAs(g, served(), "/safe/", "k-small"), whole) })
	if got := askAs(g, served(), "/safe/", "k-small"); !slices.Equal(got, []string{"refuse 429"}) {
		t.Errorf("beyond the limit: %q", got)
	}
	for key, want := range map[string][]string{
		"k-free": whole, "k-large": whole, "k-other": {"fail 401"}, "": {"fail 401"},
	} {
		f := served()
		if got := askAs(g, f, "/safe/", key); !slices.Equal(got, want) || want[0] != "head 200" && len(f.calls) > 0 {
			t.Errorf("%q: %q, servers get %q", key, got, f.calls)
		}
	}
	if beyond := tokens(g, tokenBeyond); beyond == "0" {
		t.Error("no refusal is counted")
	}
}

// A run that may have begun takes its token: the next one of the same request needs
// another, and has none beyond the limit.
func TestEachRunTakesAToken(t *testing.T) {
	g := limited(t)
	lost := func() *fake { return &fake{write: outcomes(forward.Lost, events(1, 1, nil))} }
	if got := askAs(g, lost(), "/safe/", "k-large"); !slices.Equal(got, []string{"head 200", "1;"}) || tokens(g, tokenGranted) != "2" {
		t.Errorf("%q with %s tokens, expected 2", got, tokens(g, tokenGranted))
	}
	refused := func() *fake { return &fake{write: outcomes(forward.Overloaded, events(1, 1, nil))} }
	if got := askAs(g, refused(), "/safe/", "k-large"); !slices.Equal(got, []string{"head 200", "1;"}) || tokens(g, tokenGranted) != "3" {
		t.Errorf("%q with %s tokens: a server that turns a request away doesn't run it", got, tokens(g, tokenGranted))
	}
	soon(t, g.daemon, "one token for two runs", func() bool {
		f := lost()
		got := askAs(g, f, "/safe/", "k-small")
		return slices.Equal(got, []string{"fail 502"}) && len(f.calls) == 1
	})
}

// A request that waited for longer than its token is valid takes another one before it is
// run, and isn't run without.
func TestATokenThatLapsedIsTakenAnew(t *testing.T) {
	g := limited(t)
	soon(t, g.daemon, "a token that lapses while the prompt is read", func() bool {
		before := tokens(g, tokenGranted)
		f := &fake{
			read: func(int, forward.Decision) forward.Outcome {
				<-time.After(300 * time.Millisecond) // a token of the tight tenant is valid for 250 ms
				return forward.OK
			},
			write: outcomes(events(1, 1, nil)),
		}
		g.engines = f
		e := &ears{}
		requests++
		g.Serve(context.Background(), &Request{
			ID: fmt.Sprint("limited", requests), Method: "POST", Host: "h.example", Path: "/stream/", Target: "/stream/",
			Key: "k-tight", InputTokens: 9000, Parts: []forward.Part{{Key: 7, Tokens: 9000}},
		}, e)
		if tokens(g, tokenGranted) == before || !slices.Equal(e.log, []string{"refuse 503"}) {
			return false
		}
		soon(t, g.daemon, "its handle is released", func() bool { // beside the answer
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.freed) == 1
		})
		return true
	})
}
