package track

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"syscall"
	"time"

	"mulleinmast/control/fleetconfig"
)

// coreScenarios are failures of control daemons, zones and disks.
var coreScenarios = map[string]Scenario{
	"cut-core": func(ctx context.Context, f *Fleet, r *Report) {
		control := f.controlDaemons()
		f.cut(control[:1], control[1:], false)
		sleep(ctx, 4*time.Second)
		f.heal()
		f.awaitRecovery(ctx, r, 12*time.Second, "one control daemon partitioned from the other two for 4s")
		f.cut(control[1:2], control[:1], true)
		sleep(ctx, 3*time.Second)
		f.heal()
		f.awaitRecovery(ctx, r, 12*time.Second, "one-way partition between control daemons for 3s")
	},
	"alone": func(ctx context.Context, f *Fleet, r *Report) {
		last := f.Daemons[len(f.Daemons)-1]
		f.cut([]*Proc{last}, f.Daemons[:len(f.Daemons)-1], false)
		sleep(ctx, 4*time.Second)
		if code, _ := f.Call("GET", last.Addr, "/readyz", nil); code == 200 {
			r.Failf("%s is cut off but reports ready", last.Name)
		}
		f.heal()
		f.awaitRecovery(ctx, r, 12*time.Second, "a single machine partitioned for 4s")
	},
	"lost-zone": func(ctx context.Context, f *Fleet, r *Report) {
		zone := f.Daemons[0].Zone
		var out []*Proc
		for _, p := range append(append([]*Proc(nil), f.Daemons...), f.FakeServers...) {
			if p.Zone == zone {
				out = append(out, p)
				f.Signal(p, syscall.SIGKILL)
			}
		}
		for _, p := range out {
			<-p.done
		}
		f.awaitRecovery(ctx, r, 12*time.Second, zone+" lost completely")
		for _, p := range out {
			_ = f.Up(p)
		}
		f.awaitRecovery(ctx, r, 20*time.Second, zone+" back")
	},
	"stall-disk": func(ctx context.Context, f *Fleet, r *Report) {
		p := f.Leader(0)
		f.Call("POST", p.Addr, "/test/stall?for=1500ms", nil)
		v := f.leasedVersion(ctx, f.Daemons[0])
		from := time.Now()
		code, _ := f.changeTenant(f.Daemons[1].Addr, "stalled", v, 6000)
		r.Logf("change while the leader's disk stalls: status %d after %.1fs", code, time.Since(from).Seconds())
		sleep(ctx, 3*time.Second)
		f.Call("POST", p.Addr, "/test/stall?for=0s", nil)
		f.awaitRecovery(ctx, r, 12*time.Second, "leader's disk stalled")
	},
	"disk-full": func(ctx context.Context, f *Fleet, r *Report) {
		p := f.Leader(0)
		f.Call("POST", p.Addr, "/test/full?on=1", nil)
		big := func(id string, base uint64, n int) (int, uint64) { // requires the database file to grow
			plan := f.Plan(id, base)
			for k := 0; k < n; k++ { // hash names don't compress
				name := fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%s-%d", id, k)))
				plan.Tenants = append(plan.Tenants, fleetconfig.Tenant{Name: name, Priority: k % 10, TimeoutMillis: 1000, QueueFraction: 0.5})
			}
			code, b := f.Call("PUT", f.Daemons[1].Addr, "/v1/plan", plan)
			return code, f.recordVerdict(id, base, code, b).Version
		}
		v := f.leasedVersion(ctx, f.Daemons[1])
		code, got := big("one-full", v, 400)
		r.Logf("large plan while the leader's disk is full: status %d", code)
		if code != 200 {
			r.Failf("large plan refused although two of three disks had space: status %d", code)
		}
		if f.CountLogLines("database or disk is full") == 0 {
			r.Failf("no daemon logged a full disk")
		}
		f.Kill(p) // no acknowledged record may depend on the full disk
		_ = f.Up(p)
		f.awaitRecovery(ctx, r, 12*time.Second, "leader with a full disk killed")
		if code == 200 {
			f.checkPlanKept(ctx, r, got)
		}
		control := f.controlDaemons()
		for _, p := range control[:2] {
			f.Call("POST", p.Addr, "/test/full?on=1", nil)
		}
		v = f.leasedVersion(ctx, f.Daemons[1])
		from := time.Now()
		code, got = big("two-full", v, 4000)
		r.Logf("plan while two of three disks are full: status %d after %.1fs", code, time.Since(from).Seconds())
		if code == 200 {
			r.Failf("plan %d was acknowledged with only one of three disks writable", got)
		}
		for _, p := range control[:2] {
			f.Call("POST", p.Addr, "/test/full?on=0", nil)
		}
		f.awaitRecovery(ctx, r, 12*time.Second, "space on every disk again")
	},
	"two-disks": func(ctx context.Context, f *Fleet, r *Report) {
		// A majority of the disks is lost: the fleet must report it and serve no plan.
		control := f.controlDaemons()
		v := f.leasedVersion(ctx, f.Daemons[1])
		for _, p := range control[:2] {
			f.Signal(p, syscall.SIGKILL)
		}
		for _, p := range control[:2] {
			<-p.done
			if err := f.Wipe(p); err != nil {
				r.Failf("%v", err)
			}
			_ = f.Up(p)
		}
		sleep(ctx, 6*time.Second)
		for _, p := range f.Daemons {
			if now, ok := f.validPlanVersion(p); ok {
				r.Failf("%s serves plan %d with a majority of the disks lost (before: %d)", p.Name, now, v)
			}
		}
		code, b := f.Call("POST", f.Daemons[1].Addr, "/v1/plan/changes", fleetconfig.Changes{ID: "none", Base: v, Changes: []fleetconfig.Change{{Op: "drop-tenant", Name: "bulk"}}})
		if code != 503 && code != 504 {
			r.Failf("change with a majority of the disks lost: status %d, %s", code, b)
		}
		_, why := f.Call("GET", control[2].Addr, "/readyz", nil)
		r.Logf("two of three disks lost: changes return status %d, the third daemon reports %s", code, strings.TrimSpace(string(why)))
		if !strings.Contains(string(why), "majority") {
			r.Failf("the third daemon does not report the lost majority")
		}
	},
	"exchange": func(ctx context.Context, f *Fleet, r *Report) {
		// Every control daemon is replaced with an empty one at a new address.
		for _, old := range f.controlDaemons() {
			f.Kill(old)
			var seeds []string
			for _, p := range f.controlDaemons() {
				seeds = append(seeds, p.Wire)
			}
			p, err := f.Add(old.Zone, true, append(seeds, fmt.Sprintf("127.0.0.1:%d", f.basePort+len(f.Daemons))))
			if err != nil {
				r.Failf("%v", err)
				return
			}
			if !Until(ctx, 45*time.Second, func() bool { return f.isVoter(p) }) {
				r.Failf("%s got no replica within 45s", p.Name)
				return
			}
			r.Logf("%s replaced with the empty %s", old.Name, p.Name)
		}
		f.awaitRecovery(ctx, r, 20*time.Second, "all control daemons replaced")
		// The new leader is killed, too. Most seeds of its config no longer exist, but
		// its stored groups name the running replicas.
		if p := f.Leader(0); p != nil {
			f.Kill(p)
			_ = f.Up(p)
			f.awaitRecovery(ctx, r, 12*time.Second, "a replacement control daemon killed and restarted")
		}
		// A daemon without a disk that knows only the old seeds reports it, and joins
		// once one of its seeds is running, with or without a disk.
		last := f.Daemons[f.Layout.Zones[0]-1]
		f.Kill(last)
		_ = f.Up(last)
		if !Until(ctx, 5*time.Second, func() bool {
			_, b := f.Call("GET", last.Addr, "/readyz", nil)
			return strings.Contains(string(b), "asked at the seeds")
		}) {
			r.Failf("%s knows only dead seeds but does not report it", last.Name)
		}
		f.Kill(last)
		var near *Proc
		for _, p := range f.Daemons {
			if p.Data == "" && p != last && p.Up() {
				near = p
			}
		}
		f.daemonArgs(last, []string{near.Wire, fmt.Sprintf("127.0.0.1:%d", f.basePort), fmt.Sprintf("127.0.0.1:%d", f.basePort+1)})
		_ = f.Up(last)
		f.awaitRecovery(ctx, r, 12*time.Second, "daemon joined through a seed without a disk")
	},
}
