package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// What a replica's copy is good for: whether its disk has all that it should, and
// whether it has all that the leader wrote.

// Sum is of a replica's whole durable state. What is read back from a disk and has
// another one isn't what was written.
//
// Example: short := row.Sum != meta.Sum(book)
func (m Meta) Sum(b *digest.Records) uint64 {
	h := fnv.New64a()
	num := func(list ...uint64) {
		var all []byte
		for _, n := range list {
			all = binary.BigEndian.AppendUint64(all, n)
		}
		_, _ = h.Write(all)
	}
	word := func(s string) {
		num(uint64(len(s)))
		_, _ = h.Write([]byte(s))
	}
	short := uint64(0)
	if m.Incomplete {
		short = 1
	}
	num(m.VotedTerm, m.VotedForEpoch, m.CandidateTerm, m.LastComplete, short, m.Group.Number, uint64(len(m.Group.Replicas)))
	word(m.VotedFor)
	for _, replica := range append(slices.Clone(m.Group.Replicas), m.Group.Next...) {
		word(replica.Ident)
	}
	num(b.Digests()...)
	return h.Sum64() | 1 // 0 is none
}

// PastSum is of what a replica's state says of incarnations; a build that tells
// nothing of them reads the rest of the state by Sum alone.
//
// Example: trusted := row.Past == row.PastSum()
func (m Meta) PastSum() uint64 {
	if m.State.Epoch == 0 && len(m.History)+len(m.Peers) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%v %v %v", m.State, m.History, m.Peers)
	return h.Sum64() | 1
}

// patience is how many leader leases a disk may take for one save before its replica
// leaves the leadership to others.
const patience = 4

// unsynced is what a replica gave to its disk and has not heard of.
type unsynced struct {
	now  time.Duration // of the step under way
	list []ticket
}

type ticket struct {
	no    uint64
	at    time.Duration
	saves uint64 // its number in the folder
}

func (u *unsynced) gave(no, saves uint64) { u.list = append(u.list, ticket{no, u.now, saves}) }

// synced forgets the saves up to one that is on disk, and tells the highest number
// in the folder among them.
func (u *unsynced) synced(no uint64) (saves uint64) {
	u.list = slices.DeleteFunc(u.list, func(t ticket) bool {
		if t.no <= no {
			saves = max(saves, t.saves)
		}
		return t.no <= no
	})
	return saves
}

// waits tells whether a save is not on disk yet.
func (u *unsynced) waits(no uint64) bool { return len(u.list) > 0 && u.list[0].no <= no }

// stalled tells whether the disk has kept a save waiting too long.
func (s *Replica) stalled(now time.Duration) bool {
	return len(s.list) > 0 && now-s.list[0].at >= patience*s.cfg.LeaderLease
}

// behind is a replica that a write was settled without.
type behind struct {
	missed uint64 // the last such write
	asked  time.Duration
	heard  bool // it took a write since
	asks   int  // since then
}

// settled notes a write that a majority has, and which replicas don't yet.
func (s *Replica) settled(no uint64, w *write) {
	delete(s.writes, no)
	for _, replica := range s.peers() {
		if !w.acks[replica.Ident] {
			w.recs = nil
			s.few[no] = w
		}
	}
}

// late takes a replica's word on a write that was settled without it.
func (s *Replica) late(from string, no uint64) {
	if b := s.behind[from]; b != nil {
		b.heard = true
	}
	if w := s.few[no]; w != nil {
		w.acks[from] = true
		s.settled(no, w)
	}
}

// chase brings replicas that missed writes up to the leader's copy, beside what is
// being written: a replica that was away while hundreds of changes came is sent the
// ranges that differ, once, and is whole when its disk has them.
func (s *Replica) chase(now time.Duration, o *Out) {
	for _, no := range slices.Sorted(maps.Keys(s.few)) {
		w := s.few[no]
		if now-w.sent < s.cfg.HeartbeatInterval {
			continue
		}
		delete(s.few, no)
		for _, replica := range s.peers() {
			if w.acks[replica.Ident] || replica.Ident == s.me.Ident {
				continue
			}
			if s.behind[replica.Ident] == nil {
				s.behind[replica.Ident] = &behind{asked: now - 2*s.cfg.HeartbeatInterval}
			}
			s.behind[replica.Ident].missed = no
		}
	}
	for _, replica := range s.peers() {
		if b := s.behind[replica.Ident]; b != nil && s.filled[replica.Ident] && now-b.asked >= 2*s.cfg.HeartbeatInterval {
			if b.heard {
				b.asks++
			}
			if b.asks > every { // a build that says nothing when its copy is equal
				delete(s.behind, replica.Ident)
				continue
			}
			b.asked = now
			o.send(replica, message.Message{Kind: message.KindInstallState, Op: compare, Partition: s.partition, Term: s.num, RequestID: s.seq, Digests: s.records.Digests(), Group: s.meta.Group})
		}
	}
}

// caughtUp takes a replica's word that its disk has all up to a write.
func (s *Replica) caughtUp(n message.Message) {
	if b := s.behind[n.From]; b != nil && n.ResponseTo >= b.missed {
		delete(s.behind, n.From)
	}
}
