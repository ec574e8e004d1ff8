package cabin

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
	"time"

	"mulleinmast/control/errand"
	"mulleinmast/control/interlock"
	"mulleinmast/control/master"
	"mulleinmast/control/purge"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

const mostBody = 16 << 20

// Reply writes a JSON reply; one to come back for carries Retry-After.
//
// Example: cabin.Reply(w, 503, errand.Word{Result: "shed", After: 1500})
func Reply(w http.ResponseWriter, code int, v any) {
	b, ok := v.([]byte)
	if !ok {
		b = errand.Pack(v)
	}
	var word errand.Word
	if code >= 500 || code == http.StatusTooManyRequests {
		_ = json.Unmarshal(b, &word)
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (word.After+999)/1000), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(b, '\n'))
}

// Body reads a request's body up to a bound; what is wrong was replied.
//
// Example: b, ok := cabin.Body(w, r, 1<<20)
func Body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		Reply(w, http.StatusRequestEntityTooLarge, errand.Word{Result: "broken", Faults: []string{fmt.Sprintf("body: more than %d bytes", most)}})
	case err != nil:
		Reply(w, http.StatusBadRequest, errand.Word{Result: "broken", Faults: []string{"body: " + err.Error()}})
	}
	return b, err == nil
}

// operate lays out the calls for operators and the platform.
func (c *Cabin) operate() {
	m := c.Mux
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) { Reply(w, 200, errand.Word{Result: "live"}) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if c.ready.Load() && c.isReady() {
			id, version, _ := c.Plan()
			Reply(w, 200, errand.Word{Result: "ready", Plan: id, Version: version})
			return
		}
		Reply(w, 503, errand.Word{Result: "not ready", Why: c.unready(), After: 1000})
	})
	m.HandleFunc("GET /v1/plan/template", func(w http.ResponseWriter, r *http.Request) { Reply(w, 200, tariff.Template()) })
	m.HandleFunc("GET /v1/plan", func(w http.ResponseWriter, r *http.Request) {
		ctx, done := context.WithTimeout(r.Context(), c.Cfg.Bounds.Plan)
		defer done()
		rec, ok := c.Await(ctx, 0, tariff.PlanKey)
		if !ok {
			Reply(w, 503, errand.Word{Result: "not known", Why: "no valid lease on the plan", After: part2(c.Cfg)})
			return
		}
		Reply(w, 200, c.plans.Open(rec))
	})
	m.HandleFunc("PUT /v1/plan", func(w http.ResponseWriter, r *http.Request) { c.operator(w, r, 0, "plan", nil) })
	m.HandleFunc("POST /v1/plan/changes", func(w http.ResponseWriter, r *http.Request) { c.operator(w, r, 0, "changes", nil) })
	m.HandleFunc("POST /v1/cells/{cell}/{op}", func(w http.ResponseWriter, r *http.Request) {
		op, cell := r.PathValue("op"), r.PathValue("cell")
		if op != "evacuate" && op != "return" || !tariff.GoodName(cell) {
			Reply(w, 404, errand.Word{Result: "broken", Faults: []string{fmt.Sprintf("cell %q, op %q: expected a cell's name and evacuate or return", cell, op)}})
			return
		}
		known := false
		for range c.View().In(cell) {
			known = true
		}
		if !known { // carried out all the same: it may have servers and no daemon
			w.Header().Set("Warning", fmt.Sprintf("299 - \"no daemon of the fleet is in cell %s\"", cell))
		}
		c.operator(w, r, 0, op, func([]byte) ([]byte, tariff.Faults) { return []byte(cell), tariff.Faults{} })
	})
	m.HandleFunc("POST /v1/seats", func(w http.ResponseWriter, r *http.Request) {
		c.operator(w, r, 0, "seat", func(b []byte) ([]byte, tariff.Faults) {
			var in master.SeatCall
			f := tariff.Decode(b, &in)
			if _, err := netip.ParseAddrPort(in.Addr); err != nil || in.Ident == "" || in.Out == "" {
				f.Add("expected out (an identity), ident and addr (ip:port)")
			}
			return errand.Pack(in), f
		})
	})
	m.HandleFunc("PUT /v1/services/{service}/servers", func(w http.ResponseWriter, r *http.Request) {
		svc := r.PathValue("service")
		c.operator(w, r, c.Part(svc), "servers", func(b []byte) ([]byte, tariff.Faults) {
			var l tariff.List
			f := tariff.Decode(b, &l)
			if !tariff.GoodName(svc) {
				f.Add("service: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", svc)
			}
			bad := l.Check()
			f.List = append(f.List, bad.List...)
			return errand.Pack(master.ServersCall{Service: svc, List: l}), f
		})
	})
	m.HandleFunc("GET /v1/services/{service}/servers", func(w http.ResponseWriter, r *http.Request) {
		svc := r.PathValue("service")
		ctx, done := context.WithTimeout(r.Context(), c.Cfg.Bounds.Plan)
		defer done()
		if !tariff.GoodName(svc) {
			Reply(w, 404, errand.Word{Result: "broken", Faults: []string{"no such service"}})
			return
		}
		rec, ok := c.Await(ctx, c.Part(svc), tariff.ListKey(svc))
		if !ok {
			Reply(w, 503, errand.Word{Result: "not known", After: part2(c.Cfg)})
			return
		}
		if rec.Dead {
			Reply(w, 404, errand.Word{Result: "not known", Why: "no list for service " + svc})
			return
		}
		Reply(w, 200, rec.Val)
	})
	m.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) { Reply(w, 200, c.State()) })
	m.HandleFunc("GET /v1/ring", func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		from, err := strconv.ParseUint(since, 10, 64)
		if err != nil && since != "" {
			Reply(w, 400, errand.Word{Result: "broken", Faults: []string{fmt.Sprintf("since: %q: expected a line's number", since)}})
			return
		}
		Reply(w, 200, map[string]any{"ident": c.me.Ident, "addr": c.Cfg.Web, "lines": c.Book.Since(from)})
	})
	if c.arch != nil {
		m.HandleFunc("POST /v1/backup", func(w http.ResponseWriter, r *http.Request) {
			to := r.URL.Query().Get("to")
			if !filepath.IsAbs(to) {
				Reply(w, 400, errand.Word{Result: "broken", Faults: []string{fmt.Sprintf("to: %q: expected the full path of a file that isn't there yet", to)}})
				return
			}
			if err := c.arch.Backup(to); err != nil {
				Reply(w, 400, errand.Word{Result: "not done", Why: err.Error()})
				return
			}
			c.Book.Note("disk", "backed up to %s", to)
			Reply(w, 200, errand.Word{Result: "done"})
		})
	}
	if c.Cfg.Test {
		m.HandleFunc("POST /test/cut", func(w http.ResponseWriter, r *http.Request) {
			var list []string
			if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
				Reply(w, 400, errand.Word{Result: "broken", Faults: []string{err.Error()}})
				return
			}
			cut := map[string]bool{}
			for _, a := range list {
				cut[a] = true
			}
			c.Line.Cut.Store(&cut)
			Reply(w, 200, errand.Word{Result: "done"})
		})
		m.HandleFunc("POST /test/leap", func(w http.ResponseWriter, r *http.Request) {
			d, err := time.ParseDuration(r.URL.Query().Get("by"))
			if err != nil || d < 0 {
				Reply(w, 400, errand.Word{Result: "broken", Faults: []string{"by: expected a length of time, such as 30s"}})
				return
			}
			c.clock.Leap(d)
			// What is still served, owned or held the moment after, if anything.
			st := c.State()
			held := 0
			for _, p := range st.Parts {
				if p.Mine || p.Node.Left > 0 {
					held++
				}
			}
			Reply(w, 200, map[string]any{"result": "done", "parts_still_held": held, "plan_still_valid": st.PlanOK})
		})
		m.HandleFunc("POST /test/full", func(w http.ResponseWriter, r *http.Request) {
			if c.arch == nil {
				Reply(w, 400, errand.Word{Result: "broken", Faults: []string{"no data folder here"}})
				return
			}
			if err := c.arch.Full(r.URL.Query().Get("on") == "1"); err != nil {
				Reply(w, 500, errand.Word{Result: "not done", Why: err.Error()})
				return
			}
			Reply(w, 200, errand.Word{Result: "done"})
		})
		m.HandleFunc("POST /test/stall", func(w http.ResponseWriter, r *http.Request) {
			d, err := time.ParseDuration(r.URL.Query().Get("for"))
			if err != nil {
				Reply(w, 400, errand.Word{Result: "broken", Faults: []string{err.Error()}})
				return
			}
			c.stall.Store(int64(d))
			Reply(w, 200, errand.Word{Result: "done"})
		})
	}
}

