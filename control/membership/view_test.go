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

// The whole plan goes to each member of a zone over its relay's link: in a
// crowded zone that is a control daemon's. Other partitions keep to the weights,
// which spread them, and so does a zone that isn't crowded or has no such daemon.
func TestACrowdedZoneGetsAControlDaemonAsConfigurationRelay(t *testing.T) {
	for _, c := range []struct {
		control, others int
		wide            bool
	}{{2, crowdedZone - 2, true}, {1, 40, true}, {2, crowdedZone - 3, false}, {0, 40, false}} {
		v, byWeight := zoneOf(c.control, c.others), 0
		control := map[string]bool{}
		for _, m := range v.Members {
			control[m.Ident] = m.HasDisk
		}
		if got := control[v.Relay(0, "c").Ident]; c.wide && !got {
			t.Errorf("%d control daemons of %d: the configuration's relay is %v", c.control, len(v.Members), v.Relay(0, "c"))
		}
		plain := zoneOf(0, c.control+c.others)
		for p := range 30 {
			if (p > 0 || !c.wide) && v.Relay(p, "c") != plain.Relay(p, "c") {
				t.Errorf("%d control daemons of %d, partition %d: relay %v, by weight %v",
					c.control, len(v.Members), p, v.Relay(p, "c"), plain.Relay(p, "c"))
			}
			if !control[v.Relay(p, "c").Ident] {
				byWeight++
			}
		}
		if byWeight == 0 {
			t.Error("no partition's relay is without a disk")
		}
	}
	v := zoneOf(2, 40)
	leader := v.Relay(0, "c")
	v.Leaderships[0] = message.Leadership{Term: 2, Leader: leader}
	v.relays.Clear()
	if next := v.Relay(0, "c"); next == leader || next.Ident == "" {
		t.Errorf("the leader's zone has %v", next)
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
