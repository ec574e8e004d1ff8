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

// Who has only the id of a request that was not served is told what became of
// it; counts and the next summary have it too.
func TestARequestThatFailedIsExplained(t *testing.T) {
	g, err := gate()
	if err != nil {
		t.Fatal(err)
	}
	g.report.summary()
	id := ""
	f := &fake{write: func(int, context.Context, forward.Decision, string) (Answer, forward.Outcome) {
		return nil, forward.Lost
	}}
	if log := serve(t, f, "/unsafe/", &ears{}, func(q *Request) { id = q.ID }); strings.Join(log, " ") != "fail 502" {
		t.Fatalf("the client gets %q", log)
	}
	stories := g.report.explain(id)
	if len(stories) != 1 {
		t.Fatalf("%d stories: %v", len(stories), stories)
	}
	s := stories[0].(RequestTrace)
	if s.Request != id || s.Service != "one" || s.Result != "unknown" || s.Reason != "by script" || len(s.Steps) != 1 || !strings.Contains(s.Steps[0], "lost after") {
		t.Errorf("the story: %+v", s)
	}
	if text := g.report.summary(); text != "1 unknown, by script" || g.report.summary() != "" {
		t.Errorf("the summary: %q", text)
	}
	var figures bytes.Buffer
	g.daemon.WriteMetrics(&figures)
	for _, line := range []string{`mulleinmast_requests_total{end="unknown",why="by script"}`, "mulleinmast_requests_open 0", `mulleinmast_invariant_violations_total{check="unsafe_run_twice"} 0`, "process_open_fds ", "mulleinmast_disk_write_seconds_count "} {
		if !strings.Contains(figures.String(), line) {
			t.Errorf("no %s among the figures:\n%s", line, figures.String())
		}
	}
}

// A request that no dispatcher takes is explained too.
func TestARequestWithoutARouteIsExplained(t *testing.T) {
	serve(t, &fake{}, "/nowhere/", &ears{}, func(q *Request) { q.ID = "no-route" })
	g, _ := gate()
	if stories := g.report.explain("no-route"); len(stories) != 1 || stories[0].(RequestTrace).Reason != "no route" {
		t.Errorf("%v", stories)
	}
	g.Unread("cut", 0, "the client broke off")
	if stories := g.report.explain("cut"); len(stories) != 1 || stories[0].(RequestTrace).Result != "break" {
		t.Errorf("%v", stories)
	}
}

// However many reasons and requests there are, a bounded number is kept.
func TestReportsAreBounded(t *testing.T) {
	g, _ := gate()
	r := newReport(g.daemon.Metrics)
	for i := range 3 * maxTraces {
		r.failed(RequestTrace{Request: fmt.Sprint(i), Result: "refuse", Reason: fmt.Sprintf("reason %d: details", i)})
	}
	if n := len(r.explain("all")); n != maxTraces {
		t.Errorf("%d stories are kept", n)
	}
	if len(r.reasons) > maxReasons || r.reason("one more") != otherReason {
		t.Errorf("%d reasons are told apart", len(r.reasons))
	}
}

// The audit of a request counts each condition that is broken on purpose.
func TestTheAuditCountsWhatIsBroken(t *testing.T) {
	once := forward.Request{ID: "once"}
	for what, x := range map[string]struct {
		check *invariant.Check
		do    func(a *audit) bool
	}{
		"a second send after one that may have run": {runsOnce, func(a *audit) bool { a.afterSend(forward.Lost); a.beforeSend(false); return true }},
		"a refusal after it may have run": {refusedUnrun, func(a *audit) bool {
			a.afterSend(forward.Lost)
			return a.checkEnd(forward.Decision{Action: forward.Refuse}, false)
		}},
		"an answer that goes on with another run": {oneRun, func(a *audit) bool { a.beforeSend(true); return true }},
		"an end without an answer":                {alwaysAnswers, func(a *audit) bool { return !a.checkEnd(forward.Decision{Action: forward.Done}, false) }},
	} {
		quiet, before := x.check.Count(), x.check.Count()
		fine := audit{request: once}
		fine.beforeSend(false)
		fine.afterSend(forward.OK)
		if !fine.checkEnd(forward.Decision{Action: forward.Done}, true) || x.check.Count() != quiet {
			t.Errorf("%s: a request in order is counted", what)
		}
		if !x.do(&audit{request: once}) || x.check.Count() != before+1 {
			t.Errorf("%s: not counted", what)
		}
		x.check.Discount(1)
	}
}

// A plan that is older than the one before is counted.
func TestAnOlderPlanIsCounted(t *testing.T) {
	g, err := newGate()
	if err != nil {
		t.Fatal(err)
	}
	s, ok := g.readPlan()
	if !ok {
		t.Fatal("no plan")
	}
	newer := *s
	newer.plan.Version, newer.version.Seq, newer.generation = s.plan.Version+5, s.version.Seq+1, s.generation-1
	g.plan.Store(&newer)
	before := planGoesOn.Count()
	if _, ok := g.readPlan(); !ok || planGoesOn.Count() == before {
		t.Errorf("%d counted", planGoesOn.Count()-before)
	}
	planGoesOn.Discount(planGoesOn.Count() - before)
}
