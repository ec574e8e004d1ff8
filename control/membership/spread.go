package membership

import (
	"slices"
	"strings"

	"mulleinmast/wire/message"
)

// Spread picks count replicas over the zones: round-robin over the zones in the order
// of their lowest addresses, within a zone the seeds first. No zone gets a
// majority of the replicas if the others have enough disks to fill the rest.
//
// Example: replicas := membership.Spread(controls, seeds, 3)
func Spread(controls []message.Member, seeds []string, count int) []message.Replica {
	zones := membersByZone(controls, seeds)
	replicas := pickRoundRobin(zones, count, count/2)
	if len(replicas) < min(count, len(controls)) { // only with a majority in one zone
		replicas = pickRoundRobin(zones, count, count)
	}
	slices.SortFunc(replicas, func(a, b message.Replica) int { return strings.Compare(a.Addr, b.Addr) })
	return replicas
}

// membersByZone lists each zone's members, the seeds first, then by address; the zones
// are in the order of their lowest addresses.
func membersByZone(members []message.Member, seeds []string) [][]message.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, byAddr)
	var zones [][]message.Member
	index := map[string]int{} // zone -> in zones
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

// seedRank orders seeds before others.
func seedRank(seeds []string, addr string) int {
	if slices.Contains(seeds, addr) {
		return 0
	}
	return 1
}

// pickRoundRobin takes up to count members, one a zone in turn and no more than
// maxPerZone of each.
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
