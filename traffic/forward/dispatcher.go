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

// serverStats is the state of a server as this daemon observed it through its own requests.
type serverStats struct {
	inFlight            int // calls in flight from this daemon
	load                Load
	loadAt              time.Duration
	consecutiveFailures int // consecutive calls without an answer
	backoffUntil        time.Duration
	seenAt              time.Duration
	warmupSentAt        time.Duration // last send while it was warming up
}

// Dispatcher is the state machine that forwards the requests of one service on one daemon.
type Dispatcher struct {
	cfg       Config
	service   string
	partition int
	source    Source

	load LoadReporter

	generations        [2]uint64
	complete           bool // servable was read completely at generations
	validUntil         time.Duration
	servable           map[string]Server
	sortedKeys         []string // sorted keys of servable, so that choices among equals are deterministic
	recordKeys         []string // keys of the list and of its servers' records, in this order
	listedServers      []fleetconfig.Server
	listReadAt         time.Duration // when the list was last readable
	usingWithdrawnList bool          // servable comes from a list that can no longer be read
	records            map[string]record
	listVersion        message.Version
	stats              map[string]*serverStats
	prefillRate        float64       // tokens per ms
	shortestTTFT       time.Duration // the shortest TTFT target of any request
	shortestInterToken time.Duration // the shortest inter-token target of any request

	daemons       daemonSet
	warmup        WarmupLimit
	warmupSpacing map[string]time.Duration // interval between sends to a warming server; negative: no sends

	retries     attempt.Bucket
	retryWindow windowCount
	pending     map[string]*pendingRequest
	counts      Counts
}

// New returns a dispatcher for a service whose records are in the given partition.
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
		daemons:       daemonSet{lastSeen: map[string]time.Duration{}},
		warmupSpacing: map[string]time.Duration{},
		stats:         map[string]*serverStats{},
		prefillRate:   cfg.PrefillRate,
		retries:       attempt.Bucket{Ratio: cfg.RetryRatio, Window: cfg.RetryWindow},
		pending:       map[string]*pendingRequest{},
	}
}

// Counts returns the dispatcher's counters.
//
// Example: n := d.Counts().Served
func (d *Dispatcher) Counts() Counts { return d.counts }

// Servers returns the servable servers as of the last refresh.
//
// Example: for _, s := range d.Servers() { show(s) }
func (d *Dispatcher) Servers() []Server {
	out := make([]Server, 0, len(d.servable))
	for _, s := range d.servable {
		out = append(out, s)
	}
	return out
}

// InFlight returns the number of pending requests.
//
// Example: for d.InFlight() > 0 { wait() }
func (d *Dispatcher) InFlight() int { return len(d.pending) }

// Keys returns the keys of the records that the dispatcher reads, so that the caller can keep
// their leases: the server list, and the records of the listed servers that are not leaving.
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

// Refresh reads the records again if they changed. It must be called at intervals
// shorter than MaxListAge, which counts from the last refresh at which the list was readable.
//
// Example: d.Refresh(now)
func (d *Dispatcher) Refresh(now time.Duration) { d.refreshServers(now) }

