package track

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mulleinmast/proof/load"
)

// buildPrograms builds the programs for the tests on real processes.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(os.TempDir(), "mulleinmast-test-bin")
	cmd := exec.Command("go", "build", "-o", bin+"/", "mulleinmast/cmd/mulleinmast", "mulleinmast/cmd/fakeserver")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func TestLayoutsServe(t *testing.T) {
	bin := buildPrograms(t)
	base := 23000
	for _, name := range []string{"rangsit", "pat"} {
		t.Run(name, func(t *testing.T) {
			f, err := Start(t.TempDir(), bin, Layouts[name], base)
			base += 400
			defer f.Stop()
			if err == nil {
				err = f.Begin(context.Background())
			}
			if err != nil {
				t.Fatal(err)
			}
			rep := f.Play(context.Background(), Scenarios["calm"], load.Config{Rate: 40, For: 4 * time.Second, Seed: 7, OnceKeyShare: 0.3, RepeatOnceKeys: true, LongShare: -1})
			for _, b := range rep.Violations {
				t.Error(b)
			}
			if rep.Load.Results["ok"] < rep.Load.All/2 || rep.Load.Results["duplicate"] == 0 {
				t.Errorf("too few requests served: %v", rep.Load.Results)
			}
		})
	}
}

// Each failure is injected into a fleet of real processes; the scenario waits for
// conditions, and the rules are checked on the histories.
func TestFailuresOnProcesses(t *testing.T) {
	bin := buildPrograms(t)
	base := 25000
	for _, x := range []struct{ layout, name string }{
		{"rangsit", "kill-leader"},
		{"pat", "kill-all"},
		{"pat", "lost-disk"},
		{"rangsit", "freeze-leader"},
		{"pat", "cut-core"},
		{"rangsit", "lost-zone"},
		{"pat", "evacuate"},
		{"rangsit", "leaving"},
		{"pat", "plans"},
		{"rangsit", "servers-roll"},
		{"pat", "roll"},
		{"rangsit", "suspend"},
		{"pat", "slow-clients"},
		{"pat", "disk-full"},
	} {
		base += 400
		port := base
		t.Run(x.layout+"/"+x.name, func(t *testing.T) {
			f, err := Start(t.TempDir(), bin, Layouts[x.layout], port)
			defer f.Stop()
			if err == nil {
				err = f.Begin(context.Background())
			}
			if err != nil {
				t.Fatal(err)
			}
			rep := f.Play(context.Background(), Scenarios[x.name], load.Config{Rate: 25, For: 8 * time.Second, Seed: 11, OnceKeyShare: 0.4, RepeatOnceKeys: true, LongShare: -1})
			for _, b := range rep.Violations {
				t.Error(b)
			}
			for _, s := range rep.Notes {
				t.Log(s)
			}
			if rep.Failed {
				t.Error("the scenario failed")
			}
			if rep.Load.Results["ok"] < rep.Load.All/3 {
				t.Errorf("too few requests served: %s", rep.Load)
			}
		})
	}
}
