package placement

import "fmt"

// Where the platform lists the servers' roles, sides are balanced by the pressure on their servers: on average,
// as a fraction of what requests bear.
const (
	highPressure     = 0.5     // from then on a side is short
	lowPressure      = 0.4     // up to this the other side can spare a server: its pressure with one less
	maxPressureRatio = 0.8     // and its pressure then is at most this fraction of the pressed side's
	pressureWeight   = 1.0 / 8 // of a new value in the average of a server's pressure
	deniedSwapBounds = 4       // that the list may deny an order before it is given again: requests there may go on
)

// hasListedRoles tells whether the platform lists the roles of these servers.
func (r *round) hasListedRoles() bool {
	for _, key := range r.keys {
		if r.servers[key].hasListedRole() {
			return true
		}
	}
	return false
}

// enterListed gives a server that the platform lists with a role its first record. A
// new one takes the role that keeps the proportion of the sides: it isn't used while
// it warms up, so that a change costs least now.
func (r *round) enterListed(key string, s *server, count map[string]int) {
	role := s.listing.role
	if s.order.role != "" {
		role = s.order.role
	}
	if s.listing.warming && role == s.listing.role {
		role = r.proportionateRole(role, count)
	}
	count[role]++
	if role != s.order.role {
		r.order(key, s, role, "keeps the sides in proportion")
		return
	}
	status := s.listedStatus()
	if role != s.listing.role {
		status = Warming
	}
	r.write(key, s, s.firstRecord(role, status), "listed")
}

// proportionateRole is the role for one server more that keeps the fraction of prefill servers as it was.
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

// repeatDeniedOrder orders again what the platform's list goes on denying.
func (r *round) repeatDeniedOrder(key string, s *server) {
	if s.listing.role == s.Role || s.isLeaving() {
		s.listing.deniedSince = 0
		return
	}
	if s.listing.deniedSince == 0 {
		s.listing.deniedSince = r.now
	}
	if r.now-s.listing.deniedSince > deniedSwapBounds*r.cfg.SwapBound {
		s.listing.deniedSince = r.now
		r.order(key, s, s.Role, "again")
	}
}

// sides are the servers of one service whose roles the platform lists, by the role
// that they play.
type sides struct {
	inUse      map[string][]string // keys of those that requests go to now
	present    map[string]int      // those that warm up, too: they are in use soon
	all        int
	isShifting bool // one of them is shifting, or the list doesn't follow an order yet
}

// observeSides counts the sides and takes the pressure on their servers into the averages.
func (r *round) observeSides() sides {
	s := sides{inUse: map[string][]string{}, present: map[string]int{}}
	for _, key := range r.keys {
		server := r.servers[key]
		if !server.listed || server.isLeaving() || server.Role == "" {
			continue
		}
		s.all++
		s.isShifting = s.isShifting || server.NextRole != "" || server.order.pending || server.listing.role != server.Role
		server.observed.pressure.average(r.Pressure(r.service, server.key()))
		if server.NextRole == "" && server.Status != Dark {
			s.present[server.Role]++
		}
		if server.isInUse() {
			s.inUse[server.Role] = append(s.inUse[server.Role], key)
		}
	}
	return s
}

// average takes a new value into a moving average.
func (p *Pressure) average(now Pressure) {
	p.Prefill += (now.Prefill - p.Prefill) * pressureWeight
	p.Decode += (now.Decode - p.Decode) * pressureWeight
}

// of is the pressure on the requests that a role serves.
func (p Pressure) of(role string) float64 {
	if role == Decode {
		return p.Decode
	}
	return p.Prefill
}

// balanceListed shifts a server of a listed service from the side that is at ease to
// the one that has been pressed, never the last one, never below the plan's least; and to a side
// that has none left.
func (r *round) balanceListed() {
	if r.Pressure == nil || !r.hasListedRoles() {
		return
	}
	s := r.observeSides()
	prefill, decode := len(s.inUse[Prefill]), len(s.inUse[Decode])
	if _, ok := r.prefillShare[r.service]; !ok && s.all > 0 && prefill+decode == s.all {
		r.prefillShare[r.service] = float64(prefill) / float64(s.all)
	}
	if s.isShifting || r.now-r.lastShift[r.service] < r.cfg.ListedDwell || !r.mayOrder(r.now) {
		return
	}
	if r.fillVacant(s) || prefill == 0 || decode == 0 {
		return
	}
	for _, to := range []string{Decode, Prefill} {
		if r.relieve(to, s) {
			return
		}
	}
}

// relieve shifts a server to a side that has been pressed for a while, and tells whether it did.
func (r *round) relieve(to string, s sides) bool {
	from := otherRole(to)
	side := shortage{service: r.service, role: to}
	pressure := r.totalPressure(to, s) / float64(len(s.inUse[to]))
	withOneLess := r.totalPressure(from, s) / float64(max(1, len(s.inUse[from])-1))
	canSpare := len(s.inUse[from]) > r.leastServers(from)
	if !canSpare || pressure < highPressure || withOneLess > lowPressure || withOneLess > pressure*maxPressureRatio {
		delete(r.shortSince, side)
		return false
	}
	if r.shortFor(r.now, side) < r.cfg.PressWindow {
		return false
	}
	delete(r.shortSince, side)
	prefill := len(s.inUse[Prefill]) - 1
	if to == Prefill {
		prefill = len(s.inUse[Prefill]) + 1
	}
	r.prefillShare[r.service] = float64(prefill) / float64(s.all)
	r.shiftLeastPressed(s.inUse[from], to, fmt.Sprintf(
		"%s side is pressed %.2f, %s side would be %.2f with one less", to, pressure, from, withOneLess,
	))
	return true
}

// totalPressure is the sum over the servers of a side that are in use.
func (r *round) totalPressure(role string, s sides) (sum float64) {
	for _, key := range s.inUse[role] {
		sum += r.servers[key].observed.pressure.of(role)
	}
	return sum
}

// shiftLeastPressed begins the shift of the server of a side that has the least to do.
func (r *round) shiftLeastPressed(from []string, to, reason string) {
	r.beginShift(r.leastPressed(from), to, reason)
}

// leastPressed is the server with the least to do, of the zone that has most of them.
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

// isBetterToShift compares two servers of a side that has so many in each zone.
func (r *round) isBetterToShift(s, other *server, zones map[string]int) bool {
	if zones[s.Zone] != zones[other.Zone] {
		return zones[s.Zone] > zones[other.Zone]
	}
	return s.observed.pressure.total() < other.observed.pressure.total()
}

func (p Pressure) total() float64 { return p.Prefill + p.Decode }
