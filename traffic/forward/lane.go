package forward

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/wire/message"
)

// serverStats is what this daemon knows of a server by its own requests.
type serverStats struct {
	inFlight            int // calls under way from here
	load                Load
	loadAt              time.Duration
	consecutiveFailures int // calls in a row that it didn't answer
	backoffUntil        time.Duration
	seenAt              time.Duration
	warmupSentAt        time.Duration // last send while it warmed up
}

// Dispatcher is the state machine of one service on one daemon.
type Dispatcher struct {
	cfg       Config
	service   string
	partition int
	source    Source

	load LoadReporter

	generations        [2]uint64
	complete           bool // rows are what was read at gen
	validUntil         time.Duration
	servable           map[string]Server
	sortedKeys         []string // the keys of rows, so that equal choices fall alike
	recordKeys         []string // of the list of this version
	listedServers      []fleetconfig.Server
	records            map[string]record
	listVersion        message.Version
	stats              map[string]*serverStats
	prefillRate        float64       // tokens read in a ms, measured
	shortestTTFT       time.Duration // the shortest aim of any request
	shortestInterToken time.Duration // the shortest pause that any request allows between events

	daemons       daemonSet
	warmup        WarmupLimit
	warmupSpacing map[string]time.Duration // between sends to a warming server; below 0: none

	retries attempt.Bucket
	window  windowCount
	pending map[string]*pendingRequest
	counts  Counts
}

// New makes a dispatcher for a service whose records stand in the given part.
//
// Example: l := forward.New(cfg, "timetable", 3, daemon, board)
func New(cfg Config, svc string, partition int, src Source, board LoadReporter) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, service: svc, partition: partition, source: src, load: board, servable: map[string]Server{}, daemons: daemonSet{seen: map[string]time.Duration{}}, warmupSpacing: map[string]time.Duration{}, stats: map[string]*serverStats{}, prefillRate: cfg.PrefillRate,
		retries: attempt.Bucket{Rate: cfg.RetryRatio, Window: cfg.RetryWindow}, pending: map[string]*pendingRequest{},
	}
}

// Counts are the dispatcher's numbers so far.
//
// Example: n := l.Counts().Served
func (l *Dispatcher) Counts() Counts { return l.counts }

// Servers lists the servers in use, as the last look had them.
//
// Example: for _, s := range l.Servers() { show(s) }
func (l *Dispatcher) Servers() []Server {
	out := make([]Server, 0, len(l.servable))
	for _, s := range l.servable {
		out = append(out, s)
	}
	return out
}

// InFlight is the number of requests under way.
//
// Example: for l.InFlight() > 0 { wait() }
func (l *Dispatcher) InFlight() int { return len(l.pending) }

// Keys lists the records that the dispatcher reads, for its user to keep wanted.
//
// Example: for _, k := range l.Keys() { daemon.Pin(part, k) }
func (l *Dispatcher) Keys() []string {
	list := fleetconfig.ListKey(l.service)
	rec, ok := l.source.Read(l.partition, list)
	if !ok {
		return []string{list}
	}
	l.readList(rec)
	return l.recordKeys
}

// readList reads a readList of servers, once a version.
func (l *Dispatcher) readList(rec message.Record) []fleetconfig.Server {
	if l.recordKeys == nil || l.listVersion != rec.Version {
		l.listedServers = fleetconfig.OpenList(rec).Servers
		l.recordKeys, l.listVersion = []string{rec.Key}, rec.Version
		known := make(map[string]record, len(l.listedServers))
		for _, s := range l.listedServers {
			key := fleetconfig.ServerRecordKey(l.service, s.Key())
			l.recordKeys = append(l.recordKeys, key)
			if r, ok := l.records[key]; ok {
				known[key] = r
			}
		}
		l.records = known
	}
	return l.listedServers
}

// record is a server's record as it was read.
type record struct {
	ver message.Version
	placement.ServerRecord
	ok bool
}

