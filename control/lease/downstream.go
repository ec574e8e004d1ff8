package lease

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Reasons of a denial, for people.
const (
	denyNoLease = "no lease"
	denyLapsed  = "lease lapsed"
)

// downstream is a node's side as a parent.
type downstream struct {
	sequence  uint64            // numbers all messages to children, so that they can drop late ones
	children  map[string]*child // by childID
	lastCheck time.Duration     // when the children were last scanned
	// waiting are, for a key, the children that wait for the record, with the version
	// that each holds.
	waiting map[string]map[string]message.Version
}

// child is what a node knows of one incarnation of a child.
type child struct {
	id      string
	replica message.Replica
	epoch   uint64

	volumeExpiry time.Duration            // when no volume lease granted to it can be valid any more
	objectExpiry map[string]time.Duration // key -> when no object lease granted to it can be valid any more

	reconnected bool   // went through a reconnect since this node knows it
	unreachable bool   // on the unreachable list: it may hold what was invalidated, and must reconnect
	reconciled  uint64 // sequence of the reconciliation whose ReconnectDone takes it off the list; 0: none does

	pending      *pendingRenewal // the latest that came while this node had no lease itself; nil: none
	pendingSince time.Duration   // when the first of those came

	renewCost time.Duration // that it measured here
	lastSeen  time.Duration // when its last renewal was handled
}

// pendingRenewal is a renewal that waits until this node has a lease to grant from.
type pendingRenewal struct {
	requestID   uint64
	volumeEpoch message.VolumeEpoch
	keys        []string
	bases       []message.Record
}

// markUnreachable puts a child on the unreachable list; only the ReconnectDone of a
// later reconciliation takes it off.
func (c *child) markUnreachable() { c.unreachable, c.reconciled = true, 0 }

// childID tells one incarnation of a child from another: a relay that starts anew
// can't answer for what it granted before, so its earlier lease is waited out.
func childID(s message.Sender) string { return fmt.Sprintf("%s#%d", s.Ident, s.Epoch) }

