package lease

import "time"

// Config holds the timing parameters of the leases. Durations are positive and measured
// by the node's own clock. control/daemon derives them from the configured bound on the
// time that a change may take.
type Config struct {
	// VolumeLease is the length of a volume lease. A write waits at most this long, plus
	// drift and margin, for a failed child. Default: 0.4 of the bound on a change.
	VolumeLease time.Duration
	// ObjectLease is the length of an object lease. A pinned record is requested again
	// after three quarters of that time. Default: 600 volume leases.
	ObjectLease time.Duration
	// Drift is the maximum relative rate difference between two clocks, from 0 to 0.2.
	// Granters extend the leases that they grant by this ratio. Default: 0.02.
	Drift float64
	// Margin is added to the time that a granter waits for a lease to expire, to cover the
	// duration of a step. Default: 0.01 of the bound on a change.
	Margin time.Duration
	// RenewInterval is the time between two renewals, and the time after which an
	// invalidation is resent. Default: a third of a volume lease.
	RenewInterval time.Duration
	// MinGain is the minimum reduction of RenewCost that justifies a join or split.
	// Default: 0.01 of the bound on a change.
	MinGain time.Duration
	// LoadInterval is the window over which ReqCount and HitCount are counted; 0 disables
	// reshaping of the tree. Default: 5 volume leases.
	LoadInterval time.Duration
	// MaxRenewals is the number of renewals in a LoadInterval above which a parent
	// redirects children to relays even if that saves no time. A relay that receives at
	// least half as many renewals keeps its children, since its parent would have no room
	// for them.
	// Default: 2000.
	MaxRenewals int
}

// granterExpiry returns how long after granting a lease the granter must treat it as
// valid. This is longer than the lease, since the holder's clock may be slower.
func (c Config) granterExpiry(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*c.Drift) + c.Margin
}

// minRenewGap returns the minimum time between two renewals that request records.
func (c Config) minRenewGap() time.Duration { return c.RenewInterval / 16 }

// renewalTimeout returns how long a renewal may remain unanswered before records are
// served without a lease (see LastKnown). A node whose ticks are further apart than this
// is treated as having been stalled.
func (c Config) renewalTimeout() time.Duration { return c.RenewInterval / 2 }

// leaseListGap returns the minimum time between two lease lists. Without this gap,
// overlapping reconnects would keep undoing each other's results indefinitely.
func (c Config) leaseListGap() time.Duration { return c.RenewInterval / 2 }

// resendGap returns the age from which an unacknowledged invalidation is resent when the
// child renews. If the invalidation is more recent, the renewal may have overtaken its
// acknowledgement.
func (c Config) resendGap() time.Duration { return c.RenewInterval / 4 }

// childCheckInterval returns the time between two scans of the children.
func (c Config) childCheckInterval() time.Duration { return c.RenewInterval / 4 }

// refreshAhead returns how long before the end of its object lease a record is requested
// again.
func (c Config) refreshAhead() time.Duration { return c.ObjectLease / 4 }

// recordCheckInterval returns the time between two scans of the cached records.
func (c Config) recordCheckInterval() time.Duration {
	return min(c.ObjectLease/64, 4*c.RenewInterval)
}

// forgetChildAfter returns the time without a renewal after which a child is forgotten.
func (c Config) forgetChildAfter() time.Duration { return 8 * c.VolumeLease }

// maxRenewalWithoutAck returns for how long a child's lease is still renewed while the child
// has not acknowledged an invalidation. Without this allowance, a relay that waits for a
// failed child would lose the leases of its entire zone. The limit prevents a write from
// waiting forever.
func (c Config) maxRenewalWithoutAck() time.Duration { return c.VolumeLease / 2 }
