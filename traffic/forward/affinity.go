package forward

import (
	"hash/fnv"
	"strconv"
)

// sharedPrefix is the length in tokens of the parts that others may have in common
// with this prompt (the last part is its own), and a key for them.
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

// rendezvousWeight ranks servers for a key, alike on all daemons without talk.
func rendezvousWeight(key uint64, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, key, 16))
	_, _ = h.Write([]byte(server))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// affinityRanks orders the servers for a key, alike on all daemons of all zones; the
// first few have rank 0, 1, 2, all others 3.
func affinityRanks(list []Server, key uint64) map[string]int {
	own := make([]uint64, len(list))
	var top [3]uint64 // the highest, first to third
	for i, s := range list {
		w := rendezvousWeight(key, s.Key)
		own[i] = w
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	out := make(map[string]int, len(list))
	for i, s := range list {
		n := 0
		for _, w := range top {
			if w > own[i] {
				n++
			}
		}
		out[s.Key] = n
	}
	return out
}

// isCachedAnywhere tells whether any server at all is known to keep the shared prefix.
func (d *Dispatcher) isCachedAnywhere(key uint64) bool {
	for server := range d.servable {
		if d.load.HasPrefix(key, server) {
			return true
		}
	}
	return false
}
