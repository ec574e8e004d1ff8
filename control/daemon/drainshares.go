package daemon

import (
	"time"

	"mulleinmast/control/fleetconfig"
)

// Bounds.Leave is the time in which a leaving server receives its last request. It starts when the
// platform's list shows that the server leaves and ends when no more requests arrive there. The
// bound is divided among the consecutive delays in this time; each share is a ratio to the bound.
// A write of a list doesn't wait for another write (partition.Job.Mergeable), so the time of a
// write counts once.
const (
	pullShare     = 0.15 // until the list is polled next
	readShare     = 0.15 // until the list is read and its change has reached the service's leader
	withdrawShare = 0.35 // until the old list is withdrawn everywhere: the longest lease plus drift and margin
	staleShare    = 0.2  // while records with lapsed leases, or a withdrawn list, are still used
	sendShare     = 0.1  // from the last check of the records until the request arrives

	drainShares = pullShare + readShare + withdrawShare + staleShare + sendShare
)

// staleRatio limits how long a daemon that is in contact with the leader uses a plan, or the list
// of evacuated zones, after the lease lapsed. It is a ratio to the bound on a change of that record.
// The bound counts from the acknowledgement of the change, which comes after the lapse.
const staleRatio = 0.5

// staleRecheckRatio is the interval after which a record without a lease is checked again, as a
// ratio to the volume lease. A daemon that was cut off may have regained contact in this interval;
// the shorter limits of a daemon in contact then apply.
const staleRecheckRatio = 0.125

// maxWithdrawal returns the share of Bounds.Leave in which a record is withdrawn from all lease
// holders.
func (c Config) maxWithdrawal() time.Duration { return fraction(c.Bounds.Leave, withdrawShare) }

// drainTime returns the maximum time until a leaving server receives no more requests.
func (c Config) drainTime() time.Duration {
	tree := c.LeaseConfig()
	withdrawal := tree.VolumeLease + time.Duration(float64(tree.VolumeLease)*tree.Drift) + tree.Margin
	return withdrawal + fraction(c.Bounds.Leave, pullShare+readShare+staleShare+sendShare)
}

// checkDrainTime reports a fault if the bounds would allow requests to a leaving server after
// Bounds.Leave.
func (c Config) checkDrainTime(faults *fleetconfig.Faults) {
	if sum := c.drainTime(); sum > c.Bounds.Leave {
		faults.Add("bound_leave: %v: a leaving server would get requests for %v", c.Bounds.Leave, sum)
	}
}

// MaxListAge returns how long a withdrawn list of servers is still used to determine which servers
// exist. A daemon that doesn't answer may delay the next version of the list for this time. Whether
// a server may be used depends on the server's own record, which is withdrawn independently.
//
// Example: c.MaxListAge() == 1650*time.Millisecond for a bound on leaving of 3 s
func (c Config) MaxListAge() time.Duration { return fraction(c.Bounds.Leave, withdrawShare+staleShare) }

// MaxStaleness returns how long a daemon routes requests by a record after the record's lease
// lapsed. For a daemon that is cut off from the leader this is the recovery bound. For a daemon in
// contact with the leader, whose leases are only late, it is a share of the bound on the record.
//
// Example: c.MaxStaleness(3, fleetconfig.ListKey("timetable"), false) == 600*time.Millisecond
func (c Config) MaxStaleness(partition int, key string, isCutOff bool) time.Duration {
	bound := c.Bounds.Recover
	switch {
	case isCutOff:
	case partition != 0:
		bound = fraction(c.Bounds.Leave, staleShare)
	case key == fleetconfig.ZoneKey:
		bound = fraction(c.Bounds.Evacuate, staleRatio)
	default:
		bound = fraction(c.Bounds.Plan, staleRatio)
	}
	return min(bound, c.Bounds.Recover)
}

// isCutOff reports whether this daemon may be cut off from a partition's leader, judged by its own
// state: it has no session, the core changed recently, or no member leads the partition.
func (d *Daemon) isCutOff(partition int) bool {
	view := d.View()
	if !view.HasSession || d.Now()-d.members.coreChangedAt() < d.Cfg.InTouchAfter/2 {
		return true
	}
	_, isLed := view.Find(view.Leaderships[partition].Leader.Ident)
	return !isLed
}

// maxStaleness returns MaxStaleness for this daemon's current state.
func (d *Daemon) maxStaleness(partition int, key string) time.Duration {
	return d.Cfg.MaxStaleness(partition, key, d.isCutOff(partition))
}
