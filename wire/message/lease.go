package message

import "time"

// Reasons of a redirect.
const (
	RedirectJoin   = "join"   // the children of a relay go to the relay's own parent
	RedirectSplit  = "split"  // children go to a relay between them and the sender
	RedirectReturn = "return" // a relay that has its lease again asks its zone back
)

// GrantHeader is in every message from a parent to a child of the lease tree.
type GrantHeader struct {
	Sequence    uint64      // numbers all that the parent sends: a child drops what a later message overtook
	ChildEpoch  uint64      // the incarnation of the child that is meant; in the frame's Term
	VolumeEpoch VolumeEpoch // of the parent
}

// WithGrantHeader is the frame with the header of a message from a parent to a child.
//
// Example: m := grant.Message(3).WithGrantHeader(message.GrantHeader{Sequence: 7, ChildEpoch: 2, VolumeEpoch: own})
func (m Message) WithGrantHeader(h GrantHeader) Message {
	m.RequestID, m.Term, m.VolumeEpoch = h.Sequence, h.ChildEpoch, h.VolumeEpoch
	return m
}

// GrantHeader reads the header of a frame from a parent.
//
// Example: if m.GrantHeader().ChildEpoch != epoch { return }
func (m Message) GrantHeader() GrantHeader {
	return GrantHeader{Sequence: m.RequestID, ChildEpoch: m.Term, VolumeEpoch: m.VolumeEpoch}
}

// LeaseRenewal asks a parent for the volume lease, and for records.
type LeaseRenewal struct {
	RequestID   uint64
	VolumeEpoch VolumeEpoch   // of the parent, as of the last reconnect; zero before the first
	Keys        []string      // records that are asked for
	Bases       []Record      // key and version of those of them for which the child can apply patches
	RenewCost   time.Duration // that the child measured at this parent, smoothed
}

// Message is the frame of the renewal, to be addressed by the sender.
//
// Example: m := message.LeaseRenewal{RequestID: 4, Keys: []string{"plan/now"}}.Message(0)
func (r LeaseRenewal) Message(partition int) Message {
	return Message{
		Kind: KindRenewLease, Partition: partition, RequestID: r.RequestID, VolumeEpoch: r.VolumeEpoch,
		Keys: r.Keys, Records: r.Bases, RenewCost: int64(r.RenewCost),
	}
}

// AsLeaseRenewal reads a frame of KindRenewLease.
//
// Example: n.handleRenewLease(now, m.Sender(), m.AsLeaseRenewal(), &out)
func (m Message) AsLeaseRenewal() LeaseRenewal {
	return LeaseRenewal{
		RequestID: m.RequestID, VolumeEpoch: m.VolumeEpoch, Keys: m.Keys, Bases: m.Records,
		RenewCost: time.Duration(m.RenewCost),
	}
}

// LeaseGrant grants the volume lease, records, or both.
type LeaseGrant struct {
	ResponseTo  uint64        // the renewal; 0: the records were waited for
	VolumeLease time.Duration // from when the renewal was sent; 0: none is granted
	ObjectLease time.Duration // of each record, from when it was first asked for
	Records     []Record
}

// Message is the frame of the grant; the sender adds the header and the address.
//
// Example: m := message.LeaseGrant{ResponseTo: 4, VolumeLease: time.Second}.Message(0)
func (g LeaseGrant) Message(partition int) Message {
	return Message{
		Kind: KindGrantLease, Partition: partition, ResponseTo: g.ResponseTo, Length: int64(g.VolumeLease),
		ObjectLease: int64(g.ObjectLease), Records: g.Records,
	}
}

// AsLeaseGrant reads a frame of KindGrantLease.
//
// Example: n.handleGrantLease(now, m.GrantHeader(), m.AsLeaseGrant(), &out)
func (m Message) AsLeaseGrant() LeaseGrant {
	return LeaseGrant{
		ResponseTo: m.ResponseTo, VolumeLease: time.Duration(m.Length), ObjectLease: time.Duration(m.ObjectLease),
		Records: m.Records,
	}
}

// ReconnectRequest asks a child for the list of what it holds.
type ReconnectRequest struct {
	ResponseTo uint64 // the renewal that could not be granted
}

// Message is the frame of the request; the sender adds the header and the address.
//
// Example: m := message.ReconnectRequest{ResponseTo: 4}.Message(0)
func (r ReconnectRequest) Message(partition int) Message {
	return Message{Kind: KindReconnect, Partition: partition, ResponseTo: r.ResponseTo}
}

// AsReconnectRequest reads a frame of KindReconnect.
//
// Example: request := m.AsReconnectRequest()
func (m Message) AsReconnectRequest() ReconnectRequest {
	return ReconnectRequest{ResponseTo: m.ResponseTo}
}

// LeaseList is a child's answer to a reconnect request.
type LeaseList struct {
	RequestID   uint64
	VolumeEpoch VolumeEpoch // of the parent that asked
	Records     []Record    // keys and versions, without values
}

// Message is the frame of the list, to be addressed by the sender.
//
// Example: m := message.LeaseList{RequestID: 5, Records: held}.Message(0)
func (l LeaseList) Message(partition int) Message {
	return Message{
		Kind: KindLeaseList, Partition: partition, RequestID: l.RequestID, VolumeEpoch: l.VolumeEpoch,
		Records: l.Records,
	}
}

// AsLeaseList reads a frame of KindLeaseList.
//
// Example: n.handleLeaseList(now, m.Sender(), m.AsLeaseList(), &out)
func (m Message) AsLeaseList() LeaseList {
	return LeaseList{RequestID: m.RequestID, VolumeEpoch: m.VolumeEpoch, Records: m.Records}
}

