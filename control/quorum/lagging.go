package quorum

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// This file implements catch-up during writes. A replica that was unreachable while hundreds
// of writes were committed is sent the differing ranges once instead of each write. It is up
// to date when these ranges are on its disk.

// laggingPeer is a replica or learner that did not acknowledge a committed write in time.
type laggingPeer struct {
	lastMissed    uint64        // the request ID of the last write that it did not acknowledge in time
	comparedAt    time.Duration // when it was last asked to compare its copy
	hasAckedSince bool          // it has acknowledged a write since it began to lag
	comparisons   int           // comparisons sent since that acknowledgement
}

// noteLateAnswer records an acknowledgement that arrived after its write was committed.
func (r *Replica) noteLateAnswer(from message.Sender, request uint64) {
	if l := r.copies.lagging[from.Ident]; l != nil {
		l.hasAckedSince = true
	}
	if w := r.replication.partiallyAcked[request]; w != nil {
		w.acks[from.Ident] = true
		r.replication.commit(request, w, r.peers())
	}
}

// catchUpLagging sends the lagging peers this leader's digests to compare, so that they
// receive the writes that they missed.
func (r *Replica) catchUpLagging(now time.Duration, out *Out) {
	r.markLaggingPeers(now)
	for _, peer := range r.peers() {
		l := r.copies.lagging[peer.Ident]
		if l == nil || !r.copies.installed[peer.Ident] || now-l.comparedAt < 2*r.cfg.HeartbeatInterval {
			continue
		}
		if l.hasAckedSince {
			l.comparisons++
		}
		if l.comparisons > repairIntervalLeases { // an earlier build, which doesn't answer if its copy is equal
			delete(r.copies.lagging, peer.Ident)
			continue
		}
		l.comparedAt = now
		out.send(peer, message.InstallState{
			Term: r.term, Purpose: message.InstallForRepair, RequestID: r.replication.lastRequest,
			Digests: r.records.Digests(), Group: r.meta.Group,
		}.Message(r.partition))
	}
}

// markLaggingPeers marks the peers that did not acknowledge a committed write in time
// as lagging.
func (r *Replica) markLaggingPeers(now time.Duration) {
	for _, request := range slices.Sorted(maps.Keys(r.replication.partiallyAcked)) {
		w := r.replication.partiallyAcked[request]
		if now-w.sentAt < r.cfg.HeartbeatInterval {
			continue
		}
		delete(r.replication.partiallyAcked, request)
		for _, peer := range r.peers() {
			if w.acks[peer.Ident] || peer.Ident == r.self.Ident {
				continue
			}
			if r.copies.lagging[peer.Ident] == nil {
				r.copies.lagging[peer.Ident] = &laggingPeer{comparedAt: now - 2*r.cfg.HeartbeatInterval}
			}
			r.copies.lagging[peer.Ident].lastMissed = request
		}
	}
}

// noteCaughtUp handles a peer's answer that its disk holds all writes up to a request.
func (r *Replica) noteCaughtUp(from message.Sender, request uint64) {
	if l := r.copies.lagging[from.Ident]; l != nil && request >= l.lastMissed {
		delete(r.copies.lagging, from.Ident)
	}
}
