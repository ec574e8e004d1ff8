package interlock

import (
	"fmt"
	"sort"
	"time"
)

// pairs keeps for each reader the makers that it may hand to: the same cell
// first, fast links only, at least two where there are two. Servers whose parts
// the platform tells are paired by the daemons, for each request: a record
// that names all makers would be written anew for each that comes or goes.
func (h *Holder) pairs(keys []string, o *Out) {
	var makers []*server
	for _, k := range keys {
		if s := h.servers[k]; s.listed && s.Part == Maker && s.To == "" && s.Status != Dark && !s.leaving() {
			makers = append(makers, s)
		}
	}
	for _, k := range keys {
		s := h.servers[k]
		if !s.listed || s.writing || s.Part != Reader || s.To != "" || s.told != "" {
			continue
		}
		rank := func(m *server) int {
			n := 0
			if m.Cell != s.Cell {
				n = 1
			}
			if ms, ok := s.usage.Links[m.Addr]; ok && time.Duration(ms)*time.Millisecond > h.cfg.Slow {
				n += 2
			}
			return n
		}
		list := append([]*server(nil), makers...)
		sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
		var pairs []string
		for i, m := range list {
			if rank(m) < 2 || i < 1 {
				pairs = append(pairs, m.Addr)
			}
		}
		sort.Strings(pairs)
		if fmt.Sprint(pairs) != fmt.Sprint(s.Pairs) {
			b := s.Berth
			b.Pairs = pairs
			h.write(o, k, s, b, fmt.Sprintf("pairs with %d makers", len(pairs)))
		}
	}
}
