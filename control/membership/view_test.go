package membership

import (
	"fmt"
	"testing"

	"mulleinmast/wire/message"
)

// zoneOf is a view of one zone: control daemons first, then the others.
func zoneOf(control, others int) *View {
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

// Each record goes to every member of a zone over its relay's link: in a crowded zone that is a
// control daemon's, for every partition. A zone that isn't crowded, or has no such daemon, keeps to
// the weights, which spread the partitions.
func TestACrowdedZoneHasControlDaemonsAsRelays(t *testing.T) {
	for _, c := range []struct {
		control, others int
		wide            bool
	}{{2, crowdedZone - 2, true}, {1, 40, true}, {2, crowdedZone - 3, false}, {0, 40, false}} {
		v, byWeight := zoneOf(c.control, c.others), 0
		control := map[string]bool{}
		for _, m := range v.Members {
			control[m.Ident] = m.HasDisk
		}
		plain := zoneOf(0, c.control+c.others)
		chosen := map[string]bool{}
		for p := range 30 {
			relay := v.Relay(p, "c")
			chosen[relay.Ident] = true
			if c.wide && !control[relay.Ident] {
				t.Errorf("%d control daemons of %d, partition %d: the relay is %v", c.control, len(v.Members), p, relay)
			}
			if !c.wide && relay != plain.Relay(p, "c") {
				t.Errorf("%d control daemons of %d, partition %d: relay %v, by weight %v",
					c.control, len(v.Members), p, relay, plain.Relay(p, "c"))
			}
			if !control[relay.Ident] {
				byWeight++
			}
		}
		if !c.wide && byWeight == 0 {
			t.Error("no partition's relay is without a disk")
		}
		if c.wide && len(chosen) != c.control {
			t.Errorf("%d of %d control daemons are relays of 30 partitions", len(chosen), c.control)
		}
	}
}

// Where a control daemon of a crowded zone leads a partition another one is the relay; where there
// is no other, the members go straight to the leader, and to a relay again once it leads no more.
func TestTheLeadersOwnZone(t *testing.T) {
	lead := func(v *View, ident string) {
		v.Leaderships[0] = message.Leadership{Term: 2, Leader: message.Replica{Ident: ident, Addr: ident}}
		v.relays.Clear()
	}
	two := zoneOf(2, 40)
	leader := two.Relay(0, "c")
	lead(two, leader.Ident)
	if next := two.Relay(0, "c"); next == leader || next.Ident == "" || !two.Members[0].HasDisk {
		t.Errorf("the leader's zone has %v", next)
	}
	one := zoneOf(1, 40)
	alone := one.Relay(0, "c")
	lead(one, alone.Ident)
	one.Self = one.Members[7]
	if relay, parent := one.Relay(0, "c"), one.Parent(0); relay.Ident != "" || parent != alone {
		t.Errorf("beside the leader alone: relay %v, parent %v", relay, parent)
	}
	lead(one, "far")
	if parent := one.Parent(0); parent != alone {
		t.Errorf("once it leads no more the parent is %v", parent)
	}
	if few := zoneOf(1, crowdedZone-2); few.Relay(0, "c").Ident == "" {
		t.Error("a zone that isn't crowded has no relay")
	}
}

// A daemon that is told to end hands its replica over where a spare could take its
// place, and also while one is about to: as long as the group changes, a majority of
// the replicas before the change is needed.
func TestADaemonHandsOverWhileItsGroupChanges(t *testing.T) {
	me := message.Member{Ident: "a", HasDisk: true}
	of := func(idents ...string) (list []message.Replica) {
		for _, id := range idents {
			list = append(list, message.Replica{Ident: id})
		}
		return list
	}
	group := func(replicas, next []message.Replica) message.Group {
		return message.Group{Number: 1, Replicas: replicas, Next: next}
	}
	for name, c := range map[string]struct {
		group message.Group
		waits bool
	}{
		"no group":                           {message.Group{}, false},
		"nobody to take its place":           {group(of("a", "b", "c", "d"), nil), false},
		"a spare":                            {group(of("a", "b", "c"), nil), true},
		"the only spare takes its place":     {group(of("a", "b", "c"), of("d", "b", "c")), true},
		"the only spare takes another's":     {group(of("a", "b", "c"), of("a", "b", "d")), true},
		"its place was taken":                {group(of("d", "b", "c"), nil), false},
		"others change, and it has no place": {group(of("d", "b", "c"), of("d", "b", "e")), false},
	} {
		v := &View{Self: me, Members: []message.Member{
			me,
			{Ident: "b", HasDisk: true},
			{Ident: "c", HasDisk: true},
			{Ident: "d", HasDisk: true},
			{Ident: "e"},
		}}
		if got := v.MustHandOver(c.group); got != c.waits {
			t.Errorf("%s: hands over %v, expected %v", name, got, c.waits)
		}
	}
}
