// Package loadreport exchanges the servers' load and the prompt prefixes that servers have
// cached between daemons. Reports are hints on which safety never depends: a lost or late
// report makes the choice of a server worse, not incorrect. The reports form an
// aggregation tree: each daemon reports to the head of its zone, heads report the sum of
// their zone to each other, and each head reports the sum of the fleet to its zone. A
// daemon therefore receives one report per interval, regardless of the fleet's size. The
// reporter is a plain state machine; callers must serialize access to it.
package loadreport

import (
	"hash/fnv"
	"maps"
	"time"
)

// Config holds the parameters of the reporter.
type Config struct {
	Interval       time.Duration // time between two reports
	MaxAge         time.Duration // reports older than this are ignored
	MaxPrefixes    int           // cached prefixes in one report
	CachedFraction float64       // fraction of a server's cache that is assumed to be retained
	MaxRemembered  int           // prefixes remembered
}

// The kinds of reports.
const (
	daemonReport byte = iota + 1 // the load of one daemon, to the head of its zone
	zoneReport                   // the sum of a zone, from its head to another head
	fleetReport                  // the sum of the fleet, from a head to its zone
)

type receivedLoads struct {
	at    time.Duration
	loads map[uint64]ServerLoad
}

// reportedPrefix is a CachedPrefix with the daemon that reported it. The prefix need not be
// sent back to this daemon.
type reportedPrefix struct {
	CachedPrefix
	from string
}

type cacheEntry struct {
	writtenTokens float64 // Reporter.writtenTokens of the server when it last cached the prefix
}

// Reporter is the state machine of one daemon.
type Reporter struct {
	cfg        Config
	local      map[uint64]ServerLoad    // current load from this daemon
	reported   map[uint64]ServerLoad    // load from this daemon as last reported
	members    map[string]receivedLoads // by daemon of this zone, if this daemon is the zone's head
	zones      map[string]receivedLoads // by other zone
	fleet      receivedLoads            // the sum of the fleet, from the head of this zone
	outcomes   map[uint64]callOutcomes
	interToken map[uint64]time.Duration // recent inter-token latency, as seen by this daemon
	isHead     bool
	nextReport time.Duration

	toZone, toHeads reportedState // as head: what was last reported to the zone and to other heads

	newPrefixes      []CachedPrefix   // from this daemon, not yet reported to the head
	prefixesForHeads []CachedPrefix   // from this zone, for the other heads
	prefixesForZone  []reportedPrefix // for the daemons of this zone

	writtenTokens map[uint64]float64                // total tokens that each server newly had to cache
	cacheSize     map[uint64]float64                // tokens that each server can cache
	prefixes      map[uint64]map[uint64]*cacheEntry // by prefix, then by server
	prefixOrder   []uint64
}

// New returns an empty reporter.
//
// Example: r := loadreport.New(loadreport.Config{Interval: 250 * time.Millisecond, MaxAge: time.Second})
func New(cfg Config) *Reporter {
	return &Reporter{
		cfg:           cfg,
		local:         map[uint64]ServerLoad{},
		reported:      map[uint64]ServerLoad{},
		members:       map[string]receivedLoads{},
		zones:         map[string]receivedLoads{},
		interToken:    map[uint64]time.Duration{},
		outcomes:      map[uint64]callOutcomes{},
		writtenTokens: map[uint64]float64{},
		cacheSize:     map[uint64]float64{},
		prefixes:      map[uint64]map[uint64]*cacheEntry{},
	}
}

// ServerID returns the ID by which the reporter identifies a server of a service.
//
// Example: id := loadreport.ServerID("timetable", "10.0.0.1:9000")
func ServerID(service, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return h.Sum64()
}

// AddLoad adds load that this daemon sent to a server; negative numbers remove it again.
//
// Example: r.AddLoad(id, 1460, 0)
func (r *Reporter) AddLoad(server uint64, tokens, decoding int) {
	load := r.local[server]
	load.Server, load.Tokens, load.Decoding = server, load.Tokens+tokens, load.Decoding+decoding
	if load.Tokens == 0 && load.Decoding == 0 {
		delete(r.local, server)
		return
	}
	load.InterTokenSum = int(r.interToken[server]/time.Millisecond) * load.Decoding
	r.local[server] = load
}

// callOutcomes holds the times at which this daemon's last answered and last unanswered calls
// to a server ended.
type callOutcomes struct{ lastAnswered, lastUnanswered time.Duration }

// CallEnded records the end of a call to a server: with an answer of any kind, or without
// an answer.
//
// Example: r.CallEnded(now, id, false)
func (r *Reporter) CallEnded(now time.Duration, server uint64, answered bool) {
	o := r.outcomes[server]
	if o.lastAnswered == 0 && o.lastUnanswered == 0 {
		o = callOutcomes{-time.Hour, -time.Hour}
	}
	if answered {
		o.lastAnswered = now
	} else {
		o.lastUnanswered = now
	}
	r.outcomes[server] = o
}

// localLoads returns this daemon's load on the servers, with the outcomes of its calls.
func (r *Reporter) localLoads(now time.Duration) map[uint64]ServerLoad {
	out := maps.Clone(r.local)
	for id, o := range r.outcomes {
		load := out[id]
		load.Server = id
		if now-o.lastAnswered < 4*r.cfg.Interval {
			load.Answered = 1
		}
		if o.lastUnanswered > o.lastAnswered && now-o.lastUnanswered < 8*r.cfg.Interval {
			load.Unanswered = 1
		}
		if load.Answered+load.Unanswered > 0 {
			out[id] = load
		} else if now-max(o.lastAnswered, o.lastUnanswered) > 40*r.cfg.Interval {
			delete(r.outcomes, id)
		}
	}
	return out
}

