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

// serverScenarios are failures of servers and kinds of traffic.
var serverScenarios = map[string]Scenario{
	"servers-roll": func(ctx context.Context, f *Fleet, r *Report) {
		for i, p := range f.FakeServers {
			if i%3 == 0 {
				f.Kill(p)
				sleep(ctx, 300*time.Millisecond)
				_ = f.Up(p)
				sleep(ctx, 700*time.Millisecond)
			}
		}
		f.awaitRecovery(ctx, r, 20*time.Second, "every third server killed and restarted, one after another")
	},
	"servers-bad": func(ctx context.Context, f *Fleet, r *Report) {
		for _, fault := range []map[string]any{{"lapse": true}, {"foreign": true}, {"break": 3}, {"skip": true}, {"deaf": true}, {"slow": 5}, {"link_ns": 200000000}} {
			for i, p := range f.FakeServers {
				if i%4 == 1 || fault["lapse"] == true || fault["foreign"] == true {
					f.Call("POST", p.Addr, "/fault", fault)
				}
			}
			sleep(ctx, 1200*time.Millisecond)
			for _, p := range f.FakeServers {
				f.Call("POST", p.Addr, "/fault", map[string]any{})
			}
			sleep(ctx, 300*time.Millisecond)
		}
		f.awaitRecovery(ctx, r, 20*time.Second, "expired and foreign handles, broken and incomplete streams, unresponsive and slow servers, slow links")
	},
	"slow-clients": func(ctx context.Context, f *Fleet, r *Report) {
		for _, p := range f.FakeServers {
			f.Call("POST", p.Addr, "/fault", map[string]any{"fast": true})
		}
		var wg sync.WaitGroup
		var complete atomic.Int64
		from := time.Now()
		for i := 0; i < 8; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				raw, _ := json.Marshal(map[string]any{"model": f.Layout.Order[i%2], "tenant": "bulk", "tokens": 60000, "budget_ms": 60000, "parts": []map[string]any{{"text": fmt.Sprintf("stuck %d", i)}}})
				if _, ok := load.Stuck(ctx, f.Daemons[i%len(f.Daemons)].Addr, raw, 7*time.Second); ok {
					complete.Add(1)
				}
			}()
		}
		// Their streams are aborted and their decode slots released long before the deadline.
		if !Until(ctx, 10*time.Second, func() bool { return f.CountReasons("the client takes no pieces") >= 8 }) {
			r.Failf("%d of 8 stalled clients were disconnected within 10s", f.CountReasons("the client takes no pieces"))
		}
		r.Logf("8 clients that stopped reading were disconnected after %.1fs, with a timeout of 60s", time.Since(from).Seconds())
		wg.Wait()
		if n := complete.Load(); n > 0 {
			r.Failf("%d of the aborted streams appeared complete", n)
		}
		for _, p := range f.FakeServers {
			f.Call("POST", p.Addr, "/fault", map[string]any{})
		}
	},
	"crowd": func(ctx context.Context, f *Fleet, r *Report) {
		ev := f.Load(ctx, load.Config{Rate: 500, For: 5 * time.Second, Seed: 99, Timeout: 3 * time.Second, LongShare: -1})
		report := load.Sum(ev)
		for _, t := range load.Tenants {
			r.Logf("crowd: %s served %.2f, median %v, 99th %v", t.Name, report.Served[t.Name], report.P50[t.Name].Round(time.Millisecond), report.P99[t.Name].Round(time.Millisecond))
		}
		r.Logf("crowd: results %v, 99th percentile of the time to a refusal %v", report.Results, report.Refusal.Round(time.Millisecond))
		if report.Served["express"] < report.Served["bulk"] {
			r.Failf("the most urgent tenant was served less than the least urgent one")
		}
	},
	"swing": func(ctx context.Context, f *Fleet, r *Report) {
		for i, part := range []float64{1, 0, 1} {
			ev := f.Load(ctx, load.Config{Rate: 420, For: 16 * time.Second, Seed: int64(50 + i), Timeout: 4 * time.Second, LongShare: part})
			report := load.Sum(ev)
			r.Logf("swing to long share %.0f: %v, median time to first piece %v, %d role shifts so far", part, report.Results, report.First.Round(time.Millisecond), f.CountLogLines("(shift)"))
		}
	},
}
