// Package tariff is the operators' side of the fleet: one template a tenant,
// whole plans, named changes, the servers' lists and the cells taken out of
// service. A plan is checked in full before anything is written and is one
// record, so it is in force whole or not at all.
package tariff

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"regexp"
	"sort"
	"strings"

	v "github.com/go-ozzo/ozzo-validation/v4"

	"mulleinmast/wire/form"
)

// Keys of the records in the configuration part.
const (
	PlanKey = "plan/now"
	CellKey = "cells/out"
	SeatKey = "seats/now"
)

// Most bounds a plan's size.
const (
	MostTenants  = 20000
	MostServices = 500
	keepIDs      = 64
)

var name = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// Tenant is the template that operators fill in.
type Tenant struct {
	Name     string   `json:"name"`
	Priority int      `json:"priority"`           // 0 is the most urgent, 9 the least
	Services []string `json:"services,omitempty"` // models it may use; none means all
	Budget   int      `json:"budget_ms"`          // for requests that name none
	Queue    float64  `json:"queue"`              // most of a daemon's queue it may fill
}

// Service is what a plan says of one model.
type Service struct {
	Name    string   `json:"name"`
	Readers int      `json:"readers"` // never fewer
	Makers  int      `json:"makers"`
	Exclude []string `json:"exclude,omitempty"` // servers that get no work
}

// Plan is a whole plan as it is in force.
type Plan struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"`
	Base     uint64    `json:"base"`
	Tenants  []Tenant  `json:"tenants"`
	Services []Service `json:"services"`
	Past     []Past    `json:"past,omitempty"`
}

// Past remembers an accepted id, so that a resent plan gets the same reply.
type Past struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Template is an example for operators to fill in.
//
// Example: json.Marshal(tariff.Template())
func Template() Plan {
	return Plan{ID: "change-me", Tenants: []Tenant{{Name: "tenant", Priority: 5, Budget: 30000, Queue: 0.5}},
		Services: []Service{{Name: "model", Readers: 1, Makers: 1}}}
}

// Change is one named change to the plan in force.
type Change struct {
	Op      string   `json:"op"`
	Name    string   `json:"name,omitempty"`
	Tenant  *Tenant  `json:"tenant,omitempty"`
	Service *Service `json:"service,omitempty"`
	Server  string   `json:"server,omitempty"`
}

// Changes is a set of named changes, taken all or none.
type Changes struct {
	ID      string   `json:"id"`
	Base    uint64   `json:"base"`
	Changes []Change `json:"changes"`
}

// Faults collects everything wrong with an input.
type Faults struct {
	List []string `json:"faults"`
}

// Add notes a fault.
//
// Example: f.Add("tenants[%d].name: %v", i, err)
func (f *Faults) Add(how string, args ...any) { f.List = append(f.List, fmt.Sprintf(how, args...)) }

// Any tells whether a fault was noted.
//
// Example: if f.Any() { reply(400, f) }
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
// Example: f := tariff.Decode(body, &plan)
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

// Check lists every fault of the plan.
//
// Example: if f := plan.Check(); f.Any() { ... }
func (p Plan) Check() (f Faults) {
	f.take("plan", v.ValidateStruct(&p,
		v.Field(&p.ID, v.Required, v.Match(name).Error("expected 1 to 64 letters, digits, '.', '_' or '-'")),
		v.Field(&p.Tenants, v.Length(0, MostTenants)),
		v.Field(&p.Services, v.Length(0, MostServices))))
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
			v.Field(&t.Budget, v.Required, v.Min(1), v.Max(600000)),
			v.Field(&t.Queue, v.Required, v.Min(0.001), v.Max(1.0))))
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
	return f
}

func (s Service) check() error {
	return v.ValidateStruct(&s,
		v.Field(&s.Name, v.Required, v.Match(name).Error("expected 1 to 64 letters, digits, '.', '_' or '-'")),
		v.Field(&s.Readers, v.Required, v.Min(1)),
		v.Field(&s.Makers, v.Required, v.Min(1)),
		v.Field(&s.Exclude, v.Each(v.By(address))))
}

