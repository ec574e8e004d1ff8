package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

// The leader lease: a leader acts only while a majority supports it, and every
// voter supports nobody else for a lease's length after it last acknowledged a heartbeat.

// openRounds is how many rounds of heartbeats may be under way at once; answers to
// earlier ones renew nothing.
const openRounds = 8

// leaderLease is a leader's lease and the rounds of heartbeats that renew it. A
// round renews the lease from when it was sent, once a majority has answered to it.
type leaderLease struct {
	end         time.Duration // the lease is valid before
	round       uint64        // the last one that was sent
	heartbeatAt time.Duration // when that was
	sentAt      map[uint64]time.Duration
	acks        map[uint64]map[string]bool
}

func newLeaderLease() leaderLease {
	return leaderLease{sentAt: map[uint64]time.Duration{}, acks: map[uint64]map[string]bool{}}
}

// startRound counts a round that is sent now.
func (l *leaderLease) startRound(now time.Duration) {
	l.heartbeatAt = now
	l.round++
	l.sentAt[l.round] = now
	for round := range l.sentAt {
		if round+openRounds < l.round {
			l.closeRound(round)
		}
	}
}

func (l *leaderLease) closeRound(round uint64) {
	delete(l.sentAt, round)
	delete(l.acks, round)
}

// forgetRounds drops the open rounds: answers to them count for nothing.
func (l *leaderLease) forgetRounds() {
	l.sentAt, l.acks = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
}

// ack counts an answer to a round that is still open.
func (l *leaderLease) ack(round uint64, from string) {
	if l.acks[round] == nil {
		l.acks[round] = map[string]bool{}
	}
	l.acks[round][from] = true
}

// extend lengthens the lease to that of a round; one that has lapsed isn't revived:
// others may have voted since.
func (l *leaderLease) extend(now, sentAt, length time.Duration) (renewed bool) {
	if now >= l.end {
		return false
	}
	l.end = max(l.end, sentAt+length)
	return true
}

// sendHeartbeats begins a round.
func (r *Replica) sendHeartbeats(now time.Duration, out *Out) {
	r.lease.startRound(now)
	for _, peer := range r.peers() {
		r.sendHeartbeat(peer, out)
	}
}

// sendHeartbeat asks a peer to support the present round.
func (r *Replica) sendHeartbeat(to message.Replica, out *Out) {
	heartbeat := message.Heartbeat{Term: r.term, Round: r.lease.round, Peers: r.announcePeers(to)}
	out.send(to, heartbeat.Message(r.partition))
}

// handleHeartbeat supports the leader that this replica voted for or joined.
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
	if r.meta.Incomplete { // the leader may believe that this copy is complete
		out.send(from.Replica, message.StateMismatch{Term: m.Term, Digests: r.records.Digests()}.Message(r.partition))
	}
}

// ackHeartbeat supports a leader's lease once the vote for it is on disk: a restart
// that forgot the vote would not wait the lease out.
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

// handleHeartbeatAck renews the lease once a majority supports a round.
func (r *Replica) handleHeartbeatAck(now time.Duration, from message.Sender, m message.HeartbeatAck) {
	r.noteAnswer(now, from, m.Term)
	r.noteTerminating(now, from, m)
	if m.Term != r.term {
		return
	}
	delete(r.election.boundElsewhere, from.Ident)
	r.guard.noteAnnounced(from.Ident, m.Round)
	sentAt, open := r.lease.sentAt[m.Round]
	if !open {
		return
	}
	r.lease.ack(m.Round, from.Ident)
	if !r.meta.Group.HasQuorum(func(ident string) bool { return r.lease.acks[m.Round][ident] }) {
		return
	}
	if r.lease.extend(now, sentAt, r.cfg.LeaderLease) && m.Round > r.change.roundBefore {
		r.change.isLeaseSupported = true
	}
	r.lease.closeRound(m.Round)
}
