package hollow

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Fleet is a running fleet of hollow daemons.
type Fleet struct {
	Options
	specs        []Spec
	serverSource *serverSource
	hosts        []host  // the first holds fronts and sends the operator's calls
	daemonsOf    [][]int // by host
	version      uint64  // of the current configuration
	sequence     int     // of the last change
	lostDaemons  []int   // daemons that are cut off
}

// Start creates a fleet and starts its daemons. It does not wait until they are ready.
//
// Example: f, err := hollow.Start(hollow.Default(40, 120))
func Start(o Options) (*Fleet, error) {
	src, err := newServerSource(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Options: o, serverSource: src, specs: o.specs(src.addr())}
	var groups [][]int
	var procs []int
	if o.Program == "" {
		all := make([]int, o.Daemons)
		for i := range all {
			all[i] = i
		}
		groups = [][]int{all}
	} else {
		rest := o.Daemons - o.Core - o.DedicatedFronts
		for at := 0; at < rest; at += o.DaemonsPerProcess {
			var g []int
			for i := at; i < min(rest, at+o.DaemonsPerProcess); i++ {
				g = append(g, o.Core+o.DedicatedFronts+i)
			}
			groups, procs = append(groups, g), append(procs, 4)
		}
		for i := range o.Core + o.DedicatedFronts {
			groups, procs = append(groups, []int{i}), append(procs, 2)
		}
	}
	for i, g := range groups {
		var h host = &worker{}
		if o.Program != "" {
			r, err := spawn(o.Program, procs[i])
			if err != nil {
				f.Close()
				return nil, err
			}
			h = r
		}
		f.hosts, f.daemonsOf = append(f.hosts, h), append(f.daemonsOf, g)
	}
	res := f.runOnAll(func(i int) Command {
		c := Command{Op: "start"}
		for _, d := range f.daemonsOf[i] {
			c.Specs = append(c.Specs, f.specs[d])
		}
		return c
	})
	return f, firstError(res)
}

// Close stops every daemon.
//
// Example: defer f.Close()
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(h.close)
	}
	wg.Wait()
	f.serverSource.close()
}

// runOnAll runs a command on every process concurrently.
func (f *Fleet) runOnAll(command func(i int) Command) []Result {
	out := make([]Result, len(f.hosts))
	var wg sync.WaitGroup
	for i, h := range f.hosts {
		wg.Go(func() { out[i] = h.do(command(i)) })
	}
	wg.Wait()
	return out
}

// firstError returns the first error among results.
func firstError(list []Result) error {
	for _, r := range list {
		if r.Err != "" {
			return fmt.Errorf("hollow: %s", r.Err)
		}
	}
	return nil
}

// Await waits until every daemon meets the condition of the command. It returns how
// many do and how long it waited.
//
// Example: n, took := f.Await(hollow.Command{Version: 3, Wait: 10 * time.Second})
func (f *Fleet) Await(c Command) (n int, took time.Duration) {
	c.Op = "await"
	at := time.Now()
	for _, r := range f.runOnAll(func(int) Command { return c }) {
		n += r.Count
	}
	return n, time.Since(at)
}

// Fill lists all servers, Options.Ramp at a time, and waits after each step until
// every daemon has their records. It returns how many daemons had all records at the
// end.
//
// Example: n, took := f.Fill(time.Minute)
func (f *Fleet) Fill(most time.Duration) (n int, took time.Duration) {
	at := time.Now()
	for shown := 0; shown < f.Servers; {
		if shown = f.Servers; f.Ramp > 0 {
			shown = min(f.Servers, f.serverSource.count()+f.Ramp)
		}
		if n == 0 {
			shown = f.serverSource.count() // those listed from the start
		}
		f.serverSource.setShown(shown)
		if n, _ = f.Await(Command{Servers: shown, Wait: most}); n < f.Daemons {
			break
		}
	}
	return n, time.Since(at)
}

// AwaitOutside is Await for the daemons outside a zone.
//
// Example: n, took := f.AwaitOutside(3, hollow.Command{Version: 7, Wait: time.Minute})
func (f *Fleet) AwaitOutside(zone int, c Command) (n int, took time.Duration) {
	for _, s := range f.specs {
		if s.Zone == zone {
			c.Indexes = append(c.Indexes, s.Index)
		}
	}
	return f.Await(c)
}

// RegionOf returns a daemon's region.
//
// Example: f.LoseLink(f.RegionOf(0), 1)
func (f *Fleet) RegionOf(index int) int { return f.specs[index].Region }

// call sends an operator's call through the first available daemon of the first host.
func (f *Fleet) call(name string, body []byte) (fleetconfig.Verdict, int) {
	r := f.hosts[0].do(Command{Op: "ask", Indexes: f.lostDaemons, Call: name, Body: body, Wait: 2 * f.Apply})
	var v fleetconfig.Verdict
	if json.Unmarshal(r.Body, &v) != nil { // the status code is reported
		v.Result = "unreadable"
	}
	return v, r.Code
}

// Configure sends a complete plan of the fleet's size.
//
// Example: took, err := f.Configure()
func (f *Fleet) Configure() (time.Duration, error) {
	p := configuration(f.Options)
	p.ID, p.Base = fmt.Sprintf("plan-%d", f.sequence), f.version
	f.sequence++
	b, err := fleetconfig.EncodeCall(p)
	if err != nil {
		return 0, err
	}
	return f.submit("plan", b)
}

// Change changes one route and returns the time until the acknowledgement.
//
// Example: took, err := f.Change()
func (f *Fleet) Change() (time.Duration, error) {
	f.sequence++
	r := change(f.Options, f.sequence%max(1, f.Routes), f.sequence)
	b, err := fleetconfig.EncodeCall(fleetconfig.Changes{ID: fmt.Sprintf("change-%d", f.sequence), Base: f.version, Changes: []fleetconfig.Change{{Op: "set-route", Route: &r}}})
	if err != nil {
		return 0, err
	}
	return f.submit("changes", b)
}

// submit sends a call until it is accepted and returns the time that took.
func (f *Fleet) submit(call string, b []byte) (time.Duration, error) {
	at := time.Now()
	for try := 0; ; try++ { // retried with the same ID, as an operator does
		v, code := f.call(call, b)
		if code == 200 && v.Result == "taken" {
			f.version = v.Version
			return time.Since(at), nil
		}
		if code != 503 && code != 504 || try > 20 {
			return 0, fmt.Errorf("hollow: call %s failed: status %d, %+v", call, code, v)
		}
	}
}
