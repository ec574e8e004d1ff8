package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/standin/scene"
	"mulleinmast/proof/standin/soak"
)

// soakOptions are the options of the subcommand soak.
type soakOptions struct {
	firstSeed int64
	seedCount int64
	parallel  int  // concurrent runs
	all       bool // also print the reports and keep the folders of runs that passed
	config    soak.Config
}

// errSoakUsage describes the limits of the flags of soak.
var errSoakUsage = errors.New("expected -seeds and -beside of at least 1, -for of at least 1s, " +
	"-between and -rate above 0, -pace of at least 0.3, and no arguments")

// parseSoak reads and checks the flags of soak. Only errSoakUsage is left to print; the
// flag package has printed other errors.
func parseSoak(args []string) (o soakOptions, err error) {
	f := flag.NewFlagSet("fleetlab soak", flag.ContinueOnError)
	f.BoolVar(&o.all, "all", false, "also print the reports of runs that passed, and keep their folders")
	f.Int64Var(&o.firstSeed, "from", 1, "first seed")
	f.Int64Var(&o.seedCount, "seeds", 10, "number of seeds")
	f.IntVar(&o.parallel, "beside", 1, "number of concurrent runs")
	f.StringVar(&o.config.Dir, "dir", "", "`folder` for data and logs (default: a new temporary folder)")
	f.DurationVar(&o.config.For, "for", 30*time.Second, "how long faults are injected")
	f.DurationVar(&o.config.Between, "between", 900*time.Millisecond, "average time between two faults")
	f.DurationVar(&o.config.FormingFor, "forming", 0, "how long faults are injected before the fleet has formed; 0: none")
	only := f.String("only", "", "inject only faults whose names begin with one of these `prefixes`, separated by commas")
	f.StringVar(&o.config.Old, "old", "", "`path` of another build's mulleinmast, used for every other start of a machine")
	f.Float64Var(&o.config.Rate, "rate", 40, "requests per second")
	customers := f.Bool("customers", false, "clients use API keys of tenants that have limits")
	f.Float64Var(&o.config.Pace, "pace", 1, "factor for the time limits of the rules")
	if err := f.Parse(args); err != nil {
		return o, err
	}
	if !o.valid() || f.NArg() > 0 {
		return o, errSoakUsage
	}
	if *customers {
		o.config.Customers = scene.Customers()
	}
	if *only != "" {
		o.config.Only = strings.Split(*only, ",")
	}
	return o, nil
}

// valid reports whether the flags are within their limits.
func (o soakOptions) valid() bool {
	c := o.config
	return o.seedCount >= 1 && o.parallel >= 1 && c.For >= shortestRun && c.Between > 0 &&
		!(c.Rate <= 0) && !(c.Pace < lowestPace)
}

// runSoak implements the subcommand soak, which runs real daemons under overlapping
// faults for many seeds. The folder of a run that fails or breaks a rule is kept with
// all its logs.
func runSoak(args []string) int {
	o, err := parseSoak(args)
	if err != nil {
		if errors.Is(err, errSoakUsage) {
			_, _ = fmt.Fprintln(os.Stderr, "fleetlab soak:", err)
		}
		return exitUsage
	}
	executable, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	o.config.Program = filepath.Join(filepath.Dir(executable), "mulleinmast")
	o.config.PerZone = daemonsPerZone
	if o.config.Dir, err = orTempDir(o.config.Dir, "soak-"); err != nil {
		return failed(err)
	}
	for seed := o.firstSeed; seed < o.firstSeed+o.seedCount; seed++ {
		if _, err := os.Stat(o.folder(seed)); err == nil {
			_, _ = fmt.Fprintf(os.Stderr, "fleetlab soak: %s already exists from another run; choose another -dir\n",
				o.folder(seed))
			return exitUsage
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failures := o.play(ctx)
	fmt.Printf("%d of %d seeds broke a rule or failed; files in %s\n", failures, o.seedCount, o.config.Dir)
	return exitCode(failures)
}

// folder returns the folder for the data and logs of a seed.
func (o soakOptions) folder(seed int64) string {
	return filepath.Join(o.config.Dir, fmt.Sprint("seed-", seed))
}

// play runs all seeds and returns the number of those that broke a rule or failed.
func (o soakOptions) play(ctx context.Context) (failures int) {
	var mu sync.Mutex // protects failures and keeps the printed reports apart
	var running sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for seed := o.firstSeed; seed < o.firstSeed+o.seedCount && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			config := o.config
			config.Seed, config.Dir = seed, o.folder(seed)
			report, err := soak.Play(ctx, config)
			mu.Lock()
			defer mu.Unlock()
			o.printOutcome(seed, report, err)
			switch {
			case !passed(report, err):
				failures++
			case !o.all:
				_ = os.RemoveAll(config.Dir)
			}
		})
	}
	running.Wait()
	return failures
}

// passed reports whether a run completed and broke no rule.
func passed(report scene.Report, err error) bool {
	return err == nil && !report.Failed && len(report.Broken) == 0
}

// printOutcome prints the outcome of a seed's run, with the full report unless it
// passed.
func (o soakOptions) printOutcome(seed int64, report scene.Report, err error) {
	switch {
	case err != nil:
		fmt.Printf("seed %d: FAILED %v\n", seed, err)
	case !passed(report, err) || o.all:
		fmt.Printf("seed %d:\n%s", seed, report)
	default:
		fmt.Printf("seed %d: in order, %d of %d tries served\n", seed, report.Served, report.All)
	}
}
