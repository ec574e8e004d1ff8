package membership

import (
	"time"

	"mulleinmast/wire/message"
)

// ParentChooser chooses a daemon's parent for one partition: where it was steered, the
// leader while the relay can't serve, else the static parent.
type ParentChooser struct {
	Partition   int
	VolumeLease time.Duration

	steer     message.Replica
	steerTill time.Duration
	fallTill  time.Duration
	live      bool
}

// FallBackToLeader makes the guide fall back to the leader for a while.
//
// Example: if out.Orphaned { g.FallBackToLeader(now) }
func (g *ParentChooser) FallBackToLeader(now time.Duration) {
	g.fallTill, g.steer = now+5*g.VolumeLease, message.Replica{}
}

// FollowRedirect follows a hint: join, split, or return to a relay that is back.
//
// Example: g.FollowRedirect(now, out.Redirect)
func (g *ParentChooser) FollowRedirect(now time.Duration, to message.Replica) {
	g.steer, g.steerTill, g.fallTill = to, now+40*g.VolumeLease, 0
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

// ReturnRedirects are the return hints a relay sends when its lease is valid again.
//
// Example: for _, m := range g.ReturnRedirects(node.Live(now), node.VolumeEpoch(), view) { send(m) }
func (g *ParentChooser) ReturnRedirects(live bool, mark message.VolumeEpoch, v *View) (out []message.Envelope) {
	me := message.Replica{Ident: v.Me.Ident, Addr: v.Me.Addr}
	if live && !g.live && v.Relay(g.Partition, v.Me.Zone).Ident == me.Ident {
		for m := range v.MembersIn(v.Me.Zone) {
			if m.Ident != me.Ident && m.Ident != v.Leaderships[g.Partition].Leader.Ident {
				out = append(out, message.Envelope{Addr: m.Addr, Message: message.Message{Kind: message.KindRedirect, Partition: g.Partition, To: m.Ident, VolumeEpoch: mark, Hint: me, Reason: "return"}})
			}
		}
	}
	g.live = live
	return out
}
