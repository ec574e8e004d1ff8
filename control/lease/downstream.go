package lease

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Human-readable reasons for a denial.
const (
	denyNoLease = "no lease"
	denyExpired = "lease lapsed"
)

// downstream is the state of a node in its role as a parent.
type downstream struct {
	sequence  uint64            // last sequence number sent; children drop messages that arrive out of order
	children  map[string]*child // by childID
	lastCheck time.Duration     // time of the last scan of the children
	// waiters holds, by key, the children that wait for the record, and the version from
	// which each of these children can apply patches.
	waiters map[string]map[string]message.Version
}

// child is the state that a node keeps for one incarnation of a child.
type child struct {
	id      string
	replica message.Replica
	epoch   uint64

	volumeExpiry time.Duration            // end of all volume leases granted to the child, with drift and margin
	objectExpiry map[string]time.Duration // key -> end of the object lease granted to the child, with drift and margin

	reconnected bool   // has reconnected since this node first saw it
	unreachable bool   // on the unreachable list: may still hold invalidated records and must reconnect
	reconciled  uint64 // sequence of the reconciliation whose ReconnectDone removes it from the list; 0 if none

	pending      *pendingRenewal // latest renewal received while this node had no lease itself; nil if none
	pendingSince time.Duration   // when the first renewal of the current wait was received

	renewCost time.Duration // cost of renewing at this node, as measured by the child
	lastSeen  time.Duration // when its last renewal was handled
}

// pendingRenewal is a renewal that waits until this node has a volume lease itself.
type pendingRenewal struct {
	requestID   uint64
	volumeEpoch message.VolumeEpoch
	keys        []string
	bases       []message.Record
}

// markUnreachable puts a child on the unreachable list. Only the ReconnectDone of a later
// reconciliation removes it.
func (c *child) markUnreachable() { c.unreachable, c.reconciled = true, 0 }

// childID returns an identifier that differs between incarnations of a child. A restarted
// relay cannot account for the leases that it granted before, so the lease of its previous
// incarnation must expire first.
func childID(s message.Sender) string { return fmt.Sprintf("%s#%d", s.Ident, s.Epoch) }

// getOrAddChild returns the child that sent a message, and adds it if it is unknown.
func (n *Node) getOrAddChild(sender message.Sender) *child {
	id := childID(sender)
	c := n.downstream.children[id]
	if c == nil {
		c = &child{id: id, epoch: sender.Epoch, objectExpiry: map[string]time.Duration{}}
		n.downstream.children[id] = c
	}
	c.replica = sender.Replica
	return c
}

func (n *Node) sendToChild(c *child, m message.Message, out *Out) {
	n.downstream.sequence++
	m = m.WithGrantHeader(message.GrantHeader{
		Sequence: n.downstream.sequence, ChildEpoch: c.epoch, VolumeEpoch: n.VolumeEpoch(),
	})
	m.To = c.replica.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: c.replica.Addr, Message: m})
}

// handleRenewLease handles a child's renewal.
func (n *Node) handleRenewLease(now time.Duration, sender message.Sender, m message.LeaseRenewal, out *Out) {
	c := n.getOrAddChild(sender)
	c.renewCost = m.RenewCost
	n.answerRenewal(now, c, pendingRenewal{
		requestID: m.RequestID, volumeEpoch: m.VolumeEpoch, keys: m.Keys, bases: m.Bases,
	}, out)
}

// answerRenewal grants the lease, requests a reconnect, or defers the renewal until this
// node has a lease itself. A child that has not acknowledged an invalidation for longer than
// maxRenewalWithoutAck gets no answer, so that its lease expires.
func (n *Node) answerRenewal(now time.Duration, c *child, renewal pendingRenewal, out *Out) {
	c.lastSeen = now
	n.countRenewal(now, c, n.HasVolumeLease(now) && n.servesAll(now, renewal.keys))
	if !n.HasVolumeLease(now) {
		n.deferRenewal(now, c, renewal, out)
		return
	}
	c.pending = nil
	n.resendInvalidationsTo(now, c, out)
	if n.invalidations.awaitingAckFor(c.id, now) > n.cfg.maxRenewalWithoutAck() {
		return
	}
	if !c.reconnected || c.unreachable || renewal.volumeEpoch != n.VolumeEpoch() {
		n.sendToChild(c, message.ReconnectRequest{ResponseTo: renewal.requestID}.Message(n.partition), out)
		return
	}
	n.grantVolume(now, c, renewal, out)
}

