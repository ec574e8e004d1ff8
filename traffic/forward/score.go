package forward

import (
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// Weights are the costs of a choice other than time, as fractions of a request's value.
type Weights struct {
	CrossZoneBody     float64 // per KB of request body sent to another zone
	CacheMiss         float64 // per 1,000 tokens to prefill that another server has cached
	ReportedLoad      float64 // factor on the reported load, since reports are older than a prefill takes
	KVTransfer        float64 // per 1,000 tokens of KV cache transferred within a zone
	CrossZoneTransfer float64 // factor on KVTransfer for transfers between zones
	AffinityMiss      float64 // per rank of a server below the first in a prefix's affinity order
	Spread            float64 // maximum of a pseudorandom cost, so that daemons don't all choose the same server
	Warming           float64 // for a server that is warming up
	Stall             float64 // per answer being decoded that is stalled too long
}

// scoredServer is a candidate server with its cost, as a fraction of the request's value,
// and its predicted times.
type scoredServer struct {
	Server
	wait           time.Duration // until the server could start the prompt
	prefill        time.Duration // duration of the prefill
	cost           float64       // cost without the predicted times
	uncachedTokens int           // tokens that the server has to prefill
	decoding       int           // answers that the server is decoding
	interToken     time.Duration // recent time between events of these answers
}

// prefillTime returns how long a prefill takes at a rate in tokens per millisecond.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// score returns the servers of a role that a request considers, with their costs and predicted times, for a
// prefill rate in tokens per millisecond.
func (d *Dispatcher) score(
	now time.Duration, r *pendingRequest, role string, phase attempt.Phase, rate float64,
) []scoredServer {
	tokens, key := sharedPrefix(r.Parts)
	tokens = min(tokens, r.InputTokens)
	servers := r.sample(d.filter(now, r, role, phase), key, tokens)
	cached := make([]bool, len(servers)) // stays on the stack
	anyCached := d.markCached(cached, servers, tokens, key)
	scored := make([]scoredServer, 0, len(servers))
	for i, s := range servers {
		o := scoredServer{Server: s, uncachedTokens: r.InputTokens}
		if cached[i] {
			o.uncachedTokens -= tokens
		} else if anyCached || d.isCachedAnywhere(key) {
			o.cost += d.cfg.Weights.CacheMiss * float64(tokens) / 1000
		}
		d.predict(now, r, role, rate, &o)
		d.addFixedCosts(r, &o)
		scored = append(scored, o)
	}
	if tokens > 0 {
		d.addAffinityCosts(servers, scored, key, tokens)
	}
	return scored
}

// markCached marks the servers that most likely have the shared prefix cached, and
// reports whether any does.
func (d *Dispatcher) markCached(cached []bool, servers []Server, tokens int, key uint64) (anyCached bool) {
	for i, s := range servers {
		cached[i] = tokens > 0 && d.load.HasPrefix(key, s.Key)
		anyCached = anyCached || cached[i]
	}
	return anyCached
}

// predict sets a server's predicted times from the load of all daemons.
func (d *Dispatcher) predict(now time.Duration, r *pendingRequest, role string, rate float64, o *scoredServer) {
	tokens, decoding, interToken := d.load.Load(now, o.Key)
	tokens = int(float64(tokens) * d.cfg.Weights.ReportedLoad)
	o.wait, o.decoding, o.interToken = prefillTime(tokens, rate), decoding, interToken
	if excess := decoding - o.Slots; excess >= 0 && role == placement.Decode {
		o.wait += time.Duration(excess+1) * r.TTFTTarget / time.Duration(max(1, o.Slots))
	}
	o.prefill = prefillTime(o.uncachedTokens, rate)
}

// addFixedCosts adds the costs that don't depend on a server's load.
func (d *Dispatcher) addFixedCosts(r *pendingRequest, o *scoredServer) {
	w := d.cfg.Weights
	if o.Zone != d.cfg.Zone {
		o.cost += w.CrossZoneBody * float64(r.BodyBytes) / 1024
	}
	if o.Warming {
		o.cost += w.Warming
	}
	// A small pseudorandom cost derived from the request keeps daemons from all choosing the same server.
	o.cost += float64(rendezvousWeight(r.hash, o.Key)%1024) / 1024 * w.Spread
}

// addAffinityCosts adds a cost by a server's rank in the prefix's affinity order. All daemons compute
// the same order without communication, so that a prefix stays at its first server. Reports of cached
// prefixes are stale, incomplete and different on each daemon: used alone, they cause a prefix to be
// prefilled on many servers.
func (d *Dispatcher) addAffinityCosts(servers []Server, scored []scoredServer, key uint64, tokens int) {
	ranks := affinityRanks(servers, key)
	for i := range scored {
		scored[i].cost += d.cfg.Weights.AffinityMiss * float64(ranks[scored[i].Key]) * min(1, float64(tokens)/1000)
	}
}

// latenessCost returns the cost of an answer whose first event comes after the given time, as a
// fraction of the request's value: almost nothing well within the target, about a quarter just
// before the target, and beyond the target half plus an amount that grows with the delay.
func latenessCost(after, target time.Duration) float64 {
	x := float64(after) / float64(max(target, time.Millisecond))
	switch {
	case x <= 0.4:
		return 0.05 * x
	case x <= 1:
		return 0.02 + 0.4*(x-0.4)
	}
	return 0.5 + 0.2*(x-1)
}

// stallCost returns the cost of pausing the answers that a server is decoding, because it
// prefills a prompt between their tokens. The cost is 0 if the pause is well below the
// inter-token target, and the full Stall weight per answer if it is close to the target or above.
func (d *Dispatcher) stallCost(o scoredServer) float64 {
	if d.shortestInterToken == 0 || o.decoding == 0 {
		return 0
	}
	x := float64(o.interToken+o.wait+o.prefill)/float64(d.shortestInterToken) - 0.5
	return d.cfg.Weights.Stall * float64(o.decoding) * min(1, max(0, x/0.3))
}

// interTokenCost returns the cost of an answer at a server with a long time between events.
func (d *Dispatcher) interTokenCost(o scoredServer) float64 {
	if d.shortestInterToken == 0 {
		return 0
	}
	return min(1, max(0, float64(o.interToken)/float64(d.shortestInterToken)-0.3))
}
