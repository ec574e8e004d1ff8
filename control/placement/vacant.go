package placement

import (
	"fmt"
	"time"
)

// sides are the servers of one service whose parts the platform lists, by the
// part that they play.
type sides struct {
	inUse   map[string][]string // records that requests go by now
	present map[string]int      // those that warm up, too: they are in use soon
}

// fillVacant shifts a server to a side that has none left, in use or warming
// up, and tells whether it did. Without a decode server nothing is served, so
// the last prefill server goes, too: a decode server reads prompts itself.
// Without a prefill server the decode servers read on, at a slower pace, so
// their last one stays, and there is time to see whether another comes.
func (h *Controller) fillVacant(now time.Duration, svc string, s sides, o *Out) bool {
	key := svc + "/no " + Prefill
	switch {
	case s.present[Decode] == 0 && len(s.inUse[Prefill]) > 0:
		h.shiftTo(now, svc, Decode, s.inUse[Prefill], fmt.Sprintf("no %s server is left", Decode), o)
		return true
	case s.present[Prefill] == 0 && len(s.inUse[Decode]) > 1:
		if _, ok := h.short[key]; !ok {
			h.short[key] = now
		}
		if now-h.short[key] < h.cfg.ListedDwell {
			return false
		}
		delete(h.short, key)
		h.shiftTo(now, svc, Prefill, s.inUse[Decode], fmt.Sprintf("no %s server is left", Prefill), o)
		return true
	}
	delete(h.short, key)
	return false
}

// shiftTo begins the shift of the server of a side that has the least to do.
func (h *Controller) shiftTo(now time.Duration, svc, to string, from []string, why string, o *Out) {
	h.beginShift(now, svc, h.easiest(from), to, why, o)
}

// beginShift has a server leave its part for another; the order follows once
// nothing of the old part is under way there.
func (h *Controller) beginShift(now time.Duration, svc, at, to, why string, o *Out) {
	pick := h.servers[at]
	h.moved[svc], pick.leftAt = now, now
	b := pick.ServerRecord
	b.NextRole, b.Status, b.Pairs = to, Leaving, nil
	h.write(o, at, pick, b, why)
}
