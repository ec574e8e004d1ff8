package lease

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A request older than maxRequestAge later ones is taken to be lost; they are looked
// through when there are more than maxRequests.
const (
	maxRequests   = 16
	maxRequestAge = 12
)

// maxBackoff bounds the doubling of the time between two requests for a record.
const maxBackoff = 4

// upstream is a node's side as a child: its parent, the volume lease that it has
// from there, and what it asked for.
type upstream struct {
	parent       message.Replica                // zero: none
	volumeEpoch  message.VolumeEpoch            // of the parent, since the last reconnect; zero: not yet connected
	volumeExpiry time.Duration                  // end of the volume lease, also of the one from an earlier parent
	lastSequence map[message.VolumeEpoch]uint64 // highest number that came from each granter

	lastRequest uint64                   // numbers renewals and lease lists
	requests    map[uint64]time.Duration // unanswered ones -> when sent; a lease counts from then
	fetches     map[string]pendingFetch  // by key

	lastRenewal   time.Duration // when one was sent last
	lastLeaseList time.Duration // when one was sent last to this parent; 0: none
	lastAnswer    time.Duration // when the parent answered last, was set, or was given up
	renewNext     bool          // renew before the interval has passed, as soon as minRenewGap allows it

	unansweredSince time.Duration // since when a renewal is needed and not answered; 0: none is
	lastTick        time.Duration // a longer gap means that the node stood still
}

func newUpstream() upstream {
	return upstream{
		lastSequence: map[message.VolumeEpoch]uint64{},
		requests:     map[uint64]time.Duration{},
		fetches:      map[string]pendingFetch{},
	}
}

// pendingFetch is a record to be asked for at the parent.
type pendingFetch struct {
	since    time.Duration // an object lease counts from here
	lastSent time.Duration // when a renewal asked for it last
	attempts int           // renewals that asked for it; 0: none, or none that will be answered
}

// shouldAsk tells whether the next renewal is to ask for the record. The interval is
// doubled with each attempt: a parent that is slow would otherwise get the more requests,
// the slower it is.
func (f pendingFetch) shouldAsk(now, renewInterval time.Duration) bool {
	return f.attempts == 0 || now-f.lastSent >= renewInterval/2<<min(f.attempts-1, maxBackoff)
}

// fetch has a record asked for with the next renewal.
func (u *upstream) fetch(now time.Duration, key string) {
	if _, ok := u.fetches[key]; !ok {
		u.fetches[key] = pendingFetch{since: now}
	}
}

// refetchAll has every pending record asked for with the next renewal, since the
// requests under way won't be answered.
func (u *upstream) refetchAll() {
	for key, f := range u.fetches {
		u.fetches[key] = pendingFetch{since: f.since}
	}
}

// connectTo sets another parent.
func (u *upstream) connectTo(now time.Duration, parent message.Replica) {
	u.parent, u.volumeEpoch = parent, message.VolumeEpoch{}
	u.requests, u.lastLeaseList = map[uint64]time.Duration{}, 0
	u.lastAnswer = now
	u.refetchAll()
}

// disconnect drops parent, lease and requests.
func (u *upstream) disconnect() {
	u.parent, u.volumeEpoch, u.volumeExpiry = message.Replica{}, message.VolumeEpoch{}, 0
	u.requests, u.fetches = map[uint64]time.Duration{}, map[string]pendingFetch{}
	u.unansweredSince = 0
}

// newRequest numbers a request that is sent now.
func (u *upstream) newRequest(now time.Duration) uint64 {
	u.lastRequest++
	u.requests[u.lastRequest] = now
	return u.lastRequest
}

// forgetOldRequests drops requests whose answer is no longer expected.
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

// isConnected tells whether the parent knows what this node holds.
func (u *upstream) isConnected() bool { return u.volumeEpoch.Ident == u.parent.Ident }

// isParentSilent tells whether the parent has not answered for longer than a time.
func (u *upstream) isParentSilent(now, bound time.Duration) bool { return now-u.lastAnswer > bound }

// SetParent sets the parent. The old one's lease goes on being honoured until the
// new one has confirmed our records.
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

// noteTick notes that time passed. A node that stood still may not have heard the
// answer to its renewal yet; without a parent there is nobody to ask.
func (n *Node) noteTick(now time.Duration) {
	u := &n.upstream
	if now-u.lastTick > n.cfg.patience() {
		u.unansweredSince = 0
	}
	u.lastTick = now
	if u.unansweredSince == 0 && !n.HasVolumeLease(now) {
		u.unansweredSince = now
	}
}

// renewOnSchedule renews when the interval has passed, or earlier if a record is wanted.
func (n *Node) renewOnSchedule(now time.Duration, out *Out) {
	switch {
	case now-n.upstream.lastRenewal >= n.cfg.RenewInterval:
		n.renew(now, out)
	case n.upstream.renewNext:
		n.renewSoon(now, out)
	}
}

// renewSoon asks for what is wanted at once, but for what comes in a row only
// once, a little later: each renewal is a message up and a message down.
func (n *Node) renewSoon(now time.Duration, out *Out) {
	if now-n.upstream.lastRenewal < n.cfg.minRenewGap() {
		n.upstream.renewNext = true
		return
	}
	n.renew(now, out)
}

