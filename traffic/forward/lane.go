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

// stat is what this daemon knows of a server by its own requests.
type stat struct {
	open     int // calls under way from here
	load     Load
	loadAt   time.Duration
	fails    int // calls in a row that it didn't answer
	shyUntil time.Duration
	seenAt   time.Duration
	coldAt   time.Duration // last send while it warmed up
}

// Lane is the state machine of one service on one daemon.
type Lane struct {
	cfg       Config
	svc       string
	partition int
	src       Source

	board Board

	gen     [2]uint64
	whole   bool // rows are what was read at gen
	until   time.Duration
	rows    map[string]Server
	order   []string // the keys of rows, so that equal choices fall alike
	keys    []string // of the list of this version
	servers []fleetconfig.Server
	records map[string]record
	listed  message.Version
	stats   map[string]*stat
	pace    float64       // tokens read in a ms, measured
	aim     time.Duration // the shortest aim of any request
	gap     time.Duration // the shortest pause that any request allows between events

	crew    crew
	warm    Warm
	spacing map[string]time.Duration // between sends to a warming server; below 0: none

	bucket attempt.Bucket
	window windowCount
	trips  map[string]*trip
	n      Counts
}

// New makes a lane for a service whose records stand in the given part.
//
// Example: l := forward.New(cfg, "timetable", 3, daemon, board)
func New(cfg Config, svc string, partition int, src Source, board Board) *Lane {
	return &Lane{
		cfg: cfg, svc: svc, partition: partition, src: src, board: board, rows: map[string]Server{}, crew: crew{seen: map[string]time.Duration{}}, spacing: map[string]time.Duration{}, stats: map[string]*stat{}, pace: cfg.Pace,
		bucket: attempt.Bucket{Rate: cfg.Retry, Window: cfg.Window}, trips: map[string]*trip{},
	}
}

// Counts are the lane's numbers so far.
//
// Example: n := l.Counts().Served
func (l *Lane) Counts() Counts { return l.n }

// Servers lists the servers in use, as the last look had them.
//
// Example: for _, s := range l.Servers() { show(s) }
func (l *Lane) Servers() []Server {
	out := make([]Server, 0, len(l.rows))
	for _, s := range l.rows {
		out = append(out, s)
	}
	return out
}

// Open is the number of requests under way.
//
// Example: for l.Open() > 0 { wait() }
func (l *Lane) Open() int { return len(l.trips) }

// Keys lists the records that the lane reads, for its user to keep wanted.
//
// Example: for _, k := range l.Keys() { daemon.Pin(part, k) }
func (l *Lane) Keys() []string {
	list := fleetconfig.ListKey(l.svc)
	rec, ok := l.src.Read(l.partition, list)
	if !ok {
		return []string{list}
	}
	l.list(rec)
	return l.keys
}

// list reads a list of servers, once a version.
func (l *Lane) list(rec message.Record) []fleetconfig.Server {
	if l.keys == nil || l.listed != rec.Version {
		l.servers = fleetconfig.OpenList(rec).Servers
		l.keys, l.listed = []string{rec.Key}, rec.Version
		known := make(map[string]record, len(l.servers))
		for _, s := range l.servers {
			key := fleetconfig.ServerRecordKey(l.svc, s.Key())
			l.keys = append(l.keys, key)
			if r, ok := l.records[key]; ok {
				known[key] = r
			}
		}
		l.records = known
	}
	return l.servers
}

// record is a server's record as it was read.
type record struct {
	ver message.Version
	placement.ServerRecord
	ok bool
}

// record reads a server's record, once a version.
func (l *Lane) record(rec message.Record) record {
	r, known := l.records[rec.Key]
	if !known || r.ver != rec.Version || rec.Deleted == r.ok {
		r = record{ver: rec.Version}
		r.ServerRecord, r.ok = placement.OpenServerRecord(rec)
		l.records[rec.Key] = r
	}
	return r
}

// look makes the table of servers anew if a record changed or a lease lapsed;
// it tells whether all that it needs stands under valid leases now.
func (l *Lane) look(now time.Duration) bool {
	gen := [2]uint64{l.src.Gen(0), l.src.Gen(l.partition)}
	if gen == l.gen && now < l.until {
		return true
	}
	l.until = min(l.src.Until(0), l.src.Until(l.partition))
	if l.whole && gen == l.gen && now < l.until {
		return true
	}
	l.gen, l.whole = gen, false
	clear(l.rows)
	l.order = nil
	listed, okList := l.src.Read(l.partition, fleetconfig.ListKey(l.svc))
	zones, okZones := l.src.Read(0, fleetconfig.ZoneKey)
	if !okList || !okZones || now >= l.until {
		l.until = 0
		return false
	}
	out := fleetconfig.OpenZones(zones)
	for i, s := range l.list(listed) {
		if s.Leaving || out[s.Zone] {
			continue
		}
		rec, ok := l.src.Read(l.partition, l.keys[i+1])
		if !ok {
			continue
		}
		b := l.record(rec)
		if s.Role != "" && s.Role != b.Role { // by the platform's word it doesn't play its part yet
			continue
		}
		if !b.ok || b.NextRole != "" || b.Status != placement.Up && b.Status != placement.Warming {
			continue
		}
		l.rows[s.Key()] = Server{Key: s.Key(), Addr: s.Addr, Zone: s.Zone, Part: b.Role, Slots: s.Capacity, Warming: b.Status == placement.Warming}
	}
	l.order = slices.Sorted(maps.Keys(l.rows))
	for key, st := range l.stats {
		if _, ok := l.rows[key]; !ok && st.open == 0 && now-st.seenAt > 10*l.cfg.Window {
			delete(l.stats, key)
		}
	}
	l.whole = true
	return true
}

func (l *Lane) stat(key string) *stat {
	st := l.stats[key]
	if st == nil {
		st = &stat{}
		l.stats[key] = st
	}
	return st
}

// Strain is how hard a server is pressed: the wait before it reads a prompt in
// parts of the aim, the pause between its events in parts of the longest that is
// in time.
//
// Example: read, write := l.Strain(now, server.Key)
func (l *Lane) Strain(now time.Duration, key string) (read, write float64) {
	tokens, _, pause := l.board.Load(now, key)
	pace := l.pace
	if l.rows[key].Part != placement.Prefill {
		pace /= 2
	}
	if l.aim > 0 {
		read = float64(ms(tokens, pace)) / float64(l.aim)
	}
	if l.gap > 0 {
		write = float64(pause) / float64(l.gap)
	}
	return read, write
}

// Standing is the last look before a call's first byte goes out.
//
// Example: if !l.Standing(now, id, move) { return forward.Barred }
func (l *Lane) Standing(now time.Duration, id string, m Move) bool {
	t := l.trips[id]
	if t == nil || t.no != m.No || now >= t.Due || !l.look(now) {
		return false
	}
	row, ok := l.rows[m.To.Key]
	return ok && row.Part == m.To.Part && row.Addr == m.To.Addr
}

// Told takes the load that a server told with an answer.
//
// Example: l.Told(now, server.Key, forward.Load{Running: 3, Slots: 8})
func (l *Lane) Told(now time.Duration, key string, load Load) {
	st := l.stat(key)
	st.load, st.loadAt, st.seenAt = load, now, now
}
