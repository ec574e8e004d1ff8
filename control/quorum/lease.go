package quorum

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

func (s *Replica) supported(now time.Duration, n message.Message) {
	if n.Term == s.num {
		delete(s.stuck, n.From)
		s.heardPeers(n)
	}
	at, ok := s.rounds[n.ResponseTo]
	if !ok || n.Term != s.num {
		return
	}
	if s.yes[n.ResponseTo] == nil {
		s.yes[n.ResponseTo] = map[string]bool{}
	}
	s.yes[n.ResponseTo][n.From] = true
	if s.meta.Group.HasQuorum(func(id string) bool { return s.yes[n.ResponseTo][id] }) {
		// A lease that has lapsed is not revived: others may have been promised since.
		if now < s.lease {
			s.lease = max(s.lease, at+s.cfg.LeaderLease)
			s.leased = s.leased || n.ResponseTo > s.stepRound
		}
		delete(s.rounds, n.ResponseTo)
		delete(s.yes, n.ResponseTo)
	}
}

// uphold supports a leader's lease once our vote for it is on disk: a restart
// that forgot the vote would not wait the lease out.
func (s *Replica) uphold(from message.Replica, n message.Message, o *Out) {
	if s.bound > s.tick {
		s.save(o, nil, nil)
	}
	if n.To = from.Ident; !s.waits(s.bound) {
		o.send(from, n)
		return
	}
	s.after[s.bound] = append(s.after[s.bound], message.Envelope{Addr: from.Addr, Message: n})
}

func (s *Replica) beat(now time.Duration, o *Out) {
	s.beatAt = now
	s.round++
	s.rounds[s.round] = now
	for r := range s.rounds {
		if r+8 < s.round {
			delete(s.rounds, r)
			delete(s.yes, r)
		}
	}
	for _, replica := range s.peers() {
		s.askSupport(replica, o)
	}
}

// askSupport asks a peer to support the present round of the leader's lease.
func (s *Replica) askSupport(to message.Replica, o *Out) {
	n := message.Message{Kind: message.KindHeartbeat, Partition: s.partition, Term: s.num, RequestID: s.round, To: to.Ident}
	s.tellPeers(&n)
	o.send(to, n)
}

// Tick lets time pass.
//
// Example: out := s.Tick(now)
func (s *Replica) Tick(now time.Duration) (o Out) {
	s.now = now
	if s.superseded != "" {
		return o
	}
	defer func() { s.sign(&o) }()
	s.notePeers(now, &o)
	if s.stalled(now) && s.mode != idle {
		s.drop(&o)
		return o
	}
	for _, since := range s.stuck {
		if s.mode == owning && now-since > every*s.cfg.LeaderLease && len(s.writes) == 0 {
			s.drop(&o)
			return o
		}
	}
	if s.mode == owning && now >= s.lease || s.mode == filling && now >= s.lease {
		s.drop(&o)
		s.next = now + s.cfg.LeaderLease/4 + s.delay()
		return o
	}
	if s.quit || s.meta.Incomplete || s.stalled(now) || !s.meta.Group.Has(s.me.Ident) {
		return o
	}
	switch s.mode {
	case idle:
		if s.free(now) && now >= s.next {
			s.probe(now, &o)
		} else if !s.free(now) {
			s.next = s.till + s.delay()
		}
	case probing, asking:
		if now-s.askAt > s.cfg.LeaderLease/2 {
			s.drop(&o)
			s.next = max(s.next, now+s.delay()+s.cfg.HeartbeatInterval)
		}
	case filling, owning:
		if now-s.beatAt >= s.cfg.HeartbeatInterval {
			s.beat(now, &o)
		}
		for _, replica := range s.peers() {
			if !s.filled[replica.Ident] && now-s.fillAt[replica.Ident] >= 2*s.cfg.HeartbeatInterval {
				s.sendFill(now, replica, nil, &o)
			}
		}
		s.repair(now, &o)
		s.chase(now, &o)
		for _, no := range slices.Sorted(maps.Keys(s.writes)) {
			w := s.writes[no]
			if now-w.sent >= s.cfg.HeartbeatInterval {
				w.sent = now
				s.sendWrite(no, w, &o)
			}
		}
	}
	return o
}

// Resign lets the leadership lapse: nothing is renewed and nothing is taken on.
//
// Example: s.Resign()
func (s *Replica) Resign() { s.quit = true }

func (s *Replica) standing(num uint64) bool {
	return (s.mode == filling || s.mode == owning) && s.num == num
}
