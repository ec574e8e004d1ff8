package forward

import (
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// pickServer decides whether prefill and decode may run on separate servers, and picks the
// cheapest option.
func (d *Dispatcher) pickServer(now time.Duration, r *pendingRequest) (Decision, bool) {
	disaggregate := r.Disaggregated && r.InputTokens > 0 && !r.streamStarted && !r.ContinuesStream &&
		r.attempts.AttemptCount(attempt.Prefill) < r.maxAttempts()
	if r.prefillAccepted { // another prefill and the decode after it both count as sends
		disaggregate = disaggregate && r.countedSends+1 < r.maxAttempts() && d.retries.Has(now)
	}
	return d.pick(now, r, disaggregate)
}

// pick compares the cost of separate prefill and decode servers with that of a single server
// for both, over all candidates. If the request has a handle already, only the decode server
// is left to pick.
func (d *Dispatcher) pick(now time.Duration, r *pendingRequest, disaggregate bool) (decision Decision, ok bool) {
	decodeServers := d.score(now, r, placement.Decode, attempt.Decode, d.prefillRate/2)
	if r.handle != nil {
		best, _ := d.pickDecode(r, decodeServers, r.handle.Server, 0, 0)
		return Decision{Action: Decode, Server: best.Server, Handle: r.handle}, best.Key != ""
	}
	lowest := 0.0
	for _, o := range decodeServers {
		cost := latenessCost(o.wait+o.prefill, r.TTFTTarget) + o.cost + d.stallCost(o) + d.interTokenCost(o)
		if !ok || cost < lowest {
			decision, ok, lowest = Decision{Action: Decode, Server: o.Server}, true, cost
			r.setPrediction(o, o.wait)
		}
	}
	if !disaggregate {
		return decision, ok
	}
	for _, o := range d.score(now, r, placement.Prefill, attempt.Prefill, d.prefillRate) {
		best, cost := d.pickDecode(r, decodeServers, o.Server, o.wait+o.prefill, o.cost)
		if best.Key != "" && (!ok || cost < lowest) {
			decision, ok, lowest = Decision{Action: Prefill, Server: o.Server}, true, cost
			r.setPrediction(o, o.wait+best.wait/2)
		}
	}
	return decision, ok
}

// setPrediction stores the prediction for the picked server.
func (r *pendingRequest) setPrediction(o scoredServer, wait time.Duration) {
	r.uncachedTokens = o.uncachedTokens
	r.predictedWait = wait
	r.predictedPrefill = o.prefill
}

// pickDecode picks the decode server for a prompt whose prefill runs on the given server, ends
// after prefillEnd and costs prefillCost. It returns the total cost as well.
func (d *Dispatcher) pickDecode(
	r *pendingRequest, decodeServers []scoredServer, prefillServer Server, prefillEnd time.Duration, prefillCost float64,
) (best scoredServer, lowest float64) {
	w := d.cfg.Weights
	for _, o := range decodeServers {
		cost := prefillCost + w.KVTransfer*float64(r.InputTokens)/1000
		if o.Zone != prefillServer.Zone {
			cost = prefillCost + w.KVTransfer*w.CrossZoneTransfer*float64(r.InputTokens)/1000
		}
		if o.Zone != d.cfg.Zone {
			cost += w.CrossZoneBody * float64(r.BodyBytes) / 1024
		}
		cost += latenessCost(prefillEnd+o.wait/2, r.TTFTTarget) + d.interTokenCost(o)
		if best.Key == "" || cost < lowest {
			best, lowest = o, cost
		}
	}
	return best, lowest
}
