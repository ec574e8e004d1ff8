package scheduler

import (
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/slots"
)

// draw is a random number from the request's own identity, so that daemons don't herd.
func (r *pendingRequest) draw() uint64 {
	const fnvPrime = 1099511628211
	x := uint64(len(r.attempts.Attempts)) + 1
	for _, c := range r.ID {
		x = x*fnvPrime ^ uint64(c)
	}
	return x >> 17
}

// pick chooses among free servers for the phase that the request waits for; "" is none.
func (d *Dispatcher) pick(r *pendingRequest, free []string) string {
	if r.phase == slots.Prefill {
		return d.pickPrefill(r, free)
	}
	return d.pickDecode(r, free)
}

// pickPrefill is the server that has most of the prompt cached; random among equals.
func (d *Dispatcher) pickPrefill(r *pendingRequest, free []string) string {
	best, most, equals := "", -1, uint64(0)
	for _, addr := range free {
		if !d.mayPrefill(r, addr) {
			continue
		}
		switch parts := r.cachedParts[addr]; {
		case parts > most:
			best, most, equals = addr, parts, 1
		case parts == most:
			if equals++; r.draw()%equals == 0 {
				best = addr
			}
		}
	}
	return best
}

// mayPrefill filters the servers for a prefill.
func (d *Dispatcher) mayPrefill(r *pendingRequest, addr string) bool {
	record, ok := d.servable[addr]
	return ok && record.Role == placement.Prefill && len(record.Pairs) > 0 &&
		!r.attempts.Tried(attempt.Prefill, addr) && !d.isBackingOff(addr)
}

// pickDecode is a server that the prefill server is paired with, in its zone if there is
// one; random among equals.
func (d *Dispatcher) pickDecode(r *pendingRequest, free []string) string {
	best, equals, bestInZone := "", uint64(0), false
	for _, addr := range free {
		if !d.mayDecode(r, addr) {
			continue
		}
		inZone := d.servable[addr].Zone == r.prefillZone
		switch {
		case best == "" || inZone && !bestInZone:
			best, equals, bestInZone = addr, 1, inZone
		case inZone == bestInZone:
			if equals++; r.draw()%equals == 0 {
				best = addr
			}
		}
	}
	return best
}

// mayDecode filters the servers for a decode.
func (d *Dispatcher) mayDecode(r *pendingRequest, addr string) bool {
	record, ok := d.servable[addr]
	return ok && record.Role == placement.Decode && r.pairedServers[addr] &&
		!r.attempts.Tried(attempt.Decode, addr) && !d.isBackingOff(addr)
}

func (d *Dispatcher) isBackingOff(addr string) bool {
	_, ok := d.backoffUntil[addr]
	return ok
}

// canBeServed tells whether the request could go to any server, were it free.
func (d *Dispatcher) canBeServed(r *pendingRequest) bool {
	all := make([]string, 0, len(d.servable))
	for addr := range d.servable {
		all = append(all, addr)
	}
	return d.pick(r, all) != ""
}
