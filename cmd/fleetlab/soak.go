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

// soakOrder is what the command line asks for.
type soakOrder struct {
	firstSeed int64
	seedCount int64
	parallel  int  // runs beside one another
	all       bool // print reports and keep folders of runs in order too
	config    soak.Config
}

// errSoakUsage says what bounds the flags of soak have.
var errSoakUsage = errors.New("expected -seeds and -beside of at least 1, -for of at least 1s, " +
	"-between and -rate above 0, -pace of at least 0.3, and nothing else")

// parseSoak reads and checks the flags of soak. An error of the flags' syntax
// is printed already and isn't errSoakUsage.
func parseSoak(args []string) (o soakOrder, err error) {
	f := flag.NewFlagSet("fleetlab soak", flag.ContinueOnError)
	f.BoolVar(&o.all, "all", false, "tell everything of runs that are in order too, and keep their folders")
	f.Int64Var(&o.firstSeed, "from", 1, "first seed")
	f.Int64Var(&o.seedCount, "seeds", 10, "number of seeds")
	f.IntVar(&o.parallel, "beside", 1, "runs beside one another")
	f.StringVar(&o.config.Dir, "dir", "", "folder for data and logs (default: a new one)")
	f.DurationVar(&o.config.For, "for", 30*time.Second, "troubles come for so long")
	f.DurationVar(&o.config.Between, "between", 900*time.Millisecond, "time between two troubles, on average")
	only := f.String("only", "", "troubles whose names begin with one of these, by commas")
	f.StringVar(&o.config.Old, "old", "", "another build's mulleinmast, which every other life of a machine runs")
	f.Float64Var(&o.config.Rate, "rate", 40, "requests a second")
	customers := f.Bool("customers", false, "clients come with keys of tenants that have limits")
	f.Float64Var(&o.config.Pace, "pace", 1, "what the rules' bounds are multiplied by")
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

// valid reports whether the flags are within their bounds.
func (o soakOrder) valid() bool {
	c := o.config
	return o.seedCount >= 1 && o.parallel >= 1 && c.For >= shortestRun && c.Between > 0 &&
		!(c.Rate <= 0) && !(c.Pace < lowestPace)
}

// runSoak is the verb soak: real daemons under troubles that overlap, for many
// seeds. A run that breaks a rule keeps its folder with all logs.
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
			_, _ = fmt.Fprintf(os.Stderr, "fleetlab soak: %s is there already, from another run: name another -dir\n",
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

// folder is where a seed's data and logs are.
func (o soakOrder) folder(seed int64) string {
	return filepath.Join(o.config.Dir, fmt.Sprint("seed-", seed))
}

// play runs all seeds and counts those that broke a rule or failed.
func (o soakOrder) play(ctx context.Context) (failures int) {
	var mu sync.Mutex // guards failures and the order of what is printed
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
			case !inOrder(report, err):
				failures++
			case !o.all:
				_ = os.RemoveAll(config.Dir)
			}
		})
	}
	running.Wait()
	return failures
}

// inOrder reports whether a run was carried through and broke no rule.
func inOrder(report scene.Report, err error) bool {
	return err == nil && !report.Failed && len(report.Broken) == 0
}

// printOutcome prints the outcome of a seed's run: in full if it isn't in order.
func (o soakOrder) printOutcome(seed int64, report scene.Report, err error) {
	switch {
	case err != nil:
		fmt.Printf("seed %d: FAILED %v\n", seed, err)
	case !inOrder(report, err) || o.all:
		fmt.Printf("seed %d:\n%s", seed, report)
	default:
		fmt.Printf("seed %d: in order, %d of %d tries served\n", seed, report.Served, report.All)
	}
}
