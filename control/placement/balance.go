package placement

import (
	"fmt"
	"time"
)

// listed tells whether the platform lists the parts of these servers.
func (h *Controller) listed(keys []string) bool {
	for _, k := range keys {
		if h.servers[k].told != "" {
			return true
		}
	}
	return false
}

// enter gives a server that the platform lists with a part its first record. A
// new one takes the part that keeps the share of prefill servers: it isn't used while
// it warms up, so a change costs least now.
func (h *Controller) enter(now time.Duration, key string, s *server, count map[string]int, o *Out) {
	part := s.told
	if s.ordered != "" {
		part = s.ordered
	}
	if want, ok := h.share[s.svc]; ok && s.cold && part == s.told {
		read, all := float64(count[Prefill]), float64(count[Prefill]+count[Decode]+1)
		switch {
		case part == Prefill && count[Decode] > 0 && read+1 > want*all+0.5 && count[Prefill] > 0:
			part = Decode
		case part == Decode && count[Prefill] > 0 && read < want*all-0.5 && count[Decode] > 0:
			part = Prefill
		}
	}
	if part != s.ordered {
		count[part]++
		h.order(now, key, s, part, "keeps the sides in proportion", o)
		return
	}
	count[part]++
	b := ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: part, Status: s.fresh()}
	if part != s.told {
		b.Status = Warming
	}
	h.write(o, key, s, b, "listed")
}

// odd orders again what the platform's list goes on denying.
func (h *Controller) odd(now time.Duration, key string, s *server, o *Out) {
	if s.told == s.Role || s.leaving() {
		s.oddAt = 0
		return
	}
	if s.oddAt == 0 {
		s.oddAt = now
	}
	if now-s.oddAt > 4*h.cfg.SwapBound { // what was running there may go on for long
		s.oddAt = now
		h.order(now, key, s, s.Role, "again", o)
	}
}

// balance shifts a server of a listed service from the side that is at ease to
// the one that has been pressed, never the last, never below the plan; and to one
// that has none left.
func (h *Controller) balance(now time.Duration, svc string, keys []string, o *Out) {
	if h.Pressure == nil || !h.listed(keys) {
		return
	}
	side := map[string][]string{}
	present := map[string]int{}
	moving, all := false, 0
	for _, k := range keys {
		s := h.servers[k]
		if !s.listed || s.leaving() || s.Role == "" {
			continue
		}
		all++
		moving = moving || s.NextRole != "" || s.ordering || s.told != s.Role
		now := h.Pressure(svc, s.key())
		s.strain.Prefill += (now.Prefill - s.strain.Prefill) / 8
		s.strain.Decode += (now.Decode - s.strain.Decode) / 8
		if s.NextRole == "" && s.Status != Dark {
			present[s.Role]++
		}
		if s.Status == Up && s.NextRole == "" {
			side[s.Role] = append(side[s.Role], k)
		}
	}
	prefillServers, decodeServers := len(side[Prefill]), len(side[Decode])
	if _, ok := h.share[svc]; !ok && all > 0 && prefillServers+decodeServers == all {
		h.share[svc] = float64(prefillServers) / float64(all)
	}
	if moving || now-h.moved[svc] < h.cfg.ListedDwell || !h.mayOrder(now) {
		return
	}
	if h.fillVacant(now, svc, sides{inUse: side, present: present}, o) || prefillServers == 0 || decodeServers == 0 {
		return
	}
	read, write := 0.0, 0.0
	for _, k := range side[Prefill] {
		read += h.servers[k].strain.Prefill
	}
	for _, k := range side[Decode] {
		write += h.servers[k].strain.Decode
	}
	least := h.plan[svc]
	for _, x := range []struct {
		to, from      string
		press, relief float64 // mean strain of the side that gains, of the other with one less
		spare         bool
	}{
		{Decode, Prefill, write / float64(decodeServers), read / float64(max(1, prefillServers-1)), prefillServers > max(1, least.PrefillServers)},
		{Prefill, Decode, read / float64(prefillServers), write / float64(max(1, decodeServers-1)), decodeServers > max(1, least.DecodeServers)},
	} {
		key := svc + "/" + x.to
		if !x.spare || x.press < 0.5 || x.relief > 0.4 || x.relief > x.press*0.8 {
			delete(h.short, key)
			continue
		}
		if _, ok := h.short[key]; !ok {
			h.short[key] = now
		}
		if now-h.short[key] < h.cfg.PressWindow {
			continue
		}
		delete(h.short, key)
		if x.to == Prefill {
			prefillServers++
		} else {
			prefillServers--
		}
		h.share[svc] = float64(prefillServers) / float64(all)
		h.shiftTo(now, svc, x.to, side[x.from], fmt.Sprintf("%s side is pressed %.2f, %s side would be %.2f with one less", x.to, x.press, x.from, x.relief), o)
		return
	}
}

// easiest is the server with the least to do, of the zone that has most of them.
func (h *Controller) easiest(keys []string) (best string) {
	zones := map[string]int{}
	for _, k := range keys {
		zones[h.servers[k].Zone]++
	}
	for _, k := range keys {
		s, b := h.servers[k], h.servers[best]
		if b == nil || zones[s.Zone] > zones[b.Zone] || zones[s.Zone] == zones[b.Zone] && s.strain.Prefill+s.strain.Decode < b.strain.Prefill+b.strain.Decode {
			best = k
		}
	}
	return best
}

// key names the server within its service.
func (s *server) key() string {
	if s.id != "" {
		return s.id
	}
	return s.Addr
}
