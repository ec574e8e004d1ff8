// Package route finds the route of a request. It indexes a plan's routes by host and
// path prefix, so that the cost of a lookup does not depend on the number of routes.
package route

import (
	"slices"

	"mulleinmast/control/fleetconfig"
)

// Table is an index of a plan's routes. It is immutable and safe for concurrent use.
type Table struct {
	hosts map[string]*host              // by normalized name
	names map[string]*fleetconfig.Route // by the route's name
}

// host indexes the routes of one host.
type host struct {
	lengths  []int // distinct lengths of its prefixes in bytes, longest first
	prefixes map[string]*fleetconfig.Route
}

// New indexes the routes of a plan. Call it once per plan version.
//
// Example: t := route.New(fleetconfig.MustReadPlan(rec))
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

// Match returns the host's route with the longest prefix of the path. The host may
// include a port and be in any case; the path is the escaped path of the request,
// without the query. The returned route must not be modified.
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

// Named returns the route with the given name.
//
// Example: r, ok := t.Named("r-7yd4a3h")
func (t *Table) Named(name string) (*fleetconfig.Route, bool) {
	r, ok := t.names[name]
	return r, ok
}

// Len returns the number of routes.
//
// Example: route.New(fleetconfig.Plan{}).Len() == 0
func (t *Table) Len() int { return len(t.names) }

// Pick chooses a service in proportion to the route's weights; the same random bits
// always choose the same service. It returns "" if no weight is above 0.
//
// Example: svc := route.Pick(r, rand.Uint64())
func Pick(r *fleetconfig.Route, random uint64) string {
	sum := 0.0
	for _, s := range r.Services {
		sum += max(0, s.Weight)
	}
	at, last := float64(random>>11)/(1<<53)*sum, "" // at is in [0, sum): the mantissa of a float64 has 53 bits
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		if at < s.Weight {
			return s.Service
		}
		at, last = at-s.Weight, s.Service
	}
	return last // at reached the sum of the weights by rounding
}