func address(x any) error {
	s, _ := x.(string)
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q: expected an IP address and port", s)
	}
	return nil
}

// With applies named changes to a copy of the plan; faults name the change.
//
// Example: next, f := plan.With(changes)
func (p Plan) With(c Changes) (Plan, Faults) {
	var f Faults
	out := p
	out.ID = c.ID
	out.Tenants = append([]Tenant(nil), p.Tenants...)
	out.Services = nil
	for _, s := range p.Services {
		s.Exclude = append([]string(nil), s.Exclude...)
		out.Services = append(out.Services, s)
	}
	if len(c.Changes) == 0 {
		f.Add("changes: none given")
	}
	for i, ch := range c.Changes {
		if why := out.apply(ch); why != "" {
			f.Add("changes[%d] %q: %s", i, ch.Op, why)
		}
	}
	if f.Any() {
		return p, f
	}
	return out, out.Check()
}

func (p *Plan) apply(c Change) string {
	tenant := func(n string) int {
		for i, t := range p.Tenants {
			if t.Name == n {
				return i
			}
		}
		return -1
	}
	service := func(n string) int {
		for i, s := range p.Services {
			if s.Name == n {
				return i
			}
		}
		return -1
	}
	switch c.Op {
	case "set-tenant":
		if c.Tenant == nil {
			return "needs a tenant"
		}
		if i := tenant(c.Tenant.Name); i >= 0 {
			p.Tenants[i] = *c.Tenant
		} else {
			p.Tenants = append(p.Tenants, *c.Tenant)
		}
	case "drop-tenant":
		i := tenant(c.Name)
		if i < 0 {
			return fmt.Sprintf("no tenant %q", c.Name)
		}
		p.Tenants = append(p.Tenants[:i], p.Tenants[i+1:]...)
	case "set-service":
		if c.Service == nil {
			return "needs a service"
		}
		if i := service(c.Service.Name); i >= 0 {
			p.Services[i] = *c.Service
		} else {
			p.Services = append(p.Services, *c.Service)
		}
	case "drop-service":
		i := service(c.Name)
		if i < 0 {
			return fmt.Sprintf("no service %q", c.Name)
		}
		p.Services = append(p.Services[:i], p.Services[i+1:]...)
	case "exclude-server", "include-server":
		i := service(c.Name)
		if i < 0 {
			return fmt.Sprintf("no service %q", c.Name)
		}
		if err := address(c.Server); err != nil {
			return "server " + err.Error()
		}
		var rest []string
		for _, a := range p.Services[i].Exclude {
			if a != c.Server {
				rest = append(rest, a)
			}
		}
		if c.Op == "exclude-server" {
			rest = append(rest, c.Server)
		}
		p.Services[i].Exclude = rest
	default:
		return "expected set-tenant, drop-tenant, set-service, drop-service, exclude-server or include-server"
	}
	return ""
}

// Verdict is the reply to a plan or a change.
type Verdict struct {
	Result  string   `json:"result"` // taken, beaten or broken
	Version uint64   `json:"version"`
	Faults  []string `json:"faults,omitempty"`
}

