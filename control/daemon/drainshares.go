package daemon

import (
	"time"

	"mulleinmast/control/fleetconfig"
)

// Bounds.Leave, in which a server that leaves gets its last request, is divided among what may pass,
// one after the other, from the moment when the platform's list shows that it leaves until nothing
// arrives there any more. Each share is a ratio to the bound, and who owns a term reads its share
// here. A write of the list doesn't wait for another one (partition.Job.Mergeable) and is counted once.
const (
	pullShare     = 0.15 // until the list is looked at next
	readShare     = 0.15 // until it is read and its change has come to the leader of the service
	withdrawShare = 0.35 // until it is withdrawn everywhere: the longest lease, with drift and margin
	staleShare    = 0.2  // by records whose leases lapsed, or by a list that was withdrawn
	sendShare     = 0.1  // from the last look at the records until the request arrives

	drainShares = pullShare + readShare + withdrawShare + staleShare + sendShare
)

// staleRatio is for how long a daemon that is in touch goes on by a plan, or by the list of evacuated
// zones, whose lease lapsed, to the bound on a change of it: that counts from the acknowledgement,
// which comes after the lapse.
const staleRatio = 0.5

// staleRecheckRatio is the time after which a record without a lease is looked at again, to a volume
// lease: a daemon that was cut off may be in touch by then, and is bound again.
const staleRecheckRatio = 0.125

// maxWithdrawal is the share of Bounds.Leave in which a record is withdrawn from all that hold a lease.
func (c Config) maxWithdrawal() time.Duration { return fraction(c.Bounds.Leave, withdrawShare) }

// drainTime is the sum of what may pass until nothing reaches a server that leaves.
func (c Config) drainTime() time.Duration {
	tree := c.LeaseConfig()
	withdrawal := tree.VolumeLease + time.Duration(float64(tree.VolumeLease)*tree.Drift) + tree.Margin
	return withdrawal + fraction(c.Bounds.Leave, pullShare+readShare+staleShare+sendShare)
}

// checkDrainTime finds fault with bounds by which a server would be sent to after its bound.
func (c Config) checkDrainTime(faults *fleetconfig.Faults) {
	if sum := c.drainTime(); sum > c.Bounds.Leave {
		faults.Add("bound_leave: %v: a leaving server would get requests for %v", c.Bounds.Leave, sum)
	}
}

// MaxListAge is how long a list of servers that was withdrawn still says which servers there are:
// as long as its next version may wait for a daemon that doesn't answer. Whether one of them may be
// used is for its own record to say, which is withdrawn beside the list.
//
// Example: c.MaxListAge() == 1650*time.Millisecond for a bound on leaving of 3 s
func (c Config) MaxListAge() time.Duration { return fraction(c.Bounds.Leave, withdrawShare+staleShare) }

// MaxStaleness is how long after its lease lapsed a daemon routes requests by a record. One that is
// cut off goes on for the bound on recovery; one that is in touch, and whose leases are merely late,
// for what the record's own bound leaves.
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

// isCutOff reports whether this daemon may be cut off from a partition's leader, as far as it sees
// itself: it has no session, the core has just changed, or no member leads the partition.
func (d *Daemon) isCutOff(partition int) bool {
	view := d.View()
	if !view.HasSession || d.Now()-d.members.coreChangedAt() < d.Cfg.InTouchAfter/2 {
		return true
	}
	_, isLed := view.Find(view.Leaderships[partition].Leader.Ident)
	return !isLed
}

// maxStaleness is MaxStaleness as this daemon stands now.
func (d *Daemon) maxStaleness(partition int, key string) time.Duration {
	return d.Cfg.MaxStaleness(partition, key, d.isCutOff(partition))
}
