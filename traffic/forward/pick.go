package forward

import (
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// pickServer decides whether the prompt may be read apart from the decoding, and
// picks the cheapest way.
func (d *Dispatcher) pickServer(now time.Duration, r *pendingRequest) (Decision, bool) {
	apart := r.Disaggregated && r.InputTokens > 0 && !r.streamStarted && !r.ContinuesStream &&
		r.attempts.AttemptCount(attempt.Prefill) < r.maxAttempts()
	if r.prefillAccepted { // another prefill counts, and so does the decode after it
		apart = apart && r.countedSends+1 < r.maxAttempts() && d.retries.Has(now)
	}
	return d.pick(now, r, apart)
}

// pick weighs a prefill apart against a server that reads and decodes, and where;
// a handle that is there already leaves only the decode server to pick.
func (d *Dispatcher) pick(now time.Duration, r *pendingRequest, apart bool) (m Decision, ok bool) {
	decodeServers := d.score(now, r, placement.Decode, attempt.Decode, d.prefillRate/2)
	if r.handle != nil {
		best, _ := d.pickDecode(r, decodeServers, r.handle.Server, 0, 0)
		return Decision{Action: Decode, Server: best.Server, Handle: r.handle}, best.Key != ""
	}
	lowest := 0.0
	for _, o := range decodeServers {
		cost := latenessCost(o.wait+o.prefill, r.TTFTTarget) + o.cost + d.stallCost(o) + d.interTokenCost(o)
		if !ok || cost < lowest {
			m, ok, lowest = Decision{Action: Decode, Server: o.Server}, true, cost
			r.predict(o, o.wait)
		}
	}
	if !apart {
		return m, ok
	}
	for _, o := range d.score(now, r, placement.Prefill, attempt.Prefill, d.prefillRate) {
		best, cost := d.pickDecode(r, decodeServers, o.Server, o.wait+o.prefill, o.cost)
		if best.Key != "" && (!ok || cost < lowest) {
			m, ok, lowest = Decision{Action: Prefill, Server: o.Server}, true, cost
			r.predict(o, o.wait+best.wait/2)
		}
	}
	return m, ok
}

// predict keeps what the pick predicts of the request.
func (r *pendingRequest) predict(o scoredServer, wait time.Duration) {
	r.uncachedTokens = o.uncachedTokens
	r.predictedWait = wait
	r.predictedPrefill = o.prefill
}

// pickDecode picks the decode server for a prompt that was read at a server after
// some time and at some cost.
func (d *Dispatcher) pickDecode(
	r *pendingRequest, decodeServers []scoredServer, from Server, after time.Duration, costs float64,
) (best scoredServer, lowest float64) {
	w := d.cfg.Weights
	for _, o := range decodeServers {
		c := costs + w.KVTransfer*float64(r.InputTokens)/1000
		if o.Zone != from.Zone {
			c = costs + w.KVTransfer*w.CrossZoneTransfer*float64(r.InputTokens)/1000
		}
		if o.Zone != d.cfg.Zone {
			c += w.CrossZoneBody * float64(r.BodyBytes) / 1024
		}
		c += latenessCost(after+o.wait/2, r.TTFTTarget) + d.interTokenCost(o)
		if best.Key == "" || c < lowest {
			best, lowest = o, c
		}
	}
	return best, lowest
}