// deferRenewal holds a renewal until this node has a lease, and requests one. The renewal
// is denied if this node is the root, has no parent, or has the child itself as its parent.
func (n *Node) deferRenewal(now time.Duration, c *child, renewal pendingRenewal, out *Out) {
	parent := n.upstream.parent.Ident
	if n.root.active || parent == "" || parent == c.replica.Ident {
		denial := message.LeaseDenial{ResponseTo: renewal.requestID, Reason: denyNoLease}
		n.sendToChild(c, denial.Message(n.partition), out)
		return
	}
	if c.pending == nil {
		c.pendingSince = now
	}
	c.pending = &renewal
	if now-n.upstream.lastRenewal > n.cfg.RenewInterval/2 {
		n.renew(now, out)
	}
}

// answerPendingRenewals answers the renewals that were deferred until this node had a lease.
func (n *Node) answerPendingRenewals(now time.Duration, out *Out) {
	if !n.HasVolumeLease(now) {
		return
	}
	for _, id := range sortedKeys(n.downstream.children) {
		if c := n.downstream.children[id]; c.pending != nil {
			renewal := *c.pending
			c.pending = nil
			n.answerRenewal(now, c, renewal, out)
		}
	}
}

// servesAll reports whether all of these records can be served now.
func (n *Node) servesAll(now time.Duration, keys []string) bool {
	for _, key := range keys {
		if _, ok := n.Get(now, key); !ok {
			return false
		}
	}
	return true
}

// grantVolume grants the volume lease, along with the requested records that can be
// served now.
func (n *Node) grantVolume(now time.Duration, c *child, renewal pendingRenewal, out *Out) {
	grant := message.LeaseGrant{ResponseTo: renewal.requestID, VolumeLease: n.grantVolumeLease(now, c)}
	for _, key := range renewal.keys {
		n.addRecord(now, c, &grant, key, versionOf(renewal.bases, key), out)
	}
	n.sendToChild(c, grant.Message(n.partition), out)
}

// versionOf returns the version that a list contains for a key; zero if none.
func versionOf(list []message.Record, key string) message.Version {
	i := slices.IndexFunc(list, func(r message.Record) bool { return r.Key == key })
	if i < 0 {
		return message.Version{}
	}
	return list[i].Version
}

// grantVolumeLease returns the length of the volume lease to grant to a child now, and
// records the lease as granted. The lease never extends beyond this node's own lease.
func (n *Node) grantVolumeLease(now time.Duration, c *child) time.Duration {
	length := n.maxVolumeLease(now)
	grantWithinOwnLease.Hold(length == 0 || now+length <= n.VolumeExpiry(),
		"partition %d: granted a volume lease of %v, but the node's own lease ends in %v",
		n.partition, length, n.VolumeExpiry()-now)
	c.volumeExpiry = max(c.volumeExpiry, now+n.cfg.granterExpiry(length))
	return length
}

// maxVolumeLease returns the length of the longest volume lease that may be granted now.
func (n *Node) maxVolumeLease(now time.Duration) time.Duration {
	return max(0, min(n.cfg.VolumeLease, n.VolumeExpiry()-now))
}

// addRecord adds a record to a grant. If the record cannot be served now, the child is
// registered as waiting for it. base is the version from which the child can apply patches.
func (n *Node) addRecord(
	now time.Duration, c *child, grant *message.LeaseGrant, key string, base message.Version, out *Out,
) {
	record, ok := n.Get(now, key)
	if !ok || n.invalidations.isInProgress(key) {
		n.addWaiter(now, c, key, base, out)
		return
	}
	grant.Records = append(grant.Records, n.recordForChild(record, base))
	grant.ObjectLease = n.cfg.ObjectLease
	c.objectExpiry[key] = now + n.cfg.granterExpiry(n.cfg.ObjectLease)
}

// addWaiter registers a child as waiting for a record, and requests the record from the
// parent.
func (n *Node) addWaiter(now time.Duration, c *child, key string, base message.Version, out *Out) {
	if n.downstream.waiters[key] == nil {
		n.downstream.waiters[key] = map[string]message.Version{}
	}
	n.downstream.waiters[key][c.id] = base
	if n.root.active {
		return
	}
	if _, pending := n.upstream.fetches[key]; !pending {
		n.upstream.fetch(now, key)
		n.renewSoon(now, out)
	}
}

