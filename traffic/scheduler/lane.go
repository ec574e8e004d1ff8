package scheduler

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

// Lane is one service's queue, routes and trips on one daemon; its user holds
// the lock.
type Lane struct {
	cfg       Config
	svc       string
	partition int
	src       Source
	term      func() uint64

	q             *slots.Queue
	ack           uint64
	bucket        attempt.Bucket
	seen          *serverpool.Prefixes
	shy           map[string]time.Duration
	rows          map[string]placement.ServerRecord // servers that may get new work now
	trips         map[string]*trip
	sheet         *Sheet
	list          roll
	serverRecords map[string]parsed
	n             Counts
}

type parsed struct {
	ver          message.Version
	serverRecord placement.ServerRecord
	ok           bool
}

// roll is a service's list made ready for look-ups.
type roll struct {
	ver message.Version
	by  map[string]fleetconfig.Server
}

// New makes a service's lane; src reads records under valid leases, term is
// the term of the part's leader as far as known.
//
// Example: l := scheduler.New(cfg, "timetable", 3, daemon.Read, term)
func New(cfg Config, svc string, partition int, src Source, term func() uint64) *Lane {
	return &Lane{
		cfg: cfg, svc: svc, partition: partition, src: src, term: term, q: slots.New(cfg.Queue), bucket: attempt.Bucket{Rate: cfg.Retry, Window: cfg.Window},
		seen: serverpool.NewPrefixes(cfg.Prefixes), shy: map[string]time.Duration{}, rows: map[string]placement.ServerRecord{}, trips: map[string]*trip{}, serverRecords: map[string]parsed{}, n: Counts{Why: map[string]int64{}},
	}
}

// Service is the lane's service.
//
// Example: l.Service() == "timetable"
func (l *Lane) Service() string { return l.svc }

// Keys are the records that the lane reads, for the daemon to keep cached.
//
// Example: for _, k := range l.Keys() { daemon.Pin(part, k) }
func (l *Lane) Keys() []string {
	keys := []string{fleetconfig.ListKey(l.svc)}
	for _, a := range slices.Sorted(maps.Keys(l.list.by)) {
		keys = append(keys, fleetconfig.ServerRecordKey(l.svc, a))
	}
	return keys
}

// Counts are the lane's numbers so far.
//
// Example: l.Counts().Served
func (l *Lane) Counts() Counts {
	c := l.n
	c.Why = maps.Clone(l.n.Why)
	return c
}

// Open is the number of trips under way.
//
// Example: l.Open() == 0
func (l *Lane) Open() int { return len(l.trips) }

// Report is the queue as the query shell shows it.
//
// Example: l.Report().Waiting
func (l *Lane) Report() slots.Report { return l.q.Peek() }

// Fresh tells whether the share stands.
//
// Example: if !l.Fresh(now) { ask() }
func (l *Lane) Fresh(now time.Duration) bool { return l.q.Valid(now) }

// Want is what the leader is told: what waits, what is in flight, what failed.
//
// Example: share, at, ok := daemon.Share(ctx, part, l.Want(), limit)
func (l *Lane) Want() placement.Demand {
	r := l.q.Report()
	return placement.Demand{Service: l.svc, AckedShare: l.ack, Prefill: r.Read, Decode: r.Make, InFlight: r.Held, Failures: r.Fails, PrefixHits: r.Like}
}

// Shared takes a share, counted from when it was asked for.
//
// Example: out := l.Shared(now, share, askedAt)
func (l *Lane) Shared(now time.Duration, s placement.Share, at time.Duration) (o Out) {
	l.ack = s.Number
	l.look(now)
	l.q.Share(now, s.Slots, at+time.Duration(s.Length))
	l.settle(now, &o)
	return o
}

// Tick lets time pass.
//
// Example: out := l.Tick(now)
func (l *Lane) Tick(now time.Duration) (o Out) {
	l.look(now)
	l.q.Turn(now)
	l.settle(now, &o)
	for _, id := range slices.Sorted(maps.Keys(l.trips)) {
		if t := l.trips[id]; t != nil {
			l.tick(now, t, &o)
		}
	}
	l.settle(now, &o)
	return o
}

// look reads the routes from the lease cache; without valid leases there are
// none.
func (l *Lane) look(now time.Duration) {
	clear(l.rows)
	if rec, ok := l.src(l.partition, fleetconfig.ListKey(l.svc)); ok {
		l.listed(rec)
		for a := range l.list.by {
			if b, ok := l.serverRecord(a); ok {
				l.rows[a] = b
			}
		}
	}
	for a, till := range l.shy {
		if now >= till {
			delete(l.shy, a)
		}
	}
}

func (l *Lane) listed(rec message.Record) roll {
	if l.list.by == nil || l.list.ver != rec.Version {
		l.list = roll{ver: rec.Version, by: map[string]fleetconfig.Server{}}
		for _, s := range fleetconfig.OpenList(rec).Servers {
			l.list.by[s.Addr] = s
		}
	}
	return l.list
}

// serverRecord is a server's record if it may get new work now: both leases valid,
// listed, in a part, not leaving, not excluded, its zone in service.
func (l *Lane) serverRecord(addr string) (b placement.ServerRecord, ok bool) {
	rec, ok := l.src(l.partition, fleetconfig.ServerRecordKey(l.svc, addr))
	if !ok {
		return b, false
	}
	p, known := l.serverRecords[addr]
	if !known || p.ver != rec.Version {
		p.ver = rec.Version
		p.serverRecord, p.ok = placement.OpenServerRecord(rec)
		l.serverRecords[addr] = p
	}
	b = p.serverRecord
	if !p.ok || b.NextRole != "" || b.Status != placement.Up && b.Status != placement.Warming {
		return b, false
	}
	list, ok := l.src(l.partition, fleetconfig.ListKey(l.svc))
	if !ok {
		return b, false
	}
	in, ok := l.listed(list).by[addr]
	zones, okZones := l.src(0, fleetconfig.ZoneKey)
	plan, okPlan := l.src(0, fleetconfig.PlanKey)
	if !ok || in.Leaving || !okZones || !okPlan || !zones.Deleted && fleetconfig.OpenZones(zones)[b.Zone] {
		return b, false
	}
	if l.sheet == nil || l.sheet.Ver != plan.Version {
		l.sheet = NewSheet(plan)
	}
	return b, !l.sheet.out[l.svc][addr]
}

// standing tells whether the record and the share that work on a server rests
// on stand now.
func (l *Lane) standing(now time.Duration, addr, part string) (placement.ServerRecord, bool) {
	b, ok := l.serverRecord(addr)
	return b, ok && b.Role == part && l.q.Valid(now)
}

// Standing is the last look before a call's first byte goes out.
//
// Example: if !l.Standing(now, act) { return Barred }
func (l *Lane) Standing(now time.Duration, a Act) bool {
	part := placement.Prefill
	if a.Kind == Decode {
		part = placement.Decode
	}
	t := l.trips[a.Trip]
	if t == nil || t.stage != calling || t.no != a.No || now >= t.Due {
		return false
	}
	_, ok := l.standing(now, a.Addr, part)
	return ok
}
