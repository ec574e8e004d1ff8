// Package fleetconfig is the operators' side of the fleet: one template a tenant,
// whole plans, named changes, the servers' lists and the zones taken out of
// service. A plan is checked in full before anything is written and is one
// record, so it is in force whole or not at all.
package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
	"unicode/utf8"

	v "github.com/go-ozzo/ozzo-validation/v4"

	"mulleinmast/wire/message"
)

//go:generate go tool msgp -tests=false -io=false -file . -o fleetconfig_gen.go
//msgp:tag json
//msgp:replace json.RawMessage with:[]byte
//msgp:ignore Faults Verdict Change Changes Server List PlanReader list draft

// Keys of the records in the configuration part.
const (
	PlanKey    = "plan/now"
	ZoneKey    = "cells/out"
	ReplicaKey = "seats/now"
)

// Most bounds a plan's size.
const (
	MaxTenants  = 20000
	MaxServices = 5000
)

var name = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// Tenant is the template that operators fill in.
type Tenant struct {
	Name          string   `json:"name"`
	Priority      int      `json:"priority"`           // 0 is the most urgent, 9 the least
	Services      []string `json:"services,omitempty"` // models it may use; none means all
	TimeoutMillis int      `json:"budget_ms"`          // for requests that name none
	QueueFraction float64  `json:"queue"`              // most of a daemon's queue it may fill
}

// Service is what a plan says of one model.
type Service struct {
	Name           string   `json:"name"`
	PrefillServers int      `json:"readers"` // never fewer
	DecodeServers  int      `json:"makers"`
	Exclude        []string `json:"exclude,omitempty"` // servers that get no work

	StatusPath     string          `json:"status,omitempty"`      // path at which a server tells how it is
	MaxConnections int             `json:"conns,omitempty"`       // most connections a server takes from all daemons together
	WarmUpSeconds  float64         `json:"cold_s,omitempty"`      // a server is cold for so long after its start, in seconds
	WarmUpRate     float64         `json:"cold_rate,omitempty"`   // what a cold server bears, in requests a second
	Slots          int             `json:"slots,omitempty"`       // requests a server works on at a time
	MemoryTokens   int             `json:"memory,omitempty"`      // of a server, in tokens
	TokenBytes     int             `json:"token_bytes,omitempty"` // moved for each token of a hand-over
	LinkMbps       float64         `json:"link_mbps,omitempty"`   // of a server, for hand-overs
	TokensPerEvent int             `json:"stride,omitempty"`      // tokens in one event of a stream
	HandleSeconds  float64         `json:"hold_s,omitempty"`      // life of a handle, in seconds
	SwitchSeconds  float64         `json:"switch_s,omitempty"`    // time that a change of part takes, in seconds
	Models         []string        `json:"models,omitempty"`
	Raw            json.RawMessage `json:"raw,omitempty"` // the item as its operator sent it
}

// Plan is a whole plan as it is in force.
type Plan struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"`
	Base     uint64    `json:"base"`
	Tenants  []Tenant  `json:"tenants"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes,omitempty"`
	Limits   Limits    `json:"limits,omitzero"`
	// Number is the operator's own for the next version; it must be above the
	// version in force. 0: the next version is one more. None is kept.
	Number uint64 `json:"number,omitempty"`
	// Needs is the format that a build must read to serve by this plan; 0: any does.
	Needs int `json:"needs,omitempty"`
	// Raw is what else the operator sent, an object of further fields.
	Raw json.RawMessage `json:"raw,omitempty"`
	// PastChanges is what a build before this one remembered; see Taken.
	PastChanges []AcceptedChange `json:"past,omitempty"`
}

