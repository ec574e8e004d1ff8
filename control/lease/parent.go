package lease

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

type kid struct {
	id      string // identity and epoch: a child that started anew is another child
	replica message.Replica
	epoch   uint64
	till    time.Duration
	objs    map[string]hold
	listed  bool   // on the unreachable list
	known   bool   // went through reconnect since we know it
	sync    uint64 // number of the Synced whose Connect clears the list
	ask     *message.Message
	askAt   time.Duration
	cost    time.Duration
	seen    time.Duration
}

// list puts a child on the unreachable list; only a Connect for a later Synced
// takes it off.
func (k *kid) list() { k.listed, k.sync = true, 0 }

func (n *Node) tell(k *kid, msg message.Message, o *Out) {
	n.out++
	msg.Partition, msg.RequestID, msg.Term, msg.VolumeEpoch, msg.To = n.partition, n.out, k.epoch, n.VolumeEpoch(), k.replica.Ident
	o.Sends = append(o.Sends, message.Envelope{Addr: k.replica.Addr, Message: msg})
}

// kidID tells one life of a child from another: a relay that starts anew can't
// answer for what it granted before, so its old life's lease is waited out.
func kidID(m message.Message) string { return fmt.Sprintf("%s#%d", m.From, m.Epoch) }

func (n *Node) child(m message.Message) *kid {
	id := kidID(m)
	k := n.kids[id]
	if k == nil {
		k = &kid{id: id, epoch: m.Epoch, objs: map[string]hold{}}
		n.kids[id] = k
	}
	k.replica = message.Replica{Ident: m.From, Addr: m.Addr}
	return k
}

func (n *Node) renewed(now time.Duration, m message.Message, o *Out) {
	k := n.child(m)
	k.seen, k.cost = now, time.Duration(m.RenewCost)
	n.counted(now, k, n.HasVolumeLease(now) && n.holds(now, m.Keys))
	if !n.HasVolumeLease(now) {
		if n.root || n.parent.Ident == "" || n.parent.Ident == m.From {
			n.tell(k, message.Message{Kind: message.KindDenyLease, ResponseTo: m.RequestID, Reason: "no lease"}, o)
			return
		}
		if k.ask == nil {
			k.askAt = now
		}
		k.ask = &m
		if now-n.sentAt > n.cfg.RenewInterval/2 {
			n.renew(now, o)
		}
		return
	}
	k.ask = nil
	for _, key := range sorted(n.sweeps) {
		s := n.sweeps[key]
		if _, ok := s.wait[k.id]; ok {
			// Not renewed while it owes us an invalidation; told again only if the first
			// may be lost, since its acknowledgement may just have been overtaken.
			if now-s.wait[k.id] < n.cfg.RenewInterval/4 {
				continue
			}
			s.wait[k.id] = now
			n.tell(k, message.Message{Kind: message.KindInvalidate, Key: key, ResponseTo: s.no}, o)
		}
	}
	// Who owes an invalidation is renewed for a little while longer: a relay that waits
	// for a child which is gone would else lose its whole zone's leases. The
	// bound keeps a write from waiting for ever.
	if n.owesSince(k.id, now) > n.cfg.VolumeLease/2 {
		return
	}
	if !k.known || k.listed || m.VolumeEpoch != n.VolumeEpoch() {
		n.tell(k, message.Message{Kind: message.KindReconnect, ResponseTo: m.RequestID}, o)
		return
	}
	n.grant(now, k, m.RequestID, m.Keys, m.Records, true, o)
}

func (n *Node) holds(now time.Duration, keys []string) bool {
	for _, key := range keys {
		if _, ok := n.Get(now, key); !ok {
			return false
		}
	}
	return true
}

// owesSince is how long a child has owed an invalidation, 0 if it owes none.
func (n *Node) owesSince(id string, now time.Duration) (d time.Duration) {
	for _, s := range n.sweeps {
		if _, ok := s.wait[id]; ok {
			d = max(d, now-s.from)
		}
	}
	return d
}

func (n *Node) owes(id string) bool {
	for _, s := range n.sweeps {
		if _, ok := s.wait[id]; ok {
			return true
		}
	}
	return false
}