// readList decodes a list of servers, once per version.
func (d *Dispatcher) readList(rec message.Record) []fleetconfig.Server {
	if d.recordKeys == nil || d.listVersion != rec.Version {
		d.listedServers = fleetconfig.MustReadList(rec).Servers
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

// record is a decoded server record.
type record struct {
	version message.Version
	placement.ServerRecord
	readable bool
}

// readRecord decodes a server's record, once per version.
func (d *Dispatcher) readRecord(rec message.Record) record {
	r, known := d.records[rec.Key]
	if !known || r.version != rec.Version || rec.Deleted == r.readable {
		r = record{version: rec.Version}
		r.ServerRecord, r.readable = placement.OpenServerRecord(rec)
		d.records[rec.Key] = r
	}
	return r
}

// refreshServers reads the servable servers again if a record changed or a lease
// expired. It reports whether all records that it needs may be used now.
func (d *Dispatcher) refreshServers(now time.Duration) bool {
	gen := [2]uint64{d.source.Generation(0), d.source.Generation(d.partition)}
	if gen == d.generations && now < d.validUntil {
		d.noteListRead(now)
		return true
	}
	d.validUntil = min(d.source.Until(0), d.source.Until(d.partition))
	if d.complete && gen == d.generations && now < d.validUntil && !d.usingWithdrawnList {
		d.noteListRead(now)
		return true
	}
	d.generations, d.complete = gen, false
	return d.readServers(now)
}

// readServers reads the server list, the evacuated zones and the servers' records. It
// returns false if the list or the zones may not be used now, or have expired.
func (d *Dispatcher) readServers(now time.Duration) bool {
	clear(d.servable)
	d.sortedKeys = nil
	okList := d.readCurrentList(now)
	zones, okZones := d.source.Read(0, fleetconfig.ZoneKey)
	if !okList || !okZones || now >= d.validUntil {
		d.validUntil = 0
		return false
	}
	evacuatedZones := fleetconfig.MustReadZones(zones)
	for i, s := range d.listedServers {
		if s.Leaving || evacuatedZones[s.Zone] {
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

// noteListRead records that the list is readable now, unless servable comes from a withdrawn list.
func (d *Dispatcher) noteListRead(now time.Duration) {
	if !d.usingWithdrawnList {
		d.listReadAt = now
	}
}

// readCurrentList reads the server list. A list that was withdrawn remains in use for MaxListAge, so
// that a change of one server doesn't make all others unavailable.
func (d *Dispatcher) readCurrentList(now time.Duration) bool {
	rec, ok := d.source.Read(d.partition, fleetconfig.ListKey(d.service))
	d.usingWithdrawnList = !ok
	if ok {
		d.readList(rec)
		d.listReadAt = now
		return true
	}
	d.validUntil = min(d.validUntil, d.listReadAt+d.cfg.MaxListAge)
	return d.recordKeys != nil
}

// readServer reads the record of a listed server. It returns false if the server may not be used now.
func (d *Dispatcher) readServer(listed fleetconfig.Server, recordKey string) (Server, bool) {
	rec, ok := d.source.Read(d.partition, recordKey)
	if !ok {
		return Server{}, false
	}
	r := d.readRecord(rec)
	if listed.Role != "" && listed.Role != r.Role { // the server has not yet taken on its listed role
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

// forgetStats drops the stats of servers that are not servable and were unused for ten retry windows.
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

// Pressure returns the load of a server relative to the latency targets: the wait before
// it starts a prompt as a fraction of the TTFT target, and the time between its events
// as a fraction of the inter-token target.
//
// Example: prefill, decode := d.Pressure(now, server.Key)
func (d *Dispatcher) Pressure(now time.Duration, key string) (prefill, decode float64) {
	tokens, _, interToken := d.load.Load(now, key)
	rate := d.prefillRate
	if d.servable[key].Role != placement.Prefill {
		rate /= 2
	}
	if d.shortestTTFT > 0 {
		prefill = float64(prefillTime(tokens, rate)) / float64(d.shortestTTFT)
	}
	if d.shortestInterToken > 0 {
		decode = float64(interToken) / float64(d.shortestInterToken)
	}
	return prefill, decode
}

// MaySend checks records, leases and the deadline again, just before the first byte of a
// call is sent.
//
// Example: if !d.MaySend(now, id, decision) { return forward.Blocked }
func (d *Dispatcher) MaySend(now time.Duration, id string, decision Decision) bool {
	r := d.pending[id]
	if r == nil || r.attemptNumber != decision.Attempt || now >= r.Deadline || !d.refreshServers(now) {
		return false
	}
	server, ok := d.servable[decision.Server.Key]
	return ok && server.Role == decision.Server.Role && server.Addr == decision.Server.Addr
}

// LoadReported records the load that a server reported with an answer.
//
// Example: d.LoadReported(now, server.Key, forward.Load{Running: 3, Slots: 8})
func (d *Dispatcher) LoadReported(now time.Duration, key string, load Load) {
	st := d.statsOf(key)
	st.load, st.loadAt, st.seenAt = load, now, now
}
