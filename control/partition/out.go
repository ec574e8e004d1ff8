package partition

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Out is what a step asks for.
type Out struct {
	Sends   []message.Envelope
	Saves   []quorum.Save // to be synced; Saved is called with the ticket of each
	Results []Result      // of jobs

	// Readable are the keys of records that may be read here from now on, Withdrawn
	// those that may no more.
	Readable, Withdrawn []string

	Won      bool            // this daemon became the leader
	Lost     bool            // this daemon is no longer the leader
	Orphaned bool            // the node needs another parent
	Redirect message.Replica // the parent that the node's parent names instead; the zero value: none

	// Superseded says why this daemon's replica has no vote any more, if it lost it.
	Superseded string
}

// addNodeOut takes over what a step of the lease tree's node asks of others.
func (o *Out) addNodeOut(node lease.Out) {
	o.Sends = append(o.Sends, node.Sends...)
	o.Readable = append(o.Readable, node.Readable...)
	o.Withdrawn = append(o.Withdrawn, node.Withdrawn...)
	o.Orphaned = o.Orphaned || node.Orphaned
	if node.Redirect.Ident != "" {
		o.Redirect = node.Redirect
	}
}

// addReplicaOut takes over what a step of the replica asks of others.
func (o *Out) addReplicaOut(replica quorum.Out) {
	o.Sends = append(o.Sends, replica.Sends...)
	o.Saves = append(o.Saves, replica.Saves...)
	if replica.Superseded != "" {
		o.Superseded = replica.Superseded
	}
}

// handleNodeOut goes on with the writes whose invalidations are complete.
func (p *Partition) handleNodeOut(now time.Duration, node lease.Out, out *Out) {
	out.addNodeOut(node)
	for _, tag := range node.Invalidated {
		p.handleRecordInvalidated(now, tag, out)
	}
}

// handleReplicaOut goes on with the writes that ended, and with the leadership.
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

// handleLeadershipLost ends all jobs: those that wait were not done, and of those that
// run nothing is committed. (The replica has given the results of those that it was
// committing.)
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
