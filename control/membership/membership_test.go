package membership

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var cfg = Config{SessionTimeout: 1200 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, MinRelayMembers: 3}

func diskMember(id, addr string) message.Member {
	return message.Member{Ident: id, Epoch: 1, Addr: addr, HasDisk: true}
}

// After a daemon restarts with a new identity, only the new identity is in the view, both at the
// control daemon with the session and at a control daemon that learns of the session by gossip.
func TestEarlierIncarnationIsRemoved(t *testing.T) {
	for try := 0; try < 20; try++ {
		a, b := New(cfg, diskMember("a", "10.0.0.1:1"), nil), New(cfg, diskMember("b", "10.0.0.2:1"), nil)
		a.AddControlAddrs("10.0.0.2:1")
		for i, id := range []string{"old", "new"} {
			hello := message.Hello{Self: message.Member{Ident: id, Epoch: 1, Addr: "10.0.0.9:1"}}
			a.Step(time.Duration(i)*100*time.Millisecond, hello.Message())
		}
		for _, m := range a.Tick(time.Second, diskMember("a", "10.0.0.1:1"), nil).Sends {
			if m.Message.Kind == message.KindGossip {
				b.Step(time.Second, m.Message)
			}
		}
		for name, table := range map[string]*Table{"a": a, "b": b} {
			if _, ok := table.View().Find("new"); !ok {
				t.Fatalf("%s does not know the new incarnation", name)
			}
			if _, ok := table.View().Find("old"); ok {
				t.Fatalf("%s still knows the old incarnation", name)
			}
		}
	}
}

// Gossip acknowledges the digest of the receiver's latest incarnation, even if gossip from an
// earlier incarnation is still stored.
func TestGossipAcknowledgesLatestIncarnation(t *testing.T) {
	for range 20 {
		a := New(cfg, diskMember("a", "10.0.0.1:1"), nil)
		for i, id := range []string{"old", "new"} {
			gossip := message.Gossip{Self: diskMember(id, "10.0.0.2:1"), Digest: uint64(i + 5)}
			a.Step(time.Duration(i)*100*time.Millisecond, gossip.Message())
		}
		for _, m := range a.Tick(time.Second, diskMember("a", "10.0.0.1:1"), nil).Sends {
			if m.Message.Kind == message.KindGossip && m.Addr == "10.0.0.2:1" && m.Message.ResponseTo != 6 {
				t.Fatalf("acknowledged digest %d, expected 6", m.Message.ResponseTo)
			}
		}
	}
}

// A seed without a disk holds no sessions and refers daemons to control daemons.
func TestDisklessSeedRefersToControlDaemons(t *testing.T) {
	seed := New(cfg, message.Member{Ident: "n", Addr: "10.0.0.5:1"}, []string{"10.0.0.1:1"})
	view := []message.Member{diskMember("a", "10.0.0.1:1"), {Ident: "n", Addr: "10.0.0.5:1"}}
	seed.Step(0, message.Welcome{Members: view}.Message())
	me := message.Member{Ident: "m", Addr: "10.0.0.6:1"}
	client := New(cfg, me, []string{"10.0.0.5:1"})
	for _, m := range seed.Step(0, message.Hello{Self: me}.Message()).Sends {
		client.Step(0, m.Message)
	}
	if client.View().HasSession {
		t.Error("a referral was treated as a session")
	}
	asked := map[string]bool{}
	for now := time.Second; now < 5*time.Second; now += 250 * time.Millisecond {
		for _, m := range client.Tick(now, me, nil).Sends {
			asked[m.Addr] = true
		}
	}
	if !asked["10.0.0.1:1"] {
		t.Errorf("the referred control daemon was not asked, only %v", asked)
	}
}

