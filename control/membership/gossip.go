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

// gossipState holds what this control daemon knows of the sessions at other control daemons.
// A seed without a disk stores only the senders.
type gossipState struct {
	received     map[string]receivedGossip // by the sender's identity
	acknowledged map[string]uint64         // by address: digest of our gossip that a control daemon has acknowledged
	rounds       uint64                    // number of gossip rounds sent
}

// receivedGossip is the latest gossip from one control daemon.
type receivedGossip struct {
	members []message.Member // members with a session at the sender, followed by the sender itself
	at      time.Duration
	digest  uint64 // as computed by the sender; 0: it does not match members

	witnesses []string // see message.Gossip
}

// sender returns the control daemon that sent the gossip.
func (g receivedGossip) sender() message.Member { return g.members[len(g.members)-1] }

// expireGossip deletes gossip that is older than two session timeouts.
func (t *Table) expireGossip(now time.Duration) {
	maps.DeleteFunc(t.gossip.received, func(_ string, g receivedGossip) bool {
		return now-g.at > 2*t.cfg.SessionTimeout
	})
}

// latestByAddr returns the latest gossip by the sender's address, because gossip from an
// earlier incarnation at the same address may still be stored.
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

// sendGossip sends our sessions and leaderships to the other control daemons. It omits them if
// the receiver has acknowledged them. Every lostGossipRounds rounds it also sends gossip to lost
// control daemons.
func (t *Table) sendGossip(out *Out) {
	t.gossip.rounds++
	own := message.Gossip{
		Self: t.self, Members: t.controls.members(), Leaderships: t.knownLeaderships(),
		ControlDaemonsDigest: t.controlsDigest(), Witnesses: t.ownWitnesses(),
	}
	own.Digest = digest(own.Members, own.Leaderships)
	addrs := t.controlAddrs()
	if t.gossip.rounds%lostGossipRounds == 0 {
		addrs = append(addrs, t.unlistedLostAddrs()...)
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

// digest returns a digest of the members and leaderships of a gossip or a welcome; it is never 0.
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
	return h.Sum64() | 1 // 0 means no digest
}

// handleGossip handles a control daemon's gossip. If the sender knows other control daemons than
// this daemon, handleGossip sends it a referral.
func (t *Table) handleGossip(now time.Duration, m message.Gossip, out *Out) {
	switch {
	case t.self.HasDisk:
		t.storeGossip(now, m)
	case m.Self.Ident != "":
		t.recordGossiper(now, m)
	}
	if m.ControlDaemonsDigest != t.controlsDigest() && m.Self.Ident != "" { // one side does not know all control daemons
		t.sendReferral(m.Self, out)
	}
	t.learnLeaderships(m.Leaderships)
}

// storeGossip stores the sessions of another control daemon.
func (t *Table) storeGossip(now time.Duration, m message.Gossip) {
	t.gossip.acknowledged[m.Self.Addr] = m.Acknowledged
	known, ok := t.gossip.received[m.Self.Ident]
	next := receivedGossip{members: append(m.Members, m.Self), at: now, digest: m.Digest, witnesses: m.Witnesses}
	switch {
	case !m.Unchanged:
	case !ok || known.digest != m.Digest: // our next gossip acknowledges nothing, so the sender sends its full gossip
		next.digest = 0
	case known.sender() == m.Self:
		known.at, known.witnesses = now, m.Witnesses
		t.gossip.received[m.Self.Ident] = known
		return
	default:
		next.members = append(slices.Clone(known.members[:len(known.members)-1]), m.Self)
	}
	t.gossip.received[m.Self.Ident] = next
	t.rebuildView(now)
}

// recordGossiper records, at a daemon without a disk, the control daemon that sent a gossip and
// removes an earlier incarnation at its address.
func (t *Table) recordGossiper(now time.Duration, m message.Gossip) {
	sender := m.Self
	maps.DeleteFunc(t.gossip.received, func(_ string, g receivedGossip) bool {
		return g.members[0].Addr == sender.Addr
	})
	t.gossip.received[sender.Ident] = receivedGossip{members: []message.Member{sender}, at: now, witnesses: m.Witnesses}
	t.learnControl(sender)
}

// controlsDigest returns a digest of the known control daemons.
func (t *Table) controlsDigest() uint64 {
	h := fnv.New64a()
	for _, m := range t.controlDaemons() {
		_, _ = h.Write([]byte(m.Addr + " "))
	}
	return h.Sum64()
}

// controlDaemons returns the known control daemons, sorted by address. A daemon without a disk and
// without a session knows only the senders of gossip.
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
	slices.SortFunc(controls, compareByAddr)
	return controls
}