func (c *Cabin) unready() string {
	switch {
	case c.stop.Load():
		return "stopping"
	case !c.View().Live:
		return "no session with a control daemon; asked at the seeds " + strings.Join(c.Cfg.Seeds, ", ")
	}
	for _, s := range c.shards {
		s.mu.Lock()
		var g form.Group
		if s.Section().Seat != nil {
			g = s.Section().Seat.Group()
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
		if g.Num > 0 && !g.Quorum(there) {
			return fmt.Sprintf("part %d: %d of its group's %d disks are here, a majority is needed; bring the others back, or restore their folders from a back-up", s.part, here, len(g.All()))
		}
	}
	return "no valid leases on the configuration"
}

// operator takes a control call and passes it to the part's owner.
func (c *Cabin) operator(w http.ResponseWriter, r *http.Request, p int, op string, turn func([]byte) ([]byte, tariff.Faults)) {
	b, ok := Body(w, r, mostBody)
	if !ok {
		return
	}
	if turn != nil {
		var f tariff.Faults
		if b, f = turn(b); f.Any() {
			Reply(w, 400, errand.Word{Result: "broken", Faults: f.List})
			return
		}
	}
	code, rep := c.Ask(r.Context(), p, op, b, 2*c.Cfg.Bounds.Plan)
	c.Book.Note("call", "%s: %d", op, code)
	Reply(w, code, rep)
}

// PartView is one part as this daemon sees it.
type PartView struct {
	Part   int             `json:"part"`
	Owner  form.Own        `json:"owner"`
	Mine   bool            `json:"mine"`
	Group  form.Group      `json:"group"`
	Set    uint64          `json:"set"`
	Recs   int             `json:"records"`
	Node   purge.View      `json:"node"`
	Server []interlock.Row `json:"servers,omitempty"`
}

// State is the dump that the query shell reads.
type State struct {
	Fleet   string         `json:"fleet"`
	Me      form.Member    `json:"me"`
	Members []form.Member  `json:"members"`
	Live    bool           `json:"live"`
	Plan    uint64         `json:"plan_version"`
	PlanOK  bool           `json:"plan_valid"`
	Cells   []string       `json:"cells_out"`
	Parts   []PartView     `json:"parts"`
	Wire    [3]int64       `json:"wire_sent_got_lost"`
	Extra   map[string]any `json:"traffic,omitempty"`
}

// State dumps what this daemon knows.
//
// Example: json.Marshal(c.State())
func (c *Cabin) State() State {
	v := c.View()
	st := State{Fleet: c.Cfg.Fleet, Me: v.Me, Members: v.Members, Live: v.Live, Cells: []string{}, Wire: [3]int64{c.Line.Sent.Load(), c.Line.Got.Load(), c.Line.Lost.Load()}}
	_, st.Plan, st.PlanOK = c.Plan()
	if r, ok := c.Read(0, tariff.CellKey); ok {
		for cell := range tariff.Cells(r) {
			st.Cells = append(st.Cells, cell)
		}
		sort.Strings(st.Cells)
	}
	for _, s := range c.shards {
		s.mu.Lock()
		now := c.Now()
		p := PartView{Part: s.part, Owner: v.Owns[s.part], Mine: s.Owner(now), Node: s.Section().Node.View(now)}
		if s.Section().Seat != nil {
			p.Group, p.Set, p.Recs = s.Section().Seat.Group(), s.Section().Seat.Meta().Set, s.Section().Seat.Book().Size()
		}
		p.Server = s.Rows(now)
		s.mu.Unlock()
		st.Parts = append(st.Parts, p)
	}
	if c.More != nil {
		st.Extra = c.More()
	}
	return st
}
