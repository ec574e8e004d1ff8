package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"mulleinmast/control/invariant"
	"mulleinmast/traffic/forward"
)

// The trace of a request that was not served can be found by its id, and the request appears
// in the metrics and in the next summary.
func TestFailedRequestIsExplained(t *testing.T) {
	g, err := sharedGateway()
	if err != nil {
		t.Fatal(err)
	}
	g.report.failureSummary()
	id := ""
	f := &fakeEngines{decode: func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
		return nil, forward.Lost
	}}
	if log := serve(t, f, "/unsafe/", &recordingClient{}, func(req *Request) { id = req.ID }); strings.Join(log, " ") != "fail 502" {
		t.Fatalf("client received %q", log)
	}
	traces := g.report.explain(id)
	if len(traces) != 1 {
		t.Fatalf("%d traces: %v", len(traces), traces)
	}
	s := traces[0].(RequestTrace)
	if s.Request != id || s.Service != "one" || s.Result != "unknown" || s.Reason != "by script" || len(s.Steps) != 1 || !strings.Contains(s.Steps[0], "lost after") {
		t.Errorf("unexpected trace: %+v", s)
	}
	if text := g.report.failureSummary(); text != "1 unknown, by script" || g.report.failureSummary() != "" {
		t.Errorf("unexpected summary: %q", text)
	}
	var figures bytes.Buffer
	g.daemon.WriteMetrics(&figures)
	for _, line := range []string{`mulleinmast_requests_total{end="unknown",why="by script"}`, "mulleinmast_requests_open 0", `mulleinmast_invariant_violations_total{check="unsafe_run_twice"} 0`, "process_open_fds ", "mulleinmast_disk_write_seconds_count "} {
		if !strings.Contains(figures.String(), line) {
			t.Errorf("no %s in the metrics:\n%s", line, figures.String())
		}
	}
}

// A request that ends before it reaches a dispatcher has a trace, too.
func TestRequestWithoutRouteIsExplained(t *testing.T) {
	serve(t, &fakeEngines{}, "/nowhere/", &recordingClient{}, func(req *Request) { req.ID = "no-route" })
	g, _ := sharedGateway()
	if traces := g.report.explain("no-route"); len(traces) != 1 || traces[0].(RequestTrace).Reason != "no route" {
		t.Errorf("%v", traces)
	}
	g.Unread("cut", 0, "the client broke off")
	if traces := g.report.explain("cut"); len(traces) != 1 || traces[0].(RequestTrace).Result != "break" {
		t.Errorf("%v", traces)
	}
}

// The number of traces and reasons kept is bounded.
func TestReportsAreBounded(t *testing.T) {
	g, _ := sharedGateway()
	r := newReport(g.daemon.Metrics)
	for i := range 3 * maxTraces {
		r.recordFailure(RequestTrace{Request: fmt.Sprint(i), Result: "refuse", Reason: fmt.Sprintf("reason %d: details", i)})
	}
	if n := len(r.explain("all")); n != maxTraces {
		t.Errorf("%d traces are kept", n)
	}
	if len(r.reasons) > maxReasons || r.reasonLabel("one more") != otherReason {
		t.Errorf("%d distinct reasons are counted", len(r.reasons))
	}
}

// The audit of a request counts the violation of each invariant and nothing else.
func TestAuditCountsViolations(t *testing.T) {
	once := forward.Request{ID: "once"}
	for what, x := range map[string]struct {
		check *invariant.Check
		do    func(a *audit) bool
	}{
		"a second send after one that may have run": {unsafeRunsOnce, func(a *audit) bool { a.afterSend(forward.Lost); a.beforeSend(false); return true }},
		"a refusal after it may have run": {refusalsNotRun, func(a *audit) bool {
			a.afterSend(forward.Lost)
			return a.checkEnd(forward.Decision{Action: forward.Refuse}, false)
		}},
		"an answer continued by another run": {streamsNotSpliced, func(a *audit) bool { a.beforeSend(true); return true }},
		"an end without an answer":           {servedIsAnswered, func(a *audit) bool { return !a.checkEnd(forward.Decision{Action: forward.Done}, false) }},
	} {
		quiet, before := x.check.Count(), x.check.Count()
		fine := audit{request: once}
		fine.beforeSend(false)
		fine.afterSend(forward.OK)
		if !fine.checkEnd(forward.Decision{Action: forward.Done}, true) || x.check.Count() != quiet {
			t.Errorf("%s: a correct request is counted", what)
		}
		if !x.do(&audit{request: once}) || x.check.Count() != before+1 {
			t.Errorf("%s: the violation is not counted", what)
		}
		x.check.Discount(1)
	}
}

// Replacing a plan by an older version is counted as a violation.
func TestOlderPlanIsCounted(t *testing.T) {
	g, err := newTestGateway()
	if err != nil {
		t.Fatal(err)
	}
	s, ok := g.currentPlan()
	if !ok {
		t.Fatal("the gateway has no plan")
	}
	newer := *s
	newer.plan.Version, newer.version.Seq, newer.generation = s.plan.Version+5, s.version.Seq+1, s.generation-1
	g.plan.Store(&newer)
	before := planNeverGoesBack.Count()
	if _, ok := g.currentPlan(); !ok || planNeverGoesBack.Count() == before {
		t.Errorf("%d violations counted", planNeverGoesBack.Count()-before)
	}
	planNeverGoesBack.Discount(planNeverGoesBack.Count() - before)
}
