package fleetconfig

import (
	"fmt"
	"slices"
)

// Change is a single named change to the current plan.
type Change struct {
	Op      string   `json:"op"`             // one of the operations below
	Name    string   `json:"name,omitempty"` // of the item to drop, or of the service of Server
	Tenant  *Tenant  `json:"tenant,omitempty"`
	Service *Service `json:"service,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Limits  *Limits  `json:"limits,omitempty"`
	Server  string   `json:"server,omitempty"`  // address of the server to exclude or include
	Needs   int      `json:"needs,omitempty"`   // format that a build must read; 0: any
	Lenient bool     `json:"lenient,omitempty"` // dropping a missing item is not a fault
}

// Changes is a list of named changes that are applied in order, all or none.
type Changes struct {
	ID      string   `json:"id"`               // chosen by the operator; a repeated id gets the same answer
	Base    uint64   `json:"base"`             // version of the plan that they apply to
	Number  uint64   `json:"number,omitempty"` // see Plan.Number
	Changes []Change `json:"changes"`
}

// Operations of a change. Operators' programs depend on these values.
const (
	OpSetTenant     = "set-tenant"
	OpDropTenant    = "drop-tenant"
	OpSetService    = "set-service"
	OpDropService   = "drop-service"
	OpSetRoute      = "set-route"
	OpDropRoute     = "drop-route"
	OpSetLimits     = "set-limits"
	OpSetNeeds      = "set-needs"
	OpExcludeServer = "exclude-server" // stop sending work to a server of a service
	OpIncludeServer = "include-server" // undo OpExcludeServer
)

const opExpected = "expected set-tenant, drop-tenant, set-service, drop-service, set-route, drop-route, " +
	"set-limits, set-needs, exclude-server or include-server"

// itemList is an editable list of a plan's items, indexed by name. Dropped items are only
// removed by remaining, so that indexes stay valid until then.
type itemList[T any] struct {
	items   []T
	indexes map[string]int // by name, without dropped items
	dropped map[int]bool   // by index
}

func newItemList[T any](items []T, name func(*T) string) *itemList[T] {
	l := &itemList[T]{items: slices.Clone(items), indexes: make(map[string]int, len(items)), dropped: map[int]bool{}}
	for i := range l.items {
		l.indexes[name(&l.items[i])] = i
	}
	return l
}

// set replaces the item of that name in place or appends it.
func (l *itemList[T]) set(name string, item T) {
	if i, ok := l.indexes[name]; ok {
		l.items[i] = item
		return
	}
	l.indexes[name] = len(l.items)
	l.items = append(l.items, item)
}

// drop marks the item of that name as dropped and reports whether there was one.
func (l *itemList[T]) drop(name string) bool {
	i, ok := l.indexes[name]
	if ok {
		l.dropped[i] = true
		delete(l.indexes, name)
	}
	return ok
}

// remaining returns the items that aren't dropped, in order.
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

// draft is an editable copy of the parts of a plan.
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
		d.services.items[i].Exclude = slices.Clone(d.services.items[i].Exclude) // don't modify the current plan
	}
	return d
}

// Apply applies named changes to a copy of the plan. Faults name the change that caused them.
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
	next.KeysRequired = p.NeedsKeys() && !next.hasTenantsByKey() // the last one's removal opens no route
	return next, next.Validate()
}

// apply applies one change and returns its fault, or "" if it succeeded.
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

// set adds an item or replaces the item of the same name.
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

// drop removes the item of the given name.
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

// exclude adds a server to a service's list of excluded servers, or removes it from the list.
func (d *draft) exclude(c Change) (fault string) {
	i, ok := d.services.indexes[c.Name]
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
