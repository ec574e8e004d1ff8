// Package partition implements one partition of the state on one daemon. It combines the
// daemon's node in the lease tree with its replica in the quorum group, if the daemon has a
// disk. A write proceeds in steps: the partition stops granting leases on the records,
// invalidates cached copies down the tree, commits the new records to a majority, resumes
// granting leases and answers the caller. Messages that a partition sends to itself are
// delivered locally.
package partition

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Partition is the state machine of a partition on one daemon. Its methods take the current
// time and return the actions that the caller has to perform. It is not safe for concurrent
// use.
type Partition struct {
	number int // partition number
	self   message.Replica
	epoch  uint64 // this daemon's incarnation

	// Replica is this daemon's replica; nil on a daemon without a disk.
	Replica *quorum.Replica
	// Node is this daemon's node in the lease tree.
	Node *lease.Node
	// WritesFrom returns the time from which a leader may write. It defaults to the
	// replica's method; tests, the model checker and the simulator may replace it.
	WritesFrom func() time.Duration

	queue    []*job            // waiting jobs, in submission order
	busyKeys map[string]bool   // keys of the running jobs
	running  map[uint64]*batch // by the tag of their first job
}

// New combines a replica, which may be nil, with a node of the lease tree.
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

// IsLeader reports whether this daemon is currently the partition's leader.
//
// Example: if !p.IsLeader(now) { forward() }
func (p *Partition) IsLeader(now time.Duration) bool {
	return p.Replica != nil && p.Replica.IsLeader(now)
}

// mayWrite reports whether this daemon is the leader and all leases that earlier leaders
// granted have expired.
func (p *Partition) mayWrite(now time.Duration) bool { return p.IsLeader(now) && now >= p.WritesFrom() }

// read returns the leader's copy of a record. A missing record is returned as deleted.
func (p *Partition) read(key string) message.Record {
	if r, ok := p.Replica.Records().Get(key); ok {
		return r
	}
	return message.Record{Key: key, Deleted: true}
}

// Digests returns the digest of each range of this replica's records.
//
// Example: digest.DifferingRanges(a.Digests(), b.Digests())
func (p *Partition) Digests() []uint64 {
	if p.Replica == nil {
		return make([]uint64, digest.Ranges)
	}
	return p.Replica.Records().Digests()
}
