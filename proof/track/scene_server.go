package track

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/proof/load"
)

// servers is what befalls servers and traffic.
var servers = map[string]Scenario{
	"servers-roll": func(ctx context.Context, f *Fleet, r *Report) {
		for i, p := range f.FakeServers {
			if i%3 == 0 {
				f.Kill(p)
				wait(ctx, 300*time.Millisecond)
				_ = f.Up(p)
				wait(ctx, 700*time.Millisecond)
			}
		}
		f.back(ctx, r, 20*time.Second, "every third server killed and restarted, one after another")
	},
	"servers-bad": func(ctx context.Context, f *Fleet, r *Report) {
		for _, fault := range []map[string]any{{"lapse": true}, {"foreign": true}, {"break": 3}, {"skip": true}, {"deaf": true}, {"slow": 5}, {"link_ns": 200000000}} {
			for i, p := range f.FakeServers {
				if i%4 == 1 || fault["lapse"] == true || fault["foreign"] == true {
					f.Call("POST", p.Addr, "/fault", fault)
				}
			}
			wait(ctx, 1200*time.Millisecond)
			for _, p := range f.FakeServers {
				f.Call("POST", p.Addr, "/fault", map[string]any{})
			}
			wait(ctx, 300*time.Millisecond)
		}
		f.back(ctx, r, 20*time.Second, "handles lapsed and foreign, streams broken and gapped, servers deaf and slow, links slow")
	},
	"slow-clients": func(ctx context.Context, f *Fleet, r *Report) {
		for _, p := range f.FakeServers {
			f.Call("POST", p.Addr, "/fault", map[string]any{"fast": true})
		}
		var wg sync.WaitGroup
		var whole atomic.Int64
		from := time.Now()
		for i := 0; i < 8; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				raw, _ := json.Marshal(map[string]any{"model": f.Layout.Order[i%2], "tenant": "bulk", "tokens": 60000, "budget_ms": 60000, "parts": []map[string]any{{"text": fmt.Sprintf("stuck %d", i)}}})
				if _, ok := load.Stuck(ctx, f.Daemons[i%len(f.Daemons)].Addr, raw, 7*time.Second); ok {
					whole.Add(1)
				}
			}()
		}
		// Their streams are broken off and their decode servers freed long before the deadline.
		if !Until(ctx, 10*time.Second, func() bool { return f.Told("the client takes no pieces") >= 8 }) {
			r.Fail("%d of 8 stuck clients were broken off after 10s", f.Told("the client takes no pieces"))
		}
		r.Say("8 clients that stopped reading were broken off within %.1fs of a timeout of 60s", time.Since(from).Seconds())
		wg.Wait()
		if n := whole.Load(); n > 0 {
			r.Fail("%d of the broken streams looked whole", n)
		}
		for _, p := range f.FakeServers {
			f.Call("POST", p.Addr, "/fault", map[string]any{})
		}
	},
	"crowd": func(ctx context.Context, f *Fleet, r *Report) {
		ev := f.Load(ctx, load.Config{Rate: 500, For: 5 * time.Second, Seed: 99, Timeout: 3 * time.Second, Swing: -1})
		sum := load.Sum(ev)
		for _, t := range load.Tenants {
			r.Say("crowd: %s served %.2f, median %v, 99th %v", t.Name, sum.Served[t.Name], sum.P50[t.Name].Round(time.Millisecond), sum.P99[t.Name].Round(time.Millisecond))
		}
		r.Say("crowd: results %v, refused told at the 99th in %v", sum.Results, sum.Refusal.Round(time.Millisecond))
		if sum.Served["express"] < sum.Served["bulk"] {
			r.Fail("the urgent tenant was served less than the least urgent")
		}
	},
	"swing": func(ctx context.Context, f *Fleet, r *Report) {
		for i, part := range []float64{1, 0, 1} {
			ev := f.Load(ctx, load.Config{Rate: 420, For: 16 * time.Second, Seed: int64(50 + i), Timeout: 4 * time.Second, Swing: part})
			sum := load.Sum(ev)
			r.Say("swing to %.0f long: %v, first piece median %v, %d shifts of part so far", part, sum.Results, sum.First.Round(time.Millisecond), f.Story("(shift)"))
		}
	},
}
