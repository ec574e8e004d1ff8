package quorum

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

func (s *Replica) asked(now time.Duration, from message.Replica, n message.Message, o *Out) {
	own := s.meta.Group
	switch {
	case !n.Group.Has(n.From) || s.meta.Incomplete: // only a replica stands, and what its disk lost may be all that a majority has
		s.refuse(now, from, n, o)
		return
	case n.Group.Number > own.Number && n.Group.Has(s.me.Ident):
		s.join(now, n.Group)
		own = n.Group
	case own.Number == 0 || own.Number > n.Group.Number || !own.Has(s.me.Ident) || !sameReplicas(own, n.Group):
		s.refuse(now, from, n, o)
		return
	}
	again := n.Term == s.meta.VotedTerm && n.From == s.meta.VotedFor
	if n.Op == probe {
		if s.may(now, n) && n.Term > s.meta.VotedTerm {
			o.send(from, message.Message{Kind: message.KindGrantVote, Op: probe, Partition: s.partition, Term: n.Term, Group: message.Group{Number: own.Number}})
		} else {
			s.refuse(now, from, n, o)
		}
		return
	}
	if !s.may(now, n) || n.Term <= s.meta.VotedTerm && !again {
		s.refuse(now, from, n, o)
		return
	}
	if !again {
		s.before, s.undo = s.meta, n.Term
	}
	if n.From == s.me.Ident {
		s.meta.CandidateTerm = n.Term
	}
	if now < s.till && s.support != n.From || now < s.till && s.over() {
		s.quiet = max(s.quiet, s.till)
	}
	s.meta.VotedTerm, s.meta.VotedFor, s.meta.VotedForEpoch = n.Term, n.From, n.Epoch
	s.support, s.till = n.From, now+s.cfg.Wait(s.cfg.LeaderLease)
	if n.From != s.me.Ident {
		s.drop(o)
	}
	recs := s.records.RecordsIn(digest.DifferingRanges(n.Digests, s.records.Digests()))
	rep := message.Message{Kind: message.KindGrantVote, Partition: s.partition, Term: n.Term, LastComplete: s.meta.LastComplete, Digests: s.records.Digests(), Records: recs, Group: s.meta.Group, To: from.Ident, ResponseTo: n.Epoch, Length: int64(max(0, s.quiet-now))}
	s.save(o, nil, nil, message.Envelope{Addr: from.Addr, Message: rep})
	s.bound = s.tick
}

func sameReplicas(a, b message.Group) bool {
	if a.Number != b.Number || len(a.Replicas) != len(b.Replicas) || len(a.Next) != len(b.Next) {
		return false
	}
	for i := range a.Replicas {
		if a.Replicas[i].Ident != b.Replicas[i].Ident {
			return false
		}
	}
	for i := range a.Next {
		if a.Next[i].Ident != b.Next[i].Ident {
			return false
		}
	}
	return true
}

// drop ends candidacy or leadership; writes under way become uncertain.
func (s *Replica) drop(o *Out) {
	if s.mode == owning {
		o.Lost = true
		// What was granted under this lease must lapse before we stand again.
		s.next = max(s.next, s.lease+s.cfg.LeaderLease/4)
	}
	if s.mode == asking {
		for _, replica := range s.meta.Group.All() {
			o.send(replica, message.Message{Kind: message.KindAbandonTerm, Partition: s.partition, Term: s.num})
		}
	}
	for _, no := range slices.Sorted(maps.Keys(s.writes)) {
		w := s.writes[no]
		o.Results = append(o.Results, WriteResult{Tag: w.tag, Outcome: Uncertain})
	}
	s.writes = map[uint64]*write{}
	s.mode, s.votes, s.filled, s.stuck, s.behind = idle, nil, nil, nil, nil
	s.few = map[uint64]*write{}
	s.rounds, s.yes = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
}

