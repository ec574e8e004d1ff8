package daemon

import (
	"time"

	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// send sends a message. A message to this daemon itself is delivered locally. The caller may hold a
// shard's lock.
func (d *Daemon) send(e message.Envelope) {
	if e.Message.To == d.self.Ident {
		e.Message.From, e.Message.Epoch, e.Message.Addr = d.self.Ident, d.epoch, d.self.Addr
		go d.receive(e.Message)
		return
	}
	// The envelope's address may be outdated, because a replica keeps its identity when its
	// machine gets a new address.
	if member, ok := d.View().Find(e.Message.To); ok && !e.ExactAddr {
		e.Addr = member.Addr
	}
	d.Transport.Send(e)
}

// SendAll sends messages to other daemons.
//
// Example: d.SendAll(reports.Tick(now, me, members))
func (d *Daemon) SendAll(list []message.Envelope) {
	for _, e := range list {
		d.Transport.Send(e)
	}
}

// receive passes a message to the state machine that handles it.
func (d *Daemon) receive(m message.Message) {
	switch {
	case isMembership(m.Kind):
		d.handleMembership(m)
	case m.Kind == message.KindLoadReport:
		if d.OnLoadReport != nil {
			d.OnLoadReport(m)
		}
	case m.Kind == message.KindCallResult:
		d.calls.step(m)
	case m.Partition < 0 || m.Partition >= len(d.shards):
		d.Events.Warn("wire", "message for an unknown partition", "from", m.Addr, "kind", m.Kind,
			"partition", m.Partition, "partitions", len(d.shards))
	default:
		d.step(d.shards[m.Partition], func(c *leader.Controller, now time.Duration) leader.Out { return c.Step(now, m) })
	}
}

// isMembership reports whether messages of a kind go to the session table.
func isMembership(kind message.Kind) bool {
	return kind >= message.KindHello && kind <= message.KindCensusAnswer || kind == message.KindBootstrap
}

// handleMembership passes a message to the session table and executes the result.
func (d *Daemon) handleMembership(m message.Message) {
	d.applyMembership(d.members.step(d.Now, m))
}
