package hollow

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Fleet is a running hollow fleet.
type Fleet struct {
	Options
	specs  []Spec
	source *source
	hosts  []host  // the first holds fronts and takes the operator's calls
	where  [][]int // daemons by host
	base   uint64  // configuration in force
	no     int
	lost   []int // daemons that are cut off
}

// Start lays a fleet out and starts its daemons; it waits for nothing.
//
// Example: f, err := hollow.Start(hollow.Default(40, 120))
func Start(o Options) (*Fleet, error) {
	src, err := newSource(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Options: o, source: src, specs: o.specs(src.addr())}
	var groups [][]int
	var procs []int
	if o.Program == "" {
		all := make([]int, o.Daemons)
		for i := range all {
			all[i] = i
		}
		groups = [][]int{all}
	} else {
		rest := o.Daemons - o.Core - o.Alone
		for at := 0; at < rest; at += o.Shared {
			var g []int
			for i := at; i < min(rest, at+o.Shared); i++ {
				g = append(g, o.Core+o.Alone+i)
			}
			groups, procs = append(groups, g), append(procs, 4)
		}
		for i := range o.Core + o.Alone {
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
		f.hosts, f.where = append(f.hosts, h), append(f.where, g)
	}
	res := f.each(func(i int) Command {
		c := Command{Op: "start"}
		for _, d := range f.where[i] {
			c.Specs = append(c.Specs, f.specs[d])
		}
		return c
	})
	return f, fault(res)
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
	f.source.close()
}

// each tells every process something, all at once.
func (f *Fleet) each(command func(i int) Command) []Result {
	out := make([]Result, len(f.hosts))
	var wg sync.WaitGroup
	for i, h := range f.hosts {
		wg.Go(func() { out[i] = h.do(command(i)) })
	}
	wg.Wait()
	return out
}

func fault(list []Result) error {
	for _, r := range list {
		if r.Err != "" {
			return fmt.Errorf("hollow: %s", r.Err)
		}
	}
	return nil
}

// Await waits until every daemon of the fleet has what is asked for; it tells
// how many have it and how long that took.
//
// Example: n, took := f.Await(hollow.Command{Version: 3, Wait: 10 * time.Second})
func (f *Fleet) Await(c Command) (n int, took time.Duration) {
	c.Op = "await"
	at := time.Now()
	for _, r := range f.each(func(int) Command { return c }) {
		n += r.Count
	}
	return n, time.Since(at)
}

// Fill has all servers come, as many at a time as the options say, and waits
// each time until every daemon has their records; it tells how many daemons
// had all in the end.
//
// Example: n, took := f.Fill(time.Minute)
func (f *Fleet) Fill(most time.Duration) (n int, took time.Duration) {
	at := time.Now()
	for shown := 0; shown < f.Servers; {
		if shown = f.Servers; f.Ramp > 0 {
			shown = min(f.Servers, f.source.count()+f.Ramp)
		}
		if n == 0 {
			shown = f.source.count() // those that were there from the start
		}
		f.source.show(shown)
		if n, _ = f.Await(Command{Servers: shown, Wait: most}); n < f.Daemons {
			break
		}
	}
	return n, time.Since(at)
}

// AwaitOutside is Await for the daemons of all zones but one.
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

// RegionOf is a daemon's region.
//
// Example: f.LoseLink(f.RegionOf(0), 1)
func (f *Fleet) RegionOf(index int) int { return f.specs[index].Region }

// ask has the first host's first daemon pass a call on.
func (f *Fleet) ask(call string, body []byte) (fleetconfig.Verdict, int) {
	r := f.hosts[0].do(Command{Op: "ask", Indexes: f.lost, Call: call, Body: body, Wait: 2 * f.Apply})
	var v fleetconfig.Verdict
	if json.Unmarshal(r.Body, &v) != nil { // its code tells
		v.Result = "unreadable"
	}
	return v, r.Code
}

// Configure sends the whole plan of the fleet's size.
//
// Example: took, err := f.Configure()
func (f *Fleet) Configure() (time.Duration, error) {
	p := configuration(f.Options)
	p.ID, p.Base = fmt.Sprintf("plan-%d", f.no), f.base
	f.no++
	b, err := fleetconfig.EncodeCall(p)
	if err != nil {
		return 0, err
	}
	return f.settle("plan", b)
}

// Change changes one route, and tells how long the acknowledgement took.
//
// Example: took, err := f.Change()
func (f *Fleet) Change() (time.Duration, error) {
	f.no++
	r := change(f.Options, f.no%max(1, f.Routes), f.no)
	b, err := fleetconfig.EncodeCall(fleetconfig.Changes{ID: fmt.Sprintf("change-%d", f.no), Base: f.base, Changes: []fleetconfig.Change{{Op: "set-route", Route: &r}}})
	if err != nil {
		return 0, err
	}
	return f.settle("changes", b)
}

func (f *Fleet) settle(call string, b []byte) (time.Duration, error) {
	at := time.Now()
	for try := 0; ; try++ { // sent again with the same id, as an operator does
		v, code := f.ask(call, b)
		if code == 200 && v.Result == "taken" {
			f.base = v.Version
			return time.Since(at), nil
		}
		if code != 503 && code != 504 || try > 20 {
			return 0, fmt.Errorf("hollow: %s: code %d, %+v", call, code, v)
		}
	}
}
