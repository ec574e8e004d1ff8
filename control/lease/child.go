package lease

import (
	"sort"
	"time"

	"mulleinmast/wire/message"
)

// Adopt sets the parent. The old one's lease goes on being honoured until the
// new one has confirmed our records.
//
// Example: out := n.Adopt(now, replica)
func (n *Node) Adopt(now time.Duration, p message.Replica) (o Out) {
	if n.root || p.Ident == n.me.Ident || p == n.parent {
		return o
	}
	n.parent, n.pmark = p, message.Mark{}
	n.reqs, n.listAt = map[uint64]ask{}, 0
	n.backAt, n.stale = now, true
	n.unask()
	if p.Ident != "" {
		n.renew(now, &o)
	}
	return o
}

func (n *Node) fetch(now time.Duration, key string) {
	if _, ok := n.want[key]; !ok {
		n.want[key] = wanted{first: now}
	}
}

// hurry asks for what is wanted at once, but for what comes in a row only
// once, a little later: each renewal is a message up and a message down.
func (n *Node) hurry(now time.Duration, o *Out) {
	if now-n.sentAt < n.cfg.Beat/16 {
		n.late = true
		return
	}
	n.renew(now, o)
}

// renew asks the parent for the volume lease, and for what is wanted and was
// not asked for just now.
func (n *Node) renew(now time.Duration, o *Out) {
	n.late = false
	if n.root || n.parent.Ident == "" {
		return
	}
	n.no++
	var keys []string
	for k, w := range n.want {
		// A parent that doesn't know us yet has us reconnect and looks at no key.
		if n.pmark.Ident == n.parent.Ident && w.due(now, n.cfg.Beat) {
			keys = append(keys, k)
			n.want[k] = wanted{first: w.first, last: now, asks: w.asks + 1}
		}
	}
	sort.Strings(keys)
	n.reqs[n.no] = ask{at: now}
	if len(n.reqs) > 16 {
		for r := range n.reqs {
			if r+12 < n.no {
				delete(n.reqs, r)
			}
		}
	}
	if n.sentAt = now; n.vain == 0 {
		n.vain = now
	}
	o.Sends = append(o.Sends, message.Send{Addr: n.parent.Addr, Message: message.Message{Kind: message.Renew, Partition: n.partition, No: n.no, Mark: n.pmark, Keys: keys, Recs: n.heldVersions(keys), To: n.parent.Ident, Cost: int64(n.cost)}})
}

// unask has everything wanted asked for again: whoever was asked won't say.
func (n *Node) unask() {
	for k, w := range n.want {
		n.want[k] = wanted{first: w.first}
	}
}

func (n *Node) fromParent(now time.Duration, m message.Message, o *Out) {
	if m.Mark.Ident != m.From {
		return
	}
	if m.Kind == message.Steer && m.Why == "return" {
		o.Steer = m.Hint
		return
	}
	if m.Num != n.epoch {
		return // meant for an earlier life of ours: the granter messages it there
	}
	if m.Kind == message.Invalidate {
		// Whoever says so, dropping a record is safe; the number makes a grant
		// that was overtaken by this invalidation come too late.
		n.heard[m.Mark] = max(n.heard[m.Mark], m.No)
		n.sweep(now, m.Key, &back{replica: message.Replica{Ident: m.From, Addr: m.Addr}, ref: m.Ref, mark: m.Mark}, 0, o)
		return
	}
	if n.root || m.From != n.parent.Ident || m.No <= n.heard[m.Mark] {
		return
	}
	n.heard[m.Mark] = m.No
	n.backAt = now
	switch m.Kind {
	case message.Reconnect:
		// One at a time: two that overlap would undo one another for ever.
		if n.listAt > 0 && now-n.listAt < n.cfg.Beat/2 {
			return
		}
		n.listAt = now
		n.no++
		n.reqs[n.no] = ask{at: now}
		list := message.Message{Kind: message.Listing, Partition: n.partition, No: n.no, Mark: m.Mark, To: n.parent.Ident}
		for key, c := range n.objs {
			if now < c.till {
				list.Recs = append(list.Recs, message.Rec{Key: key, Ver: c.rec.Ver, Dead: c.rec.Dead})
			}
		}
		sort.Slice(list.Recs, func(i, j int) bool { return list.Recs[i].Key < list.Recs[j].Key })
		o.Sends = append(o.Sends, message.Send{Addr: n.parent.Addr, Message: list})
	case message.Synced:
		req, ok := n.reqs[m.Ref]
		if !ok {
			return
		}
		delete(n.reqs, m.Ref)
		n.vain = 0
		n.costed(now - req.at)
		keep := map[string]message.Rec{}
		for _, r := range m.Recs {
			keep[r.Key] = r
		}
		for _, key := range sorted(n.objs) {
			c := n.objs[key]
			if r, ok := keep[key]; ok && r.Ver == c.rec.Ver && r.Dead == c.rec.Dead {
				c.till = req.at + time.Duration(m.Long)
				n.objs[key] = c
				continue
			}
			n.sweep(now, key, nil, 0, o)
		}
		n.pmark = m.Mark
		n.till = req.at + time.Duration(m.Len)
		o.Sends = append(o.Sends, message.Send{Addr: n.parent.Addr, Message: message.Message{Kind: message.Connect, Partition: n.partition, Ref: m.No, Mark: m.Mark, To: n.parent.Ident}})
		for key := range n.pins {
			if _, ok := n.Get(now, key); !ok {
				n.fetch(now, key)
			}
		}
		n.unask()
		if len(n.want) > 0 {
			n.renew(now, o)
		}
		n.answerChildren(now, o)
	case message.Grant:
		if m.Mark != n.pmark {
			return
		}
		if req, ok := n.reqs[m.Ref]; ok && m.Len > 0 {
			n.till = max(n.till, req.at+time.Duration(m.Len))
			delete(n.reqs, m.Ref)
			n.vain = 0
			n.costed(now - req.at)
		}
		for _, r := range m.Recs {
			w, ok := n.want[r.Key]
			if !ok || n.sweeps[r.Key] != nil {
				continue
			}
			rec, whole := n.received(now, r)
			if !whole { // it is asked for once more, without a base
				n.want[r.Key] = wanted{first: w.first}
				n.late = true
				continue
			}
			delete(n.want, r.Key)
			n.objs[r.Key] = cached{rec: rec, till: w.first + time.Duration(m.Long)}
			n.gen++
			o.Fresh = append(o.Fresh, r.Key)
			n.serve(now, r.Key, o)
		}
		n.answerChildren(now, o)
	case message.Deny:
		o.Orphan = true
	case message.Steer:
		o.Steer = m.Hint
	}
}
