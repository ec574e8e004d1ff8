package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// Step handles a message from a parent or a child; other kinds are ignored.
//
// Example: out := n.Step(now, m)
func (n *Node) Step(now time.Duration, m message.Message) (out Out) {
	sender, header := m.Sender(), m.GrantHeader()
	switch m.Kind {
	// from children
	case message.KindRenewLease:
		n.handleRenewLease(now, sender, m.AsLeaseRenewal(), &out)
	case message.KindLeaseList:
		n.handleLeaseList(now, sender, m.AsLeaseList(), &out)
	case message.KindReconnectDone:
		n.handleReconnectDone(sender, m.AsReconnectDone())
	case message.KindInvalidated:
		n.handleInvalidationAck(now, sender, m.AsInvalidationAck(), &out)
	// from the current parent or an earlier one
	case message.KindInvalidate:
		n.handleInvalidate(now, sender, header, m.AsInvalidation(), &out)
	case message.KindRedirect:
		n.handleRedirect(now, sender, header, m.AsRedirect(), &out)
	// from the current parent only
	case message.KindGrantLease:
		if n.acceptFromParent(now, sender, header) {
			n.handleGrantLease(now, header, m.AsLeaseGrant(), &out)
		}
	case message.KindReconnect:
		if n.acceptFromParent(now, sender, header) {
			n.handleReconnect(now, header, &out)
		}
	case message.KindReconciled:
		if n.acceptFromParent(now, sender, header) {
			n.handleReconciled(now, header, m.AsReconciliation(), &out)
		}
	case message.KindDenyLease:
		if n.acceptFromParent(now, sender, header) {
			out.Orphaned = true
		}
	}
	return out
}

// Tick does the time-based work: renewals, resends, and the expiry of leases and children.
//
// Example: out := n.Tick(now)
func (n *Node) Tick(now time.Duration) (out Out) {
	n.noteTick(now)
	n.resendInvalidations(now, &out)
	n.checkChildren(now, &out)
	n.reshape(now, &out)
	if n.root.active || n.upstream.parent.Ident == "" {
		return out
	}
	n.checkRecords(now, &out)
	n.renewOnSchedule(now, &out)
	if n.upstream.isParentSilent(now, n.cfg.VolumeLease) {
		n.upstream.lastAnswer = now
		out.Orphaned = true
	}
	return out
}
