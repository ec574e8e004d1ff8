package quorum

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// A data folder that was copied or rolled back yields a voter that has lost votes, or
// two voters with the same identity. Replicas detect this as follows.
//
// Each save has a save point: the incarnation of the daemon, and the count of its
// saves. A replica claims its current save point in each message and, until the
// receiver recognizes its incarnation, also the save point that it started from. Its
// peers store on disk the incarnation that they recognize and its latest save point;
// the leader announces each replica's incarnation and save point to the rest of the group.
//
// A replica rejects messages from an incarnation earlier than the one it recognizes,
// from a different one with the same number of starts, and from a later one that
// started from an earlier state than the latest known one. It answers such messages with the
// incarnation and save point that it knows. A replica that learns of an incarnation or a state that isn't in its own
// history is superseded: it stops taking part in the group.

// incarnationGuard is the state about a replica's own incarnation and its peers'
// incarnations that is not part of Meta.
type incarnationGuard struct {
	folder         *Folder         // nil: no incarnation is claimed or checked
	acknowledgedBy map[string]bool // the peers that recognize this incarnation
	superseded     string          // why this replica is superseded; empty if it isn't

	peersSavedAt time.Duration // when savePeerIncarnations last saved Meta.Peers
	unsaved      bool          // Meta.Peers has an incarnation that isn't on disk
	peersVersion uint64        // counts the changes of Meta.Peers

	announced  map[string]uint64       // as leader: the version of Meta.Peers that each peer has acknowledged
	announcing map[string]announcement // as leader: the announcement in flight to each peer
}

// announcement is a round of heartbeats that carried a version of Meta.Peers.
type announcement struct{ round, version uint64 }

// startAnnouncing resets the announcements at the start of a leadership.
func (g *incarnationGuard) startAnnouncing() {
	g.announced, g.announcing = map[string]uint64{}, map[string]announcement{}
}

// noteAnnounced records that a peer acknowledged a round of heartbeats, and with it
// the announcement that the round carried.
func (g *incarnationGuard) noteAnnounced(peer string, round uint64) {
	if a, ok := g.announcing[peer]; ok && round >= a.round {
		g.announced[peer] = a.version
		delete(g.announcing, peer)
	}
}

// Superseded returns why this replica is superseded, or an empty string if it isn't.
//
// Example: if why := r.Superseded(); why != "" { leave(why) }
func (r *Replica) Superseded() string { return r.guard.superseded }

// Supersede stops a replica from taking part in the group, because another process
// or a later state has its identity.
//
// Example: out := r.Supersede("started from a copy of its folder")
func (r *Replica) Supersede(why string) (out Out) {
	if r.guard.superseded == "" {
		r.guard.superseded = why
		out.Superseded = why
		r.stepDown(&out)
	}
	return out
}

// knownPeer returns the recorded incarnation of another replica.
func (r *Replica) knownPeer(ident string) message.PeerIncarnation {
	isPeer := func(p message.PeerIncarnation) bool { return p.Ident == ident }
	if i := slices.IndexFunc(r.meta.Peers, isPeer); i >= 0 {
		return r.meta.Peers[i]
	}
	return message.PeerIncarnation{}
}

// notePeer records another replica's incarnation and state. The list is never changed
// in place, since pending saves refer to it. Daemons that are neither replicas nor
// learners are dropped from it.
func (r *Replica) notePeer(peer message.PeerIncarnation) {
	before := r.knownPeer(peer.Ident)
	if before == peer {
		return
	}
	group := r.meta.Group
	others := slices.DeleteFunc(slices.Clone(r.meta.Peers), func(p message.PeerIncarnation) bool {
		return p.Ident == peer.Ident || group.Number > 0 && !group.Has(p.Ident) && !has(r.learners, p.Ident)
	})
	r.meta.Peers = append(others, peer)
	r.guard.peersVersion++
	r.guard.unsaved = r.guard.unsaved || before.Epoch != peer.Epoch
}

// isReplicaOfGroup reports whether a message's sender is a replica of this replica's
// group, or of a later group that includes both.
func (r *Replica) isReplicaOfGroup(from message.Sender, group message.Group) bool {
	own := r.meta.Group
	isOfLaterGroup := group.Number > own.Number && group.Has(from.Ident) && group.Has(r.self.Ident)
	return own.Number > 0 && (own.Has(from.Ident) || isOfLaterGroup)
}

