package leader

import (
	"slices"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// replicas are those of this partition's group, as known here.
func (m *Controller) replicas() []message.Replica {
	if m.sec.Replica == nil {
		return nil
	}
	return m.sec.Replica.Group().Replicas
}

// regroup keeps copies at the standbys and moves the group one step at a time:
// a replica whose daemon is gone, or was told to end, goes to a standby that holds
// a copy. Each partition sees to its own group. It is safe to be wrong about who is
// gone, since a step takes both majorities and a whole copy; it costs a copy.
func (m *Controller) regroup(now time.Duration, s ClusterView, o *Out) {
	replica := m.sec.Replica
	g := replica.Group()
	if g.Number != m.group {
		m.group = g.Number
		o.say("replicas", "partition %d: group %d is %v next %v", m.partition, g.Number, g.Replicas, g.Next)
	}
	o.add(m.wrap(m.sec.SetLearners(now, standbys(s.ControlDaemons, g))))
	if len(g.Next) > 0 {
		o.add(m.wrap(m.sec.ContinueChange(now)))
		return
	}
	c := change{now: now, replica: replica, group: g, core: s.ControlDaemons, me: m.me.Ident}
	if s.ReplicasValid {
		c.wanted, _ = readReplicas(s.Replicas) // what can't be read is no wish
	}
	if out, in := c.pick(); in.Ident != "" {
		o.add(m.wrap(m.sec.ReplaceReplica(now, out, in)))
	}
}

// standbys lists the core daemons without a replica.
func standbys(core []message.Member, g message.Group) (out []message.Replica) {
	for _, m := range core {
		if !g.Has(m.Ident) {
			out = append(out, m.Replica())
		}
	}
	return out
}

// copies tells how the daemons that hold copies are; a partition's replica knows.
type copies interface {
	LearnerReady(now time.Duration, id string) bool
	MissedHeartbeats(now time.Duration, id string) bool
	IsLost(now time.Duration, id string) bool
	IsTerminating(id string) bool
	MayLeave(now time.Duration, id string) bool
}

var _ copies = (*quorum.Replica)(nil)

// change is the choice of the next step of one group.
type change struct {
	now     time.Duration
	replica copies
	group   message.Group
	core    []message.Member
	wanted  []message.Replica // what an operator asked for; none: nothing
	me      string
}

// pick names the replica that is to go and the standby for it; none: nothing is
// to be done, or no standby is at hand.
func (c change) pick() (out string, in message.Replica) {
	for _, vacant := range []func(message.Replica) bool{c.dead, c.gone, c.missed, c.parting} {
		for _, s := range c.group.Replicas {
			if s.Ident != c.me && vacant(s) {
				if in = c.standby(s.Ident); in.Ident != "" {
					return s.Ident, in
				}
			}
		}
	}
	if out, in = c.asked(); in.Ident != "" {
		return out, in
	}
	return c.spread()
}

// dead tells whether another daemon has come at a replica's address, so that the
// one that had it is known to be gone.
func (c change) dead(s message.Replica) bool {
	if !c.replica.MissedHeartbeats(c.now, s.Ident) || slices.ContainsFunc(c.core, func(m message.Member) bool { return m.Ident == s.Ident }) {
		return false
	}
	return slices.ContainsFunc(c.core, func(m message.Member) bool { return m.Addr == s.Addr })
}

func (c change) gone(s message.Replica) bool { return c.replica.IsLost(c.now, s.Ident) }

// missed tells whether a replica is missing while another one's daemon was told to
// end: soon two would be away, and the one that ends has a disk that is whole.
func (c change) missed(s message.Replica) bool {
	return c.replica.MissedHeartbeats(c.now, s.Ident) && c.another(s, func(o message.Replica) bool { return c.replica.IsTerminating(o.Ident) })
}

// parting tells whether a replica's daemon was told to end, and it can be spared: a
// standby is kept for one that may be gone, whose disk isn't coming back.
func (c change) parting(s message.Replica) bool {
	return c.replica.IsTerminating(s.Ident) && c.replica.MayLeave(c.now, s.Ident)
}

// another tells whether something is true of another replica of the group.
func (c change) another(than message.Replica, is func(message.Replica) bool) bool {
	return slices.ContainsFunc(c.group.Replicas, func(o message.Replica) bool { return o.Ident != than.Ident && is(o) })
}

// taken counts the replicas of each zone, one left out.
func (c change) taken(out string) map[string]int {
	n := map[string]int{}
	for _, m := range c.core {
		if m.Ident != out && c.group.Has(m.Ident) {
			n[m.Zone]++
		}
	}
	return n
}

// standby is one that is at hand, from the zone with the fewest replicas.
func (c change) standby(out string) (in message.Replica) {
	taken, zone := c.taken(out), ""
	for _, m := range c.core {
		if !c.group.Has(m.Ident) && c.replica.LearnerReady(c.now, m.Ident) && (in.Ident == "" || taken[m.Zone] < taken[zone]) {
			in, zone = m.Replica(), m.Zone
		}
	}
	return in
}

// asked is the step that an operator asked for, if just that is left of it.
func (c change) asked() (out string, in message.Replica) {
	wanted := message.Group{Replicas: c.wanted}
	for _, s := range c.wanted {
		if c.group.Has(s.Ident) {
			continue
		}
		if in.Ident != "" || !c.replica.LearnerReady(c.now, s.Ident) {
			return "", message.Replica{}
		}
		in = s
	}
	for _, s := range c.group.Replicas {
		if !wanted.Has(s.Ident) && s.Ident != c.me {
			return s.Ident, in
		}
	}
	return "", message.Replica{}
}

// spread moves a replica out of a zone that has a majority of them, if there is a
// standby in a zone with two fewer.
func (c change) spread() (out string, in message.Replica) {
	taken := c.taken("")
	for _, m := range c.core {
		if m.Ident == c.me || !c.group.Has(m.Ident) || 2*taken[m.Zone] <= len(c.group.Replicas) {
			continue
		}
		for _, next := range c.core {
			if !c.group.Has(next.Ident) && c.replica.LearnerReady(c.now, next.Ident) && taken[next.Zone]+2 <= taken[m.Zone] {
				return m.Ident, next.Replica()
			}
		}
	}
	return "", message.Replica{}
}
