// Package placement controls the model servers of a partition on behalf of its leader: it polls
// their usage, decides which role each server plays and which decode servers a prefill server
// hands to, sends them orders, and divides their slots among the daemons. At most one controller
// is active: a new one issues no order until the swap bound has passed. It is a deterministic state
// machine: each Reconcile brings the observed state of the servers closer to the desired state.
package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Config holds the controller's time limits and thresholds.
type Config struct {
	SwapBound              time.Duration // minimum time from an older controller's last possible act to the first order
	PollInterval           time.Duration
	WarmUp                 time.Duration // time over which a warming server's slots increase
	ShareLength            time.Duration // validity of a share of slots; daemons renew shares earlier
	Drift                  float64       // bound on the drift between two clocks, as a fraction
	Margin                 time.Duration // safety margin in addition to Drift, for the granularity of clocks
	MinShiftInterval       time.Duration // minimum time between role shifts in a service
	UsageWindow            time.Duration // averaging time of utilization, and how long a side must be short before a shift
	DrainTimeout           time.Duration // maximum wait for requests in flight at a server that leaves its role
	SlowLink               time.Duration // latency above which a link counts as slow
	MaxFailures            int           // number of failed polls after which a server counts as dark
	ListedMinShiftInterval time.Duration // minimum time between shifts in a service whose roles the platform lists
	PressureWindow         time.Duration // how long a side must be under high pressure before a server is shifted to it
	HighUsage              float64       // demand for a side's slots, as a fraction of them, above which the side is short
	LowUsage               float64       // the same fraction, below which the side can spare a server
}

// Out holds the actions that a reconciliation requests.
type Out struct {
	Polls  []string // keys of server records
	Orders []Order
	Writes []Write
	Notes  []string // decisions and their reasons, for the event log
}

// Controller is the state machine for the services of one partition, under one term.
// It is not safe for concurrent use.
type Controller struct {
	cfg       Config
	term      uint64
	since     time.Duration      // no older controller could act after this time
	lastOrder uint64             // number of the last order
	servers   map[string]*server // by record key
	daemons   map[string]*daemon // by "service/identity"

	// Desired state, from the fleet's configuration.
	services  map[string]fleetconfig.Service // of the current plan, by name
	evacuated map[string]bool                // evacuated zones, by name

	// State for role shifts.
	lastShift    map[string]time.Duration   // by service: when a server last began to leave its role
	shortSince   map[shortage]time.Duration // when a side of a service became short; absent if it isn't
	prefillShare map[string]float64         // by service: the fraction of its listed servers that should prefill
	// Pressure returns the pressure on a server of a service; nil if it isn't known.
	Pressure func(service, server string) Pressure
}

// New creates the controller of a new term; since is the time after which no older controller could act.
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

// SetPlan sets the current plan and the evacuated zones.
//
// Example: c.SetPlan(plan, zones)
func (c *Controller) SetPlan(plan fleetconfig.Plan, evacuated map[string]bool) {
	c.services = map[string]fleetconfig.Service{}
	for _, service := range plan.Services {
		c.services[service.Name] = service
	}
	c.evacuated = evacuated
}

// LoadService loads a service's committed list of servers and their committed records.
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
			s.ServerRecord = records[key] // the zero record if the server is new
		}
		s.Addr, s.Zone, s.Capacity = entry.Addr, entry.Zone, entry.Capacity
		s.updateListing(entry)
	}
	for key, record := range records {
		if c.servers[key] == nil {
			c.servers[key] = &server{ServerRecord: record, service: service}
		}
	}
}

// WithdrawLeaving marks the servers that leave according to a list that isn't committed yet. They get no new
// work, whether or not the list is committed.
//
// Example: c.WithdrawLeaving("timetable", list)
func (c *Controller) WithdrawLeaving(service string, list fleetconfig.List) {
	for _, entry := range list.Servers {
		if s := c.servers[fleetconfig.ServerRecordKey(service, entry.Key())]; s != nil && entry.Leaving {
			s.withdrawn = true
		}
	}
}

// HandleWriteResult handles the outcome of a write; ok is true if the record was committed.
//
// Example: c.HandleWriteResult(key, record, true)
func (c *Controller) HandleWriteResult(key string, record ServerRecord, ok bool) {
	s := c.servers[key]
	if s == nil {
		return
	}
	s.writePending = false
	if !ok {
		return
	}
	record.Capacity = s.Capacity // the current list's value
	s.ServerRecord = record
	s.restarted = s.restarted && record.Status != Dark
}

// round is one reconciliation of the servers of one service.
type round struct {
	*Controller
	now     time.Duration
	service string
	keys    []string // record keys of the service's servers, sorted
	out     *Out
}

// Reconcile returns the polls, orders and writes that bring the servers closer to their desired state.
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
		r.keys = slices.DeleteFunc(r.keys, func(key string) bool { return c.servers[key] == nil }) // removed above
		r.assignRoles()
		r.balanceListed()
		r.updatePairs()
	}
	c.forgetSilentDaemons(now)
	return out
}

// write requests the write of a server record.
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
