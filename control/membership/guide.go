package membership

import (
	"time"

	"mulleinmast/wire/message"
)

// ParentChooser chooses a daemon's parent for one partition: where it was steered, the
// leader while the relay can't serve, else the static parent.
type ParentChooser struct {
	Partition int
	Vol       time.Duration

	steer     message.Replica
	steerTill time.Duration
	fallTill  time.Duration
	live      bool
}

// Orphaned makes the guide fall back to the leader for a while.
//
// Example: if out.Orphan { g.Orphaned(now) }
func (g *ParentChooser) Orphaned(now time.Duration) {
	g.fallTill, g.steer = now+5*g.Vol, message.Replica{}
}

// Steered follows a hint: join, split, or return to a relay that is back.
//
// Example: g.Steered(now, out.Steer)
func (g *ParentChooser) Steered(now time.Duration, to message.Replica) {
	g.steer, g.steerTill, g.fallTill = to, now+40*g.Vol, 0
}

// Parent is the replica to renew at now; none for the leader itself.
//
// Example: p := g.Parent(now, view)
func (g *ParentChooser) Parent(now time.Duration, v *View) message.Replica {
	own := v.Leaderships[g.Partition].Leader
	if own.Ident == v.Me.Ident {
		return message.Replica{}
	}
	// A steer leads to the leader or to our zone's relay. When the view says that
	// its target is neither any more, it would have us hang below a relay's
	// child, with a lease too short to renew in time.
	if to := g.steer.Ident; to != "" && to != v.Me.Ident && now < g.steerTill && (to == own.Ident || to == v.Relay(g.Partition, v.Me.Zone).Ident) {
		return g.steer
	}
	if now < g.fallTill {
		return own
	}
	return v.Parent(g.Partition)
}

// Hints are the return hints a relay sends when its lease is valid again.
//
// Example: for _, m := range g.Hints(node.Live(now), node.VolumeEpoch(), view) { send(m) }
func (g *ParentChooser) Hints(live bool, mark message.VolumeEpoch, v *View) (out []message.Envelope) {
	me := message.Replica{Ident: v.Me.Ident, Addr: v.Me.Addr}
	if live && !g.live && v.Relay(g.Partition, v.Me.Zone).Ident == me.Ident {
		for m := range v.In(v.Me.Zone) {
			if m.Ident != me.Ident && m.Ident != v.Leaderships[g.Partition].Leader.Ident {
				out = append(out, message.Envelope{Addr: m.Addr, Message: message.Message{Kind: message.KindRedirect, Partition: g.Partition, To: m.Ident, VolumeEpoch: mark, Hint: me, Reason: "return"}})
			}
		}
	}
	g.live = live
	return out
}
