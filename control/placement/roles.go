package placement

import (
	"fmt"
	"time"
)

// mayOrder: a new holder waits until the older one surely stopped.
func (h *Controller) mayOrder(now time.Duration) bool { return now-h.since >= h.cfg.SwapBound }

func (h *Controller) order(now time.Duration, key string, s *server, part, why string, o *Out) {
	if !h.mayOrder(now) || s.ordering || now-s.orderAt < h.cfg.PollInterval {
		return
	}
	h.no++
	s.ordering, s.orderAt = true, now
	o.Orders = append(o.Orders, Order{Key: key, ID: s.id, Addr: s.Addr, Role: part, Term: h.term, Number: h.no, Reason: why})
	o.Notes = append(o.Notes, fmt.Sprintf("%s %s: ordered to be %s (%s)", s.svc, s.Addr, part, why))
}

// HandleOrdered takes a server's answer to an order.
//
// Example: h.HandleOrdered(now, key, order, true)
func (h *Controller) HandleOrdered(now time.Duration, key string, o Order, ok bool) {
	if s := h.servers[key]; s != nil {
		s.ordering = false
		if ok {
			s.ordered = o.Role
		}
	}
}

// parts gives new servers a part and shifts servers between the sides.
func (h *Controller) parts(now time.Duration, svc string, keys []string, o *Out) {
	count := map[string]int{}
	busy := map[string]float64{}
	moving := false
	for _, key := range keys {
		s := h.servers[key]
		if !s.listed {
			continue
		}
		part := s.Role
		if s.NextRole != "" {
			moving = true
			part = s.NextRole
		}
		if part != "" && s.Status != Dark && !s.leaving() {
			count[part]++
			busy[part] += s.busy
		}
	}
	for _, key := range keys {
		s := h.servers[key]
		if !s.listed || s.writing || s.fails > 0 && s.Role == "" {
			continue
		}
		switch {
		case s.Role == "" && s.told != "": // new, and it plays a part already
			if !s.leaving() {
				h.enter(now, key, s, count, o)
			}
		case s.Role == "": // new: order first, then write
			if !s.seen || s.leaving() {
				continue
			}
			if s.ordered == "" {
				to := Prefill
				if count[Prefill] > count[Decode] {
					to = Decode
				}
				count[to]++
				h.order(now, key, s, to, "new", o)
			} else {
				s.warmAt = now
				h.write(o, key, s, ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: s.ordered, Status: Warming}, "took its first order")
			}
		case s.NextRole != "": // leaving its part; the invalidation is complete
			if s.ordered == s.NextRole {
				b := s.ServerRecord
				b.Role, b.NextRole, b.Status, b.Pairs = s.NextRole, "", Warming, nil
				s.warmAt = now
				h.write(o, key, s, b, "shifted")
			} else if s.usage.Active == 0 && h.held(svc, s.Addr) == 0 || now-s.leftAt > h.cfg.DrainTimeout {
				h.order(now, key, s, s.NextRole, "shift", o)
			}
		case s.told != "":
			h.odd(now, key, s, o)
		case s.ordered != s.Role && s.fails == 0 && s.seen && !s.anew:
			// A holder that is new, or a server that is: say it again.
			h.order(now, key, s, s.Role, "again", o)
		}
	}
	h.shift(now, svc, keys, count, busy, moving, o)
}

func (h *Controller) held(svc, addr string) int {
	n := 0
	for id, d := range h.daemons {
		if d.want.Service == svc && id != "" {
			n += d.want.InFlight[addr]
		}
	}
	return n
}

// demand is what waits for or holds each side, over all daemons.
func (h *Controller) demand(svc string) (read, mk int) {
	for _, d := range h.daemons {
		if d.want.Service == svc {
			for p := range d.want.Prefill {
				read += d.want.Prefill[p]
				mk += d.want.Decode[p]
			}
		}
	}
	return read, mk
}

// shift moves one server from the side that can spare it to the one that has
// been short for a whole window; never the last, never below the plan.
func (h *Controller) shift(now time.Duration, svc string, keys []string, count map[string]int, busy map[string]float64, moving bool, o *Out) {
	if moving || h.listed(keys) || now-h.moved[svc] < h.cfg.Dwell || now-h.since < h.cfg.SwapBound {
		return
	}
	caps := map[string]int{}
	for _, key := range keys {
		if s := h.servers[key]; s.listed && !s.leaving() && s.Status != Dark {
			caps[s.Role] += s.Capacity
		}
	}
	read, mk := h.demand(svc)
	need := map[string]float64{Prefill: float64(read) / float64(max(1, caps[Prefill])), Decode: float64(mk) / float64(max(1, caps[Decode]))}
	least := map[string]int{Prefill: max(1, h.plan[svc].PrefillServers), Decode: max(1, h.plan[svc].DecodeServers)}
	for _, to := range []string{Prefill, Decode} {
		from := Decode
		if to == Decode {
			from = Prefill
		}
		key := svc + "/" + to
		spare := count[from] > least[from]
		under := count[to] < least[to] && count[from] > 1
		if !(spare && need[to] > h.cfg.HighUsage && need[from] < h.cfg.LowUsage || under) {
			delete(h.short, key)
			continue
		}
		if _, ok := h.short[key]; !ok {
			h.short[key] = now
		}
		if now-h.short[key] < h.cfg.UsageWindow && !under {
			continue
		}
		var pick *server
		at := ""
		for _, k := range keys {
			s := h.servers[k]
			if s.listed && !s.writing && s.Role == from && s.NextRole == "" && s.Status == Up && !s.leaving() && s.ordered == s.Role &&
				(pick == nil || s.usage.Active < pick.usage.Active) {
				pick, at = s, k
			}
		}
		if pick == nil {
			continue
		}
		delete(h.short, key)
		h.beginShift(now, svc, at, to, fmt.Sprintf("%s side needs %.2f of its slots, %s side %.2f", to, need[to], from, need[from]), o)
		return
	}
}
