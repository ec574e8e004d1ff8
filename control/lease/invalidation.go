package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// invalidations are the records that are being withdrawn from the children.
type invalidations struct {
	last  uint64                   // numbers them
	byKey map[string]*invalidation // under way
}

// invalidation withdraws one record from all children. It is complete when each has
// acknowledged it or its leases have lapsed.
type invalidation struct {
	key            string
	since          time.Duration
	number         uint64                   // an acknowledgement of an earlier one of the same key doesn't count
	unacknowledged map[string]time.Duration // child -> when the invalidation was last sent to it

	// Who is notified when it is complete:
	granters []waitingGranter // parents that asked for it
	tags     []uint64         // writers at the root, see Suspend
}

// waitingGranter is a parent that waits for the acknowledgement of its invalidation.
type waitingGranter struct {
	replica     message.Replica
	number      uint64              // that the parent gave it
	volumeEpoch message.VolumeEpoch // of the parent
}

// underWay tells whether a record is being withdrawn.
func (i *invalidations) underWay(key string) bool { return i.byKey[key] != nil }

// isOwedBy tells whether a child has an acknowledgement outstanding.
func (i *invalidations) isOwedBy(child string) bool {
	for _, inv := range i.byKey {
		if _, ok := inv.unacknowledged[child]; ok {
			return true
		}
	}
	return false
}

// owedFor is for how long a child has had an acknowledgement outstanding; 0: it has
// none.
func (i *invalidations) owedFor(child string, now time.Duration) (longest time.Duration) {
	for _, inv := range i.byKey {
		if _, ok := inv.unacknowledged[child]; ok {
			longest = max(longest, now-inv.since)
		}
	}
	return longest
}

// start makes an invalidation of a record that none is under way for.
func (i *invalidations) start(now time.Duration, key string) *invalidation {
	i.last++
	inv := &invalidation{key: key, since: now, number: i.last, unacknowledged: map[string]time.Duration{}}
	i.byKey[key] = inv
	return inv
}

// Suspend stops serving a record at the root and withdraws it from the tree;
// Out.Invalidated carries the tag when no valid lease on it is left below.
//
// Example: out := n.Suspend(now, "plan/now", 17)
func (n *Node) Suspend(now time.Duration, key string, tag uint64) (out Out) {
	n.root.suspended[key]++
	if n.root.active && n.root.suspended[key] == 1 {
		n.extendChain(n.root.record(key)) // nobody may have asked for it since it was written
		n.patches.keepBase(now, n.root.record(key))
	}
	n.generation++
	inv := n.withdraw(now, key, &out)
	if tag != 0 {
		inv.tags = append(inv.tags, tag)
	}
	n.completeIfAcknowledged(now, inv, &out)
	return out
}

// Resume serves a suspended record again, in its new version.
//
// Example: out := n.Resume(now, "plan/now")
func (n *Node) Resume(now time.Duration, key string) (out Out) {
	n.generation++
	n.root.suspended[key]--
	if n.root.suspended[key] <= 0 {
		delete(n.root.suspended, key)
		n.serveWaiting(now, key, &out)
	}
	return out
}

// ResumeAll serves suspended records again; a child that waits for several of them gets them
// in one message.
//
// Example: out := n.ResumeAll(now, []string{"server/a", "server/b"})
func (n *Node) ResumeAll(now time.Duration, keys []string) (out Out) {
	for _, key := range keys {
		resumed := n.Resume(now, key)
		out.Sends = append(out.Sends, resumed.Sends...)
	}
	out.Sends = joinGrants(out.Sends)
	return out
}

// invalidate drops a record here and below, with nobody to notify.
func (n *Node) invalidate(now time.Duration, key string, out *Out) {
	n.completeIfAcknowledged(now, n.withdraw(now, key, out), out)
}

