package track

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// daemonScenarios are failures of daemons.
var daemonScenarios = map[string]Scenario{
	"calm": func(context.Context, *Fleet, *Report) {},
	"kill-leader": func(ctx context.Context, f *Fleet, r *Report) {
		for partition := 0; partition < 2; partition++ {
			p := f.Leader(partition)
			if p == nil {
				r.Failf("partition %d has no leader", partition)
				return
			}
			f.Kill(p)
			from := time.Now()
			if !Until(ctx, 12*time.Second, func() bool { return f.Leader(partition) != nil }) {
				r.Failf("partition %d got no new leader within 12s", partition)
			}
			r.Logf("partition %d: new leader %.1fs after kill -9 of %s", partition, time.Since(from).Seconds(), p.Name)
			_ = f.Up(p)
			f.awaitRecovery(ctx, r, 12*time.Second, "leader restarted")
		}
	},
	"kill-all": func(ctx context.Context, f *Fleet, r *Report) {
		v := f.leasedVersion(ctx, f.Daemons[0])
		code, verdict := f.changeTenant(f.Daemons[0].Addr, "before-kill", v, 9000)
		for _, p := range f.Daemons {
			f.Signal(p, syscall.SIGKILL)
		}
		for _, p := range f.Daemons {
			<-p.done
			_ = f.Up(p)
		}
		f.awaitRecovery(ctx, r, 12*time.Second, "all daemons killed")
		if code == 200 {
			f.checkPlanKept(ctx, r, verdict.Version)
		}
		r.Logf("plan %d sent just before the kill: status %d", verdict.Version, code)
	},
	"lost-disk": func(ctx context.Context, f *Fleet, r *Report) {
		p := f.Leader(0)
		v := f.leasedVersion(ctx, f.Daemons[0])
		code, verdict := f.changeTenant(p.Addr, "before-loss", v, 9100)
		f.Kill(p)
		if err := f.Wipe(p); err != nil {
			r.Failf("%v", err)
		}
		_ = f.Up(p)
		f.awaitRecovery(ctx, r, 12*time.Second, "leader killed right after an acknowledgement, disk lost")
		if code == 200 {
			f.checkPlanKept(ctx, r, verdict.Version)
		}
		if !Until(ctx, 30*time.Second, func() bool { return f.isVoter(p) }) {
			r.Failf("the daemon with the lost disk got no replicas within 30s")
		}
		r.Logf("the daemon with the lost disk has a replica of every partition")
	},
	"freeze-leader": func(ctx context.Context, f *Fleet, r *Report) {
		for i := 0; i < 2; i++ {
			p := f.Leader(i)
			if p == nil {
				r.Failf("partition %d has no leader", i)
				return
			}
			f.Signal(p, syscall.SIGSTOP)
			sleep(ctx, 2500*time.Millisecond)
			f.Signal(p, syscall.SIGCONT)
			f.awaitRecovery(ctx, r, 12*time.Second, p.Name+" froze for 2.5s")
		}
	},
	"freeze-others": func(ctx context.Context, f *Fleet, r *Report) {
		for i := 1; i < len(f.Daemons); i += 2 {
			if f.Daemons[i].Data == "" {
				f.Signal(f.Daemons[i], syscall.SIGSTOP)
			}
		}
		sleep(ctx, 1500*time.Millisecond)
		for _, p := range f.Daemons {
			f.Signal(p, syscall.SIGCONT)
		}
		f.awaitRecovery(ctx, r, 12*time.Second, "every second diskless daemon froze for 1.5s")
	},
	"suspend": func(ctx context.Context, f *Fleet, r *Report) {
		// As after a suspend: the clock has advanced by 30s, but no timer has fired yet.
		for i, p := range []*Proc{f.Leader(0), f.Leader(1), f.Daemons[len(f.Daemons)-1]} {
			if p == nil {
				r.Failf("no leader to suspend")
				return
			}
			code, b := f.Call("POST", p.Addr, "/test/leap?by=30s", nil)
			var seen struct {
				Held  int  `json:"parts_still_held"`
				Valid bool `json:"plan_still_valid"`
			}
			if err := json.Unmarshal(b, &seen); err != nil || code != 200 || seen.Held > 0 || seen.Valid {
				r.Failf("%s resumed after 30s and still holds leases or leaderships of %d partitions, plan valid: %v (status %d)", p.Name, seen.Held, seen.Valid, code)
			}
			f.awaitRecovery(ctx, r, 12*time.Second, fmt.Sprintf("%s suspended for 30s (%d of 3)", p.Name, i+1))
		}
	},
	"roll": func(ctx context.Context, f *Fleet, r *Report) { f.rollingRestart(ctx, r, nil, "restarted") },
	"versions": func(ctx context.Context, f *Fleet, r *Report) {
		if f.OtherBuild == "" {
			r.Failf("flag -old is required: a folder with another build's mulleinmast")
			return
		}
		f.rollingRestart(ctx, r, func(p *Proc) { p.otherBuild = true }, "switched to the other build")
		v := f.leasedVersion(ctx, f.Daemons[0])
		if code, _ := f.changeTenant(f.Daemons[0].Addr, "on-old", v, 8100); code != 200 {
			r.Failf("change on the other build: status %d", code)
		}
		f.rollingRestart(ctx, r, func(p *Proc) { p.otherBuild = false }, "switched back to this build")
	},
}
