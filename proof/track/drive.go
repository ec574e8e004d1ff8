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

// Plan returns a plan for the layout.
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

// SendServers sends the server list of every service.
//
// Example: err := f.SendServers(f.Daemons[0].Addr)
func (f *Fleet) SendServers(addr string) error {
	for svc, list := range f.ServersOf {
		if code, b := f.Call("PUT", addr, "/v1/services/"+svc+"/servers", fleetconfig.List{Servers: list}); code != 200 {
			return fmt.Errorf("server list of %s refused: status %d, %s", svc, code, b)
		}
	}
	return nil
}

// Serving reports whether every service has an available prefill server and decode server.
//
// Example: track.Until(ctx, limit, f.Serving)
func (f *Fleet) Serving() bool {
	roles := map[string]map[string]bool{}
	for _, p := range f.Daemons {
		st, ok := f.State(p)
		if !ok {
			continue
		}
		for _, partition := range st.Partitions {
			for _, r := range partition.Servers {
				if r.Status == "up" && r.NextRole == "" && (r.Role == "maker" || len(r.Pairs) > 0) {
					if roles[r.Service] == nil {
						roles[r.Service] = map[string]bool{}
					}
					roles[r.Service][r.Role] = true
				}
			}
		}
	}
	for _, s := range f.Layout.Order {
		if len(roles[s]) < 2 {
			return false
		}
	}
	return true
}

// Begin waits until all daemons are ready, sends the plan and the server lists, and
// waits until every service is served.
//
// Example: err := f.Begin(ctx)
func (f *Fleet) Begin(ctx context.Context) error {
	if !Until(ctx, 30*time.Second, func() bool { return f.Ready() == len(f.Daemons) }) {
		reasons := ""
		for _, p := range f.Daemons {
			if code, b := f.Call("GET", p.Addr, "/readyz", nil); code != 200 {
				st, _ := f.State(p)
				reasons += fmt.Sprintf("\n%s %s: %d %s", p.Name, p.Wire, code, b)
				if len(st.Partitions) > 0 {
					n := st.Partitions[0].Lease
					reasons += fmt.Sprintf("  members %d, leader of partition 0 %v, parent %v, lease %d ms", len(st.Members), st.Partitions[0].Leader, n.Parent, n.LeaseLeft)
				}
			}
		}
		return fmt.Errorf("only %d of %d daemons became ready within 30s:%s", f.Ready(), len(f.Daemons), reasons)
	}
	last := f.Daemons[len(f.Daemons)-1].Addr
	code, b := f.Call("PUT", last, "/v1/plan", f.Plan("first", 0))
	f.recordVerdict("first", 0, code, b)
	if code != 200 {
		return fmt.Errorf("plan refused: status %d, %s", code, b)
	}
	if err := f.SendServers(last); err != nil {
		return err
	}
	if !Until(ctx, 30*time.Second, f.Serving) {
		return fmt.Errorf("services are not served 30s after the server lists were sent")
	}
	return nil
}

// recordVerdict records the answer to a plan call in the history.
func (f *Fleet) recordVerdict(id string, base uint64, code int, body []byte) (v fleetconfig.Verdict) {
	_ = json.Unmarshal(body, &v)
	if code != 0 {
		f.Recorder.Put(history.Event{Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result})
	}
	return v
}

// Load runs a request mix against the daemons and returns the clients' history.
//
// Example: ev := f.Load(ctx, load.Config{Rate: 50, For: 10 * time.Second})
func (f *Fleet) Load(ctx context.Context, c load.Config) []history.Event {
	f.mu.Lock()
	f.loads++
	path := filepath.Join(f.Dir, fmt.Sprintf("loadgen-%d.jsonl", f.loads))
	f.histories = append(f.histories, path)
	f.mu.Unlock()
	c.Mix = f.Layout.Name
	if c.Targets == nil {
		c.Pick = f.Platform.Pick
		for i := range f.Layout.Zones {
			c.Zones = append(c.Zones, fmt.Sprintf("zone-%c", 'a'+i))
		}
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = 100000
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

// Judge merges all histories and returns the violated rules and the number of events.
//
// Example: violations, events := f.Judge()
func (f *Fleet) Judge() ([]judge.Break, int) {
	var all []history.Event
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.histories {
		ev, err := history.Read(p)
		if err != nil {
			return []judge.Break{{Rule: "journal", What: err.Error()}}, 0
		}
		all = append(all, ev...)
	}
	return judge.All(all, judge.Default()), len(all)
}

// TrafficCounts returns the sums of the daemons' traffic counters.
//
// Example: n := f.TrafficCounts()
func (f *Fleet) TrafficCounts() map[string]int64 {
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
