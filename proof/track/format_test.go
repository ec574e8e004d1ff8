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

// newer builds the daemon as one that reads the next format of plans, too.
func newer(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	mark := fmt.Sprintf("-X mulleinmast/control/fleetconfig.formatRead=%d", fleetconfig.NewestFormat()+1)
	if out, err := exec.Command("go", "build", "-ldflags", mark, "-o", bin+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// needs sets the format that the plan needs, and tells what the fleet says.
func (f *Fleet) needs(ctx context.Context, id string, format int) (int, string) {
	at := f.Daemons[len(f.Daemons)-1]
	code, b := f.Call("POST", at.Addr, "/v1/plan/changes", fleetconfig.Changes{ID: id, Base: f.leasedVersion(ctx, at), Changes: []fleetconfig.Change{{Op: "set-needs", Needs: format}}})
	return code, string(b)
}

// exchange has daemons run the other build, or this one again, all at once.
func (f *Fleet) exchange(t *testing.T, list []*Proc, old bool) {
	t.Helper()
	for _, p := range list {
		p.Kill()
	}
	for _, p := range list {
		p.old = old
		if err := f.Up(p); err != nil {
			t.Fatal(err)
		}
	}
}

// whole waits until all are ready under valid leases and all is served.
func (f *Fleet) whole(ctx context.Context, t *testing.T, what string) {
	t.Helper()
	if !Until(ctx, 20*time.Second, func() bool { return f.Ready() == f.alive() && f.leased() == f.alive() && f.Serving() }) {
		t.Fatalf("%s: %d of %d ready, %d leased, serving %v", what, f.Ready(), f.alive(), f.leased(), f.Serving())
	}
}

// Two builds beside one another, of which one reads a newer format of plans. A plan
// that needs it isn't taken while any daemon can't read it; once it is in force an
// older build that comes back serves nothing by it, says which format is needed, and
// holds nobody else up; when the plan needs it no more, the older build serves again.
func TestTwoFormatsOfPlans(t *testing.T) {
	ctx := context.Background()
	f, err := Start(t.TempDir(), build(t), Layouts["pat"], 31400)
	defer f.Stop()
	if err == nil {
		err = f.Begin(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.Old = newer(t)
	next := fleetconfig.NewestFormat() + 1
	last := f.Daemons[len(f.Daemons)-1]

	// The newer one first, on some: the plan is refused before anything is written.
	f.exchange(t, f.Daemons[:3], true)
	f.whole(ctx, t, "the newer build on the first three")
	before := f.leasedVersion(ctx, last)
	if code, why := f.needs(ctx, "too-early", next); code != 409 || !strings.Contains(why, fmt.Sprintf("format %d", next)) {
		t.Errorf("while some daemons read less: %d %s", code, why)
	}
	if now := f.leasedVersion(ctx, last); now != before {
		t.Errorf("version %d after the refusal, %d before", now, before)
	}

	f.exchange(t, f.Daemons[3:], true)
	f.whole(ctx, t, "the newer build everywhere")
	if code, why := f.needs(ctx, "in-time", next); code != 200 {
		t.Fatalf("where all read it: %d %s", code, why)
	}
	f.whole(ctx, t, "a plan that needs the newer build")

	// Rolled back on one that leads nothing: it serves nothing and says why.
	f.exchange(t, []*Proc{last}, false)
	told := func() bool {
		code, b := f.Call("GET", last.Addr, "/readyz", nil)
		return code == 503 && strings.Contains(string(b), fmt.Sprintf("format %d", next))
	}
	if !Until(ctx, 10*time.Second, told) {
		code, b := f.Call("GET", last.Addr, "/readyz", nil)
		t.Errorf("the older build says %d %s", code, b)
	}
	if code, _ := f.Call("GET", last.Addr, "/v1/plan", nil); code == 200 {
		t.Error("the older build shows a plan that it can't read")
	}
	if f.Ready() != len(f.Daemons)-1 || !f.Serving() {
		t.Errorf("%d of the others are ready, serving %v", f.Ready(), f.Serving())
	}

	// Forward again; then the plan lets it be, and all go back.
	f.exchange(t, []*Proc{last}, true)
	f.whole(ctx, t, "forward again")
	if code, why := f.needs(ctx, "no-more", 0); code != 200 {
		t.Fatalf("needs it no more: %d %s", code, why)
	}
	f.exchange(t, f.Daemons, false)
	f.whole(ctx, t, "the older build everywhere")
}
