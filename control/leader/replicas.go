package leader

import (
	"slices"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// replicas returns the replicas of this partition's group, as known to this daemon.
func (c *Controller) replicas() []message.Replica {
	if c.partition.Replica == nil {
		return nil
	}
	return c.partition.Replica.Group().Replicas
}

// reconcileReplicas keeps learners on the control daemons without a replica, and changes the group one
// replica at a time: a replica whose daemon is lost or terminating is replaced by a learner that has caught
// up. Each partition manages its own group. Treating a running daemon as lost is safe, since a change
// requires majorities of the old and the new group and a complete copy; the only cost is the transfer of a copy.
func (c *Controller) reconcileReplicas(now time.Duration, view ClusterView, out *Out) {
	group := c.partition.Replica.Group()
	c.logGroup(group, out)
	out.add(c.finishStep(c.partition.SetLearners(now, learners(view.ControlDaemons, group))))
	if len(group.Next) > 0 {
		out.add(c.finishStep(c.partition.ContinueChange(now)))
		return
	}
	choice := replicaChoice{
		now: now, health: c.partition.Replica, group: group, controlDaemons: view.ControlDaemons, self: c.self.Ident,
	}
	if view.ReplicasValid {
		choice.desired, _ = readReplicas(view.Replicas) // an unreadable record requests nothing
	}
	if leaving, joining := choice.nextChange(); joining.Ident != "" {
		out.add(c.finishStep(c.partition.ReplaceReplica(now, leaving, joining)))
	}
}

// logGroup logs the group if it differs from the last one logged.
func (c *Controller) logGroup(g message.Group, out *Out) {
	if g.Number == c.loggedGroup {
		return
	}
	c.loggedGroup = g.Number
	out.log("replicas", "partition %d: group %d: replicas %v, next %v", c.partitionNumber, g.Number, g.Replicas, g.Next)
}

// learners lists the control daemons without a replica.
func learners(controlDaemons []message.Member, g message.Group) (out []message.Replica) {
	for _, m := range controlDaemons {
		if !g.Has(m.Ident) {
			out = append(out, m.Replica())
		}
	}
	return out
}

// replicaHealth reports the health of the daemons that hold copies, by identity. The partition's own replica
// implements it.
type replicaHealth interface {
	LearnerReady(now time.Duration, id string) bool     // its copy has caught up, and it responds
	MissedHeartbeats(now time.Duration, id string) bool // it missed some, but may be back soon
	IsLost(now time.Duration, id string) bool           // it hasn't responded for so long that it is replaced
	IsTerminating(id string) bool                       // it is shutting down permanently
	MayLeave(now time.Duration, id string) bool         // no other replica is away, so the group can do without it
}

var _ replicaHealth = (*quorum.Replica)(nil)

// replicaChoice chooses the next change to one group.
type replicaChoice struct {
	now            time.Duration
	health         replicaHealth
	group          message.Group
	controlDaemons []message.Member  // currently in the fleet
	desired        []message.Replica // requested by an operator; empty if none
	self           string            // identity of the leader, whose replica is never replaced
}

// nextChange returns the replica to remove and the learner that replaces it. joining is empty if no change is
// needed or no learner is ready.
func (c replicaChoice) nextChange() (leaving string, joining message.Replica) {
	reasons := []func(message.Replica) bool{
		c.isReplacedAtAddress, c.isLost, c.isMissingWhileAnotherTerminates, c.isTerminating,
	}
	for _, mustLeave := range reasons {
		for _, replica := range c.group.Replicas {
			if replica.Ident == c.self || !mustLeave(replica) {
				continue
			}
			if joining = c.replacementFor(replica.Ident); joining.Ident != "" {
				return replica.Ident, joining
			}
		}
	}
	if leaving, joining = c.desiredChange(); joining.Ident != "" {
		return leaving, joining
	}
	return c.spreadOverZones()
}

// isReplacedAtAddress reports whether another daemon now runs at a replica's address, which means
// that the replica's daemon is lost.
func (c replicaChoice) isReplacedAtAddress(replica message.Replica) bool {
	if !c.health.MissedHeartbeats(c.now, replica.Ident) || c.isControlDaemon(replica.Ident) {
		return false
	}
	return slices.ContainsFunc(c.controlDaemons, func(m message.Member) bool { return m.Addr == replica.Addr })
}

func (c replicaChoice) isControlDaemon(ident string) bool {
	return slices.ContainsFunc(c.controlDaemons, func(m message.Member) bool { return m.Ident == ident })
}

func (c replicaChoice) isLost(replica message.Replica) bool {
	return c.health.IsLost(c.now, replica.Ident)
}

// isMissingWhileAnotherTerminates reports whether a replica misses heartbeats while another replica's daemon is
// terminating. The replica that misses heartbeats is then replaced first: otherwise two replicas would soon be
// away, and the terminating daemon's disk is intact.
func (c replicaChoice) isMissingWhileAnotherTerminates(replica message.Replica) bool {
	return c.health.MissedHeartbeats(c.now, replica.Ident) && c.isAnotherTerminating(replica)
}

func (c replicaChoice) isAnotherTerminating(replica message.Replica) bool {
	return slices.ContainsFunc(c.group.Replicas, func(other message.Replica) bool {
		return other.Ident != replica.Ident && c.health.IsTerminating(other.Ident)
	})
}

// isTerminating reports whether a replica's daemon is terminating and may leave. While another replica may be
// lost, learners are reserved to replace that replica, since its disk won't come back.
func (c replicaChoice) isTerminating(replica message.Replica) bool {
	return c.health.IsTerminating(replica.Ident) && c.health.MayLeave(c.now, replica.Ident)
}

// replicasByZone counts the replicas in each zone, without the leaving one.
func (c replicaChoice) replicasByZone(leaving string) map[string]int {
	count := map[string]int{}
	for _, m := range c.controlDaemons {
		if m.Ident != leaving && c.group.Has(m.Ident) {
			count[m.Zone]++
		}
	}
	return count
}

// isReadyLearner reports whether a control daemon is ready to take over a replica.
func (c replicaChoice) isReadyLearner(m message.Member) bool {
	return !c.group.Has(m.Ident) && c.health.LearnerReady(c.now, m.Ident)
}

// replacementFor returns a ready learner from the zone with the fewest replicas, or none.
func (c replicaChoice) replacementFor(leaving string) (joining message.Replica) {
	count, zone := c.replicasByZone(leaving), ""
	for _, m := range c.controlDaemons {
		if c.isReadyLearner(m) && (joining.Ident == "" || count[m.Zone] < count[zone]) {
			joining, zone = m.Replica(), m.Zone
		}
	}
	return joining
}

// desiredChange returns the change that an operator requested, if exactly one replica remains to be changed.
func (c replicaChoice) desiredChange() (leaving string, joining message.Replica) {
	for _, replica := range c.desired {
		if c.group.Has(replica.Ident) {
			continue
		}
		if joining.Ident != "" || !c.health.LearnerReady(c.now, replica.Ident) {
			return "", message.Replica{}
		}
		joining = replica
	}
	for _, replica := range c.group.Replicas {
		if !isReplica(c.desired, replica.Ident) && replica.Ident != c.self {
			return replica.Ident, joining
		}
	}
	return "", message.Replica{}
}

// spreadOverZones moves a replica out of a zone that holds a majority, if a learner
// is ready in a zone with at least two replicas fewer.
func (c replicaChoice) spreadOverZones() (leaving string, joining message.Replica) {
	count := c.replicasByZone("")
	for _, m := range c.controlDaemons {
		if m.Ident == c.self || !c.group.Has(m.Ident) || 2*count[m.Zone] <= len(c.group.Replicas) {
			continue
		}
		for _, other := range c.controlDaemons {
			if c.isReadyLearner(other) && count[other.Zone]+2 <= count[m.Zone] {
				return m.Ident, other.Replica()
			}
		}
	}
	return "", message.Replica{}
}