// volLen is the longest volume lease that may be granted now.
func (n *Node) volLen(now time.Duration) time.Duration {
	return max(0, min(n.cfg.VolumeLease, n.VolumeExpiry()-now))
}

// grant sends what is held; what is not is asked for and sent when it comes.
// holds are the versions that the child can take a change from.
func (n *Node) grant(now time.Duration, k *kid, ref uint64, keys []string, holds []message.Record, vol bool, o *Out) {
	g := message.Message{Kind: message.KindGrantLease, ResponseTo: ref}
	if vol {
		d := n.volLen(now)
		withinOwn.Hold(d == 0 || now+d <= n.VolumeExpiry(), "partition %d: %v are granted, and the own lease ends in %v", n.partition, d, n.VolumeExpiry()-now)
		g.Length = int64(d)
		k.till = max(k.till, now+n.cfg.wait(d))
	}
	for _, key := range keys {
		var holding message.Version
		if i := slices.IndexFunc(holds, func(r message.Record) bool { return r.Key == key }); i >= 0 {
			holding = holds[i].Version
		}
		rec, ok := n.Get(now, key)
		if s := n.sweeps[key]; !ok || s != nil {
			n.need(now, key, k.id, holding, o)
			continue
		}
		g.Records = append(g.Records, n.sent(rec, holding))
		k.objs[key] = hold{ver: rec.Version, till: now + n.cfg.wait(n.cfg.ObjectLease)}
	}
	if len(g.Records) > 0 {
		g.ObjectLease = int64(n.cfg.ObjectLease)
	}
	if vol || len(g.Records) > 0 {
		n.tell(k, g, o)
	}
}

func (n *Node) need(now time.Duration, key, id string, holds message.Version, o *Out) {
	if n.needs[key] == nil {
		n.needs[key] = map[string]message.Version{}
	}
	n.needs[key][id] = holds
	if !n.root {
		if _, asked := n.want[key]; !asked {
			n.fetch(now, key)
			n.hurry(now, o)
		}
	}
}

// serve sends a record to the children that wait for it.
func (n *Node) serve(now time.Duration, key string, o *Out) {
	if n.sweeps[key] != nil {
		return
	}
	ids := n.needs[key]
	if len(ids) == 0 {
		return
	}
	if _, ok := n.Get(now, key); !ok {
		return
	}
	delete(n.needs, key)
	for _, id := range sorted(ids) {
		if k := n.kids[id]; k != nil && k.known && !k.listed && now < k.till && !n.owes(id) {
			n.grant(now, k, 0, []string{key}, []message.Record{{Key: key, Version: ids[id]}}, false, o)
		}
	}
}

// listing is the second half of a reconnect: matching records are granted,
// the rest invalidated, and the volume lease granted, in one message.
func (n *Node) listing(now time.Duration, m message.Message, o *Out) {
	k := n.child(m)
	if !n.HasVolumeLease(now) || n.owes(k.id) || m.VolumeEpoch != n.VolumeEpoch() {
		return
	}
	// Listed until its Connect; object leases noted earlier stay noted, since a
	// late Listing must not make us forget what the child got meanwhile.
	k.listed, k.known = true, true
	s := message.Message{Kind: message.KindReconciled, ResponseTo: m.RequestID, ObjectLease: int64(n.cfg.ObjectLease)}
	for _, r := range m.Records {
		cur, ok := n.Get(now, r.Key)
		if ok && n.sweeps[r.Key] == nil && cur.Version == r.Version && cur.Deleted == r.Deleted {
			s.Records = append(s.Records, message.Record{Key: r.Key, Version: r.Version, Deleted: r.Deleted})
			k.objs[r.Key] = hold{ver: r.Version, till: now + n.cfg.wait(n.cfg.ObjectLease)}
		}
	}
	d := n.volLen(now)
	s.Length = int64(d)
	k.till = max(k.till, now+n.cfg.wait(d))
	n.tell(k, s, o)
	k.sync = n.out
}

// answerChildren serves the renewals that waited for our own lease.
func (n *Node) answerChildren(now time.Duration, o *Out) {
	if !n.HasVolumeLease(now) {
		return
	}
	for _, id := range sorted(n.kids) {
		if k := n.kids[id]; k.ask != nil {
			m := *k.ask
			k.ask = nil
			n.renewed(now, m, o)
		}
	}
}
