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
	inFlight            int // calls under way from this daemon
	load                Load
	loadAt              time.Duration
	consecutiveFailures int // calls in a row that it didn't answer
	backoffUntil        time.Duration
	seenAt              time.Duration
	warmupSentAt        time.Duration // last send while it was warming
}

// Dispatcher is the state machine of one service on one daemon.
type Dispatcher struct {
	cfg       Config
	service   string
	partition int
	source    Source

	load LoadReporter

	generations        [2]uint64
	complete           bool // servable is what was read at these generations
	validUntil         time.Duration
	servable           map[string]Server
	sortedKeys         []string // of servable, so that equal choices fall alike
	recordKeys         []string // of the list and of the records of its servers
	listedServers      []fleetconfig.Server
	listedAt           time.Duration // when the list could be read last
	byWithdrawnList    bool          // servable comes from a list that can't be read any more
	records            map[string]record
	listVersion        message.Version
	stats              map[string]*serverStats
	prefillRate        float64       // tokens read in a ms, measured
	shortestTTFT       time.Duration // the shortest TTFT target of any request
	shortestInterToken time.Duration // the shortest inter-token target of any request

	daemons       daemonSet
	warmup        WarmupLimit
	warmupSpacing map[string]time.Duration // between sends to a warming server; below 0: none

	retries attempt.Bucket
	window  windowCount
	pending map[string]*pendingRequest
	counts  Counts
}

// New makes a dispatcher for a service whose records stand in the given partition.
//
// Example: d := forward.New(cfg, "timetable", 3, daemon, load)
func New(cfg Config, service string, partition int, source Source, load LoadReporter) *Dispatcher {
	return &Dispatcher{
		cfg:           cfg,
		service:       service,
		partition:     partition,
		source:        source,
		load:          load,
		servable:      map[string]Server{},
		daemons:       daemonSet{seen: map[string]time.Duration{}},
		warmupSpacing: map[string]time.Duration{},
		stats:         map[string]*serverStats{},
		prefillRate:   cfg.PrefillRate,
		retries:       attempt.Bucket{Ratio: cfg.RetryRatio, Window: cfg.RetryWindow},
		pending:       map[string]*pendingRequest{},
	}
}

// Counts are the dispatcher's numbers so far.
//
// Example: n := d.Counts().Served
func (d *Dispatcher) Counts() Counts { return d.counts }

// Servers lists the servers in use, as the last look had them.
//
// Example: for _, s := range d.Servers() { show(s) }
func (d *Dispatcher) Servers() []Server {
	out := make([]Server, 0, len(d.servable))
	for _, s := range d.servable {
		out = append(out, s)
	}
	return out
}

// InFlight is the number of requests under way.
//
// Example: for d.InFlight() > 0 { wait() }
func (d *Dispatcher) InFlight() int { return len(d.pending) }

// Keys lists the records that the dispatcher reads, for its user to keep wanted: the list, and
// the records of the servers that it names and that don't leave.
//
// Example: for _, k := range d.Keys() { daemon.Pin(part, k) }
func (d *Dispatcher) Keys() []string {
	list := fleetconfig.ListKey(d.service)
	if rec, ok := d.source.Read(d.partition, list); ok {
		d.readList(rec)
	}
	keys := []string{list}
	for i, s := range d.listedServers {
		if !s.Leaving {
			keys = append(keys, d.recordKeys[i+1])
		}
	}
	return keys
}

// Refresh reads the records again if they changed. It is to be called at intervals shorter than
// MaxListAge: by these it is known until when a list that was withdrawn could be read.
//
// Example: d.Refresh(now)
func (d *Dispatcher) Refresh(now time.Duration) { d.refreshServers(now) }

// readList reads a list of servers, once a version.
func (d *Dispatcher) readList(rec message.Record) []fleetconfig.Server {
	if d.recordKeys == nil || d.listVersion != rec.Version {
		d.listedServers = fleetconfig.OpenList(rec).Servers
		d.recordKeys, d.listVersion = []string{rec.Key}, rec.Version
		known := make(map[string]record, len(d.listedServers))
		for _, s := range d.listedServers {
			key := fleetconfig.ServerRecordKey(d.service, s.Key())
			d.recordKeys = append(d.recordKeys, key)
			if r, ok := d.records[key]; ok {
				known[key] = r
			}
		}
		d.records = known
	}
	return d.listedServers
}

// record is a server's record as it was read.
type record struct {
	version message.Version
	placement.ServerRecord
	readable bool
}

// readRecord reads a server's record, once a version.
func (d *Dispatcher) readRecord(rec message.Record) record {
	r, known := d.records[rec.Key]
	if !known || r.version != rec.Version || rec.Deleted == r.readable {
		r = record{version: rec.Version}
		r.ServerRecord, r.readable = placement.OpenServerRecord(rec)
		d.records[rec.Key] = r
	}
	return r
}

