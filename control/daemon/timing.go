package daemon

import (
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
)

// Ratios to the plan bound.
const (
	volumeLeaseRatio = 0.4
	marginRatio      = 0.01
	gainRatio        = 0.01
	sessionRatio     = 0.6
	heartbeatRatio   = 0.1
	slowLinkRatio    = 0.05
)

// Ratios to the bound in which a leaving server stops receiving requests.
const (
	pollRatio        = 0.08
	shareRatio       = 0.25
	usageWindowRatio = 0.8
)

const (
	// lostReplicaRatio is the ratio to the catch-up bound of the time after which a learner takes
	// over from a silent replica. This time is longer than a restart takes. The rest of the bound
	// is longer than an election and a step of a group change take.
	lostReplicaRatio = 0.5
)

func fraction(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// VolumeLease returns the length of the volume leases. The withdrawal of a record may take until the
// leases on it have expired, so their length is limited by a share of the bound on a plan change
// and by a share of the bound on a leaving server.
//
// Example: c.VolumeLease() == 800*time.Millisecond for a plan bound of 2 s
func (c Config) VolumeLease() time.Duration {
	longest := time.Duration(float64(c.maxWithdrawal()-c.margin()) / (1 + c.Drift))
	return min(fraction(c.Bounds.Plan, volumeLeaseRatio), longest)
}

// margin returns the time added to a lease by its granter, in addition to the drift of the clocks.
func (c Config) margin() time.Duration {
	return fraction(min(c.Bounds.Plan, c.Bounds.Leave), marginRatio)
}

// OnceKeyRetention returns how long a once key is kept. Request timeouts are at most half of it.
//
// Example: c.OnceKeyRetention() == 20*time.Minute for a recovery bound of 12 s
func (c Config) OnceKeyRetention() time.Duration { return 100 * c.Bounds.Recover }

// LeaseConfig returns the configuration of the lease tree.
//
// Example: node := lease.New(c.LeaseConfig(), 0, self, epoch)
func (c Config) LeaseConfig() lease.Config {
	return lease.Config{
		VolumeLease:   c.VolumeLease(),
		ObjectLease:   600 * c.VolumeLease(),
		Drift:         c.Drift,
		Margin:        c.margin(),
		RenewInterval: c.VolumeLease() / 3,
		MinGain:       fraction(c.Bounds.Plan, gainRatio),
		LoadInterval:  5 * c.VolumeLease(),
		MaxRenewals:   2000,
	}
}

// QuorumConfig returns the configuration of the partitions' replicas.
//
// Example: replica := quorum.New(c.QuorumConfig(), initial, now)
func (c Config) QuorumConfig() quorum.Config {
	leaderLease := c.Bounds.Plan / 2
	return quorum.Config{
		LeaderLease:       leaderLease,
		Drift:             c.Drift,
		Margin:            c.margin(),
		HeartbeatInterval: leaderLease / 3,
		LostAfter:         max(fraction(c.CatchUpBound, lostReplicaRatio), leaderLease+leaderLease/2),
	}
}

// MembershipConfig returns the configuration of the session table.
//
// Example: table := membership.New(c.MembershipConfig(), self, c.Seeds)
func (c Config) MembershipConfig() membership.Config {
	return membership.Config{
		SessionTimeout:    fraction(c.Bounds.Plan, sessionRatio),
		HeartbeatInterval: fraction(c.Bounds.Plan, heartbeatRatio),
		MinRelayMembers:   3,
		ToleratedLosses:   c.Losses,
		FirstStart:        c.FirstStart,
		FirstStartOnce:    c.FirstStartOnce,
	}
}

// PlacementConfig returns the configuration of the controller that places servers.
//
// Example: p := placement.New(c.PlacementConfig(), term, since)
func (c Config) PlacementConfig() placement.Config {
	b := c.Bounds
	return placement.Config{
		SwapBound:              b.Swap,
		PollInterval:           fraction(b.Leave, pollRatio),
		WarmUp:                 b.Swap,
		ShareLength:            fraction(b.Leave, shareRatio),
		Drift:                  c.Drift,
		Margin:                 c.margin(),
		MinShiftInterval:       2 * b.Evacuate,
		UsageWindow:            fraction(b.Leave, usageWindowRatio),
		DrainTimeout:           2 * b.Recover,
		SlowLink:               fraction(b.Plan, slowLinkRatio),
		MaxFailures:            3,
		HighUsage:              0.9,
		LowUsage:               0.6,
		ListedMinShiftInterval: b.Swap,
		PressureWindow:         b.Swap / 8,
	}
}
