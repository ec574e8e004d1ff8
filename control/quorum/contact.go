package quorum

import (
	"time"

	"mulleinmast/wire/message"
)

// contact records when the replicas and learners last answered this replica as
// leader. It is kept until this replica's next leadership starts.
type contact struct {
	answeredAt       map[string]time.Duration // nil before the first leadership
	terminatingSince map[string]time.Duration // since when a daemon is known to be terminating
}

// newContact returns the contact state for the start of a leadership. A replica that voted
// counts as having answered now, the previous leader when it sent its last heartbeat to this
// replica, and any other replica at the start of the election.
func (r *Replica) newContact(now time.Duration) contact {
	c := contact{answeredAt: map[string]time.Duration{}, terminatingSince: map[string]time.Duration{}}
	for _, replica := range r.meta.Group.All() {
		c.answeredAt[replica.Ident] = r.election.startedAt
		if _, voted := r.election.votes[replica.Ident]; voted {
			c.answeredAt[replica.Ident] = now
		} else if replica.Ident == r.support.known.Leader.Ident {
			c.answeredAt[replica.Ident] = r.support.knownAt
		}
	}
	return c
}

// forget drops the state of one daemon.
func (c *contact) forget(ident string) {
	delete(c.answeredAt, ident)
	delete(c.terminatingSince, ident)
}

// noteAnswer records an answer of a replica or learner in this replica's current term.
func (r *Replica) noteAnswer(now time.Duration, from message.Sender, term uint64) {
	if r.contact.answeredAt != nil && term == r.term {
		r.contact.answeredAt[from.Ident] = now
	}
}

// noteTerminating records whether a daemon is terminating, as its heartbeat
// acknowledgement states.
func (r *Replica) noteTerminating(now time.Duration, from message.Sender, m message.HeartbeatAck) {
	if r.contact.answeredAt == nil || m.Term != r.term {
		return
	}
	if !m.Terminating {
		delete(r.contact.terminatingSince, from.Ident)
		return
	}
	if _, known := r.contact.terminatingSince[from.Ident]; !known {
		r.contact.terminatingSince[from.Ident] = now
	}
}

// SilentFor returns the time since a replica last answered this leader.
//
// Example: if r.SilentFor(now, "c") > limit { replace() }
func (r *Replica) SilentFor(now time.Duration, ident string) time.Duration {
	return now - r.contact.answeredAt[ident]
}

// MissedHeartbeats reports whether a replica has not answered for two heartbeat intervals.
//
// Example: if r.MissedHeartbeats(now, "c") && another.Addr == c.Addr { replace() }
func (r *Replica) MissedHeartbeats(now time.Duration, ident string) bool {
	return ident != r.self.Ident && r.SilentFor(now, ident) >= 2*r.cfg.HeartbeatInterval
}

// IsLost reports whether a replica has not answered for Config.LostAfter, after which a
// learner replaces it.
//
// Example: if r.IsLost(now, "c") { replace() }
func (r *Replica) IsLost(now time.Duration, ident string) bool {
	return ident != r.self.Ident && r.SilentFor(now, ident) >= r.cfg.LostAfter
}

// IsTerminating reports whether a replica's daemon is terminating.
//
// Example: if r.IsTerminating("c") { replace() }
func (r *Replica) IsTerminating(ident string) bool {
	_, terminating := r.contact.terminatingSince[ident]
	return terminating
}

// MayLeave reports whether a replica whose daemon is terminating may be replaced
// immediately. Each other replica must have answered a heartbeat sent after the leader
// learned of the termination. A replica that has not answered may be lost, and the learner
// is then needed to replace that replica.
//
// Example: if r.IsTerminating("c") && r.MayLeave(now, "c") { replace() }
func (r *Replica) MayLeave(now time.Duration, ident string) bool {
	answeredSince := r.contact.terminatingSince[ident] + r.cfg.HeartbeatInterval
	for _, other := range r.meta.Group.Replicas {
		if other.Ident == ident || other.Ident == r.self.Ident {
			continue
		}
		if r.MissedHeartbeats(now, other.Ident) || r.contact.answeredAt[other.Ident] < answeredSince {
			return false
		}
	}
	return true
}

// LearnerReady reports whether a learner holds a copy, answered recently and isn't terminating.
//
// Example: if r.LearnerReady(now, "d") { out, _ := r.ReplaceReplica(now, 0, "c", d) }
func (r *Replica) LearnerReady(now time.Duration, ident string) bool {
	at, answered := r.contact.answeredAt[ident]
	return r.IsLeader(now) && has(r.learners, ident) && r.copies.installed[ident] &&
		answered && now-at < r.cfg.LeaderLease && !r.IsTerminating(ident)
}