func (s *Replica) refuse(now time.Duration, from message.Replica, n message.Message, o *Out) {
	o.send(from, message.Message{Kind: message.KindRejectVote, Partition: s.partition, Term: n.Term, LastComplete: s.meta.VotedTerm, Group: s.meta.Group, Length: int64(s.left(now, n)), Hint: s.hint.Leader})
}

// may tells whether a candidate can be promised a term now. One that would
// not write nothing while leases stand, as an older build's, waits them out.
func (s *Replica) may(now time.Duration, n message.Message) bool {
	return now >= s.till || s.support == n.From || s.over() && time.Duration(n.Length) >= s.till-now
}

// left is how long this replica is bound still, and not to the one that asks.
func (s *Replica) left(now time.Duration, n message.Message) time.Duration {
	if s.may(now, n) {
		return 0
	}
	return s.till - now
}

func (s *Replica) refuseBy(now time.Duration, n message.Message, o *Out) {
	s.high = max(s.high, n.LastComplete)
	if n.Group.Number > s.meta.Group.Number && n.Term == s.num {
		s.adopt(n.Group)
		s.save(o, nil, nil)
		if s.mode == asking || s.mode == probing {
			s.drop(o)
		}
	}
	if n.Term == s.num && (s.mode == asking || s.mode == probing) {
		s.next = max(s.next, now+min(time.Duration(n.Length), s.cfg.Wait(s.cfg.LeaderLease))+s.delay()/2+s.cfg.Margin)
	}
	// One voter bound to another term does not end a leadership that a majority
	// supports; if it stays bound, Tick takes a higher term.
	if n.Term == s.num && n.LastComplete >= s.num && s.mode == owning {
		if _, ok := s.stuck[n.From]; !ok {
			s.stuck[n.From] = now
		}
	}
}

func (s *Replica) promise(now time.Duration, n message.Message, o *Out) {
	if n.Term != s.num || n.Group.Number != s.meta.Group.Number {
		return
	}
	if s.mode == probing && n.Op == probe {
		s.probed[n.From] = true
		if s.meta.Group.HasQuorum(func(id string) bool { return s.probed[id] }) {
			s.stand(now, o)
		}
		return
	}
	// A life that ended before its own vote was on disk leaves the same term to
	// the next. What it was promised holds only the records that its copy lacked.
	if s.mode != asking || n.Op == probe || n.ResponseTo != 0 && n.ResponseTo != s.lives[s.me.Ident] {
		return
	}
	s.votes[n.From] = vote{lastComplete: n.LastComplete, digs: n.Digests, recs: n.Records}
	if n.Length > 0 {
		s.calm = max(s.calm, now+s.cfg.Wait(min(time.Duration(n.Length), s.cfg.Wait(s.cfg.LeaderLease))))
	}
	// Our own voice must be among them: the leader reads from its own records.
	if _, own := s.votes[s.me.Ident]; !own || !s.meta.Group.HasQuorum(func(id string) bool { _, ok := s.votes[id]; return ok }) {
		return
	}
	// A majority supports nobody else, so no older leader's lease stands.
	s.wonAt = now
	s.mode = filling
	s.filled, s.fillAt, s.seenAt, s.behind = map[string]bool{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]*behind{}
	s.follow(now)
	s.lease = s.askAt + s.cfg.LeaderLease
	s.merge(o)
	for _, replica := range s.meta.Group.All() {
		s.sendFill(now, replica, s.votes[replica.Ident].digs, o)
	}
	s.beat(now, o)
}

