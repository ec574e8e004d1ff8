package track

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
)

// buildNewerFormat builds a daemon that also reads the next plan format.
func buildNewerFormat(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	mark := fmt.Sprintf("-X mulleinmast/control/fleetconfig.formatRead=%d", fleetconfig.NewestFormat()+1)
	if out, err := exec.Command("go", "build", "-ldflags", mark, "-o", bin+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// requireFormat sets the format that the plan requires and returns the answer.
func (f *Fleet) requireFormat(ctx context.Context, id string, format int) (int, string) {
	at := f.Daemons[len(f.Daemons)-1]
	code, b := f.Call("POST", at.Addr, "/v1/plan/changes", fleetconfig.Changes{ID: id, Base: f.leasedVersion(ctx, at), Changes: []fleetconfig.Change{{Op: "set-needs", Needs: format}}})
	return code, string(b)
}

// switchBuild restarts daemons on the other build, or on this one, all at once.
func (f *Fleet) switchBuild(t *testing.T, list []*Proc, old bool) {
	t.Helper()
	for _, p := range list {
		p.Kill()
	}
	for _, p := range list {
		p.otherBuild = old
		if err := f.Up(p); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitServing waits until all daemons are ready under valid leases and all services are served.
func (f *Fleet) awaitServing(ctx context.Context, t *testing.T, what string) {
	t.Helper()
	if !Until(ctx, 20*time.Second, func() bool {
		return f.Ready() == f.runningCount() && f.leasedCount() == f.runningCount() && f.Serving()
	}) {
		t.Fatalf("%s: %d of %d daemons ready, %d with valid leases, serving: %v", what, f.Ready(), f.runningCount(), f.leasedCount(), f.Serving())
	}
}

// Two builds run side by side, and one reads a newer plan format. A plan that requires
// the format is refused while any daemon can't read it. Once such a plan is in effect, an
// older build serves nothing, reports the required format, and does not delay the other
// daemons; when the plan no longer requires the format, the older build serves again.
func TestMixedPlanFormats(t *testing.T) {
	ctx := context.Background()
	f, err := Start(t.TempDir(), buildPrograms(t), Layouts["pat"], 31400)
	defer f.Stop()
	if err == nil {
		err = f.Begin(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.OtherBuild = buildNewerFormat(t)
	next := fleetconfig.NewestFormat() + 1
	last := f.Daemons[len(f.Daemons)-1]

	// With the newer build on some daemons the plan is refused before anything is written.
	f.switchBuild(t, f.Daemons[:3], true)
	f.awaitServing(ctx, t, "newer build on the first three daemons")
	before := f.leasedVersion(ctx, last)
	if code, answer := f.requireFormat(ctx, "too-early", next); code != 409 || !strings.Contains(answer, fmt.Sprintf("format %d", next)) {
		t.Errorf("format required while some daemons can't read it: status %d, %s", code, answer)
	}
	if now := f.leasedVersion(ctx, last); now != before {
		t.Errorf("plan version %d after the refusal, %d before", now, before)
	}

	f.switchBuild(t, f.Daemons[3:], true)
	f.awaitServing(ctx, t, "newer build on all daemons")
	if code, answer := f.requireFormat(ctx, "in-time", next); code != 200 {
		t.Fatalf("format required when all daemons read it: status %d, %s", code, answer)
	}
	f.awaitServing(ctx, t, "plan that requires the newer build")

	// A daemon that leads no partition is rolled back: it serves nothing and reports why.
	f.switchBuild(t, []*Proc{last}, false)
	reportsFormat := func() bool {
		code, b := f.Call("GET", last.Addr, "/readyz", nil)
		return code == 503 && strings.Contains(string(b), fmt.Sprintf("format %d", next))
	}
	if !Until(ctx, 10*time.Second, reportsFormat) {
		code, b := f.Call("GET", last.Addr, "/readyz", nil)
		t.Errorf("the older build answers %d %s", code, b)
	}
	if code, _ := f.Call("GET", last.Addr, "/v1/plan", nil); code == 200 {
		t.Error("the older build returns a plan that it can't read")
	}
	if f.Ready() != len(f.Daemons)-1 || !f.Serving() {
		t.Errorf("%d of the other daemons are ready, serving: %v", f.Ready(), f.Serving())
	}

	// Upgraded again; then the plan drops the requirement and all daemons are rolled back.
	f.switchBuild(t, []*Proc{last}, true)
	f.awaitServing(ctx, t, "upgraded again")
	if code, answer := f.requireFormat(ctx, "no-more", 0); code != 200 {
		t.Fatalf("requirement dropped: status %d, %s", code, answer)
	}
	f.switchBuild(t, f.Daemons, false)
	f.awaitServing(ctx, t, "older build on all daemons")
}
