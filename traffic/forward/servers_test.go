package forward

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
)

// Leases that lapse and come back change no record, so Generation stays as it was: the
// servers are read again all the same, as they were dropped in between.
func TestServersComeBackWithTheLeases(t *testing.T) {
	now := time.Second
	src := &records{now: &now, until: 2 * time.Second, gen: 1, list: []fleetconfig.Server{{ID: "a", Addr: "10.0.0.1:1", Zone: "z", Capacity: 8}}, part: map[string]string{"a": placement.Decode}}
	l := New(Config{RetryWindow: time.Second}, "s", 1, src, nil)
	for i, x := range []struct {
		now, until time.Duration
		gen        uint64
		held, ok   bool
	}{
		{time.Second, 2 * time.Second, 1, false, true},
		{3 * time.Second, 2 * time.Second, 1, false, false}, // lapsed
		{4 * time.Second, 5 * time.Second, 1, false, true},
		{4 * time.Second, 5 * time.Second, 2, true, false}, // being written
		{4 * time.Second, 5 * time.Second, 2, true, false},
		{6 * time.Second, 9 * time.Second, 3, false, true},
		{7 * time.Second, 9 * time.Second, 3, false, true},
	} {
		now, src.until, src.gen, src.held = x.now, x.until, x.gen, x.held
		if ok := l.refreshServers(now); ok != x.ok || ok && len(l.Servers()) != 1 {
			t.Errorf("%d: stands %v, servers %v", i, ok, l.Servers())
		}
	}
}

// A list that is withdrawn, since one server changes, goes on saying which servers there are, for
// MaxListAge from when it could be read last: those whose own records stand are used, the one whose
// record is withdrawn, too, isn't, and a server that is only on the next list isn't known. After that,
// or where no list was ever read, there is no server.
func TestAWithdrawnListIsAnIndex(t *testing.T) {
	const age = time.Second
	now := 10 * time.Second
	server := func(id string) fleetconfig.Server {
		return fleetconfig.Server{ID: id, Addr: "10.0.0." + id + ":1", Zone: "z", Capacity: 8}
	}
	src := &records{
		now: &now, until: time.Minute, gen: 1, list: []fleetconfig.Server{server("1"), server("2")},
		part: map[string]string{"1": placement.Decode, "2": placement.Decode},
	}
	d := New(Config{RetryWindow: time.Second, MaxListAge: age}, "s", 1, src, nil)
	expect := func(when string, ids ...string) {
		t.Helper()
		if ok := d.refreshServers(now); ok != (len(ids) > 0) {
			t.Errorf("%s: there are servers: %v", when, ok)
		}
		for _, id := range ids {
			if _, ok := d.servable[id]; !ok || len(d.servable) != len(ids) {
				t.Errorf("%s: %v, expected %v", when, d.servable, ids)
			}
		}
	}
	src.held = true
	expect("no list was read yet")
	src.held = false
	expect("at first", "1", "2")
	now += time.Minute / 4
	d.Refresh(now)
	src.held, src.gen, src.list = true, 2, append(src.list, server("3"))
	src.part["3"] = placement.Decode
	expect("withdrawn", "1", "2")
	src.gen, src.part["2"] = 3, ""
	expect("one record withdrawn, too", "1")
	now += age - 1
	expect("just before the end", "1")
	now++
	expect("at the end")
	src.held, src.gen = false, 4
	expect("the next list", "1", "3")
}

// A server that leaves isn't read any more, and so isn't kept wanted; nor is one that isn't listed.
func TestKeysAreThoseOfServersThatStay(t *testing.T) {
	now := time.Second
	src := &records{now: &now, until: time.Minute, gen: 1, list: []fleetconfig.Server{
		{ID: "a", Addr: "10.0.0.1:1"}, {ID: "b", Addr: "10.0.0.2:1", Leaving: true},
	}, part: map[string]string{}}
	d := New(Config{}, "s", 1, src, nil)
	want := []string{fleetconfig.ListKey("s"), fleetconfig.ServerRecordKey("s", "a")}
	if got := d.Keys(); !slices.Equal(got, want) {
		t.Errorf("keys %v, expected %v", got, want)
	}
	src.held = true
	if got := d.Keys(); !slices.Equal(got, want) {
		t.Errorf("while the list is withdrawn: keys %v, expected %v", got, want)
	}
}
