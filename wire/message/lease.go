package message

import "time"

// Reasons for a redirect.
const (
	RedirectJoin   = "join"   // the children of a relay go to the relay's own parent
	RedirectSplit  = "split"  // children go to a relay between them and the sender
	RedirectReturn = "return" // a relay that has regained its lease takes back the children of its zone
)

// GrantHeader is part of every message from a parent to a child of the lease tree.
type GrantHeader struct {
	Sequence    uint64      // number of the message; the child drops a message that arrives after one with a higher number
	ChildEpoch  uint64      // incarnation of the child that the message is for; encoded in the frame's Term
	VolumeEpoch VolumeEpoch // of the parent
}

// WithGrantHeader returns the frame with the header of a message from a parent to a child.
//
// Example: m := grant.Message(3).WithGrantHeader(message.GrantHeader{Sequence: 7, ChildEpoch: 2, VolumeEpoch: own})
func (m Message) WithGrantHeader(h GrantHeader) Message {
	m.RequestID, m.Term, m.VolumeEpoch = h.Sequence, h.ChildEpoch, h.VolumeEpoch
	return m
}

// GrantHeader returns the header of a frame sent by a parent.
//
// Example: if m.GrantHeader().ChildEpoch != epoch { return }
func (m Message) GrantHeader() GrantHeader {
	return GrantHeader{Sequence: m.RequestID, ChildEpoch: m.Term, VolumeEpoch: m.VolumeEpoch}
}

// LeaseRenewal requests the volume lease and records from a parent.
type LeaseRenewal struct {
	RequestID   uint64
	VolumeEpoch VolumeEpoch   // of the parent, as of the last reconnect; zero before the first
	Keys        []string      // of the requested records
	Bases       []Record      // key and version of the requested records that the child can patch
	RenewCost   time.Duration // smoothed cost of renewals at this parent, as measured by the child
}

// Message encodes the renewal as a frame. The caller sets the recipient.
//
// Example: m := message.LeaseRenewal{RequestID: 4, Keys: []string{"plan/now"}}.Message(0)
func (r LeaseRenewal) Message(partition int) Message {
	return Message{
		Kind: KindRenewLease, Partition: partition, RequestID: r.RequestID, VolumeEpoch: r.VolumeEpoch,
		Keys: r.Keys, Records: r.Bases, RenewCost: int64(r.RenewCost),
	}
}

// AsLeaseRenewal decodes a frame of KindRenewLease.
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
	ResponseTo  uint64        // RequestID of the renewal; 0 if the records became available after its answer
	VolumeLease time.Duration // counted from when the renewal was sent; 0: not granted
	ObjectLease time.Duration // of each record, counted from when it was first requested
	Records     []Record
}

// Message encodes the grant as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.LeaseGrant{ResponseTo: 4, VolumeLease: time.Second}.Message(0)
func (g LeaseGrant) Message(partition int) Message {
	return Message{
		Kind: KindGrantLease, Partition: partition, ResponseTo: g.ResponseTo, Length: int64(g.VolumeLease),
		ObjectLease: int64(g.ObjectLease), Records: g.Records,
	}
}

// AsLeaseGrant decodes a frame of KindGrantLease.
//
// Example: n.handleGrantLease(now, m.GrantHeader(), m.AsLeaseGrant(), &out)
func (m Message) AsLeaseGrant() LeaseGrant {
	return LeaseGrant{
		ResponseTo: m.ResponseTo, VolumeLease: time.Duration(m.Length), ObjectLease: time.Duration(m.ObjectLease),
		Records: m.Records,
	}
}

// ReconnectRequest asks a child for the list of records that it holds.
type ReconnectRequest struct {
	ResponseTo uint64 // RequestID of the renewal that could not be granted
}

// Message encodes the request as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.ReconnectRequest{ResponseTo: 4}.Message(0)
func (r ReconnectRequest) Message(partition int) Message {
	return Message{Kind: KindReconnect, Partition: partition, ResponseTo: r.ResponseTo}
}

// AsReconnectRequest decodes a frame of KindReconnect.
//
// Example: request := m.AsReconnectRequest()
func (m Message) AsReconnectRequest() ReconnectRequest {
	return ReconnectRequest{ResponseTo: m.ResponseTo}
}

// LeaseList is a child's answer to a ReconnectRequest.
type LeaseList struct {
	RequestID   uint64
	VolumeEpoch VolumeEpoch // of the parent that sent the request
	Records     []Record    // keys and versions, without values
}

// Message encodes the list as a frame. The caller sets the recipient.
//
// Example: m := message.LeaseList{RequestID: 5, Records: held}.Message(0)
func (l LeaseList) Message(partition int) Message {
	return Message{
		Kind: KindLeaseList, Partition: partition, RequestID: l.RequestID, VolumeEpoch: l.VolumeEpoch,
		Records: l.Records,
	}
}

// AsLeaseList decodes a frame of KindLeaseList.
//
// Example: n.handleLeaseList(now, m.Sender(), m.AsLeaseList(), &out)
func (m Message) AsLeaseList() LeaseList {
	return LeaseList{RequestID: m.RequestID, VolumeEpoch: m.VolumeEpoch, Records: m.Records}
}

