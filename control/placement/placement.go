// Package placement is the leader's hold on its servers: it polls their usage,
// decides which part each plays and which decode servers a prefill server hands to, orders
// them, and divides their slots among the daemons. It is the only holder; a
// new one gives no order until the swap bound has passed. A plain state
// machine, run once a tick over a table of servers and a table of daemons.
package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Config holds the bounds the holder works by.
type Config struct {
	SwapBound    time.Duration // no order before this has passed since an older holder could act
	PollInterval time.Duration
	WarmUp       time.Duration // a warming server's slots ramp up over this
	ShareLength  time.Duration // length of a slot share
	Drift        float64
	Margin,
	Dwell time.Duration // least time between shifts of part in a service
	UsageWindow  time.Duration // usage is averaged over this
	DrainTimeout time.Duration // in-flight work of a leaving part is waited for this long
	SlowLink     time.Duration // a link slower than this loses its pair
	MaxFailures  int           // failed polls that make a server dark
	ListedDwell  time.Duration // least time between shifts where the platform lists the parts
	PressWindow  time.Duration // a side is pressed this long before a server is shifted to it
	HighUsage    float64       // usage above which a side is short
	LowUsage     float64       // usage below which a side can spare a server
}

// Out is what a tick asks for.
type Out struct {
	Polls  []string
	Orders []Order
	Writes []Write
	Notes  []string // what was decided and why, for the ring
}

type server struct {
	ServerRecord
	svc      string
	listed   bool
	id       string // of this life, where the platform gives one
	told     string // the part it plays by the platform's word; it isn't polled then
	cold     bool   // warming up by the platform's word
	out      bool   // leaves by the list, the plan or an evacuation
	usage    Usage
	seen     bool
	pollAt   time.Duration
	polling  bool
	born     time.Duration // the latest that it can have started, by the poll at bornAt
	bornAt   time.Duration
	anew     bool // it started anew and its record doesn't say so yet
	fails    int
	busy     float64 // smoothed usage
	warmAt   time.Duration
	leftAt   time.Duration
	oddAt    time.Duration // since when the platform's word differs from the record
	strain   Pressure      // smoothed
	ordered  string
	ordering bool
	writing  bool
	orderAt  time.Duration
}

// leaving: nothing new goes there, whoever said so.
func (s *server) leaving() bool { return s.out || s.seen && s.usage.Leaving }

// Controller is the state machine for the services of one part.
type Controller struct {
	cfg     Config
	term    uint64
	since   time.Duration
	servers map[string]*server // by server record key
	daemons map[string]*daemon // by service and identity
	moved   map[string]time.Duration
	short   map[string]time.Duration // since when a side of a service is short
	no      uint64
	plan    map[string]fleetconfig.Service
	share   map[string]float64 // of a service's listed servers that are to read
	// Pressure tells how hard a server is pressed; none: nobody knows.
	Pressure func(service, server string) Pressure
	out      map[string]bool // evacuated zones
}

// New makes the holder of a new term; since is when no older one could act.
//
// Example: h := placement.New(cfg, replica.Term(), replica.LeaderSince())
func New(cfg Config, term uint64, since time.Duration) *Controller {
	return &Controller{
		cfg: cfg, term: term, since: since, servers: map[string]*server{}, daemons: map[string]*daemon{},
		share: map[string]float64{}, moved: map[string]time.Duration{}, short: map[string]time.Duration{}, plan: map[string]fleetconfig.Service{}, out: map[string]bool{},
	}
}

// SetPlan tells the holder of the plan and the evacuated zones in force.
//
// Example: h.SetPlan(plan, zones)
func (h *Controller) SetPlan(p fleetconfig.Plan, out map[string]bool) {
	h.plan = map[string]fleetconfig.Service{}
	for _, s := range p.Services {
		h.plan[s.Name] = s
	}
	h.out = out
}

// LoadService tells the holder a service's list and server records as they are committed.
//
// Example: h.LoadService(now, "timetable", list, server records)
func (h *Controller) LoadService(now time.Duration, svc string, list fleetconfig.List, serverRecords map[string]ServerRecord) {
	skip := map[string]bool{}
	for _, a := range h.plan[svc].Exclude {
		skip[a] = true
	}
	for _, s := range h.servers {
		if s.svc == svc {
			s.listed = false
		}
	}
	for _, e := range list.Servers {
		key := fleetconfig.ServerRecordKey(svc, e.Key())
		s := h.servers[key]
		if s == nil {
			s = &server{svc: svc, warmAt: now}
			h.servers[key] = s
		}
		s.listed = true
		s.out = e.Leaving || skip[e.Addr] || h.out[e.Zone]
		if b, ok := serverRecords[key]; ok {
			if !s.writing {
				s.ServerRecord = b
			}
		} else if !s.writing {
			s.ServerRecord = ServerRecord{}
		}
		s.Addr, s.Zone, s.Capacity = e.Addr, e.Zone, e.Capacity
		h.listing(s, e)
	}
	for key, b := range serverRecords {
		if h.servers[key] == nil {
			h.servers[key] = &server{ServerRecord: b, svc: svc}
		}
	}
}

// HandleWritten takes the fate of a write.
//
// Example: h.HandleWritten(key, server record, true)
func (h *Controller) HandleWritten(key string, b ServerRecord, ok bool) {
	if s := h.servers[key]; s != nil {
		s.writing = false
		if ok {
			c := s.Capacity
			s.ServerRecord = b
			s.Capacity = c
			s.anew = s.anew && b.Status != Dark
		}
	}
}

func (h *Controller) write(o *Out, key string, s *server, b ServerRecord, why string) {
	s.writing = true
	val, _ := json.Marshal(b)
	o.Writes = append(o.Writes, Write{Key: key, Value: val})
	o.Notes = append(o.Notes, fmt.Sprintf("%s %s: %s/%s to=%q (%s)", s.svc, b.Addr, b.Role, b.Status, b.NextRole, why))
}

// Reconcile runs the systems over the tables.
//
// Example: out := h.Reconcile(now)
func (h *Controller) Reconcile(now time.Duration) (o Out) {
	by := map[string][]string{}
	for key, s := range h.servers {
		by[s.svc] = append(by[s.svc], key)
	}
	for _, svc := range sorted(by) {
		keys := by[svc]
		sort.Strings(keys)
		h.poll(now, keys, &o)
		h.status(now, keys, &o)
		keys = slices.DeleteFunc(keys, func(k string) bool { return h.servers[k] == nil }) // gone for good
		h.parts(now, svc, keys, &o)
		h.balance(now, svc, keys, &o)
		h.pairs(keys, &o)
	}
	for id, d := range h.daemons {
		if now-d.at > 10*h.cfg.ShareLength {
			delete(h.daemons, id)
		}
	}
	return o
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