// refreshServers reads the servable servers anew if a record changed or a lease
// lapsed; it tells whether all that it needs may be used now.
func (d *Dispatcher) refreshServers(now time.Duration) bool {
	gen := [2]uint64{d.source.Generation(0), d.source.Generation(d.partition)}
	if gen == d.generations && now < d.validUntil {
		d.noteListed(now)
		return true
	}
	d.validUntil = min(d.source.Until(0), d.source.Until(d.partition))
	if d.complete && gen == d.generations && now < d.validUntil && !d.byWithdrawnList {
		d.noteListed(now)
		return true
	}
	d.generations, d.complete = gen, false
	return d.readServers(now)
}

// readServers reads list, zones and records of the servers; false: not all may be
// used now.
func (d *Dispatcher) readServers(now time.Duration) bool {
	clear(d.servable)
	d.sortedKeys = nil
	okList := d.readCurrentList(now)
	zones, okZones := d.source.Read(0, fleetconfig.ZoneKey)
	if !okList || !okZones || now >= d.validUntil {
		d.validUntil = 0
		return false
	}
	zonesOut := fleetconfig.OpenZones(zones)
	for i, s := range d.listedServers {
		if s.Leaving || zonesOut[s.Zone] {
			continue
		}
		if server, ok := d.readServer(s, d.recordKeys[i+1]); ok {
			d.servable[server.Key] = server
		}
	}
	d.sortedKeys = slices.Sorted(maps.Keys(d.servable))
	d.forgetStats(now)
	d.complete = true
	return true
}

// noteListed notes that the list can be read now, if servable comes from such a list.
func (d *Dispatcher) noteListed(now time.Duration) {
	if !d.byWithdrawnList {
		d.listedAt = now
	}
}

// readCurrentList reads the list. One that was withdrawn just now still says which servers there
// are, for MaxListAge: a change of one server doesn't take all others away.
func (d *Dispatcher) readCurrentList(now time.Duration) bool {
	rec, ok := d.source.Read(d.partition, fleetconfig.ListKey(d.service))
	d.byWithdrawnList = !ok
	if ok {
		d.readList(rec)
		d.listedAt = now
		return true
	}
	d.validUntil = min(d.validUntil, d.listedAt+d.cfg.MaxListAge)
	return d.recordKeys != nil
}

// readServer reads the record of a listed server; false: it may not be used now.
func (d *Dispatcher) readServer(listed fleetconfig.Server, recordKey string) (Server, bool) {
	rec, ok := d.source.Read(d.partition, recordKey)
	if !ok {
		return Server{}, false
	}
	r := d.readRecord(rec)
	if listed.Role != "" && listed.Role != r.Role { // the list says that it has not taken its role yet
		return Server{}, false
	}
	if !r.readable || r.NextRole != "" || r.Status != placement.Up && r.Status != placement.Warming {
		return Server{}, false
	}
	return Server{
		Key: listed.Key(), Addr: listed.Addr, Zone: listed.Zone, Role: r.Role,
		Slots: listed.Capacity, Warming: r.Status == placement.Warming,
	}, true
}

// forgetStats drops what is known of servers that were not servable for long.
func (d *Dispatcher) forgetStats(now time.Duration) {
	for key, st := range d.stats {
		if _, ok := d.servable[key]; !ok && st.inFlight == 0 && now-st.seenAt > 10*d.cfg.RetryWindow {
			delete(d.stats, key)
		}
	}
}

func (d *Dispatcher) statsOf(key string) *serverStats {
	st := d.stats[key]
	if st == nil {
		st = &serverStats{}
		d.stats[key] = st
	}
	return st
}

// Pressure is the load of a server beside the targets: the wait before it reads a
// prompt in parts of the TTFT target, the pause between its events in parts of the
// inter-token target.
//
// Example: read, write := d.Pressure(now, server.Key)
func (d *Dispatcher) Pressure(now time.Duration, key string) (read, write float64) {
	tokens, _, pause := d.load.Load(now, key)
	pace := d.prefillRate
	if d.servable[key].Role != placement.Prefill {
		pace /= 2
	}
	if d.shortestTTFT > 0 {
		read = float64(prefillTime(tokens, pace)) / float64(d.shortestTTFT)
	}
	if d.shortestInterToken > 0 {
		write = float64(pause) / float64(d.shortestInterToken)
	}
	return read, write
}

// MaySend checks records, leases and deadline once more, just before a call's first
// byte goes out.
//
// Example: if !d.MaySend(now, id, decision) { return forward.Blocked }
func (d *Dispatcher) MaySend(now time.Duration, id string, m Decision) bool {
	r := d.pending[id]
	if r == nil || r.attemptNumber != m.Attempt || now >= r.Deadline || !d.refreshServers(now) {
		return false
	}
	row, ok := d.servable[m.Server.Key]
	return ok && row.Role == m.Server.Role && row.Addr == m.Server.Addr
}

// LoadReported takes the load that a server reported with an answer.
//
// Example: d.LoadReported(now, server.Key, forward.Load{Running: 3, Slots: 8})
func (d *Dispatcher) LoadReported(now time.Duration, key string, load Load) {
	st := d.statsOf(key)
	st.load, st.loadAt, st.seenAt = load, now, now
}
