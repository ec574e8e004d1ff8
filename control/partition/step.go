package partition

import (
	"time"

	"mulleinmast/wire/message"
)

// Step handles a message.
//
// Example: out := p.Step(now, m)
func (p *Partition) Step(now time.Duration, m message.Message) (out Out) {
	p.handleMessage(now, m, &out)
	p.finishStep(now, &out)
	return out
}

// Saved notifies the partition that a save is on disk.
//
// Example: out := p.Saved(now, ticket)
func (p *Partition) Saved(now time.Duration, ticket uint64) (out Out) {
	p.handleReplicaOut(now, p.Replica.Saved(ticket), &out)
	p.finishStep(now, &out)
	return out
}

// Tick advances the time: it handles timeouts, renewals and heartbeats that are due.
//
// Example: out := p.Tick(now)
func (p *Partition) Tick(now time.Duration) (out Out) {
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Tick(now), &out)
	}
	p.handleNodeOut(now, p.Node.Tick(now), &out)
	p.finishStep(now, &out)
	return out
}

// Bootstrap forms the first group.
//
// Example: out := p.Bootstrap(now, group)
func (p *Partition) Bootstrap(now time.Duration, group message.Group) (out Out) {
	p.handleReplicaOut(now, p.Replica.Bootstrap(now, group), &out)
	p.finishStep(now, &out)
	return out
}

// SetLearners sets the learners: control daemons without a vote that a leader keeps up to date.
//
// Example: out := p.SetLearners(now, learners)
func (p *Partition) SetLearners(now time.Duration, learners []message.Replica) (out Out) {
	p.handleReplicaOut(now, p.Replica.SetLearners(now, learners), &out)
	p.finishStep(now, &out)
	return out
}

// ReplaceReplica starts the replacement of a replica of the group by a learner, if this daemon is
// the leader and may write.
//
// Example: out := p.ReplaceReplica(now, "c", learner)
func (p *Partition) ReplaceReplica(now time.Duration, leaving string, joining message.Replica) (out Out) {
	if p.mayWrite(now) {
		replicaOut, _ := p.Replica.ReplaceReplica(now, 0, leaving, joining)
		p.handleReplicaOut(now, replicaOut, &out)
		p.finishStep(now, &out)
	}
	return out
}

// ContinueChange continues an unfinished change of the group, if this daemon is the leader
// and may write.
//
// Example: out := p.ContinueChange(now)
func (p *Partition) ContinueChange(now time.Duration) (out Out) {
	if p.mayWrite(now) {
		p.handleReplicaOut(now, p.Replica.ContinueChange(now, 0), &out)
		p.finishStep(now, &out)
	}
	return out
}

// Supersede withdraws the vote of this daemon's replica, because another process or a later
// state has its identity.
//
// Example: out := p.Supersede(now, why)
func (p *Partition) Supersede(now time.Duration, why string) (out Out) {
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Supersede(why), &out)
		p.finishStep(now, &out)
	}
	return out
}

// SetParent sets the parent of the lease tree node.
//
// Example: out := p.SetParent(now, replica)
func (p *Partition) SetParent(now time.Duration, parent message.Replica) (out Out) {
	p.handleNodeOut(now, p.Node.SetParent(now, parent), &out)
	return out
}

// Pin keeps a record leased at this daemon: it is fetched again whenever it is withdrawn.
//
// Example: out := p.Pin(now, "plan/now")
func (p *Partition) Pin(now time.Duration, key string) (out Out) {
	p.handleNodeOut(now, p.Node.Pin(now, key), &out)
	p.finishStep(now, &out)
	return out
}

// Unpin reverts Pin: the record is not fetched again after it is withdrawn.
//
// Example: p.Unpin("server/of/yesterday")
func (p *Partition) Unpin(key string) { p.Node.Unpin(key) }

// handleMessage dispatches a message to the replica or to the lease tree node.
func (p *Partition) handleMessage(now time.Duration, m message.Message, out *Out) {
	if !isForReplica(m.Kind) {
		p.handleNodeOut(now, p.Node.Step(now, m), out)
		return
	}
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Step(now, m), out)
	}
}

// isForReplica reports whether a kind of message belongs to control/quorum.
func isForReplica(kind message.Kind) bool {
	return kind >= message.KindRequestVote && kind <= message.KindHeartbeatAck || kind == message.KindIncarnation
}

// finishStep completes a step. It starts the jobs whose keys are free and delivers the messages
// that the partition sends to itself. It repeats both until no such message is left.
func (p *Partition) finishStep(now time.Duration, out *Out) {
	for {
		p.startJobs(now, out)
		own := p.takeOwnMessages(out)
		if len(own) == 0 {
			return
		}
		for _, m := range own {
			p.handleMessage(now, m, out)
		}
	}
}

// takeOwnMessages removes the messages to this daemon from those to send and returns them.
func (p *Partition) takeOwnMessages(out *Out) (own []message.Message) {
	others := out.Sends[:0]
	for _, e := range out.Sends {
		e.Message.From, e.Message.Epoch, e.Message.Addr = p.self.Ident, p.epoch, p.self.Addr
		if e.Message.To == p.self.Ident {
			own = append(own, e.Message)
		} else {
			others = append(others, e)
		}
	}
	out.Sends = others
	return own
}
