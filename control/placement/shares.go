package placement

import (
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
)

// daemon is what the controller knows of one daemon's use of a service.
type daemon struct {
	demand    Demand // the latest
	askedAt   time.Duration
	grants    []grant // those that may still be in use
	lastShare uint64  // counts the shares that it was given
}

// grant is a share that a daemon was given.
type grant struct {
	number  uint64        // see Share.Number
	expires time.Duration // by our clock; it counts from when it was given, the daemon from when it asked
	slots   map[string]int
}

// mayFill is the most slots of a server that a daemon may be filling.
func (d *daemon) mayFill(now time.Duration, addr string) int {
	slots := d.demand.InFlight[addr]
	for _, g := range d.grants {
		if now < g.expires {
			slots = max(slots, g.slots[addr])
		}
	}
	return slots
}

// dropGrants forgets the grants that have expired, or that a later one took the place of: the daemon has that by now.
func (d *daemon) dropGrants(now time.Duration) {
	d.grants = slices.DeleteFunc(d.grants, func(g grant) bool {
		return g.number < d.demand.AckedShare || now >= g.expires
	})
}

// silentShares is after how many lengths of a share a daemon that asks for none is forgotten.
const silentShares = 10

func (c *Controller) forgetSilentDaemons(now time.Duration) {
	for key, d := range c.daemons {
		if now-d.askedAt > silentShares*c.cfg.ShareLength {
			delete(c.daemons, key)
		}
	}
}

// inFlight is how many requests daemons have at a server of a service.
func (c *Controller) inFlight(service, addr string) (requests int) {
	for _, d := range c.daemons {
		if d.demand.Service == service {
			requests += d.demand.InFlight[addr]
		}
	}
	return requests
}

// demand is how many requests wait for or hold a server of a role, over all daemons.
func (c *Controller) demand(service, role string) (requests int) {
	for _, d := range c.daemons {
		if d.demand.Service == service {
			for _, n := range d.demand.of(role) {
				requests += n
			}
		}
	}
	return requests
}

// slots is how many slots of a server daemons may fill now, all together.
func (c *Controller) slots(now time.Duration, s *server) int {
	if !c.isServing(s) {
		return 0
	}
	slots := s.Capacity
	if s.Status == Warming || c.isWarming(s) {
		warm := min(1, float64(now-s.warmingSince)/float64(c.cfg.WarmUp))
		slots = max(1, int(float64(s.Capacity)*warm/2))
	}
	// Work that no daemon accounts for still fills the server.
	if stray := s.observed.usage.Active - c.inFlight(s.service, s.Addr); stray > 0 {
		slots -= stray
	}
	return max(0, slots)
}

// isServing tells whether a server may get work at all.
func (c *Controller) isServing(s *server) bool {
	return s.listed && !s.isLeaving() && s.Role != "" && s.NextRole == "" && s.Status != Dark &&
		s.observed.known && !s.restarted && !c.isDark(s)
}

// HandleDemand takes a daemon's demand and returns its share: as many slots as the
// more urgent demand over the whole fleet leaves it, never more than are free. It is valid no longer
// than the leader lease is, of which leaseLeft is left.
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
	d.dropGrants(now)
	length := min(c.cfg.ShareLength, leaseLeft)
	share := Share{Slots: map[string]int{}, Length: int64(max(0, length))}
	if length > 0 {
		c.divide(now, key, Prefill, share.Slots)
		c.divide(now, key, Decode, share.Slots)
	}
	d.lastShare++
	share.Number = c.term<<32 | d.lastShare
	expires := now + length + time.Duration(float64(length)*c.cfg.Drift) + c.cfg.Margin
	d.grants = append(d.grants, grant{number: share.Number, expires: expires, slots: share.Slots})
	return share
}

// countFailures counts calls that failed at daemons like failed polls, and brings the next poll on at once.
func (c *Controller) countFailures(now time.Duration, demand Demand) {
	for addr := range demand.Failures {
		s := c.servers[fleetconfig.ServerRecordKey(demand.Service, addr)]
		if s != nil && now-s.observed.polledAt > c.cfg.PollInterval/8 {
			s.observed.failures++
			s.observed.polledAt = now - c.cfg.PollInterval
		}
	}
}

// offer is a server whose slots are divided.
type offer struct {
	addr string
	free int // slots that no other daemon may be filling
}

// offers lists the servers of a role, and how many slots they have in all, for the daemon of a key.
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
				slots -= other.mayFill(now, s.Addr)
			}
		}
		offers = append(offers, offer{s.Addr, max(0, slots)})
	}
	return offers, all
}

// divide gives a daemon its quota of the slots of a role: at servers where it has requests in flight first, then at
// the prefill servers that have a wanted prefix, then one by one from a place of the daemon's own.
func (c *Controller) divide(now time.Duration, daemonKey, role string, slots map[string]int) {
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
	at := startingPlace(daemonKey, len(offers))
	for exhausted := 0; left > 0 && exhausted < len(offers); at = (at + 1) % len(offers) {
		if offers[at].free == 0 {
			exhausted++
			continue
		}
		exhausted = 0
		give(&offers[at], 1)
	}
}

// startingPlace is a daemon's own among so many, by a hash of its key.
func startingPlace(daemonKey string, places int) int {
	hash := 0
	for _, char := range daemonKey {
		hash = hash*31 + int(char)
	}
	return (hash%places + places) % places
}

// quota is a daemon's share of so many slots: by priority first, within one priority
// by demand, and half of what nobody needs in equal shares. The other half is
// kept so that new demand finds something at once. What doesn't divide evenly
// goes round among the daemons, so that none waits for ever.
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
		need := func(key string) int { return c.daemons[key].demand.of(role)[priority] }
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

// apportion is what one of some keys gets of so many slots, by weight; what doesn't divide evenly goes round
// from a place that moves with the turn.
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
