package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"mulleinmast/proof/standin/scene"
)

const (
	lowestPace     = 0.3 // minimum factor for the time limits of the rules
	daemonsPerZone = 2   // in a fleet on the platform's stand-ins
)

// platformRun configures a run on the platform's stand-ins.
type platformRun struct {
	scenario string  // name of a scene, "all" or "list"
	dir      string  // folder for data and logs; "": a new temporary folder
	rate     float64 // requests per second
	pace     float64 // factor for the time limits of the rules
	seed     int64
}

// playOnPlatform runs scenes on daemons that are booted as on the users' platform,
// with stand-ins for the platform's services.
func playOnPlatform(r platformRun) int {
	names := []string{r.scenario}
	switch _, ok := scene.Scenes[r.scenario]; {
	case r.scenario == "list":
		printLines(scene.Names())
		return exitPassed
	case r.scenario == "all":
		names = scene.Names()
	case !ok:
		return usageError("-platform -scenario %q: see -platform -scenario list", r.scenario)
	}
	dir, err := orTempDir(r.dir, "fleetlab-")
	if err != nil {
		return failed(err)
	}
	executable, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failures := 0
	for _, name := range names {
		config := scene.Config{
			Dir:     filepath.Join(dir, name),
			Program: filepath.Join(filepath.Dir(executable), "mulleinmast"),
			Pace:    r.pace,
			PerZone: daemonsPerZone,
			Short:   r.pace < 1,
			Rate:    r.rate,
			Seed:    r.seed,
		}
		fmt.Printf("%s, files in %s\n", name, config.Dir)
		report, err := scene.Play(ctx, config, scene.Scenes[name])
		if err != nil {
			return failed(err)
		}
		fmt.Print(report)
		if report.Failed || len(report.Broken) > 0 {
			failures++
		}
	}
	fmt.Printf("%d of %d scenes broke a rule or failed\n", failures, len(names))
	return exitCode(failures)
}
