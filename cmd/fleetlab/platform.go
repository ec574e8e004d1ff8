package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"mulleinmast/proof/standin/scene"
)

// onPlatform plays scenes on daemons that are booted as the users' platform
// boots them, between stand-ins of all that it is.
func onPlatform(name, dir string, rate, pace float64, seed int64) int {
	names := []string{name}
	switch _, ok := scene.Scenes[name]; {
	case name == "list":
		for _, n := range scene.Names() {
			fmt.Println(n)
		}
		return 0
	case name == "all":
		names = scene.Names()
	case !ok:
		_, _ = fmt.Fprintf(os.Stderr, "fleetlab: -platform -scenario %q: see -platform -scenario list\n", name)
		return 2
	}
	if dir == "" {
		d, err := os.MkdirTemp("", "fleetlab-")
		if err != nil {
			return failed(err)
		}
		dir = d
	}
	exe, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	bad := 0
	for _, n := range names {
		at := filepath.Join(dir, n)
		fmt.Printf("%s, files in %s\n", n, at)
		rep, err := scene.Play(ctx, scene.Config{Dir: at, Program: filepath.Join(filepath.Dir(exe), "mulleinmast"), Pace: pace, PerZone: 2, Short: pace < 1, Rate: rate, Seed: seed}, scene.Scenes[n])
		if err != nil {
			return failed(err)
		}
		fmt.Print(rep)
		if rep.Failed || len(rep.Broken) > 0 {
			bad++
		}
	}
	fmt.Printf("%d of %d scenes broke a rule or failed\n", bad, len(names))
	if bad > 0 {
		return 1
	}
	return 0
}

func failed(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
	return 1
}
