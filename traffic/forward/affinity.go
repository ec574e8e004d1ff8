package forward

import (
	"hash/fnv"
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

// affinityRanks ranks the servers for a key, identically on all daemons in all zones: the
// first three have ranks 0, 1 and 2, all others 3.
func affinityRanks(servers []Server, key uint64) map[string]int {
	weights := make([]uint64, len(servers))
	var top [3]uint64 // the three highest weights, in descending order
	for i, s := range servers {
		w := rendezvousWeight(key, s.Key)
		weights[i] = w
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	ranks := make(map[string]int, len(servers))
	for i, s := range servers {
		rank := 0
		for _, w := range top {
			if w > weights[i] {
				rank++
			}
		}
		ranks[s.Key] = rank
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
