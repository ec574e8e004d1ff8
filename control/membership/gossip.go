package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// gossipState is what control daemons have of each other's sessions. A seed without
// a disk keeps only who gossiped.
type gossipState struct {
	received     map[string]receivedGossip // by the sender's identity
	acknowledged map[string]uint64         // by address: digest of our gossip that a control daemon has
	rounds       uint64                    // gossips sent
}

// receivedGossip is what one control daemon gossiped last.
type receivedGossip struct {
	members []message.Member // with a session there; the sender itself is the last
	at      time.Duration
	digest  uint64 // as the sender gave it; 0: members are not those that it is of
}

// sender is the control daemon that gossiped.
func (g receivedGossip) sender() message.Member { return g.members[len(g.members)-1] }

// expireGossip forgets who has not gossiped for two sessions.
func (t *Table) expireGossip(now time.Duration) {
	maps.DeleteFunc(t.gossip.received, func(_ string, g receivedGossip) bool {
		return now-g.at > 2*t.cfg.SessionTimeout
	})
}

// latestByAddr is each control daemon's latest gossip by its address: an earlier
// incarnation may be among them still.
func (g *gossipState) latestByAddr() map[string]receivedGossip {
	latest := map[string]receivedGossip{}
	for _, id := range slices.Sorted(maps.Keys(g.received)) {
		received := g.received[id]
		addr := received.sender().Addr
		if received.at >= latest[addr].at {
			latest[addr] = received
		}
	}
	return latest
}

// sendGossip tells other control daemons our sessions, and leaves out what they have.
// Those that are lost are called now and then.
func (t *Table) sendGossip(out *Out) {
	t.gossip.rounds++
	own := message.Gossip{
		Self: t.self, Members: t.controls.members(), Leaderships: t.knownLeaderships(),
		ControlsDigest: t.controlsDigest(),
	}
	own.Digest = digest(own.Members, own.Leaderships)
	addrs := t.controlAddrs()
	if t.gossip.rounds%lostCallInterval == 0 {
		addrs = append(addrs, t.unnamedLostAddrs()...)
	}
	latest := t.gossip.latestByAddr()
	for _, addr := range addrs {
		g := own
		g.Acknowledged = latest[addr].digest
		if t.gossip.acknowledged[addr] == own.Digest {
			g.Unchanged, g.Members, g.Leaderships = true, nil, nil
		}
		out.send(addr, g.Message())
	}
}

// digest is of the members and leaderships that a gossip or a welcome holds; never 0.
func digest(members []message.Member, leaderships []message.Leadership) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		_, _ = fmt.Fprint(h, m)
	}
	var b []byte
	for _, l := range leaderships {
		b = binary.AppendUvarint(b[:0], uint64(l.Partition))
		b = binary.AppendUvarint(b, l.Term)
		b = append(b, l.Leader.Ident...)
		b = append(b, l.Leader.Addr...)
		_, _ = h.Write(b)
	}
	return h.Sum64() | 1 // 0 is none
}

// handleGossip takes a control daemon's gossip, and helps it to find the others.
func (t *Table) handleGossip(now time.Duration, m message.Gossip, out *Out) {
	switch {
	case t.self.HasDisk:
		t.takeGossip(now, m)
	case m.Self.Ident != "":
		t.noteGossiper(now, m.Self)
	}
	if m.ControlsDigest != t.controlsDigest() && m.Self.Ident != "" { // one of us can't find the others yet
		t.refer(m.Self, out)
	}
	t.learnLeaderships(m.Leaderships)
}

// takeGossip takes the sessions of another control daemon.
func (t *Table) takeGossip(now time.Duration, m message.Gossip) {
	t.gossip.acknowledged[m.Self.Addr] = m.Acknowledged
	known, ok := t.gossip.received[m.Self.Ident]
	next := receivedGossip{members: append(m.Members, m.Self), at: now, digest: m.Digest}
	switch {
	case !m.Unchanged:
	case !ok || known.digest != m.Digest: // our next gossip acknowledges none, and it sends all
		next.digest = 0
	case known.sender() == m.Self:
		known.at = now
		t.gossip.received[m.Self.Ident] = known
		return
	default:
		next.members = append(slices.Clone(known.members[:len(known.members)-1]), m.Self)
	}
	t.gossip.received[m.Self.Ident] = next
	t.rebuildView(now)
}

// noteGossiper notes, at a daemon without a disk, a control daemon that gossips; an
// earlier incarnation at its address has ended.
func (t *Table) noteGossiper(now time.Duration, sender message.Member) {
	maps.DeleteFunc(t.gossip.received, func(_ string, g receivedGossip) bool {
		return g.members[0].Addr == sender.Addr
	})
	t.gossip.received[sender.Ident] = receivedGossip{members: []message.Member{sender}, at: now}
	t.learnControl(sender)
}

// controlsDigest is a digest of the control daemons known here.
func (t *Table) controlsDigest() uint64 {
	h := fnv.New64a()
	for _, m := range t.controlDaemons() {
		_, _ = h.Write([]byte(m.Addr + " "))
	}
	return h.Sum64()
}

// controlDaemons lists the control daemons known here, by address.
func (t *Table) controlDaemons() (controls []message.Member) {
	known := t.view.members
	if !t.self.HasDisk && !t.client.hasSession {
		known = nil
		for _, g := range t.gossip.received {
			known = append(known, g.members...)
		}
	}
	for _, m := range known {
		if m.HasDisk {
			controls = append(controls, m)
		}
	}
	slices.SortFunc(controls, byAddr)
	return controls
}
