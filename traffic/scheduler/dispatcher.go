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
)

// Dispatcher is the state machine of one service on one daemon; its user holds the lock.
type Dispatcher struct {
	cfg        Config
	service    string
	partition  int // of the service's records
	source     Source
	leaderTerm func() uint64 // of the partition's leader, as far as known

	queue        *slots.Queue
	ackedShare   uint64 // number of the last share taken
	retries      attempt.Bucket
	prefixes     *serverpool.PrefixIndex
	backoffUntil map[string]time.Duration   // by address of a server that failed or rejected
	pending      map[string]*pendingRequest // by id

	servable map[string]placement.ServerRecord // by address: servers that may get new work now
	plan     *PlanIndex
	list     serverList
	records  map[string]parsedRecord // by address

	counts Counts
}

// New makes a service's dispatcher. source reads records under valid leases, leaderTerm is
// the term of the partition's leader as far as known.
//
// Example: d := scheduler.New(cfg, "timetable", 3, daemon.Read, term)
func New(cfg Config, service string, partition int, source Source, leaderTerm func() uint64) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, service: service, partition: partition, source: source, leaderTerm: leaderTerm,
		queue:        slots.New(cfg.Queue),
		retries:      attempt.Bucket{Ratio: cfg.RetryRatio, Window: cfg.RetryWindow},
		prefixes:     serverpool.NewPrefixIndex(cfg.MaxPrefixes),
		backoffUntil: map[string]time.Duration{},
		pending:      map[string]*pendingRequest{},
		servable:     map[string]placement.ServerRecord{},
		records:      map[string]parsedRecord{},
		counts:       Counts{RefusedByReason: map[string]int64{}},
	}
}

// Service is the dispatcher's service.
//
// Example: d.Service() == "timetable"
func (d *Dispatcher) Service() string { return d.service }

// Keys are the records that the dispatcher reads, for the daemon to keep cached.
//
// Example: for _, key := range d.Keys() { daemon.Pin(partition, key) }
func (d *Dispatcher) Keys() []string {
	keys := []string{fleetconfig.ListKey(d.service)}
	for _, addr := range slices.Sorted(maps.Keys(d.list.byAddr)) {
		keys = append(keys, fleetconfig.ServerRecordKey(d.service, addr))
	}
	return keys
}

// Counts are the dispatcher's numbers so far.
//
// Example: d.Counts().Served
func (d *Dispatcher) Counts() Counts {
	c := d.counts
	c.RefusedByReason = maps.Clone(d.counts.RefusedByReason)
	return c
}

// InFlight is the number of requests under way.
//
// Example: d.InFlight() == 0
func (d *Dispatcher) InFlight() int { return len(d.pending) }

// Report is the queue as the query shell shows it.
//
// Example: d.Report().Waiting
func (d *Dispatcher) Report() slots.Report { return d.queue.Snapshot() }

// HasValidShare tells whether the share of slots is still valid.
//
// Example: if !d.HasValidShare(now) { requestSlots() }
func (d *Dispatcher) HasValidShare(now time.Duration) bool { return d.queue.HasValidShare(now) }

// Demand is what the leader hears: what waits, what is in flight, what failed since it
// was last asked for.
//
// Example: share, at, ok := daemon.RequestSlots(ctx, partition, d.Demand(), timeout)
func (d *Dispatcher) Demand() placement.Demand {
	r := d.queue.Report()
	return placement.Demand{
		Service: d.service, AckedShare: d.ackedShare,
		Prefill: r.Prefill, Decode: r.Decode, InFlight: r.InFlight,
		Failures: r.Failures, PrefixHits: r.PreferredServers,
	}
}

// SetShare takes a share of slots; its time counts from when it was asked for.
//
// Example: out := d.SetShare(now, share, askedAt)
func (d *Dispatcher) SetShare(now time.Duration, s placement.Share, askedAt time.Duration) (out Out) {
	d.ackedShare = s.Number
	d.refreshServers(now)
	d.queue.SetShare(now, s.Slots, askedAt+time.Duration(s.Length))
	d.takeSlots(now, &out)
	return out
}

// Tick lets time pass.
//
// Example: out := d.Tick(now)
func (d *Dispatcher) Tick(now time.Duration) (out Out) {
	d.refreshServers(now)
	d.queue.Assign(now)
	d.takeSlots(now, &out)
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		if r := d.pending[id]; r != nil { // it may have ended by another one's slot
			d.checkTimeouts(now, r, &out)
		}
	}
	d.takeSlots(now, &out)
	return out
}

// MaySend is the last check before a call's first byte goes out.
//
// Example: if !d.MaySend(now, decision) { return serverpool.Blocked }
func (d *Dispatcher) MaySend(now time.Duration, m Decision) bool {
	r := d.pending[m.RequestID]
	if r == nil || r.stage != calling || r.attemptNumber != m.Attempt || now >= r.Deadline {
		return false
	}
	role := placement.Prefill
	if m.Action == Decode {
		role = placement.Decode
	}
	_, ok := d.servableFor(now, m.Addr, role)
	return ok
}
