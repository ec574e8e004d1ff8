package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A group changes one replica a step. A standby is first sent a copy and every
// write, without a vote; then the leader makes a group with the old replicas and
// the new, in which both majorities are needed; once that group is committed
// and the newcomer has said that it holds all that the leader held when the step
// began, and both majorities have renewed the leader's lease, the new replicas
// stand alone: so none of them elects another while that lasts. Either way is
// open until then: the step is undone if the newcomer falls silent. The next
// leader finds the step in its group and finishes or undoes it.

// parting marks a Supported of a daemon that was told to end.
const parting = "parting"

// wholeCopy marks the question whether a newcomer holds all that the leader holds.
const wholeCopy = "whole"

// groupShift makes the numbers of groups grow with the term of the leader that
// made them: no two leaders use one number, and a later leader's is the higher.
const groupShift = 16

// Bootstrap makes the first group of a fleet; only a replica without a group takes it.
//
// Example: out := s.Bootstrap(now, message.Group{Num: 1, Replicas: three})
func (s *Replica) Bootstrap(now time.Duration, g message.Group) (o Out) {
	s.now = now
	defer func() { s.sign(&o) }()
	if s.meta.Group.Number == 0 && g.Has(s.me.Ident) {
		s.join(now, g)
		s.save(&o, nil, nil)
		// Tell the others of the group, so that each stands for the partitions where
		// it comes first and the leaderships are spread from the start.
		for _, replica := range g.Replicas {
			if replica.Ident != s.me.Ident {
				o.send(replica, message.Message{Kind: message.KindRequestVote, Op: probe, Partition: s.partition, Group: g})
			}
		}
	}
	return o
}

func (s *Replica) join(now time.Duration, g message.Group) {
	first := s.meta.Group.Number == 0
	s.meta.Group = g
	if first {
		s.next = max(s.next, now+s.delay())
	}
}

// adopt takes a later group. A replica that has none in it any more is free of its
// promise: the step that took its vote was committed by a majority that bound
// every later candidate to the new group.
func (s *Replica) adopt(g message.Group) {
	if g.Number <= s.meta.Group.Number {
		return
	}
	if s.meta.Group.Has(s.me.Ident) && !g.Has(s.me.Ident) {
		s.meta.CandidateTerm = max(s.meta.CandidateTerm, s.meta.VotedTerm)
		s.meta.VotedTerm, s.meta.VotedFor, s.meta.VotedForEpoch, s.undo = 0, "", 0, 0
	}
	s.meta.Group = g
}

// audible tells whether a message is from somebody who has a voice here: only
// replicas have one, and standbys where they report on their copies.
func (s *Replica) audible(n message.Message) bool {
	switch g := s.meta.Group; {
	case g.Number == 0 || g.Has(n.From):
		return true
	case n.Kind == message.KindStateInstalled, n.Kind == message.KindStateMismatch, n.Kind == message.KindReplicated, n.Kind == message.KindHeartbeatAck:
		return s.standing(n.Term) && has(s.learn, n.From)
	}
	return n.Kind == message.KindRequestVote || n.Kind == message.KindInstallState || n.Kind == message.KindReplicate || n.Kind == message.KindHeartbeat
}

// peers lists whom the leader keeps up: the replicas and the standbys.
func (s *Replica) peers() []message.Replica {
	out := s.meta.Group.All()
	for _, l := range s.learn {
		if !has(out, l.Ident) {
			out = append(out, l)
		}
	}
	return out
}

// follow begins to watch the replicas at the start of a leadership: those that voted are
// there, the leader before was there when we last supported it.
func (s *Replica) follow(now time.Duration) {
	s.learn, s.step = nil, 0
	s.told, s.telling = map[string]uint64{}, map[string]telling{}
	s.heard, s.ending, s.whole = map[string]time.Duration{}, map[string]time.Duration{}, map[string]bool{}
	for _, replica := range s.meta.Group.All() {
		s.heard[replica.Ident] = s.askAt
		if _, voted := s.votes[replica.Ident]; voted {
			s.heard[replica.Ident] = now
		} else if replica.Ident == s.hint.Leader.Ident {
			s.heard[replica.Ident] = s.backed
		}
	}
}

// replied records that a replica or standby answered to us as candidate or leader.
func (s *Replica) replied(now time.Duration, n message.Message) {
	if s.heard == nil || n.Term != s.num {
		return
	}
	switch n.Kind {
	case message.KindHeartbeatAck:
		if _, known := s.ending[n.From]; n.Op != parting {
			delete(s.ending, n.From)
		} else if !known {
			s.ending[n.From] = now
		}
	case message.KindStateInstalled, message.KindStateMismatch, message.KindReplicated, message.KindRejectVote:
	default:
		return
	}
	s.heard[n.From] = now
}

