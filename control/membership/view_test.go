package membership

import (
	"fmt"
	"testing"

	"mulleinmast/wire/message"
)

// newZoneView returns a view of one zone with control daemons first, then the others.
func newZoneView(control, others int) *View {
	v := &View{
		Leaderships:  map[int]message.Leadership{0: {Term: 1, Leader: message.Replica{Ident: "far", Addr: "far"}}},
		minRelayZone: 3,
		byIdent:      map[string]message.Member{},
	}
	for i := range control + others {
		id := fmt.Sprintf("10.0.0.%d:1", i)
		v.Members = append(v.Members, message.Member{Ident: id, Addr: id, Zone: "c", HasDisk: i < control})
	}
	return v
}

// A relay sends each record to every member of its zone over its own link, so in a large zone the
// relays of all partitions are control daemons. In smaller zones, or without control daemons, the
// weights alone spread the partitions over the members.
func TestLargeZoneUsesControlDaemonsAsRelays(t *testing.T) {
	for _, c := range []struct {
		control, others int
		large           bool
	}{{2, largeZoneSize - 2, true}, {1, 40, true}, {2, largeZoneSize - 3, false}, {0, 40, false}} {
		v, byWeight := newZoneView(c.control, c.others), 0
		control := map[string]bool{}
		for _, m := range v.Members {
			control[m.Ident] = m.HasDisk
		}
		plain := newZoneView(0, c.control+c.others)
		chosen := map[string]bool{}
		for p := range 30 {
			relay := v.Relay(p, "c")
			chosen[relay.Ident] = true
			if c.large && !control[relay.Ident] {
				t.Errorf("%d control daemons of %d members, partition %d: relay %v is not a control daemon",
					c.control, len(v.Members), p, relay)
			}
			if !c.large && relay != plain.Relay(p, "c") {
				t.Errorf("%d control daemons of %d members, partition %d: relay %v, expected %v by weight",
					c.control, len(v.Members), p, relay, plain.Relay(p, "c"))
			}
			if !control[relay.Ident] {
				byWeight++
			}
		}
		if !c.large && byWeight == 0 {
			t.Error("every partition's relay is a control daemon")
		}
		if c.large && len(chosen) != c.control {
			t.Errorf("30 partitions have %d relays, expected all %d control daemons", len(chosen), c.control)
		}
	}
}

// If a control daemon of a large zone leads a partition, another control daemon of the zone is the
// relay. If there is no other, the zone's members use the leader directly, and use a relay again
// after the leadership moves to another zone.
func TestRelayInLeaderZone(t *testing.T) {
	lead := func(v *View, ident string) {
		v.Leaderships[0] = message.Leadership{Term: 2, Leader: message.Replica{Ident: ident, Addr: ident}}
		v.relays.Clear()
	}
	two := newZoneView(2, 40)
	leader := two.Relay(0, "c")
	lead(two, leader.Ident)
	if next := two.Relay(0, "c"); next == leader || next.Ident == "" || !two.Members[0].HasDisk {
		t.Errorf("unexpected relay %v in the leader's zone", next)
	}
	one := newZoneView(1, 40)
	alone := one.Relay(0, "c")
	lead(one, alone.Ident)
	one.Self = one.Members[7]
	if relay, parent := one.Relay(0, "c"), one.Parent(0); relay.Ident != "" || parent != alone {
		t.Errorf("leader is the only control daemon: relay %v, parent %v", relay, parent)
	}
	lead(one, "far")
	if parent := one.Parent(0); parent != alone {
		t.Errorf("parent is %v after the leadership moved", parent)
	}
	if few := newZoneView(1, largeZoneSize-2); few.Relay(0, "c").Ident == "" {
		t.Error("a smaller zone has no relay")
	}
}

// A daemon that shuts down has to hand over its replica if a spare control daemon could replace the
// replica. It also has to while a change of the group is in progress, because the group then still
// needs a majority of the replicas from before the change.
func TestMustHandOverDuringGroupChange(t *testing.T) {
	me := message.Member{Ident: "a", HasDisk: true}
	replicas := func(idents ...string) (list []message.Replica) {
		for _, id := range idents {
			list = append(list, message.Replica{Ident: id})
		}
		return list
	}
	group := func(current, next []message.Replica) message.Group {
		return message.Group{Number: 1, Replicas: current, Next: next}
	}
	for name, c := range map[string]struct {
		group        message.Group
		mustHandOver bool
	}{
		"no group":                        {message.Group{}, false},
		"no spare":                        {group(replicas("a", "b", "c", "d"), nil), false},
		"a spare control daemon":          {group(replicas("a", "b", "c"), nil), true},
		"the only spare replaces it":      {group(replicas("a", "b", "c"), replicas("d", "b", "c")), true},
		"the only spare replaces another": {group(replicas("a", "b", "c"), replicas("a", "b", "d")), true},
		"it was replaced":                 {group(replicas("d", "b", "c"), nil), false},
		"not in a group that changes":     {group(replicas("d", "b", "c"), replicas("d", "b", "e")), false},
	} {
		v := &View{Self: me, Members: []message.Member{
			me,
			{Ident: "b", HasDisk: true},
			{Ident: "c", HasDisk: true},
			{Ident: "d", HasDisk: true},
			{Ident: "e"},
		}}
		if got := v.MustHandOver(c.group); got != c.mustHandOver {
			t.Errorf("%s: must hand over %v, expected %v", name, got, c.mustHandOver)
		}
	}
}
