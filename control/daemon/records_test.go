package daemon

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// A daemon that can't reach a leader routes, and is ready, by the records that it
// had when its leases lapsed: not before a renewal was asked for in vain, not as
// soon as it wakes from a suspend, and never once MaxStaleness has passed; what is
// read under leases needs them all the while.
func TestStaleReadsEndWithMaxStaleness(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) {
		withLongLeases(cfg)
		cfg.Bounds.Recover = 1200 * time.Second
	})
	node, fromParent := d.shards[0].node(), grantVolumeLease(d)
	maxStaleness, interval := d.Cfg.MaxStaleness(0, fleetconfig.PlanKey, true), d.Cfg.LeaseConfig().RenewInterval
	fromParent(message.Message{
		Kind: message.KindGrantLease,
		Records: []message.Record{
			{Key: fleetconfig.PlanKey, Value: []byte("{}")},
			{Key: fleetconfig.ZoneKey, Value: []byte("[]")},
		},
		ObjectLease: int64(time.Hour),
	})

	tick := func() {
		d.step(d.shards[0], func(c *leader.Controller, now time.Duration) leader.Out { return c.Tick(now) })
	}
	pass := func(length time.Duration) { // awake, with no answer to what is asked
		for end := d.Now() + length; d.Now() < end; tick() {
			d.clock.Advance(min(interval/16, max(1, end-d.Now())))
		}
	}
	check := func(moment string, leased, served bool) {
		t.Helper()
		_, read := d.Read(0, fleetconfig.PlanKey)
		_, stale := d.ReadAllowingStale(0, fleetconfig.PlanKey)
		if read != leased || stale != served || d.canServe() != served || (d.Now() < d.StaleUntil(0, fleetconfig.PlanKey)) != served {
			t.Errorf("%s: read under leases %v, routed by %v, ready %v, until %v at %v",
				moment, read, stale, d.canServe(), d.StaleUntil(0, fleetconfig.PlanKey), d.Now())
		}
		if _, ok := d.ReadAllowingStale(0, fleetconfig.ReplicaKey); ok {
			t.Errorf("%s: a record that was never here is routed by", moment)
		}
	}
	tick()
	check("under leases", true, true)
	d.clock.Advance(d.Cfg.VolumeLease())
	check("suspended while the leases lapsed", false, false)
	tick()
	check("awake", false, false)
	pass(interval)
	check("asked in vain", false, true)
	d.clock.Advance(2 * interval)
	check("suspended once more", false, false)
	pass(interval)
	check("asked in vain again", false, true)
	lapsed, _ := node.Lapsed(d.Now())
	pass(lapsed + maxStaleness - d.Now() - interval/4)
	check("just before the limit", false, true)
	pass(lapsed + maxStaleness - d.Now())
	check("after the limit", false, false)
	pass(10 * maxStaleness)
	check("long after the limit", false, false)
}
