package membership

import (
	"time"

	"mulleinmast/wire/message"
)

// Guide chooses a daemon's parent for one partition: where it was steered, the
// leader while the relay can't serve, else the static parent.
type Guide struct {
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
func (g *Guide) Orphaned(now time.Duration) {
	g.fallTill, g.steer = now+5*g.Vol, message.Replica{}
}

// Steered follows a hint: join, split, or return to a relay that is back.
//
// Example: g.Steered(now, out.Steer)
func (g *Guide) Steered(now time.Duration, to message.Replica) {
	g.steer, g.steerTill, g.fallTill = to, now+40*g.Vol, 0
}

// Parent is the replica to renew at now; none for the leader itself.
//
// Example: p := g.Parent(now, view)
func (g *Guide) Parent(now time.Duration, v *View) message.Replica {
	own := v.Owns[g.Partition].Replica
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
// Example: for _, m := range g.Hints(node.Live(now), node.Mark(), view) { send(m) }
func (g *Guide) Hints(live bool, mark message.Mark, v *View) (out []message.Send) {
	me := message.Replica{Ident: v.Me.Ident, Addr: v.Me.Addr}
	if live && !g.live && v.Relay(g.Partition, v.Me.Zone).Ident == me.Ident {
		for m := range v.In(v.Me.Zone) {
			if m.Ident != me.Ident && m.Ident != v.Owns[g.Partition].Replica.Ident {
				out = append(out, message.Send{Addr: m.Addr, Message: message.Message{Kind: message.Steer, Partition: g.Partition, To: m.Ident, Mark: mark, Hint: me, Why: "return"}})
			}
		}
	}
	g.live = live
	return out
}
