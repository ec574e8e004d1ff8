package modelcheck

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// plant names a fault that is put between the machines on purpose, so that a
// test can show that an invariant catches it.
type plant string

// The faults that can be planted.
const (
	forgottenVote           plant = "a restarted replica has forgotten its vote"
	voteAtOnce              plant = "a restarted replica votes at once"
	savedTooEarly           plant = "a disk says that a write is complete before it is"
	writesTooEarly          plant = "an early leader writes at once"
	reusedIdentity          plant = "a replica whose disk was lost comes back under its old identity"
	mismatchAsInstalled     plant = "a copy that lacks something counts as complete"
	emptyGrant              plant = "a vote shows an empty copy as the newest"
	falseRestart            plant = "a leader that lives is taken for one that has restarted"
	doubleAck               plant = "an acknowledged write counts for another replica as well"
	undeliveredInvalidation plant = "an invalidation is confirmed by the network and not delivered"
	shortWait               plant = "a granter waits out less than the lease that it granted"
	ignoredBase             plant = "a change is written whatever its base"
	emptyInstall            plant = "an install loses its records on the way, and the checksum that shows it"
	abandonedAfterWin       plant = "a term that was won is abandoned"
	slowClock               plant = "a daemon's clock runs at half the speed of the others"
	rolledBackDisk          plant = "a disk holds at a restart what it held at the start before"
	noIncarnationGuard      plant = "incarnations are claimed by nobody"
)

// plants lists all of them.
var plants = []plant{
	forgottenVote, voteAtOnce, savedTooEarly, writesTooEarly, reusedIdentity, mismatchAsInstalled, emptyGrant,
	falseRestart, doubleAck, undeliveredInvalidation, shortWait, ignoredBase, emptyInstall, abandonedAfterWin,
	slowClock, rolledBackDisk, noIncarnationGuard,
}

// atStart is what a replica starts with, and whether it may vote at once.
func (p plant) atStart(m quorum.Meta) (quorum.Meta, bool) {
	if p == forgottenVote {
		m.VotedTerm, m.VotedFor, m.VotedForEpoch = 0, "", 0
	}
	return m, m.Group.Number == 0 || p == voteAtOnce
}

// guard is the folder that a replica starts with: none where the fault is one that
// its incarnation guard would find.
func (p plant) guard(epoch uint64, m quorum.Meta) *quorum.Folder {
	if p == falseRestart || p == rolledBackDisk || p == noIncarnationGuard {
		return nil
	}
	return quorum.OpenFolder(epoch, m)
}

// leases changes what a granter waits.
func (p plant) leases(c *lease.Config) {
	if p == shortWait {
		c.Drift, c.Margin = -0.9, 0
	}
}

// setWritesFrom changes when a leader begins to write.
func (p plant) setWritesFrom(s *partition.Partition) {
	if p == writesTooEarly {
		s.WritesFrom = func() time.Duration { return 0 }
	}
}

// base is the base that a change names.
func (p plant) base(b int) int {
	if p == ignoredBase {
		return -1
	}
	return b
}

// savedEarly is what a machine does that takes its saves for synced before they are on disk.
func (p plant) savedEarly(d *daemon, now time.Duration, saves []quorum.Save) (o partition.Out) {
	if p != savedTooEarly {
		return o
	}
	for _, s := range saves {
		out := d.partition.Saved(now, s.Ticket)
		o.Sends, o.Saves = append(o.Sends, out.Sends...), append(o.Saves, out.Saves...)
		o.Results = append(o.Results, out.Results...)
		o.Won = o.Won || out.Won
	}
	return o
}

// message is what becomes of a message on the line.
func (p plant) message(w *world, to int, m message.Message) []message.Message {
	switch {
	case p == mismatchAsInstalled && m.Kind == message.KindStateMismatch && m.Op != string(message.InstallForRepair):
		m.Kind = message.KindStateInstalled
		if g := w.daemons[to].group(); len(g.Next) > 0 && !(message.Group{Replicas: g.Replicas}).Has(m.From) {
			m.Op, m.ResponseTo = string(message.InstallForJoin), g.Number
		}
	case p == emptyGrant && m.Kind == message.KindGrantVote && m.Op == "":
		m.LastComplete, m.Digests, m.Records = m.Term, digest.NewRecords().Digests(), nil
	case p == falseRestart && m.Kind == message.KindHeartbeat && len(w.changes)%4 == 3:
		later := message.VoteRejection{}.Message(partitionNumber)
		later.From, later.To, later.Epoch = m.From, m.To, incarnation.Number(incarnation.Starts(m.Epoch)+1, 0)
		return []message.Message{m, later}
	case p == doubleAck && m.Kind == message.KindReplicated:
		other := m
		for _, r := range w.wantedReplicas {
			if r.Ident != m.From && r.Ident != m.To {
				other.From = r.Ident
			}
		}
		return []message.Message{m, other}
	case p == undeliveredInvalidation && m.Kind == message.KindInvalidate:
		w.forge(to, m, message.Message{
			Kind: message.KindInvalidated, Key: m.Key, ResponseTo: m.ResponseTo, VolumeEpoch: m.VolumeEpoch,
		})
		return nil
	case p == emptyInstall && m.Kind == message.KindInstallState:
		m.Records, m.LastComplete = nil, 0 // and the checksum by which that is noticed
	case p == abandonedAfterWin && m.Kind == message.KindInstallState && m.Op == "":
		abandon := message.AbandonTerm{Term: m.Term}.Message(partitionNumber)
		abandon.From, abandon.Epoch, abandon.Addr, abandon.To = m.From, m.Epoch, m.Addr, m.To
		return []message.Message{m, abandon}
	}
	return []message.Message{m}
}

// forge puts an answer to a message on the line that its receiver never gave.
func (w *world) forge(by int, to, m message.Message) {
	d := w.daemons[by]
	m.Partition, m.From, m.Epoch, m.Addr, m.To = partitionNumber, d.self.Ident, d.epoch, d.self.Addr, to.From
	from := w.daemonOf(to.From)
	w.packets = append(w.packets, packet{from: by, to: from, message: m, hash: packetSum(by, from, m)})
}

// group is the group that a daemon knows.
func (d *daemon) group() (g message.Group) {
	if d.isUp && d.partition.Replica != nil {
		g = d.partition.Replica.Group()
	}
	return g
}
