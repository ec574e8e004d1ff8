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

// hollowFlags are the sizes of hollow fleets.
type hollowFlags struct {
	fit, over                         *string
	at                                *float64
	run, worker                       *bool
	daemons, servers, tenants, routes *string
	window, apply, far                *time.Duration
	out, profile                      *string
	steps                             *string
	ramp                              *int
	rates, stock                      *string
	many                              *int
}

func newHollowFlags() hollowFlags {
	return hollowFlags{
		run:     flag.Bool("hollow", false, "instead: measure hollow fleets, many daemons in a process, and write tables and plots"),
		worker:  flag.Bool("hollow-worker", false, "be a process of a hollow fleet (started by -hollow)"),
		daemons: flag.String("daemons", "10,40,88,130", "with -hollow: fleets of these `sizes`"),
		servers: flag.String("servers", "12", "with -hollow: model servers, each `number` with each fleet"),
		tenants: flag.String("tenants", "60", "with -hollow: tenants in the plan, each `number`"),
		routes:  flag.String("routes", "60", "with -hollow: routes in the plan, a `number` for each of tenants"),
		window:  flag.Duration("window", 10*time.Second, "with -hollow: length of each measurement"),
		apply:   flag.Duration("apply", 2*time.Second, "with -hollow: a change is in force everywhere within this"),
		far:     flag.Duration("far", 0, "with -hollow: delay between regions, one way"),
		out:     flag.String("out", "", "with -hollow: write CSV to this `file`"),
		profile: flag.String("profile", "", "with -hollow: write profiles of a front, a leader and the shared process to this `folder`"),
		steps:   flag.String("steps", "idle", "with -hollow: `idle,change,many,restart,zone,link`"),
		fit:     flag.String("fit", "", "with -hollow: measure nothing, lay lines through this CSV `file` and draw them beside it"),
		over:    flag.String("over", "daemons", "with -fit: the `size` that grows: daemons, servers, tenants or routes"),
		at:      flag.Float64("at", 520, "with -fit: the size that the line is read off at"),
		ramp:    flag.Int("ramp", 0, "with -hollow: model servers come so many at a time; 0: all at once"),
		many:    flag.Int("changes", 2000, "with -hollow and step many: changes, one after another"),
		stock:   flag.String("stock", "", "with -hollow and step many: write what is held to this CSV `file`, and a plot beside it"),
		rates:   flag.String("rates", "1", "with -hollow: configuration changes a second, each `number`"),
	}
}

func numbersOf(s string) (out []int, err error) {
	for _, w := range strings.Split(s, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(w))
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%q: expected whole numbers, such as 10,40", s)
		}
		out = append(out, n)
	}
	return out, nil
}

func (h hollowFlags) main() int {
	if *h.worker {
		if err := hollow.Serve(os.Stdin, os.Stdout); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
			return 1
		}
		return 0
	}
	var lists [4][]int
	for i, s := range []string{*h.daemons, *h.servers, *h.tenants, *h.routes} {
		var err error
		if lists[i], err = numbersOf(s); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
			return 2
		}
	}
	exe, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return 1
	}
	if *h.fit != "" {
		return h.draw(*h.fit)
	}
	if *h.steps == "request" {
		for _, n := range lists[1] {
			took, err := hollow.Requests(n, 0.3, 400, 8)
			if err != nil {
				_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
				return 1
			}
			fmt.Printf("%d servers of a model: a request's decisions take %v of a core\n", n, took.Round(time.Microsecond))
		}
		return 0
	}
	var all []hollow.Row
	for _, daemons := range lists[0] {
		for _, servers := range lists[1] {
			for i, tenants := range lists[2] {
				o := hollow.Default(daemons, servers)
				o.Tenants, o.Routes, o.Apply, o.Far, o.Program = tenants, lists[3][min(i, len(lists[3])-1)], *h.apply, *h.far, exe
				o.Ramp = *h.ramp
				rows, err := h.fleet(o)
				all = append(all, rows...)
				if err != nil {
					_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
					return 1
				}
				if *h.out != "" {
					if err := hollow.WriteCSV(*h.out, all); err != nil {
						_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
						return 1
					}
				}
			}
		}
	}
	return 0
}

