package placement

import "fmt"

// Where the platform lists the servers' roles, the prefill and decode sides of a service are balanced by the
// average pressure on their servers; see Pressure.
const (
	highPressure      = 0.5     // a side at or above this pressure needs another server
	lowPressure       = 0.4     // the other side can spare a server if its pressure with one server less is at most this
	maxPressureRatio  = 0.8     // and is also at most this fraction of the pressure on the side that needs the server
	pressureWeight    = 1.0 / 8 // weight of a new value in the moving average of a server's pressure
	ignoredSwapBounds = 4       // an order that the list contradicts is repeated after this many swap bounds
)

// hasListedRoles reports whether the platform lists the roles of the service's servers.
func (r *round) hasListedRoles() bool {
	for _, key := range r.keys {
		if r.servers[key].hasListedRole() {
			return true
		}
	}
	return false
}

// addListedServer writes the first record of a server that the platform lists with a role. A
// server that is still warming up takes the role that keeps the sides in proportion: it isn't
// in use yet, so changing its role is cheapest now.
func (r *round) addListedServer(key string, s *server, count map[string]int) {
	role := s.listing.role
	if s.order.role != "" {
		role = s.order.role
	}
	if s.listing.warming && role == s.listing.role {
		role = r.proportionateRole(role, count)
	}
	count[role]++
	if role != s.order.role {
		r.issueOrder(key, s, role, "keeps the sides in proportion")
		return
	}
	status := s.listedStatus()
	if role != s.listing.role {
		status = Warming
	}
	r.write(key, s, s.firstRecord(role, status), "listed")
}

// proportionateRole returns the role for an additional server that keeps the fraction of prefill servers unchanged.
func (r *round) proportionateRole(role string, count map[string]int) string {
	share, ok := r.prefillShare[r.service]
	if !ok || count[Prefill] == 0 || count[Decode] == 0 {
		return role
	}
	prefill, proportionate := float64(count[Prefill]), share*float64(count[Prefill]+count[Decode]+1)
	switch {
	case role == Prefill && prefill+1 > proportionate+0.5:
		return Decode
	case role == Decode && prefill < proportionate-0.5:
		return Prefill
	}
	return role
}

// repeatIgnoredOrder repeats an order if the platform's list has named a role other than the one in the server's
// record for ignoredSwapBounds. Until then, requests in flight at the server may be delaying the shift.
func (r *round) repeatIgnoredOrder(key string, s *server) {
	if s.listing.role == s.Role || s.isLeaving() {
		s.listing.mismatchSince = 0
		return
	}
	if s.listing.mismatchSince == 0 {
		s.listing.mismatchSince = r.now
	}
	if r.now-s.listing.mismatchSince > ignoredSwapBounds*r.cfg.SwapBound {
		s.listing.mismatchSince = r.now
		r.issueOrder(key, s, s.Role, "again")
	}
}

// sides are the servers of one service whose roles the platform lists, grouped by
// role.
type sides struct {
	inUse      map[string][]string // keys of the servers that currently receive requests
	present    map[string]int      // number of servers in use or warming up, which will be in use soon
	all        int
	isShifting bool // a server is shifting, or the list doesn't reflect an order yet
}

// observeSides counts the servers of each side and updates the average pressure of each server.
func (r *round) observeSides() sides {
	s := sides{inUse: map[string][]string{}, present: map[string]int{}}
	for _, key := range r.keys {
		server := r.servers[key]
		if !server.listed || server.isLeaving() || server.Role == "" {
			continue
		}
		s.all++
		s.isShifting = s.isShifting || server.NextRole != "" || server.order.pending || server.listing.role != server.Role
		server.observed.pressure.addSample(r.Pressure(r.service, server.key()))
		if server.NextRole == "" && server.Status != Dark {
			s.present[server.Role]++
		}
		if server.isInUse() {
			s.inUse[server.Role] = append(s.inUse[server.Role], key)
		}
	}
	return s
}

