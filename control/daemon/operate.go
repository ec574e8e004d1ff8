package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

const mostBody = 16 << 20

// Respond writes a JSON answer; one to come back for carries Retry-After.
//
// Example: daemon.Respond(w, 503, leadercall.Response{Result: "refused", RetryAfterMillis: 1500})
func Respond(w http.ResponseWriter, code int, v any) {
	b, ok := v.([]byte)
	if !ok {
		b = leadercall.Pack(v)
	}
	var word leadercall.Response
	if code >= 500 || code == http.StatusTooManyRequests {
		_ = json.Unmarshal(b, &word)
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (word.RetryAfterMillis+999)/1000), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(b, '\n'))
}

// ReadBody reads a request's body up to a bound; what is wrong was answered.
//
// Example: b, ok := daemon.ReadBody(w, r, 1<<20)
func ReadBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		Respond(w, http.StatusRequestEntityTooLarge, leadercall.Response{Result: "broken", Faults: []string{fmt.Sprintf("body: more than %d bytes", most)}})
	case err != nil:
		// What did not come whole may be in order: nothing is said of it.
		Respond(w, http.StatusRequestTimeout, leadercall.Response{Result: "not done", Reason: "body: " + err.Error()})
	}
	return b, err == nil
}

// operate lays out the calls for operators and the platform.
func (c *Daemon) operate() {
	m := c.Mux
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) { Respond(w, 200, leadercall.Response{Result: "live"}) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if c.ready.Load() && c.isReady() {
			id, version, _ := c.Plan()
			Respond(w, 200, leadercall.Response{Result: "ready", Plan: id, Version: version})
			return
		}
		Respond(w, 503, leadercall.Response{Result: "not ready", Reason: c.unready(), RetryAfterMillis: 1000})
	})
	m.HandleFunc("GET /v1/plan/template", func(w http.ResponseWriter, r *http.Request) { Respond(w, 200, fleetconfig.Template()) })
	m.HandleFunc("GET /v1/plan", func(w http.ResponseWriter, r *http.Request) {
		ctx, done := context.WithTimeout(r.Context(), c.Cfg.Bounds.Plan)
		defer done()
		rec, ok := c.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
		if !ok {
			Respond(w, 503, leadercall.Response{Result: "not known", Reason: "no valid lease on the plan", RetryAfterMillis: part2(c.Cfg)})
			return
		}
		Respond(w, 200, c.plans.Open(rec))
	})
	m.HandleFunc("PUT /v1/plan", func(w http.ResponseWriter, r *http.Request) { c.operator(w, r, 0, "plan", nil) })
	m.HandleFunc("POST /v1/plan/changes", func(w http.ResponseWriter, r *http.Request) { c.operator(w, r, 0, "changes", nil) })
	zones := func(w http.ResponseWriter, r *http.Request) {
		op, zone := r.PathValue("op"), r.PathValue("zone")
		if op != "evacuate" && op != "return" || !fleetconfig.IsValidName(zone) {
			Respond(w, 404, leadercall.Response{Result: "broken", Faults: []string{fmt.Sprintf("zone %q, op %q: expected a zone's name and evacuate or return", zone, op)}})
			return
		}
		known := false
		for range c.View().MembersIn(zone) {
			known = true
		}
		if !known { // carried out all the same: it may have servers and no daemon
			w.Header().Set("Warning", fmt.Sprintf("299 - \"no daemon of the fleet is in zone %s\"", zone))
		}
		c.operator(w, r, 0, op, func([]byte) ([]byte, fleetconfig.Faults) { return []byte(zone), fleetconfig.Faults{} })
	}
	replicas := func(w http.ResponseWriter, r *http.Request) {
		c.operator(w, r, 0, "seat", func(b []byte) ([]byte, fleetconfig.Faults) {
			var in leader.ReplicaCall
			f := fleetconfig.Decode(b, &in)
			if _, err := netip.ParseAddrPort(in.Addr); err != nil || in.Ident == "" || in.Out == "" {
				f.Add("expected out (an identity), ident and addr (ip:port)")
			}
			return leadercall.Pack(in), f
		})
	}
	m.HandleFunc("POST /v1/zones/{zone}/{op}", zones)
	m.HandleFunc("POST /v1/replicas", replicas)
	m.HandleFunc("POST /v1/cells/{zone}/{op}", zones) // as operators' older scripts call them
	m.HandleFunc("POST /v1/seats", replicas)
	m.HandleFunc("PUT /v1/services/{service}/servers", func(w http.ResponseWriter, r *http.Request) {
		svc := r.PathValue("service")
		c.operator(w, r, c.Partition(svc), "servers", func(b []byte) ([]byte, fleetconfig.Faults) {
			var l fleetconfig.List
			f := fleetconfig.Decode(b, &l)
			if !fleetconfig.IsValidName(svc) {
				f.Add("service: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", svc)
			}
			bad := l.Validate()
			f.List = append(f.List, bad.List...)
			return leadercall.Pack(leader.ServersCall{Service: svc, List: l}), f
		})
	})
	m.HandleFunc("GET /v1/services/{service}/servers", func(w http.ResponseWriter, r *http.Request) {
		svc := r.PathValue("service")
		ctx, done := context.WithTimeout(r.Context(), c.Cfg.Bounds.Plan)
		defer done()
		if !fleetconfig.IsValidName(svc) {
			Respond(w, 404, leadercall.Response{Result: "broken", Faults: []string{"no such service"}})
			return
		}
		rec, ok := c.AwaitRecord(ctx, c.Partition(svc), fleetconfig.ListKey(svc))
		if !ok {
			Respond(w, 503, leadercall.Response{Result: "not known", RetryAfterMillis: part2(c.Cfg)})
			return
		}
		if rec.Deleted {
			Respond(w, 404, leadercall.Response{Result: "not known", Reason: "no list for service " + svc})
			return
		}
		Respond(w, 200, rec.Value)
	})
	m.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) { Respond(w, 200, c.State()) })
	m.HandleFunc("GET /v1/ring", func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		from, err := strconv.ParseUint(since, 10, 64)
		if err != nil && since != "" {
			Respond(w, 400, leadercall.Response{Result: "broken", Faults: []string{fmt.Sprintf("since: %q: expected a line's number", since)}})
			return
		}
		Respond(w, 200, map[string]any{"ident": c.me.Ident, "addr": c.Cfg.HTTPAddr, "lines": c.Events.Since(from)})
	})
	if c.arch != nil {
		m.HandleFunc("POST /v1/backup", func(w http.ResponseWriter, r *http.Request) {
			to := r.URL.Query().Get("to")
			if !filepath.IsAbs(to) {
				Respond(w, 400, leadercall.Response{Result: "broken", Faults: []string{fmt.Sprintf("to: %q: expected the full path of a file that isn't there yet", to)}})
				return
			}
			if err := c.arch.Backup(to); err != nil {
				Respond(w, 400, leadercall.Response{Result: "not done", Reason: err.Error()})
				return
			}
			c.Events.Record("disk", "backed up to %s", to)
			Respond(w, 200, leadercall.Response{Result: "done"})
		})
	}
	if c.Cfg.TestSwitches {
		c.switches(m)
	}
}

