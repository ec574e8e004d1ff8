package placement

import (
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
)

// daemon is the controller's state of one daemon's use of a service.
type daemon struct {
	demand    Demand        // the latest demand
	askedAt   time.Duration // when the latest demand arrived
	grants    []grant       // shares that may still be in use
	lastShare uint64        // number of shares granted so far
}

// grant is a share that was granted to a daemon.
type grant struct {
	number  uint64        // see Share.Number
	expires time.Duration // by the controller's clock, from the grant; the daemon counts from sending its demand
	slots   map[string]int
}

// maxSlotsInUse returns an upper bound on the slots of a server that a daemon may be using.
func (d *daemon) maxSlotsInUse(now time.Duration, addr string) int {
	slots := d.demand.InFlight[addr]
	for _, g := range d.grants {
		if now < g.expires {
			slots = max(slots, g.slots[addr])
		}
	}
	return slots
}

// pruneGrants removes grants that have expired or were replaced by a later one that the daemon has acknowledged.
func (d *daemon) pruneGrants(now time.Duration) {
	d.grants = slices.DeleteFunc(d.grants, func(g grant) bool {
		return g.number < d.demand.AckedShare || now >= g.expires
	})
}

// maxSilentShares is how many share lengths a daemon may send no demand before its state is discarded.
const maxSilentShares = 10

func (c *Controller) forgetSilentDaemons(now time.Duration) {
	for key, d := range c.daemons {
		if now-d.askedAt > maxSilentShares*c.cfg.ShareLength {
			delete(c.daemons, key)
		}
	}
}

// inFlight returns the number of requests that daemons have in flight at a server of a service.
func (c *Controller) inFlight(service, addr string) (requests int) {
	for _, d := range c.daemons {
		if d.demand.Service == service {
			requests += d.demand.InFlight[addr]
		}
	}
	return requests
}

// demand returns the number of requests on all daemons that wait for or hold a server of a role.
func (c *Controller) demand(service, role string) (requests int) {
	for _, d := range c.daemons {
		if d.demand.Service == service {
			for _, n := range d.demand.forRole(role) {
				requests += n
			}
		}
	}
	return requests
}

// slots returns the number of a server's slots that all daemons together may use now.
func (c *Controller) slots(now time.Duration, s *server) int {
	if !c.isServing(s) {
		return 0
	}
	slots := s.Capacity
	if s.Status == Warming || c.isWarming(s) {
		warm := min(1, float64(now-s.warmingSince)/float64(c.cfg.WarmUp))
		slots = max(1, int(float64(s.Capacity)*warm/2))
	}
	// Requests that no daemon accounts for still occupy slots.
	if stray := s.observed.usage.Active - c.inFlight(s.service, s.Addr); stray > 0 {
		slots -= stray
	}
	return max(0, slots)
}

// isServing reports whether a server may get work.
func (c *Controller) isServing(s *server) bool {
	return s.listed && !s.isLeaving() && s.Role != "" && s.NextRole == "" && s.Status != Dark &&
		s.observed.known && !s.restarted && !c.isDark(s)
}

// HandleDemand handles a daemon's demand and returns its share: the slots that more urgent demand
// across the fleet leaves to the daemon, and never more than are free. leaseLeft is the remaining time
// of the leader lease; the share expires no later than this lease.
//
// Example: share := c.HandleDemand(now, ident, demand, leaseLeft)
func (c *Controller) HandleDemand(now time.Duration, ident string, demand Demand, leaseLeft time.Duration) Share {
	key := demand.Service + "/" + ident
	d := c.daemons[key]
	if d == nil {
		d = &daemon{}
		c.daemons[key] = d
	}
	d.demand, d.askedAt = demand, now
	c.countFailures(now, demand)
	d.pruneGrants(now)
	length := min(c.cfg.ShareLength, leaseLeft)
	share := Share{Slots: map[string]int{}, Length: int64(max(0, length))}
	if length > 0 {
		c.allocateSlots(now, key, Prefill, share.Slots)
		c.allocateSlots(now, key, Decode, share.Slots)
	}
	d.lastShare++
	share.Number = c.term<<32 | d.lastShare
	expires := now + length + time.Duration(float64(length)*c.cfg.Drift) + c.cfg.Margin
	d.grants = append(d.grants, grant{number: share.Number, expires: expires, slots: share.Slots})
	return share
}

