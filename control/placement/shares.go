package placement

import (
	"sort"
	"time"

	"mulleinmast/control/fleetconfig"
)

type grant struct {
	no    uint64
	till  time.Duration
	slots map[string]int
}

type daemon struct {
	want   Demand
	at     time.Duration
	grants []grant
	no     uint64
}

// total is how many slots of a server may be out at daemons now.
func (h *Controller) total(now time.Duration, s *server) int {
	if !s.listed || s.leaving() || s.NextRole != "" || s.Status == Dark || !s.seen || s.anew || s.fails >= h.cfg.MaxFailures || s.Role == "" {
		return 0
	}
	n := s.Capacity
	if s.Status == Warming || h.young(s) {
		n = max(1, int(float64(s.Capacity)*min(1, float64(now-s.warmAt)/float64(h.cfg.WarmUp))/2))
	}
	// Work that no daemon accounts for still fills the server.
	if stray := s.usage.Active - h.held(s.svc, s.Addr); s.seen && stray > 0 {
		n -= stray
	}
	return max(0, n)
}

// out is the most slots of a server that a daemon may be filling.
func (d *daemon) out(now time.Duration, addr string) int {
	n := d.want.InFlight[addr]
	for _, g := range d.grants {
		if now < g.till {
			n = max(n, g.slots[addr])
		}
	}
	return n
}

// HandleDemand takes a daemon's want and returns its share, as many slots as the
// urgent demand over the whole fleet leaves it, never more than are free.
//
// Example: share := h.HandleDemand(now, ident, want, left)
func (h *Controller) HandleDemand(now time.Duration, ident string, w Demand, left time.Duration) Share {
	id := w.Service + "/" + ident
	d := h.daemons[id]
	if d == nil {
		d = &daemon{}
		h.daemons[id] = d
	}
	d.want, d.at = w, now
	// Calls that failed under daemons' hands count like failed polls, and bring
	// the next poll on at once.
	for addr := range w.Failures {
		if s := h.servers[fleetconfig.ServerRecordKey(w.Service, addr)]; s != nil && now-s.pollAt > h.cfg.PollInterval/8 {
			s.fails++
			s.pollAt = now - h.cfg.PollInterval
		}
	}
	keep := d.grants[:0]
	for _, g := range d.grants {
		if g.no >= w.AckedShare && now < g.till {
			keep = append(keep, g)
		}
	}
	d.grants = keep
	length := min(h.cfg.ShareLength, left)
	sh := Share{Slots: map[string]int{}, Length: int64(max(0, length))}
	if length > 0 {
		h.divide(now, id, d, w.Service, Prefill, sh.Slots)
		h.divide(now, id, d, w.Service, Decode, sh.Slots)
	}
	d.no++
	sh.Number = h.term<<32 | d.no
	d.grants = append(d.grants, grant{no: sh.Number, till: now + length + time.Duration(float64(length)*h.cfg.Drift) + h.cfg.Margin, slots: sh.Slots})
	return sh
}

// quota is a daemon's part of n slots: by priority first, within one priority
// by demand, and half of what nobody needs in equal parts. The other half is
// kept so that new demand finds something at once. What doesn't divide evenly
// goes round among the daemons, so that none waits for ever.
func (h *Controller) quota(now time.Duration, svc, id, part string, n int) int {
	var ids []string
	for k, d := range h.daemons {
		if d.want.Service == svc {
			ids = append(ids, k)
		}
	}
	sort.Strings(ids)
	need := func(k string, p int) int {
		if part == Decode {
			return h.daemons[k].want.Decode[p]
		}
		return h.daemons[k].want.Prefill[p]
	}
	left, mine := n, 0
	for p := 0; p < 10 && left > 0; p++ {
		sum := 0
		for _, k := range ids {
			sum += need(k, p)
		}
		give := min(left, sum)
		if sum == 0 {
			continue
		}
		mine += apportion(give, sum, ids, id, int(now/h.cfg.ShareLength), func(k string) int { return need(k, p) })
		left -= give
	}
	return mine + apportion(left/2, len(ids), ids, id, 0, func(string) int { return 1 })
}

// apportion is one's whole part of give by weight; the rest goes round from a
// place that moves with the turn.
func apportion(give, sum int, ids []string, id string, turn int, weight func(string) int) int {
	rest, mine := give, 0
	for _, k := range ids {
		n := give * weight(k) / max(1, sum)
		rest -= n
		if k == id {
			mine = n
		}
	}
	for i := range ids {
		k := ids[(i+turn)%len(ids)]
		if rest == 0 {
			break
		}
		if give*weight(k)%max(1, sum) > 0 {
			rest--
			if k == id {
				mine++
			}
		}
	}
	return mine
}

func (h *Controller) divide(now time.Duration, id string, d *daemon, svc, part string, slots map[string]int) {
	type row struct {
		addr string
		free int
	}
	var rows []row
	all := 0
	for _, key := range sorted(h.servers) {
		s := h.servers[key]
		if s.svc != svc || s.Role != part {
			continue
		}
		n := h.total(now, s)
		all += n
		for k, o := range h.daemons {
			if k != id && o.want.Service == svc {
				n -= o.out(now, s.Addr)
			}
		}
		rows = append(rows, row{s.Addr, max(0, n)})
	}
	if len(rows) == 0 {
		return
	}
	left := h.quota(now, svc, id, part, all)
	// What is in flight counts first, then the prefill servers that hold a wanted
	// prefix, then round and round from a place of the daemon's own.
	give := func(i, n int) {
		n = min(n, rows[i].free, left)
		if n > 0 {
			slots[rows[i].addr] += n
			rows[i].free -= n
			left -= n
		}
	}
	for i := range rows {
		give(i, d.want.InFlight[rows[i].addr])
	}
	for i := range rows {
		give(i, d.want.PrefixHits[rows[i].addr])
	}
	at := 0
	for _, c := range id {
		at = at*31 + int(c)
	}
	at = (at%len(rows) + len(rows)) % len(rows)
	for idle := 0; left > 0 && idle < len(rows); at = (at + 1) % len(rows) {
		if rows[at].free == 0 {
			idle++
			continue
		}
		idle = 0
		give(at, 1)
	}
}