func (c *Daemon) unready() string {
	why := c.WhySuperseded()
	switch {
	case why != "":
		return "the state in " + c.Cfg.DataFolder + " is superseded: " + why
	case c.stop.Load():
		return "stopping"
	case !c.View().HasSession:
		return "no session with a control daemon; asked at the seeds " + strings.Join(c.Cfg.Seeds, ", ")
	}
	for _, s := range c.shards {
		s.mu.Lock()
		var g message.Group
		if s.Partition().Replica != nil {
			g = s.Partition().Replica.Group()
		}
		s.mu.Unlock()
		here := 0
		there := func(id string) bool {
			_, ok := c.View().Find(id)
			if ok {
				here++
			}
			return ok
		}
		if g.Number > 0 && !g.HasQuorum(there) {
			return fmt.Sprintf("partition %d: %d of its group's %d disks are here, a majority is needed; bring the others back, or restore their folders from a back-up", s.partition, here, len(g.All()))
		}
	}
	if n, why := c.unreadable(); n > 0 {
		return fmt.Sprintf("%d records can't be read by this build; the log names them, one is: %v", n, why)
	}
	return "no valid leases on the configuration"
}

// operator takes a control call and passes it to the partition's leader.
func (c *Daemon) operator(w http.ResponseWriter, r *http.Request, p int, op string, turn func([]byte) ([]byte, fleetconfig.Faults)) {
	b, ok := ReadBody(w, r, mostBody)
	if !ok {
		return
	}
	if turn != nil {
		var f fleetconfig.Faults
		if b, f = turn(b); f.Any() {
			Respond(w, 400, leadercall.Response{Result: "broken", Faults: f.List})
			return
		}
	}
	code, rep := c.Call(r.Context(), p, op, b, 2*c.Cfg.Bounds.Plan)
	c.Events.Record("call", "%s: %d", op, code)
	Respond(w, code, rep)
}