// A daemon that was redirected to the leader returns to its static parent when the leader changes.
// A daemon that was redirected to a relay returns to its static parent when the relay changes.
func TestRedirectEndsWhenTargetChangesRole(t *testing.T) {
	v := &View{
		Self:         message.Member{Ident: "m", Zone: "c"},
		Leaderships:  map[int]message.Leadership{0: {Term: 4, Leader: message.Replica{Ident: "a", Addr: "a"}}},
		minRelayZone: 2,
		byIdent:      map[string]message.Member{},
	}
	for _, id := range []string{"a", "b", "m", "r"} {
		zone := map[bool]string{true: "c", false: "d"}[id == "m" || id == "r"]
		v.Members = append(v.Members, message.Member{Ident: id, Addr: id, Zone: zone})
		v.byIdent[id] = v.Members[len(v.Members)-1]
	}
	chooser := ParentChooser{VolumeLease: time.Second}
	static := chooser.Parent(0, v)
	chooser.FollowRedirect(time.Second, message.Replica{Ident: "a", Addr: "a"})
	if p := chooser.Parent(2*time.Second, v); p.Ident != "a" {
		t.Fatalf("not redirected: parent %v, static parent %v", p, static)
	}
	v.Leaderships = map[int]message.Leadership{0: {Term: 5, Leader: message.Replica{Ident: "b", Addr: "b"}}}
	if p := chooser.Parent(3*time.Second, v); p.Ident == "a" {
		t.Error("the parent is still the old leader")
	}
	relay := v.Relay(0, "c")
	chooser.FollowRedirect(4*time.Second, relay)
	if p := chooser.Parent(5*time.Second, v); p != relay && relay.Ident != "m" {
		t.Errorf("not redirected to relay %v: parent %v", relay, p)
	}
	other := message.Replica{Ident: map[bool]string{true: "q", false: "r"}[relay.Ident == "r"], Addr: "q"}
	v.byIdent[other.Ident] = message.Member{Ident: other.Ident, Zone: "c"}
	chooser.FollowRedirect(6*time.Second, other)
	if p := chooser.Parent(7*time.Second, v); p == other {
		t.Errorf("redirected to %v, which is not a relay", other)
	}
}

// A control daemon that hears from half of the control daemons or fewer may not know the
// leaders, so its members move to another one.
func TestMemberLeavesIsolatedControlDaemon(t *testing.T) {
	cfg := Config{SessionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, MinRelayMembers: 3}
	seeds := []string{addrOf(1), addrOf(2), addrOf(3)}
	members := append(controlDaemons(3), message.Member{Ident: "m", Epoch: 1, Addr: addrOf(4)})
	f := newSmallFleet(cfg, func(int) []string { return seeds }, members...)
	f.advance(2 * time.Second)
	member := f.tables[addrOf(4)]
	home := member.client.home
	if home == "" {
		t.Fatal("the member has no home control daemon")
	}
	f.isCutOff[home] = true
	f.setLeader(seeds[(slices.Index(seeds, home)+1)%len(seeds)], 2)
	f.advance(4 * time.Second)
	if member.client.home == home || member.leaderships[0].Term != 2 {
		t.Errorf("the member did not move: home %s, leadership %+v", member.client.home, member.leaderships[0])
	}
}

// A welcome of an unknown form may contain only a part of the members. If it replaced the full
// view, the daemon would lose the addresses of other control daemons.
func TestUnknownWelcomeFormKeepsView(t *testing.T) {
	cfg := Config{SessionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond}
	table := New(cfg, message.Member{Ident: "me", Addr: "me:1"}, []string{"seed:1"})
	members := []message.Member{
		{Ident: "a", Addr: "a:1", HasDisk: true}, {Ident: "b", Addr: "b:1", HasDisk: true}, {Ident: "me", Addr: "me:1"},
	}
	for _, welcome := range []message.Welcome{
		{Members: members},
		{Form: message.WelcomeDiff + "x", Members: members[2:]},
	} {
		m := welcome.Message()
		m.Addr = "a:1"
		table.Step(time.Second, m)
	}
	if n := len(table.View().Members); n != 3 || !slices.Contains(table.controlAddrs(), "b:1") {
		t.Errorf("%d members, control daemons %v", n, table.controlAddrs())
	}
}
