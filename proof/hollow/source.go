package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"mulleinmast/control/fleetconfig"
)

// pageSize is the number of servers in a page of the list.
const pageSize = 500

// serverEntry is a server in the platform's list.
type serverEntry struct {
	ID    string `json:"id"`
	Model string `json:"service-name"`
	Addr  string `json:"address"`
	Zone  string `json:"zone"`
	Slots int    `json:"slot-count"`
	State string `json:"server-state"`
	Phase string `json:"phase"`
}

// serverSource serves the list of nonexistent servers over HTTP, in pages.
type serverSource struct {
	mu         sync.Mutex
	rows       []serverEntry
	generation int // of the last restart
	shown      int // number of rows listed; the others are not running yet
	ln         net.Listener
	srv        *http.Server
	calls      atomic.Int64
	bytes      atomic.Int64
}

func model(i int) string { return fmt.Sprintf("model-%d", i) }

// newServerSource creates the servers of a fleet, distributed over models, then zones.
func newServerSource(o Options) (*serverSource, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &serverSource{ln: ln, shown: o.Servers}
	if o.Ramp > 0 {
		s.shown = min(o.Ramp, o.Servers)
	}
	for i := range o.Servers {
		phase := "writing"
		if float64(i/o.Models%10) < o.PrefillShare*10 {
			phase = "reading"
		}
		s.rows = append(s.rows, serverEntry{
			ID: fmt.Sprintf("srv-%05d-0", i), Model: model(i % o.Models), Addr: fmt.Sprintf("10.%d.%d.%d:9000", 1+i/60000, i/250%240, 1+i%250),
			Zone: fmt.Sprintf("zone-%d", i/o.Models%o.Zones), Slots: 16, State: "running", Phase: phase,
		})
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.servePage)}
	go func() { _ = s.srv.Serve(ln) }() // returns after close
	return s, nil
}

func (s *serverSource) addr() string { return s.ln.Addr().String() }

func (s *serverSource) close() { _ = s.srv.Close() }

func (s *serverSource) servePage(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("page-token")) // no token: first page
	s.mu.Lock()
	all := s.rows[:s.shown]
	end := min(len(all), from+pageSize)
	p := struct {
		Servers []serverEntry `json:"servers"`
		Next    *string       `json:"next-token"`
	}{Servers: append([]serverEntry{}, all[min(from, end):end]...)}
	if end < len(all) {
		next := strconv.Itoa(end)
		p.Next = &next
	}
	s.mu.Unlock()
	b, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.calls.Add(1)
	s.bytes.Add(int64(len(b)))
	_, _ = w.Write(b)
}

func (s *serverSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shown
}

// setShown sets the number of servers listed.
func (s *serverSource) setShown(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown = min(n, len(s.rows))
}

// replace gives servers new IDs, as after a restart, and returns one new ID per model.
func (s *serverSource) replace(indexes ...int) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for _, i := range indexes {
		s.generation++
		s.rows[i].ID = fmt.Sprintf("srv-%05d-%d", i, s.generation)
		out[s.rows[i].Model] = s.rows[i].ID
	}
	return out
}

// configuration returns a plan of the configured sizes.
func configuration(o Options) fleetconfig.Plan {
	p := fleetconfig.Plan{ID: "first"}
	for i := range o.Models {
		p.Services = append(p.Services, fleetconfig.Service{Name: model(i), PrefillServers: 1, DecodeServers: 1, Slots: 16, TokenBytes: 131072, LinkMbps: 100000, HandleSeconds: 20, SwitchSeconds: 2})
	}
	for i := range o.Tenants {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: fmt.Sprintf("tenant-%d", i), Priority: i % 10, TimeoutMillis: 30000, QueueFraction: 0.5, Services: []string{model(i % o.Models)}})
	}
	for i := range o.Routes {
		p.Routes = append(p.Routes, change(o, i, 0))
	}
	return p
}

// change returns route i as of change number no.
func change(o Options, i, no int) fleetconfig.Route {
	return fleetconfig.Route{
		Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("tenant-%d.example", i%max(1, o.Tenants)), Prefix: fmt.Sprintf("/v1/%d/", i), Kind: "stream",
		GiveUpMillis: 30000 + no%1000, TargetMillis: 680, GapMillis: 26, Urgency: i % 4, MaxAttempts: 3, Sticky: true, Services: []fleetconfig.Share{{Service: model(i % o.Models), Weight: 1}},
	}
}
