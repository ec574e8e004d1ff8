package placement

import "fmt"

// fillVacant shifts a server to a side that has none left, in use or warming
// up, and reports whether it did. Without a decode server nothing is served, so
// even the last prefill server is shifted: a decode server can process prompts itself.
// Without a prefill server, the decode servers process prompts more slowly. The last decode
// server is therefore kept, and the shift waits for ListedMinShiftInterval, in case a prefill
// server joins.
func (r *round) fillVacant(s sides) bool {
	side := shortage{service: r.service, role: Prefill, vacant: true}
	switch {
	case s.present[Decode] == 0 && len(s.inUse[Prefill]) > 0:
		r.shiftLeastPressed(s.inUse[Prefill], Decode, noServerLeft(Decode))
		return true
	case s.present[Prefill] == 0 && len(s.inUse[Decode]) > 1:
		if r.shortageDuration(r.now, side) < r.cfg.ListedMinShiftInterval {
			return false
		}
		delete(r.shortSince, side)
		r.shiftLeastPressed(s.inUse[Decode], Prefill, noServerLeft(Prefill))
		return true
	}
	delete(r.shortSince, side)
	return false
}

func noServerLeft(role string) string { return fmt.Sprintf("no %s server is left", role) }