// merge makes this replica's records the newest that the majority showed.
func (s *Replica) merge(o *Out) {
	top := uint64(0)
	for _, v := range s.votes {
		top = max(top, v.lastComplete)
	}
	own := s.records.Digests()
	fresh := digest.NewRecords()
	for _, v := range s.votes {
		if v.lastComplete != top {
			continue
		}
		diff := map[int]bool{}
		for _, sp := range digest.DifferingRanges(own, v.digs) {
			diff[sp] = true
		}
		for sp := 0; sp < digest.Ranges; sp++ {
			if !diff[sp] {
				for r := range s.records.InRange(sp) {
					fresh.PutNewer(r)
				}
			}
		}
		for _, r := range v.recs {
			if diff[digest.RangeOf(r.Key)] {
				fresh.PutNewer(r)
			}
		}
	}
	bury(fresh)
	wipe := digest.DifferingRanges(own, fresh.Digests())
	s.records = fresh
	s.meta.LastComplete = s.num
	s.seq = 0
	self := message.Message{Kind: message.KindStateInstalled, Partition: s.partition, Term: s.num, To: s.me.Ident}
	s.save(o, wipe, fresh.RecordsIn(wipe), message.Envelope{Addr: s.me.Addr, Message: self})
}

// bury drops the marks of records that are gone: a new term's copies replace all
// of earlier terms, whole ranges at a time, so no copy that still has one of
// them is ever merged with these. The floor sees to the once keys.
func bury(fresh *digest.Records) {
	var gone []string
	for r := range fresh.All() {
		if r.Deleted && !strings.HasPrefix(r.Key, FloorPrefix) {
			gone = append(gone, r.Key)
		}
	}
	for _, k := range gone {
		fresh.Delete(k)
	}
}

// settle turns a candidate into the leader once a majority holds its records.
func (s *Replica) settle(now time.Duration, o *Out) {
	if s.mode == filling && s.meta.Group.HasQuorum(func(id string) bool { return s.filled[id] }) && now < s.lease {
		s.mode = owning
		s.hint = message.Leadership{Partition: s.partition, Term: s.num, Leader: s.me}
		o.Won = true
	}
}

const probe = "probe"

// probe asks whether a term could be won now, which binds nobody, so that a
// replica that can't win doesn't disturb the leader.
func (s *Replica) probe(now time.Duration, o *Out) {
	s.num = max(s.high, s.meta.VotedTerm, s.meta.CandidateTerm, s.num) + 1
	s.mode, s.askAt, s.probed = probing, now, map[string]bool{}
	for _, replica := range s.meta.Group.All() {
		s.askProbe(replica, o)
	}
}

func (s *Replica) askProbe(to message.Replica, o *Out) {
	o.send(to, message.Message{Kind: message.KindRequestVote, Op: probe, Partition: s.partition, Term: s.num, Group: s.meta.Group, Length: s.wait()})
}

// wait is for how long at most this replica would write nothing as leader.
func (s *Replica) wait() int64 { return int64(s.cfg.Wait(s.cfg.LeaderLease)) }

func (s *Replica) stand(now time.Duration, o *Out) {
	if s.meta.VotedTerm >= s.num { // we were asked for that term meanwhile
		s.drop(o)
		return
	}
	s.mode, s.askAt, s.stuck = asking, now, map[string]time.Duration{}
	s.calm = 0
	s.votes = map[string]vote{}
	for _, replica := range s.meta.Group.All() {
		s.ask(replica, o)
	}
}

// ask asks a replica for its promise.
func (s *Replica) ask(to message.Replica, o *Out) {
	o.send(to, message.Message{Kind: message.KindRequestVote, Partition: s.partition, Term: s.num, Digests: s.records.Digests(), Group: s.meta.Group, Length: s.wait()})
}

// delay spaces candidates out: the replica first in this partition's order goes first.
func (s *Replica) delay() time.Duration {
	n := 0
	for _, o := range s.meta.Group.All() {
		if score(s.partition, o.Addr) > score(s.partition, s.me.Addr) {
			n++
		}
	}
	return time.Duration(n) * s.cfg.LeaderLease / 12
}

func score(partition int, addr string) uint64 {
	return digest.Fingerprint(message.Record{Key: addr, Version: message.Version{Term: uint64(partition), Seq: 7}})
}
