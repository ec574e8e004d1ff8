package daemon

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// drawBounds are bounds by chance, each from 1 s to 20 s, and the most drift that is allowed.
func drawBounds(t *rapid.T) Config {
	draw := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(1000, 20000).Draw(t, name)) * time.Millisecond
	}
	cfg := Default()
	cfg.Bounds = Bounds{
		Plan: draw("plan"), Leave: draw("leave"), Evacuate: draw("evacuate"), Swap: draw("swap"), Recover: draw("recover"),
	}
	cfg.Drift = rapid.Float64Range(0, maxDrift).Draw(t, "drift")
	return cfg
}

// Whatever the bounds are, all that may pass until nothing reaches a server that leaves adds up to
// less than its bound: the next look at the list, its way to the leader, the withdrawal, which may
// wait for the longest lease, what a daemon that is in touch goes on by, and the last way.
func TestTheSharesOfTheBoundOnLeavingAddUp(t *testing.T) {
	if drainShares > 1 {
		t.Errorf("the shares add up to %v", drainShares)
	}
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawBounds(t)
		list, tree := fleetconfig.ListKey("m"), cfg.LeaseConfig()
		withdrawal := tree.VolumeLease + time.Duration(float64(tree.VolumeLease)*tree.Drift) + tree.Margin
		sum := fraction(cfg.Bounds.Leave, pullRatio) + fraction(cfg.Bounds.Leave, readShare) + withdrawal +
			cfg.MaxStaleness(1, list, false) + fraction(cfg.Bounds.Leave, sendShare)
		if sum > cfg.Bounds.Leave || cfg.drainTime() > cfg.Bounds.Leave {
			t.Errorf("%v and %v of %v: withdrawal %v", sum, cfg.drainTime(), cfg.Bounds.Leave, withdrawal)
		}
		if tree.VolumeLease <= 0 || tree.RenewInterval <= 0 {
			t.Errorf("leases of %v", tree.VolumeLease)
		}
		for key, bound := range map[string]time.Duration{fleetconfig.ZoneKey: cfg.Bounds.Evacuate, fleetconfig.PlanKey: cfg.Bounds.Plan} {
			if stale := cfg.MaxStaleness(0, key, false); stale >= bound || stale > cfg.Bounds.Recover {
				t.Errorf("%s may be stale for %v, its bound is %v", key, stale, bound)
			}
		}
		if got := cfg.MaxStaleness(1, list, true); got != cfg.Bounds.Recover {
			t.Errorf("cut off: %v, expected %v", got, cfg.Bounds.Recover)
		}
	})
}

// A daemon that has its session, whose core stands as it was, and whose renewals go unanswered is
// late and not cut off: it stops using its servers a share of their bound after the lapse, and
// says that it isn't ready once plan and zones are too old. Cut off it goes on.
func TestALateDaemonStopsBeforeTheBound(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) {
		withLongLeases(cfg)
		cfg.Bounds.Recover = 1200 * time.Second
		cfg.DataFolder = t.TempDir()
	})
	const partition = 1
	other := message.Member{Ident: "leader", Addr: "10.0.0.9:1", Zone: "zone-1", HasDisk: true, Epoch: 1, Build: Build}
	led := []message.Leadership{{Partition: partition, Term: 1, Leader: other.Replica()}}
	meet := func() {
		d.members.step(d.Now, message.Hello{Self: other}.Message())
		d.members.tick(d.Now, d.member(), led)
	}
	meet()
	d.clock.Advance(d.Cfg.InTouchAfter)
	meet()
	if d.isCutOff(partition) {
		t.Fatal("it has a session and a leader that stands, and counts as cut off")
	}
	if !d.isCutOff(partition + 1) {
		t.Error("nobody leads the partition, and it doesn't count as cut off")
	}
	list := fleetconfig.ListKey("m")
	node := d.shards[partition].node()
	fromParent := grantVolumeLeaseFor(d, partition)
	d.step(d.shards[partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Pin(now, list) })
	fromParent(message.Message{
		Kind: message.KindGrantLease, Records: []message.Record{{Key: list, Value: []byte("{}")}}, ObjectLease: int64(time.Hour),
	})
	pass := func(length time.Duration) {
		for end := d.Now() + length; d.Now() < end; {
			d.clock.Advance(min(d.Cfg.LeaseConfig().RenewInterval/16, max(1, end-d.Now())))
			d.step(d.shards[partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Tick(now) })
		}
	}
	pass(node.VolumeExpiry() - d.Now() + d.Cfg.LeaseConfig().RenewInterval)
	meet()
	if _, ok := d.ReadAllowingStale(partition, list); !ok {
		t.Error("just after the lapse its list is not used")
	}
	pass(fraction(d.Cfg.Bounds.Leave, staleShare))
	meet()
	if _, ok := d.ReadAllowingStale(partition, list); ok {
		t.Errorf("in touch, its list is used %v after its lease lapsed", d.Now()-node.VolumeExpiry())
	}
	if d.Now() < d.StaleUntil(partition, list) {
		t.Error("in touch, it says that its list stands")
	}
	d.members.tick(d.Now, d.member(), []message.Leadership{{Partition: partition, Term: 2, Leader: message.Replica{Ident: "next"}}})
	if _, ok := d.ReadAllowingStale(partition, list); !ok {
		t.Error("the core has just changed, and its list is not used any more")
	}
}
