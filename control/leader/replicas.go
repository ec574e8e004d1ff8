package leader

import (
	"slices"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// replicas are those of this partition's group, as known here.
func (c *Controller) replicas() []message.Replica {
	if c.partition.Replica == nil {
		return nil
	}
	return c.partition.Replica.Group().Replicas
}

// reconcileReplicas keeps learners at the control daemons without a replica, and changes the group one
// replica at a time: one whose daemon is lost, or is terminating, is replaced by a learner that is caught
// up. Each partition sees to its own group. It is safe to be wrong about which daemon is lost, since
// a change takes both majorities and a complete copy; it costs the transfer of a copy.
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
		choice.desired, _ = readReplicas(view.Replicas) // what can't be read asks for nothing
	}
	if leaving, joining := choice.next(); joining.Ident != "" {
		out.add(c.finishStep(c.partition.ReplaceReplica(now, leaving, joining)))
	}
}

// logGroup logs a group that is another than the one logged last.
func (c *Controller) logGroup(g message.Group, out *Out) {
	if g.Number == c.loggedGroup {
		return
	}
	c.loggedGroup = g.Number
	out.log("replicas", "partition %d: group %d is %v next %v", c.number, g.Number, g.Replicas, g.Next)
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

// replicaHealth says how the daemons that hold copies are, by their identities; a partition's replica knows.
type replicaHealth interface {
	LearnerReady(now time.Duration, id string) bool     // its copy is caught up, and it answers
	MissedHeartbeats(now time.Duration, id string) bool // it missed some; it may be back soon
	IsLost(now time.Duration, id string) bool           // it answered nothing for so long that it is replaced
	IsTerminating(id string) bool                       // it is ending for good
	MayLeave(now time.Duration, id string) bool         // the group does without it: no other replica is away
}

var _ replicaHealth = (*quorum.Replica)(nil)

// replicaChoice is the choice of the next change of one group.
type replicaChoice struct {
	now            time.Duration
	health         replicaHealth
	group          message.Group
	controlDaemons []message.Member  // in the fleet now
	desired        []message.Replica // what an operator asked for; none: nothing
	self           string            // identity of the leader, whose replica stays
}

// next names the replica that is to leave and the learner that takes its place; none: nothing is
// to be done, or no learner is ready.
func (c replicaChoice) next() (leaving string, joining message.Replica) {
	reasons := []func(message.Replica) bool{c.isSucceeded, c.isLost, c.isMissingBesideTerminating, c.isTerminating}
	for _, mustLeave := range reasons {
		for _, replica := range c.group.Replicas {
			if replica.Ident == c.self || !mustLeave(replica) {
				continue
			}
			if joining = c.learnerFor(replica.Ident); joining.Ident != "" {
				return replica.Ident, joining
			}
		}
	}
	if leaving, joining = c.desiredChange(); joining.Ident != "" {
		return leaving, joining
	}
	return c.spreadOverZones()
}

// isSucceeded tells whether another daemon has come up at a replica's address, so that the
// one that had it is known to be lost.
func (c replicaChoice) isSucceeded(replica message.Replica) bool {
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

// isMissingBesideTerminating tells whether a replica misses heartbeats while another one's daemon is
// terminating: soon two would be away, and the terminating one's disk is whole.
func (c replicaChoice) isMissingBesideTerminating(replica message.Replica) bool {
	return c.health.MissedHeartbeats(c.now, replica.Ident) && c.isAnotherTerminating(replica)
}

func (c replicaChoice) isAnotherTerminating(replica message.Replica) bool {
	return slices.ContainsFunc(c.group.Replicas, func(other message.Replica) bool {
		return other.Ident != replica.Ident && c.health.IsTerminating(other.Ident)
	})
}

// isTerminating tells whether a replica's daemon is terminating, and may leave: a learner is
// kept for one that may be lost, whose disk isn't coming back.
func (c replicaChoice) isTerminating(replica message.Replica) bool {
	return c.health.IsTerminating(replica.Ident) && c.health.MayLeave(c.now, replica.Ident)
}

// replicasByZone counts the replicas of each zone, one left out.
func (c replicaChoice) replicasByZone(leaving string) map[string]int {
	count := map[string]int{}
	for _, m := range c.controlDaemons {
		if m.Ident != leaving && c.group.Has(m.Ident) {
			count[m.Zone]++
		}
	}
	return count
}

// isReadyLearner tells whether a control daemon may take a replica now.
func (c replicaChoice) isReadyLearner(m message.Member) bool {
	return !c.group.Has(m.Ident) && c.health.LearnerReady(c.now, m.Ident)
}

// learnerFor is a ready learner, from the zone with the fewest replicas.
func (c replicaChoice) learnerFor(leaving string) (joining message.Replica) {
	count, zone := c.replicasByZone(leaving), ""
	for _, m := range c.controlDaemons {
		if c.isReadyLearner(m) && (joining.Ident == "" || count[m.Zone] < count[zone]) {
			joining, zone = m.Replica(), m.Zone
		}
	}
	return joining
}

// desiredChange is the change that an operator asked for, if only one is left of it.
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

// spreadOverZones moves a replica out of a zone that has a majority of them, if a
// learner is ready in a zone with two fewer.
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
