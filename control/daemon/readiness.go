package daemon

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"mulleinmast/control/fleetconfig"
)

// readiness is the daemon's last known readiness and whether it was asked to stop. The membership
// loop writes ready, lastReady and everReady; supersede and Leave clear ready.
type readiness struct {
	ready           atomic.Bool  // as of the membership loop's last check
	everReady       atomic.Bool  // at any time since the start
	lastReady       atomic.Int64 // by the daemon's clock; 0 if never
	stopping        atomic.Bool  // a stop was requested
	stopRequestedAt atomic.Int64 // by the daemon's clock

	waitLoggedAt time.Duration // when logWaiting last logged; used only by the membership loop
	stage        replicaStage  // highest stage reached by the replicas; used only by the membership loop
}

// wasReadyWithin reports whether the daemon was ready less than limit ago and isn't stopping.
func (r *readiness) wasReadyWithin(now, limit time.Duration) bool {
	last := time.Duration(r.lastReady.Load())
	return last > 0 && !r.stopping.Load() && now-last < limit
}

// Ready reports whether the daemon can serve now, or could serve at some time within the last volume
// lease and isn't stopping. Each change withdraws the configuration for some tens of ms, and requests
// wait for this time. Even hundreds of consecutive changes therefore don't make a daemon unready.
//
// Example: if d.Ready() { respond(200) }
func (d *Daemon) Ready() bool {
	return d.isReady() || d.readiness.wasReadyWithin(d.Now(), d.Cfg.VolumeLease())
}

// isReady reports whether the daemon was ready at the last check and can serve now. Unlike
// Ready, it doesn't tolerate short interruptions.
func (d *Daemon) isReady() bool { return d.readiness.ready.Load() && d.canServe() }

// isReadyToMembers reports whether the session table shows this daemon as ready. It ignores
// interruptions shorter than a session timeout, such as those of configuration changes, because
// they aren't worth a table update.
func (d *Daemon) isReadyToMembers() bool {
	if d.readiness.ready.Load() {
		d.readiness.lastReady.Store(int64(d.Now()))
		return true
	}
	return d.readiness.wasReadyWithin(d.Now(), d.Cfg.MembershipConfig().SessionTimeout)
}

// canServe reports whether this daemon can read the configuration that it needs to route requests,
// and is neither stopping nor superseded.
func (d *Daemon) canServe() bool {
	if d.readiness.stopping.Load() || d.WhySuperseded() != "" {
		return false
	}
	_, hasPlan := d.ReadAllowingStale(0, fleetconfig.PlanKey)
	_, hasZones := d.ReadAllowingStale(0, fleetconfig.ZoneKey)
	return hasPlan && hasZones
}

// updateReadiness checks whether the daemon can serve and logs changes; the first time that it
// becomes ready is logged at level info.
func (d *Daemon) updateReadiness() {
	ready := d.canServe()
	d.logWaiting(d.Now())
	if d.readiness.ready.Swap(ready) == ready {
		return
	}
	switch {
	case !ready:
		d.Events.Debug("ready", "no longer ready", "reason", d.whyNotReady())
	case d.readiness.everReady.Swap(true):
		d.Events.Debug("ready", "ready again")
	default:
		d.Events.Info("ready", "ready", "after", d.Now().Round(time.Millisecond))
	}
}

// logWaiting logs at level info why the daemon isn't ready, once it has not been ready for the recovery
// bound after its start, and again after each further one.
func (d *Daemon) logWaiting(now time.Duration) {
	bound := d.Cfg.Bounds.Recover
	if d.readiness.everReady.Load() || now-d.readiness.waitLoggedAt < bound {
		return
	}
	d.readiness.waitLoggedAt = now
	d.Events.Info("ready", "not ready since the start", "after", now.Round(time.Millisecond), "reason", d.whyNotReady())
}

// whyNotReady returns the reason why the daemon isn't ready, for operators.
func (d *Daemon) whyNotReady() string {
	if reason := d.WhySuperseded(); reason != "" {
		return "the state in " + d.Cfg.DataFolder + " is superseded: " + reason
	}
	if d.readiness.stopping.Load() {
		return "stopping"
	}
	if !d.View().HasSession {
		return "no session with a control daemon; asked at the seeds " + strings.Join(d.Cfg.Seeds, ", ")
	}
	if reason := d.members.whyNoGroup(); reason != "" {
		return reason
	}
	if reason := d.whyNoMajority(); reason != "" {
		return reason
	}
	if n, err := d.unreadableRecords(); n > 0 {
		return fmt.Sprintf("%d records can't be read by this build; the log names them, one is: %v", n, err)
	}
	return "no valid leases on the configuration"
}

// whyNoMajority describes the first partition whose group lacks a majority, because too few of the
// group's daemons are members of the fleet. It returns "" if there is no such partition.
func (d *Daemon) whyNoMajority() string {
	for _, s := range d.shards {
		group, present := s.group(), 0
		isPresent := func(ident string) bool {
			_, ok := d.View().Find(ident)
			if ok {
				present++
			}
			return ok
		}
		if group.Number > 0 && !group.HasQuorum(isPresent) {
			return fmt.Sprintf("partition %d: %d of its group's %d disks are here, a majority is needed; "+
				"bring the others back, or restore their folders from a back-up", s.partition, present, len(group.All()))
		}
	}
	return ""
}
