package fleetconfig

import (
	"fmt"
	"slices"
)

// Change is one named change to the plan in force.
type Change struct {
	Op      string   `json:"op"`
	Name    string   `json:"name,omitempty"`
	Tenant  *Tenant  `json:"tenant,omitempty"`
	Service *Service `json:"service,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Limits  *Limits  `json:"limits,omitempty"`
	Server  string   `json:"server,omitempty"`
	Needs   int      `json:"needs,omitempty"`   // the format that a build must read; 0: any
	Lenient bool     `json:"lenient,omitempty"` // to drop what isn't there is no fault
}

// Changes is a set of named changes, taken all or none, in their order.
type Changes struct {
	ID      string   `json:"id"`
	Base    uint64   `json:"base"`
	Number  uint64   `json:"number,omitempty"` // see Plan.Number
	Changes []Change `json:"changes"`
}

const ops = "expected set-tenant, drop-tenant, set-service, drop-service, set-route, drop-route, set-limits, set-needs, exclude-server or include-server"

// list is a plan's items under change, found by name; what is dropped is
// taken out at the end, so that places hold until then.
type list[T any] struct {
	items []T
	at    map[string]int
	gone  map[int]bool
}

func newList[T any](items []T, name func(*T) string) *list[T] {
	l := &list[T]{items: slices.Clone(items), at: make(map[string]int, len(items)), gone: map[int]bool{}}
	for i := range l.items {
		l.at[name(&l.items[i])] = i
	}
	return l
}

// set replaces the item of that name in its place or adds it at the end.
func (l *list[T]) set(name string, x T) {
	if i, ok := l.at[name]; ok {
		l.items[i] = x
		return
	}
	l.at[name] = len(l.items)
	l.items = append(l.items, x)
}

func (l *list[T]) drop(name string) bool {
	i, ok := l.at[name]
	if ok {
		l.gone[i] = true
		delete(l.at, name)
	}
	return ok
}

func (l *list[T]) left() []T {
	if len(l.gone) == 0 {
		return l.items
	}
	out := make([]T, 0, len(l.items)-len(l.gone))
	for i, x := range l.items {
		if !l.gone[i] {
			out = append(out, x)
		}
	}
	return out
}

// draft is a plan under change.
type draft struct {
	tenants  *list[Tenant]
	services *list[Service]
	routes   *list[Route]
	limits   Limits
	needs    int
}

// Apply applies named changes to a copy of the plan; faults name the change.
//
// Example: next, f := plan.Apply(changes)
func (p Plan) Apply(c Changes) (Plan, Faults) {
	var f Faults
	d := draft{
		tenants:  newList(p.Tenants, func(t *Tenant) string { return t.Name }),
		services: newList(p.Services, func(s *Service) string { return s.Name }),
		routes:   newList(p.Routes, func(r *Route) string { return r.Name }), limits: p.Limits, needs: p.Needs,
	}
	for i := range d.services.items {
		d.services.items[i].Exclude = slices.Clone(d.services.items[i].Exclude)
	}
	if len(c.Changes) == 0 && c.Number == 0 {
		f.Add("changes: none given")
	}
	for i, ch := range c.Changes {
		if why := d.apply(ch); why != "" {
			f.Add("changes[%d] %q: %s", i, ch.Op, why)
		}
	}
	if f.Any() {
		return p, f
	}
	out := p
	out.ID, out.Number = c.ID, c.Number
	out.Tenants, out.Services, out.Routes, out.Limits, out.Needs = d.tenants.left(), d.services.left(), d.routes.left(), d.limits, d.needs
	return out, out.Validate()
}

func (d *draft) apply(c Change) string {
	switch c.Op {
	case "set-tenant":
		if c.Tenant == nil {
			return "needs a tenant"
		}
		d.tenants.set(c.Tenant.Name, *c.Tenant)
	case "drop-tenant":
		if !d.tenants.drop(c.Name) && !c.Lenient {
			return fmt.Sprintf("no tenant %q", c.Name)
		}
	case "set-service":
		if c.Service == nil {
			return "needs a service"
		}
		d.services.set(c.Service.Name, *c.Service)
	case "drop-service":
		if !d.services.drop(c.Name) && !c.Lenient {
			return fmt.Sprintf("no service %q", c.Name)
		}
	case "set-route":
		if c.Route == nil {
			return "needs a route"
		}
		d.routes.set(c.Route.Name, *c.Route)
	case "drop-route":
		if !d.routes.drop(c.Name) && !c.Lenient {
			return fmt.Sprintf("no route %q", c.Name)
		}
	case "set-limits":
		if c.Limits == nil {
			return "needs limits"
		}
		d.limits = *c.Limits
	case "set-needs":
		d.needs = c.Needs
	case "exclude-server", "include-server":
		return d.exclude(c)
	default:
		return ops
	}
	return ""
}

func (d *draft) exclude(c Change) string {
	i, ok := d.services.at[c.Name]
	if !ok {
		return fmt.Sprintf("no service %q", c.Name)
	}
	if err := address(c.Server); err != nil {
		return "server " + err.Error()
	}
	var rest []string
	for _, a := range d.services.items[i].Exclude {
		if a != c.Server {
			rest = append(rest, a)
		}
	}
	if c.Op == "exclude-server" {
		rest = append(rest, c.Server)
	}
	d.services.items[i].Exclude = rest
	return ""
}
