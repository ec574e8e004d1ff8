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

// Dispatcher is one service's queue, routes and trips on one daemon; its user holds
// the lock.
type Dispatcher struct {
	cfg        Config
	service    string
	partition  int
	source     Source
	leaderTerm func() uint64

	queue        *slots.Queue
	ackedShare   uint64
	retries      attempt.Bucket
	prefixes     *serverpool.PrefixIndex
	backoffUntil map[string]time.Duration
	servable     map[string]placement.ServerRecord // servers that may get new work now
	pending      map[string]*pendingRequest
	plan         *PlanIndex
	list         serverList
	records      map[string]parsedRecord
	counts       Counts
}

type parsedRecord struct {
	version message.Version
	record  placement.ServerRecord
	valid   bool
}

// serverList is a service's list made ready for look-ups.
type serverList struct {
	version message.Version
	byAddr  map[string]fleetconfig.Server
}

// New makes a service's lane; src reads records under valid leases, term is
// the term of the part's leader as far as known.
//
// Example: l := scheduler.New(cfg, "timetable", 3, daemon.Read, term)
func New(cfg Config, svc string, partition int, src Source, term func() uint64) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, service: svc, partition: partition, source: src, leaderTerm: term, queue: slots.New(cfg.Queue), retries: attempt.Bucket{Ratio: cfg.RetryRatio, Window: cfg.RetryWindow},
		prefixes: serverpool.NewPrefixIndex(cfg.MaxPrefixes), backoffUntil: map[string]time.Duration{}, servable: map[string]placement.ServerRecord{}, pending: map[string]*pendingRequest{}, records: map[string]parsedRecord{}, counts: Counts{RefusalReasons: map[string]int64{}},
	}
}

// Service is the lane's service.
//
// Example: l.Service() == "timetable"
func (l *Dispatcher) Service() string { return l.service }

// Keys are the records that the lane reads, for the daemon to keep cached.
//
// Example: for _, k := range l.Keys() { daemon.Pin(part, k) }
func (l *Dispatcher) Keys() []string {
	keys := []string{fleetconfig.ListKey(l.service)}
	for _, a := range slices.Sorted(maps.Keys(l.list.byAddr)) {
		keys = append(keys, fleetconfig.ServerRecordKey(l.service, a))
	}
	return keys
}

// Counts are the lane's numbers so far.
//
// Example: l.Counts().Served
func (l *Dispatcher) Counts() Counts {
	c := l.counts
	c.RefusalReasons = maps.Clone(l.counts.RefusalReasons)
	return c
}

// InFlight is the number of trips under way.
//
// Example: l.InFlight() == 0
func (l *Dispatcher) InFlight() int { return len(l.pending) }

// Report is the queue as the query shell shows it.
//
// Example: l.Report().Waiting
func (l *Dispatcher) Report() slots.Report { return l.queue.Snapshot() }

// HasValidShare tells whether the share stands.
//
// Example: if !l.HasValidShare(now) { ask() }
func (l *Dispatcher) HasValidShare(now time.Duration) bool { return l.queue.HasValidShare(now) }

// Demand is what the leader is told: what waits, what is in flight, what failed.
//
// Example: share, at, ok := daemon.Share(ctx, part, l.Demand(), limit)
func (l *Dispatcher) Demand() placement.Demand {
	r := l.queue.Report()
	return placement.Demand{Service: l.service, AckedShare: l.ackedShare, Prefill: r.Prefill, Decode: r.Decode, InFlight: r.InFlight, Failures: r.Failures, PrefixHits: r.PreferredServers}
}

// SetShare takes a share, counted from when it was asked for.
//
// Example: out := l.SetShare(now, share, askedAt)
func (l *Dispatcher) SetShare(now time.Duration, s placement.Share, at time.Duration) (o Out) {
	l.ackedShare = s.Number
	l.refreshServers(now)
	l.queue.SetShare(now, s.Slots, at+time.Duration(s.Length))
	l.handOutSlots(now, &o)
	return o
}

// Tick lets time pass.
//
// Example: out := l.Tick(now)
func (l *Dispatcher) Tick(now time.Duration) (o Out) {
	l.refreshServers(now)
	l.queue.Assign(now)
	l.handOutSlots(now, &o)
	for _, id := range slices.Sorted(maps.Keys(l.pending)) {
		if t := l.pending[id]; t != nil {
			l.checkTimeouts(now, t, &o)
		}
	}
	l.handOutSlots(now, &o)
	return o
}

// refreshServers reads the routes from the lease cache; without valid leases there are
// none.
func (l *Dispatcher) refreshServers(now time.Duration) {
	clear(l.servable)
	if rec, ok := l.source(l.partition, fleetconfig.ListKey(l.service)); ok {
		l.parseList(rec)
		for a := range l.list.byAddr {
			if b, ok := l.servableRecord(a); ok {
				l.servable[a] = b
			}
		}
	}
	for a, till := range l.backoffUntil {
		if now >= till {
			delete(l.backoffUntil, a)
		}
	}
}

func (l *Dispatcher) parseList(rec message.Record) serverList {
	if l.list.byAddr == nil || l.list.version != rec.Version {
		l.list = serverList{version: rec.Version, byAddr: map[string]fleetconfig.Server{}}
		for _, s := range fleetconfig.OpenList(rec).Servers {
			l.list.byAddr[s.Addr] = s
		}
	}
	return l.list
}

// servableRecord is a server's record if it may get new work now: both leases valid,
// listed, in a part, not leaving, not excluded, its zone in service.
func (l *Dispatcher) servableRecord(addr string) (b placement.ServerRecord, ok bool) {
	rec, ok := l.source(l.partition, fleetconfig.ServerRecordKey(l.service, addr))
	if !ok {
		return b, false
	}
	p, known := l.records[addr]
	if !known || p.version != rec.Version {
		p.version = rec.Version
		p.record, p.valid = placement.OpenServerRecord(rec)
		l.records[addr] = p
	}
	b = p.record
	if !p.valid || b.NextRole != "" || b.Status != placement.Up && b.Status != placement.Warming {
		return b, false
	}
	list, ok := l.source(l.partition, fleetconfig.ListKey(l.service))
	if !ok {
		return b, false
	}
	in, ok := l.parseList(list).byAddr[addr]
	zones, okZones := l.source(0, fleetconfig.ZoneKey)
	plan, okPlan := l.source(0, fleetconfig.PlanKey)
	if !ok || in.Leaving || !okZones || !okPlan || !zones.Deleted && fleetconfig.OpenZones(zones)[b.Zone] {
		return b, false
	}
	if l.plan == nil || l.plan.Version != plan.Version {
		l.plan = NewPlanIndex(plan)
	}
	return b, !l.plan.excluded[l.service][addr]
}

// servableFor tells whether the record and the share that work on a server rests
// on stand now.
func (l *Dispatcher) servableFor(now time.Duration, addr, part string) (placement.ServerRecord, bool) {
	b, ok := l.servableRecord(addr)
	return b, ok && b.Role == part && l.queue.HasValidShare(now)
}

// MaySend is the last look before a call's first byte goes out.
//
// Example: if !l.MaySend(now, act) { return Barred }
func (l *Dispatcher) MaySend(now time.Duration, a Decision) bool {
	part := placement.Prefill
	if a.Action == Decode {
		part = placement.Decode
	}
	t := l.pending[a.RequestID]
	if t == nil || t.stage != calling || t.attemptNumber != a.Attempt || now >= t.Deadline {
		return false
	}
	_, ok := l.servableFor(now, a.Addr, part)
	return ok
}
