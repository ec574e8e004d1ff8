package lease

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A request is considered lost once more than maxRequestAge later requests have been sent.
// Lost requests are dropped when there are more than maxRequests.
const (
	maxRequests   = 16
	maxRequestAge = 12
)

// maxBackoff is the maximum number of times that the interval between two requests for a
// record is doubled.
const maxBackoff = 4

// upstream is the state of a node in its role as a child: its parent, the volume lease
// granted by it, and the outstanding requests.
type upstream struct {
	parent       message.Replica                // zero if none
	volumeEpoch  message.VolumeEpoch            // of the parent, as of the last reconnect; zero if not yet connected
	volumeExpiry time.Duration                  // end of the volume lease, possibly granted by an earlier parent
	lastSequence map[message.VolumeEpoch]uint64 // highest sequence number received from each granter

	lastRequest uint64                   // last request ID, shared by renewals and lease lists
	requests    map[uint64]time.Duration // ID of unanswered request -> when sent, which is when its lease begins
	fetches     map[string]pendingFetch  // by key

	lastRenewal   time.Duration // when the last renewal was sent
	lastLeaseList time.Duration // when the last lease list was sent to this parent; 0 if never
	lastAnswer    time.Duration // when the parent last answered, was set, or was reported as silent
	renewEarly    bool          // renew before the interval has passed, as soon as minRenewGap allows it

	unansweredSince time.Duration // since when a renewal is due or unanswered; 0 if none is
	lastTick        time.Duration // a gap longer than renewalTimeout means that the node was stalled
}

func newUpstream() upstream {
	return upstream{
		lastSequence: map[message.VolumeEpoch]uint64{},
		requests:     map[uint64]time.Duration{},
		fetches:      map[string]pendingFetch{},
	}
}

// pendingFetch is a record to be requested from the parent.
type pendingFetch struct {
	since    time.Duration // start of the object lease
	lastSent time.Duration // when a renewal last requested it
	attempts int           // number of renewals that requested the record and may still be answered
}

// shouldRequest reports whether the next renewal should request the record. The interval
// between requests doubles with each attempt. With a constant interval, a parent would
// receive more requests the slower it answers.
func (f pendingFetch) shouldRequest(now, renewInterval time.Duration) bool {
	return f.attempts == 0 || now-f.lastSent >= renewInterval/2<<min(f.attempts-1, maxBackoff)
}

// fetch makes the next renewal request a record.
func (u *upstream) fetch(now time.Duration, key string) {
	if _, ok := u.fetches[key]; !ok {
		u.fetches[key] = pendingFetch{since: now}
	}
}

// refetchAll makes the next renewal request every pending record again, since the
// outstanding requests will not be answered.
func (u *upstream) refetchAll() {
	for key, f := range u.fetches {
		u.fetches[key] = pendingFetch{since: f.since}
	}
}

// connectTo switches to another parent.
func (u *upstream) connectTo(now time.Duration, parent message.Replica) {
	u.parent, u.volumeEpoch = parent, message.VolumeEpoch{}
	u.requests, u.lastLeaseList = map[uint64]time.Duration{}, 0
	u.lastAnswer = now
	u.refetchAll()
}

// disconnect drops the parent, the volume lease and all requests.
func (u *upstream) disconnect() {
	u.parent, u.volumeEpoch, u.volumeExpiry = message.Replica{}, message.VolumeEpoch{}, 0
	u.requests, u.fetches = map[uint64]time.Duration{}, map[string]pendingFetch{}
	u.unansweredSince = 0
}

// newRequest returns the ID of a new request that is sent now.
func (u *upstream) newRequest(now time.Duration) uint64 {
	u.lastRequest++
	u.requests[u.lastRequest] = now
	return u.lastRequest
}

// forgetOldRequests drops requests for which an answer is no longer expected.
func (u *upstream) forgetOldRequests() {
	if len(u.requests) <= maxRequests {
		return
	}
	for id := range u.requests {
		if id+maxRequestAge < u.lastRequest {
			delete(u.requests, id)
		}
	}
}

// isConnected reports whether this node has reconnected to its current parent.
func (u *upstream) isConnected() bool { return u.volumeEpoch.Ident == u.parent.Ident }

// isParentSilent reports whether the parent has not answered for longer than bound.
func (u *upstream) isParentSilent(now, bound time.Duration) bool { return now-u.lastAnswer > bound }

// SetParent sets the parent. The lease granted by the old parent continues to be used until
// the new parent has confirmed this node's records.
//
// Example: out := n.SetParent(now, replica)
func (n *Node) SetParent(now time.Duration, parent message.Replica) (out Out) {
	if n.root.active || parent.Ident == n.self.Ident || parent == n.upstream.parent {
		return out
	}
	n.upstream.connectTo(now, parent)
	n.records.checkNow = true
	if parent.Ident != "" {
		n.renew(now, &out)
	}
	return out
}

