package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

// This file implements the leader lease. A leader acts only while a majority supports it.
// A voter that acknowledges a heartbeat supports no other leader for the length of a lease.

// maxOpenRounds is the number of heartbeat rounds that may be in flight before the
// latest one. Answers to earlier rounds don't renew the lease.
const maxOpenRounds = 8

// leaderLease is a leader's lease and the rounds of heartbeats that renew it. Once a
// majority has acknowledged a round, the lease runs from when that round was sent.
type leaderLease struct {
	end         time.Duration // the lease is valid before this time
	round       uint64        // the last round that was sent
	heartbeatAt time.Duration // when the last round was sent
	sentAt      map[uint64]time.Duration
	acks        map[uint64]map[string]bool
}

func newLeaderLease() leaderLease {
	return leaderLease{sentAt: map[uint64]time.Duration{}, acks: map[uint64]map[string]bool{}}
}

// startRound opens a round that is sent now, and closes those that are too old.
func (l *leaderLease) startRound(now time.Duration) {
	l.heartbeatAt = now
	l.round++
	l.sentAt[l.round] = now
	for round := range l.sentAt {
		if round+maxOpenRounds < l.round {
			l.closeRound(round)
		}
	}
}

func (l *leaderLease) closeRound(round uint64) {
	delete(l.sentAt, round)
	delete(l.acks, round)
}

// clearRounds drops the open rounds, so that answers to them are ignored.
func (l *leaderLease) clearRounds() {
	l.sentAt, l.acks = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
}

// ack records an acknowledgement of an open round.
func (l *leaderLease) ack(round uint64, from string) {
	if l.acks[round] == nil {
		l.acks[round] = map[string]bool{}
	}
	l.acks[round][from] = true
}

// extend renews the lease from the time that a round was sent. An expired lease is
// never renewed, since voters may have voted for another leader since.
func (l *leaderLease) extend(now, sentAt, length time.Duration) (renewed bool) {
	if now >= l.end {
		return false
	}
	l.end = max(l.end, sentAt+length)
	return true
}

// sendHeartbeats starts a heartbeat round.
func (r *Replica) sendHeartbeats(now time.Duration, out *Out) {
	r.lease.startRound(now)
	for _, peer := range r.peers() {
		r.sendHeartbeat(peer, out)
	}
}

// sendHeartbeat sends a peer the heartbeat of the current round.
func (r *Replica) sendHeartbeat(to message.Replica, out *Out) {
	heartbeat := message.Heartbeat{Term: r.term, Round: r.lease.round, Peers: r.announcePeers(to)}
	out.send(to, heartbeat.Message(r.partition))
}

// handleHeartbeat acknowledges the leader that this replica voted for or whose term
// it joined, and rejects any other.
func (r *Replica) handleHeartbeat(now time.Duration, from message.Sender, m message.Heartbeat, out *Out) {
	if !r.meta.isVotedFor(m.Term, from.Ident) {
		r.reject(now, from.Replica, m.Term, 0, out)
		return
	}
	r.support.leader = from.Ident
	r.support.until = max(r.support.until, now+r.cfg.Wait(r.cfg.LeaderLease))
	r.support.known = message.Leadership{Partition: r.partition, Term: m.Term, Leader: from.Replica}
	r.support.knownAt = now
	r.ackHeartbeat(from.Replica, message.HeartbeatAck{Term: m.Term, Round: m.Round, Terminating: r.resigned}, out)
	if r.meta.Incomplete { // the leader may assume that this copy is complete
		out.send(from.Replica, message.StateMismatch{Term: m.Term, Digests: r.records.Digests()}.Message(r.partition))
	}
}

// ackHeartbeat acknowledges a heartbeat once the vote for the leader is on disk. If a
// restart lost the vote, this replica could support another leader before the lease expires.
func (r *Replica) ackHeartbeat(to message.Replica, ack message.HeartbeatAck, out *Out) {
	if r.disk.isVoteUnsaved() {
		r.save(out, nil, nil)
	}
	frame := envelope(to, ack.Message(r.partition))
	if !r.disk.isPending(r.disk.voteTicket) {
		out.Sends = append(out.Sends, frame)
		return
	}
	r.disk.onSync[r.disk.voteTicket] = append(r.disk.onSync[r.disk.voteTicket], frame)
}

// handleHeartbeatAck renews the lease once a majority has acknowledged a round.
func (r *Replica) handleHeartbeatAck(now time.Duration, from message.Sender, m message.HeartbeatAck) {
	r.noteAnswer(now, from, m.Term)
	r.noteTerminating(now, from, m)
	if m.Term != r.term {
		return
	}
	delete(r.election.boundToHigherTerm, from.Ident)
	r.guard.noteAnnounced(from.Ident, m.Round)
	sentAt, open := r.lease.sentAt[m.Round]
	if !open {
		return
	}
	r.lease.ack(m.Round, from.Ident)
	if !r.meta.Group.HasQuorum(func(ident string) bool { return r.lease.acks[m.Round][ident] }) {
		return
	}
	if r.lease.extend(now, sentAt, r.cfg.LeaderLease) && m.Round > r.change.lastRoundBefore {
		r.change.isLeaseSupported = true
	}
	r.lease.closeRound(m.Round)
}
