// Package partition is one partition of the state on one daemon: its place in the
// lease tree, its replica in the group if the daemon has a disk, and the writes
// that join the two. A write goes: stop granting, invalidate down the tree, commit to a
// majority, grant again and answer. Messages a partition sends to itself never
// leave it.
package partition

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Partition is the state machine of a partition on one daemon. Its methods take the
// time of the step and return what the step asks for; they are not for several
// goroutines at once.
type Partition struct {
	number int // of the partition
	self   message.Replica
	epoch  uint64 // this daemon's incarnation

	// Replica is this daemon's replica; nil on a daemon without a disk.
	Replica *quorum.Replica
	// Node is this daemon's place in the lease tree.
	Node *lease.Node
	// WritesFrom is when a leader may begin to write: the replica's unless a proof says
	// otherwise.
	WritesFrom func() time.Duration

	queue    []*job            // jobs that wait for their turn, in the order that they came
	busyKeys map[string]bool   // the keys of the jobs that run
	running  map[uint64]*batch // by the tag of the first job
}

// New joins a replica (or nil) and a node of the lease tree.
//
// Example: p := partition.New(0, self, epoch, replica, node)
func New(number int, self message.Replica, epoch uint64, replica *quorum.Replica, node *lease.Node) *Partition {
	p := &Partition{
		number: number, self: self, epoch: epoch, Replica: replica, Node: node,
		busyKeys: map[string]bool{}, running: map[uint64]*batch{},
	}
	if replica != nil {
		p.WritesFrom = replica.WritesFrom
	}
	return p
}

// IsLeader tells whether this daemon is the partition's leader now.
//
// Example: if !p.IsLeader(now) { passOn() }
func (p *Partition) IsLeader(now time.Duration) bool {
	return p.Replica != nil && p.Replica.IsLeader(now)
}

// mayWrite tells whether this daemon is the leader and leases that a leader before it
// granted have lapsed.
func (p *Partition) mayWrite(now time.Duration) bool { return p.IsLeader(now) && now >= p.WritesFrom() }

// read is a record as the leader has it; one that isn't there counts as deleted.
func (p *Partition) read(key string) message.Record {
	if r, ok := p.Replica.Records().Get(key); ok {
		return r
	}
	return message.Record{Key: key, Deleted: true}
}

// Digests is the digest of every range of this replica's records.
//
// Example: digest.DifferingRanges(a.Digests(), b.Digests())
func (p *Partition) Digests() []uint64 {
	if p.Replica == nil {
		return make([]uint64, digest.Ranges)
	}
	return p.Replica.Records().Digests()
}