// AcceptedChange remembers an accepted id, so that a resent plan gets the same answer.
type AcceptedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Template is an example for operators to fill in.
//
// Example: json.Marshal(fleetconfig.Template())
func Template() Plan {
	return Plan{
		ID: "change-me", Tenants: []Tenant{{Name: "tenant", Priority: 5, TimeoutMillis: 30000, QueueFraction: 0.5}},
		Services: []Service{{Name: "model", PrefillServers: 1, DecodeServers: 1}},
	}
}

// Faults collects everything wrong with an input.
type Faults struct {
	List []string `json:"faults"`
}

// Add records a fault.
//
// Example: f.Add("tenants[%d].name: %v", i, err)
func (f *Faults) Add(how string, args ...any) { f.List = append(f.List, fmt.Sprintf(how, args...)) }

// Any tells whether a fault was noted.
//
// Example: if f.Any() { respond(400, f) }
func (f Faults) Any() bool { return len(f.List) > 0 }

func (f *Faults) take(where string, err error) {
	if err == nil {
		return
	}
	if e, ok := err.(v.Errors); ok {
		keys := make([]string, 0, len(e))
		for k := range e {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			f.take(where+"."+k, e[k])
		}
		return
	}
	f.Add("%s: %v", where, err)
}

// Decode reads JSON strictly: unknown fields and trailing bytes are faults.
//
// Example: f := fleetconfig.Decode(body, &plan)
func Decode(b []byte, to any) (f Faults) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		f.Add("body: %v (at byte %d)", err, d.InputOffset())
	} else if d.More() {
		f.Add("body: more than one JSON value (at byte %d)", d.InputOffset())
	}
	return f
}

// Validate lists every fault of the plan.
//
// Example: if f := plan.Validate(); f.Any() { ... }
func (p Plan) Validate() (f Faults) {
	f.take("plan", v.ValidateStruct(&p,
		v.Field(&p.ID, v.Required, v.Match(name).Error("expected 1 to 64 letters, digits, '.', '_' or '-'")),
		v.Field(&p.Needs, v.Min(0), v.Max(mostFormat)),
		v.Field(&p.Tenants, v.Length(0, MaxTenants)),
		v.Field(&p.Services, v.Length(0, MaxServices))))
	known := map[string]bool{}
	for i, s := range p.Services {
		at := fmt.Sprintf("services[%d]", i)
		f.take(at, s.check())
		if known[s.Name] {
			f.Add("%s.name: %q stands twice", at, s.Name)
		}
		known[s.Name] = true
	}
	seen := map[string]int{}
	for i, t := range p.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		f.take(at, v.ValidateStruct(&t,
			v.Field(&t.Name, v.Required, v.Match(name).Error("expected 1 to 64 letters, digits, '.', '_' or '-'")),
			v.Field(&t.Priority, v.Min(0), v.Max(9)),
			v.Field(&t.TimeoutMillis, v.Required, v.Min(1), v.Max(600000)),
			v.Field(&t.QueueFraction, v.Required, v.Min(0.001), v.Max(1.0))))
		if j, ok := seen[t.Name]; ok {
			f.Add("%s.name: %q stands already in tenants[%d]", at, t.Name, j)
		}
		seen[t.Name] = i
		for _, s := range t.Services {
			if !known[s] {
				f.Add("%s.services: no service %q in the plan", at, s)
			}
		}
	}
	p.checkRoutes(known, &f)
	return f
}

func (s Service) check() error {
	return v.ValidateStruct(&s,
		v.Field(&s.Name, v.Required, v.By(service)),
		v.Field(&s.PrefillServers, v.Required, v.Min(1)),
		v.Field(&s.DecodeServers, v.Required, v.Min(1)),
		v.Field(&s.Exclude, v.Each(v.By(address))))
}

// service is lenient: a name has only to fit into the records' keys.
func service(x any) error {
	if s, _ := x.(string); !IsValidServiceName(s) {
		return fmt.Errorf("%.80q: expected 1 to 1024 bytes without a '/'", s)
	}
	return nil
}

func address(x any) error {
	s, _ := x.(string)
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q: expected an IP address and port", s)
	}
	return nil
}

