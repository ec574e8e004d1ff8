package track

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
	"mulleinmast/proof/load"
)

// Report is what a scenario came to.
type Report struct {
	Load   load.Report
	Notes  []string
	Counts map[string]int64
	Broken []judge.Break
	Events int
	Failed bool
}

// Say messages something seen.
//
// Example: r.Say("leader back after %v", took)
func (r *Report) Say(how string, args ...any) { r.Notes = append(r.Notes, fmt.Sprintf(how, args...)) }

// Fail messages something that should not have been.
//
// Example: r.Fail("no leader after %v", limit)
func (r *Report) Fail(how string, args ...any) {
	r.Failed = true
	r.Say("FAILED "+how, args...)
}

// Scenario makes things happen while load runs.
type Scenario func(ctx context.Context, f *Fleet, r *Report)

// Names lists the scenarios.
//
// Example: for _, n := range track.Names() { fmt.Println(n) }
func Names() []string {
	out := make([]string, 0, len(Scenarios))
	for n := range Scenarios {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Play runs a scenario under load and judges what happened.
//
// Example: rep := f.Play(ctx, track.Scenarios["calm"], cfg)
func (f *Fleet) Play(ctx context.Context, s Scenario, c load.Config) *Report {
	r := &Report{}
	var ev []history.Event
	var wg sync.WaitGroup
	with, stop := context.WithCancel(ctx)
	f.Plat.Check()
	go f.Plat.Serve(with)
	watched := f.watch(with)
	wg.Add(1)
	go func() { defer wg.Done(); ev = f.Load(ctx, c) }()
	t := time.NewTimer(c.For / 5)
	<-t.C
	s(ctx, f, r)
	wg.Wait()
	stop()
	r.Say("daemons' plans looked at %d times", watched())
	r.Load = load.Sum(ev)
	r.Counts = f.Numbers()
	for _, line := range f.violations() {
		r.Fail("%s", line)
	}
	r.Broken, r.Events = f.Verdict()
	return r
}

// violations lists what the running daemons count of violated invariants.
func (f *Fleet) violations() (lines []string) {
	for _, p := range f.Daemons {
		if !p.Up() {
			continue
		}
		_, figures := f.Call("GET", p.Addr, "/metrics", nil)
		for line := range strings.SplitSeq(string(figures), "\n") {
			if strings.HasPrefix(line, "mulleinmast_invariant_violations_total") && !strings.HasSuffix(line, " 0") {
				lines = append(lines, p.Name+": "+line)
			}
		}
	}
	return lines
}

// Story counts the lines of all daemons' rings that hold a word.
//
// Example: shifts := f.Story("(shift)")
func (f *Fleet) Story(word string) int {
	n := 0
	for _, p := range f.Daemons {
		_, b := f.Call("GET", p.Addr, "/v1/ring", nil)
		n += strings.Count(string(b), word)
	}
	return n
}

// wait lets time pass while load runs; it decides nothing.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// back waits until every daemon is ready and serves a plan under valid leases,
// and every service is served.
func (f *Fleet) back(ctx context.Context, r *Report, limit time.Duration, what string) {
	from := time.Now()
	f.Recorder.Put(history.Event{Ev: "mended"}) // the machines are back: from here the clock runs
	if !Until(ctx, limit, func() bool { return f.Ready() == f.alive() && f.leased() == f.alive() && f.Serving() }) {
		r.Fail("%s: %d of %d daemons ready, %d under valid leases, serving %v after %v", what, f.Ready(), f.alive(), f.leased(), f.Serving(), limit)
		return
	}
	r.Say("%s: whole again after %.1fs (bound %v)", what, time.Since(from).Seconds(), limit)
}

func (f *Fleet) alive() int {
	n := 0
	for _, p := range f.Daemons {
		if p.Up() {
			n++
		}
	}
	return n
}

// Up tells whether a process runs.
//
// Example: if !p.Up() { f.Up(p) }
func (p *Proc) Up() bool {
	select {
	case <-p.done:
		return false
	default:
		return p.done != nil
	}
}

// leased counts the daemons that serve a plan under valid leases. One may be
// ready a little longer than that, by its last records.
func (f *Fleet) leased() int {
	n := 0
	for _, p := range f.Daemons {
		if _, ok := f.version(p); p.Up() && ok {
			n++
		}
	}
	return n
}

// leaseLooks bounds how long daemons may be without valid leases once the fleet is
// back: it may be found so before the leases of a leader that was killed lapse.
const leaseLooks = 2 * time.Second

// holds asks that every daemon serves an acknowledged plan under valid leases in
// time, and that none serves an older one under valid leases at any look.
func (f *Fleet) holds(ctx context.Context, r *Report, acknowledged uint64) {
	for _, p := range f.Daemons {
		if !p.Up() {
			continue
		}
		in := Until(ctx, leaseLooks, func() bool {
			now, ok := f.version(p)
			if ok && now < acknowledged {
				r.Fail("plan %d was acknowledged, %s serves %d", acknowledged, p.Name, now)
			}
			return ok
		})
		if !in {
			r.Fail("plan %d was acknowledged, %s has no valid leases for %v", acknowledged, p.Name, leaseLooks)
		}
	}
}

func (f *Fleet) disks() (out []*Proc) {
	for _, p := range f.Daemons {
		if p.Data != "" && p.Up() {
			out = append(out, p)
		}
	}
	return out
}

// cut severs a daemon from addresses, both ways unless one is set.
func (f *Fleet) cut(a, b []*Proc, one bool) {
	list := func(ps []*Proc) []string {
		out := []string{}
		for _, p := range ps {
			out = append(out, p.Wire)
		}
		return out
	}
	for _, p := range a {
		f.Call("POST", p.Addr, "/test/cut", list(b))
	}
	if !one {
		for _, p := range b {
			f.Call("POST", p.Addr, "/test/cut", list(a))
		}
	}
}

func (f *Fleet) heal() {
	for _, p := range f.Daemons {
		f.Call("POST", p.Addr, "/test/cut", []string{})
	}
}

// version is the plan version that a daemon serves under valid leases.
func (f *Fleet) version(p *Proc) (uint64, bool) {
	st, ok := f.State(p)
	return st.PlanVersion, ok && st.PlanValid
}

// leasedVersion is the first plan version that a daemon serves under valid
// leases; a change of leader leaves it without one for a moment. 0: none came.
func (f *Fleet) leasedVersion(ctx context.Context, p *Proc) (version uint64) {
	Until(ctx, 2*time.Second, func() bool {
		now, ok := f.version(p)
		version = now
		return ok
	})
	return version
}

// change sends a named change of one tenant's timeout and reports the verdict.
func (f *Fleet) change(addr, id string, base uint64, timeout int) (int, fleetconfig.Verdict) {
	code, b := f.Call("POST", addr, "/v1/plan/changes", fleetconfig.Changes{ID: id, Base: base, Changes: []fleetconfig.Change{
		{Op: "set-tenant", Tenant: &fleetconfig.Tenant{Name: "regular", Priority: 4, TimeoutMillis: timeout, QueueFraction: 0.6}},
	}})
	return code, f.told(id, base, code, b)
}

// watch writes down every daemon's plan all the time, for the judge: none may
// go back, and an acknowledged one is in force everywhere within the bound.
// The function it returns waits for the end and says how often it looked.
func (f *Fleet) watch(ctx context.Context) func() int {
	var wg sync.WaitGroup
	var looks atomic.Int64
	look := func(p *Proc) {
		defer wg.Done()
		for ctx.Err() == nil {
			asked := time.Now().UnixNano()
			code, b := f.Call("GET", p.Addr, "/readyz", nil)
			var w leadercall.Response
			if code == 200 && json.Unmarshal(b, &w) == nil && w.Plan != "" {
				looks.Add(1)
				f.Recorder.Put(history.Event{At: asked, Who: p.Name, Ev: "serves", Plan: w.Plan, Ver: w.Version})
			}
			wait(ctx, 40*time.Millisecond)
		}
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		seen := map[*Proc]bool{}
		for ctx.Err() == nil {
			f.mu.Lock()
			for _, p := range f.Daemons {
				if !seen[p] {
					seen[p] = true
					wg.Add(1)
					go look(p)
				}
			}
			f.mu.Unlock()
			wait(ctx, 200*time.Millisecond)
		}
	}()
	return func() int { wg.Wait(); return int(looks.Load()) }
}

// Scenarios are the failures that can be brought about.
var Scenarios = func() map[string]Scenario {
	all := map[string]Scenario{}
	for _, part := range []map[string]Scenario{daemons, cores, plans, servers} {
		maps.Copy(all, part)
	}
	return all
}()

// voting tells whether a daemon has a vote in every part, with the part's
// whole state, and no group is half changed.
func (f *Fleet) voting(p *Proc) bool {
	me, ok := f.State(p)
	if !ok {
		return false
	}
	for _, partition := range me.Partitions {
		own := f.Leader(partition.Partition)
		if own == nil {
			return false
		}
		st, ok := f.State(own)
		if !ok {
			return false
		}
		g := st.Partitions[partition.Partition].Group
		if len(g.Next) > 0 || !g.Has(me.Me.Ident) || partition.LastCompleteTerm != st.Partitions[partition.Partition].LastCompleteTerm {
			return false
		}
	}
	return true
}

// roll restarts every daemon with a warning, one after another.
func (f *Fleet) roll(ctx context.Context, r *Report, change func(*Proc), what string) {
	from := time.Now()
	f.mu.Lock()
	list := append([]*Proc(nil), f.Daemons...)
	f.mu.Unlock()
	for _, p := range list {
		f.Signal(p, syscall.SIGTERM)
		if !Until(ctx, 13*time.Second, func() bool { return !p.Up() }) {
			r.Fail("%s still runs 13s after the warning", p.Name)
			f.Kill(p)
		}
		if change != nil {
			change(p)
		}
		if err := f.Up(p); err != nil {
			r.Fail("%v", err)
			return
		}
		if !Until(ctx, 12*time.Second, func() bool { code, _ := f.Call("GET", p.Addr, "/readyz", nil); return code == 200 }) {
			_, b := f.Call("GET", p.Addr, "/readyz", nil)
			r.Fail("%s isn't ready 12s after its restart: %s", p.Name, b)
		}
	}
	r.Say("%d daemons %s with a warning, one after another, in %.0fs", len(list), what, time.Since(from).Seconds())
}

// Told counts the explained requests of all daemons whose end has this reason.
//
// Example: n := f.Told("the client takes no pieces")
func (f *Fleet) Told(why string) int {
	n := 0
	for _, p := range f.Daemons {
		_, b := f.Call("GET", p.Addr, "/v1/why/all", nil)
		n += strings.Count(string(b), `"why":"`+why)
	}
	return n
}