// Reconciliation confirms the records of a lease list that are up to date and
// grants the volume lease. Records that it doesn't confirm are invalid.
type Reconciliation struct {
	ResponseTo  uint64        // RequestID of the lease list
	VolumeLease time.Duration // counted from when the list was sent
	ObjectLease time.Duration // of each record, counted from when the list was sent
	Records     []Record      // keys and versions, without values
}

// Message encodes the reconciliation as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.Reconciliation{ResponseTo: 5, VolumeLease: time.Second}.Message(0)
func (r Reconciliation) Message(partition int) Message {
	return Message{
		Kind: KindReconciled, Partition: partition, ResponseTo: r.ResponseTo, Length: int64(r.VolumeLease),
		ObjectLease: int64(r.ObjectLease), Records: r.Records,
	}
}

// AsReconciliation decodes a frame of KindReconciled.
//
// Example: n.handleReconciled(now, m.GrantHeader(), m.AsReconciliation(), &out)
func (m Message) AsReconciliation() Reconciliation {
	return Reconciliation{
		ResponseTo: m.ResponseTo, VolumeLease: time.Duration(m.Length), ObjectLease: time.Duration(m.ObjectLease),
		Records: m.Records,
	}
}

// ReconnectDone confirms that a child has applied a reconciliation.
type ReconnectDone struct {
	Sequence    uint64      // of the reconciliation
	VolumeEpoch VolumeEpoch // of the parent
}

// Message encodes the confirmation as a frame. The caller sets the recipient.
//
// Example: m := message.ReconnectDone{Sequence: 7, VolumeEpoch: epoch}.Message(0)
func (d ReconnectDone) Message(partition int) Message {
	return Message{Kind: KindReconnectDone, Partition: partition, ResponseTo: d.Sequence, VolumeEpoch: d.VolumeEpoch}
}

// AsReconnectDone decodes a frame of KindReconnectDone.
//
// Example: n.handleReconnectDone(m.Sender(), m.AsReconnectDone())
func (m Message) AsReconnectDone() ReconnectDone {
	return ReconnectDone{Sequence: m.ResponseTo, VolumeEpoch: m.VolumeEpoch}
}

// Invalidation invalidates a record at a child and all its descendants.
type Invalidation struct {
	Key    string
	Number uint64 // assigned by the parent; echoed by the acknowledgement
}

// Message encodes the invalidation as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.Invalidation{Key: "plan/now", Number: 3}.Message(0)
func (i Invalidation) Message(partition int) Message {
	return Message{Kind: KindInvalidate, Partition: partition, Key: i.Key, ResponseTo: i.Number}
}

// AsInvalidation decodes a frame of KindInvalidate.
//
// Example: n.handleInvalidate(now, m.Sender(), m.GrantHeader(), m.AsInvalidation(), &out)
func (m Message) AsInvalidation() Invalidation { return Invalidation{Key: m.Key, Number: m.ResponseTo} }

// InvalidationAck confirms that neither the sender nor any of its descendants holds
// a valid lease on a record.
type InvalidationAck struct {
	Key         string
	Number      uint64      // of the invalidation
	VolumeEpoch VolumeEpoch // of the parent
}

// Message encodes the acknowledgement as a frame. The caller sets the recipient.
//
// Example: m := message.InvalidationAck{Key: "plan/now", Number: 3}.Message(0)
func (a InvalidationAck) Message(partition int) Message {
	return Message{
		Kind: KindInvalidated, Partition: partition, Key: a.Key, ResponseTo: a.Number, VolumeEpoch: a.VolumeEpoch,
	}
}

// AsInvalidationAck decodes a frame of KindInvalidated.
//
// Example: n.handleInvalidationAck(now, m.Sender(), m.AsInvalidationAck(), &out)
func (m Message) AsInvalidationAck() InvalidationAck {
	return InvalidationAck{Key: m.Key, Number: m.ResponseTo, VolumeEpoch: m.VolumeEpoch}
}

// LeaseDenial reports that a parent holds no lease itself and so can't grant any.
type LeaseDenial struct {
	ResponseTo uint64 // RequestID of the renewal; 0 if the renewal timed out while waiting at the parent
	Reason     string
}

// Message encodes the denial as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.LeaseDenial{ResponseTo: 4, Reason: "no lease"}.Message(0)
func (d LeaseDenial) Message(partition int) Message {
	return Message{Kind: KindDenyLease, Partition: partition, ResponseTo: d.ResponseTo, Reason: d.Reason}
}

// AsLeaseDenial decodes a frame of KindDenyLease.
//
// Example: denial := m.AsLeaseDenial()
func (m Message) AsLeaseDenial() LeaseDenial {
	return LeaseDenial{ResponseTo: m.ResponseTo, Reason: m.Reason}
}

// Redirect tells a child to use another parent.
type Redirect struct {
	Parent Replica
	Reason string // RedirectJoin, RedirectSplit or RedirectReturn
}

// Message encodes the redirect as a frame. The caller adds the grant header and the recipient.
//
// Example: m := message.Redirect{Parent: relay, Reason: message.RedirectSplit}.Message(0)
func (r Redirect) Message(partition int) Message {
	return Message{Kind: KindRedirect, Partition: partition, Hint: r.Parent, Reason: r.Reason}
}

// AsRedirect decodes a frame of KindRedirect.
//
// Example: n.handleRedirect(now, m.Sender(), m.GrantHeader(), m.AsRedirect(), &out)
func (m Message) AsRedirect() Redirect { return Redirect{Parent: m.Hint, Reason: m.Reason} }
