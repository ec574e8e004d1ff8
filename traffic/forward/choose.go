package forward

import (
	"hash/fnv"
	"strconv"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// LoadReporter tells what all daemons together have under way at servers and which
// prompts servers keep. What it says may be old or lacking: it makes a choice
// better, never safe.
type LoadReporter interface {
	// AddLoad records work sent from here; with the signs turned round, its end.
	AddLoad(server string, tokens, writing int)
	// Load is what is under way at a server from all daemons: prompt tokens to
	// be read, answers being written, and the pause between their events of late.
	Load(now time.Duration, server string) (tokens, writing int, pause time.Duration)
	// ObserveInterTokenLatency records the time between two events of an answer.
	ObserveInterTokenLatency(server string, d time.Duration)
	// CallEnded records the end of a call: with an answer of any kind, or without a word.
	CallEnded(now time.Duration, server string, answered bool)
	// IsDown tells whether a server most likely answers nobody.
	IsDown(now time.Duration, server string) bool
	// RecordPrefix records that a server read or took up a prompt, and how many tokens
	// it had to keep anew.
	RecordPrefix(prefix uint64, server string, tokens int)
	// HasPrefix tells whether a server most likely keeps a prompt's shared parts.
	HasPrefix(prefix uint64, server string) bool
}

// Weights say what a choice costs beside time, in parts of a request's worth.
type Weights struct {
	CrossZoneBody     float64 // a KB of the request's body sent to another zone
	CacheMiss         float64 // 1,000 tokens read that another server keeps
	KVTransfer        float64 // 1,000 tokens of prompt memory moved within a zone
	CrossZoneTransfer float64 // and to another zone, times that
	AffinityMiss      float64 // a server that is not first in a prompt's order
	Warming           float64 // a server that warms up
	Stall             float64 // an answer under way whose pause gets too long
}

// sharedPrefix is the length in tokens of the parts that others may have in common
// with this prompt (the last part is its own), and a key for them.
func sharedPrefix(parts []Part) (tokens int, key uint64) {
	h := fnv.New64a()
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		tokens += p.Tokens
		_, _ = h.Write(strconv.AppendUint(nil, p.Key, 16))
		_, _ = h.Write([]byte{'/'})
	}
	return tokens, h.Sum64()
}

// rendezvousWeight ranks servers for a key, alike on all daemons without talk.
func rendezvousWeight(key uint64, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, key, 16))
	_, _ = h.Write([]byte(server))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// filter are the servers of a part that may get the request now: not tried
// before, not shy, failing that, shy ones; one that warms up only as far as the
// daemons together may use it.
func (l *Dispatcher) filter(now time.Duration, t *pendingRequest, part string, phase attempt.Phase) []Server {
	var good, shy []Server
	for i := range l.sortedKeys { // from another one for each request: where costs are equal the first is taken
		s := l.servable[l.sortedKeys[(uint64(i)+t.hash)%uint64(len(l.sortedKeys))]]
		switch {
		case s.Part != part || t.attempts.Tried(phase, s.Key) || s.Warming && !l.acceptsWarmup(now, s.Key):
		case now < l.statsOf(s.Key).backoffUntil || l.load.IsDown(now, s.Key):
			shy = append(shy, s)
		default:
			good = append(good, s)
		}
	}
	if len(good) > 0 {
		return good
	}
	return shy
}

// scoredServer is one way to go: a server, and what it costs in parts of the
// request's worth.
type scoredServer struct {
	Server
	wait           time.Duration // until it could begin
	prefill        time.Duration // to read the prompt
	cost           float64       // beside time
	uncachedTokens int           // tokens that it has to read
	decoding       int           // answers that it writes
	interToken     time.Duration // between their events of late
}

// latenessCost is what an answer loses whose first event comes after d: nothing while
// that is well inside the aim, half of its worth by the aim, more beyond.
func latenessCost(d, aim time.Duration) float64 {
	x := float64(d) / float64(max(aim, time.Millisecond))
	switch {
	case x <= 0.4:
		return 0.05 * x
	case x <= 1:
		return 0.02 + 0.4*(x-0.4)
	}
	return 0.5 + 0.2*(x-1)
}

func prefillTime(tokens int, pace float64) time.Duration {
	return time.Duration(float64(tokens) / pace * float64(time.Millisecond))
}

