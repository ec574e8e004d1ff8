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

// Found makes the first group of a fleet; only a replica without a group takes it.
//
// Example: out := s.Found(now, message.Group{Num: 1, Replicas: three})
func (s *Replica) Found(now time.Duration, g message.Group) (o Out) {
	s.now = now
	defer func() { s.sign(&o) }()
	if s.meta.Group.Num == 0 && g.Has(s.me.Ident) {
		s.join(now, g)
		s.save(&o, nil, nil)
		// Tell the others of the group, so that each stands for the partitions where
		// it comes first and the leaderships are spread from the start.
		for _, replica := range g.Replicas {
			if replica.Ident != s.me.Ident {
				o.send(replica, message.Message{Kind: message.Ask, Op: probe, Partition: s.partition, Group: g})
			}
		}
	}
	return o
}

func (s *Replica) join(now time.Duration, g message.Group) {
	first := s.meta.Group.Num == 0
	s.meta.Group = g
	if first {
		s.next = max(s.next, now+s.delay())
	}
}

// adopt takes a later group. A replica that has none in it any more is free of its
// promise: the step that took its vote was committed by a majority that bound
// every later candidate to the new group.
func (s *Replica) adopt(g message.Group) {
	if g.Num <= s.meta.Group.Num {
		return
	}
	if s.meta.Group.Has(s.me.Ident) && !g.Has(s.me.Ident) {
		s.meta.Tried = max(s.meta.Tried, s.meta.Promised)
		s.meta.Promised, s.meta.To, s.meta.ToEpoch, s.undo = 0, "", 0, 0
	}
	s.meta.Group = g
}

// audible tells whether a message is from somebody who has a voice here: only
// replicas have one, and standbys where they report on their copies.
func (s *Replica) audible(n message.Message) bool {
	switch g := s.meta.Group; {
	case g.Num == 0 || g.Has(n.From):
		return true
	case n.Kind == message.Filled, n.Kind == message.Unfit, n.Kind == message.Accepted, n.Kind == message.Supported:
		return s.standing(n.Num) && has(s.learn, n.From)
	}
	return n.Kind == message.Ask || n.Kind == message.Fill || n.Kind == message.Accept || n.Kind == message.Support
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
		} else if replica.Ident == s.hint.Replica.Ident {
			s.heard[replica.Ident] = s.backed
		}
	}
}

// replied records that a replica or standby answered to us as candidate or leader.
func (s *Replica) replied(now time.Duration, n message.Message) {
	if s.heard == nil || n.Num != s.num {
		return
	}
	switch n.Kind {
	case message.Supported:
		if _, known := s.ending[n.From]; n.Op != parting {
			delete(s.ending, n.From)
		} else if !known {
			s.ending[n.From] = now
		}
	case message.Filled, message.Unfit, message.Accepted, message.Refuse:
	default:
		return
	}
	s.heard[n.From] = now
}

