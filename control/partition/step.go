package partition

import (
	"time"

	"mulleinmast/wire/message"
)

// Step takes a message.
//
// Example: out := p.Step(now, m)
func (p *Partition) Step(now time.Duration, m message.Message) (out Out) {
	p.handleMessage(now, m, &out)
	p.finish(now, &out)
	return out
}

// Saved tells that a save is on disk.
//
// Example: out := p.Saved(now, ticket)
func (p *Partition) Saved(now time.Duration, ticket uint64) (out Out) {
	p.handleReplicaOut(now, p.Replica.Saved(ticket), &out)
	p.finish(now, &out)
	return out
}

// Tick lets time pass.
//
// Example: out := p.Tick(now)
func (p *Partition) Tick(now time.Duration) (out Out) {
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Tick(now), &out)
	}
	p.handleNodeOut(now, p.Node.Tick(now), &out)
	p.finish(now, &out)
	return out
}

// Bootstrap makes the first group.
//
// Example: out := p.Bootstrap(now, group)
func (p *Partition) Bootstrap(now time.Duration, group message.Group) (out Out) {
	p.handleReplicaOut(now, p.Replica.Bootstrap(now, group), &out)
	p.finish(now, &out)
	return out
}

// SetLearners names the control daemons that a leader keeps up with a copy.
//
// Example: out := p.SetLearners(now, learners)
func (p *Partition) SetLearners(now time.Duration, learners []message.Replica) (out Out) {
	p.handleReplicaOut(now, p.Replica.SetLearners(now, learners), &out)
	p.finish(now, &out)
	return out
}

// ReplaceReplica begins to put a learner in a replica's place, if this daemon is the
// leader and may write.
//
// Example: out := p.ReplaceReplica(now, "c", learner)
func (p *Partition) ReplaceReplica(now time.Duration, leaving string, joining message.Replica) (out Out) {
	if p.mayWrite(now) {
		replicaOut, _ := p.Replica.ReplaceReplica(now, 0, leaving, joining)
		p.handleReplicaOut(now, replicaOut, &out)
		p.finish(now, &out)
	}
	return out
}

// ContinueChange goes on with a change of the group, if this daemon is the leader and
// may write.
//
// Example: out := p.ContinueChange(now)
func (p *Partition) ContinueChange(now time.Duration) (out Out) {
	if p.mayWrite(now) {
		p.handleReplicaOut(now, p.Replica.ContinueChange(now, 0), &out)
		p.finish(now, &out)
	}
	return out
}

// Supersede takes the vote from this daemon's replica: its identity is another's by
// now.
//
// Example: out := p.Supersede(now, why)
func (p *Partition) Supersede(now time.Duration, why string) (out Out) {
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Supersede(why), &out)
		p.finish(now, &out)
	}
	return out
}

// SetParent sets the node's parent in the lease tree.
//
// Example: out := p.SetParent(now, replica)
func (p *Partition) SetParent(now time.Duration, parent message.Replica) (out Out) {
	p.handleNodeOut(now, p.Node.SetParent(now, parent), &out)
	return out
}

// Pin keeps a record leased here.
//
// Example: out := p.Pin(now, "plan/now")
func (p *Partition) Pin(now time.Duration, key string) (out Out) {
	p.handleNodeOut(now, p.Node.Pin(now, key), &out)
	p.finish(now, &out)
	return out
}

// Unpin ends what Pin began.
//
// Example: p.Unpin("server/of/yesterday")
func (p *Partition) Unpin(key string) { p.Node.Unpin(key) }

// handleMessage gives a message to the replica or to the node of the lease tree.
func (p *Partition) handleMessage(now time.Duration, m message.Message, out *Out) {
	if !isForReplica(m.Kind) {
		p.handleNodeOut(now, p.Node.Step(now, m), out)
		return
	}
	if p.Replica != nil {
		p.handleReplicaOut(now, p.Replica.Step(now, m), out)
	}
}

// isForReplica tells whether a kind of message is one of control/quorum.
func isForReplica(kind message.Kind) bool {
	return kind >= message.KindRequestVote && kind <= message.KindHeartbeatAck || kind == message.KindIncarnation
}

// finish ends a step: starts the jobs whose keys are free, and delivers the messages
// that the partition sends to itself, until there are none.
func (p *Partition) finish(now time.Duration, out *Out) {
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

// takeOwnMessages takes out of what is to be sent the messages to this daemon.
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
