package membership

import (
	"cmp"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// An isolated daemon drops the others from its view within a session timeout, and the seeds
// and groups that it knows may be out of date. Control daemons that disappear from the view
// are therefore kept as lost for lostRetentionTimeouts session timeouts. They are contacted
// periodically, sent as referrals to members with a session here, and returned to callers
// that must retry at another daemon.

const (
	lostRetentionTimeouts   = 100 // session timeouts
	lostGossipRounds        = 4   // gossip rounds between two messages to a lost control daemon
	maxLost                 = 8   // maximum number of lost control daemons that are kept
	partitionWindowTimeouts = 2   // session timeouts within which all daemons cut off by one network partition are lost
)

// LostDaemon is a control daemon that disappeared from the view, and the time of its disappearance.
type LostDaemon struct {
	message.Member
	LostAt time.Duration // on the clock of the daemon whose view it is
}

// recordLost records the control daemons that a new view lacks. Daemons that are in the view again
// are no longer lost.
func (t *Table) recordLost(next []message.Member) {
	present := map[string]bool{t.self.Addr: true}
	for _, m := range next {
		present[m.Addr] = true
		delete(t.lost, m.Addr)
	}
	for _, m := range t.view.members {
		if m.HasDisk && !present[m.Addr] {
			t.lost[m.Addr] = LostDaemon{m, t.now}
		}
	}
}

// pruneLost removes lost control daemons after the retention time, and the oldest ones beyond maxLost.
func (t *Table) pruneLost() {
	for i, l := range t.lostByTime() {
		if i >= maxLost || t.now-l.LostAt > lostRetentionTimeouts*t.cfg.SessionTimeout {
			delete(t.lost, l.Addr)
		}
	}
}

// lostByTime returns the lost control daemons, latest first.
func (t *Table) lostByTime() []LostDaemon {
	if len(t.lost) == 0 {
		return nil
	}
	list := make([]LostDaemon, 0, len(t.lost))
	for _, l := range t.lost {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b LostDaemon) int {
		return cmp.Or(cmp.Compare(b.LostAt, a.LostAt), cmp.Compare(a.Addr, b.Addr))
	})
	return list
}

// unlistedLostAddrs returns the addresses of lost control daemons that controlAddrs does not include.
func (t *Table) unlistedLostAddrs() (addrs []string) {
	known := t.controlAddrs()
	for _, l := range t.lostByTime() {
		if !slices.Contains(known, l.Addr) {
			addrs = append(addrs, l.Addr)
		}
	}
	return addrs
}

// isIsolated reports whether this control daemon hears from too few others to form a majority
// of any group.
func (t *Table) isIsolated(now time.Duration) bool {
	return len(t.lost) > 0 && t.reachableControls(now) <= t.cfg.ToleratedLosses
}

// PartitionedFrom returns the control daemons that were lost together most recently, which are
// probably on the other side of one network partition.
//
// Example: for _, l := range view.PartitionedFrom() { retryAt(l.Addr) }
func (v *View) PartitionedFrom() []LostDaemon {
	n := 0
	for n < len(v.Lost) && v.Lost[n].LostAt >= v.Lost[0].LostAt-v.partitionWindow {
		n++
	}
	return v.Lost[:n]
}

// sendLostReferral refers a daemon, which may know no other control daemon, to those lost most recently.
func (t *Table) sendLostReferral(to message.Member, out *Out) {
	referral := message.Welcome{Form: message.WelcomeReferral}
	for _, l := range t.View().PartitionedFrom() {
		referral.Members = append(referral.Members, l.Member)
	}
	out.send(to.Addr, referral.Message())
}
