package fleetconfig

import (
	"fmt"
	"slices"
)

// Change is one named change to the plan in force.
type Change struct {
	Op      string   `json:"op"`             // one of the operations below
	Name    string   `json:"name,omitempty"` // of what is dropped, or of the service of a server
	Tenant  *Tenant  `json:"tenant,omitempty"`
	Service *Service `json:"service,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Limits  *Limits  `json:"limits,omitempty"`
	Server  string   `json:"server,omitempty"`  // address of the server that is excluded or included
	Needs   int      `json:"needs,omitempty"`   // the format that a build must read; 0: any
	Lenient bool     `json:"lenient,omitempty"` // to drop what isn't there is no fault
}

// Changes is a set of named changes, accepted all or none, in their order.
type Changes struct {
	ID      string   `json:"id"`               // the operator's; the same id again gets the same answer
	Base    uint64   `json:"base"`             // version of the plan that they are for
	Number  uint64   `json:"number,omitempty"` // see Plan.Number
	Changes []Change `json:"changes"`
}

// The operations of a change. Operators' programs name them.
const (
	OpSetTenant     = "set-tenant"
	OpDropTenant    = "drop-tenant"
	OpSetService    = "set-service"
	OpDropService   = "drop-service"
	OpSetRoute      = "set-route"
	OpDropRoute     = "drop-route"
	OpSetLimits     = "set-limits"
	OpSetNeeds      = "set-needs"
	OpExcludeServer = "exclude-server" // a server of a service gets no work
	OpIncludeServer = "include-server" // it does again
)

const opExpected = "expected set-tenant, drop-tenant, set-service, drop-service, set-route, drop-route, " +
	"set-limits, set-needs, exclude-server or include-server"

// itemList is a plan's items under change, found by name; what is dropped is
// removed at the end, so that places hold until then.
type itemList[T any] struct {
	items   []T
	places  map[string]int // by name; of those that aren't dropped
	dropped map[int]bool   // places
}

func newItemList[T any](items []T, name func(*T) string) *itemList[T] {
	l := &itemList[T]{items: slices.Clone(items), places: make(map[string]int, len(items)), dropped: map[int]bool{}}
	for i := range l.items {
		l.places[name(&l.items[i])] = i
	}
	return l
}

// set replaces the item of that name in its place or adds it at the end.
func (l *itemList[T]) set(name string, item T) {
	if i, ok := l.places[name]; ok {
		l.items[i] = item
		return
	}
	l.places[name] = len(l.items)
	l.items = append(l.items, item)
}

// drop tells whether there was an item of that name.
func (l *itemList[T]) drop(name string) bool {
	i, ok := l.places[name]
	if ok {
		l.dropped[i] = true
		delete(l.places, name)
	}
	return ok
}

// remaining are the items that aren't dropped, in their order.
func (l *itemList[T]) remaining() []T {
	if len(l.dropped) == 0 {
		return l.items
	}
	out := make([]T, 0, len(l.items)-len(l.dropped))
	for i, item := range l.items {
		if !l.dropped[i] {
			out = append(out, item)
		}
	}
	return out
}

// draft is a plan under change.
type draft struct {
	tenants  *itemList[Tenant]
	services *itemList[Service]
	routes   *itemList[Route]
	limits   Limits
	needs    int
}

func newDraft(p Plan) *draft {
	d := &draft{
		tenants:  newItemList(p.Tenants, func(t *Tenant) string { return t.Name }),
		services: newItemList(p.Services, func(s *Service) string { return s.Name }),
		routes:   newItemList(p.Routes, func(r *Route) string { return r.Name }),
		limits:   p.Limits, needs: p.Needs,
	}
	for i := range d.services.items {
		d.services.items[i].Exclude = slices.Clone(d.services.items[i].Exclude) // the plan in force keeps its own
	}
	return d
}

// Apply applies named changes to a copy of the plan; faults name the change.
//
// Example: next, f := plan.Apply(changes)
func (p Plan) Apply(c Changes) (Plan, Faults) {
	var f Faults
	d := newDraft(p)
	if len(c.Changes) == 0 && c.Number == 0 {
		f.Add("changes: none given")
	}
	for i, change := range c.Changes {
		if fault := d.apply(change); fault != "" {
			f.Add("changes[%d] %q: %s", i, change.Op, fault)
		}
	}
	if f.Any() {
		return p, f
	}
	next := p
	next.ID, next.Number = c.ID, c.Number
	next.Tenants, next.Services, next.Routes = d.tenants.remaining(), d.services.remaining(), d.routes.remaining()
	next.Limits, next.Needs = d.limits, d.needs
	return next, next.Validate()
}

// apply makes one change; the fault is "" if it could.
func (d *draft) apply(c Change) (fault string) {
	switch c.Op {
	case OpSetTenant, OpSetService, OpSetRoute, OpSetLimits:
		return d.set(c)
	case OpDropTenant, OpDropService, OpDropRoute:
		return d.drop(c)
	case OpSetNeeds:
		d.needs = c.Needs
		return ""
	case OpExcludeServer, OpIncludeServer:
		return d.exclude(c)
	default:
		return opExpected
	}
}

// set adds an item or replaces the one of its name.
func (d *draft) set(c Change) (fault string) {
	switch {
	case c.Op == OpSetTenant && c.Tenant != nil:
		d.tenants.set(c.Tenant.Name, *c.Tenant)
	case c.Op == OpSetTenant:
		return "needs a tenant"
	case c.Op == OpSetService && c.Service != nil:
		d.services.set(c.Service.Name, *c.Service)
	case c.Op == OpSetService:
		return "needs a service"
	case c.Op == OpSetRoute && c.Route != nil:
		d.routes.set(c.Route.Name, *c.Route)
	case c.Op == OpSetRoute:
		return "needs a route"
	case c.Limits != nil:
		d.limits = *c.Limits
	default:
		return "needs limits"
	}
	return ""
}

// drop removes an item by its name.
func (d *draft) drop(c Change) (fault string) {
	kind, ok := "", false
	switch c.Op {
	case OpDropTenant:
		kind, ok = "tenant", d.tenants.drop(c.Name)
	case OpDropService:
		kind, ok = "service", d.services.drop(c.Name)
	case OpDropRoute:
		kind, ok = "route", d.routes.drop(c.Name)
	}
	if !ok && !c.Lenient {
		return fmt.Sprintf("no %s %q", kind, c.Name)
	}
	return ""
}

// exclude adds a server to those of a service that get no work, or takes it from them.
func (d *draft) exclude(c Change) (fault string) {
	i, ok := d.services.places[c.Name]
	if !ok {
		return fmt.Sprintf("no service %q", c.Name)
	}
	if err := validateAddress(c.Server); err != nil {
		return "server " + err.Error()
	}
	var excluded []string
	for _, addr := range d.services.items[i].Exclude {
		if addr != c.Server {
			excluded = append(excluded, addr)
		}
	}
	if c.Op == OpExcludeServer {
		excluded = append(excluded, c.Server)
	}
	d.services.items[i].Exclude = excluded
	return ""
}
