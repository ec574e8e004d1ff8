package daemon

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"mulleinmast/control/fleetconfig"
)

// readiness is what this daemon found of itself last, and whether it is to stop.
// ready, lastReady and everReady are written by the membership loop; supersede and
// Leave take ready back.
type readiness struct {
	ready     atomic.Bool  // it was at the loop's last look
	everReady atomic.Bool  // since the start
	lastReady atomic.Int64 // when it was last, by the daemon's clock; 0: never
	stopping  atomic.Bool  // it was asked to stop
	stopFrom  atomic.Int64 // when it was, by the daemon's clock

	stage replicaStage // the furthest that its replicas came; the membership loop alone uses it
}

// wasReadyWithin reports whether it was ready not longer ago than a time, and isn't
// stopping.
func (r *readiness) wasReadyWithin(now, limit time.Duration) bool {
	last := time.Duration(r.lastReady.Load())
	return last > 0 && !r.stopping.Load() && now-last < limit
}

// Ready reports whether the daemon serves and isn't stopping, or did within a volume
// lease: each change withdraws the configuration for some tens of ms, in which
// requests wait for it, and hundreds of changes in a row make no daemon unready.
//
// Example: if d.Ready() { respond(200) }
func (d *Daemon) Ready() bool {
	return d.isReady() || d.readiness.wasReadyWithin(d.Now(), d.Cfg.VolumeLease())
}

// isReady reports whether the daemon was found ready and can serve at this moment.
func (d *Daemon) isReady() bool { return d.readiness.ready.Load() && d.canServe() }

// isReadyToMembers reports whether the session table is to show this daemon as ready:
// a dip as short as a change of configuration makes is not worth a change there.
func (d *Daemon) isReadyToMembers() bool {
	if d.readiness.ready.Load() {
		d.readiness.lastReady.Store(int64(d.Now()))
		return true
	}
	return d.readiness.wasReadyWithin(d.Now(), d.Cfg.MembershipConfig().SessionTimeout)
}

// canServe reports whether requests can be routed by the configuration here.
func (d *Daemon) canServe() bool {
	if d.readiness.stopping.Load() || d.WhySuperseded() != "" {
		return false
	}
	_, hasPlan := d.ReadAllowingStale(0, fleetconfig.PlanKey)
	_, hasZones := d.ReadAllowingStale(0, fleetconfig.ZoneKey)
	return hasPlan && hasZones
}

// updateReadiness looks whether the daemon can serve and logs a change; the first
// time that it can is written out.
func (d *Daemon) updateReadiness() {
	ready := d.canServe()
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

// whyNotReady says for operators what keeps the daemon from being ready.
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
	if reason := d.whyNoMajority(); reason != "" {
		return reason
	}
	if n, err := d.unreadableRecords(); n > 0 {
		return fmt.Sprintf("%d records can't be read by this build; the log names them, one is: %v", n, err)
	}
	return "no valid leases on the configuration"
}

// whyNoMajority names the first partition that too few of its group's daemons are
// members for.
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