// PartitionView is one partition as this daemon sees it.
type PartitionView struct {
	Partition        int                `json:"part"`
	Leader           message.Leadership `json:"owner"`
	LedHere          bool               `json:"mine"`
	Group            message.Group      `json:"group"`
	LastCompleteTerm uint64             `json:"set"`
	Records          int                `json:"records"`
	Lease            lease.View         `json:"node"`
	Servers          []placement.Row    `json:"servers,omitempty"`
}

// State is the dump that the query shell reads.
type State struct {
	Fleet       string           `json:"fleet"`
	Me          message.Member   `json:"me"`
	Members     []message.Member `json:"members"`
	Live        bool             `json:"live"`
	PlanVersion uint64           `json:"plan_version"`
	PlanValid   bool             `json:"plan_valid"`
	ZonesOut    []string         `json:"cells_out"`
	Partitions  []PartitionView  `json:"parts"`
	Superseded  string           `json:"superseded,omitempty"`
	WireCounts  [3]int64         `json:"wire_sent_got_lost"`
	Traffic     map[string]any   `json:"traffic,omitempty"`
}

// State dumps what this daemon knows.
//
// Example: json.Marshal(c.State())
func (c *Daemon) State() State {
	v := c.View()
	st := State{Superseded: c.WhySuperseded(), Fleet: c.Cfg.Fleet, Me: v.Me, Members: v.Members, Live: v.HasSession, ZonesOut: []string{}, WireCounts: [3]int64{c.Transport.Sent.Load(), c.Transport.Received.Load(), c.Transport.Dropped.Load()}}
	_, st.PlanVersion, st.PlanValid = c.Plan()
	if r, ok := c.Read(0, fleetconfig.ZoneKey); ok {
		for zone := range fleetconfig.OpenZones(r) {
			st.ZonesOut = append(st.ZonesOut, zone)
		}
		sort.Strings(st.ZonesOut)
	}
	for _, s := range c.shards {
		s.mu.Lock()
		now := c.Now()
		p := PartitionView{Partition: s.partition, Leader: v.Leaderships[s.partition], LedHere: s.IsLeader(now), Lease: s.Partition().Node.View(now)}
		if s.Partition().Replica != nil {
			p.Group, p.LastCompleteTerm, p.Records = s.Partition().Replica.Group(), s.Partition().Replica.Meta().LastComplete, s.Partition().Replica.Records().Size()
		}
		p.Servers = s.Rows(now)
		s.mu.Unlock()
		st.Partitions = append(st.Partitions, p)
	}
	if c.TrafficState != nil {
		st.Traffic = c.TrafficState()
	}
	return st
}
