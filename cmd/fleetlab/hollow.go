package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
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
	formingWait   = 2 * time.Minute  // until all are ready, have every record and are calm
	everywhereIn  = time.Minute      // until a version is in force everywhere
	cutOffIn      = 10 * time.Second // the same, while a link is lost
	firstPorts    = 20000
	portSpread    = 10000 // the first port is drawn from so many, by the process's id
	singleChanges = 5     // measured one by one before the rates
	stockSamples  = 20    // of a run of many changes
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
		over:    flag.String("over", "daemons", "with -fit: the `size` that grows: daemons, servers, tenants or routes"),
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

// step measures one step of those that -steps names.
func (h hollowFlags) step(fleet *hollow.Fleet, step string) ([]hollow.Row, error) {
	switch step {
	case "idle", "forming":
		return h.measureIdle(fleet, step)
	case "change":
		return h.measureChanges(fleet)
	case "many":
		return nil, h.measureStock(fleet)
	case "restart":
		return fleet.Measure(step, *h.window, func(stop <-chan time.Time) { replaceServers(fleet, stop) }), nil
	case "zone":
		return nil, loseZone(fleet)
	case "link":
		return nil, loseLink(fleet)
	}
	return nil, fmt.Errorf("no step %q", step)
}

// measureIdle measures a fleet to which nothing happens, and profiles it if a
// folder is named.
func (h hollowFlags) measureIdle(fleet *hollow.Fleet, step string) ([]hollow.Row, error) {
	if *h.profile != "" {
		if err := os.MkdirAll(*h.profile, 0o755); err != nil {
			return nil, err
		}
		folder := filepath.Join(*h.profile, fmt.Sprintf("%d-%d", fleet.Daemons, fleet.Servers))
		if err := fleet.Profile(folder, *h.window); err != nil {
			return nil, err
		}
	}
	return fleet.Measure(step, *h.window, nil), nil
}

// measureStock prints what the fleet holds while many changes follow each other.
func (h hollowFlags) measureStock(fleet *hollow.Fleet) error {
	samples, err := fleet.Many(*h.changes, max(1, *h.changes/stockSamples))
	if err == nil && *h.stock != "" {
		err = hollow.WriteStock(*h.stock, samples)
	}
	for _, sample := range samples {
		fmt.Printf("%+v\n", sample)
	}
	return err
}

// replaceServers replaces one server after another until stop.
func replaceServers(fleet *hollow.Fleet, stop <-chan time.Time) {
	longest := time.Duration(0)
	for replaced := 0; ; replaced++ {
		select {
		case <-stop:
			fmt.Printf("%d servers replaced one after another; longest until every daemon had it %v\n",
				replaced, milliseconds(longest))
			return
		default:
		}
		took, _ := fleet.Replace(1)
		longest = max(longest, took)
	}
}

// measureChanges measures single changes, then changes at each rate.
func (h hollowFlags) measureChanges(fleet *hollow.Fleet) (rows []hollow.Row, err error) {
	rates, err := wholeNumbers(*h.rates)
	if err != nil {
		return nil, err
	}
	var acked, everywhere time.Duration // the slowest
	for range singleChanges {
		ackedAfter, everywhereAfter, inForce, err := fleet.Put()
		if err != nil || inForce < fleet.Daemons {
			return nil, fmt.Errorf("change: %v, in force at %d of %d daemons", err, inForce, fleet.Daemons)
		}
		acked, everywhere = max(acked, ackedAfter), max(everywhere, everywhereAfter)
	}
	fmt.Printf("%v: of %d changes the slowest had its yes after %v, was in force everywhere after %v\n",
		fleet, singleChanges, milliseconds(acked), milliseconds(everywhere))
	for _, rate := range rates {
		name := fmt.Sprintf("change-%d", rate)
		rows = append(rows, fleet.Measure(name, *h.window, func(stop <-chan time.Time) {
			taken, longest := fleet.Changes(float64(rate), stop)
			fmt.Printf("%d changes a second asked for: %d taken in %v, the slowest after %v\n",
				rate, taken, *h.window, milliseconds(longest))
		})...)
	}
	return rows, nil
}

// loseZone takes the zone of the configuration's leader away, then gives it
// back.
func loseZone(fleet *hollow.Fleet) error {
	leaders := fleet.Leaders()
	zone := fleet.ZoneOf(leaders[0])
	lost := 0
	for _, daemon := range leaders {
		if fleet.ZoneOf(daemon) == zone {
			lost++
		}
	}
	begin := time.Now()
	left := fleet.LoseZone(zone)
	ready, _ := fleet.AwaitOutside(zone, hollow.Command{Fresh: true, Zone: zone, Wait: everywhereIn})
	fmt.Printf("zone %d lost, with the leaders of %d of %d parts: "+
		"%d of %d daemons left are ready and know leaders for all parts after %v",
		zone, lost, len(leaders), ready, left, milliseconds(time.Since(begin)))
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	inForce, _ := fleet.AwaitOutside(zone, hollow.Command{Version: fleet.Version(), Wait: everywhereIn})
	fmt.Printf("; a change had its yes %v later, in force at %d; %v since the loss",
		milliseconds(took), inForce, milliseconds(time.Since(begin)))
	restoreFleet(fleet)
	return nil
}

// loseLink cuts two regions off from each other, then connects them again.
func loseLink(fleet *hollow.Fleet) error {
	region := fleet.RegionOf(fleet.Leaders()[0])
	next := (region + 1) % fleet.Regions
	fleet.LoseLink(region, next)
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	inForce, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: cutOffIn})
	fmt.Printf("link of regions %d and %d lost: a change had its yes after %v, in force at %d of %d daemons",
		region, next, milliseconds(took), inForce, fleet.Daemons)
	restoreFleet(fleet)
	return nil
}

// restoreFleet undoes a loss and prints when all daemons have the configuration.
func restoreFleet(fleet *hollow.Fleet) {
	begin := time.Now()
	fleet.Mend()
	inForce, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: everywhereIn})
	fmt.Printf("; mended: all %d have it after %v\n", inForce, milliseconds(time.Since(begin)))
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
