package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

// Found makes the first group of a fleet; only a replica without a group takes it.
//
// Example: out := s.Found(now, message.Group{Num: 1, Replicas: three})
func (s *Replica) Found(now time.Duration, g message.Group) (o Out) {
	if s.meta.Group.Num == 0 && g.Has(s.me.Ident) {
		s.join(now, g)
		s.save(&o, nil, nil)
		// Tell the others of the group, so that each stands for the partitions where
		// it comes first and the leaderships are spread from the start.
		for _, replica := range g.Replicas {
			if replica.Ident != s.me.Ident {
				o.send(replica, message.Message{Kind: message.Ask, Op: probe, Partition: s.partition, Group: g})
			}
		}
	}
	return o
}

func (s *Replica) join(now time.Duration, g message.Group) {
	first := s.meta.Group.Num == 0
	s.meta.Group = g
	if first {
		s.next = max(s.next, now+s.delay())
	}
}

// Regroup moves the leader's group one step towards the wanted replicas: first
// one replica changes under a majority of both groups, then the old group goes.
// It returns false while a step is under way or nothing is to be done.
//
// Example: out, ok := s.Regroup(now, tag, wanted)
func (s *Replica) Regroup(now time.Duration, tag uint64, want []message.Replica) (o Out, ok bool) {
	if !s.Leader(now) || len(s.writes) > 0 {
		return o, false
	}
	g := s.meta.Group
	if len(g.Next) > 0 {
		if s.under != g.Num { // a majority of the next must support the lease first
			return o, false
		}
		for _, replica := range g.Next {
			if !s.filled[replica.Ident] {
				return o, false
			}
		}
		g = message.Group{Num: g.Num + 1, Replicas: g.Next}
	} else {
		out, in := -1, message.Replica{}
		for i, replica := range g.Replicas {
			if !has(want, replica.Ident) {
				out = i
			}
		}
		for _, replica := range want {
			if !g.Has(replica.Ident) {
				in = replica
			}
		}
		if out < 0 || in.Ident == "" {
			return o, false
		}
		next := append([]message.Replica(nil), g.Replicas...)
		next[out] = in
		g = message.Group{Num: g.Num + 1, Replicas: g.Replicas, Next: next}
	}
	for _, replica := range g.All() {
		if !s.meta.Group.Has(replica.Ident) { // it may have been a member under this term: it missed what was written since
			delete(s.filled, replica.Ident)
			s.whole[replica.Ident] = s.fills + 1
		}
	}
	s.meta.Group = g
	s.save(&o, nil, nil)
	s.beat(now, &o)
	for _, replica := range g.All() {
		if !s.filled[replica.Ident] {
			s.sendFill(now, replica, nil, &o)
		}
	}
	s.commit(now, tag, nil, &o)
	if !g.Has(s.me.Ident) { // what is written from now on would not reach the copy that we read from
		s.drop(&o)
	}
	return o, true
}

func has(list []message.Replica, id string) bool { return message.Group{Replicas: list}.Has(id) }
