// Package loadreport is what the daemons report to each other of the servers' load
// and of the prefixes that servers have cached. It is a hint, never a ground for
// safety: a report that is lost or late makes a choice worse, not wrong. It is an
// aggregation tree: each daemon reports to the head of its zone, heads report their
// zone's sum to each other, and each head reports the fleet's sum to its zone. So a
// daemon receives one report an interval, however large the fleet is. A plain state
// machine; its user holds a lock.
package loadreport

import (
	"hash/fnv"
	"maps"
	"time"
)

// Config holds the bounds of the reporter.
type Config struct {
	Interval       time.Duration // between two reports
	MaxAge         time.Duration // a report counts for so long
	MaxPrefixes    int           // messages of kept prompts in one report
	CachedFraction float64       // part of a server's memory that is taken to be kept
	MaxRemembered  int           // prompts remembered
}

// The kinds of reports.
const (
	daemonReport byte = iota + 1 // a daemon's own
	zoneReport                   // a zone's sum, from its head to another
	fleetReport                  // the fleet's sum, from a head to its zone
)

type receivedLoads struct {
	at    time.Duration
	loads map[uint64]ServerLoad
}

// reportedPrefix is a Kept with the daemon that told it, which need not be told again.
type reportedPrefix struct {
	CachedPrefix
	from string
}

type cachedAt struct {
	writtenTokens float64 // of the server when it last had the prompt
}

// Reporter is the state machine of one daemon.
type Reporter struct {
	cfg        Config
	local      map[uint64]ServerLoad    // under way from here, now
	reported   map[uint64]ServerLoad    // and when last told
	members    map[string]receivedLoads // of the daemons of this zone, if this is its head
	zones      map[string]receivedLoads // of the other zones
	fleet      receivedLoads            // the fleet's sum, from our head
	outcomes   map[uint64]callOutcomes
	interToken map[uint64]time.Duration // between events of late, as seen here
	isHead     bool
	nextReport time.Duration

	toZone, toHeads reportedState // as head: what was reported to last

	newPrefixes      []CachedPrefix   // of our own, not yet told to our head
	prefixesForHeads []CachedPrefix   // for the other heads: of this zone
	prefixesForZone  []reportedPrefix // for the daemons of this zone

	writtenTokens map[uint64]float64              // tokens that each server had to keep, so far
	cacheSize     map[uint64]float64              // tokens that it can keep
	prefixes      map[uint64]map[uint64]*cachedAt // prompt -> server
	prefixOrder   []uint64
}

// New makes an empty reporter.
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
		prefixes:      map[uint64]map[uint64]*cachedAt{},
	}
}

// ServerID is the short name of a server of a service on the reporter.
//
// Example: id := loadreport.ServerID("timetable", "10.0.0.1:9000")
func ServerID(service, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return h.Sum64()
}

// AddLoad records work sent to a server from here; End takes it off with the signs
// turned round.
//
// Example: r.AddLoad(id, 1460, 0)
func (r *Reporter) AddLoad(server uint64, tokens, writing int) {
	u := r.local[server]
	u.Server, u.Tokens, u.Decoding = server, u.Tokens+tokens, u.Decoding+writing
	if u.Tokens == 0 && u.Decoding == 0 {
		delete(r.local, server)
		return
	}
	u.InterTokenSum = int(r.interToken[server]/time.Millisecond) * u.Decoding
	r.local[server] = u
}

// callOutcomes is what became of a daemon's own calls to a server.
type callOutcomes struct{ lastAnswered, lastUnanswered time.Duration }

// CallEnded records the end of a call to a server: with an answer of any kind, or
// without a word.
//
// Example: r.CallEnded(now, id, false)
func (r *Reporter) CallEnded(now time.Duration, server uint64, answered bool) {
	m := r.outcomes[server]
	if m.lastAnswered == 0 && m.lastUnanswered == 0 {
		m = callOutcomes{-time.Hour, -time.Hour}
	}
	if answered {
		m.lastAnswered = now
	} else {
		m.lastUnanswered = now
	}
	r.outcomes[server] = m
}

// localLoads is the own use of servers with what became of the calls to them.
func (r *Reporter) localLoads(now time.Duration) map[uint64]ServerLoad {
	out := maps.Clone(r.local)
	for id, m := range r.outcomes {
		u := out[id]
		u.Server = id
		if now-m.lastAnswered < 4*r.cfg.Interval {
			u.Answered = 1
		}
		if m.lastUnanswered > m.lastAnswered && now-m.lastUnanswered < 8*r.cfg.Interval {
			u.Unanswered = 1
		}
		if u.Answered+u.Unanswered > 0 {
			out[id] = u
		} else if now-max(m.lastAnswered, m.lastUnanswered) > 40*r.cfg.Interval {
			delete(r.outcomes, id)
		}
	}
	return out
}