// Verdict is the answer to a plan or a change.
type Verdict struct {
	Result  string   `json:"result"` // taken, in conflict or broken
	Version uint64   `json:"version"`
	Faults  []string `json:"faults,omitempty"`
}

// Results of a verdict. Operators' programs read them.
const (
	VerdictAccepted = "taken"
	VerdictConflict = "beaten" // the version that it is based on is no longer in force
	VerdictInvalid  = "broken" // it has faults
)

// Judge decides about a next plan against the one in force, which is taken
// again; what was taken before it is for Decide. It returns the record's value
// when the plan is taken.
//
// Example: val, verdict := fleetconfig.Judge(cur, "id-1", 4, func(p Plan) (Plan, Faults) { return p.With(c) })
func Judge(cur Plan, id string, base uint64, next func(Plan) (Plan, Faults)) ([]byte, Verdict) {
	for _, p := range slices.Concat(cur.PastChanges, []AcceptedChange{{ID: cur.ID, Version: cur.Version}}) {
		if p.ID == id && id != "" {
			return nil, Verdict{Result: VerdictAccepted, Version: p.Version}
		}
	}
	if base != cur.Version {
		return nil, Verdict{Result: VerdictConflict, Version: cur.Version}
	}
	p, f := next(cur)
	if p.Number > 0 && p.Number <= cur.Version {
		f.Add("plan.number: %d: expected more than %d, the version in force", p.Number, cur.Version)
	}
	if f.Any() {
		return nil, Verdict{Result: VerdictInvalid, Version: cur.Version, Faults: f.List}
	}
	p.ID, p.Base, p.Version = id, base, cur.Version+1
	if p.Number > 0 {
		p.Version, p.Number = p.Number, 0
	}
	p.PastChanges = nil // see Taken
	b, err := EncodePlan(p)
	if err != nil {
		return nil, Verdict{Result: VerdictInvalid, Version: cur.Version, Faults: []string{err.Error()}}
	}
	return b, Verdict{Result: VerdictAccepted, Version: p.Version}
}

// ReadPlan reads a plan record; absence is the empty plan, version 0. The error is
// of one that this build can't read: another build may have written it.
//
// Example: plan, err := fleetconfig.ReadPlan(rec)
func ReadPlan(r message.Record) (p Plan, err error) {
	if r.Deleted || len(r.Value) == 0 {
		return p, nil
	}
	b, packed, err := plainPlan(r.Value)
	switch {
	case err != nil:
	case packed:
		if _, err = p.UnmarshalMsg(b); err == nil {
			err = p.unfit()
		}
	default: // an older build's
		err = json.Unmarshal(b, &p)
	}
	return p, unread(r, err)
}

// unread names the record that an error is of.
func unread(r message.Record, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("record %q of version %s can't be read: %v", r.Key, r.Version, err)
}

// OpenPlan is ReadPlan for records that were found readable before: what the daemon
// serves is.
//
// Example: plan := fleetconfig.OpenPlan(rec)
func OpenPlan(r message.Record) Plan {
	p, err := ReadPlan(r)
	if err != nil {
		panic(err)
	}
	return p
}

// ReadZones reads the record of evacuated zones; absence is none. The error is of
// one that this build can't read: it is not known then which zones are.
//
// Example: out, err := fleetconfig.ReadZones(rec)
func ReadZones(r message.Record) (map[string]bool, error) {
	out := map[string]bool{}
	if r.Deleted || len(r.Value) == 0 {
		return out, nil
	}
	var list []string
	if err := json.Unmarshal(r.Value, &list); err != nil {
		return nil, unread(r, err)
	}
	for _, c := range list {
		out[c] = true
	}
	return out, nil
}

// OpenZones is ReadZones for records that were found readable before.
//
// Example: if fleetconfig.OpenZones(rec)["north"] { skip() }
func OpenZones(r message.Record) map[string]bool {
	out, err := ReadZones(r)
	if err != nil {
		panic(err)
	}
	return out
}