// IsDown reports whether a server is probably down: some daemons recently got no answer from
// the server, and at least as many as recently got one.
//
// Example: if r.IsDown(now, id) { avoid(server) }
func (r *Reporter) IsDown(now time.Duration, server uint64) bool {
	load := r.Load(now, server)
	return load.Unanswered > 0 && load.Unanswered >= load.Answered
}

// ObserveInterTokenLatency records the time between two events of an answer from a server.
//
// Example: r.ObserveInterTokenLatency(id, 42*time.Millisecond)
func (r *Reporter) ObserveInterTokenLatency(server uint64, d time.Duration) {
	old, ok := r.interToken[server]
	if !ok {
		old = d
	}
	r.interToken[server] = old + (d-old)/8
	if load, ok := r.local[server]; ok {
		load.InterTokenSum = int(r.interToken[server]/time.Millisecond) * load.Decoding
		r.local[server] = load
	}
}

// Load returns the load of a server: the sum of the load from the other daemons as last
// reported and the current load from this daemon.
//
// Example: load := r.Load(now, id); wait := load.Tokens / prefillRate
func (r *Reporter) Load(now time.Duration, server uint64) (sum ServerLoad) {
	sum = r.local[server]
	if o, ok := r.outcomes[server]; ok && r.reported != nil {
		sum.Answered, sum.Unanswered = r.reported[server].Answered, r.reported[server].Unanswered
		if o.lastAnswered > o.lastUnanswered {
			sum.Unanswered = 0
		}
	}
	add := func(load ServerLoad) {
		sum.Tokens += load.Tokens
		sum.Decoding += load.Decoding
		sum.InterTokenSum += load.InterTokenSum
		sum.Answered, sum.Unanswered = sum.Answered+load.Answered, sum.Unanswered+load.Unanswered
	}
	if r.isHead {
		for _, h := range r.members {
			if now-h.at < r.cfg.MaxAge {
				add(h.loads[server])
			}
		}
		for _, h := range r.zones {
			if now-h.at < r.cfg.MaxAge {
				add(h.loads[server])
			}
		}
		return sum
	}
	if now-r.fleet.at < r.cfg.MaxAge && r.fleet.loads != nil {
		load, old := r.fleet.loads[server], r.reported[server]
		add(ServerLoad{
			Tokens: max(0, load.Tokens-old.Tokens), Decoding: max(0, load.Decoding-old.Decoding),
			InterTokenSum: max(0, load.InterTokenSum-old.InterTokenSum),
			Answered:      max(0, load.Answered-old.Answered), Unanswered: max(0, load.Unanswered-old.Unanswered),
		})
	}
	return sum
}

// RecordPrefix records, for the next report, that a server prefilled a prompt or received
// its KV cache. tokens is the number of tokens that the server newly had to cache.
//
// Example: r.RecordPrefix(prefix, id, 1460)
func (r *Reporter) RecordPrefix(prefix, server uint64, tokens int) {
	cached := CachedPrefix{Prefix: prefix, Server: server, Tokens: tokens}
	r.addPrefix(cached)
	r.newPrefixes = append(r.newPrefixes, cached)
}

func (r *Reporter) addPrefix(cached CachedPrefix) {
	r.writtenTokens[cached.Server] += float64(cached.Tokens)
	list := r.prefixes[cached.Prefix]
	if list == nil {
		if len(r.prefixOrder) >= r.cfg.MaxRemembered {
			delete(r.prefixes, r.prefixOrder[0])
			r.prefixOrder = r.prefixOrder[1:]
		}
		list = map[uint64]*cacheEntry{}
		r.prefixes[cached.Prefix] = list
		r.prefixOrder = append(r.prefixOrder, cached.Prefix)
	}
	p := list[cached.Server]
	if p == nil {
		p = &cacheEntry{}
		list[cached.Server] = p
	}
	p.writtenTokens = r.writtenTokens[cached.Server]
}

// SetCacheSize sets how many tokens a server can cache; 0 means unknown.
//
// Example: r.SetCacheSize(id, 295740)
func (r *Reporter) SetCacheSize(server uint64, tokens int) { r.cacheSize[server] = float64(tokens) }

// HasPrefix reports whether a server probably still has a prompt's shared prefix cached.
//
// Example: if r.HasPrefix(prefix, id) { prefer(server) }
func (r *Reporter) HasPrefix(prefix, server uint64) bool {
	p := r.prefixes[prefix][server]
	if p == nil {
		return false
	}
	capacity := r.cacheSize[server]
	return capacity == 0 || r.writtenTokens[server]-p.writtenTokens < capacity*r.cfg.CachedFraction
}

// Forget removes all data about a server that no longer exists.
//
// Example: r.Forget(id)
func (r *Reporter) Forget(server uint64) {
	delete(r.writtenTokens, server)
	delete(r.cacheSize, server)
	delete(r.interToken, server)
	delete(r.outcomes, server)
	for _, list := range r.prefixes {
		delete(list, server)
	}
}
