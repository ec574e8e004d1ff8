package daemon

import (
	"context"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// Read returns a record from this daemon's cache. ok is false unless the volume lease and the
// record's object lease are valid now and this build can read the record.
//
// Example: rec, ok := d.Read(0, fleetconfig.PlanKey)
func (d *Daemon) Read(partition int, key string) (message.Record, bool) {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.node().Get(d.Now(), key)
	return rec, ok && d.isReadable(s, rec)
}

// ReadAllowingStale returns a record under valid leases. If the leases lapsed because renewals go
// unanswered, it returns the last known version for at most MaxStaleness, but never after the record
// was withdrawn. MaxStaleness is short if this daemon is in contact with the leader. Only routing
// and readiness may depend on stale records; orders, writes and messages to others must not.
//
// Example: rec, ok := d.ReadAllowingStale(0, fleetconfig.PlanKey)
func (d *Daemon) ReadAllowingStale(partition int, key string) (message.Record, bool) {
	s, bound := d.shards[partition], d.maxStaleness(partition, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.node().ReadAllowingStale(d.Now(), key, bound)
	return rec, ok && d.isReadable(s, rec)
}

// StaleUntil returns the time until which the result of ReadAllowingStale remains usable without
// another check if no lease is renewed.
//
// Example: if d.Now() < d.StaleUntil(p, fleetconfig.ListKey("timetable")) { route() }
func (d *Daemon) StaleUntil(partition int, key string) time.Duration {
	s, bound := d.shards[partition], d.maxStaleness(partition, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := d.Now()
	until := s.node().StaleUntil(now, bound)
	if now < s.node().ValidUntil() {
		return until
	}
	return min(until, now+fraction(d.Cfg.VolumeLease(), staleRecheckRatio))
}

// ValidUntil returns when the first of the leases under which this daemon serves a partition's
// records lapses if none is renewed.
//
// Example: if d.Now() < d.ValidUntil(p) { serve() }
func (d *Daemon) ValidUntil(partition int) time.Duration {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node().ValidUntil()
}

// LapsedFor returns for how long this daemon has had no volume lease on a partition; 0 if it has
// one.
//
// Example: if d.LapsedFor(p) > 0 { countAsStale() }
func (d *Daemon) LapsedFor(partition int) time.Duration {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, d.Now()-s.node().VolumeExpiry())
}

// Generation counts changes of the records that can be served for a partition here. A value that
// was read remains valid as long as Generation is unchanged and ValidUntil has not passed.
//
// Example: gen := d.Generation(p); read(); ...; if d.Generation(p) != gen { readAgain() }
func (d *Daemon) Generation(partition int) uint64 { return d.shards[partition].generation.Load() }

// Pin keeps a record readable here until Unpin is called.
//
// Example: d.Pin(p, fleetconfig.ListKey("timetable"))
func (d *Daemon) Pin(partition int, key string) {
	d.step(d.shards[partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Pin(now, key) })
}

// Unpin reverts Pin: the record is not fetched again after it is withdrawn.
//
// Example: d.Unpin(p, fleetconfig.ServerRecordKey("timetable", "i-7f3a"))
func (d *Daemon) Unpin(partition int, key string) {
	s := d.shards[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.Unpin(key)
}

// AwaitRecord waits until a record can be read. It returns false if the context ends first.
//
// Example: rec, ok := d.AwaitRecord(ctx, 0, fleetconfig.PlanKey)
func (d *Daemon) AwaitRecord(ctx context.Context, partition int, key string) (message.Record, bool) {
	pinned := false
	for {
		changed := d.Changed()
		if rec, ok := d.Read(partition, key); ok {
			return rec, true
		}
		if !pinned {
			d.Pin(partition, key)
			pinned = true
		}
		select {
		case <-ctx.Done():
			return message.Record{}, false
		case <-changed:
		case <-time.After(d.Cfg.VolumeLease() / 16): // renewing a volume lease signals no change
		}
	}
}

// Plan returns the ID and version of the current plan. ok is false unless Read can return the plan.
//
// Example: id, version, ok := d.Plan()
func (d *Daemon) Plan() (id string, version uint64, ok bool) {
	rec, ok := d.Read(0, fleetconfig.PlanKey)
	if !ok {
		return "", 0, false
	}
	plan := d.plans.MustRead(rec)
	return plan.ID, plan.Version, true
}

// CompletePlans makes the daemon complete each plan that it reads; see fleetconfig.PlanReader. Call it before the
// daemon serves.
//
// Example: d.CompletePlans(func(p *fleetconfig.Plan) { p.KeysRequired = p.KeysRequired || hasEmptyList(p) })
func (d *Daemon) CompletePlans(complete func(*fleetconfig.Plan)) { d.plans.Complete = complete }

// DecodePlan returns the plan in a record. Each version is decoded once and shared, so callers must
// not modify the plan.
//
// Example: plan := d.DecodePlan(rec)
func (d *Daemon) DecodePlan(rec message.Record) fleetconfig.Plan { return d.plans.MustRead(rec) }

// Term returns the term of a partition's leader as far as this daemon knows it. Attempts of requests
// carry this term.
//
// Example: term := d.Term(p)
func (d *Daemon) Term(partition int) uint64 { return d.View().Leaderships[partition].Term }
