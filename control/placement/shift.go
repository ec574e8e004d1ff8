package placement

import (
	"fmt"
	"time"
)

// shortage names a side of a service that lacks servers.
type shortage struct {
	service string
	role    string
	vacant  bool // no server is left that plays the role
}

// shortFor is for how long a side has been short; the first time it is noted.
func (c *Controller) shortFor(now time.Duration, side shortage) time.Duration {
	if _, ok := c.shortSince[side]; !ok {
		c.shortSince[side] = now
	}
	return now - c.shortSince[side]
}

func otherRole(role string) string {
	if role == Decode {
		return Prefill
	}
	return Decode
}

// leastServers is how many servers of a role a service keeps.
func (r *round) leastServers(role string) int {
	service := r.services[r.service]
	if role == Prefill {
		return max(1, service.PrefillServers)
	}
	return max(1, service.DecodeServers)
}

// continueShift orders a server its next role once nothing of the old one is in flight there, and
// writes the role once the order is accepted. That the record is committed means that the invalidation is complete.
func (r *round) continueShift(key string, s *server) {
	if s.order.role == s.NextRole {
		record := s.ServerRecord
		record.Role, record.NextRole, record.Status, record.Pairs = s.NextRole, "", Warming, nil
		s.warmingSince = r.now
		r.write(key, s, record, "shifted")
		return
	}
	isDrained := s.observed.usage.Active == 0 && r.inFlight(r.service, s.Addr) == 0
	if isDrained || r.now-s.leavingSince > r.cfg.DrainTimeout {
		r.order(key, s, s.NextRole, "shift")
	}
}

// beginShift has a server leave its role for another; the order follows once
// nothing of the old role is in flight there.
func (r *round) beginShift(key, role, reason string) {
	s := r.servers[key]
	r.lastShift[r.service], s.leavingSince = r.now, r.now
	record := s.ServerRecord
	record.NextRole, record.Status, record.Pairs = role, Leaving, nil
	r.write(key, s, record, reason)
}

// shiftPolled shifts one server from the side that can spare it to the one that has
// been short for a whole window; never the last one, never below the plan's least.
// It is for services whose roles the platform doesn't list.
func (r *round) shiftPolled(count map[string]int, isShifting bool) {
	if isShifting || r.hasListedRoles() || r.now-r.lastShift[r.service] < r.cfg.Dwell || !r.mayOrder(r.now) {
		return
	}
	load := r.sideLoads()
	for _, to := range []string{Prefill, Decode} {
		from := otherRole(to)
		side := shortage{service: r.service, role: to}
		isShort := count[from] > r.leastServers(from) && load[to] > r.cfg.HighUsage && load[from] < r.cfg.LowUsage
		isBelowPlan := count[to] < r.leastServers(to) && count[from] > 1
		if !isShort && !isBelowPlan {
			delete(r.shortSince, side)
			continue
		}
		if r.shortFor(r.now, side) < r.cfg.UsageWindow && !isBelowPlan {
			continue
		}
		key := r.leastActive(from)
		if key == "" {
			continue
		}
		delete(r.shortSince, side)
		reason := fmt.Sprintf("%s side needs %.2f of its slots, %s side %.2f", to, load[to], from, load[from])
		r.beginShift(key, to, reason)
		return
	}
}

// sideLoads is the demand for each side's slots, as a fraction of them.
func (r *round) sideLoads() map[string]float64 {
	slots := map[string]int{}
	for _, key := range r.keys {
		if s := r.servers[key]; s.listed && !s.isLeaving() && s.Status != Dark {
			slots[s.Role] += s.Capacity
		}
	}
	load := map[string]float64{}
	for _, role := range []string{Prefill, Decode} {
		load[role] = float64(r.demand(r.service, role)) / float64(max(1, slots[role]))
	}
	return load
}

// leastActive is the server of a side with the fewest active requests that may shift; "": there is none.
func (r *round) leastActive(role string) (least string) {
	for _, key := range r.keys {
		s := r.servers[key]
		mayShift := s.listed && !s.writePending && s.Role == role && s.isInUse() && !s.isLeaving() && s.order.role == s.Role
		if mayShift && (least == "" || s.observed.usage.Active < r.servers[least].observed.usage.Active) {
			least = key
		}
	}
	return least
}