// renew asks the parent for the volume lease, and for what is wanted and was
// not asked for just now.
func (n *Node) renew(now time.Duration, out *Out) {
	u := &n.upstream
	u.renewNext = false
	if n.root.active || u.parent.Ident == "" {
		return
	}
	keys := n.keysToAsk(now)
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

// keysToAsk are the keys of the records to ask for in a renewal now, in order. A parent that
// doesn't know this node yet has it reconnect and looks at no key.
func (n *Node) keysToAsk(now time.Duration) (keys []string) {
	u := &n.upstream
	if !u.isConnected() {
		return nil
	}
	for key, f := range u.fetches {
		if f.shouldAsk(now, n.cfg.RenewInterval) {
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

// isAddressee tells whether a granter's message comes from the granter itself and is
// meant for this incarnation. A granter tells an earlier one what it granted to that.
func (n *Node) isAddressee(sender message.Sender, header message.GrantHeader) bool {
	return header.VolumeEpoch.Ident == sender.Ident && header.ChildEpoch == n.epoch
}

// acceptFromParent tells whether a message is the parent's and was not overtaken by
// a later one, and notes it then.
func (n *Node) acceptFromParent(now time.Duration, sender message.Sender, header message.GrantHeader) bool {
	u := &n.upstream
	if !n.isAddressee(sender, header) || n.root.active || sender.Ident != u.parent.Ident ||
		header.Sequence <= u.lastSequence[header.VolumeEpoch] {
		return false
	}
	u.lastSequence[header.VolumeEpoch] = header.Sequence
	u.lastAnswer = now
	return true
}

// handleInvalidate drops a record here and below. Whoever says so, dropping a record
// is safe; the sequence number makes a grant that was overtaken by this invalidation
// come too late.
func (n *Node) handleInvalidate(
	now time.Duration, sender message.Sender, header message.GrantHeader, m message.Invalidation, out *Out,
) {
	if !n.isAddressee(sender, header) {
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

// handleRedirect passes on the name of a better parent. A relay that is back is no
// parent of this node, and asks for its return in any case.
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

// handleReconnect sends the list of the records that are held under a valid lease.
func (n *Node) handleReconnect(now time.Duration, header message.GrantHeader, out *Out) {
	u := &n.upstream
	if u.lastLeaseList > 0 && now-u.lastLeaseList < n.cfg.leaseListGap() {
		return
	}
	u.lastLeaseList = now
	list := message.LeaseList{
		RequestID: u.newRequest(now), VolumeEpoch: header.VolumeEpoch, Records: n.records.list(now),
	}
	n.sendToParent(list.Message(n.partition), out)
}

// handleReconciled takes the volume lease with the records that the parent confirms,
// and drops the others.
func (n *Node) handleReconciled(
	now time.Duration, header message.GrantHeader, m message.Reconciliation, out *Out,
) {
	u := &n.upstream
	sentAt, ok := u.requests[m.ResponseTo]
	if !ok {
		return
	}
	n.noteAnswered(now, m.ResponseTo, sentAt)
	n.keepConfirmed(now, m.Records, sentAt+m.ObjectLease, out)
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

// keepConfirmed gives records that the parent confirmed a new object lease, and
// withdraws all others.
func (n *Node) keepConfirmed(now time.Duration, confirmed []message.Record, expiry time.Duration, out *Out) {
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

// fetchPinned has the pinned records asked for that can't be served.
func (n *Node) fetchPinned(now time.Duration) {
	for key := range n.records.pinned {
		if _, ok := n.Get(now, key); !ok {
			n.upstream.fetch(now, key)
		}
	}
}

// handleGrantLease takes the volume lease, if the grant answers a renewal, and the
// records that come with it.
func (n *Node) handleGrantLease(now time.Duration, header message.GrantHeader, m message.LeaseGrant, out *Out) {
	u := &n.upstream
	if header.VolumeEpoch != u.volumeEpoch {
		return
	}
	if sentAt, ok := u.requests[m.ResponseTo]; ok && m.VolumeLease > 0 {
		u.volumeExpiry = max(u.volumeExpiry, sentAt+m.VolumeLease)
		n.noteAnswered(now, m.ResponseTo, sentAt)
	}
	var passedOn Out
	for _, record := range m.Records {
		n.takeGranted(now, record, m.ObjectLease, &passedOn)
	}
	out.Readable = append(out.Readable, passedOn.Readable...)
	out.Sends = append(out.Sends, joinGrants(passedOn.Sends)...)
	n.answerPendingRenewals(now, out)
}

// takeGranted serves a record that was granted, here and to the children that wait
// for it. One whose patches don't apply is asked for once more, in full.
func (n *Node) takeGranted(now time.Duration, granted message.Record, objectLease time.Duration, out *Out) {
	key := granted.Key
	fetch, ok := n.upstream.fetches[key]
	if !ok || n.invalidations.underWay(key) {
		return
	}
	record, ok := n.applyPatches(granted)
	if !ok {
		n.upstream.fetches[key] = pendingFetch{since: fetch.since}
		n.upstream.renewNext = true
		return
	}
	delete(n.upstream.fetches, key)
	n.records.cached[key] = cachedRecord{record: record, expiry: fetch.since + objectLease}
	n.generation++
	out.Readable = append(out.Readable, key)
	n.serveWaiting(now, key, out)
}

// noteAnswered notes the answer to a request, and what it cost.
func (n *Node) noteAnswered(now time.Duration, request uint64, sentAt time.Duration) {
	delete(n.upstream.requests, request)
	n.upstream.unansweredSince = 0
	n.load.measure(now - sentAt)
}
