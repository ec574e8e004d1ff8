package track

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/history"
)

// plans is what operators do.
var plans = map[string]Scenario{
	"evacuate": func(ctx context.Context, f *Fleet, r *Report) {
		zone := "zone-b"
		if code, b := f.Call("POST", f.Daemons[1].Addr, "/v1/zones/"+zone+"/evacuate", nil); code != 200 {
			r.Fail("evacuate: %d %s", code, b)
			return
		}
		f.Recorder.Put(history.Event{Ev: "evacuated", Zone: zone})
		wait(ctx, 2*time.Second)
		if p := f.Leader(0); p != nil { // a leader fails over in the middle of it
			f.Kill(p)
			_ = f.Up(p)
		}
		wait(ctx, 6*time.Second)
		f.Recorder.Put(history.Event{Ev: "returned", Zone: zone})
		if code, b := f.Call("POST", f.Daemons[2].Addr, "/v1/zones/"+zone+"/return", nil); code != 200 {
			r.Fail("return: %d %s", code, b)
		}
		f.back(ctx, r, 12*time.Second, zone+" evacuated under load, a leader killed meanwhile, and returned")
	},
	"leaving": func(ctx context.Context, f *Fleet, r *Report) {
		svc := f.Layout.Order[0]
		list := append([]fleetconfig.Server(nil), f.Svc[svc]...)
		list[0].Leaving = true
		if code, b := f.Call("PUT", f.Daemons[3].Addr, "/v1/services/"+svc+"/servers", fleetconfig.List{Servers: list}); code != 200 {
			r.Fail("list: %d %s", code, b)
			return
		}
		f.Recorder.Put(history.Event{Ev: "leaving", Who: list[0].Addr})
		last := f.FakeServers[len(f.FakeServers)-1] // another one says so itself
		f.Call("POST", last.Addr, "/fault", map[string]any{"leaving": true})
		f.Recorder.Put(history.Event{Ev: "leaving", Who: last.Addr})
		wait(ctx, 7*time.Second)
		f.Recorder.Put(history.Event{Ev: "staying", Who: list[0].Addr})
		f.Recorder.Put(history.Event{Ev: "staying", Who: last.Addr})
		f.Call("POST", last.Addr, "/fault", map[string]any{})
		_ = f.Servers(f.Daemons[3].Addr)
	},
	"plans": func(ctx context.Context, f *Fleet, r *Report) {
		v := f.leasedVersion(ctx, f.Daemons[0])
		conflict, won := 0, 0
		for i := 0; i < 12; i++ {
			// Two operators send a change on the same base at the same time.
			var wg sync.WaitGroup
			var codes [2]int
			var got [2]fleetconfig.Verdict
			for k := 0; k < 2; k++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					codes[k], got[k] = f.change(f.Daemons[(i*2+k*5)%len(f.Daemons)].Addr, fmt.Sprintf("race-%d-%d", i, k), v, 8000+i*10+k)
				}()
			}
			wg.Wait()
			wait(ctx, 250*time.Millisecond)
			yes := 0
			for k := range codes {
				switch codes[k] {
				case 200:
					yes, won, v = yes+1, won+1, got[k].Version
				case 409:
					conflict++
				}
			}
			if yes > 1 {
				r.Fail("two racing plans on one base were both acknowledged: %v", got)
			}
			if i == 6 { // a broken one is refused whole
				bad := f.Plan("broken", v)
				bad.Tenants = append(bad.Tenants, bad.Tenants[0], fleetconfig.Tenant{Name: "x y", Priority: 12})
				code, b := f.Call("PUT", f.Daemons[4].Addr, "/v1/plan", bad)
				if verdict := f.told("broken", v, code, b); code != 400 || len(verdict.Faults) < 4 {
					r.Fail("broken plan: %d %s", code, b)
				}
			}
			if i == 8 { // and a large one is taken
				big := f.Plan("large", v)
				for k := 0; k < 3000; k++ {
					big.Tenants = append(big.Tenants, fleetconfig.Tenant{Name: fmt.Sprintf("tenant-%d", k), Priority: k % 10, TimeoutMillis: 1000, QueueFraction: 0.5})
				}
				code, b := f.Call("PUT", f.Daemons[5].Addr, "/v1/plan", big)
				if v = f.told("large", v, code, b).Version; code != 200 {
					r.Fail("large plan: %d %.200s", code, b)
				}
			}
		}
		r.Say("%d changes won, %d were in conflict", won, conflict)
		if won < 6 || conflict < 6 {
			r.Fail("too few races: %d won, %d in conflict", won, conflict)
		}
	},
	"plans-kills": func(ctx context.Context, f *Fleet, r *Report) {
		for i := 0; i < 5; i++ {
			v, ok := f.version(f.Daemons[1])
			if !ok {
				wait(ctx, 200*time.Millisecond)
				continue
			}
			_, got := f.change(f.Daemons[1].Addr, fmt.Sprintf("kill-%d", i), v, 7000+i)
			if p := f.Leader(0); p != nil { // right after the acknowledgement
				f.Kill(p)
				// An operator's call meanwhile gets a prompt, truthful answer.
				from := time.Now()
				code, _ := f.change(f.Daemons[1].Addr, fmt.Sprintf("during-%d", i), got.Version, 7100+i)
				if took := time.Since(from); took > 6*time.Second {
					r.Fail("a change without a leader took %v (%d)", took, code)
				}
				_ = f.Up(p)
			}
			f.back(ctx, r, 12*time.Second, "leader of the configuration killed after an acknowledgement")
		}
	},
}
