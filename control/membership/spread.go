package membership

import (
	"slices"
	"strings"

	"mulleinmast/wire/message"
)

// Spread selects count replicas across the zones: round-robin over the zones in the order of
// their lowest addresses, within a zone the seeds first. No zone gets a majority of the
// replicas if the other zones have enough control daemons for the rest.
//
// Example: replicas := membership.Spread(controls, seeds, 3)
func Spread(controls []message.Member, seeds []string, count int) []message.Replica {
	zones := membersByZone(controls, seeds)
	replicas := pickRoundRobin(zones, count, count/2)
	if len(replicas) < min(count, len(controls)) { // not possible without a majority in one zone
		replicas = pickRoundRobin(zones, count, count)
	}
	slices.SortFunc(replicas, func(a, b message.Replica) int { return strings.Compare(a.Addr, b.Addr) })
	return replicas
}

// membersByZone returns the members of each zone, seeds first, then by address. The zones are
// in the order of their lowest addresses.
func membersByZone(members []message.Member, seeds []string) [][]message.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, compareByAddr)
	var zones [][]message.Member
	index := map[string]int{} // zone -> index in zones
	for _, m := range members {
		i, ok := index[m.Zone]
		if !ok {
			i = len(zones)
			index[m.Zone] = i
			zones = append(zones, nil)
		}
		zones[i] = append(zones[i], m)
	}
	for _, zone := range zones {
		slices.SortStableFunc(zone, func(a, b message.Member) int {
			return seedRank(seeds, a.Addr) - seedRank(seeds, b.Addr)
		})
	}
	return zones
}

// seedRank returns a sort key that orders seeds before other members.
func seedRank(seeds []string, addr string) int {
	if slices.Contains(seeds, addr) {
		return 0
	}
	return 1
}

// pickRoundRobin selects up to count members, one per zone in turn and at most maxPerZone of
// each zone.
func pickRoundRobin(zones [][]message.Member, count, maxPerZone int) (replicas []message.Replica) {
	for i := range maxPerZone {
		for _, zone := range zones {
			if i < len(zone) && len(replicas) < count {
				replicas = append(replicas, zone[i].Replica())
			}
		}
	}
	return replicas
}
