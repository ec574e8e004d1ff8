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

// plantedFault is a fault that is planted on purpose, so that a test can show that an invariant
// detects it. Its methods change the behavior where the fault takes effect.
type plantedFault string

// The faults that can be planted.
const (
	forgottenVote           plantedFault = "a restarted replica has forgotten its vote"
	voteAtOnce              plantedFault = "a restarted replica votes at once"
	savedTooEarly           plantedFault = "a disk says that a write is complete before it is"
	writesTooEarly          plantedFault = "an early leader writes at once"
	reusedIdentity          plantedFault = "a replica whose disk was lost comes back under its old identity"
	mismatchAsInstalled     plantedFault = "a copy that lacks something counts as complete"
	emptyGrant              plantedFault = "a vote shows an empty copy as the newest"
	falseRestart            plantedFault = "a leader that lives is taken for one that has restarted"
	doubleAck               plantedFault = "an acknowledged write counts for another replica as well"
	undeliveredInvalidation plantedFault = "an invalidation is confirmed by the network and not delivered"
	shortWait               plantedFault = "a granter waits out less than the lease that it granted"
	ignoredBase             plantedFault = "a change is written whatever its base"
	emptyInstall            plantedFault = "an install loses its records on the way, and the checksum that shows it"
	abandonedAfterWin       plantedFault = "a term that was won is abandoned"
	slowClock               plantedFault = "a daemon's clock runs at half the speed of the others"
	rolledBackDisk          plantedFault = "a disk holds at a restart what it held at the start before"
	noIncarnationGuard      plantedFault = "incarnations are claimed by nobody"
)

// plantedFaults lists all faults.
var plantedFaults = []plantedFault{
	forgottenVote, voteAtOnce, savedTooEarly, writesTooEarly, reusedIdentity, mismatchAsInstalled, emptyGrant,
	falseRestart, doubleAck, undeliveredInvalidation, shortWait, ignoredBase, emptyInstall, abandonedAfterWin,
	slowClock, rolledBackDisk, noIncarnationGuard,
}

// atStart returns the metadata with which a replica starts, and whether it may vote at once.
func (p plantedFault) atStart(m quorum.Meta) (quorum.Meta, bool) {
	if p == forgottenVote {
		m.VotedTerm, m.VotedFor, m.VotedForEpoch = 0, "", 0
	}
	return m, m.Group.Number == 0 || p == voteAtOnce
}

// guard returns the folder with which a replica starts; nil for faults that the incarnation
// guard would detect.
func (p plantedFault) guard(epoch uint64, m quorum.Meta) *quorum.Folder {
	if p == falseRestart || p == rolledBackDisk || p == noIncarnationGuard {
		return nil
	}
	return quorum.OpenFolder(epoch, m)
}

// leases changes how long a granter waits for leases to expire.
func (p plantedFault) leases(c *lease.Config) {
	if p == shortWait {
		c.Drift, c.Margin = -0.9, 0
	}
}

// setWritesFrom changes the time from which a leader writes.
func (p plantedFault) setWritesFrom(s *partition.Partition) {
	if p == writesTooEarly {
		s.WritesFrom = func() time.Duration { return 0 }
	}
}

// base returns the base of a change; negative: the change ignores its base.
func (p plantedFault) base(b int) int {
	if p == ignoredBase {
		return -1
	}
	return b
}

// savedEarly reports saves as synced before they are on disk, and returns the output.
func (p plantedFault) savedEarly(d *daemon, now time.Duration, saves []quorum.Save) (o partition.Out) {
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

// message returns the messages that are sent in place of m.
func (p plantedFault) message(w *world, to int, m message.Message) []message.Message {
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
		m.Records, m.LastComplete = nil, 0 // without the checksum that would reveal it
	case p == abandonedAfterWin && m.Kind == message.KindInstallState && m.Op == "":
		abandon := message.AbandonTerm{Term: m.Term}.Message(partitionNumber)
		abandon.From, abandon.Epoch, abandon.Addr, abandon.To = m.From, m.Epoch, m.Addr, m.To
		return []message.Message{m, abandon}
	}
	return []message.Message{m}
}

// forge sends an answer to a message that its receiver never sent.
func (w *world) forge(by int, to, m message.Message) {
	d := w.daemons[by]
	m.Partition, m.From, m.Epoch, m.Addr, m.To = partitionNumber, d.self.Ident, d.epoch, d.self.Addr, to.From
	from := w.daemonOf(to.From)
	w.packets = append(w.packets, packet{from: by, to: from, message: m, hash: packetSum(by, from, m)})
}

// group returns the group that a daemon knows.
func (d *daemon) group() (g message.Group) {
	if d.isUp && d.partition.Replica != nil {
		g = d.partition.Replica.Group()
	}
	return g
}
