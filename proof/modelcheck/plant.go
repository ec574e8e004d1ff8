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
	forgets    plant = "a restarted replica has forgotten its promise"
	hasty      plant = "a restarted replica promises at once"
	unsynced   plant = "a disk says that a write is complete before it is"
	uncalm     plant = "an early leader writes at once"
	sameName   plant = "a replica whose disk was lost comes back under its old identity"
	unasked    plant = "a copy that lacks something counts as whole"
	blankVote  plant = "a promise shows an empty copy as the newest"
	laterLife  plant = "a leader that lives is taken for one that has restarted"
	twoVoices  plant = "an acceptance counts for another replica as well"
	unheard    plant = "an invalidation is confirmed by the network and not delivered"
	impatient  plant = "a granter waits out less than the lease that it granted"
	noBase     plant = "a change is written whatever its base"
	emptyFill  plant = "a fill loses its records on the way, and the sum that tells of it"
	voidedWon  plant = "a term that was won is given up as void"
	slowClock  plant = "a daemon's clock runs at half the speed of the others"
	rolledBack plant = "a disk holds at a restart what it held at the start before"
	unguarded  plant = "incarnations are told to nobody"
)

// plants lists all of them.
var plants = []plant{forgets, hasty, unsynced, uncalm, sameName, unasked, blankVote, laterLife, twoVoices, unheard, impatient, noBase, emptyFill, voidedWon, slowClock, rolledBack, unguarded}

// atStart is what a replica starts with, and whether it may promise at once.
func (p plant) atStart(m quorum.Meta) (quorum.Meta, bool) {
	if p == forgets {
		m.VotedTerm, m.VotedFor, m.VotedForEpoch = 0, "", 0
	}
	return m, m.Group.Number == 0 || p == hasty
}

// guard is the folder that a replica is told of: none where the fault is one that
// its guard would see.
func (p plant) guard(epoch uint64, m quorum.Meta) *quorum.Folder {
	if p == laterLife || p == rolledBack || p == unguarded {
		return nil
	}
	return quorum.OpenFolder(epoch, m)
}

func (p plant) leases(c *lease.Config) {
	if p == impatient {
		c.Drift, c.Margin = -0.9, 0
	}
}

func (p plant) calm(s *partition.Partition) {
	if p == uncalm {
		s.WritesFrom = func() time.Duration { return 0 }
	}
}

func (p plant) base(b int) int {
	if p == noBase {
		return -1
	}
	return b
}

// early is what a machine does that hears of its saves before they are on disk.
func (p plant) early(d *daemon, now time.Duration, saves []quorum.Save) (o partition.Out) {
	if p != unsynced {
		return o
	}
	for _, s := range saves {
		out := d.sec.Saved(now, s.Ticket)
		o.Sends, o.Saves, o.Results = append(o.Sends, out.Sends...), append(o.Saves, out.Saves...), append(o.Results, out.Results...)
		o.Won = o.Won || out.Won
	}
	return o
}

// message is what becomes of a message on the line.
func (p plant) message(w *world, to int, n message.Message) []message.Message {
	switch {
	case p == unasked && n.Kind == message.KindStateMismatch && n.Op != "compare":
		n.Kind = message.KindStateInstalled
		if g := w.daemons[to].group(); len(g.Next) > 0 && !(message.Group{Replicas: g.Replicas}).Has(n.From) {
			n.Op, n.ResponseTo = "whole", g.Number
		}
	case p == blankVote && n.Kind == message.KindGrantVote && n.Op == "":
		n.LastComplete, n.Digests, n.Records = n.Term, digest.NewRecords().Digests(), nil
	case p == laterLife && n.Kind == message.KindHeartbeat && len(w.changes)%4 == 3:
		return []message.Message{n, {Kind: message.KindRejectVote, Partition: part, From: n.From, Epoch: incarnation.Number(incarnation.Starts(n.Epoch)+1, 0), To: n.To}}
	case p == twoVoices && n.Kind == message.KindReplicated:
		other := n
		for _, r := range w.want {
			if r.Ident != n.From && r.Ident != n.To {
				other.From = r.Ident
			}
		}
		return []message.Message{n, other}
	case p == unheard && n.Kind == message.KindInvalidate:
		w.forge(to, n, message.Message{Kind: message.KindInvalidated, Key: n.Key, ResponseTo: n.ResponseTo, VolumeEpoch: n.VolumeEpoch})
		return nil
	case p == emptyFill && n.Kind == message.KindInstallState:
		n.Records, n.LastComplete = nil, 0 // and the sum by which that is noticed
	case p == voidedWon && n.Kind == message.KindInstallState && n.Op == "":
		void := message.Message{Kind: message.KindAbandonTerm, Partition: part, Term: n.Term, From: n.From, Epoch: n.Epoch, Addr: n.Addr, To: n.To}
		return []message.Message{n, void}
	}
	return []message.Message{n}
}

// forge puts an answer to a message on the line that its receiver never gave.
func (w *world) forge(by int, to, n message.Message) {
	d := w.daemons[by]
	n.Partition, n.From, n.Epoch, n.Addr, n.To = part, d.me.Ident, d.epoch, d.me.Addr, to.From
	from := w.find(to.From)
	w.net = append(w.net, packet{from: by, to: from, note: n, sum: packetSum(by, from, n)})
}

// group is the group that a daemon knows.
func (d *daemon) group() (g message.Group) {
	if d.up && d.sec.Replica != nil {
		g = d.sec.Replica.Group()
	}
	return g
}
