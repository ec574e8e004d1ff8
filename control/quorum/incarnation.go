package quorum

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// A data folder that was copied, or put back as it was before, makes a voter that
// has forgotten votes, or two voters of one identity. Replicas see it by this:
//
// Each save bears a stamp: the incarnation of the daemon, and the count of its saves.
// A replica tells its present stamp in each message, and the one that it started
// from until the other goes by its incarnation. The others remember on disk the
// incarnation that they go by and its latest stamp; the leader tells the rest of the
// group what it knows of each.
//
// A replica counts nothing that comes from an incarnation earlier than the one it
// goes by, from another one of as many starts, or from a later one that started
// from an earlier state than is known of it. It tells such a one what it knows. One
// that is told of an incarnation or a state that isn't in its own past is
// superseded: it has no voice any more.

// guard is what a replica knows of incarnations, its own and the others', beside
// what its Meta keeps.
type guard struct {
	folder     *Folder            // none: nothing is told and nobody is judged
	admitted   map[string]bool    // who goes by this incarnation
	superseded string             // why this replica has no voice; empty: it has
	noted      time.Duration      // when what is known of the others was last saved
	unsaved    bool               // it knows of an incarnation that isn't on its disk
	changes    uint64             // of what is known of the others
	told       map[string]uint64  // as leader: up to which change a peer was told
	telling    map[string]telling // and what it is being told
}

// telling is a round of support that carried what was known then.
type telling struct{ round, changes uint64 }

// Superseded tells why this replica has no voice any more, if it hasn't.
//
// Example: if why := s.Superseded(); why != "" { leave(why) }
func (s *Replica) Superseded() string { return s.superseded }

// Supersede takes a replica's voice away: another process or a later state bears
// its identity.
//
// Example: out := s.Supersede("started from a copy of its folder")
func (s *Replica) Supersede(why string) (o Out) {
	if s.superseded == "" {
		s.superseded = why
		o.Superseded = why
		s.drop(&o)
	}
	return o
}

// knows is what this replica knows of another.
func (s *Replica) knows(ident string) (p message.PeerIncarnation) {
	if i := slices.IndexFunc(s.meta.Peers, func(p message.PeerIncarnation) bool { return p.Ident == ident }); i >= 0 {
		return s.meta.Peers[i]
	}
	return p
}

// note records what is known of another replica. The list is never changed in place:
// saves that wait for the disk hold it. Daemons that are no replicas go from it.
func (s *Replica) note(p message.PeerIncarnation) {
	was := s.knows(p.Ident)
	if was == p {
		return
	}
	g := s.meta.Group
	list := slices.DeleteFunc(slices.Clone(s.meta.Peers), func(o message.PeerIncarnation) bool {
		return o.Ident == p.Ident || g.Number > 0 && !g.Has(o.Ident) && !has(s.learn, o.Ident)
	})
	s.meta.Peers = append(list, p)
	s.changes++
	s.unsaved = s.unsaved || was.Epoch != p.Epoch
}

// trusted tells whether what a message says of us is a replica's word.
func (s *Replica) trusted(n message.Message) bool {
	g := s.meta.Group
	return g.Number > 0 && (g.Has(n.From) || n.Group.Number > g.Number && n.Group.Has(n.From) && n.Group.Has(s.me.Ident))
}

// counts judges a message by the incarnations that it tells of, its sender's and
// this replica's own; one that doesn't count is answered here.
func (s *Replica) counts(now time.Duration, n message.Message, o *Out) bool {
	if s.folder == nil || n.From == s.me.Ident {
		return s.superseded == ""
	}
	if s.superseded != "" {
		return false
	}
	if n.KnownEpoch != 0 && s.trusted(n) && !s.admittedBy(n, o) {
		return false
	}
	if incarnation.Starts(n.Epoch) == 0 { // of a build that tells nothing
		return n.Kind != message.KindIncarnation
	}
	return s.admit(now, n, o) && n.Kind != message.KindIncarnation
}

// admittedBy judges what a peer knows of this replica. One that goes by an earlier
// incarnation is told of this one first: until then what it says may be meant for
// a state that this replica has forgotten.
func (s *Replica) admittedBy(n message.Message, o *Out) bool {
	switch incarnation.Compare(n.KnownEpoch, s.folder.epoch) {
	case incarnation.Same:
		s.admitted[n.From] = true
		return true
	case incarnation.Later:
		*o = s.Supersede(fmt.Sprintf("%s knows of a later start of this daemon", n.From))
		return false
	case incarnation.Conflict:
		*o = s.Supersede(fmt.Sprintf("%s knows another process that was started from the same folder", n.From))
		return false
	}
	if !s.folder.descends(n.KnownState) {
		*o = s.Supersede(fmt.Sprintf("%s knows of a later state of this folder, which is an older copy", n.From))
		return false
	}
	delete(s.admitted, n.From)
	if n.Kind == message.KindIncarnation { // it is answered once its own is judged
		return true
	}
	s.introduce(message.Replica{Ident: n.From, Addr: n.Addr}, o)
	return false
}

// concerns tells whether a message's sender is one whose incarnations are kept:
// a replica or a standby.
func (s *Replica) concerns(n message.Message) bool {
	return s.meta.Group.Number == 0 || s.meta.Group.Has(n.From) || has(s.learn, n.From) || s.trusted(n)
}

