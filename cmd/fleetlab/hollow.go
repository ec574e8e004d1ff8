package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mulleinmast/proof/hollow"
)

// Parameters of step request, which measures the routing decisions of a request: see
// hollow.Requests.
const (
	requestPrefillFraction = 0.3 // fraction of the servers that prefill
	requestCount           = 400 // number of measured requests
	requestConcurrency     = 8   // concurrent requests
)

// Timeouts and ports of a hollow fleet.
const (
	formingTimeout    = 2 * time.Minute // for each of: all daemons ready, all records known, steady state
	activationTimeout = time.Minute     // until a version is active at all daemons
	firstPorts        = 20000
	portSpread        = 10000 // the first port is offset by the process ID modulo this
)

// hollowFlags are the flags for hollow fleets, which run many daemons per process.
type hollowFlags struct {
	run, worker *bool

	// Sizes of the fleets, as lists of integers.
	daemons, servers, tenants, routes *string
	ramp                              *int // servers added at a time; 0: all

	window, apply, far *time.Duration
	steps              *string
	changes            *int    // number of changes in step many
	rates              *string // changes per second in step change

	out, profile, stock *string // output files and folder; "": none

	fit  *string // CSV file to fit lines to, instead of measuring
	over *string
	at   *float64
}

func newHollowFlags() hollowFlags {
	return hollowFlags{
		run: flag.Bool("hollow", false,
			"instead: measure hollow fleets, with many daemons per process, and write tables and plots"),
		worker:  flag.Bool("hollow-worker", false, "run as a process of a hollow fleet (started by -hollow)"),
		daemons: flag.String("daemons", "10,40,88,130", "with -hollow: numbers of daemons, each `number` a fleet"),
		servers: flag.String("servers", "12", "with -hollow: numbers of model servers, each `number` with each fleet"),
		tenants: flag.String("tenants", "60", "with -hollow: numbers of tenants in the plan, each `number` with each fleet"),
		routes:  flag.String("routes", "60", "with -hollow: numbers of routes in the plan, one `number` for each of -tenants"),
		window:  flag.Duration("window", 10*time.Second, "with -hollow: length of each measurement"),
		apply:   flag.Duration("apply", 2*time.Second, "with -hollow: time limit for a change to become active at all daemons"),
		far:     flag.Duration("far", 0, "with -hollow: one-way delay between regions"),
		out:     flag.String("out", "", "with -hollow: write the results to this CSV `file`"),
		profile: flag.String("profile", "",
			"with -hollow: write profiles of a front, a leader and the shared process to this `folder`"),
		steps: flag.String("steps", "idle", "with -hollow: `steps` to measure: forming, idle, change, many, restart, zone, link; or request alone"),
		fit: flag.String("fit", "",
			"with -hollow: instead of measuring, fit lines to this CSV `file` and write plots beside it"),
		over: flag.String("over", "daemons",
			"with -fit: the `size` on the x axis: daemons, servers, tenants or routes"),
		at:      flag.Float64("at", 520, "with -fit: the size to extrapolate to"),
		ramp:    flag.Int("ramp", 0, "with -hollow: number of model servers added at a time; 0: all at once"),
		changes: flag.Int("changes", 2000, "with -hollow and step many: number of changes, made one after another"),
		stock: flag.String("stock", "",
			"with -hollow and step many: write the held resources to this CSV `file`, and a plot beside it"),
		rates: flag.String("rates", "1", "with -hollow and step change: configuration changes per second, each `number`"),
	}
}

