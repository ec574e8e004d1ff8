package partition

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Out holds the actions that a step requests from the caller.
type Out struct {
	Sends   []message.Envelope
	Saves   []quorum.Save // to be synced to disk; the caller then calls Saved with each ticket
	Results []Result      // of completed jobs

	// Readable are the keys of the records that became readable here in this step.
	// Withdrawn are the keys of the records that may no longer be read here.
	Readable, Withdrawn []string

	Won      bool            // this daemon became the leader
	Lost     bool            // this daemon is no longer the leader
	Orphaned bool            // the node needs another parent
	Redirect message.Replica // the new parent to which the current parent refers the node; zero: none

	// Superseded is the reason why this daemon's replica lost its vote, or empty.
	Superseded string
}

// addNodeOut adds the part of a lease tree node's output that the caller of the partition handles.
func (o *Out) addNodeOut(node lease.Out) {
	o.Sends = append(o.Sends, node.Sends...)
	o.Readable = append(o.Readable, node.Readable...)
	o.Withdrawn = append(o.Withdrawn, node.Withdrawn...)
	o.Orphaned = o.Orphaned || node.Orphaned
	if node.Redirect.Ident != "" {
		o.Redirect = node.Redirect
	}
}

// addReplicaOut adds the part of a replica's output that the caller of the partition handles.
func (o *Out) addReplicaOut(replica quorum.Out) {
	o.Sends = append(o.Sends, replica.Sends...)
	o.Saves = append(o.Saves, replica.Saves...)
	if replica.Superseded != "" {
		o.Superseded = replica.Superseded
	}
}

// handleNodeOut handles the output of the lease tree node and continues the batches whose records
// have been invalidated.
func (p *Partition) handleNodeOut(now time.Duration, node lease.Out, out *Out) {
	out.addNodeOut(node)
	for _, tag := range node.Invalidated {
		p.handleRecordInvalidated(now, tag, out)
	}
}

// handleReplicaOut handles the output of the replica, including completed writes and changes of
// the leadership.
func (p *Partition) handleReplicaOut(now time.Duration, replica quorum.Out, out *Out) {
	out.addReplicaOut(replica)
	for _, result := range replica.Results {
		p.handleWriteResult(now, result, out)
	}
	if replica.Lost {
		p.handleLeadershipLost(out)
	}
	if replica.Won {
		out.Won = true
		p.Node.BecomeRoot(p.Replica.Term(), p.read, p.Replica.LeaseEnd)
	}
}

// handleLeadershipLost ends all jobs with NotLeader: the queued ones never ran, and the
// running ones committed nothing. (The replica has already reported the results of the
// writes that it was committing.)
func (p *Partition) handleLeadershipLost(out *Out) {
	out.Lost = true
	p.Node.ResignRoot()
	for _, j := range p.queue {
		out.Results = append(out.Results, Result{Tag: j.tag, Outcome: NotLeader})
	}
	for _, tag := range slices.Sorted(maps.Keys(p.running)) {
		out.Results = append(out.Results, p.running[tag].results(NotLeader)...)
	}
	p.queue, p.busyKeys, p.running = nil, map[string]bool{}, map[uint64]*batch{}
}