// Learn names the standbys; each is sent a copy and every write, and has no vote.
//
// Example: out := s.Learn(now, standbys)
func (s *Replica) Learn(now time.Duration, list []message.Replica) (o Out) {
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

// AtHand tells whether a standby holds a copy, answered of late and stays.
//
// Example: if s.AtHand(now, "d") { out, _ := s.Replace(now, 0, "c", d) }
func (s *Replica) AtHand(now time.Duration, id string) bool {
	at, ok := s.heard[id]
	return s.Leader(now) && has(s.learn, id) && s.filled[id] && ok && now-at < s.cfg.LeaderLease && !s.Parting(id)
}

// Silent is for how long a replica has not answered to this leader.
//
// Example: if s.Silent(now, "c") > limit { replace() }
func (s *Replica) Silent(now time.Duration, id string) time.Duration { return now - s.heard[id] }

// Missing tells whether a replica left two renewals without an answer.
//
// Example: if s.Missing(now, "c") && another.Addr == c.Addr { replace() }
func (s *Replica) Missing(now time.Duration, id string) bool {
	return id != s.me.Ident && s.Silent(now, id) >= 2*s.cfg.Beat
}

// Gone tells whether a replica was silent for so long that a standby takes its place.
//
// Example: if s.Gone(now, "c") { replace() }
func (s *Replica) Gone(now time.Duration, id string) bool {
	return id != s.me.Ident && s.Silent(now, id) >= s.cfg.Gone
}

// Parting tells whether a replica's daemon was told to end.
//
// Example: if s.Parting("c") { replace() }
func (s *Replica) Parting(id string) bool {
	_, ending := s.ending[id]
	return ending
}

// Spared tells whether a replica whose daemon was told to end may go at once: each
// other one has answered a renewal that was sent since that was known. One that
// has not may be gone for good, and a standby is kept for it.
//
// Example: if s.Parting("c") && s.Spared(now, "c") { replace() }
func (s *Replica) Spared(now time.Duration, id string) bool {
	for _, r := range s.meta.Group.Replicas {
		if r.Ident != id && r.Ident != s.me.Ident && (s.Missing(now, r.Ident) || s.heard[r.Ident] < s.ending[id]+s.cfg.Beat) {
			return false
		}
	}
	return true
}

// Replace begins a step: a standby takes a replica's place. A leader doesn't take
// itself out, and no step begins while another is under way.
//
// Example: out, ok := s.Replace(now, 0, "c", d)
func (s *Replica) Replace(now time.Duration, tag uint64, out string, in message.Replica) (o Out, ok bool) {
	g := s.meta.Group
	if s.quit || s.changing() || out == s.me.Ident || !has(g.Replicas, out) || !s.AtHand(now, in.Ident) {
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

// Proceed goes on with the step that is under way, this leader's or an earlier
// one's: it asks the newcomer again, finishes, or undoes the step if the
// newcomer is silent or the leader would take itself out. It finishes only under
// a lease that a majority of the next group supports: that majority need know
// of no leader else, and two steps in a row would let it elect another.
//
// Example: out := s.Proceed(now, 0)
func (s *Replica) Proceed(now time.Duration, tag uint64) (o Out) {
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
		ready, undo = false, undo || s.Gone(now, replica.Ident)
		if now-s.fillAt[replica.Ident] >= s.cfg.Beat/4 {
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
	s.meta.Group = message.Group{Num: max(s.meta.Group.Num+1, s.num<<groupShift), Replicas: replicas, Next: next}
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
	o.send(to, message.Message{Kind: message.Fill, Op: wholeCopy, Partition: s.partition, Num: s.num, No: s.meta.Group.Num, Digs: s.records.Digs(), Group: s.meta.Group})
}

// complete sends a newcomer what it lacks.
func (s *Replica) complete(to message.Replica, n message.Message, o *Out) {
	spans := digest.Differ(s.records.Digs(), n.Digs)
	o.send(to, message.Message{Kind: message.Fill, Op: wholeCopy, Partition: s.partition, Num: s.num, No: n.Ref, Digs: n.Digs, Spans: spans, Recs: s.records.Within(spans), Group: s.meta.Group})
}

// completed is a newcomer's side: it says that it holds all, once it does and
// that is on disk, or what it has.
func (s *Replica) completed(from message.Replica, n message.Message, o *Out) {
	if n.Spans == nil && len(digest.Differ(s.records.Digs(), n.Digs)) > 0 {
		o.send(from, message.Message{Kind: message.Unfit, Op: wholeCopy, Partition: s.partition, Num: n.Num, Ref: n.No, Digs: s.records.Digs()})
		return
	}
	var recs []message.Rec
	for _, r := range n.Recs {
		if own, ok := s.records.Get(r.Key); !ok || own.Ver.Less(r.Ver) || own.Ver == r.Ver && digest.Print(own) != digest.Print(r) {
			s.records.Put(r)
			recs = append(recs, r)
		}
	}
	s.save(o, nil, recs, message.Send{Addr: from.Addr, Message: message.Message{Kind: message.Filled, Op: wholeCopy, Partition: s.partition, Num: n.Num, Ref: n.No, To: from.Ident}})
}

// holdsAll takes a newcomer's word; one that was given before this step began
// counts for nothing.
func (s *Replica) holdsAll(n message.Message) {
	if len(s.meta.Group.Next) > 0 && n.Ref == s.meta.Group.Num {
		s.whole[n.From], s.filled[n.From] = true, true
	}
}

func has(list []message.Replica, id string) bool { return message.Group{Replicas: list}.Has(id) }
