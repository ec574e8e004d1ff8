// Package route finds the route of a request: a plan's routes laid out by host
// and prefix, so that a look-up costs the same however many routes there are.
package route

import (
	"slices"

	"mulleinmast/control/fleetconfig"
)

// Table is a plan's routes ready for look-ups; it doesn't change and may be
// used by many at once.
type Table struct {
	hosts map[string]*host              // by normalized name
	names map[string]*fleetconfig.Route // by the route's name
}

// host holds the routes of one host.
type host struct {
	lengths  []int // of its prefixes, in bytes; each once, the longest first
	prefixes map[string]*fleetconfig.Route
}

// New lays out the routes of a plan; do it once a version.
//
// Example: t := route.New(fleetconfig.OpenPlan(rec))
func New(plan fleetconfig.Plan) *Table {
	t := &Table{hosts: map[string]*host{}, names: make(map[string]*fleetconfig.Route, len(plan.Routes))}
	routes := slices.Clone(plan.Routes)
	for i := range routes {
		r := &routes[i]
		t.names[r.Name] = r
		name := fleetconfig.NormalizeHost(r.Host)
		h := t.hosts[name]
		if h == nil {
			h = &host{prefixes: map[string]*fleetconfig.Route{}}
			t.hosts[name] = h
		}
		h.prefixes[r.Prefix] = r
		if n := len(r.Prefix); !slices.Contains(h.lengths, n) {
			h.lengths = append(h.lengths, n)
		}
	}
	for _, h := range t.hosts {
		slices.Sort(h.lengths)
		slices.Reverse(h.lengths)
	}
	return t
}

// Match finds the route with the longest prefix that begins the path, among
// those of the host. The host may carry a port and be in any case; the path is
// as it came, without the query. The route must not be changed.
//
// Example: r, ok := t.Match(req.Host, req.URL.EscapedPath())
func (t *Table) Match(hostPort, path string) (*fleetconfig.Route, bool) {
	h := t.hosts[fleetconfig.NormalizeHost(hostPort)]
	if h == nil {
		return nil, false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r := h.prefixes[path[:n]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Named finds a route by its name.
//
// Example: r, ok := t.Named("r-7yd4a3h")
func (t *Table) Named(name string) (*fleetconfig.Route, bool) {
	r, ok := t.names[name]
	return r, ok
}

// Len is the number of routes.
//
// Example: route.New(fleetconfig.Plan{}).Len() == 0
func (t *Table) Len() int { return len(t.names) }

// Pick chooses a service by the weights of the route; the same random bits
// give the same service. A route without a weight above 0 gives none.
//
// Example: svc := route.Pick(r, rand.Uint64())
func Pick(r *fleetconfig.Route, random uint64) string {
	sum := 0.0
	for _, s := range r.Services {
		sum += max(0, s.Weight)
	}
	at, last := float64(random>>11)/(1<<53)*sum, "" // at is in [0, sum): a float64 has 53 bits
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		if at < s.Weight {
			return s.Service
		}
		at, last = at-s.Weight, s.Service
	}
	return last // rounding brought at to the very end
}