// Judge decides about a next plan against the one in force. It returns the
// record's value when the plan is taken.
//
// Example: val, verdict := tariff.Judge(cur, "id-1", 4, func(p Plan) (Plan, Faults) { return p.With(c) })
func Judge(cur Plan, id string, base uint64, next func(Plan) (Plan, Faults)) ([]byte, Verdict) {
	for _, p := range cur.Past {
		if p.ID == id && id != "" {
			return nil, Verdict{Result: "taken", Version: p.Version}
		}
	}
	if base != cur.Version {
		return nil, Verdict{Result: "beaten", Version: cur.Version}
	}
	p, f := next(cur)
	if f.Any() {
		return nil, Verdict{Result: "broken", Version: cur.Version, Faults: f.List}
	}
	p.ID, p.Base, p.Version = id, base, cur.Version+1
	p.Past = append(append([]Past(nil), cur.Past...), Past{id, p.Version})
	if len(p.Past) > keepIDs {
		p.Past = p.Past[len(p.Past)-keepIDs:]
	}
	b, err := json.Marshal(p)
	if err != nil {
		return nil, Verdict{Result: "broken", Version: cur.Version, Faults: []string{err.Error()}}
	}
	return b, Verdict{Result: "taken", Version: p.Version}
}

// Open reads a plan record; absence is the empty plan, version 0.
//
// Example: plan := tariff.Open(rec)
func Open(r form.Rec) Plan {
	var p Plan
	if !r.Dead && len(r.Val) > 0 {
		if err := json.Unmarshal(r.Val, &p); err != nil {
			panic(fmt.Sprintf("plan record %s can't be read: %v", r.Ver, err)) // we wrote it ourselves
		}
	}
	return p
}

// Cells reads the record of evacuated cells.
//
// Example: if tariff.Cells(rec)["north"] { skip() }
func Cells(r form.Rec) map[string]bool {
	out := map[string]bool{}
	var list []string
	if !r.Dead && json.Unmarshal(r.Val, &list) == nil {
		for _, c := range list {
			out[c] = true
		}
	}
	return out
}

// PackCells is the inverse of Cells.
//
// Example: val := tariff.PackCells(map[string]bool{"north": true})
func PackCells(m map[string]bool) []byte {
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
	Addr     string `json:"addr"`
	Cell     string `json:"cell"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// List is a service's servers as the platform names them.
type List struct {
	Version uint64   `json:"version,omitempty"` // the platform's own count; a lower one is beaten
	Servers []Server `json:"servers"`
}

// OpenList reads a list record; absence is the empty list.
//
// Example: for _, s := range tariff.OpenList(rec).Servers { ... }
func OpenList(r form.Rec) (l List) {
	if !r.Dead && len(r.Val) > 0 {
		if err := json.Unmarshal(r.Val, &l); err != nil {
			panic(fmt.Sprintf("list record %q can't be read: %v", r.Key, err)) // we wrote it ourselves
		}
	}
	return l
}

// Check lists every fault of a server list.
//
// Example: if f := list.Check(); f.Any() { ... }
func (l List) Check() (f Faults) {
	seen := map[string]int{}
	for i, s := range l.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		f.take(at, v.ValidateStruct(&s,
			v.Field(&s.Addr, v.Required, v.By(address)),
			v.Field(&s.Cell, v.Required, v.Match(name)),
			v.Field(&s.Capacity, v.Required, v.Min(1), v.Max(4096))))
		if j, ok := seen[s.Addr]; ok {
			f.Add("%s.addr: %q is listed already in servers[%d]", at, s.Addr, j)
		}
		seen[s.Addr] = i
	}
	return f
}

// GoodName tells whether a name may stand in a key.
//
// Example: tariff.GoodName("north") == true
func GoodName(s string) bool { return name.MatchString(s) && !strings.Contains(s, "/") }

// PartOf is the part that holds a service's records, by a hash of its name;
// part 0 is configuration.
//
// Example: p := tariff.PartOf("timetable", 8)
func PartOf(svc string, parts int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(svc))
	x := h.Sum64()
	return 1 + int((x^x>>32)%uint64(parts))
}

// ListKey is the key of a service's list; BerthKey of one of its servers.
//
// Example: key := tariff.ListKey("timetable")
func ListKey(svc string) string { return "list/" + svc }

// BerthKey is the key of a server's record.
//
// Example: key := tariff.BerthKey("timetable", "127.0.0.1:9000")
func BerthKey(svc, addr string) string { return "berth/" + svc + "/" + addr }