// IsDown tells whether a server most likely answers nobody: some daemons had no
// word from it, and not more of them had one just now.
//
// Example: if r.IsDown(now, id) { avoid(server) }
func (r *Reporter) IsDown(now time.Duration, server uint64) bool {
	u := r.Load(now, server)
	return u.Unanswered > 0 && u.Unanswered >= u.Answered
}

// ObserveInterTokenLatency records the time between two events of an answer.
//
// Example: r.ObserveInterTokenLatency(id, 42*time.Millisecond)
func (r *Reporter) ObserveInterTokenLatency(server uint64, d time.Duration) {
	old, ok := r.interToken[server]
	if !ok {
		old = d
	}
	r.interToken[server] = old + (d-old)/8
	if u, ok := r.local[server]; ok {
		u.InterTokenSum = int(r.interToken[server]/time.Millisecond) * u.Decoding
		r.local[server] = u
	}
}

// Load is what is under way at a server, from all daemons as far as heard and
// from here as of now.
//
// Example: u := r.Load(now, id); wait := u.Tokens / pace
func (r *Reporter) Load(now time.Duration, server uint64) (sum ServerLoad) {
	sum = r.local[server]
	if m, ok := r.outcomes[server]; ok && r.reported != nil {
		sum.Answered, sum.Unanswered = r.reported[server].Answered, r.reported[server].Unanswered
		if m.lastAnswered > m.lastUnanswered {
			sum.Unanswered = 0
		}
	}
	add := func(u ServerLoad) {
		sum.Tokens += u.Tokens
		sum.Decoding += u.Decoding
		sum.InterTokenSum += u.InterTokenSum
		sum.Answered, sum.Unanswered = sum.Answered+u.Answered, sum.Unanswered+u.Unanswered
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
		u, old := r.fleet.loads[server], r.reported[server]
		add(ServerLoad{
			Tokens: max(0, u.Tokens-old.Tokens), Decoding: max(0, u.Decoding-old.Decoding),
			InterTokenSum: max(0, u.InterTokenSum-old.InterTokenSum),
			Answered:      max(0, u.Answered-old.Answered), Unanswered: max(0, u.Unanswered-old.Unanswered),
		})
	}
	return sum
}

// RecordPrefix messages from here that a server read or took up a prompt; tokens are
// those that it had to keep anew.
//
// Example: r.RecordPrefix(prefix, id, 1460)
func (r *Reporter) RecordPrefix(prefix, server uint64, tokens int) {
	k := CachedPrefix{Prefix: prefix, Server: server, Tokens: tokens}
	r.addPrefix(k)
	r.newPrefixes = append(r.newPrefixes, k)
}

func (r *Reporter) addPrefix(k CachedPrefix) {
	r.writtenTokens[k.Server] += float64(k.Tokens)
	list := r.prefixes[k.Prefix]
	if list == nil {
		if len(r.prefixOrder) >= r.cfg.MaxRemembered {
			delete(r.prefixes, r.prefixOrder[0])
			r.prefixOrder = r.prefixOrder[1:]
		}
		list = map[uint64]*cachedAt{}
		r.prefixes[k.Prefix] = list
		r.prefixOrder = append(r.prefixOrder, k.Prefix)
	}
	p := list[k.Server]
	if p == nil {
		p = &cachedAt{}
		list[k.Server] = p
	}
	p.writtenTokens = r.writtenTokens[k.Server]
}

// SetCacheSize tells how many tokens a server can keep.
//
// Example: r.SetCacheSize(id, 295740)
func (r *Reporter) SetCacheSize(server uint64, tokens int) { r.cacheSize[server] = float64(tokens) }

// HasPrefix tells whether a server most likely keeps a prompt's shared parts still.
//
// Example: if r.HasPrefix(prefix, id) { prefer(server) }
func (r *Reporter) HasPrefix(prefix, server uint64) bool {
	p := r.prefixes[prefix][server]
	if p == nil {
		return false
	}
	room := r.cacheSize[server]
	return room == 0 || r.writtenTokens[server]-p.writtenTokens < room*r.cfg.CachedFraction
}

// Forget drops a server that is gone.
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
