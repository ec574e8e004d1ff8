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

// Of the measurement of a request's decisions (step request): see
// hollow.Requests.
const (
	requestReading  = 0.3
	requestCount    = 400
	requestsAbreast = 8
)

// Bounds of the waits for a hollow fleet, and its ports.
const (
	formingWait  = 2 * time.Minute // until all are ready, have every record and are calm
	everywhereIn = time.Minute     // until a version is in force everywhere
	firstPorts   = 20000
	portSpread   = 10000 // the first port is drawn from so many, by the process's id
)

// hollowFlags are the flags of hollow fleets.
type hollowFlags struct {
	run, worker *bool

	// Sizes of the fleets: lists of whole numbers.
	daemons, servers, tenants, routes *string
	ramp                              *int // servers that come at once; 0: all

	window, apply, far *time.Duration
	steps              *string
	changes            *int    // of step many
	rates              *string // of step change, changes a second

	out, profile, stock *string // files and folder to write; "": none

	fit  *string // CSV file to lay lines through, in place of a measurement
	over *string
	at   *float64
}

func newHollowFlags() hollowFlags {
	return hollowFlags{
		run: flag.Bool("hollow", false,
			"instead: measure hollow fleets, many daemons in a process, and write tables and plots"),
		worker:  flag.Bool("hollow-worker", false, "be a process of a hollow fleet (started by -hollow)"),
		daemons: flag.String("daemons", "10,40,88,130", "with -hollow: fleets of these `sizes`"),
		servers: flag.String("servers", "12", "with -hollow: model servers, each `number` with each fleet"),
		tenants: flag.String("tenants", "60", "with -hollow: tenants in the plan, each `number`"),
		routes:  flag.String("routes", "60", "with -hollow: routes in the plan, a `number` for each of tenants"),
		window:  flag.Duration("window", 10*time.Second, "with -hollow: length of each measurement"),
		apply:   flag.Duration("apply", 2*time.Second, "with -hollow: a change is in force everywhere within this"),
		far:     flag.Duration("far", 0, "with -hollow: delay between regions, one way"),
		out:     flag.String("out", "", "with -hollow: write CSV to this `file`"),
		profile: flag.String("profile", "",
			"with -hollow: write profiles of a front, a leader and the shared process to this `folder`"),
		steps: flag.String("steps", "idle", "with -hollow: `idle,change,many,restart,zone,link`"),
		fit: flag.String("fit", "",
			"with -hollow: measure nothing, lay lines through this CSV `file` and draw them beside it"),
		over: flag.String("over", "daemons",
			"with -fit: the `size` that grows: daemons, servers, tenants or routes"),
		at:      flag.Float64("at", 520, "with -fit: the size that the line is read off at"),
		ramp:    flag.Int("ramp", 0, "with -hollow: model servers come so many at a time; 0: all at once"),
		changes: flag.Int("changes", 2000, "with -hollow and step many: changes, one after another"),
		stock: flag.String("stock", "",
			"with -hollow and step many: write what is held to this CSV `file`, and a plot beside it"),
		rates: flag.String("rates", "1", "with -hollow: configuration changes a second, each `number`"),
	}
}

// wholeNumbers reads a list of whole numbers, such as 10,40.
func wholeNumbers(list string) (numbers []int, err error) {
	for _, word := range strings.Split(list, ",") {
		number, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || number < 0 {
			return nil, fmt.Errorf("%q: expected whole numbers, such as 10,40", word)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// hollowSizes are the sizes of the fleets to measure.
type hollowSizes struct {
	daemons, servers, tenants, routes []int
}

// sizes reads the lists of sizes.
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
		if *list.to, err = wholeNumbers(*list.flag); err != nil {
			return sizes, err
		}
	}
	return sizes, nil
}

// fleets lists the fleets of all sizes. The number of routes goes with that of
// tenants; the last one stands for those that are missing.
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

// main does what the flags of hollow fleets ask for.
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

// measureRequests prints what a request's decisions cost with so many servers.
func measureRequests(serverCounts []int) error {
	for _, servers := range serverCounts {
		took, err := hollow.Requests(servers, requestReading, requestCount, requestsAbreast)
		if err != nil {
			return err
		}
		fmt.Printf("%d servers of a model: a request's decisions take %v of a core\n",
			servers, took.Round(time.Microsecond))
	}
	return nil
}

// measureFleets measures one fleet after the other; the rows of those measured
// so far are written after each.
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

// measureFleet forms one fleet and takes it through the steps.
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
// record, and is calm; it prints how long each of them took.
func (h hollowFlags) form(fleet *hollow.Fleet, o hollow.Options, started time.Duration) error {
	ready, took := fleet.Await(hollow.Command{Wait: formingWait})
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
	inForce, took := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: everywhereIn})
	fmt.Printf("; configuration acknowledged after %v, in force at %d daemons %v later",
		milliseconds(acked), inForce, milliseconds(took))
	filled, took := fleet.Fill(formingWait)
	fmt.Printf("; every server's record at %d daemons %v later", filled, milliseconds(took))
	took, ok := fleet.Steady(formingWait)
	fmt.Printf("; calm after %v (%v)\n", milliseconds(took), ok)
	return nil
}

// drawFits lays lines through rows that were measured before.
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