// noteTick records the time of a tick. After a stall, the wait for an unanswered renewal
// restarts, since the answer may have arrived without having been handled yet. The wait
// also starts when there is no valid volume lease, even if no renewal was sent, because a
// node without a parent cannot send a renewal.
func (n *Node) noteTick(now time.Duration) {
	u := &n.upstream
	if now-u.lastTick > n.cfg.renewalTimeout() {
		u.unansweredSince = 0
	}
	u.lastTick = now
	if u.unansweredSince == 0 && !n.HasVolumeLease(now) {
		u.unansweredSince = now
	}
}

// renewOnSchedule renews when the interval has passed, or earlier if a record is needed.
func (n *Node) renewOnSchedule(now time.Duration, out *Out) {
	switch {
	case now-n.upstream.lastRenewal >= n.cfg.RenewInterval:
		n.renew(now, out)
	case n.upstream.renewEarly:
		n.renewSoon(now, out)
	}
}

// renewSoon renews immediately, unless another renewal was sent less than minRenewGap ago. In
// that case, one later renewal requests all records needed by that time, since each renewal
// costs a message in each direction.
func (n *Node) renewSoon(now time.Duration, out *Out) {
	if now-n.upstream.lastRenewal < n.cfg.minRenewGap() {
		n.upstream.renewEarly = true
		return
	}
	n.renew(now, out)
}

// renew requests the volume lease from the parent, along with the records that are needed
// and were not requested recently.
func (n *Node) renew(now time.Duration, out *Out) {
	u := &n.upstream
	u.renewEarly = false
	if n.root.active || u.parent.Ident == "" {
		return
	}
	keys := n.keysToRequest(now)
	request := u.newRequest(now)
	u.forgetOldRequests()
	u.lastRenewal = now
	if u.unansweredSince == 0 {
		u.unansweredSince = now
	}
	renewal := message.LeaseRenewal{
		RequestID: request, VolumeEpoch: u.volumeEpoch, Keys: keys,
		Bases: n.baseVersions(keys), RenewCost: n.load.renewCost,
	}
	n.sendToParent(renewal.Message(n.partition), out)
}

// keysToRequest returns the sorted keys of the records that a renewal should request now.
// There are none until this node is connected, because the parent would ignore the keys and
// request a reconnect.
func (n *Node) keysToRequest(now time.Duration) (keys []string) {
	u := &n.upstream
	if !u.isConnected() {
		return nil
	}
	for key, f := range u.fetches {
		if f.shouldRequest(now, n.cfg.RenewInterval) {
			keys = append(keys, key)
			u.fetches[key] = pendingFetch{since: f.since, lastSent: now, attempts: f.attempts + 1}
		}
	}
	slices.Sort(keys)
	return keys
}

func (n *Node) sendToParent(m message.Message, out *Out) {
	m.To = n.upstream.parent.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: n.upstream.parent.Addr, Message: m})
}

// isForThisIncarnation reports whether a message was sent by the granter named in its
// header and is addressed to this incarnation. Granters also send messages about the
// leases of earlier incarnations.
func (n *Node) isForThisIncarnation(sender message.Sender, header message.GrantHeader) bool {
	return header.VolumeEpoch.Ident == sender.Ident && header.ChildEpoch == n.epoch
}

// acceptFromParent reports whether a message is from the current parent and no later
// message has arrived before it. If so, it records the message as received.
func (n *Node) acceptFromParent(now time.Duration, sender message.Sender, header message.GrantHeader) bool {
	u := &n.upstream
	if !n.isForThisIncarnation(sender, header) || n.root.active || sender.Ident != u.parent.Ident ||
		header.Sequence <= u.lastSequence[header.VolumeEpoch] {
		return false
	}
	u.lastSequence[header.VolumeEpoch] = header.Sequence
	u.lastAnswer = now
	return true
}

// handleInvalidate drops a record at this node and its descendants. Dropping a record is safe
// no matter which granter requests it. Recording the sequence number ensures that a grant overtaken by this
// invalidation is rejected when it arrives.
func (n *Node) handleInvalidate(
	now time.Duration, sender message.Sender, header message.GrantHeader, m message.Invalidation, out *Out,
) {
	if !n.isForThisIncarnation(sender, header) {
		return
	}
	last := n.upstream.lastSequence
	last[header.VolumeEpoch] = max(last[header.VolumeEpoch], header.Sequence)
	inv := n.withdraw(now, m.Key, out)
	inv.granters = append(inv.granters, waitingGranter{
		replica: sender.Replica, number: m.Number, volumeEpoch: header.VolumeEpoch,
	})
	n.completeIfAcknowledged(now, inv, out)
}

