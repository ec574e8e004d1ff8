package forward

import (
	"cmp"
	"slices"
)

// A request considers only some servers. Load reports are older than a prefill takes. If every request considered all
// servers, all daemons would send to the servers that were least loaded at the last report, which are then overloaded
// while others are idle. The best of a few random servers is a good choice even by outdated reports.
const (
	sampledPerZone = 1 // servers considered in each zone
	minSampled     = 3 // servers considered in all zones, if there are as many
)

// sample returns the servers that a request considers: pseudorandom ones and, if key identifies a shared prefix of some
// tokens, the first ones in its affinity order. Each attempt draws other servers.
func (r *pendingRequest) sample(servers []Server, key uint64, tokens int) []Server {
	draw := r.hash + uint64(r.attemptNumber)
	isSampled := make([]bool, len(servers))
	inZone := map[string]int{}
	var others []int
	for _, i := range pseudorandomOrder(servers, draw) {
		if zone := servers[i].Zone; inZone[zone] < sampledPerZone {
			inZone[zone]++
			isSampled[i] = true
		} else {
			others = append(others, i)
		}
	}
	missing := max(0, minSampled-sampledPerZone*len(inZone))
	for _, i := range others[:min(missing, len(others))] {
		isSampled[i] = true
	}
	if tokens > 0 {
		for _, i := range firstByAffinity(servers, key) {
			isSampled[i] = true
		}
	}
	sampled := make([]Server, 0, len(inZone)*sampledPerZone+missing+rankedServers)
	for i, s := range servers {
		if isSampled[i] {
			sampled = append(sampled, s)
		}
	}
	return sampled
}

// pseudorandomOrder returns the indices of the servers in the order of their rendezvous weights for a draw.
func pseudorandomOrder(servers []Server, draw uint64) []int {
	order, weights := make([]int, len(servers)), make([]uint64, len(servers))
	for i, s := range servers {
		order[i], weights[i] = i, rendezvousWeight(draw, s.Key)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return order
}