// addSample adds a new value to the moving average.
func (p *Pressure) addSample(now Pressure) {
	p.Prefill += (now.Prefill - p.Prefill) * pressureWeight
	p.Decode += (now.Decode - p.Decode) * pressureWeight
}

// forRole returns the pressure on the requests that a role serves.
func (p Pressure) forRole(role string) float64 {
	if role == Decode {
		return p.Decode
	}
	return p.Prefill
}

// balanceListed shifts a server of a listed service to a side that has none left, or from
// a side with low pressure to a side under sustained high pressure. A shift because of pressure never
// takes a side's last server and never goes below the plan's minimum.
func (r *round) balanceListed() {
	if r.Pressure == nil || !r.hasListedRoles() {
		return
	}
	s := r.observeSides()
	prefill, decode := len(s.inUse[Prefill]), len(s.inUse[Decode])
	if _, ok := r.prefillShare[r.service]; !ok && s.all > 0 && prefill+decode == s.all {
		r.prefillShare[r.service] = float64(prefill) / float64(s.all)
	}
	if s.isShifting || r.now-r.lastShift[r.service] < r.cfg.ListedMinShiftInterval || !r.mayOrder(r.now) {
		return
	}
	if r.fillVacant(s) || prefill == 0 || decode == 0 {
		return
	}
	for _, to := range []string{Decode, Prefill} {
		if r.relieveSide(to, s) {
			return
		}
	}
}

// relieveSide shifts a server to a side that has been under high pressure for PressureWindow. It reports whether it
// shifted one.
func (r *round) relieveSide(to string, s sides) bool {
	from := otherRole(to)
	side := shortage{service: r.service, role: to}
	pressure := r.totalPressure(to, s) / float64(len(s.inUse[to]))
	withOneLess := r.totalPressure(from, s) / float64(max(1, len(s.inUse[from])-1))
	canSpare := len(s.inUse[from]) > r.minServers(from)
	if !canSpare || pressure < highPressure || withOneLess > lowPressure || withOneLess > pressure*maxPressureRatio {
		delete(r.shortSince, side)
		return false
	}
	if r.shortageDuration(r.now, side) < r.cfg.PressureWindow {
		return false
	}
	delete(r.shortSince, side)
	prefill := len(s.inUse[Prefill]) - 1
	if to == Prefill {
		prefill = len(s.inUse[Prefill]) + 1
	}
	r.prefillShare[r.service] = float64(prefill) / float64(s.all)
	r.shiftLeastPressed(s.inUse[from], to, fmt.Sprintf(
		"pressure on %s side is %.2f, on %s side it would be %.2f with one server less", to, pressure, from, withOneLess,
	))
	return true
}

// totalPressure returns the sum of the pressure on the servers of a side that are in use.
func (r *round) totalPressure(role string, s sides) (sum float64) {
	for _, key := range s.inUse[role] {
		sum += r.servers[key].observed.pressure.forRole(role)
	}
	return sum
}

// shiftLeastPressed starts to shift the server that leastPressed chooses from a side.
func (r *round) shiftLeastPressed(from []string, to, reason string) {
	r.beginShift(r.leastPressed(from), to, reason)
}

// leastPressed returns the server under the least pressure in the zone with the most servers.
func (r *round) leastPressed(keys []string) (least string) {
	zones := map[string]int{}
	for _, key := range keys {
		zones[r.servers[key].Zone]++
	}
	for _, key := range keys {
		if least == "" || r.isBetterToShift(r.servers[key], r.servers[least], zones) {
			least = key
		}
	}
	return least
}

// isBetterToShift reports whether s should be shifted rather than other; zones counts the side's servers by zone.
func (r *round) isBetterToShift(s, other *server, zones map[string]int) bool {
	if zones[s.Zone] != zones[other.Zone] {
		return zones[s.Zone] > zones[other.Zone]
	}
	return s.observed.pressure.total() < other.observed.pressure.total()
}

func (p Pressure) total() float64 { return p.Prefill + p.Decode }