// handleRedirect reports a better parent to the daemon. A relay that is available again may
// redirect its former children to itself, although it is not their parent at that time.
func (n *Node) handleRedirect(
	now time.Duration, sender message.Sender, header message.GrantHeader, m message.Redirect, out *Out,
) {
	if m.Reason == message.RedirectReturn {
		if header.VolumeEpoch.Ident == sender.Ident {
			out.Redirect = m.Parent
		}
		return
	}
	if n.acceptFromParent(now, sender, header) {
		out.Redirect = m.Parent
	}
}

// handleReconnect sends the parent a list of the records with valid object leases, unless
// the last list was sent less than leaseListGap ago.
func (n *Node) handleReconnect(now time.Duration, header message.GrantHeader, out *Out) {
	u := &n.upstream
	if u.lastLeaseList > 0 && now-u.lastLeaseList < n.cfg.leaseListGap() {
		return
	}
	u.lastLeaseList = now
	list := message.LeaseList{
		RequestID: u.newRequest(now), VolumeEpoch: header.VolumeEpoch, Records: n.records.leaseList(now),
	}
	n.sendToParent(list.Message(n.partition), out)
}

// handleReconciled accepts the volume lease and the records that the parent confirmed,
// and drops all other records.
func (n *Node) handleReconciled(
	now time.Duration, header message.GrantHeader, m message.Reconciliation, out *Out,
) {
	u := &n.upstream
	sentAt, ok := u.requests[m.ResponseTo]
	if !ok {
		return
	}
	n.completeRequest(now, m.ResponseTo, sentAt)
	n.reconcileRecords(now, m.Records, sentAt+m.ObjectLease, out)
	u.volumeEpoch = header.VolumeEpoch
	u.volumeExpiry = sentAt + m.VolumeLease
	done := message.ReconnectDone{Sequence: header.Sequence, VolumeEpoch: header.VolumeEpoch}
	n.sendToParent(done.Message(n.partition), out)
	n.fetchPinned(now)
	u.refetchAll()
	if len(u.fetches) > 0 {
		n.renew(now, out)
	}
	n.answerPendingRenewals(now, out)
}

// reconcileRecords extends the object leases of the records that the parent confirmed, and
// withdraws all other records.
func (n *Node) reconcileRecords(now time.Duration, confirmed []message.Record, expiry time.Duration, out *Out) {
	byKey := map[string]message.Record{}
	for _, record := range confirmed {
		byKey[record.Key] = record
	}
	for _, key := range sortedKeys(n.records.cached) {
		cached := n.records.cached[key]
		record, ok := byKey[key]
		if ok && record.Version == cached.record.Version && record.Deleted == cached.record.Deleted {
			cached.expiry = expiry
			n.records.cached[key] = cached
			continue
		}
		n.invalidate(now, key, out)
	}
}

// fetchPinned requests the pinned records that cannot be served.
func (n *Node) fetchPinned(now time.Duration) {
	for key := range n.records.pinned {
		if _, ok := n.Get(now, key); !ok {
			n.upstream.fetch(now, key)
		}
	}
}

// handleGrantLease accepts the granted records and, if the grant answers a renewal, the
// volume lease.
func (n *Node) handleGrantLease(now time.Duration, header message.GrantHeader, m message.LeaseGrant, out *Out) {
	u := &n.upstream
	if header.VolumeEpoch != u.volumeEpoch {
		return
	}
	if sentAt, ok := u.requests[m.ResponseTo]; ok && m.VolumeLease > 0 {
		u.volumeExpiry = max(u.volumeExpiry, sentAt+m.VolumeLease)
		n.completeRequest(now, m.ResponseTo, sentAt)
	}
	var recordsOut Out
	for _, record := range m.Records {
		n.acceptGrantedRecord(now, record, m.ObjectLease, &recordsOut)
	}
	out.Readable = append(out.Readable, recordsOut.Readable...)
	out.Sends = append(out.Sends, mergeGrants(recordsOut.Sends)...)
	n.answerPendingRenewals(now, out)
}

// acceptGrantedRecord caches a granted record and sends it to the children that wait for
// it. If its patches do not apply, the record is requested again in full.
func (n *Node) acceptGrantedRecord(now time.Duration, granted message.Record, objectLease time.Duration, out *Out) {
	key := granted.Key
	fetch, ok := n.upstream.fetches[key]
	if !ok || n.invalidations.isInProgress(key) {
		return
	}
	record, ok := n.applyPatches(granted)
	if !ok {
		n.upstream.fetches[key] = pendingFetch{since: fetch.since}
		n.upstream.renewEarly = true
		return
	}
	delete(n.upstream.fetches, key)
	n.records.cached[key] = cachedRecord{record: record, expiry: fetch.since + objectLease}
	n.generation++
	out.Readable = append(out.Readable, key)
	n.serveWaiters(now, key, out)
}

// completeRequest records that a request was answered, and how long that took.
func (n *Node) completeRequest(now time.Duration, request uint64, sentAt time.Duration) {
	delete(n.upstream.requests, request)
	n.upstream.unansweredSince = 0
	n.load.addRenewCost(now - sentAt)
}
