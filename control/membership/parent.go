package membership

import (
	"time"

	"mulleinmast/wire/message"
)

// Time, in volume leases, for which a daemon keeps a parent other than its static parent.
const (
	fallbackLeases = 5  // the leader, after the previous parent could not serve this daemon
	redirectLeases = 40 // the target of a redirect
)

// ParentChooser chooses a daemon's parent for one partition: the target of a redirect, the
// leader while the relay cannot serve, otherwise the static parent.
type ParentChooser struct {
	Partition   int
	VolumeLease time.Duration // duration of a volume lease, see lease.Config

	redirect      message.Replica // zero: none
	redirectUntil time.Duration
	fallbackUntil time.Duration
	hadLease      bool // as of the last call of ReturnRedirects
}

// FallBackToLeader makes the leader the parent for fallbackLeases volume leases.
//
// Example: if out.Orphaned { c.FallBackToLeader(now) }
func (c *ParentChooser) FallBackToLeader(now time.Duration) {
	c.redirect = message.Replica{}
	c.fallbackUntil = now + fallbackLeases*c.VolumeLease
}

// FollowRedirect makes the target of a redirect the parent for redirectLeases volume leases. See
// message.RedirectJoin, RedirectSplit and RedirectReturn for the reasons of redirects.
//
// Example: c.FollowRedirect(now, out.Redirect)
func (c *ParentChooser) FollowRedirect(now time.Duration, to message.Replica) {
	c.redirect, c.redirectUntil = to, now+redirectLeases*c.VolumeLease
	c.fallbackUntil = 0
}

// Parent returns the replica from which this daemon renews its leases at time now. It is zero if
// this daemon is the leader.
//
// Example: p := c.Parent(now, view)
func (c *ParentChooser) Parent(now time.Duration, v *View) message.Replica {
	leader := v.Leaderships[c.Partition].Leader
	switch {
	case leader.Ident == v.Self.Ident:
		return message.Replica{}
	case c.isRedirected(now, v, leader):
		return c.redirect
	case now < c.fallbackUntil:
		return leader
	}
	return v.Parent(c.Partition)
}

// isRedirected reports whether a redirect is still valid. Its target must be the leader or the
// relay of this daemon's zone. Otherwise the daemon would be a child of a relay's child, with
// a lease too short to renew in time.
func (c *ParentChooser) isRedirected(now time.Duration, v *View, leader message.Replica) bool {
	to := c.redirect.Ident
	if to == "" || to == v.Self.Ident || now >= c.redirectUntil {
		return false
	}
	return to == leader.Ident || to == v.Relay(c.Partition, v.Self.Zone).Ident
}

// ReturnRedirects returns the redirects that a relay sends to its zone when its lease becomes valid again.
//
// Example: for _, m := range c.ReturnRedirects(node.HasVolumeLease(now), node.VolumeEpoch(), view) { send(m) }
func (c *ParentChooser) ReturnRedirects(
	hasLease bool, epoch message.VolumeEpoch, v *View,
) (sends []message.Envelope) {
	regained := hasLease && !c.hadLease
	c.hadLease = hasLease
	if !regained || v.Relay(c.Partition, v.Self.Zone).Ident != v.Self.Ident {
		return nil
	}
	redirect := message.Redirect{Parent: v.Self.Replica(), Reason: message.RedirectReturn}
	frame := redirect.Message(c.Partition).WithGrantHeader(message.GrantHeader{VolumeEpoch: epoch})
	leader := v.Leaderships[c.Partition].Leader.Ident
	for m := range v.MembersIn(v.Self.Zone) {
		if m.Ident != v.Self.Ident && m.Ident != leader {
			frame.To = m.Ident
			sends = append(sends, message.Envelope{Addr: m.Addr, Message: frame})
		}
	}
	return sends
}
