package track

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
	"mulleinmast/proof/load"
)

// Plan is the stand-in plan of the layout.
//
// Example: f.Call("PUT", addr, "/v1/plan", f.Plan("id", 0))
func (f *Fleet) Plan(id string, base uint64) fleetconfig.Plan {
	p := fleetconfig.Plan{ID: id, Base: base}
	for _, t := range load.Tenants {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: t.Name, Priority: t.Prio, TimeoutMillis: 10000, QueueFraction: 0.6})
	}
	for _, s := range f.Layout.Order {
		p.Services = append(p.Services, fleetconfig.Service{Name: s, PrefillServers: 1, DecodeServers: 1})
	}
	return p
}

// Servers sends the platform's list of every service.
//
// Example: err := f.Servers(f.Daemons[0].Addr)
func (f *Fleet) Servers(addr string) error {
	for svc, list := range f.Svc {
		if code, b := f.Call("PUT", addr, "/v1/services/"+svc+"/servers", fleetconfig.List{Servers: list}); code != 200 {
			return fmt.Errorf("servers of %s: %d %s", svc, code, b)
		}
	}
	return nil
}

// Serving tells whether every service has a prefill server and a decode server up.
//
// Example: track.Until(ctx, limit, f.Serving)
func (f *Fleet) Serving() bool {
	seen := map[string]map[string]bool{}
	for _, p := range f.Daemons {
		st, ok := f.State(p)
		if !ok {
			continue
		}
		for _, partition := range st.Partitions {
			for _, r := range partition.Servers {
				if r.Status == "up" && r.NextRole == "" && (r.Role == "maker" || len(r.Pairs) > 0) {
					if seen[r.Service] == nil {
						seen[r.Service] = map[string]bool{}
					}
					seen[r.Service][r.Role] = true
				}
			}
		}
	}
	for _, s := range f.Layout.Order {
		if len(seen[s]) < 2 {
			return false
		}
	}
	return true
}

// Begin waits for the fleet, sends the plan and the lists, and waits until
// every service is served.
//
// Example: err := f.Begin(ctx)
func (f *Fleet) Begin(ctx context.Context) error {
	if !Until(ctx, 30*time.Second, func() bool { return f.Ready() == len(f.Daemons) }) {
		why := ""
		for _, p := range f.Daemons {
			if code, b := f.Call("GET", p.Addr, "/readyz", nil); code != 200 {
				st, _ := f.State(p)
				why += fmt.Sprintf("\n%s %s: %d %s", p.Name, p.Wire, code, b)
				if len(st.Partitions) > 0 {
					n := st.Partitions[0].Lease
					why += fmt.Sprintf("  members %d, leader of part 0 %v, parent %v, lease %d ms", len(st.Members), st.Partitions[0].Leader, n.Parent, n.LeaseLeft)
				}
			}
		}
		return fmt.Errorf("only %d of %d daemons became ready:%s", f.Ready(), len(f.Daemons), why)
	}
	last := f.Daemons[len(f.Daemons)-1].Addr
	code, b := f.Call("PUT", last, "/v1/plan", f.Plan("first", 0))
	f.told("first", 0, code, b)
	if code != 200 {
		return fmt.Errorf("plan: %d %s", code, b)
	}
	if err := f.Servers(last); err != nil {
		return err
	}
	if !Until(ctx, 30*time.Second, f.Serving) {
		return fmt.Errorf("servers did not come up")
	}
	return nil
}

// told writes down what an operator was told of a plan.
func (f *Fleet) told(id string, base uint64, code int, body []byte) (v fleetconfig.Verdict) {
	_ = json.Unmarshal(body, &v)
	if code != 0 {
		f.Recorder.Put(history.Event{Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result})
	}
	return v
}

// Load runs a mix against daemons and returns the clients' journal.
//
// Example: ev := f.Load(ctx, load.Config{Rate: 50, For: 10 * time.Second})
func (f *Fleet) Load(ctx context.Context, c load.Config) []history.Event {
	f.mu.Lock()
	f.plans++
	path := filepath.Join(f.Dir, fmt.Sprintf("loadgen-%d.jsonl", f.plans))
	f.files = append(f.files, path)
	f.mu.Unlock()
	c.Mix = f.Layout.Name
	if c.Targets == nil {
		c.Pick = f.Plat.Pick
		for i := range f.Layout.Zones {
			c.Zones = append(c.Zones, fmt.Sprintf("zone-%c", 'a'+i))
		}
	}
	if c.Most == 0 {
		c.Most = 100000
	}
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	recorder, err := history.Open(path)
	if err != nil {
		panic(err)
	}
	load.Run(ctx, c, recorder)
	ev, err := history.Read(path)
	if err != nil {
		panic(err)
	}
	return ev
}

// Verdict joins all journals and names the rules broken.
//
// Example: rows := f.Verdict()
func (f *Fleet) Verdict() ([]judge.Break, int) {
	var all []history.Event
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.files {
		ev, err := history.Read(p)
		if err != nil {
			return []judge.Break{{Rule: "journal", What: err.Error()}}, 0
		}
		all = append(all, ev...)
	}
	return judge.All(all, judge.Default()), len(all)
}

// Numbers sums the daemons' counters.
//
// Example: n := f.Numbers()
func (f *Fleet) Numbers() map[string]int64 {
	sum := map[string]int64{}
	for _, p := range f.Daemons {
		st, ok := f.State(p)
		if !ok {
			continue
		}
		c, _ := st.Traffic["counts"].(map[string]any)
		for k, v := range c {
			x, _ := v.(float64)
			sum[k] += int64(x)
		}
	}
	return sum
}
