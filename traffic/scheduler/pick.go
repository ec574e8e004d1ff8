package scheduler

import (
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/slots"
)

// pseudoRandom returns a number derived from the request's ID and number of attempts, so that daemons
// don't all pick the same server.
func (r *pendingRequest) pseudoRandom() uint64 {
	const fnvPrime = 1099511628211
	x := uint64(len(r.attempts.Attempts)) + 1
	for _, c := range r.ID {
		x = x*fnvPrime ^ uint64(c)
	}
	return x >> 17
}

// pick chooses a free server for the request's phase, or returns "" if none is suitable.
func (d *Dispatcher) pick(r *pendingRequest, free []string) string {
	if r.phase == slots.Prefill {
		return d.pickPrefill(r, free)
	}
	return d.pickDecode(r, free)
}

// pickPrefill returns the server that has most of the prompt cached. Ties are broken pseudo-randomly.
func (d *Dispatcher) pickPrefill(r *pendingRequest, free []string) string {
	best, most, ties := "", -1, uint64(0)
	for _, addr := range free {
		if !d.canPrefill(r, addr) {
			continue
		}
		switch parts := r.cachedParts[addr]; {
		case parts > most:
			best, most, ties = addr, parts, 1
		case parts == most:
			if ties++; r.pseudoRandom()%ties == 0 {
				best = addr
			}
		}
	}
	return best
}

// canPrefill reports whether a server may be picked for the request's prefill.
func (d *Dispatcher) canPrefill(r *pendingRequest, addr string) bool {
	record, ok := d.servable[addr]
	return ok && record.Role == placement.Prefill && len(record.Pairs) > 0 &&
		!r.attempts.Tried(attempt.Prefill, addr) && !d.isBackingOff(addr)
}

// pickDecode returns a server paired with the prefill server, preferably in the same zone. Ties are broken
// pseudo-randomly.
func (d *Dispatcher) pickDecode(r *pendingRequest, free []string) string {
	best, ties, bestInZone := "", uint64(0), false
	for _, addr := range free {
		if !d.canDecode(r, addr) {
			continue
		}
		inZone := d.servable[addr].Zone == r.prefillZone
		switch {
		case best == "" || inZone && !bestInZone:
			best, ties, bestInZone = addr, 1, inZone
		case inZone == bestInZone:
			if ties++; r.pseudoRandom()%ties == 0 {
				best = addr
			}
		}
	}
	return best
}

// canDecode reports whether a server may be picked for the request's decode.
func (d *Dispatcher) canDecode(r *pendingRequest, addr string) bool {
	record, ok := d.servable[addr]
	return ok && record.Role == placement.Decode && r.pairedServers[addr] &&
		!r.attempts.Tried(attempt.Decode, addr) && !d.isBackingOff(addr)
}

func (d *Dispatcher) isBackingOff(addr string) bool {
	_, ok := d.backoffUntil[addr]
	return ok
}

// canBeServed reports whether any servable server suits the request, regardless of free slots.
func (d *Dispatcher) canBeServed(r *pendingRequest) bool {
	all := make([]string, 0, len(d.servable))
	for addr := range d.servable {
		all = append(all, addr)
	}
	return d.pick(r, all) != ""
}
