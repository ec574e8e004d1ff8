package placement

import (
	"fmt"
	"sort"
	"time"
)

// pairs keeps for each prefill server the decode servers that it may hand to: the same zone
// first, fast links only, at least two where there are two. Servers whose parts
// the platform tells are paired by the daemons, for each request: a record
// that names all decode servers would be written anew for each that comes or goes.
func (h *Controller) pairs(keys []string, o *Out) {
	var decodeServers []*server
	for _, k := range keys {
		if s := h.servers[k]; s.listed && s.Role == Decode && s.NextRole == "" && s.Status != Dark && !s.leaving() {
			decodeServers = append(decodeServers, s)
		}
	}
	for _, k := range keys {
		s := h.servers[k]
		if !s.listed || s.writing || s.Role != Prefill || s.NextRole != "" || s.told != "" {
			continue
		}
		rank := func(m *server) int {
			n := 0
			if m.Zone != s.Zone {
				n = 1
			}
			if ms, ok := s.usage.LinkMillis[m.Addr]; ok && time.Duration(ms)*time.Millisecond > h.cfg.SlowLink {
				n += 2
			}
			return n
		}
		list := append([]*server(nil), decodeServers...)
		sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
		var pairs []string
		for i, m := range list {
			if rank(m) < 2 || i < 1 {
				pairs = append(pairs, m.Addr)
			}
		}
		sort.Strings(pairs)
		if fmt.Sprint(pairs) != fmt.Sprint(s.Pairs) {
			b := s.ServerRecord
			b.Pairs = pairs
			h.write(o, k, s, b, fmt.Sprintf("pairs with %d decode servers", len(pairs)))
		}
	}
}
