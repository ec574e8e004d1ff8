package quorum

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Catching up, beside what is being written: a replica that was away while hundreds
// of writes came is sent the ranges that differ, once, and is complete when its disk
// has them.

// lagging is a replica or learner that a write was committed without.
type lagging struct {
	lastMissed uint64        // the request number of the last such write
	comparedAt time.Duration // when it was last asked to compare its copy
	isTaking   bool          // it took a write since it lags
	compares   int           // comparisons sent since then
}

// noteLateAnswer takes an answer to a write that was committed without it.
func (r *Replica) noteLateAnswer(from message.Sender, request uint64) {
	if l := r.copies.lagging[from.Ident]; l != nil {
		l.isTaking = true
	}
	if w := r.replication.partial[request]; w != nil {
		w.acks[from.Ident] = true
		r.replication.commit(request, w, r.peers())
	}
}

// catchUpLagging brings whoever missed writes up to the leader's copy.
func (r *Replica) catchUpLagging(now time.Duration, out *Out) {
	r.noteMissedWrites(now)
	for _, peer := range r.peers() {
		l := r.copies.lagging[peer.Ident]
		if l == nil || !r.copies.installed[peer.Ident] || now-l.comparedAt < 2*r.cfg.HeartbeatInterval {
			continue
		}
		if l.isTaking {
			l.compares++
		}
		if l.compares > repairLeases { // an earlier build, which doesn't answer when its copy is equal
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

// noteMissedWrites has those lag who have not answered to a committed write in time.
func (r *Replica) noteMissedWrites(now time.Duration) {
	for _, request := range slices.Sorted(maps.Keys(r.replication.partial)) {
		w := r.replication.partial[request]
		if now-w.sentAt < r.cfg.HeartbeatInterval {
			continue
		}
		delete(r.replication.partial, request)
		for _, peer := range r.peers() {
			if w.acks[peer.Ident] || peer.Ident == r.self.Ident {
				continue
			}
			if r.copies.lagging[peer.Ident] == nil {
				r.copies.lagging[peer.Ident] = &lagging{comparedAt: now - 2*r.cfg.HeartbeatInterval}
			}
			r.copies.lagging[peer.Ident].lastMissed = request
		}
	}
}

// noteCaughtUp takes a peer's answer that its disk has all up to a write.
func (r *Replica) noteCaughtUp(from message.Sender, request uint64) {
	if l := r.copies.lagging[from.Ident]; l != nil && request >= l.lastMissed {
		delete(r.copies.lagging, from.Ident)
	}
}