// score weighs the servers of a part for reading the prompt at a pace.
func (l *Dispatcher) score(now time.Duration, t *pendingRequest, part string, phase attempt.Phase, pace float64) []scoredServer {
	list := l.filter(now, t, part, phase)
	tokens, key := sharedPrefix(t.Parts)
	tokens = min(tokens, t.InputTokens)
	kept := false
	has := make([]bool, len(list))
	for i, s := range list {
		has[i] = tokens > 0 && l.load.HasPrefix(key, s.Key)
		kept = kept || has[i]
	}
	w := l.cfg.Weights
	out := make([]scoredServer, 0, len(list))
	for i, s := range list {
		o := scoredServer{Server: s, uncachedTokens: t.InputTokens}
		if has[i] {
			o.uncachedTokens -= tokens
		} else if kept || l.isCachedAnywhere(key) {
			o.cost += w.CacheMiss * float64(tokens) / 1000
		}
		load, writing, pause := l.load.Load(now, s.Key)
		o.wait, o.decoding, o.interToken = prefillTime(load, pace), writing, pause
		if over := writing - s.Slots; over >= 0 && part == placement.Decode {
			o.wait += time.Duration(over+1) * t.TTFTTarget / time.Duration(max(1, s.Slots))
		}
		o.prefill = prefillTime(o.uncachedTokens, pace)
		if s.Zone != l.cfg.Zone {
			o.cost += w.CrossZoneBody * float64(t.BodyBytes) / 1024
		}
		if s.Warming {
			o.cost += w.Warming
		}
		// A hair of chance from the request itself keeps daemons from herding.
		o.cost += float64(rendezvousWeight(t.hash, s.Key)%1024) / 1024 * w.AffinityMiss / 8
		out = append(out, o)
	}
	if !kept && tokens > 0 { // nobody is known to keep it: an order that all daemons share
		rank := l.affinityRanks(list, key)
		for i := range out {
			out[i].cost += w.AffinityMiss * float64(rank[out[i].Key]) * min(1, float64(tokens)/1000)
		}
	}
	return out
}

// affinityRanks orders the servers for a key, alike on all daemons of all zones; the
// first few have rank 0, 1, 2, all others 3.
func (l *Dispatcher) affinityRanks(list []Server, key uint64) map[string]int {
	own := make([]uint64, len(list))
	var top [3]uint64 // the highest, first to third
	for i, s := range list {
		w := rendezvousWeight(key, s.Key)
		own[i] = w
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	out := make(map[string]int, len(list))
	for i, s := range list {
		n := 0
		for _, w := range top {
			if w > own[i] {
				n++
			}
		}
		out[s.Key] = n
	}
	return out
}

// isCachedAnywhere tells whether any server at all is isCachedAnywhere to keep the shared parts.
func (l *Dispatcher) isCachedAnywhere(key uint64) bool {
	for k := range l.servable {
		if l.load.HasPrefix(key, k) {
			return true
		}
	}
	return false
}

// choose weighs reading apart against a server that reads and writes, and
// where; a handle that is there already leaves only the second half to choose.
func (l *Dispatcher) choose(now time.Duration, t *pendingRequest, apart bool) (m Decision, ok bool) {
	decodeServers := l.score(now, t, placement.Decode, attempt.Decode, l.prefillRate/2)
	if t.handle != nil {
		best, _ := l.pickDecode(t, decodeServers, t.handle.Server, 0, 0)
		return Decision{Action: Decode, Server: best.Server, Handle: t.handle}, best.Key != ""
	}
	lowest := 0.0
	for _, o := range decodeServers {
		if c := latenessCost(o.wait+o.prefill, t.TTFTTarget) + o.cost + l.stallCost(o) + l.interTokenCost(o); !ok || c < lowest {
			m, ok, lowest, t.uncachedTokens = Decision{Action: Decode, Server: o.Server}, true, c, o.uncachedTokens
			t.predictedWait, t.predictedPrefill = o.wait, o.prefill
		}
	}
	if !apart {
		return m, ok
	}
	for _, o := range l.score(now, t, placement.Prefill, attempt.Prefill, l.prefillRate) {
		best, c := l.pickDecode(t, decodeServers, o.Server, o.wait+o.prefill, o.cost)
		if best.Key != "" && (!ok || c < lowest) {
			m, ok, lowest, t.uncachedTokens = Decision{Action: Prefill, Server: o.Server}, true, c, o.uncachedTokens
			t.predictedWait, t.predictedPrefill = o.wait+best.wait/2, o.prefill
		}
	}
	return m, ok
}

// stallCost is what the answers under way at a server lose while it reads a prompt
// between their tokens: nothing while the pause that this makes is well below
// the longest that is in time, all their timeliness beyond.
func (l *Dispatcher) stallCost(o scoredServer) float64 {
	if l.shortestInterToken == 0 || o.decoding == 0 {
		return 0
	}
	x := float64(o.interToken+o.wait+o.prefill)/float64(l.shortestInterToken) - 0.5
	return l.cfg.Weights.Stall * float64(o.decoding) * min(1, max(0, x/0.3))
}

// interTokenCost is what an answer loses at a server whose events come too far apart.
func (l *Dispatcher) interTokenCost(o scoredServer) float64 {
	if l.shortestInterToken == 0 {
		return 0
	}
	return min(1, max(0, float64(o.interToken)/float64(l.shortestInterToken)-0.3))
}

// pickDecode picks the writing server for a prompt that was read at a server after
// some time and at some cost.
func (l *Dispatcher) pickDecode(t *pendingRequest, decodeServers []scoredServer, from Server, after time.Duration, costs float64) (best scoredServer, lowest float64) {
	w := l.cfg.Weights
	for _, o := range decodeServers {
		c := costs + w.KVTransfer*float64(t.InputTokens)/1000
		if o.Zone != from.Zone {
			c = costs + w.KVTransfer*w.CrossZoneTransfer*float64(t.InputTokens)/1000
		}
		if o.Zone != l.cfg.Zone {
			c += w.CrossZoneBody * float64(t.BodyBytes) / 1024
		}
		c += latenessCost(after+o.wait/2, t.TTFTTarget) + l.interTokenCost(o)
		if best.Key == "" || c < lowest {
			best, lowest = o, c
		}
	}
	return best, lowest
}
