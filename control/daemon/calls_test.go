package daemon

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/control/membership"
	"mulleinmast/wire/message"
)

// Contact is judged only by the daemon's own lease and clock. Callers are redirected to control
// daemons on the other side of the same network partition, or to all other control daemons if this
// daemon has no session. While no daemon has a leader, callers aren't redirected.
func TestContactNamesOtherDaemonsWhenCutOff(t *testing.T) {
	d := openIsolated(t, withLongLeases)
	grantVolumeLease(d)
	volumeLease, session := d.Cfg.VolumeLease(), d.Cfg.MembershipConfig().SessionTimeout
	control := func(addr string) message.Member { return message.Member{Ident: addr, Addr: addr, HasDisk: true} }
	withSession := &membership.View{HasSession: true, Members: []message.Member{control("a"), control("b")}}
	withoutSession := &membership.View{Members: []message.Member{control("a"), {Ident: "x", Addr: "x"}, control("b")}}
	without := func(addr string, since time.Duration) *membership.View {
		lost := []membership.LostDaemon{{Member: control(addr), LostAt: since}}
		return &membership.View{HasSession: true, Members: []message.Member{control("a")}, Lost: lost}
	}
	start := d.Now()
	for _, c := range []struct { // the cases run in sequence on one clock
		name        string
		wait        time.Duration
		view        *membership.View
		lapsed      bool
		unreachable bool
		others      []string
	}{
		{"in touch", 0, withSession, false, false, nil},
		{"lease just lapsed", volumeLease + time.Second, withSession, true, false, nil},
		{"no daemon has a leader", 2 * d.Cfg.QuorumConfig().LeaderLease, withSession, true, true, nil},
		{"no session", 0, withoutSession, true, true, []string{"a", "b"}},
		{"others unreachable", 0, without("c", start+3*volumeLease), true, true, []string{"c"}},
		{"others unreachable long before", 10 * session, without("c", volumeLease-3*session), true, true, nil},
	} {
		d.clock.Advance(c.wait)
		d.members.view.Store(c.view)
		got := d.Contact(0)
		var others []string
		for _, m := range got.OtherDaemons {
			others = append(others, m.Addr)
		}
		if got.LeaderUnreachable != c.unreachable || (got.LapsedFor > 0) != c.lapsed || !slices.Equal(others, c.others) {
			t.Errorf("%s: %+v; callers are redirected to %v, expected %v", c.name, got, others, c.others)
		}
	}
}