// admitsMessage reports whether a message is to be processed, given its claims about the
// incarnations of its sender and of this replica. If not, it adds any answer to out.
func (r *Replica) admitsMessage(
	now time.Duration, from message.Sender, claims message.IncarnationClaims, out *Out,
) bool {
	if r.guard.folder == nil || from.Ident == r.self.Ident {
		return r.guard.superseded == ""
	}
	if r.guard.superseded != "" {
		return false
	}
	if claims.KnownEpoch != 0 && r.isReplicaOfGroup(from, claims.Group) && !r.peerKnowsIncarnation(from, claims, out) {
		return false
	}
	if incarnation.Starts(claims.Epoch) == 0 { // from a build that claims no incarnation
		return !claims.IsNotice
	}
	return r.admitsSender(now, from, claims, out) && !claims.IsNotice
}

// peerKnowsIncarnation reports whether a peer's messages are meant for this
// incarnation, and supersedes this replica if the peer knows of a later state. A peer
// that recognizes an earlier incarnation is first sent a notice of this one. Until it
// receives the notice, its messages may refer to a state that this replica has lost.
func (r *Replica) peerKnowsIncarnation(from message.Sender, claims message.IncarnationClaims, out *Out) bool {
	ident := from.Ident
	switch incarnation.Compare(claims.KnownEpoch, r.guard.folder.epoch) {
	case incarnation.Same:
		r.guard.acknowledgedBy[ident] = true
		return true
	case incarnation.Later:
		*out = r.Supersede(fmt.Sprintf("%s knows of a later start of this daemon", ident))
		return false
	case incarnation.Conflict:
		*out = r.Supersede(fmt.Sprintf("%s knows another process that was started from the same folder", ident))
		return false
	}
	if !r.guard.folder.descendsFrom(claims.KnownState) {
		*out = r.Supersede(fmt.Sprintf("%s knows of a later state of this folder, which is an older copy", ident))
		return false
	}
	delete(r.guard.acknowledgedBy, ident)
	if claims.IsNotice { // admitsSender answers the notice after it has checked the peer's incarnation
		return true
	}
	r.sendNotice(from.Replica, out)
	return false
}

// tracksIncarnationOf reports whether a message's sender is one whose incarnations are
// recorded: a replica or a learner.
func (r *Replica) tracksIncarnationOf(from message.Sender, group message.Group) bool {
	return r.meta.Group.Number == 0 || r.meta.Group.Has(from.Ident) || has(r.learners, from.Ident) ||
		r.isReplicaOfGroup(from, group)
}

// admitsSender reports whether a sender's incarnation is admitted. If so, it records
// the sender's claims about itself and, from a leader, its announcements about others.
func (r *Replica) admitsSender(
	now time.Duration, from message.Sender, claims message.IncarnationClaims, out *Out,
) bool {
	if !r.tracksIncarnationOf(from, claims.Group) {
		return true
	}
	known := r.knownPeer(from.Ident)
	next := message.PeerIncarnation{Ident: from.Ident, Epoch: claims.Epoch, State: known.State}
	if claims.Saves > 0 {
		next.State = message.SavePoint{Epoch: claims.Epoch, Saves: claims.Saves}
	}
	switch incarnation.Compare(claims.Epoch, known.Epoch) {
	case incarnation.Same:
		if known.State.Epoch == claims.Epoch {
			next.State.Saves = max(claims.Saves, known.State.Saves)
		}
	case incarnation.Later:
		if claims.StartState.Epoch != 0 && precedes(claims.StartState, known.State) {
			r.refuseIncarnation(from, known, out)
			return false
		}
		if claims.Saves == 0 { // no save yet, so the state is the one that the sender started from, if claimed
			next.State = claims.StartState
		}
	default:
		r.refuseIncarnation(from, known, out)
		return false
	}
	r.notePeer(next)
	for _, peer := range claims.Peers {
		r.noteAnnouncedPeer(peer)
	}
	if claims.StartState.Epoch != 0 || claims.IsNotice && claims.KnownEpoch != r.guard.folder.epoch {
		r.welcomeIncarnation(now, from.Replica, out)
	}
	return true
}

