package lease

import (
	"sort"
	"time"

	"mulleinmast/wire/message"
)

// SetParent sets the parent. The old one's lease goes on being honoured until the
// new one has confirmed our records.
//
// Example: out := n.SetParent(now, replica)
func (n *Node) SetParent(now time.Duration, p message.Replica) (o Out) {
	if n.root || p.Ident == n.me.Ident || p == n.parent {
		return o
	}
	n.parent, n.pmark = p, message.VolumeEpoch{}
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
	if now-n.sentAt < n.cfg.RenewInterval/16 {
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
		if n.pmark.Ident == n.parent.Ident && w.due(now, n.cfg.RenewInterval) {
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
	o.Sends = append(o.Sends, message.Envelope{Addr: n.parent.Addr, Message: message.Message{Kind: message.KindRenewLease, Partition: n.partition, RequestID: n.no, VolumeEpoch: n.pmark, Keys: keys, Records: n.heldVersions(keys), To: n.parent.Ident, RenewCost: int64(n.cost)}})
}

// unask has everything wanted asked for again: whoever was asked won't say.
func (n *Node) unask() {
	for k, w := range n.want {
		n.want[k] = wanted{first: w.first}
	}
}

func (n *Node) fromParent(now time.Duration, m message.Message, o *Out) {
	if m.VolumeEpoch.Ident != m.From {
		return
	}
	if m.Kind == message.KindRedirect && m.Reason == "return" {
		o.Redirect = m.Hint
		return
	}
	if m.Term != n.epoch {
		return // meant for an earlier life of ours: the granter messages it there
	}
	if m.Kind == message.KindInvalidate {
		// Whoever says so, dropping a record is safe; the number makes a grant
		// that was overtaken by this invalidation come too late.
		n.heard[m.VolumeEpoch] = max(n.heard[m.VolumeEpoch], m.RequestID)
		n.sweep(now, m.Key, &back{replica: message.Replica{Ident: m.From, Addr: m.Addr}, ref: m.ResponseTo, mark: m.VolumeEpoch}, 0, o)
		return
	}
	if n.root || m.From != n.parent.Ident || m.RequestID <= n.heard[m.VolumeEpoch] {
		return
	}
	n.heard[m.VolumeEpoch] = m.RequestID
	n.backAt = now
	switch m.Kind {
	case message.KindReconnect:
		// One at a time: two that overlap would undo one another for ever.
		if n.listAt > 0 && now-n.listAt < n.cfg.RenewInterval/2 {
			return
		}
		n.listAt = now
		n.no++
		n.reqs[n.no] = ask{at: now}
		list := message.Message{Kind: message.KindLeaseList, Partition: n.partition, RequestID: n.no, VolumeEpoch: m.VolumeEpoch, To: n.parent.Ident}
		for key, c := range n.objs {
			if now < c.till {
				list.Records = append(list.Records, message.Record{Key: key, Version: c.rec.Version, Deleted: c.rec.Deleted})
			}
		}
		sort.Slice(list.Records, func(i, j int) bool { return list.Records[i].Key < list.Records[j].Key })
		o.Sends = append(o.Sends, message.Envelope{Addr: n.parent.Addr, Message: list})
	case message.KindReconciled:
		req, ok := n.reqs[m.ResponseTo]
		if !ok {
			return
		}
		delete(n.reqs, m.ResponseTo)
		n.vain = 0
		n.costed(now - req.at)
		keep := map[string]message.Record{}
		for _, r := range m.Records {
			keep[r.Key] = r
		}
		for _, key := range sorted(n.objs) {
			c := n.objs[key]
			if r, ok := keep[key]; ok && r.Version == c.rec.Version && r.Deleted == c.rec.Deleted {
				c.till = req.at + time.Duration(m.ObjectLease)
				n.objs[key] = c
				continue
			}
			n.sweep(now, key, nil, 0, o)
		}
		n.pmark = m.VolumeEpoch
		n.till = req.at + time.Duration(m.Length)
		o.Sends = append(o.Sends, message.Envelope{Addr: n.parent.Addr, Message: message.Message{Kind: message.KindReconnectDone, Partition: n.partition, ResponseTo: m.RequestID, VolumeEpoch: m.VolumeEpoch, To: n.parent.Ident}})
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
	case message.KindGrantLease:
		if m.VolumeEpoch != n.pmark {
			return
		}
		if req, ok := n.reqs[m.ResponseTo]; ok && m.Length > 0 {
			n.till = max(n.till, req.at+time.Duration(m.Length))
			delete(n.reqs, m.ResponseTo)
			n.vain = 0
			n.costed(now - req.at)
		}
		for _, r := range m.Records {
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
			n.objs[r.Key] = cached{rec: rec, till: w.first + time.Duration(m.ObjectLease)}
			n.gen++
			o.Readable = append(o.Readable, r.Key)
			n.serve(now, r.Key, o)
		}
		n.answerChildren(now, o)
	case message.KindDenyLease:
		o.Orphaned = true
	case message.KindRedirect:
		o.Redirect = m.Hint
	}
}