// readRecord reads a server's readRecord, once a version.
func (l *Dispatcher) readRecord(rec message.Record) record {
	r, known := l.records[rec.Key]
	if !known || r.ver != rec.Version || rec.Deleted == r.ok {
		r = record{ver: rec.Version}
		r.ServerRecord, r.ok = placement.OpenServerRecord(rec)
		l.records[rec.Key] = r
	}
	return r
}

// refreshServers makes the table of servers anew if a record changed or a lease lapsed;
// it tells whether all that it needs stands under valid leases now.
func (l *Dispatcher) refreshServers(now time.Duration) bool {
	gen := [2]uint64{l.source.Generation(0), l.source.Generation(l.partition)}
	if gen == l.generations && now < l.validUntil {
		return true
	}
	l.validUntil = min(l.source.Until(0), l.source.Until(l.partition))
	if l.complete && gen == l.generations && now < l.validUntil {
		return true
	}
	l.generations, l.complete = gen, false
	clear(l.servable)
	l.sortedKeys = nil
	listed, okList := l.source.Read(l.partition, fleetconfig.ListKey(l.service))
	zones, okZones := l.source.Read(0, fleetconfig.ZoneKey)
	if !okList || !okZones || now >= l.validUntil {
		l.validUntil = 0
		return false
	}
	out := fleetconfig.OpenZones(zones)
	for i, s := range l.readList(listed) {
		if s.Leaving || out[s.Zone] {
			continue
		}
		rec, ok := l.source.Read(l.partition, l.recordKeys[i+1])
		if !ok {
			continue
		}
		b := l.readRecord(rec)
		if s.Role != "" && s.Role != b.Role { // by the platform's word it doesn't play its part yet
			continue
		}
		if !b.ok || b.NextRole != "" || b.Status != placement.Up && b.Status != placement.Warming {
			continue
		}
		l.servable[s.Key()] = Server{Key: s.Key(), Addr: s.Addr, Zone: s.Zone, Part: b.Role, Slots: s.Capacity, Warming: b.Status == placement.Warming}
	}
	l.sortedKeys = slices.Sorted(maps.Keys(l.servable))
	for key, st := range l.stats {
		if _, ok := l.servable[key]; !ok && st.inFlight == 0 && now-st.seenAt > 10*l.cfg.RetryWindow {
			delete(l.stats, key)
		}
	}
	l.complete = true
	return true
}

func (l *Dispatcher) statsOf(key string) *serverStats {
	st := l.stats[key]
	if st == nil {
		st = &serverStats{}
		l.stats[key] = st
	}
	return st
}

// Pressure is how hard a server is pressed: the wait before it reads a prompt in
// parts of the aim, the pause between its events in parts of the longest that is
// in time.
//
// Example: read, write := l.Pressure(now, server.Key)
func (l *Dispatcher) Pressure(now time.Duration, key string) (read, write float64) {
	tokens, _, pause := l.load.Load(now, key)
	pace := l.prefillRate
	if l.servable[key].Part != placement.Prefill {
		pace /= 2
	}
	if l.shortestTTFT > 0 {
		read = float64(prefillTime(tokens, pace)) / float64(l.shortestTTFT)
	}
	if l.shortestInterToken > 0 {
		write = float64(pause) / float64(l.shortestInterToken)
	}
	return read, write
}

// MaySend is the last look before a call's first byte goes out.
//
// Example: if !l.MaySend(now, id, move) { return forward.Blocked }
func (l *Dispatcher) MaySend(now time.Duration, id string, m Decision) bool {
	t := l.pending[id]
	if t == nil || t.attemptNumber != m.Attempt || now >= t.Deadline || !l.refreshServers(now) {
		return false
	}
	row, ok := l.servable[m.Server.Key]
	return ok && row.Part == m.Server.Part && row.Addr == m.Server.Addr
}

// LoadReported takes the load that a server told with an answer.
//
// Example: l.LoadReported(now, server.Key, forward.Load{Running: 3, Slots: 8})
func (l *Dispatcher) LoadReported(now time.Duration, key string, load Load) {
	st := l.statsOf(key)
	st.load, st.loadAt, st.seenAt = load, now, now
}