// childOf is the child that sent a message, a new one if it is not known.
func (n *Node) childOf(sender message.Sender) *child {
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

// handleRenewLease answers a child's renewal.
func (n *Node) handleRenewLease(now time.Duration, sender message.Sender, m message.LeaseRenewal, out *Out) {
	c := n.childOf(sender)
	c.renewCost = m.RenewCost
	n.answerRenewal(now, c, pendingRenewal{
		requestID: m.RequestID, volumeEpoch: m.VolumeEpoch, keys: m.Keys, bases: m.Bases,
	}, out)
}

// answerRenewal grants, has the child reconnect, or has the renewal wait for this
// node's own lease. A child that has owed an acknowledgement for too long gets no
// answer: its lease lapses.
func (n *Node) answerRenewal(now time.Duration, c *child, renewal pendingRenewal, out *Out) {
	c.lastSeen = now
	n.countRenewal(now, c, n.HasVolumeLease(now) && n.servesAll(now, renewal.keys))
	if !n.HasVolumeLease(now) {
		n.deferRenewal(now, c, renewal, out)
		return
	}
	c.pending = nil
	n.resendInvalidationsTo(now, c, out)
	if n.invalidations.owedFor(c.id, now) > n.cfg.maxOwingRenewal() {
		return
	}
	if !c.reconnected || c.unreachable || renewal.volumeEpoch != n.VolumeEpoch() {
		n.sendToChild(c, message.ReconnectRequest{ResponseTo: renewal.requestID}.Message(n.partition), out)
		return
	}
	n.grantVolume(now, c, renewal, out)
}

// deferRenewal keeps a renewal until this node has a lease, and asks for that. Where
// none can come, or only from the child itself, the child is denied.
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

// answerPendingRenewals answers the renewals that waited for this node's own lease.
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

// servesAll tells whether all these records can be served now.
func (n *Node) servesAll(now time.Duration, keys []string) bool {
	for _, key := range keys {
		if _, ok := n.Get(now, key); !ok {
			return false
		}
	}
	return true
}

// grantVolume grants the volume lease with the records that were asked for and can
// be served now.
func (n *Node) grantVolume(now time.Duration, c *child, renewal pendingRenewal, out *Out) {
	grant := message.LeaseGrant{ResponseTo: renewal.requestID, VolumeLease: n.grantVolumeLease(now, c)}
	for _, key := range renewal.keys {
		n.addRecord(now, c, &grant, key, versionOf(renewal.bases, key), out)
	}
	n.sendToChild(c, grant.Message(n.partition), out)
}

// versionOf is the version that a list names for a key; zero: none.
func versionOf(list []message.Record, key string) message.Version {
	i := slices.IndexFunc(list, func(r message.Record) bool { return r.Key == key })
	if i < 0 {
		return message.Version{}
	}
	return list[i].Version
}

// grantVolumeLease is the length of the volume lease that a child is granted now,
// never beyond this node's own; it is noted as granted.
func (n *Node) grantVolumeLease(now time.Duration, c *child) time.Duration {
	length := n.maxVolumeLease(now)
	withinOwn.Hold(length == 0 || now+length <= n.VolumeExpiry(),
		"partition %d: %v are granted, and the own lease ends in %v", n.partition, length, n.VolumeExpiry()-now)
	c.volumeExpiry = max(c.volumeExpiry, now+n.cfg.granterExpiry(length))
	return length
}

// maxVolumeLease is the longest volume lease that may be granted now.
func (n *Node) maxVolumeLease(now time.Duration) time.Duration {
	return max(0, min(n.cfg.VolumeLease, n.VolumeExpiry()-now))
}

// addRecord adds a record to a grant; one that can't be served now is asked for, and
// sent when it comes. base is the version that the child can take patches from.
func (n *Node) addRecord(
	now time.Duration, c *child, grant *message.LeaseGrant, key string, base message.Version, out *Out,
) {
	record, ok := n.Get(now, key)
	if !ok || n.invalidations.underWay(key) {
		n.waitFor(now, c, key, base, out)
		return
	}
	grant.Records = append(grant.Records, n.recordFor(record, base))
	grant.ObjectLease = n.cfg.ObjectLease
	c.objectExpiry[key] = now + n.cfg.granterExpiry(n.cfg.ObjectLease)
}

// waitFor notes that a child waits for a record, and asks the parent for it.
func (n *Node) waitFor(now time.Duration, c *child, key string, base message.Version, out *Out) {
	if n.downstream.waiting[key] == nil {
		n.downstream.waiting[key] = map[string]message.Version{}
	}
	n.downstream.waiting[key][c.id] = base
	if n.root.active {
		return
	}
	if _, pending := n.upstream.fetches[key]; !pending {
		n.upstream.fetch(now, key)
		n.renewSoon(now, out)
	}
}

// serveWaiting sends a record that can be served again to the children that wait for
// it.
func (n *Node) serveWaiting(now time.Duration, key string, out *Out) {
	waiting := n.downstream.waiting[key]
	if len(waiting) == 0 || n.invalidations.underWay(key) {
		return
	}
	if _, ok := n.Get(now, key); !ok {
		return
	}
	delete(n.downstream.waiting, key)
	for _, id := range sortedKeys(waiting) {
		c := n.downstream.children[id]
		if c == nil || !n.mayGrantRecord(now, c) {
			continue
		}
		var grant message.LeaseGrant
		n.addRecord(now, c, &grant, key, waiting[id], out)
		if len(grant.Records) > 0 {
			n.sendToChild(c, grant.Message(n.partition), out)
		}
	}
}

// joinGrants joins the grants of records to a child into the first of them. All are of one
// step, in which no record is withdrawn after it was granted.
func joinGrants(sends []message.Envelope) []message.Envelope {
	first := map[string]int{} // child's identity -> place of its first grant
	joined := sends[:0]
	for _, e := range sends {
		at, seen := first[e.Message.To]
		switch {
		case !isRecordGrant(e.Message):
		case seen:
			joined[at].Message.Records = append(joined[at].Message.Records, e.Message.Records...)
			continue
		default:
			first[e.Message.To] = len(joined)
		}
		joined = append(joined, e)
	}
	return joined
}

// isRecordGrant tells whether a message grants records that were waited for, and nothing else.
func isRecordGrant(m message.Message) bool {
	return m.Kind == message.KindGrantLease && m.ResponseTo == 0 && m.Length == 0
}

// mayGrantRecord tells whether a child may be granted a record without having asked
// just now.
func (n *Node) mayGrantRecord(now time.Duration, c *child) bool {
	return c.reconnected && !c.unreachable && now < c.volumeExpiry && !n.invalidations.isOwedBy(c.id)
}

// handleLeaseList is the second half of a reconnect: matching records are granted,
// the rest invalidated, and the volume lease granted, in one message.
func (n *Node) handleLeaseList(now time.Duration, sender message.Sender, m message.LeaseList, out *Out) {
	c := n.childOf(sender)
	if !n.HasVolumeLease(now) || n.invalidations.isOwedBy(c.id) || m.VolumeEpoch != n.VolumeEpoch() {
		return
	}
	// Unreachable until its ReconnectDone; object leases noted earlier stay noted, since
	// a late list must not make this node forget what the child got meanwhile.
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

// isCurrent tells whether a child's version of a record is the one that is served.
func (n *Node) isCurrent(now time.Duration, r message.Record) bool {
	current, ok := n.Get(now, r.Key)
	return ok && !n.invalidations.underWay(r.Key) && current.Version == r.Version && current.Deleted == r.Deleted
}

// handleReconnectDone takes a child off the unreachable list.
func (n *Node) handleReconnectDone(sender message.Sender, m message.ReconnectDone) {
	c := n.downstream.children[childID(sender)]
	if c != nil && m.VolumeEpoch == n.VolumeEpoch() && m.Sequence == c.reconciled {
		c.unreachable = false
	}
}

// checkChildren denies renewals that have waited too long, and forgets children that
// are lost.
func (n *Node) checkChildren(now time.Duration, out *Out) {
	if now-n.downstream.lastCheck < n.cfg.childCheckInterval() { // the tables are long, and nothing here is urgent
		return
	}
	n.downstream.lastCheck = now
	for _, id := range sortedKeys(n.downstream.children) {
		c := n.downstream.children[id]
		if c.pending != nil && now-c.pendingSince > n.cfg.VolumeLease {
			c.pending = nil
			n.sendToChild(c, message.LeaseDenial{Reason: denyLapsed}.Message(n.partition), out)
		}
		isLost := now-c.lastSeen > n.cfg.forgetChildAfter() && now >= c.volumeExpiry
		if isLost && !n.invalidations.isOwedBy(id) {
			delete(n.downstream.children, id)
		}
	}
}
