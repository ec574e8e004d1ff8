package daemon

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// A daemon that can't reach a leader routes, and is ready, by what it held when
// its leases lapsed: not before a renewal was asked for in vain, not as soon as
// it wakes from a standstill, and never once Overrun has passed; what is read
// and told elsewhere needs leases all the while.
func TestNothingIsServedAfterTheOverrun(t *testing.T) {
	c := alone(t, func(cfg *Config) {
		steady(cfg)
		cfg.Bounds.Recover = 1200 * time.Second
	})
	cfg, node, hear := c.Cfg, c.shards[0].node(), leased(c)
	beat := cfg.LeaseConfig().RenewInterval
	hear(message.Message{Kind: message.KindGrantLease, Records: []message.Record{{Key: fleetconfig.PlanKey, Value: []byte("{}")}, {Key: fleetconfig.ZoneKey, Value: []byte("[]")}}, ObjectLease: int64(time.Hour)})

	tick := func() {
		c.step(c.shards[0], func(m *leader.Controller, now time.Duration) leader.Out { return m.Tick(now) })
	}
	pass := func(d time.Duration) { // awake, with no answer to what is asked
		for end := c.Now() + d; c.Now() < end; tick() {
			c.clock.Advance(min(beat/16, max(1, end-c.Now())))
		}
	}
	check := func(what string, leased, served bool) {
		t.Helper()
		_, read := c.Read(0, fleetconfig.PlanKey)
		_, last := c.ReadAllowingStale(0, fleetconfig.PlanKey)
		if read != leased || last != served || c.canServe() != served || (c.Now() < c.StaleUntil(0)) != served {
			t.Errorf("%s: read under leases %v, routed by %v, ready %v, until %v at %v", what, read, last, c.canServe(), c.StaleUntil(0), c.Now())
		}
		if _, ok := c.ReadAllowingStale(0, fleetconfig.ReplicaKey); ok {
			t.Errorf("%s: what was never held is routed by", what)
		}
	}
	tick()
	check("under leases", true, true)
	c.clock.Advance(cfg.VolumeLease())
	check("suspended while the leases lapsed", false, false)
	tick()
	check("awake", false, false)
	pass(beat)
	check("asked in vain", false, true)
	c.clock.Advance(2 * beat)
	check("suspended once more", false, false)
	pass(beat)
	check("asked in vain again", false, true)
	lapsed, _ := node.Lapsed(c.Now())
	pass(lapsed + cfg.MaxStaleness() - c.Now() - beat/4)
	check("just before the overrun", false, true)
	pass(lapsed + cfg.MaxStaleness() - c.Now())
	check("after the overrun", false, false)
	pass(10 * cfg.MaxStaleness())
	check("long after the overrun", false, false)
}
