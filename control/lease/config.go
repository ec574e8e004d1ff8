package lease

import "time"

// Config holds the bounds of the leases. Durations are by the node's own clock and
// positive; control/daemon derives them from the users' bound on a change.
type Config struct {
	// VolumeLease is the length of a volume lease: a write waits for a dead child that
	// long, plus drift and margin. By default 0.4 of the bound on a change.
	VolumeLease time.Duration
	// ObjectLease is the length of an object lease. A pinned record is asked for again
	// when three quarters of it have passed. By default 600 volume leases.
	ObjectLease time.Duration
	// Drift is the most by which one clock outruns another, as a ratio, 0 to 0.2. A
	// granter counts a lease longer by it. By default 0.02.
	Drift float64
	// Margin is added to what a granter waits out, for the time that a step takes. By
	// default 0.01 of the bound on a change.
	Margin time.Duration
	// RenewInterval is the time between two renewals, and before an invalidation is sent
	// again. By default a third of a volume lease.
	RenewInterval time.Duration
	// MinGain is the RenewCost that a join or split must save. By default 0.01 of the
	// bound on a change.
	MinGain time.Duration
	// LoadInterval is the time over which ReqCount and HitCount are counted; 0: the tree
	// is not reshaped. By default 5 volume leases.
	LoadInterval time.Duration
	// MaxRenewals is the number of renewals in a LoadInterval above which a parent sends
	// children to relays whether that saves time or not; with half of it a parent has no
	// room for the children of a relay. By default 2000.
	MaxRenewals int
}

// granterExpiry is how long after granting a lease the granter must take it to be
// valid: a holder's clock may be slower.
func (c Config) granterExpiry(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*c.Drift) + c.Margin
}

// minRenewGap is the least time between two renewals that ask for records.
func (c Config) minRenewGap() time.Duration { return c.RenewInterval / 16 }

// patience is for how long a renewal may be unanswered before records are served
// without a lease (see LastKnown), and between two ticks of a node that is not taken to
// have stood still.
func (c Config) patience() time.Duration { return c.RenewInterval / 2 }

// leaseListGap is the least time between two lease lists: two that overlap would
// undo one another for ever.
func (c Config) leaseListGap() time.Duration { return c.RenewInterval / 2 }

// resendGap is how long an invalidation may be under way before a renewal of the
// child has it sent again: the acknowledgement may just have been overtaken.
func (c Config) resendGap() time.Duration { return c.RenewInterval / 4 }

// childCheckInterval is the time between two scans of the children.
func (c Config) childCheckInterval() time.Duration { return c.RenewInterval / 4 }

// refreshAhead is how long before the end of its object lease a record is asked for
// again.
func (c Config) refreshAhead() time.Duration { return c.ObjectLease / 4 }

// recordCheckInterval is the time between two scans of the cached records.
func (c Config) recordCheckInterval() time.Duration {
	return min(c.ObjectLease/64, 4*c.RenewInterval)
}

// forgetChildAfter is the time without a renewal after which a child is forgotten.
func (c Config) forgetChildAfter() time.Duration { return 8 * c.VolumeLease }

// maxOwingRenewal is how long a child that owes the acknowledgement of an
// invalidation is renewed all the same. A relay that waits for a dead child would
// else lose its whole zone's leases; the bound keeps a write from waiting for ever.
func (c Config) maxOwingRenewal() time.Duration { return c.VolumeLease / 2 }