// SetLearners names the standbys; each is sent a copy and every write, and has no vote.
//
// Example: out := s.SetLearners(now, standbys)
func (s *Replica) SetLearners(now time.Duration, list []message.Replica) (o Out) {
	if !s.Leader(now) {
		return o
	}
	defer func() { s.sign(&o) }()
	next := make([]message.Replica, 0, len(list))
	for _, l := range list {
		if !s.meta.Group.Has(l.Ident) && l.Ident != s.me.Ident {
			next = append(next, l)
		}
	}
	for _, l := range s.learn { // one that isn't seen for a moment keeps its copy up
		if !has(next, l.Ident) && !s.meta.Group.Has(l.Ident) && now-s.heard[l.Ident] < s.cfg.LeaderLease {
			next = append(next, l)
		}
	}
	for _, replica := range s.meta.Group.All() {
		if _, ok := s.heard[replica.Ident]; !ok {
			s.heard[replica.Ident] = now
		}
	}
	was := s.learn
	s.learn = next
	for _, l := range next {
		if !has(was, l.Ident) {
			s.forget(l.Ident)
			s.sendFill(now, l, nil, &o)
		}
	}
	return o
}

// forget drops what was known of a daemon's copy.
func (s *Replica) forget(id string) {
	delete(s.filled, id)
	delete(s.seenAt, id)
	delete(s.heard, id)
	delete(s.ending, id)
	delete(s.whole, id)
	delete(s.behind, id)
}

// LearnerReady tells whether a standby holds a copy, answered of late and stays.
//
// Example: if s.LearnerReady(now, "d") { out, _ := s.Replace(now, 0, "c", d) }
func (s *Replica) LearnerReady(now time.Duration, id string) bool {
	at, ok := s.heard[id]
	return s.Leader(now) && has(s.learn, id) && s.filled[id] && ok && now-at < s.cfg.LeaderLease && !s.IsTerminating(id)
}

// SilentFor is for how long a replica has not answered to this leader.
//
// Example: if s.SilentFor(now, "c") > limit { replace() }
func (s *Replica) SilentFor(now time.Duration, id string) time.Duration { return now - s.heard[id] }

// MissedHeartbeats tells whether a replica left two renewals without an answer.
//
// Example: if s.MissedHeartbeats(now, "c") && another.Addr == c.Addr { replace() }
func (s *Replica) MissedHeartbeats(now time.Duration, id string) bool {
	return id != s.me.Ident && s.SilentFor(now, id) >= 2*s.cfg.HeartbeatInterval
}

// IsLost tells whether a replica was silent for so long that a standby takes its place.
//
// Example: if s.IsLost(now, "c") { replace() }
func (s *Replica) IsLost(now time.Duration, id string) bool {
	return id != s.me.Ident && s.SilentFor(now, id) >= s.cfg.LostAfter
}

// IsTerminating tells whether a replica's daemon was told to end.
//
// Example: if s.IsTerminating("c") { replace() }
func (s *Replica) IsTerminating(id string) bool {
	_, ending := s.ending[id]
	return ending
}

// MayLeave tells whether a replica whose daemon was told to end may go at once: each
// other one has answered a renewal that was sent since that was known. One that
// has not may be gone for good, and a standby is kept for it.
//
// Example: if s.IsTerminating("c") && s.MayLeave(now, "c") { replace() }
func (s *Replica) MayLeave(now time.Duration, id string) bool {
	for _, r := range s.meta.Group.Replicas {
		if r.Ident != id && r.Ident != s.me.Ident && (s.MissedHeartbeats(now, r.Ident) || s.heard[r.Ident] < s.ending[id]+s.cfg.HeartbeatInterval) {
			return false
		}
	}
	return true
}

// ReplaceReplica begins a step: a standby takes a replica's place. A leader doesn't take
// itself out, and no step begins while another is under way.
//
// Example: out, ok := s.ReplaceReplica(now, 0, "c", d)
func (s *Replica) ReplaceReplica(now time.Duration, tag uint64, out string, in message.Replica) (o Out, ok bool) {
	g := s.meta.Group
	if s.quit || s.changing() || out == s.me.Ident || !has(g.Replicas, out) || !s.LearnerReady(now, in.Ident) {
		return o, false
	}
	next := append([]message.Replica(nil), g.Replicas...)
	for i := range next {
		if next[i].Ident == out {
			next[i] = in
		}
	}
	delete(s.whole, in.Ident)
	s.regroup(now, tag, g.Replicas, next, &o)
	s.sign(&o)
	return o, true
}

// changing tells whether a step is under way.
func (s *Replica) changing() bool {
	return len(s.meta.Group.Next) > 0 || s.writes[s.step] != nil
}

