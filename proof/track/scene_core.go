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

// cores is what befalls the core, zones and disks.
var cores = map[string]Scenario{
	"cut-core": func(ctx context.Context, f *Fleet, r *Report) {
		d := f.disks()
		f.cut(d[:1], d[1:], false)
		wait(ctx, 4*time.Second)
		f.heal()
		f.back(ctx, r, 12*time.Second, "one disk machine cut from the other two for 4s")
		f.cut(d[1:2], d[:1], true)
		wait(ctx, 3*time.Second)
		f.heal()
		f.back(ctx, r, 12*time.Second, "one-way cut in the core for 3s")
	},
	"alone": func(ctx context.Context, f *Fleet, r *Report) {
		last := f.Daemons[len(f.Daemons)-1]
		f.cut([]*Proc{last}, f.Daemons[:len(f.Daemons)-1], false)
		wait(ctx, 4*time.Second)
		if code, _ := f.Call("GET", last.Addr, "/readyz", nil); code == 200 {
			r.Fail("%s is cut off and says that it is ready", last.Name)
		}
		f.heal()
		f.back(ctx, r, 12*time.Second, "a single machine cut off for 4s")
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
		f.back(ctx, r, 12*time.Second, zone+" lost whole")
		for _, p := range out {
			_ = f.Up(p)
		}
		f.back(ctx, r, 20*time.Second, zone+" back")
	},
	"stall-disk": func(ctx context.Context, f *Fleet, r *Report) {
		p := f.Leader(0)
		f.Call("POST", p.Addr, "/test/stall?for=1500ms", nil)
		v := f.leasedVersion(ctx, f.Daemons[0])
		from := time.Now()
		code, _ := f.change(f.Daemons[1].Addr, "stalled", v, 6000)
		r.Say("a change while the leader's disk stalls: %d after %.1fs", code, time.Since(from).Seconds())
		wait(ctx, 3*time.Second)
		f.Call("POST", p.Addr, "/test/stall?for=0s", nil)
		f.back(ctx, r, 12*time.Second, "leader's disk stalled")
	},
	"disk-full": func(ctx context.Context, f *Fleet, r *Report) {
		p := f.Leader(0)
		f.Call("POST", p.Addr, "/test/full?on=1", nil)
		big := func(id string, base uint64, n int) (int, uint64) { // needs room in the file
			plan := f.Plan(id, base)
			for k := 0; k < n; k++ { // names that don't shrink when they are packed
				name := fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%s-%d", id, k)))
				plan.Tenants = append(plan.Tenants, fleetconfig.Tenant{Name: name, Priority: k % 10, TimeoutMillis: 1000, QueueFraction: 0.5})
			}
			code, b := f.Call("PUT", f.Daemons[1].Addr, "/v1/plan", plan)
			return code, f.told(id, base, code, b).Version
		}
		v := f.leasedVersion(ctx, f.Daemons[1])
		code, got := big("one-full", v, 400)
		r.Say("the leader's disk is full: a plan that needs room: %d", code)
		if code != 200 {
			r.Fail("two of three disks had room: %d", code)
		}
		if f.Story("database or disk is full") == 0 {
			r.Fail("no daemon saw a full disk")
		}
		f.Kill(p) // what it could not write must not be missed
		_ = f.Up(p)
		f.back(ctx, r, 12*time.Second, "leader with a full disk killed")
		if code == 200 {
			f.holds(ctx, r, got)
		}
		d := f.disks()
		for _, p := range d[:2] {
			f.Call("POST", p.Addr, "/test/full?on=1", nil)
		}
		v = f.leasedVersion(ctx, f.Daemons[1])
		from := time.Now()
		code, got = big("two-full", v, 4000)
		r.Say("two disks of three are full: a plan: %d after %.1fs", code, time.Since(from).Seconds())
		if code == 200 {
			r.Fail("plan %d was acknowledged with one disk of three", got)
		}
		for _, p := range d[:2] {
			f.Call("POST", p.Addr, "/test/full?on=0", nil)
		}
		f.back(ctx, r, 12*time.Second, "room on every disk again")
	},
	"two-disks": func(ctx context.Context, f *Fleet, r *Report) {
		// More than the fleet bears: it must say so and invent nothing.
		d := f.disks()
		v := f.leasedVersion(ctx, f.Daemons[1])
		for _, p := range d[:2] {
			f.Signal(p, syscall.SIGKILL)
		}
		for _, p := range d[:2] {
			<-p.done
			if err := f.Wipe(p); err != nil {
				r.Fail("%v", err)
			}
			_ = f.Up(p)
		}
		wait(ctx, 6*time.Second)
		for _, p := range f.Daemons {
			if now, ok := f.version(p); ok {
				r.Fail("%s serves plan %d with a majority of the disks lost (it was %d)", p.Name, now, v)
			}
		}
		code, b := f.Call("POST", f.Daemons[1].Addr, "/v1/plan/changes", fleetconfig.Changes{ID: "none", Base: v, Changes: []fleetconfig.Change{{Op: "drop-tenant", Name: "bulk"}}})
		if code != 503 && code != 504 {
			r.Fail("a change with a majority of the disks lost: %d %s", code, b)
		}
		_, why := f.Call("GET", d[2].Addr, "/readyz", nil)
		r.Say("two disks of three lost: changes get %d, the third says %s", code, strings.TrimSpace(string(why)))
		if !strings.Contains(string(why), "majority") {
			r.Fail("the third doesn't say what is wrong")
		}
	},
	"exchange": func(ctx context.Context, f *Fleet, r *Report) {
		// Every core machine is exchanged for an empty one at a new address.
		for _, old := range f.disks() {
			f.Kill(old)
			var seeds []string
			for _, p := range f.disks() {
				seeds = append(seeds, p.Wire)
			}
			p, err := f.Add(old.Zone, true, append(seeds, fmt.Sprintf("127.0.0.1:%d", f.base+len(f.Daemons))))
			if err != nil {
				r.Fail("%v", err)
				return
			}
			if !Until(ctx, 45*time.Second, func() bool { return f.voting(p) }) {
				r.Fail("%s got no replica", p.Name)
				return
			}
			r.Say("%s exchanged for the empty %s", old.Name, p.Name)
		}
		f.back(ctx, r, 20*time.Second, "all core machines exchanged")
		// And one more fault: the new leader is killed. Its own config names seeds
		// of which most are gone; its groups name the living.
		if p := f.Leader(0); p != nil {
			f.Kill(p)
			_ = f.Up(p)
			f.back(ctx, r, 12*time.Second, "an exchanged core machine killed and restarted")
		}
		// A daemon without a disk that knows only the old seeds says so, and
		// joins with seeds of which one lives, disk or not.
		last := f.Daemons[f.Layout.Zones[0]-1]
		f.Kill(last)
		_ = f.Up(last)
		if !Until(ctx, 5*time.Second, func() bool {
			_, b := f.Call("GET", last.Addr, "/readyz", nil)
			return strings.Contains(string(b), "asked at the seeds")
		}) {
			r.Fail("%s knows only dead seeds and doesn't say so", last.Name)
		}
		f.Kill(last)
		var near *Proc
		for _, p := range f.Daemons {
			if p.Data == "" && p != last && p.Up() {
				near = p
			}
		}
		f.daemonArgs(last, []string{near.Wire, fmt.Sprintf("127.0.0.1:%d", f.base), fmt.Sprintf("127.0.0.1:%d", f.base+1)})
		_ = f.Up(last)
		f.back(ctx, r, 12*time.Second, "a daemon joined through a seed that has no disk")
	},
}
