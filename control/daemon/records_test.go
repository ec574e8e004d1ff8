package daemon

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// A daemon that can't reach a leader stays ready and routes by the records that it had when its
// leases lapsed. The use of these stale records starts only after a renewal went unanswered, so not
// immediately after a suspend, and ends once MaxStaleness has passed. Read always requires valid
// leases.
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
	advance := func(length time.Duration) { // the daemon runs while renewals go unanswered
		for end := d.Now() + length; d.Now() < end; tick() {
			d.clock.Advance(min(interval/16, max(1, end-d.Now())))
		}
	}
	check := func(moment string, leased, served bool) {
		t.Helper()
		_, read := d.Read(0, fleetconfig.PlanKey)
		_, stale := d.ReadAllowingStale(0, fleetconfig.PlanKey)
		if read != leased || stale != served || d.canServe() != served || (d.Now() < d.StaleUntil(0, fleetconfig.PlanKey)) != served {
			t.Errorf("%s: readable under leases %v, used for routing %v, ready %v, until %v at %v",
				moment, read, stale, d.canServe(), d.StaleUntil(0, fleetconfig.PlanKey), d.Now())
		}
		if _, ok := d.ReadAllowingStale(0, fleetconfig.ReplicaKey); ok {
			t.Errorf("%s: a record that was never cached is used for routing", moment)
		}
	}
	tick()
	check("under leases", true, true)
	d.clock.Advance(d.Cfg.VolumeLease())
	check("leases lapsed during a suspend", false, false)
	tick()
	check("awake", false, false)
	advance(interval)
	check("renewal unanswered", false, true)
	d.clock.Advance(2 * interval)
	check("suspended again", false, false)
	advance(interval)
	check("renewal unanswered again", false, true)
	lapsed, _ := node.StaleSince(d.Now())
	advance(lapsed + maxStaleness - d.Now() - interval/4)
	check("just before the limit", false, true)
	advance(lapsed + maxStaleness - d.Now())
	check("after the limit", false, false)
	advance(10 * maxStaleness)
	check("long after the limit", false, false)
}
