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
// Each save has a save point: the incarnation of the daemon, and the count of its
// saves. A replica claims its present save point in each message, and the one that it
// started from until the receiver recognizes its incarnation. The others remember on
// disk the incarnation that they recognize and its latest save point; the leader
// announces to the rest of the group what it knows of each.
//
// A replica admits nothing from an incarnation earlier than the one it recognizes,
// from another one of as many starts, or from a later one that started from an
// earlier state than is known of it. It answers such a one with what it knows. One
// that learns of an incarnation or a state that isn't in its own past is superseded:
// it takes no part any more.

// incarnationGuard is what a replica keeps of incarnations, its own and the others',
// beside what its Meta holds.
type incarnationGuard struct {
	folder         *Folder         // nil: no incarnation is claimed or checked
	acknowledgedBy map[string]bool // who recognizes this incarnation
	superseded     string          // why this replica takes no part any more; empty: it does

	savedAt  time.Duration // when what is known of the others was last saved for its own sake
	unsaved  bool          // Meta.Peers has an incarnation that isn't on the disk
	versions uint64        // counts the changes of Meta.Peers

	announced  map[string]uint64       // as leader: up to which version a peer knows Meta.Peers
	announcing map[string]announcement // as leader: what is on its way to a peer
}

// announcement is a round of heartbeats that carried Meta.Peers as of a version.
type announcement struct{ round, version uint64 }

// startAnnouncing begins a leadership, in which nothing was announced yet.
func (g *incarnationGuard) startAnnouncing() {
	g.announced, g.announcing = map[string]uint64{}, map[string]announcement{}
}

// noteAnnounced takes a peer's answer to a round of heartbeats.
func (g *incarnationGuard) noteAnnounced(peer string, round uint64) {
	if a, ok := g.announcing[peer]; ok && round >= a.round {
		g.announced[peer] = a.version
		delete(g.announcing, peer)
	}
}

// Superseded is why this replica takes no part any more; empty: it does.
//
// Example: if why := r.Superseded(); why != "" { leave(why) }
func (r *Replica) Superseded() string { return r.guard.superseded }

// Supersede ends a replica's part in the group: another process or a later state
// has its identity.
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

// knownPeer is what this replica knows of another.
func (r *Replica) knownPeer(ident string) message.PeerIncarnation {
	isIt := func(p message.PeerIncarnation) bool { return p.Ident == ident }
	if i := slices.IndexFunc(r.meta.Peers, isIt); i >= 0 {
		return r.meta.Peers[i]
	}
	return message.PeerIncarnation{}
}

// notePeer records what is known of another replica. The list is never changed in
// place: saves that wait for the disk hold it. Daemons that are no replicas and no
// learners leave it.
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
	r.guard.versions++
	r.guard.unsaved = r.guard.unsaved || before.Epoch != peer.Epoch
}

// isReplicaOfGroup reports whether a message that claims to know this replica is from
// a replica of its group, or of a later group that both are in.
func (r *Replica) isReplicaOfGroup(from message.Sender, group message.Group) bool {
	own := r.meta.Group
	isOfLaterGroup := group.Number > own.Number && group.Has(from.Ident) && group.Has(r.self.Ident)
	return own.Number > 0 && (own.Has(from.Ident) || isOfLaterGroup)
}

// admits checks a message by its claims of incarnations, its sender's and this
// replica's own. One that isn't admitted is answered here.
func (r *Replica) admits(now time.Duration, from message.Sender, claims message.IncarnationClaims, out *Out) bool {
	if r.guard.folder == nil || from.Ident == r.self.Ident {
		return r.guard.superseded == ""
	}
	if r.guard.superseded != "" {
		return false
	}
	if claims.KnownEpoch != 0 && r.isReplicaOfGroup(from, claims.Group) && !r.isKnownAsItself(from, claims, out) {
		return false
	}
	if incarnation.Starts(claims.Epoch) == 0 { // of a build that claims none
		return !claims.IsNotice
	}
	return r.admitsSender(now, from, claims, out) && !claims.IsNotice
}

// isKnownAsItself checks what a peer knows of this replica, which may supersede it.
// A peer that recognizes an earlier incarnation is sent this one first: until then
// its messages may be meant for a state that this replica has forgotten.
func (r *Replica) isKnownAsItself(from message.Sender, claims message.IncarnationClaims, out *Out) bool {
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
	if claims.IsNotice { // it is answered once its own incarnation is checked
		return true
	}
	r.sendNotice(from.Replica, out)
	return false
}

// recordsIncarnationOf reports whether a message's sender is one whose incarnations are recorded:
// a replica or a learner.
func (r *Replica) recordsIncarnationOf(from message.Sender, group message.Group) bool {
	return r.meta.Group.Number == 0 || r.meta.Group.Has(from.Ident) || has(r.learners, from.Ident) ||
		r.isReplicaOfGroup(from, group)
}

// admitsSender checks a message's sender, and records what it claims of itself and,
// as leader, announces of others.
func (r *Replica) admitsSender(
	now time.Duration, from message.Sender, claims message.IncarnationClaims, out *Out,
) bool {
	if !r.recordsIncarnationOf(from, claims.Group) {
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
		if claims.Saves == 0 { // none yet: it is as it started, if it claims a state
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
		r.answerNewIncarnation(now, from.Replica, out)
	}
	return true
}

// precedes reports whether a state can't have come after another one.
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

// noteAnnouncedPeer records what a leader knows of another replica.
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

// refuseIncarnation answers an incarnation that isn't admitted with what is known.
// It goes to where the message came from: its identity may be known elsewhere.
func (r *Replica) refuseIncarnation(from message.Sender, known message.PeerIncarnation, out *Out) {
	notice := message.IncarnationNotice{KnownEpoch: known.Epoch, KnownState: known.State, Group: r.meta.Group}
	refusal := envelope(from.Replica, notice.Message(r.partition))
	refusal.ExactAddr = true
	out.Sends = append(out.Sends, refusal)
}

// sendNotice sends a peer the claim of this incarnation, for its answer.
func (r *Replica) sendNotice(to message.Replica, out *Out) {
	out.send(to, message.IncarnationNotice{Group: r.meta.Group}.Message(r.partition))
}

// answerNewIncarnation tells an incarnation that this replica recognizes it now, and
// sends again what the one before was sent and has not answered.
func (r *Replica) answerNewIncarnation(now time.Duration, to message.Replica, out *Out) {
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

// claimIncarnations adds to a step's messages the claims of incarnations as they are
// when the messages leave.
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
			m.State = r.guard.folder.base
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

// announcePeers is what a heartbeat announces of the other replicas, until the peer
// has answered one that did.
func (r *Replica) announcePeers(to message.Replica) (peers []message.PeerIncarnation) {
	if r.guard.folder == nil || to.Ident == r.self.Ident || r.guard.announced[to.Ident] == r.guard.versions {
		return nil
	}
	for _, peer := range r.meta.Peers {
		if peer.Ident != to.Ident && r.meta.Group.Has(peer.Ident) {
			peers = append(peers, peer)
		}
	}
	r.guard.announcing[to.Ident] = announcement{r.lease.round, r.guard.versions}
	return peers
}

// savePeerIncarnations saves what is known of the others once one has another
// incarnation; their save points go to the disk with the next save.
func (r *Replica) savePeerIncarnations(now time.Duration, out *Out) {
	if r.guard.unsaved && now-r.guard.savedAt >= r.cfg.HeartbeatInterval && r.meta.Group.Number > 0 {
		r.guard.savedAt = now
		r.save(out, nil, nil)
	}
}