// admit judges a message's sender, and takes in what it tells of itself and, as
// leader, of others.
func (s *Replica) admit(now time.Duration, n message.Message, o *Out) bool {
	if !s.concerns(n) {
		return true
	}
	known := s.knows(n.From)
	next := message.PeerIncarnation{Ident: n.From, Epoch: n.Epoch, State: known.State}
	if n.Saves > 0 {
		next.State = message.SavePoint{Epoch: n.Epoch, Saves: n.Saves}
	}
	switch incarnation.Compare(n.Epoch, known.Epoch) {
	case incarnation.Same:
		if known.State.Epoch == n.Epoch {
			next.State.Saves = max(n.Saves, known.State.Saves)
		}
	case incarnation.Later:
		if n.State.Epoch != 0 && precedes(n.State, known.State) {
			s.refuseIncarnation(n, known, o)
			return false
		}
		if n.Saves == 0 { // none yet: it is as it started, if it says so
			next.State = n.State
		}
	default:
		s.refuseIncarnation(n, known, o)
		return false
	}
	s.note(next)
	for _, p := range n.Peers {
		s.relayed(p)
	}
	if n.State.Epoch != 0 || n.Kind == message.KindIncarnation && n.KnownEpoch != s.folder.epoch {
		s.answer(now, message.Replica{Ident: n.From, Addr: n.Addr}, o)
	}
	return true
}

// precedes tells whether a state can't have come after another one.
func precedes(a, b message.SavePoint) bool {
	if b.Epoch == 0 {
		return false
	}
	switch incarnation.Compare(a.Epoch, b.Epoch) {
	case incarnation.Same:
		return a.Saves < b.Saves
	case incarnation.Later:
		return false
	}
	return true
}

// relayed takes in what a leader knows of another replica.
func (s *Replica) relayed(p message.PeerIncarnation) {
	known := s.knows(p.Ident)
	if p.Ident == s.me.Ident || known.Ident == "" && !s.meta.Group.Has(p.Ident) {
		return
	}
	switch incarnation.Compare(p.Epoch, known.Epoch) {
	case incarnation.Same:
		if precedes(known.State, p.State) || known.State.Epoch == 0 {
			s.note(p)
		}
	case incarnation.Later:
		s.note(p)
	}
}

// refuseIncarnation tells an incarnation that isn't counted what is known. It goes
// to where the message came from: its identity may be known elsewhere.
func (s *Replica) refuseIncarnation(n message.Message, known message.PeerIncarnation, o *Out) {
	o.Sends = append(o.Sends, message.Envelope{Addr: n.Addr, ExactAddr: true, Message: message.Message{Kind: message.KindIncarnation, Partition: s.partition, To: n.From, KnownEpoch: known.Epoch, KnownState: known.State, Group: s.meta.Group}})
}

// introduce tells a peer which incarnation this is.
func (s *Replica) introduce(to message.Replica, o *Out) {
	o.send(to, message.Message{Kind: message.KindIncarnation, Partition: s.partition, Group: s.meta.Group})
}

// answer tells an incarnation that it is gone by now, and what was asked of it
// before, which it didn't take.
func (s *Replica) answer(now time.Duration, to message.Replica, o *Out) {
	s.introduce(to, o)
	if !s.meta.Group.Has(to.Ident) {
		return
	}
	switch s.mode {
	case probing:
		if !s.probed[to.Ident] {
			s.askProbe(to, o)
		}
	case asking:
		if _, voted := s.votes[to.Ident]; !voted {
			s.ask(to, o)
		}
	case filling, owning:
		s.askSupport(to, o)
		if !s.filled[to.Ident] {
			s.sendFill(now, to, nil, o)
		}
	}
}

// sign has a step's messages tell of incarnations.
func (s *Replica) sign(o *Out) {
	if s.folder == nil {
		return
	}
	for i := range o.Sends {
		n := &o.Sends[i].Message
		if n.To == s.me.Ident {
			continue
		}
		n.Saves = s.folder.synced.Load()
		if !s.admitted[n.To] {
			n.State = s.folder.base
		}
		if n.KnownEpoch == 0 {
			known := s.knows(n.To)
			if n.KnownEpoch = known.Epoch; n.Kind == message.KindIncarnation {
				n.KnownState = known.State
			}
		}
	}
}

// tellPeers has a support carry what is known of the other replicas, until the
// peer has answered to one that did.
func (s *Replica) tellPeers(n *message.Message) {
	if s.folder == nil || n.To == s.me.Ident || s.told[n.To] == s.changes {
		return
	}
	for _, p := range s.meta.Peers {
		if p.Ident != n.To && s.meta.Group.Has(p.Ident) {
			n.Peers = append(n.Peers, p)
		}
	}
	s.telling[n.To] = telling{s.round, s.changes}
}

// heardPeers takes a peer's answer to a support.
func (s *Replica) heardPeers(n message.Message) {
	if t, ok := s.telling[n.From]; ok && n.ResponseTo >= t.round {
		s.told[n.From] = t.changes
		delete(s.telling, n.From)
	}
}

// notePeers saves what is known of the others once it says of another incarnation;
// how far each came goes to the disk with the next save.
func (s *Replica) notePeers(now time.Duration, o *Out) {
	if s.unsaved && now-s.noted >= s.cfg.HeartbeatInterval && s.meta.Group.Number > 0 {
		s.noted = now
		s.save(o, nil, nil)
	}
}
