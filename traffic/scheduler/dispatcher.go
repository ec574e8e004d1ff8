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

// Dispatcher is the state machine of one service on one daemon. It is not safe for concurrent
// use: callers must hold a lock.
type Dispatcher struct {
	cfg        Config
	service    string
	partition  int // partition of the service's records
	source     Source
	leaderTerm func() uint64 // last known term of the partition's leader

	queue        *slots.Queue
	ackedShare   uint64 // number of the last share that was applied
	retries      attempt.Bucket
	prefixes     *serverpool.PrefixIndex
	backoffUntil map[string]time.Duration   // by address of a server that failed or rejected a call
	pending      map[string]*pendingRequest // by ID

	servable map[string]placement.ServerRecord // servers that may get new work now, by address
	plan     *PlanIndex
	list     serverList
	records  map[string]parsedRecord // by address

	counts Counts
}

// New returns the dispatcher of a service. source reads records under valid leases; leaderTerm returns
// the last known term of the partition's leader.
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

// Service returns the name of the dispatcher's service.
//
// Example: d.Service() == "timetable"
func (d *Dispatcher) Service() string { return d.service }

// Keys returns the keys of the records that the dispatcher reads, so that the daemon can keep them cached.
//
// Example: for _, key := range d.Keys() { daemon.Pin(partition, key) }
func (d *Dispatcher) Keys() []string {
	keys := []string{fleetconfig.ListKey(d.service)}
	for _, addr := range slices.Sorted(maps.Keys(d.list.byAddr)) {
		keys = append(keys, fleetconfig.ServerRecordKey(d.service, addr))
	}
	return keys
}

// Counts returns a copy of the dispatcher's counters.
//
// Example: d.Counts().Served
func (d *Dispatcher) Counts() Counts {
	c := d.counts
	c.RefusedByReason = maps.Clone(d.counts.RefusedByReason)
	return c
}

// InFlight returns the number of unfinished requests.
//
// Example: d.InFlight() == 0
func (d *Dispatcher) InFlight() int { return len(d.pending) }

// Report returns a snapshot of the queue for the query shell.
//
// Example: d.Report().Waiting
func (d *Dispatcher) Report() slots.Report { return d.queue.Snapshot() }

// HasValidShare reports whether the share of slots is still valid.
//
// Example: if !d.HasValidShare(now) { requestSlots() }
func (d *Dispatcher) HasValidShare(now time.Duration) bool { return d.queue.HasValidShare(now) }

// Demand returns the report to the leader: waiting requests, slots in use, and the calls that failed
// since Demand was last called.
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

// SetShare applies a share of slots. Its validity period starts when the share was requested (askedAt).
//
// Example: out := d.SetShare(now, share, askedAt)
func (d *Dispatcher) SetShare(now time.Duration, s placement.Share, askedAt time.Duration) (out Out) {
	d.ackedShare = s.Number
	d.refreshServers(now)
	d.queue.SetShare(now, s.Slots, askedAt+time.Duration(s.Length))
	d.processQueueResults(now, &out)
	return out
}

// Tick assigns free slots and handles expired timeouts.
//
// Example: out := d.Tick(now)
func (d *Dispatcher) Tick(now time.Duration) (out Out) {
	d.refreshServers(now)
	d.queue.Assign(now)
	d.processQueueResults(now, &out)
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		if r := d.pending[id]; r != nil { // an earlier iteration may have ended it
			d.checkTimeouts(now, r, &out)
		}
	}
	d.processQueueResults(now, &out)
	return out
}

// MaySend reports whether a call may still be sent. It is checked just before the first byte goes out.
//
// Example: if !d.MaySend(now, decision) { return serverpool.Blocked }
func (d *Dispatcher) MaySend(now time.Duration, decision Decision) bool {
	r := d.pending[decision.RequestID]
	if r == nil || r.stage != calling || r.attemptNumber != decision.Attempt || now >= r.Deadline {
		return false
	}
	role := placement.Prefill
	if decision.Action == Decode {
		role = placement.Decode
	}
	_, ok := d.servableInRole(now, decision.Addr, role)
	return ok
}
