package lease

import "time"

// Config holds the bounds of the leases. All are durations by the node's own clock.
type Config struct {
	VolumeLease   time.Duration // length of a volume lease: a write waits for a dead child at most so long
	ObjectLease   time.Duration // length of an object lease: a record is asked for again when 3/4 have passed
	Drift         float64       // by which share two clocks may differ in speed
	Margin        time.Duration // added to what a granter waits out
	RenewInterval time.Duration // between two renewals, and between two sendings of an invalidation
	MinGain       time.Duration // RenewCost that a join or split must save
	LoadInterval  time.Duration // over which ReqCount and HitCount are counted; 0: the tree is not reshaped
	MaxRenewals   int           // renewals in a LoadInterval above which a parent is loaded
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
