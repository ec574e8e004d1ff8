package lease

import (
	"time"

	"mulleinmast/wire/message"
)

type back struct {
	replica message.Replica
	ref     uint64
	mark    message.VolumeEpoch
}

type sweep struct {
	key  string
	from time.Duration
	no   uint64                   // acks carry it: one for an earlier sweep doesn't count
	wait map[string]time.Duration // child -> when its invalidation was last sent
	ups  []back
	tags []uint64
}

// Suspend stops serving a record at the root and withdraws it from the tree;
// Out.Invalidated carries the tag when no valid lease on it is left below.
//
// Example: out := n.Suspend(now, "plan/now", 17)
func (n *Node) Suspend(now time.Duration, key string, tag uint64) (o Out) {
	if n.held[key]++; n.root && n.held[key] == 1 {
		n.reach(n.src(key)) // nobody may have asked for it since it was written
		n.retire(now, n.src(key))
	}
	n.gen++
	n.sweep(now, key, nil, tag, &o)
	return o
}

// Resume serves a held record again, in its new version.
//
// Example: out := n.Resume(now, "plan/now")
func (n *Node) Resume(now time.Duration, key string) (o Out) {
	n.gen++
	if n.held[key]--; n.held[key] <= 0 {
		delete(n.held, key)
		n.serve(now, key, &o)
	}
	return o
}

// sweep drops a record here and below: children with a valid volume lease get
// the invalidation and are waited for; lapsed ones go on the unreachable list.
func (n *Node) sweep(now time.Duration, key string, up *back, tag uint64, o *Out) {
	if c, ok := n.objs[key]; ok {
		n.reach(c.rec)
		n.retire(now, c.rec)
		delete(n.objs, key)
		n.gen++
		o.Withdrawn = append(o.Withdrawn, key)
	}
	s := n.sweeps[key]
	if s == nil {
		n.passes++
		s = &sweep{key: key, from: now, no: n.passes, wait: map[string]time.Duration{}}
		for _, id := range sorted(n.kids) {
			k := n.kids[id]
			h, ok := k.objs[key]
			if !ok {
				continue
			}
			delete(k.objs, key)
			if now >= h.till {
				continue
			}
			if now >= k.till {
				k.list()
				continue
			}
			s.wait[id] = now
			n.tell(k, message.Message{Kind: message.KindInvalidate, Key: key, ResponseTo: s.no}, o)
		}
		n.sweeps[key] = s
	}
	if up != nil {
		s.ups = append(s.ups, *up)
	}
	if tag != 0 {
		s.tags = append(s.tags, tag)
	}
	n.swept(now, s, o)
}

func (n *Node) invalidated(now time.Duration, id, key string, ref uint64, o *Out) {
	if s := n.sweeps[key]; s != nil && s.no == ref {
		if _, ok := s.wait[id]; ok {
			delete(s.wait, id)
			n.swept(now, s, o)
		}
	}
}

// swept finishes a sweep that waits for nobody any more.
func (n *Node) swept(now time.Duration, s *sweep, o *Out) {
	if len(s.wait) > 0 {
		return
	}
	delete(n.sweeps, s.key)
	for _, up := range s.ups {
		o.Sends = append(o.Sends, message.Envelope{Addr: up.replica.Addr, Message: message.Message{Kind: message.KindInvalidated, Partition: n.partition, Key: s.key, ResponseTo: up.ref, VolumeEpoch: up.mark, To: up.replica.Ident}})
	}
	o.Invalidated = append(o.Invalidated, s.tags...)
	if !n.root && n.pins[s.key] {
		if _, ok := n.Get(now, s.key); !ok {
			n.fetch(now, s.key)
			n.hurry(now, o)
		}
	}
	n.serve(now, s.key, o)
}