// serveWaiters sends a record to the children that wait for it, if the record can be served
// now.
func (n *Node) serveWaiters(now time.Duration, key string, out *Out) {
	waiters := n.downstream.waiters[key]
	if len(waiters) == 0 || n.invalidations.isInProgress(key) {
		return
	}
	if _, ok := n.Get(now, key); !ok {
		return
	}
	delete(n.downstream.waiters, key)
	for _, id := range sortedKeys(waiters) {
		c := n.downstream.children[id]
		if c == nil || !n.mayGrantRecord(now, c) {
			continue
		}
		var grant message.LeaseGrant
		n.addRecord(now, c, &grant, key, waiters[id], out)
		if len(grant.Records) > 0 {
			n.sendToChild(c, grant.Message(n.partition), out)
		}
	}
}

// mergeGrants merges the record grants for each child into the child's first grant. This is
// safe because all grants are from one step, and no record is withdrawn after its grant in
// the same step.
func mergeGrants(sends []message.Envelope) []message.Envelope {
	first := map[string]int{} // child's identity -> index of its first grant
	merged := sends[:0]
	for _, e := range sends {
		i, seen := first[e.Message.To]
		switch {
		case !isRecordGrant(e.Message):
		case seen:
			merged[i].Message.Records = append(merged[i].Message.Records, e.Message.Records...)
			continue
		default:
			first[e.Message.To] = len(merged)
		}
		merged = append(merged, e)
	}
	return merged
}

// isRecordGrant reports whether a message grants only records, to a child that was waiting
// for them.
func isRecordGrant(m message.Message) bool {
	return m.Kind == message.KindGrantLease && m.ResponseTo == 0 && m.Length == 0
}

// mayGrantRecord reports whether a child may be granted a record other than in response
// to a renewal.
func (n *Node) mayGrantRecord(now time.Duration, c *child) bool {
	return c.reconnected && !c.unreachable && now < c.volumeExpiry && !n.invalidations.isAwaitingAck(c.id)
}

// handleLeaseList answers the lease list of a reconnecting child. The answer grants the
// volume lease and the listed records that are current. The child drops all other records.
func (n *Node) handleLeaseList(now time.Duration, sender message.Sender, m message.LeaseList, out *Out) {
	c := n.getOrAddChild(sender)
	if !n.HasVolumeLease(now) || n.invalidations.isAwaitingAck(c.id) || m.VolumeEpoch != n.VolumeEpoch() {
		return
	}
	// The child remains unreachable until its ReconnectDone. Object leases recorded earlier
	// are kept, because the child may have been granted records after it sent this list.
	c.unreachable, c.reconnected = true, true
	answer := message.Reconciliation{ResponseTo: m.RequestID, ObjectLease: n.cfg.ObjectLease}
	for _, r := range m.Records {
		if n.isCurrent(now, r) {
			answer.Records = append(answer.Records, message.Record{Key: r.Key, Version: r.Version, Deleted: r.Deleted})
			c.objectExpiry[r.Key] = now + n.cfg.granterExpiry(n.cfg.ObjectLease)
		}
	}
	answer.VolumeLease = n.grantVolumeLease(now, c)
	n.sendToChild(c, answer.Message(n.partition), out)
	c.reconciled = n.downstream.sequence
}

// isCurrent reports whether a child's version of a record is the one that is served now.
func (n *Node) isCurrent(now time.Duration, r message.Record) bool {
	current, ok := n.Get(now, r.Key)
	return ok && !n.invalidations.isInProgress(r.Key) && current.Version == r.Version && current.Deleted == r.Deleted
}

// handleReconnectDone removes a child from the unreachable list if the message confirms the
// child's latest reconciliation.
func (n *Node) handleReconnectDone(sender message.Sender, m message.ReconnectDone) {
	c := n.downstream.children[childID(sender)]
	if c != nil && m.VolumeEpoch == n.VolumeEpoch() && m.Sequence == c.reconciled {
		c.unreachable = false
	}
}

// checkChildren denies renewals that were deferred for longer than a volume lease, and drops
// children that have not renewed for forgetChildAfter.
func (n *Node) checkChildren(now time.Duration, out *Out) {
	if now-n.downstream.lastCheck < n.cfg.childCheckInterval() { // scans are expensive and not urgent
		return
	}
	n.downstream.lastCheck = now
	for _, id := range sortedKeys(n.downstream.children) {
		c := n.downstream.children[id]
		if c.pending != nil && now-c.pendingSince > n.cfg.VolumeLease {
			c.pending = nil
			n.sendToChild(c, message.LeaseDenial{Reason: denyExpired}.Message(n.partition), out)
		}
		isLost := now-c.lastSeen > n.cfg.forgetChildAfter() && now >= c.volumeExpiry
		if isLost && !n.invalidations.isAwaitingAck(id) {
			delete(n.downstream.children, id)
		}
	}
}