// ContinueChange goes on with the step that is under way, this leader's or an earlier
// one's: it asks the newcomer again, finishes, or undoes the step if the
// newcomer is silent or the leader would take itself out. It finishes only under
// a lease that a majority of the next group supports: that majority need know
// of no leader else, and two steps in a row would let it elect another.
//
// Example: out := s.ContinueChange(now, 0)
func (s *Replica) ContinueChange(now time.Duration, tag uint64) (o Out) {
	g := s.meta.Group
	if !s.Leader(now) || len(g.Next) == 0 {
		return o
	}
	defer func() { s.sign(&o) }()
	ready, undo := true, !has(g.Next, s.me.Ident)
	for _, replica := range g.Next {
		if has(g.Replicas, replica.Ident) {
			continue
		}
		if s.holdsWhole(replica.Ident) {
			continue
		}
		ready, undo = false, undo || s.IsLost(now, replica.Ident)
		if now-s.fillAt[replica.Ident] >= s.cfg.HeartbeatInterval/4 {
			s.inquire(now, replica, &o)
		}
	}
	switch {
	case undo: // also before it is committed: the old replicas are in both
		s.regroup(now, tag, g.Replicas, nil, &o)
	case s.step == 0: // an earlier leader's: it may not have been committed
		s.regroup(now, tag, g.Replicas, g.Next, &o)
	case ready && s.leased && s.writes[s.step] == nil:
		s.regroup(now, tag, g.Next, nil, &o)
	}
	return o
}

// holdsWhole tells whether a newcomer holds all that the leader holds, on its
// disk: by its own word or, of the leader itself, because its copy was saved.
func (s *Replica) holdsWhole(id string) bool {
	if id == s.me.Ident {
		return s.filled[id]
	}
	return s.whole[id]
}

// regroup makes a group and has its majority, or both, take it.
func (s *Replica) regroup(now time.Duration, tag uint64, replicas, next []message.Replica, o *Out) {
	s.now = now
	s.meta.Group = message.Group{Number: max(s.meta.Group.Number+1, s.num<<groupShift), Replicas: replicas, Next: next}
	s.save(o, nil, nil)
	for _, replica := range s.meta.Group.All() {
		if !s.filled[replica.Ident] {
			s.sendFill(now, replica, nil, o)
		}
	}
	s.commit(now, tag, nil, o)
	s.step, s.stepRound, s.leased = s.seq, s.round, false
	s.beat(now, o)
	for _, replica := range next {
		if !has(replicas, replica.Ident) {
			s.inquire(now, replica, o)
		}
	}
}

// inquire asks a newcomer whether it holds all that is in our records now.
func (s *Replica) inquire(now time.Duration, to message.Replica, o *Out) {
	s.fillAt[to.Ident] = now
	o.send(to, message.Message{Kind: message.KindInstallState, Op: wholeCopy, Partition: s.partition, Term: s.num, RequestID: s.meta.Group.Number, Digests: s.records.Digests(), Group: s.meta.Group})
}

// complete sends a newcomer what it lacks.
func (s *Replica) complete(to message.Replica, n message.Message, o *Out) {
	spans := digest.DifferingRanges(s.records.Digests(), n.Digests)
	o.send(to, message.Message{Kind: message.KindInstallState, Op: wholeCopy, Partition: s.partition, Term: s.num, RequestID: n.ResponseTo, Digests: n.Digests, Ranges: spans, Records: s.records.RecordsIn(spans), Group: s.meta.Group})
}

// completed is a newcomer's side: it says that it holds all, once it does and
// that is on disk, or what it has.
func (s *Replica) completed(from message.Replica, n message.Message, o *Out) {
	if n.Ranges == nil && len(digest.DifferingRanges(s.records.Digests(), n.Digests)) > 0 {
		o.send(from, message.Message{Kind: message.KindStateMismatch, Op: wholeCopy, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID, Digests: s.records.Digests()})
		return
	}
	var recs []message.Record
	for _, r := range n.Records {
		if own, ok := s.records.Get(r.Key); !ok || own.Version.Less(r.Version) || own.Version == r.Version && digest.Fingerprint(own) != digest.Fingerprint(r) {
			s.records.Put(r)
			recs = append(recs, r)
		}
	}
	s.save(o, nil, recs, message.Envelope{Addr: from.Addr, Message: message.Message{Kind: message.KindStateInstalled, Op: wholeCopy, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID, To: from.Ident}})
}

// holdsAll takes a newcomer's word; one that was given before this step began
// counts for nothing.
func (s *Replica) holdsAll(n message.Message) {
	if len(s.meta.Group.Next) > 0 && n.ResponseTo == s.meta.Group.Number {
		s.whole[n.From], s.filled[n.From] = true, true
	}
}

func has(list []message.Replica, id string) bool { return message.Group{Replicas: list}.Has(id) }
