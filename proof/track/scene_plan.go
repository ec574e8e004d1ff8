package track

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/history"
)

// planScenarios are actions of operators.
var planScenarios = map[string]Scenario{
	"evacuate": func(ctx context.Context, f *Fleet, r *Report) {
		zone := "zone-b"
		if code, b := f.Call("POST", f.Daemons[1].Addr, "/v1/zones/"+zone+"/evacuate", nil); code != 200 {
			r.Failf("evacuate: status %d, %s", code, b)
			return
		}
		f.Recorder.Put(history.Event{Ev: "evacuated", Zone: zone})
		sleep(ctx, 2*time.Second)
		if p := f.Leader(0); p != nil { // failover during the evacuation
			f.Kill(p)
			_ = f.Up(p)
		}
		sleep(ctx, 6*time.Second)
		f.Recorder.Put(history.Event{Ev: "returned", Zone: zone})
		if code, b := f.Call("POST", f.Daemons[2].Addr, "/v1/zones/"+zone+"/return", nil); code != 200 {
			r.Failf("return: status %d, %s", code, b)
		}
		f.awaitRecovery(ctx, r, 12*time.Second, zone+" evacuated under load, with a leader killed, and returned")
	},
	"leaving": func(ctx context.Context, f *Fleet, r *Report) {
		svc := f.Layout.Order[0]
		list := append([]fleetconfig.Server(nil), f.ServersOf[svc]...)
		list[0].Leaving = true
		if code, b := f.Call("PUT", f.Daemons[3].Addr, "/v1/services/"+svc+"/servers", fleetconfig.List{Servers: list}); code != 200 {
			r.Failf("server list: status %d, %s", code, b)
			return
		}
		f.Recorder.Put(history.Event{Ev: "leaving", Who: list[0].Addr})
		last := f.FakeServers[len(f.FakeServers)-1] // a server that reports itself that it is leaving
		f.Call("POST", last.Addr, "/fault", map[string]any{"leaving": true})
		f.Recorder.Put(history.Event{Ev: "leaving", Who: last.Addr})
		sleep(ctx, 7*time.Second)
		f.Recorder.Put(history.Event{Ev: "staying", Who: list[0].Addr})
		f.Recorder.Put(history.Event{Ev: "staying", Who: last.Addr})
		f.Call("POST", last.Addr, "/fault", map[string]any{})
		_ = f.SendServers(f.Daemons[3].Addr)
	},
	"plans": func(ctx context.Context, f *Fleet, r *Report) {
		v := f.leasedVersion(ctx, f.Daemons[0])
		conflict, accepted := 0, 0
		for i := 0; i < 12; i++ {
			// Two operators concurrently send a change on the same base.
			var wg sync.WaitGroup
			var codes [2]int
			var verdicts [2]fleetconfig.Verdict
			for k := 0; k < 2; k++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					codes[k], verdicts[k] = f.changeTenant(f.Daemons[(i*2+k*5)%len(f.Daemons)].Addr, fmt.Sprintf("race-%d-%d", i, k), v, 8000+i*10+k)
				}()
			}
			wg.Wait()
			sleep(ctx, 250*time.Millisecond)
			acked := 0
			for k := range codes {
				switch codes[k] {
				case 200:
					acked, accepted, v = acked+1, accepted+1, verdicts[k].Version
				case 409:
					conflict++
				}
			}
			if acked > 1 {
				r.Failf("two concurrent plans on one base were both acknowledged: %v", verdicts)
			}
			if i == 6 { // an invalid plan is refused completely
				invalid := f.Plan("broken", v)
				invalid.Tenants = append(invalid.Tenants, invalid.Tenants[0], fleetconfig.Tenant{Name: "x y", Priority: 12})
				code, b := f.Call("PUT", f.Daemons[4].Addr, "/v1/plan", invalid)
				if verdict := f.recordVerdict("broken", v, code, b); code != 400 || len(verdict.Faults) < 4 {
					r.Failf("invalid plan: status %d, %s", code, b)
				}
			}
			if i == 8 { // a large plan is accepted
				large := f.Plan("large", v)
				for k := 0; k < 3000; k++ {
					large.Tenants = append(large.Tenants, fleetconfig.Tenant{Name: fmt.Sprintf("tenant-%d", k), Priority: k % 10, TimeoutMillis: 1000, QueueFraction: 0.5})
				}
				code, b := f.Call("PUT", f.Daemons[5].Addr, "/v1/plan", large)
				if v = f.recordVerdict("large", v, code, b).Version; code != 200 {
					r.Failf("large plan: status %d, %.200s", code, b)
				}
			}
		}
		r.Logf("%d changes acknowledged, %d in conflict", accepted, conflict)
		if accepted < 6 || conflict < 6 {
			r.Failf("too few races: %d changes acknowledged, %d in conflict", accepted, conflict)
		}
	},
	"plans-kills": func(ctx context.Context, f *Fleet, r *Report) {
		for i := 0; i < 5; i++ {
			v, ok := f.validPlanVersion(f.Daemons[1])
			if !ok {
				sleep(ctx, 200*time.Millisecond)
				continue
			}
			_, verdict := f.changeTenant(f.Daemons[1].Addr, fmt.Sprintf("kill-%d", i), v, 7000+i)
			if p := f.Leader(0); p != nil { // immediately after the acknowledgement
				f.Kill(p)
				// A call without a leader gets a prompt and correct answer.
				from := time.Now()
				code, _ := f.changeTenant(f.Daemons[1].Addr, fmt.Sprintf("during-%d", i), verdict.Version, 7100+i)
				if took := time.Since(from); took > 6*time.Second {
					r.Failf("change without a leader took %v (status %d)", took, code)
				}
				_ = f.Up(p)
			}
			f.awaitRecovery(ctx, r, 12*time.Second, "leader of the configuration killed after an acknowledgement")
		}
	},
}
