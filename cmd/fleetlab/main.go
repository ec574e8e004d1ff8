// Command fleetlab starts a fleet as real processes on this machine, runs a scenario
// under load and checks the recorded journals against the rules. Other flags select
// simulations, the model checker and measurements of hollow fleets.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes: the run passed, a rule is broken or the run failed, invalid flags.
const (
	exitPassed = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run()) }

// options are the flags of fleetlab without a subcommand.
type options struct {
	fleet          fleetFlags
	sweepScenarios *string
	firstSeed      *int64 // of -sweep and -modelcheck walk
	seedCount      *int64 // for each scenario
	scale          *bool
	platform       *bool
	pace           *float64
	modelCheck     *string
	modelStates    *int
	hollow         hollowFlags
}

func newOptions() options {
	return options{
		fleet: newFleetFlags(),
		sweepScenarios: flag.String("sweep", "",
			"instead: run simulated `scenarios` (a,b or all) over many seeds"),
		firstSeed: flag.Int64("from", 1, "first seed of -sweep and -modelcheck walk"),
		seedCount: flag.Int64("seeds", 1000, "number of seeds of -sweep, for each scenario, and of -modelcheck walk"),
		scale:     flag.Bool("scale", false, "instead: simulate healthy fleets of growing size, flat and with relays"),
		platform: flag.Bool("platform", false,
			"instead: run daemons booted as on the users' platform against stand-ins for it; -scenario all runs all"),
		pace: flag.Float64("pace", 1, "with -platform: factor for the time limits of the rules"),
		modelCheck: flag.String("modelcheck", "",
			"instead: explore the model of voting and membership change, `small` or wide, "+
				"or walk over it at random (walk; -from and -seeds)"),
		modelStates: flag.Int("states", 1000000, "with -modelcheck wide: maximum number of states to explore in each scope"),
		hollow:      newHollowFlags(),
	}
}

// valid reports whether the flags are within their limits.
func (o options) valid() bool {
	return o.fleet.valid() && *o.seedCount >= 1
}

// run executes the command line and returns the exit code.
func run() int {
	if len(os.Args) > 1 && os.Args[1] == "soak" {
		return runSoak(os.Args[2:])
	}
	o := newOptions()
	flag.Parse()
	if *o.hollow.run || *o.hollow.worker {
		return o.hollow.main()
	}
	if !o.valid() {
		return usageError("expected -port 1024 to 65000, -rate above 0, -for at least 1s, -seeds at least 1")
	}
	switch {
	case *o.modelCheck != "":
		return checkModel(*o.modelCheck, *o.firstSeed, *o.seedCount, *o.modelStates)
	case *o.platform:
		return playOnPlatform(platformRun{
			scenario: *o.fleet.scenario,
			dir:      *o.fleet.dir,
			rate:     *o.fleet.rate,
			pace:     max(lowestPace, *o.pace),
			seed:     *o.fleet.seed,
		})
	case *o.scale:
		return scale(*o.fleet.seed)
	case *o.sweepScenarios != "":
		return sweep(*o.sweepScenarios, *o.firstSeed, *o.seedCount)
	}
	return o.fleet.run()
}

// failed prints an error of the run and returns its exit code.
func failed(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
	return exitFailed
}

// usageError prints an error of the command line and returns its exit code.
func usageError(format string, args ...any) int {
	_, _ = fmt.Fprintf(os.Stderr, "fleetlab: "+format+"\n", args...)
	return exitUsage
}

// exitCode returns the exit code for a number of failures.
func exitCode(failures int) int {
	if failures > 0 {
		return exitFailed
	}
	return exitPassed
}

// orTempDir returns dir, or a new temporary folder if dir is empty.
func orTempDir(dir, pattern string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	return os.MkdirTemp("", pattern)
}

// milliseconds rounds d for printing.
func milliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
