package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// invalidations tracks the records that are being withdrawn from the children.
type invalidations struct {
	lastNumber uint64                   // number of the latest invalidation
	byKey      map[string]*invalidation // in progress
}

// invalidation is the withdrawal of one record from all children. It is complete when
// each child has acknowledged it or the child's volume lease has expired.
type invalidation struct {
	key            string
	since          time.Duration
	number         uint64                   // acknowledgements of earlier invalidations, with other numbers, are ignored
	unacknowledged map[string]time.Duration // child -> when it was last sent

	// The parents and writers to notify when the invalidation is complete.
	granters []waitingGranter // parents that requested it
	tags     []uint64         // tags of writers at the root, see Suspend
}

// waitingGranter is a parent that is waiting for the acknowledgement of its invalidation.
type waitingGranter struct {
	replica     message.Replica
	number      uint64              // number of the parent's invalidation
	volumeEpoch message.VolumeEpoch // of the parent
}

// isInProgress reports whether a record is being withdrawn.
func (i *invalidations) isInProgress(key string) bool { return i.byKey[key] != nil }

// isAwaitingAck reports whether any invalidation is still unacknowledged by a child.
func (i *invalidations) isAwaitingAck(child string) bool {
	for _, inv := range i.byKey {
		if _, ok := inv.unacknowledged[child]; ok {
			return true
		}
	}
	return false
}

// awaitingAckFor returns the age of the oldest invalidation that a child has not
// acknowledged; 0 if there is none.
func (i *invalidations) awaitingAckFor(child string, now time.Duration) (longest time.Duration) {
	for _, inv := range i.byKey {
		if _, ok := inv.unacknowledged[child]; ok {
			longest = max(longest, now-inv.since)
		}
	}
	return longest
}

// start adds an invalidation of a record; none may be in progress for the key.
func (i *invalidations) start(now time.Duration, key string) *invalidation {
	i.lastNumber++
	inv := &invalidation{key: key, since: now, number: i.lastNumber, unacknowledged: map[string]time.Duration{}}
	i.byKey[key] = inv
	return inv
}

// Suspend stops serving a record at the root and withdraws it from the tree. When no valid
// lease on the record remains below the root, this step or a later one returns the tag in
// Out.Invalidated. A tag of 0 is never returned.
//
// Example: out := n.Suspend(now, "plan/now", 17)
func (n *Node) Suspend(now time.Duration, key string, tag uint64) (out Out) {
	n.root.suspended[key]++
	if n.root.active && n.root.suspended[key] == 1 {
		// The patch to the current version may be missing if no child has requested that version.
		n.extendChain(n.root.record(key))
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

// Resume ends a suspension, so that the root serves the record again in its new version.
//
// Example: out := n.Resume(now, "plan/now")
func (n *Node) Resume(now time.Duration, key string) (out Out) {
	n.generation++
	n.root.suspended[key]--
	if n.root.suspended[key] <= 0 {
		delete(n.root.suspended, key)
		n.serveWaiters(now, key, &out)
	}
	return out
}

// ResumeAll resumes several suspended records. A child that waits for more than one of
// them receives them in one message.
//
// Example: out := n.ResumeAll(now, []string{"server/a", "server/b"})
func (n *Node) ResumeAll(now time.Duration, keys []string) (out Out) {
	for _, key := range keys {
		resumed := n.Resume(now, key)
		out.Sends = append(out.Sends, resumed.Sends...)
	}
	out.Sends = mergeGrants(out.Sends)
	return out
}

// invalidate drops a record at this node and its descendants, without notifying a parent or
// writer.
func (n *Node) invalidate(now time.Duration, key string, out *Out) {
	n.completeIfAcknowledged(now, n.withdraw(now, key, out), out)
}

// withdraw drops a record at this node and invalidates it at the children, unless an
// invalidation of the record is already in progress. Children with a valid volume lease must
// acknowledge the invalidation. Children whose lease has expired are put on the unreachable
// list.
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

// withdrawFrom invalidates a record at one child, if the child may hold a lease on it.
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

// resendInvalidationsTo resends the invalidations that a renewing child has not
// acknowledged, except recent ones, whose acknowledgement may still be in flight.
func (n *Node) resendInvalidationsTo(now time.Duration, c *child, out *Out) {
	for _, key := range sortedKeys(n.invalidations.byKey) {
		inv := n.invalidations.byKey[key]
		if sentAt, ok := inv.unacknowledged[c.id]; ok && now-sentAt >= n.cfg.resendGap() {
			n.sendInvalidation(now, c, inv, out)
		}
	}
}

// resendInvalidations resends unacknowledged invalidations, and stops waiting for children
// whose volume lease has expired.
func (n *Node) resendInvalidations(now time.Duration, out *Out) {
	for _, key := range sortedKeys(n.invalidations.byKey) {
		inv := n.invalidations.byKey[key]
		if inv == nil { // completed along with another invalidation
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

// handleInvalidationAck records a child's acknowledgement.
func (n *Node) handleInvalidationAck(now time.Duration, sender message.Sender, m message.InvalidationAck, out *Out) {
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

// completeIfAcknowledged completes an invalidation that no longer waits for any child. It
// notifies the parents and writers that requested the invalidation, fetches the record again
// if it is pinned, and sends it to the children that wait for it.
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
	n.serveWaiters(now, inv.key, out)
}

// acknowledge notifies a parent that its invalidation is complete at this node and its
// descendants.
func (n *Node) acknowledge(key string, granter waitingGranter, out *Out) {
	m := message.InvalidationAck{
		Key: key, Number: granter.number, VolumeEpoch: granter.volumeEpoch,
	}.Message(n.partition)
	m.To = granter.replica.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: granter.replica.Addr, Message: m})
}
