package daemon

import (
	"testing"
	"time"

	"mulleinmast/control/membership"
	"mulleinmast/wire/message"
)

// Whether a daemon is cut off goes by its own lease and clock. Callers are sent
// to control daemons that the same cut took away, or that a daemon without a
// session can't reach; while nobody has a leader they are sent nowhere.
func TestWhereACutOffDaemonSendsCallers(t *testing.T) {
	c := alone(t, steady)
	cfg := c.Cfg
	leased(c)

	disk := func(addr string) message.Member { return message.Member{Ident: addr, Addr: addr, HasDisk: true} }
	session := cfg.MembershipConfig().SessionTimeout
	for _, x := range []struct {
		what string
		wait time.Duration
		view *membership.View
		away bool
		to   []string
	}{
		{"in touch", 0, &membership.View{HasSession: true, Members: []message.Member{disk("a"), disk("b")}}, false, nil},
		{"lapsed just now", cfg.VolumeLease() + time.Second, &membership.View{HasSession: true, Members: []message.Member{disk("a"), disk("b")}}, false, nil},
		{"nobody has a leader", 2 * cfg.QuorumConfig().LeaderLease, &membership.View{HasSession: true, Members: []message.Member{disk("a"), disk("b")}}, true, nil},
		{"no session", 0, &membership.View{Members: []message.Member{disk("a"), {Ident: "x", Addr: "x"}, disk("b")}}, true, []string{"a", "b"}},
		{"others are lost", 0, &membership.View{HasSession: true, Members: []message.Member{disk("a")}, Lost: []membership.LostDaemon{{Member: disk("c"), LostAt: c.Now() + 3*cfg.VolumeLease()}}}, true, []string{"c"}},
		{"lost long before", 10 * session, &membership.View{HasSession: true, Members: []message.Member{disk("a")}, Lost: []membership.LostDaemon{{Member: disk("c"), LostAt: cfg.VolumeLease() - 3*session}}}, true, nil},
	} {
		c.clock.Advance(x.wait)
		c.members.view.Store(x.view)
		got := c.Contact(0)
		var to []string
		for _, m := range got.OtherDaemons {
			to = append(to, m.Addr)
		}
		if got.LeaderUnreachable != x.away || (got.LapsedFor > 0) != (x.what != "in touch") || len(to) != len(x.to) || len(to) > 0 && (to[0] != x.to[0] || to[len(to)-1] != x.to[len(to)-1]) {
			t.Errorf("%s: %+v; sent to %v, expected %v", x.what, got, to, x.to)
		}
	}
}