// EncodeZones is the inverse of Zones.
//
// Example: val := fleetconfig.EncodeZones(map[string]bool{"north": true})
func EncodeZones(m map[string]bool) []byte {
	list := []string{}
	for c, on := range m {
		if on {
			list = append(list, c)
		}
	}
	sort.Strings(list)
	b, _ := json.Marshal(list)
	return b
}

// Server is one entry of the platform's list.
type Server struct {
	ID       string `json:"id,omitempty"` // of this life of the server, where the platform gives one
	Addr     string `json:"addr"`
	Zone     string `json:"cell"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving,omitempty"`
	Role     string `json:"part,omitempty"` // that it plays by the platform's word; none: it is to be asked and ordered
	Warming  bool   `json:"warming,omitempty"`
}

// Key names a server within its service: the id of this life, else its address.
//
// Example: fleetconfig.Server{Addr: "10.0.0.1:9000"}.Key() == "10.0.0.1:9000"
func (s Server) Key() string {
	if s.ID != "" {
		return s.ID
	}
	return s.Addr
}

// List is a service's servers as the platform names them.
type List struct {
	Version uint64   `json:"version,omitempty"` // the platform's own count; a lower one is in conflict
	Servers []Server `json:"servers"`
}

// ReadList reads a list record; absence is the empty list. The error is of one
// that this build can't read.
//
// Example: list, err := fleetconfig.ReadList(rec)
func ReadList(r message.Record) (l List, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = unread(r, json.Unmarshal(r.Value, &l))
	}
	return l, err
}

// OpenList is ReadList for records that were found readable before.
//
// Example: for _, s := range fleetconfig.OpenList(rec).Servers { ... }
func OpenList(r message.Record) List {
	l, err := ReadList(r)
	if err != nil {
		panic(err)
	}
	return l
}

// Validate lists every fault of a server list.
//
// Example: if f := list.Validate(); f.Any() { ... }
func (l List) Validate() (f Faults) {
	seen := map[string]int{}
	for i, s := range l.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		f.take(at, v.ValidateStruct(&s,
			v.Field(&s.Addr, v.Required, v.By(address)),
			v.Field(&s.Zone, v.Required, v.Match(name)),
			v.Field(&s.Capacity, v.Required, v.Min(1), v.Max(4096))))
		if j, ok := seen[s.Key()]; ok {
			f.Add("%s: %q is listed already in servers[%d]", at, s.Key(), j)
		}
		seen[s.Key()] = i
	}
	return f
}

// IsValidName tells whether a name may stand in a key.
//
// Example: fleetconfig.IsValidName("north") == true
func IsValidName(s string) bool { return name.MatchString(s) && !strings.Contains(s, "/") }

// IsValidServiceName tells whether a service may have that name.
//
// Example: fleetconfig.IsValidServiceName("time table") == true
func IsValidServiceName(s string) bool {
	return s != "" && len(s) <= 1024 && !strings.Contains(s, "/") && utf8.ValidString(s)
}

// PartitionOf is the partition that holds a service's records, by a hash of its name;
// partition 0 is configuration.
//
// Example: p := fleetconfig.PartitionOf("timetable", 8)
func PartitionOf(svc string, partitions int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(svc))
	x := h.Sum64()
	return 1 + int((x^x>>32)%uint64(partitions))
}

// ListKey is the key of a service's list; ServerRecordKey of one of its servers.
//
// Example: key := fleetconfig.ListKey("timetable")
func ListKey(svc string) string { return "list/" + svc }

// ServerRecordKey is the key of a server's record; see Server.Key.
//
// Example: key := fleetconfig.ServerRecordKey("timetable", "127.0.0.1:9000")
func ServerRecordKey(svc, server string) string { return "berth/" + svc + "/" + server }