// fleet forms one fleet and takes it through the steps.
func (h hollowFlags) fleet(o hollow.Options) ([]hollow.Row, error) {
	dir, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Dir = dir
	o.Port = 20000 + os.Getpid()%10000
	at := time.Now()
	f, err := hollow.Start(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	started := time.Since(at)
	n, took := f.Await(hollow.Command{Wait: 2 * time.Minute})
	fmt.Printf("%d daemons, %d servers, %d tenants, %d routes: started in %v, %d ready %v later", o.Daemons, o.Servers, o.Tenants, o.Routes, started.Round(time.Millisecond), n, took.Round(time.Millisecond))
	if n < o.Daemons {
		return nil, fmt.Errorf("%d of %d daemons are ready", n, o.Daemons)
	}
	acked, err := f.Configure()
	if err != nil {
		return nil, err
	}
	if strings.Contains(*h.steps, "forming") {
		fmt.Println()
		more, err := h.step(f, "forming")
		if err != nil {
			return nil, err
		}
		fmt.Print(hollow.Table(more))
	}
	n, took = f.Await(hollow.Command{Version: f.Version(), Wait: time.Minute})
	fmt.Printf("; configuration acknowledged after %v, in force at %d daemons %v later", acked.Round(time.Millisecond), n, took.Round(time.Millisecond))
	n, took = f.Fill(2 * time.Minute)
	fmt.Printf("; every server's record at %d daemons %v later", n, took.Round(time.Millisecond))
	took, ok := f.Steady(2 * time.Minute)
	fmt.Printf("; calm after %v (%v)\n", took.Round(time.Millisecond), ok)
	var rows []hollow.Row
	for _, step := range strings.Split(*h.steps, ",") {
		more, err := h.step(f, step)
		if err != nil {
			return rows, err
		}
		fmt.Print(hollow.Table(more))
		rows = append(rows, more...)
	}
	return rows, nil
}

func (h hollowFlags) step(f *hollow.Fleet, step string) ([]hollow.Row, error) {
	switch step {
	case "idle", "forming":
		if *h.profile != "" {
			if err := os.MkdirAll(*h.profile, 0o755); err != nil {
				return nil, err
			}
			if err := f.Profile(filepath.Join(*h.profile, fmt.Sprintf("%d-%d", f.Daemons, f.Servers)), *h.window); err != nil {
				return nil, err
			}
		}
		return f.Measure(step, *h.window, nil), nil
	case "change":
		return h.change(f)
	case "many":
		list, err := f.Many(*h.many, max(1, *h.many/20))
		if err == nil && *h.stock != "" {
			err = hollow.WriteStock(*h.stock, list)
		}
		for _, s := range list {
			fmt.Printf("%+v\n", s)
		}
		return nil, err
	case "restart":
		return f.Measure(step, *h.window, func(stop <-chan time.Time) {
			for n, most := 0, time.Duration(0); ; n++ {
				select {
				case <-stop:
					fmt.Printf("%d servers replaced one after another; longest until every daemon had it %v\n", n, most.Round(time.Millisecond))
					return
				default:
				}
				took, _ := f.Replace(1)
				most = max(most, took)
			}
		}), nil
	case "zone":
		return nil, h.blackout(f)
	case "link":
		return nil, h.link(f)
	}
	return nil, fmt.Errorf("no step %q", step)
}

// change measures single changes, then changes at each rate.
func (h hollowFlags) change(f *hollow.Fleet) (rows []hollow.Row, err error) {
	rates, err := numbersOf(*h.rates)
	if err != nil {
		return nil, err
	}
	var yes, all time.Duration
	for range 5 {
		a, b, n, err := f.Put()
		if err != nil || n < f.Daemons {
			return nil, fmt.Errorf("change: %v, in force at %d of %d daemons", err, n, f.Daemons)
		}
		yes, all = max(yes, a), max(all, b)
	}
	fmt.Printf("%v: of 5 changes the slowest had its yes after %v, was in force everywhere after %v\n", f, yes.Round(time.Millisecond), all.Round(time.Millisecond))
	for _, rate := range rates {
		rows = append(rows, f.Measure(fmt.Sprintf("change-%d", rate), *h.window, func(stop <-chan time.Time) {
			n, longest := f.Changes(float64(rate), stop)
			fmt.Printf("%d changes a second asked for: %d taken in %v, the slowest after %v\n", rate, n, *h.window, longest.Round(time.Millisecond))
		})...)
	}
	return rows, nil
}

// blackout takes the zone of the configuration's leader away.
func (h hollowFlags) blackout(f *hollow.Fleet) error {
	leaders := f.Leaders()
	zone := f.ZoneOf(leaders[0])
	lost := 0
	for _, i := range leaders {
		if f.ZoneOf(i) == zone {
			lost++
		}
	}
	at := time.Now()
	left := f.LoseZone(zone)
	n, _ := f.AwaitOutside(zone, hollow.Command{Fresh: true, Zone: zone, Wait: time.Minute})
	fmt.Printf("zone %d lost, with the leaders of %d of %d parts: %d of %d daemons left are ready and know leaders for all parts after %v", zone, lost, len(leaders), n, left, time.Since(at).Round(time.Millisecond))
	took, err := f.Change()
	if err != nil {
		return err
	}
	n, _ = f.AwaitOutside(zone, hollow.Command{Version: f.Version(), Wait: time.Minute})
	fmt.Printf("; a change had its yes %v later, in force at %d; %v since the loss", took.Round(time.Millisecond), n, time.Since(at).Round(time.Millisecond))
	at = time.Now()
	f.Mend()
	n, _ = f.Await(hollow.Command{Version: f.Version(), Wait: time.Minute})
	fmt.Printf("; mended: all %d have it after %v\n", n, time.Since(at).Round(time.Millisecond))
	return nil
}

// link cuts two regions off from each other.
func (h hollowFlags) link(f *hollow.Fleet) error {
	a := f.RegionOf(f.Leaders()[0])
	f.LoseLink(a, (a+1)%f.Regions)
	took, err := f.Change()
	if err != nil {
		return err
	}
	n, _ := f.Await(hollow.Command{Version: f.Version(), Wait: 10 * time.Second})
	fmt.Printf("link of regions %d and %d lost: a change had its yes after %v, in force at %d of %d daemons", a, (a+1)%f.Regions, took.Round(time.Millisecond), n, f.Daemons)
	at := time.Now()
	f.Mend()
	n, _ = f.Await(hollow.Command{Version: f.Version(), Wait: time.Minute})
	fmt.Printf("; mended: all %d have it after %v\n", n, time.Since(at).Round(time.Millisecond))
	return nil
}

// draw lays lines through rows that were measured before.
func (h hollowFlags) draw(path string) int {
	rows, err := hollow.ReadCSV(path)
	if err == nil && hollow.Sizes[*h.over] == nil {
		err = fmt.Errorf("-over %q: expected daemons, servers, tenants or routes", *h.over)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return 2
	}
	fmt.Print(hollow.Fits(rows, *h.over, *h.at))
	base := strings.TrimSuffix(path, ".csv")
	for cost, name := range map[string]string{"bytes": "bytes", "core": "core", "resident MB": "memory"} {
		if err := hollow.Plot(base+"-"+name+".png", rows, rows[0].Step, *h.over, cost); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "fleetlab:", err)
			return 1
		}
	}
	return 0
}
