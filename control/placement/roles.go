package placement

import "time"

// mayOrder tells whether the controller may give orders: an older one may go on until the swap bound has passed.
func (c *Controller) mayOrder(now time.Duration) bool { return now-c.since >= c.cfg.SwapBound }

// order has a server play a role, unless it was ordered a moment ago or may not be ordered yet.
func (r *round) order(key string, s *server, role, reason string) {
	if !r.mayOrder(r.now) || s.order.pending || r.now-s.order.sentAt < r.cfg.PollInterval {
		return
	}
	r.lastOrder++
	s.order.pending, s.order.sentAt = true, r.now
	r.out.Orders = append(r.out.Orders, Order{
		Key: key, ID: s.listing.id, Addr: s.Addr, Role: role, Term: r.term, Number: r.lastOrder, Reason: reason,
	})
	r.note("%s %s: ordered to be %s (%s)", s.service, s.Addr, role, reason)
}

// HandleOrdered takes a server's answer to an order; ok is false where it gave none.
//
// Example: c.HandleOrdered(order, true)
func (c *Controller) HandleOrdered(order Order, ok bool) {
	s := c.servers[order.Key]
	if s == nil {
		return
	}
	s.order.pending = false
	if ok {
		s.order.role = order.Role
	}
}

// assignRoles gives new servers a role, goes on with shifts of role, and begins one where a side is short.
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
				r.enterListed(key, s, count)
			}
		case s.Role == "":
			r.enterPolled(key, s, count)
		case s.NextRole != "":
			r.continueShift(key, s)
		case s.hasListedRole():
			r.repeatDeniedOrder(key, s)
		case r.mustRepeatOrder(s):
			r.order(key, s, s.Role, "again")
		}
	}
	r.shiftPolled(count, isShifting)
}

// countRoles counts the servers of each role that are, or will be, in use; isShifting tells whether
// one of them is shifting.
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

// enterPolled gives a new server its first role, the one that fewer servers play: it is ordered first, then written.
func (r *round) enterPolled(key string, s *server, count map[string]int) {
	if !s.observed.known || s.isLeaving() {
		return
	}
	if s.order.role != "" {
		s.warmingSince = r.now
		r.write(key, s, s.firstRecord(s.order.role, Warming), "took its first order")
		return
	}
	role := Prefill
	if count[Prefill] > count[Decode] {
		role = Decode
	}
	count[role]++
	r.order(key, s, role, "new")
}

// firstRecord is the record of a server that had none.
func (s *server) firstRecord(role, status string) ServerRecord {
	return ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: role, Status: status}
}

// mustRepeatOrder tells whether a server is to be ordered the role of its record: the
// controller is new, or the server restarted.
func (r *round) mustRepeatOrder(s *server) bool {
	return s.order.role != s.Role && s.observed.failures == 0 && s.observed.known && !s.restarted
}