// countFailures counts one failed poll for each server at which a daemon reports failed calls, and makes the server's
// next poll due immediately. It skips servers that were polled within the last eighth of a poll interval.
func (c *Controller) countFailures(now time.Duration, demand Demand) {
	for addr := range demand.Failures {
		s := c.servers[fleetconfig.ServerRecordKey(demand.Service, addr)]
		if s != nil && now-s.observed.polledAt > c.cfg.PollInterval/8 {
			s.observed.failures++
			s.observed.polledAt = now - c.cfg.PollInterval
		}
	}
}

// offer is a server with slots to allocate.
type offer struct {
	addr string
	free int // slots that no other daemon may be using
}

// offers returns the servers of a role, with the slots that are free for the given daemon, and their total slots.
func (c *Controller) offers(now time.Duration, daemonKey, service, role string) (offers []offer, all int) {
	for _, key := range sortedKeys(c.servers) {
		s := c.servers[key]
		if s.service != service || s.Role != role {
			continue
		}
		slots := c.slots(now, s)
		all += slots
		for otherKey, other := range c.daemons {
			if otherKey != daemonKey && other.demand.Service == service {
				slots -= other.maxSlotsInUse(now, s.Addr)
			}
		}
		offers = append(offers, offer{s.Addr, max(0, slots)})
	}
	return offers, all
}

// allocateSlots allocates a daemon's quota of the slots of a role: first on servers where it has requests in flight,
// then on prefill servers that have cached a prefix it needs, then round-robin, starting at a different server for
// each daemon.
func (c *Controller) allocateSlots(now time.Duration, daemonKey, role string, slots map[string]int) {
	demand := &c.daemons[daemonKey].demand
	offers, all := c.offers(now, daemonKey, demand.Service, role)
	if len(offers) == 0 {
		return
	}
	left := c.quota(now, demand.Service, daemonKey, role, all)
	give := func(o *offer, n int) {
		n = min(n, o.free, left)
		if n > 0 {
			slots[o.addr] += n
			o.free -= n
			left -= n
		}
	}
	for i := range offers {
		give(&offers[i], demand.InFlight[offers[i].addr])
	}
	for i := range offers {
		give(&offers[i], demand.PrefixHits[offers[i].addr])
	}
	at := startIndex(daemonKey, len(offers))
	for exhausted := 0; left > 0 && exhausted < len(offers); at = (at + 1) % len(offers) {
		if offers[at].free == 0 {
			exhausted++
			continue
		}
		exhausted = 0
		give(&offers[at], 1)
	}
}

// startIndex returns the index, out of n, at which a daemon's allocation starts. It is a hash of the daemon's key.
func startIndex(daemonKey string, places int) int {
	hash := 0
	for _, char := range daemonKey {
		hash = hash*31 + int(char)
	}
	return (hash%places + places) % places
}

// quota returns how many of the given slots a daemon may have: slots are divided by
// priority first and, within a priority, by demand. Half of the slots that no demand needs
// are divided equally; the other half is reserved, so that new demand gets slots immediately.
// The remainder of a division rotates among the daemons, so that none starves.
func (c *Controller) quota(now time.Duration, service, daemonKey, role string, slots int) int {
	var keys []string
	for key, d := range c.daemons {
		if d.demand.Service == service {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	left, quota := slots, 0
	for priority := 0; priority < Priorities && left > 0; priority++ {
		need := func(key string) int { return c.daemons[key].demand.forRole(role)[priority] }
		needed := 0
		for _, key := range keys {
			needed += need(key)
		}
		if needed == 0 {
			continue
		}
		given := min(left, needed)
		quota += apportion(given, needed, keys, daemonKey, int(now/c.cfg.ShareLength), need)
		left -= given
	}
	return quota + apportion(left/2, len(keys), keys, daemonKey, 0, func(string) int { return 1 })
}

// apportion returns the part of the slots that goes to one key when they are divided among all keys by weight.
// The remainder is distributed one by one, starting at an index that advances with turn.
func apportion(slots, totalWeight int, keys []string, key string, turn int, weight func(string) int) (quota int) {
	rest := slots
	for _, other := range keys {
		n := slots * weight(other) / max(1, totalWeight)
		rest -= n
		if other == key {
			quota = n
		}
	}
	for i := range keys {
		other := keys[(i+turn)%len(keys)]
		if rest == 0 {
			break
		}
		if slots*weight(other)%max(1, totalWeight) > 0 {
			rest--
			if other == key {
				quota++
			}
		}
	}
	return quota
}
