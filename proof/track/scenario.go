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

// Report is the result of a scenario.
type Report struct {
	Load       load.Report
	Notes      []string
	Counts     map[string]int64
	Violations []judge.Break
	Events     int
	Failed     bool
}

// Logf records an observation.
//
// Example: r.Logf("leader back after %v", took)
func (r *Report) Logf(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Failf records a failure and marks the scenario as failed.
//
// Example: r.Failf("no leader after %v", limit)
func (r *Report) Failf(format string, args ...any) {
	r.Failed = true
	r.Logf("FAILED "+format, args...)
}

// Scenario injects failures or operator calls while load runs.
type Scenario func(ctx context.Context, f *Fleet, r *Report)

// Names returns the sorted names of the scenarios.
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

// Play runs a scenario under load and checks the rules on the recorded histories.
//
// Example: rep := f.Play(ctx, track.Scenarios["calm"], cfg)
func (f *Fleet) Play(ctx context.Context, scenario Scenario, c load.Config) *Report {
	r := &Report{}
	var ev []history.Event
	var wg sync.WaitGroup
	loadCtx, stop := context.WithCancel(ctx)
	f.Platform.Check()
	go f.Platform.Serve(loadCtx)
	observationCount := f.monitorPlans(loadCtx)
	wg.Add(1)
	go func() { defer wg.Done(); ev = f.Load(ctx, c) }()
	t := time.NewTimer(c.For / 5)
	<-t.C
	scenario(ctx, f, r)
	wg.Wait()
	stop()
	r.Logf("%d readiness checks recorded the plans of daemons", observationCount())
	r.Load = load.Sum(ev)
	r.Counts = f.TrafficCounts()
	for _, line := range f.violations() {
		r.Failf("%s", line)
	}
	r.Violations, r.Events = f.Judge()
	return r
}

// violations returns the nonzero invariant violation metrics of the running daemons.
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

// CountLogLines counts occurrences of a word in the event logs of all daemons.
//
// Example: shifts := f.CountLogLines("(shift)")
func (f *Fleet) CountLogLines(word string) int {
	n := 0
	for _, p := range f.Daemons {
		_, b := f.Call("GET", p.Addr, "/v1/ring", nil)
		n += strings.Count(string(b), word)
	}
	return n
}

// sleep waits for a period or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// awaitRecovery waits until every daemon is ready and serves a plan under valid leases,
// and every service is served.
func (f *Fleet) awaitRecovery(ctx context.Context, r *Report, limit time.Duration, event string) {
	from := time.Now()
	f.Recorder.Put(history.Event{Ev: "mended"}) // starts the recovery time that the judge checks
	if !Until(ctx, limit, func() bool {
		return f.Ready() == f.runningCount() && f.leasedCount() == f.runningCount() && f.Serving()
	}) {
		r.Failf("%s: %d of %d daemons ready, %d under valid leases, serving %v after %v", event, f.Ready(), f.runningCount(), f.leasedCount(), f.Serving(), limit)
		return
	}
	r.Logf("%s: recovered after %.1fs (bound %v)", event, time.Since(from).Seconds(), limit)
}

// runningCount returns the number of running daemons.
func (f *Fleet) runningCount() int {
	n := 0
	for _, p := range f.Daemons {
		if p.Up() {
			n++
		}
	}
	return n
}

// Up reports whether the process is running.
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

// leasedCount returns the number of daemons that serve a plan under valid leases. A
// daemon without valid leases may stay ready for a short time, on its last records.
func (f *Fleet) leasedCount() int {
	n := 0
	for _, p := range f.Daemons {
		if _, ok := f.validPlanVersion(p); p.Up() && ok {
			n++
		}
	}
	return n
}

// leaseTimeout limits how long a daemon may lack valid leases after recovery: the fleet
// may appear recovered before the leases of a killed leader expire.
const leaseTimeout = 2 * time.Second

// checkPlanKept checks that every daemon serves at least the acknowledged plan under
// valid leases within leaseTimeout, and that none serves an older one under valid leases.
func (f *Fleet) checkPlanKept(ctx context.Context, r *Report, acknowledged uint64) {
	for _, p := range f.Daemons {
		if !p.Up() {
			continue
		}
		in := Until(ctx, leaseTimeout, func() bool {
			now, ok := f.validPlanVersion(p)
			if ok && now < acknowledged {
				r.Failf("plan %d was acknowledged, but %s serves plan %d", acknowledged, p.Name, now)
			}
			return ok
		})
		if !in {
			r.Failf("plan %d was acknowledged, but %s has no valid leases for %v", acknowledged, p.Name, leaseTimeout)
		}
	}
}

// controlDaemons returns the running daemons with a disk.
func (f *Fleet) controlDaemons() (out []*Proc) {
	for _, p := range f.Daemons {
		if p.Data != "" && p.Up() {
			out = append(out, p)
		}
	}
	return out
}

// cut blocks messages from a to b, and those from b to a unless oneWay is set.
func (f *Fleet) cut(a, b []*Proc, oneWay bool) {
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
	if !oneWay {
		for _, p := range b {
			f.Call("POST", p.Addr, "/test/cut", list(a))
		}
	}
}

// heal removes all cuts.
func (f *Fleet) heal() {
	for _, p := range f.Daemons {
		f.Call("POST", p.Addr, "/test/cut", []string{})
	}
}

// validPlanVersion returns the plan version that a daemon serves under valid leases.
func (f *Fleet) validPlanVersion(p *Proc) (uint64, bool) {
	st, ok := f.State(p)
	return st.PlanVersion, ok && st.PlanValid
}

// leasedVersion waits for valid leases, which a change of leader interrupts briefly, and
// returns the plan version served, or the last one seen after 2s.
func (f *Fleet) leasedVersion(ctx context.Context, p *Proc) (version uint64) {
	Until(ctx, 2*time.Second, func() bool {
		now, ok := f.validPlanVersion(p)
		version = now
		return ok
	})
	return version
}

// changeTenant changes one tenant's timeout and returns the status and the verdict.
func (f *Fleet) changeTenant(addr, id string, base uint64, timeout int) (int, fleetconfig.Verdict) {
	code, b := f.Call("POST", addr, "/v1/plan/changes", fleetconfig.Changes{ID: id, Base: base, Changes: []fleetconfig.Change{
		{Op: "set-tenant", Tenant: &fleetconfig.Tenant{Name: "regular", Priority: 4, TimeoutMillis: timeout, QueueFraction: 0.6}},
	}})
	return code, f.recordVerdict(id, base, code, b)
}

// monitorPlans records every daemon's plan until the context ends. The judge checks that
// no daemon returns to an older plan and that an acknowledged plan takes effect
// everywhere within the bound. The returned function waits for the end and returns the
// number of recorded observations.
func (f *Fleet) monitorPlans(ctx context.Context) func() int {
	var wg sync.WaitGroup
	var observations atomic.Int64
	observe := func(p *Proc) {
		defer wg.Done()
		for ctx.Err() == nil {
			asked := time.Now().UnixNano()
			code, b := f.Call("GET", p.Addr, "/readyz", nil)
			var w leadercall.Response
			if code == 200 && json.Unmarshal(b, &w) == nil && w.Plan != "" {
				observations.Add(1)
				f.Recorder.Put(history.Event{At: asked, Who: p.Name, Ev: "serves", Plan: w.Plan, Ver: w.Version})
			}
			sleep(ctx, 40*time.Millisecond)
		}
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		monitored := map[*Proc]bool{}
		for ctx.Err() == nil {
			f.mu.Lock()
			for _, p := range f.Daemons {
				if !monitored[p] {
					monitored[p] = true
					wg.Add(1)
					go observe(p)
				}
			}
			f.mu.Unlock()
			sleep(ctx, 200*time.Millisecond)
		}
	}()
	return func() int { wg.Wait(); return int(observations.Load()) }
}

// Scenarios are all scenarios by name.
var Scenarios = func() map[string]Scenario {
	all := map[string]Scenario{}
	for _, part := range []map[string]Scenario{daemonScenarios, coreScenarios, planScenarios, serverScenarios} {
		maps.Copy(all, part)
	}
	return all
}()

// isVoter reports whether a daemon is a voter with the complete state in every
// partition, and no group change is in progress.
func (f *Fleet) isVoter(p *Proc) bool {
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

// rollingRestart restarts the daemons one after another, each with SIGTERM.
func (f *Fleet) rollingRestart(ctx context.Context, r *Report, change func(*Proc), event string) {
	from := time.Now()
	f.mu.Lock()
	list := append([]*Proc(nil), f.Daemons...)
	f.mu.Unlock()
	for _, p := range list {
		f.Signal(p, syscall.SIGTERM)
		if !Until(ctx, 13*time.Second, func() bool { return !p.Up() }) {
			r.Failf("%s still runs 13s after SIGTERM", p.Name)
			f.Kill(p)
		}
		if change != nil {
			change(p)
		}
		if err := f.Up(p); err != nil {
			r.Failf("%v", err)
			return
		}
		if !Until(ctx, 12*time.Second, func() bool { code, _ := f.Call("GET", p.Addr, "/readyz", nil); return code == 200 }) {
			_, b := f.Call("GET", p.Addr, "/readyz", nil)
			r.Failf("%s is not ready 12s after its restart: %s", p.Name, b)
		}
	}
	r.Logf("%d daemons %s one after another in %.0fs", len(list), event, time.Since(from).Seconds())
}

// CountReasons counts the requests of all daemons that ended for a reason.
//
// Example: n := f.CountReasons("the client takes no pieces")
func (f *Fleet) CountReasons(why string) int {
	n := 0
	for _, p := range f.Daemons {
		_, b := f.Call("GET", p.Addr, "/v1/why/all", nil)
		n += strings.Count(string(b), `"why":"`+why)
	}
	return n
}
