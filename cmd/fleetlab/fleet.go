package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"time"

	"mulleinmast/proof/load"
	"mulleinmast/proof/track"
)

// Limits of the flags.
const (
	lowestPort  = 1024
	highestPort = 65000
	shortestRun = time.Second
)

// Settings of the load on a fleet, see load.Config.
const (
	loadOnce  = 0.3 // fraction of requests with an idempotency key
	loadSwing = -1  // fraction of long prompts; -1: as the mix sets it
)

// fleetFlags are the flags for running a scenario on a fleet of real processes.
type fleetFlags struct {
	layout   *string
	dir      *string
	port     *int     // first port
	rate     *float64 // requests per second
	length   *time.Duration
	scenario *string
	hold     *bool
	seed     *int64
	oldBuild *string
}

func newFleetFlags() fleetFlags {
	return fleetFlags{
		layout:   flag.String("layout", "rangsit", "rangsit or pat"),
		dir:      flag.String("dir", "", "`folder` for data, logs and journals (default: a new temporary folder)"),
		port:     flag.Int("port", 20000, "first port; the wire, web and server ports use the 300 from there"),
		rate:     flag.Float64("rate", 40, "requests per second"),
		length:   flag.Duration("for", 15*time.Second, "length of the load"),
		scenario: flag.String("scenario", "calm", "scenario to run under load; 'list' lists them"),
		hold:     flag.Bool("hold", false, "start the fleet, send the plan and servers, and keep it running until interrupted"),
		seed:     flag.Int64("seed", 1, "random seed of the load"),
		oldBuild: flag.String("old", "", "`folder` with the mulleinmast binary of another build, for the scenario 'versions'"),
	}
}

// valid reports whether the flags are within their limits.
func (f fleetFlags) valid() bool {
	return *f.port >= lowestPort && *f.port <= highestPort && !(*f.rate <= 0) && *f.length >= shortestRun
}

// run starts the fleet, runs the scenario and prints the report.
func (f fleetFlags) run() int {
	if *f.scenario == "list" {
		printLines(track.Names())
		return exitPassed
	}
	layout, ok := track.Layouts[*f.layout]
	if !ok {
		return usageError("-layout %q: expected rangsit or pat", *f.layout)
	}
	scenario, ok := track.Scenarios[*f.scenario]
	if !ok {
		return usageError("-scenario %q: see -scenario list", *f.scenario)
	}
	dir, err := orTempDir(*f.dir, "fleetlab-")
	if err != nil {
		return failed(err)
	}
	executable, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fleet, err := track.Start(dir, filepath.Dir(executable), layout, *f.port)
	defer fleet.Stop()
	fleet.OtherBuild = *f.oldBuild
	if err == nil {
		err = fleet.Begin(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err, "logs in", dir)
		return exitFailed
	}
	printFleet(fleet, layout.Name, dir)
	if *f.hold {
		<-ctx.Done()
		return exitPassed
	}
	report := fleet.Play(ctx, scenario, load.Config{
		Rate: *f.rate, For: *f.length, Seed: *f.seed, OnceKeyShare: loadOnce, RepeatOnceKeys: true, LongShare: loadSwing,
	})
	printReport(report)
	if len(report.Violations) > 0 || report.Failed {
		return exitFailed
	}
	return exitPassed
}

func printFleet(fleet *track.Fleet, layout, dir string) {
	fmt.Printf("%s: %d daemons and %d servers up, files in %s\n",
		layout, len(fleet.Daemons), len(fleet.FakeServers), dir)
	for _, d := range fleet.Daemons {
		fmt.Printf("  %s web %s wire %s %s disk %v\n", d.Name, d.Addr, d.Wire, d.Zone, d.Data != "")
	}
}

// printReport prints the results of the load, the notes, the counters and the broken
// rules.
func printReport(report *track.Report) {
	fmt.Print(report.Load.String())
	for _, note := range report.Notes {
		fmt.Println(" ", note)
	}
	names := make([]string, 0, len(report.Counts))
	for name := range report.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("  %s %d", name, report.Counts[name])
	}
	fmt.Println()
	for _, broken := range report.Violations {
		fmt.Println("BROKEN", broken)
	}
	fmt.Printf("%d events, %d rules broken\n", report.Events, len(report.Violations))
}

func printLines(lines []string) {
	for _, line := range lines {
		fmt.Println(line)
	}
}
