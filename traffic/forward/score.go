package forward

import (
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// Weights say what a choice costs beside time, in parts of a request's worth.
type Weights struct {
	CrossZoneBody     float64 // a KB of the request's body sent to another zone
	CacheMiss         float64 // 1,000 tokens read that another server has cached
	ReportedLoad      float64 // part of the load that others reported which counts: it is older than a prompt takes to read
	KVTransfer        float64 // 1,000 tokens of KV cache moved within a zone
	CrossZoneTransfer float64 // factor on KVTransfer between zones
	AffinityMiss      float64 // a server that is not first in a prefix's order, a place
	Spread            float64 // the most that chance adds, so that daemons don't all choose alike
	Warming           float64 // a server that warms up
	Stall             float64 // an answer under way whose pause gets too long
}

// scoredServer is one way to go: a server, what it costs in parts of the request's
// worth, and what is predicted of it.
type scoredServer struct {
	Server
	wait           time.Duration // until it could begin
	prefill        time.Duration // to read the prompt
	cost           float64       // beside time
	uncachedTokens int           // that it has to read
	decoding       int           // answers that it writes
	interToken     time.Duration // between their events of late
}

// prefillTime is how long tokens take to read at a rate in tokens a millisecond.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// score filters the servers of a role and weighs each for reading the prompt at a
// rate in tokens a millisecond.
func (d *Dispatcher) score(
	now time.Duration, r *pendingRequest, role string, phase attempt.Phase, rate float64,
) []scoredServer {
	list := d.filter(now, r, role, phase)
	tokens, key := sharedPrefix(r.Parts)
	tokens = min(tokens, r.InputTokens)
	cached := make([]bool, len(list)) // stays on the stack
	anyCached := d.markCached(cached, list, tokens, key)
	out := make([]scoredServer, 0, len(list))
	for i, s := range list {
		o := scoredServer{Server: s, uncachedTokens: r.InputTokens}
		if cached[i] {
			o.uncachedTokens -= tokens
		} else if anyCached || d.isCachedAnywhere(key) {
			o.cost += d.cfg.Weights.CacheMiss * float64(tokens) / 1000
		}
		d.predict(now, r, role, rate, &o)
		d.addFixedCosts(r, &o)
		out = append(out, o)
	}
	if tokens > 0 {
		d.addAffinityCosts(list, out, key, tokens)
	}
	return out
}

// markCached marks the servers that most likely have the shared prefix cached, and
// tells whether any has.
func (d *Dispatcher) markCached(cached []bool, list []Server, tokens int, key uint64) (anyCached bool) {
	for i, s := range list {
		cached[i] = tokens > 0 && d.load.HasPrefix(key, s.Key)
		anyCached = anyCached || cached[i]
	}
	return anyCached
}

// predict fills in the times of a server from the load of all daemons.
func (d *Dispatcher) predict(now time.Duration, r *pendingRequest, role string, rate float64, o *scoredServer) {
	tokens, decoding, interToken := d.load.Load(now, o.Key)
	tokens = int(float64(tokens) * d.cfg.Weights.ReportedLoad)
	o.wait, o.decoding, o.interToken = prefillTime(tokens, rate), decoding, interToken
	if over := decoding - o.Slots; over >= 0 && role == placement.Decode {
		o.wait += time.Duration(over+1) * r.TTFTTarget / time.Duration(max(1, o.Slots))
	}
	o.prefill = prefillTime(o.uncachedTokens, rate)
}

// addFixedCosts adds what a server costs whatever its load is.
func (d *Dispatcher) addFixedCosts(r *pendingRequest, o *scoredServer) {
	w := d.cfg.Weights
	if o.Zone != d.cfg.Zone {
		o.cost += w.CrossZoneBody * float64(r.BodyBytes) / 1024
	}
	if o.Warming {
		o.cost += w.Warming
	}
	// A hair of chance from the request itself keeps daemons from herding.
	o.cost += float64(rendezvousWeight(r.hash, o.Key)%1024) / 1024 * w.Spread
}

// addAffinityCosts weighs servers by an order that all daemons share: the first in a prefix's order
// keeps it, without any talk. What daemons hear of who has it cached is old and has gaps, and each of
// them hears of others: gone by alone, it has a prefix read at many servers.
func (d *Dispatcher) addAffinityCosts(list []Server, scored []scoredServer, key uint64, tokens int) {
	rank := affinityRanks(list, key)
	for i := range scored {
		scored[i].cost += d.cfg.Weights.AffinityMiss * float64(rank[scored[i].Key]) * min(1, float64(tokens)/1000)
	}
}

// latenessCost is what an answer loses whose first event comes after so long:
// nothing while that is well inside the target, half of its worth by the target,
// more beyond.
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

// stallCost is what the answers under way at a server lose while it reads a prompt
// between their tokens: nothing while the pause that this makes is well below
// the longest that is in time, all their timeliness beyond.
func (d *Dispatcher) stallCost(o scoredServer) float64 {
	if d.shortestInterToken == 0 || o.decoding == 0 {
		return 0
	}
	x := float64(o.interToken+o.wait+o.prefill)/float64(d.shortestInterToken) - 0.5
	return d.cfg.Weights.Stall * float64(o.decoding) * min(1, max(0, x/0.3))
}

// interTokenCost is what an answer loses at a server whose events come too far apart.
func (d *Dispatcher) interTokenCost(o scoredServer) float64 {
	if d.shortestInterToken == 0 {
		return 0
	}
	return min(1, max(0, float64(o.interToken)/float64(d.shortestInterToken)-0.3))
}