// Reconciliation confirms the records of a lease list that are up to date and
// grants the volume lease; what it doesn't confirm is invalid.
type Reconciliation struct {
	ResponseTo  uint64        // the lease list
	VolumeLease time.Duration // from when the list was sent
	ObjectLease time.Duration // of each record, from when the list was sent
	Records     []Record      // keys and versions, without values
}

// Message is the frame of the reconciliation; the sender adds the header and the address.
//
// Example: m := message.Reconciliation{ResponseTo: 5, VolumeLease: time.Second}.Message(0)
func (r Reconciliation) Message(partition int) Message {
	return Message{
		Kind: KindReconciled, Partition: partition, ResponseTo: r.ResponseTo, Length: int64(r.VolumeLease),
		ObjectLease: int64(r.ObjectLease), Records: r.Records,
	}
}

// AsReconciliation reads a frame of KindReconciled.
//
// Example: n.handleReconciled(now, m.GrantHeader(), m.AsReconciliation(), &out)
func (m Message) AsReconciliation() Reconciliation {
	return Reconciliation{
		ResponseTo: m.ResponseTo, VolumeLease: time.Duration(m.Length), ObjectLease: time.Duration(m.ObjectLease),
		Records: m.Records,
	}
}

// ReconnectDone says that a child has applied a reconciliation.
type ReconnectDone struct {
	Sequence    uint64      // of the reconciliation
	VolumeEpoch VolumeEpoch // of the parent
}

// Message is the frame of the message, to be addressed by the sender.
//
// Example: m := message.ReconnectDone{Sequence: 7, VolumeEpoch: epoch}.Message(0)
func (d ReconnectDone) Message(partition int) Message {
	return Message{Kind: KindReconnectDone, Partition: partition, ResponseTo: d.Sequence, VolumeEpoch: d.VolumeEpoch}
}

// AsReconnectDone reads a frame of KindReconnectDone.
//
// Example: n.handleReconnectDone(m.Sender(), m.AsReconnectDone())
func (m Message) AsReconnectDone() ReconnectDone {
	return ReconnectDone{Sequence: m.ResponseTo, VolumeEpoch: m.VolumeEpoch}
}

// Invalidation withdraws a record from a child and all below it.
type Invalidation struct {
	Key    string
	Number uint64 // of the invalidation at the parent; the acknowledgement names it
}

// Message is the frame of the invalidation; the sender adds the header and the address.
//
// Example: m := message.Invalidation{Key: "plan/now", Number: 3}.Message(0)
func (i Invalidation) Message(partition int) Message {
	return Message{Kind: KindInvalidate, Partition: partition, Key: i.Key, ResponseTo: i.Number}
}

// AsInvalidation reads a frame of KindInvalidate.
//
// Example: n.handleInvalidate(now, m.Sender(), m.GrantHeader(), m.AsInvalidation(), &out)
func (m Message) AsInvalidation() Invalidation { return Invalidation{Key: m.Key, Number: m.ResponseTo} }

// InvalidationAck says that no valid lease on a record is left at the sender or
// below it.
type InvalidationAck struct {
	Key         string
	Number      uint64      // of the invalidation
	VolumeEpoch VolumeEpoch // of the parent
}

// Message is the frame of the acknowledgement, to be addressed by the sender.
//
// Example: m := message.InvalidationAck{Key: "plan/now", Number: 3}.Message(0)
func (a InvalidationAck) Message(partition int) Message {
	return Message{
		Kind: KindInvalidated, Partition: partition, Key: a.Key, ResponseTo: a.Number, VolumeEpoch: a.VolumeEpoch,
	}
}

// AsInvalidationAck reads a frame of KindInvalidated.
//
// Example: n.handleInvalidated(now, m.Sender(), m.AsInvalidationAck(), &out)
func (m Message) AsInvalidationAck() InvalidationAck {
	return InvalidationAck{Key: m.Key, Number: m.ResponseTo, VolumeEpoch: m.VolumeEpoch}
}

// LeaseDenial says that a parent has no lease of its own to grant from.
type LeaseDenial struct {
	ResponseTo uint64 // the renewal; 0: one that waited too long
	Reason     string
}

// Message is the frame of the denial; the sender adds the header and the address.
//
// Example: m := message.LeaseDenial{ResponseTo: 4, Reason: "no lease"}.Message(0)
func (d LeaseDenial) Message(partition int) Message {
	return Message{Kind: KindDenyLease, Partition: partition, ResponseTo: d.ResponseTo, Reason: d.Reason}
}

// AsLeaseDenial reads a frame of KindDenyLease.
//
// Example: denial := m.AsLeaseDenial()
func (m Message) AsLeaseDenial() LeaseDenial {
	return LeaseDenial{ResponseTo: m.ResponseTo, Reason: m.Reason}
}

// Redirect names a better parent.
type Redirect struct {
	Parent Replica
	Reason string // RedirectJoin, RedirectSplit or RedirectReturn
}

// Message is the frame of the redirect; the sender adds the header and the address.
//
// Example: m := message.Redirect{Parent: relay, Reason: message.RedirectSplit}.Message(0)
func (r Redirect) Message(partition int) Message {
	return Message{Kind: KindRedirect, Partition: partition, Hint: r.Parent, Reason: r.Reason}
}

// AsRedirect reads a frame of KindRedirect.
//
// Example: n.handleRedirect(now, m.Sender(), m.GrantHeader(), m.AsRedirect(), &out)
func (m Message) AsRedirect() Redirect { return Redirect{Parent: m.Hint, Reason: m.Reason} }