// precedes reports whether state a can't be a successor of state b.
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

// noteAnnouncedPeer records what a leader announced about another replica.
func (r *Replica) noteAnnouncedPeer(peer message.PeerIncarnation) {
	known := r.knownPeer(peer.Ident)
	if peer.Ident == r.self.Ident || known.Ident == "" && !r.meta.Group.Has(peer.Ident) {
		return
	}
	switch incarnation.Compare(peer.Epoch, known.Epoch) {
	case incarnation.Same:
		if precedes(known.State, peer.State) || known.State.Epoch == 0 {
			r.notePeer(peer)
		}
	case incarnation.Later:
		r.notePeer(peer)
	}
}

// refuseIncarnation sends the known incarnation to a sender whose incarnation isn't
// admitted. The answer goes to the address that the message came from, since the same
// identity may be known at another address.
func (r *Replica) refuseIncarnation(from message.Sender, known message.PeerIncarnation, out *Out) {
	notice := message.IncarnationNotice{KnownEpoch: known.Epoch, KnownState: known.State, Group: r.meta.Group}
	refusal := envelope(from.Replica, notice.Message(r.partition))
	refusal.ExactAddr = true
	out.Sends = append(out.Sends, refusal)
}

// sendNotice sends a peer this incarnation's claim, which the peer answers.
func (r *Replica) sendNotice(to message.Replica, out *Out) {
	out.send(to, message.IncarnationNotice{Group: r.meta.Group}.Message(r.partition))
}

// welcomeIncarnation notifies a new incarnation that this replica recognizes it, and
// resends the requests that its predecessor has not answered.
func (r *Replica) welcomeIncarnation(now time.Duration, to message.Replica, out *Out) {
	r.sendNotice(to, out)
	if !r.meta.Group.Has(to.Ident) {
		return
	}
	switch r.role {
	case preCandidate:
		if !r.election.preVotes[to.Ident] {
			r.requestPreVote(to, out)
		}
	case candidate:
		if _, voted := r.election.votes[to.Ident]; !voted {
			r.requestVote(to, out)
		}
	case installing, leader:
		r.sendHeartbeat(to, out)
		if !r.copies.installed[to.Ident] {
			r.sendInstall(now, to, nil, out)
		}
	}
}

// claimIncarnations adds the current incarnation claims to a step's outgoing messages.
func (r *Replica) claimIncarnations(out *Out) {
	if r.guard.folder == nil {
		return
	}
	for i := range out.Sends {
		m := &out.Sends[i].Message
		if m.To == r.self.Ident {
			continue
		}
		m.Saves = r.guard.folder.synced.Load()
		if !r.guard.acknowledgedBy[m.To] {
			m.State = r.guard.folder.startState
		}
		if m.KnownEpoch != 0 {
			continue
		}
		known := r.knownPeer(m.To)
		m.KnownEpoch = known.Epoch
		if m.Kind == message.KindIncarnation {
			m.KnownState = known.State
		}
	}
}

// announcePeers returns what a heartbeat announces about the other replicas, or nil
// once the peer has acknowledged the current version.
func (r *Replica) announcePeers(to message.Replica) (peers []message.PeerIncarnation) {
	if r.guard.folder == nil || to.Ident == r.self.Ident || r.guard.announced[to.Ident] == r.guard.peersVersion {
		return nil
	}
	for _, peer := range r.meta.Peers {
		if peer.Ident != to.Ident && r.meta.Group.Has(peer.Ident) {
			peers = append(peers, peer)
		}
	}
	r.guard.announcing[to.Ident] = announcement{r.lease.round, r.guard.peersVersion}
	return peers
}

// savePeerIncarnations saves Meta.Peers if an incarnation in it isn't on disk, at most
// once per heartbeat interval. Changes of save points alone wait for the next save.
func (r *Replica) savePeerIncarnations(now time.Duration, out *Out) {
	if r.guard.unsaved && now-r.guard.peersSavedAt >= r.cfg.HeartbeatInterval && r.meta.Group.Number > 0 {
		r.guard.peersSavedAt = now
		r.save(out, nil, nil)
	}
}
