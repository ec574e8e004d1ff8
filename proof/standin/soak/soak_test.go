package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinmast/proof/standin/scene"
)

// program makes the daemon once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak-test-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput()
	if err != nil {
		return "", scene.Error.New("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "mulleinmast"), nil
})

// deployment is one of the tests'.
func deployment(t *testing.T, seed int64) Config {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return Config{Config: scene.Config{Dir: t.TempDir(), Program: path, Pace: 1, PerZone: 2, Rate: 40, Seed: seed}, For: 10 * time.Second, Between: 700 * time.Millisecond}
}

// The short form of the soak: some seconds of overlapping troubles break no rule
// and violate no invariant, no process ends by itself, and all is served again.
func TestOverlappingTroubles(t *testing.T) {
	for _, seed := range []int64{5, 8, 24} { // those that found something first
		t.Run("", func(t *testing.T) {
			t.Parallel()
			report, err := Play(context.Background(), deployment(t, seed))
			if err != nil {
				t.Fatal(err)
			}
			if report.Failed || len(report.Broken) > 0 || report.Served == 0 {
				t.Errorf("seed %d:\n%s", seed, report)
			}
			if len(report.Notes) < 8 {
				t.Errorf("seed %d: hardly anything happened: %v", seed, report.Notes)
			}
		})
	}
}

// The same with tenants, whose keys are taken away, whose limits change and who ask for
// too much meanwhile.
func TestOverlappingTroublesOfTenants(t *testing.T) {
	for _, seed := range []int64{3, 12} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := deployment(t, seed)
			c.Customers = scene.Customers()
			report, err := Play(context.Background(), c)
			if err != nil {
				t.Fatal(err)
			}
			if report.Failed || len(report.Broken) > 0 || report.Served == 0 {
				t.Errorf("seed %d:\n%s", seed, report)
			}
		})
	}
}

// A process that ends by itself is seen, told and started again.
func TestAProcessThatEndsIsSeen(t *testing.T) {
	report, err := scene.Play(context.Background(), deployment(t, 1).Config, func(ctx context.Context, w *scene.World) {
		r := newRun(w)
		watching, stop := context.WithCancel(ctx)
		var wait sync.WaitGroup
		wait.Go(func() { r.watch(watching) })
		m := w.Fleet.Machines()[4]
		m.Signal(syscall.SIGKILL)
		w.Until(ctx, 10*time.Second, "it is seen to end and started again", func() bool {
			_, ok := w.Fleet.State(m)
			return ok && r.ended.Load() > 0
		})
		stop()
		wait.Wait()
	})
	if err != nil {
		t.Fatal(err)
	}
	if !report.Failed || !strings.Contains(report.String(), "front-5 has ended by itself") {
		t.Errorf("not told:\n%s", report)
	}
}

// Each trouble has a name of its own and may be drawn.
func TestTroublesHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for _, x := range troubles() {
		if seen[x.name] || x.name == "" || x.weight <= 0 || x.befall == nil {
			t.Errorf("%q: twice, without a weight, or nothing befalls", x.name)
		}
		seen[x.name] = true
	}
}
