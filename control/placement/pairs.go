package placement

import (
	"fmt"
	"slices"
	"time"
)

// updatePairs updates, for each prefill server, the decode servers that it may hand KV caches to. Servers whose
// roles the platform lists are instead paired by the daemons, for each request, because a record
// that names all decode servers would have to be rewritten whenever one is added or removed.
func (r *round) updatePairs() {
	var decodeServers []*server
	for _, key := range r.keys {
		s := r.servers[key]
		if s.listed && s.Role == Decode && s.NextRole == "" && s.Status != Dark && !s.isLeaving() {
			decodeServers = append(decodeServers, s)
		}
	}
	for _, key := range r.keys {
		s := r.servers[key]
		if !s.listed || s.writePending || s.Role != Prefill || s.NextRole != "" || s.hasListedRole() {
			continue
		}
		pairs := r.pairsOf(s, decodeServers)
		if slices.Equal(pairs, s.Pairs) {
			continue
		}
		record := s.ServerRecord
		record.Pairs = pairs
		r.write(key, s, record, fmt.Sprintf("pairs with %d decode servers", len(pairs)))
	}
}

// slowLink is the penalty that linkPenalty adds for a slow link.
const slowLink = 2

// linkPenalty ranks a decode server for a prefill server: fast links come first, then servers in the same zone.
func (r *round) linkPenalty(prefill, decode *server) (penalty int) {
	if decode.Zone != prefill.Zone {
		penalty = 1
	}
	link, ok := prefill.observed.usage.LinkMillis[decode.Addr]
	if ok && time.Duration(link)*time.Millisecond > r.cfg.SlowLink {
		penalty += slowLink
	}
	return penalty
}

// pairsOf returns the decode servers that a prefill server may hand to: all those with fast links or, if there
// are none, the best-ranked one.
func (r *round) pairsOf(prefill *server, decodeServers []*server) (pairs []string) {
	ranked := slices.Clone(decodeServers)
	slices.SortStableFunc(ranked, func(a, b *server) int { return r.linkPenalty(prefill, a) - r.linkPenalty(prefill, b) })
	for i, decode := range ranked {
		if i == 0 || r.linkPenalty(prefill, decode) < slowLink {
			pairs = append(pairs, decode.Addr)
		}
	}
	slices.Sort(pairs)
	return pairs
}
