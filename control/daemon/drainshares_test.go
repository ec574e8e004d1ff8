package daemon

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// drawBounds draws random bounds of 1 s to 20 s each and a random clock drift up to the maximum.
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

// For all bounds, the delays until a leaving server receives no more requests add up to at most
// Bounds.Leave. These are the delays until the list is polled, until it reaches the leader, until
// the old list is withdrawn (at most the longest lease), while a daemon in contact with the leader
// uses stale records, and until the last request is delivered.
func TestDrainSharesFitLeaveBound(t *testing.T) {
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
			t.Errorf("delays of %v, drain time %v, bound %v, withdrawal %v", sum, cfg.drainTime(), cfg.Bounds.Leave, withdrawal)
		}
		if tree.VolumeLease <= 0 || tree.RenewInterval <= 0 {
			t.Errorf("volume lease of %v", tree.VolumeLease)
		}
		for key, bound := range map[string]time.Duration{fleetconfig.ZoneKey: cfg.Bounds.Evacuate, fleetconfig.PlanKey: cfg.Bounds.Plan} {
			if stale := cfg.MaxStaleness(0, key, false); stale >= bound || stale > cfg.Bounds.Recover {
				t.Errorf("%s may be used stale for %v, but its bound is %v", key, stale, bound)
			}
		}
		if got := cfg.MaxStaleness(1, list, true); got != cfg.Bounds.Recover {
			t.Errorf("cut off: staleness of up to %v, expected %v", got, cfg.Bounds.Recover)
		}
	})
}

// A daemon whose renewals go unanswered counts as being in contact, not as cut off, while it has a
// session and the core is unchanged. It stops using a list of servers when staleShare of
// Bounds.Leave has passed since the lease lapsed. A daemon that counts as cut off, because the core
// has just changed, continues to use the list.
func TestStaleReadsEndEarlyWhileInContact(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) {
		withLongLeases(cfg)
		cfg.Bounds.Recover = 1200 * time.Second
		cfg.DataFolder = t.TempDir()
	})
	const partition = 1
	other := message.Member{Ident: "leader", Addr: "10.0.0.9:1", Zone: "zone-1", HasDisk: true, Epoch: 1, Build: Build}
	leaderships := []message.Leadership{{Partition: partition, Term: 1, Leader: other.Replica()}}
	heartbeat := func() {
		d.members.step(d.Now, message.Hello{Self: other}.Message())
		d.members.tick(d.Now, d.member(), leaderships)
	}
	heartbeat()
	d.clock.Advance(d.Cfg.InTouchAfter)
	heartbeat()
	if d.isCutOff(partition) {
		t.Fatal("the daemon has a session and a stable leader, but counts as cut off")
	}
	if !d.isCutOff(partition + 1) {
		t.Error("no daemon leads the partition, but the daemon doesn't count as cut off")
	}
	list := fleetconfig.ListKey("m")
	node := d.shards[partition].node()
	fromParent := grantVolumeLeaseFor(d, partition)
	d.step(d.shards[partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Pin(now, list) })
	fromParent(message.Message{
		Kind: message.KindGrantLease, Records: []message.Record{{Key: list, Value: []byte("{}")}}, ObjectLease: int64(time.Hour),
	})
	advance := func(length time.Duration) {
		for end := d.Now() + length; d.Now() < end; {
			d.clock.Advance(min(d.Cfg.LeaseConfig().RenewInterval/16, max(1, end-d.Now())))
			d.step(d.shards[partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Tick(now) })
		}
	}
	advance(node.VolumeExpiry() - d.Now() + d.Cfg.LeaseConfig().RenewInterval)
	heartbeat()
	if _, ok := d.ReadAllowingStale(partition, list); !ok {
		t.Error("the list isn't used just after the lapse")
	}
	advance(fraction(d.Cfg.Bounds.Leave, staleShare))
	heartbeat()
	if _, ok := d.ReadAllowingStale(partition, list); ok {
		t.Errorf("in contact, but the list is still used %v after its lease lapsed", d.Now()-node.VolumeExpiry())
	}
	if d.Now() < d.StaleUntil(partition, list) {
		t.Error("in contact, but StaleUntil reports that the list is still usable")
	}
	d.members.tick(d.Now, d.member(), []message.Leadership{{Partition: partition, Term: 2, Leader: message.Replica{Ident: "next"}}})
	if _, ok := d.ReadAllowingStale(partition, list); !ok {
		t.Error("the core has just changed, but the list is no longer used")
	}
}
