package membership

import (
	"cmp"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A daemon that is isolated loses the others from its view within a session, and
// the seeds and the groups that it knows may be of long ago. So control daemons
// that were in the view are remembered for a while: they are called now and
// then, named to who has its session here, and named to callers who are to go on.

const (
	rememberLostFor  = 100 // sessions
	lostCallInterval = 4   // gossips between two to a control daemon that is lost
	maxLost          = 8   // that are remembered
	lostTogether     = 2   // sessions within which those are lost that one cut takes away
)

// LostDaemon is a control daemon that the view had, and when it went.
type LostDaemon struct {
	message.Member
	LostAt time.Duration // by the clock of the daemon that lost it
}

// noteLost notes what a new view lacks.
func (t *Table) noteLost(next []message.Member) {
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

// forgetLost drops what was lost long ago, and the longest lost beyond a number.
func (t *Table) forgetLost() {
	for i, l := range t.lostByTime() {
		if i >= maxLost || t.now-l.LostAt > rememberLostFor*t.cfg.SessionTimeout {
			delete(t.lost, l.Addr)
		}
	}
}

// lostByTime lists the lost, the last ones first.
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

// unnamedLostAddrs lists the addresses of the lost that nothing else names.
func (t *Table) unnamedLostAddrs() (addrs []string) {
	known := t.controlAddrs()
	for _, l := range t.lostByTime() {
		if !slices.Contains(known, l.Addr) {
			addrs = append(addrs, l.Addr)
		}
	}
	return addrs
}

// isIsolated tells whether this control daemon hears of too few others for any
// group's majority.
func (t *Table) isIsolated(now time.Duration) bool {
	return len(t.lost) > 0 && t.controlsHeard(now) <= t.cfg.ToleratedLosses
}

// PartitionedFrom lists the control daemons that were lost last, together.
//
// Example: for _, l := range view.PartitionedFrom() { sendOnTo(l.Addr) }
func (v *View) PartitionedFrom() []LostDaemon {
	n := 0
	for n < len(v.Lost) && v.Lost[n].LostAt >= v.Lost[0].LostAt-v.lostTogether {
		n++
	}
	return v.Lost[:n]
}

// referToLost names the lost to a daemon that may know nobody else.
func (t *Table) referToLost(to message.Member, out *Out) {
	referral := message.Welcome{Form: message.WelcomeReferral}
	for _, l := range t.View().PartitionedFrom() {
		referral.Members = append(referral.Members, l.Member)
	}
	out.send(to.Addr, referral.Message())
}