// parseInts parses a list of non-negative integers, such as 10,40.
func parseInts(list string) (numbers []int, err error) {
	for _, word := range strings.Split(list, ",") {
		number, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || number < 0 {
			return nil, fmt.Errorf("%q: expected non-negative integers, such as 10,40", word)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// hollowSizes are the sizes of the fleets to measure.
type hollowSizes struct {
	daemons, servers, tenants, routes []int
}

// sizes parses the lists of sizes.
func (h hollowFlags) sizes() (sizes hollowSizes, err error) {
	for _, list := range []struct {
		flag *string
		to   *[]int
	}{
		{h.daemons, &sizes.daemons},
		{h.servers, &sizes.servers},
		{h.tenants, &sizes.tenants},
		{h.routes, &sizes.routes},
	} {
		if *list.to, err = parseInts(*list.flag); err != nil {
			return sizes, err
		}
	}
	return sizes, nil
}

// fleets returns the options of one fleet for each combination of numbers of daemons,
// servers and tenants. Each number of tenants is paired with the number of routes at the
// same position in its list, or with the last one if that list is shorter.
func (s hollowSizes) fleets() (fleets []hollow.Options) {
	for _, daemons := range s.daemons {
		for _, servers := range s.servers {
			for i, tenants := range s.tenants {
				o := hollow.Default(daemons, servers)
				o.Tenants, o.Routes = tenants, s.routes[min(i, len(s.routes)-1)]
				fleets = append(fleets, o)
			}
		}
	}
	return fleets
}

// main runs the mode that the flags select and returns the exit code.
func (h hollowFlags) main() int {
	if *h.worker {
		if err := hollow.Serve(os.Stdin, os.Stdout); err != nil {
			return failed(err)
		}
		return exitPassed
	}
	sizes, err := h.sizes()
	if err != nil {
		return usageError("%v", err)
	}
	executable, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	switch {
	case *h.fit != "":
		return h.drawFits(*h.fit)
	case *h.steps == "request":
		err = measureRequests(sizes.servers)
	default:
		err = h.measureFleets(sizes.fleets(), executable)
	}
	if err != nil {
		return failed(err)
	}
	return exitPassed
}

// measureRequests prints the CPU time of a request's routing decisions for each number
// of servers.
func measureRequests(serverCounts []int) error {
	for _, servers := range serverCounts {
		took, err := hollow.Requests(servers, requestPrefillFraction, requestCount, requestConcurrency)
		if err != nil {
			return err
		}
		fmt.Printf("%d servers of a model: the decisions for a request take %v of CPU time\n",
			servers, took.Round(time.Microsecond))
	}
	return nil
}

// measureFleets measures one fleet after another and writes all rows so far after
// each of them.
func (h hollowFlags) measureFleets(fleets []hollow.Options, executable string) error {
	var all []hollow.Row
	for _, o := range fleets {
		o.Apply, o.Far, o.Ramp, o.Program = *h.apply, *h.far, *h.ramp, executable
		rows, err := h.measureFleet(o)
		if err != nil {
			return err
		}
		all = append(all, rows...)
		if *h.out == "" {
			continue
		}
		if err := hollow.WriteCSV(*h.out, all); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet starts one fleet and runs the steps on it.
func (h hollowFlags) measureFleet(o hollow.Options) (rows []hollow.Row, err error) {
	dir, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Dir = dir
	o.Port = firstPorts + os.Getpid()%portSpread
	begin := time.Now()
	fleet, err := hollow.Start(o)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := h.form(fleet, o, time.Since(begin)); err != nil {
		return nil, err
	}
	for _, step := range strings.Split(*h.steps, ",") {
		stepRows, err := h.step(fleet, step)
		if err != nil {
			return rows, err
		}
		fmt.Print(hollow.Table(stepRows))
		rows = append(rows, stepRows...)
	}
	return rows, nil
}

// form waits until the fleet is ready, has its configuration and every server's
// record, and is in a steady state. It prints how long each of these took.
func (h hollowFlags) form(fleet *hollow.Fleet, o hollow.Options, started time.Duration) error {
	ready, took := fleet.Await(hollow.Command{Wait: formingTimeout})
	fmt.Printf("%d daemons, %d servers, %d tenants, %d routes: started in %v, %d ready %v later",
		o.Daemons, o.Servers, o.Tenants, o.Routes, milliseconds(started), ready, milliseconds(took))
	if ready < o.Daemons {
		return fmt.Errorf("%d of %d daemons are ready", ready, o.Daemons)
	}
	acked, err := fleet.Configure()
	if err != nil {
		return err
	}
	if strings.Contains(*h.steps, "forming") {
		fmt.Println()
		rows, err := h.step(fleet, "forming")
		if err != nil {
			return err
		}
		fmt.Print(hollow.Table(rows))
	}
	active, took := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: activationTimeout})
	fmt.Printf("; configuration acknowledged after %v, active at %d daemons %v later",
		milliseconds(acked), active, milliseconds(took))
	filled, took := fleet.Fill(formingTimeout)
	fmt.Printf("; every server's record at %d daemons %v later", filled, milliseconds(took))
	took, ok := fleet.Steady(formingTimeout)
	fmt.Printf("; steady after %v (%v)\n", milliseconds(took), ok)
	return nil
}

// drawFits fits lines to the rows of an earlier measurement and plots them.
func (h hollowFlags) drawFits(path string) int {
	rows, err := hollow.ReadCSV(path)
	if err == nil && hollow.Sizes[*h.over] == nil {
		err = fmt.Errorf("-over %q: expected daemons, servers, tenants or routes", *h.over)
	}
	if err != nil {
		return usageError("%v", err)
	}
	fmt.Print(hollow.Fits(rows, *h.over, *h.at))
	base := strings.TrimSuffix(path, ".csv")
	for cost, name := range map[string]string{"bytes": "bytes", "core": "core", "resident MB": "memory"} {
		if err := hollow.Plot(base+"-"+name+".png", rows, rows[0].Step, *h.over, cost); err != nil {
			return failed(err)
		}
	}
	return exitPassed
}
