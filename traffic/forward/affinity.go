package forward

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// sharedPrefix returns the length in tokens of the parts that other prompts may share
// with this one (all but the last part), and a key for them.
func sharedPrefix(parts []Part) (tokens int, key uint64) {
	h := fnv.New64a()
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		tokens += p.Tokens
		_, _ = h.Write(strconv.AppendUint(nil, p.Key, 16))
		_, _ = h.Write([]byte{'/'})
	}
	return tokens, h.Sum64()
}

// rendezvousWeight is the weight of a server for a key in rendezvous hashing: all daemons
// compute the same order of servers without communication.
func rendezvousWeight(key uint64, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, key, 16))
	_, _ = h.Write([]byte(server))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// rankedServers is the number of servers that are ranked for a prefix.
const rankedServers = 3

// firstByAffinity returns the indices of the first rankedServers servers in a key's affinity order, or of fewer if there
// are fewer. The order is identical on all daemons in all zones.
func firstByAffinity(servers []Server, key uint64) []int {
	first := make([]int, 0, rankedServers+1)
	weights := make([]uint64, 0, rankedServers+1)
	for i, s := range servers {
		w := rendezvousWeight(key, s.Key)
		at := len(first)
		for at > 0 && w > weights[at-1] {
			at--
		}
		if at == rankedServers {
			continue
		}
		first, weights = slices.Insert(first, at, i), slices.Insert(weights, at, w)
		first, weights = first[:min(len(first), rankedServers)], weights[:min(len(weights), rankedServers)]
	}
	return first
}

// affinityRanks ranks the servers for a key, identically on all daemons in all zones: the
// first three have ranks 0, 1 and 2, all others 3.
func affinityRanks(servers []Server, key uint64) map[string]int {
	ranks := make(map[string]int, len(servers))
	for _, s := range servers {
		ranks[s.Key] = rankedServers
	}
	for rank, i := range firstByAffinity(servers, key) {
		ranks[servers[i].Key] = rank
	}
	return ranks
}

// isCachedAnywhere reports whether any servable server is likely to have the shared prefix cached.
func (d *Dispatcher) isCachedAnywhere(key uint64) bool {
	for server := range d.servable {
		if d.load.HasPrefix(key, server) {
			return true
		}
	}
	return false
}