// withdraw drops a record here and has the children drop it, unless that is under
// way already. Children with a valid volume lease are waited for; lapsed ones go on
// the unreachable list.
func (n *Node) withdraw(now time.Duration, key string, out *Out) *invalidation {
	if cached, ok := n.records.cached[key]; ok {
		n.extendChain(cached.record)
		n.patches.keepBase(now, cached.record)
		delete(n.records.cached, key)
		n.generation++
		out.Withdrawn = append(out.Withdrawn, key)
	}
	if inv := n.invalidations.byKey[key]; inv != nil {
		return inv
	}
	inv := n.invalidations.start(now, key)
	for _, id := range sortedKeys(n.downstream.children) {
		n.withdrawFrom(now, n.downstream.children[id], inv, out)
	}
	return inv
}

// withdrawFrom has one child drop a record, if it may hold a lease on it.
func (n *Node) withdrawFrom(now time.Duration, c *child, inv *invalidation, out *Out) {
	expiry, ok := c.objectExpiry[inv.key]
	delete(c.objectExpiry, inv.key)
	switch {
	case !ok || now >= expiry:
	case now >= c.volumeExpiry:
		c.markUnreachable()
	default:
		n.sendInvalidation(now, c, inv, out)
	}
}

func (n *Node) sendInvalidation(now time.Duration, c *child, inv *invalidation, out *Out) {
	inv.unacknowledged[c.id] = now
	n.sendToChild(c, message.Invalidation{Key: inv.key, Number: inv.number}.Message(n.partition), out)
}

// resendInvalidationsTo sends a child that renews what it has not acknowledged, unless
// that was just sent: its acknowledgement may be under way.
func (n *Node) resendInvalidationsTo(now time.Duration, c *child, out *Out) {
	for _, key := range sortedKeys(n.invalidations.byKey) {
		inv := n.invalidations.byKey[key]
		if sentAt, ok := inv.unacknowledged[c.id]; ok && now-sentAt >= n.cfg.resendGap() {
			n.sendInvalidation(now, c, inv, out)
		}
	}
}

// resendInvalidations sends again what is not acknowledged, and waits no longer for
// children whose lease has lapsed.
func (n *Node) resendInvalidations(now time.Duration, out *Out) {
	for _, key := range sortedKeys(n.invalidations.byKey) {
		inv := n.invalidations.byKey[key]
		if inv == nil { // completed with another one
			continue
		}
		for _, id := range sortedKeys(inv.unacknowledged) {
			c := n.downstream.children[id]
			switch {
			case c == nil:
				delete(inv.unacknowledged, id)
			case now >= c.volumeExpiry:
				c.markUnreachable()
				delete(inv.unacknowledged, id)
			case now-inv.unacknowledged[id] >= n.cfg.RenewInterval:
				n.sendInvalidation(now, c, inv, out)
			}
		}
		n.completeIfAcknowledged(now, inv, out)
	}
}

// handleInvalidated notes a child's acknowledgement.
func (n *Node) handleInvalidated(now time.Duration, sender message.Sender, m message.InvalidationAck, out *Out) {
	inv := n.invalidations.byKey[m.Key]
	if inv == nil || inv.number != m.Number {
		return
	}
	id := childID(sender)
	if _, ok := inv.unacknowledged[id]; ok {
		delete(inv.unacknowledged, id)
		n.completeIfAcknowledged(now, inv, out)
	}
}

// completeIfAcknowledged ends an invalidation that waits for no child any more: it
// notifies those that asked for it, fetches the record anew and serves it.
func (n *Node) completeIfAcknowledged(now time.Duration, inv *invalidation, out *Out) {
	if len(inv.unacknowledged) > 0 {
		return
	}
	delete(n.invalidations.byKey, inv.key)
	for _, granter := range inv.granters {
		n.acknowledge(inv.key, granter, out)
	}
	out.Invalidated = append(out.Invalidated, inv.tags...)
	if !n.root.active && n.records.pinned[inv.key] {
		if _, ok := n.Get(now, inv.key); !ok {
			n.upstream.fetch(now, inv.key)
			n.renewSoon(now, out)
		}
	}
	n.serveWaiting(now, inv.key, out)
}

// acknowledge tells a parent that its invalidation is complete here and below.
func (n *Node) acknowledge(key string, granter waitingGranter, out *Out) {
	m := message.InvalidationAck{
		Key: key, Number: granter.number, VolumeEpoch: granter.volumeEpoch,
	}.Message(n.partition)
	m.To = granter.replica.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: granter.replica.Addr, Message: m})
}
