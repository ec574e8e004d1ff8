// Package placement is the leader's control of the model servers of its partition: it polls
// their usage, decides which role each plays and which decode servers a prefill server
// hands to, orders them, and divides their slots among the daemons. It is the only
// controller; a new one gives no order until the swap bound has passed. A plain state
// machine: each Reconcile brings the observed state of the servers nearer to the desired one.
package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Config holds the bounds that the controller works by.
type Config struct {
	SwapBound    time.Duration // no order before this has passed since an older controller could act
	PollInterval time.Duration
	WarmUp       time.Duration // a warming server's slots rise over this
	ShareLength  time.Duration // of a share of slots; daemons renew them earlier
	Drift        float64       // bound on the drift between two clocks, as a fraction
	Margin       time.Duration // beside Drift, against the granularity of clocks
	Dwell        time.Duration // least time between shifts of role in a service
	UsageWindow  time.Duration // utilization is averaged over this; a side is short for as long before a shift
	DrainTimeout time.Duration // requests in flight at a server that leaves its role are waited for this long
	SlowLink     time.Duration // a link slower than this loses its pair
	MaxFailures  int           // failed polls that make a server dark
	ListedDwell  time.Duration // least time between shifts where the platform lists the roles
	PressWindow  time.Duration // a side is pressed for this long before a server is shifted to it
	HighUsage    float64       // demand for a side's slots, as a fraction of them, above which the side is short
	LowUsage     float64       // and below which it can spare a server
}

// Out is what a reconciliation asks for.
type Out struct {
	Polls  []string // keys of server records
	Orders []Order
	Writes []Write
	Notes  []string // what was decided and why, for the event log
}

// Controller is the state machine for the services of one partition, under one term.
// It is not safe for concurrent use.
type Controller struct {
	cfg       Config
	term      uint64
	since     time.Duration      // from then on no older controller could act
	lastOrder uint64             // number of the last order
	servers   map[string]*server // by key of the server's record
	daemons   map[string]*daemon // by "service/identity"

	// Desired state, from the fleet's configuration.
	services  map[string]fleetconfig.Service // of the plan in force, by name
	evacuated map[string]bool                // zones

	// What shifts of role go by.
	lastShift    map[string]time.Duration   // by service: when a server last began to leave its role
	shortSince   map[shortage]time.Duration // since when a side of a service has been short; absent: it isn't
	prefillShare map[string]float64         // by service: the fraction of its listed servers that is to prefill
	// Pressure says how hard a server of a service is pressed; nil: not known.
	Pressure func(service, server string) Pressure
}

// New makes the controller of a new term; from since on no older one could act.
//
// Example: c := placement.New(cfg, replica.Term(), replica.LeaderSince())
func New(cfg Config, term uint64, since time.Duration) *Controller {
	return &Controller{
		cfg: cfg, term: term, since: since,
		servers: map[string]*server{}, daemons: map[string]*daemon{},
		services: map[string]fleetconfig.Service{}, evacuated: map[string]bool{},
		lastShift: map[string]time.Duration{}, shortSince: map[shortage]time.Duration{}, prefillShare: map[string]float64{},
	}
}

// SetPlan takes the plan and the evacuated zones in force.
//
// Example: c.SetPlan(plan, zones)
func (c *Controller) SetPlan(plan fleetconfig.Plan, evacuated map[string]bool) {
	c.services = map[string]fleetconfig.Service{}
	for _, service := range plan.Services {
		c.services[service.Name] = service
	}
	c.evacuated = evacuated
}

// LoadService takes a service's list of servers and their records as they are committed.
//
// Example: c.LoadService(now, "timetable", list, serverRecords)
func (c *Controller) LoadService(
	now time.Duration, service string, list fleetconfig.List, records map[string]ServerRecord,
) {
	excluded := map[string]bool{}
	for _, addr := range c.services[service].Exclude {
		excluded[addr] = true
	}
	for _, s := range c.servers {
		if s.service == service {
			s.listed = false
		}
	}
	for _, entry := range list.Servers {
		key := fleetconfig.ServerRecordKey(service, entry.Key())
		s := c.servers[key]
		if s == nil {
			s = &server{service: service, warmingSince: now}
			c.servers[key] = s
		}
		s.listed = true
		s.withdrawn = entry.Leaving || excluded[entry.Addr] || c.evacuated[entry.Zone]
		if !s.writePending {
			s.ServerRecord = records[key] // none: it is new
		}
		s.Addr, s.Zone, s.Capacity = entry.Addr, entry.Zone, entry.Capacity
		s.takeListing(entry)
	}
	for key, record := range records {
		if c.servers[key] == nil {
			c.servers[key] = &server{ServerRecord: record, service: service}
		}
	}
}

// WithdrawLeaving takes, of a list that isn't committed yet, which servers leave: nothing new is to
// go to them, whatever becomes of the list.
//
// Example: c.WithdrawLeaving("timetable", list)
func (c *Controller) WithdrawLeaving(service string, list fleetconfig.List) {
	for _, entry := range list.Servers {
		if s := c.servers[fleetconfig.ServerRecordKey(service, entry.Key())]; s != nil && entry.Leaving {
			s.withdrawn = true
		}
	}
}

// HandleWritten takes the outcome of a write; ok tells that the record is committed.
//
// Example: c.HandleWritten(key, record, true)
func (c *Controller) HandleWritten(key string, record ServerRecord, ok bool) {
	s := c.servers[key]
	if s == nil {
		return
	}
	s.writePending = false
	if !ok {
		return
	}
	record.Capacity = s.Capacity // as the list has it by now
	s.ServerRecord = record
	s.restarted = s.restarted && record.Status != Dark
}

// round is one reconciliation of the servers of one service.
type round struct {
	*Controller
	now     time.Duration
	service string
	keys    []string // of the records of the service's servers, sorted
	out     *Out
}

// Reconcile asks for the polls, orders and writes that bring the servers nearer to their desired state.
//
// Example: out := c.Reconcile(now)
func (c *Controller) Reconcile(now time.Duration) (out Out) {
	keys := map[string][]string{}
	for key, s := range c.servers {
		keys[s.service] = append(keys[s.service], key)
	}
	for _, service := range sortedKeys(keys) {
		r := &round{Controller: c, now: now, service: service, keys: keys[service], out: &out}
		slices.Sort(r.keys)
		r.pollServers()
		r.updateStatuses()
		r.keys = slices.DeleteFunc(r.keys, func(key string) bool { return c.servers[key] == nil }) // deleted by now
		r.assignRoles()
		r.balanceListed()
		r.updatePairs()
	}
	c.forgetSilentDaemons(now)
	return out
}

// write asks for a server record to be written.
func (r *round) write(key string, s *server, record ServerRecord, reason string) {
	s.writePending = true
	value, _ := json.Marshal(record)
	r.out.Writes = append(r.out.Writes, Write{Key: key, Value: value})
	r.note("%s %s: %s/%s to=%q (%s)", s.service, record.Addr, record.Role, record.Status, record.NextRole, reason)
}

func (r *round) note(format string, args ...any) {
	r.out.Notes = append(r.out.Notes, fmt.Sprintf(format, args...))
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
