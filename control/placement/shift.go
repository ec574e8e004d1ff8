package placement

import (
	"fmt"
	"time"
)

// shortage identifies a side of a service that lacks servers.
type shortage struct {
	service string
	role    string
	vacant  bool // no server plays the role
}

// shortageDuration returns how long a side has been short, counted from the first call since the shortage began.
func (c *Controller) shortageDuration(now time.Duration, side shortage) time.Duration {
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

// minServers returns the minimum number of servers of a role that the service keeps.
func (r *round) minServers(role string) int {
	service := r.services[r.service]
	if role == Prefill {
		return max(1, service.PrefillServers)
	}
	return max(1, service.DecodeServers)
}

// continueShift orders a server to take its next role once no requests of the old role are in flight there, and
// writes the new role once the order is accepted. It runs only after the record that began the shift is committed,
// and therefore after the previous version of the record has been invalidated in all caches.
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
		r.issueOrder(key, s, s.NextRole, "shift")
	}
}

// beginShift makes a server leave its role for another one; the order follows once
// no requests of the old role are in flight there.
func (r *round) beginShift(key, role, reason string) {
	s := r.servers[key]
	r.lastShift[r.service], s.leavingSince = r.now, r.now
	record := s.ServerRecord
	record.NextRole, record.Status, record.Pairs = role, Leaving, nil
	r.write(key, s, record, reason)
}

// shiftPolled shifts one server of a service whose roles the platform doesn't list. The
// server moves from a side that can spare one to a side that has been short for
// UsageWindow, or immediately to a side below the plan's minimum. shiftPolled never takes a
// side's last server. It takes a side below the minimum only to fill a side below its own.
func (r *round) shiftPolled(count map[string]int, isShifting bool) {
	if isShifting || r.hasListedRoles() || r.now-r.lastShift[r.service] < r.cfg.MinShiftInterval || !r.mayOrder(r.now) {
		return
	}
	load := r.sideLoads()
	for _, to := range []string{Prefill, Decode} {
		from := otherRole(to)
		side := shortage{service: r.service, role: to}
		isShort := count[from] > r.minServers(from) && load[to] > r.cfg.HighUsage && load[from] < r.cfg.LowUsage
		isBelowPlan := count[to] < r.minServers(to) && count[from] > 1
		if !isShort && !isBelowPlan {
			delete(r.shortSince, side)
			continue
		}
		if r.shortageDuration(r.now, side) < r.cfg.UsageWindow && !isBelowPlan {
			continue
		}
		key := r.leastActive(from)
		if key == "" {
			continue
		}
		delete(r.shortSince, side)
		reason := fmt.Sprintf("demand on %s side is %.2f of its slots, on %s side %.2f", to, load[to], from, load[from])
		r.beginShift(key, to, reason)
		return
	}
}

// sideLoads returns the demand for each side's slots, as a fraction of them.
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

// leastActive returns the server with the fewest active requests among those of a side that may shift, or "".
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
