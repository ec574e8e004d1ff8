package placement

import "time"

// mayOrder reports whether the controller may issue orders yet. It may not until the swap bound has passed, since
// actions of an older controller may still be in progress.
func (c *Controller) mayOrder(now time.Duration) bool { return now-c.since >= c.cfg.SwapBound }

// issueOrder orders a server to play a role, unless an order is pending, the last one was less than a poll interval
// ago, or this controller may not issue orders yet.
func (r *round) issueOrder(key string, s *server, role, reason string) {
	if !r.mayOrder(r.now) || s.order.pending || r.now-s.order.sentAt < r.cfg.PollInterval {
		return
	}
	r.lastOrder++
	s.order.pending, s.order.sentAt = true, r.now
	r.out.Orders = append(r.out.Orders, Order{
		Key: key, ID: s.listing.id, Addr: s.Addr, Role: role, Term: r.term, Number: r.lastOrder, Reason: reason,
	})
	r.note("%s %s: ordered to take role %s (%s)", s.service, s.Addr, role, reason)
}

// HandleOrderResult handles a server's answer to an order; ok is false if there was no answer.
//
// Example: c.HandleOrderResult(order, true)
func (c *Controller) HandleOrderResult(order Order, ok bool) {
	s := c.servers[order.Key]
	if s == nil {
		return
	}
	s.order.pending = false
	if ok {
		s.order.role = order.Role
	}
}

// assignRoles gives new servers a role, continues role shifts, and starts one if a side is short.
func (r *round) assignRoles() {
	count, isShifting := r.countRoles()
	for _, key := range r.keys {
		s := r.servers[key]
		if !s.listed || s.writePending || s.observed.failures > 0 && s.Role == "" {
			continue
		}
		switch {
		case s.Role == "" && s.hasListedRole():
			if !s.isLeaving() {
				r.addListedServer(key, s, count)
			}
		case s.Role == "":
			r.addPolledServer(key, s, count)
		case s.NextRole != "":
			r.continueShift(key, s)
		case s.hasListedRole():
			r.repeatIgnoredOrder(key, s)
		case r.mustRepeatOrder(s):
			r.issueOrder(key, s, s.Role, "again")
		}
	}
	r.shiftPolled(count, isShifting)
}

// countRoles counts the servers of each role that are, or will be, in use; isShifting reports whether
// a server of the service is shifting.
func (r *round) countRoles() (count map[string]int, isShifting bool) {
	count = map[string]int{}
	for _, key := range r.keys {
		s := r.servers[key]
		if !s.listed {
			continue
		}
		role := s.Role
		if s.NextRole != "" {
			isShifting = true
			role = s.NextRole
		}
		if role != "" && s.Status != Dark && !s.isLeaving() {
			count[role]++
		}
	}
	return count, isShifting
}

// addPolledServer gives a new server its first role, the one that fewer servers play. The role is ordered first,
// then written.
func (r *round) addPolledServer(key string, s *server, count map[string]int) {
	if !s.observed.known || s.isLeaving() {
		return
	}
	if s.order.role != "" {
		s.warmingSince = r.now
		r.write(key, s, s.firstRecord(s.order.role, Warming), "accepted its first order")
		return
	}
	role := Prefill
	if count[Prefill] > count[Decode] {
		role = Decode
	}
	count[role]++
	r.issueOrder(key, s, role, "new")
}

// firstRecord returns the record of a server that has none yet.
func (s *server) firstRecord(role, status string) ServerRecord {
	return ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: role, Status: status}
}

// mustRepeatOrder reports whether a server must be ordered again to play the role in its record,
// because the controller is new or the server has restarted.
func (r *round) mustRepeatOrder(s *server) bool {
	return s.order.role != s.Role && s.observed.failures == 0 && s.observed.known && !s.restarted
}
