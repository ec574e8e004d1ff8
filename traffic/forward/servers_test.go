package forward

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
)

// Leases that expire and are renewed change no record and so no Generation. The servers must
// be read again nevertheless, as they were dropped when the leases expired.
func TestServersReturnWithRenewedLeases(t *testing.T) {
	now := time.Second
	src := &fakeSource{now: &now, until: 2 * time.Second, generation: 1, list: []fleetconfig.Server{{ID: "a", Addr: "10.0.0.1:1", Zone: "z", Capacity: 8}}, roles: map[string]string{"a": placement.Decode}}
	d := New(Config{RetryWindow: time.Second}, "s", 1, src, nil)
	for i, x := range []struct {
		now, until    time.Duration
		generation    uint64
		withdrawn, ok bool
	}{
		{time.Second, 2 * time.Second, 1, false, true},
		{3 * time.Second, 2 * time.Second, 1, false, false}, // expired
		{4 * time.Second, 5 * time.Second, 1, false, true},
		{4 * time.Second, 5 * time.Second, 2, true, false}, // list withdrawn
		{4 * time.Second, 5 * time.Second, 2, true, false},
		{6 * time.Second, 9 * time.Second, 3, false, true},
		{7 * time.Second, 9 * time.Second, 3, false, true},
	} {
		now, src.until, src.generation, src.withdrawn = x.now, x.until, x.generation, x.withdrawn
		if ok := d.refreshServers(now); ok != x.ok || ok && len(d.Servers()) != 1 {
			t.Errorf("step %d: refreshServers returned %v, servers %v", i, ok, d.Servers())
		}
	}
}

// A list that was withdrawn because one server changes remains in use for MaxListAge after it was last
// readable: servers whose own records are valid are used, a server whose record is withdrawn as well
// is not, and a server that is only on the next list is unknown. After that time, or if no list was
// ever read, there are no servers.
func TestWithdrawnListIsUsedForMaxListAge(t *testing.T) {
	const maxListAge = time.Second
	now := 10 * time.Second
	server := func(id string) fleetconfig.Server {
		return fleetconfig.Server{ID: id, Addr: "10.0.0." + id + ":1", Zone: "z", Capacity: 8}
	}
	src := &fakeSource{
		now: &now, until: time.Minute, generation: 1, list: []fleetconfig.Server{server("1"), server("2")},
		roles: map[string]string{"1": placement.Decode, "2": placement.Decode},
	}
	d := New(Config{RetryWindow: time.Second, MaxListAge: maxListAge}, "s", 1, src, nil)
	expect := func(when string, ids ...string) {
		t.Helper()
		if ok := d.refreshServers(now); ok != (len(ids) > 0) {
			t.Errorf("%s: refreshServers returned %v", when, ok)
		}
		for _, id := range ids {
			if _, ok := d.servable[id]; !ok || len(d.servable) != len(ids) {
				t.Errorf("%s: %v, expected %v", when, d.servable, ids)
			}
		}
	}
	src.withdrawn = true
	expect("before a list was read")
	src.withdrawn = false
	expect("list readable", "1", "2")
	now += time.Minute / 4
	d.Refresh(now)
	src.withdrawn, src.generation, src.list = true, 2, append(src.list, server("3"))
	src.roles["3"] = placement.Decode
	expect("withdrawn", "1", "2")
	src.generation, src.roles["2"] = 3, ""
	expect("one record withdrawn as well", "1")
	now += maxListAge - 1
	expect("just before MaxListAge", "1")
	now++
	expect("at MaxListAge")
	src.withdrawn, src.generation = false, 4
	expect("the next list", "1", "3")
}

// The records of leaving servers are no longer read, so their keys are not returned. The keys of
// servers that are not listed are not returned either.
func TestKeysOmitLeavingServers(t *testing.T) {
	now := time.Second
	src := &fakeSource{now: &now, until: time.Minute, generation: 1, list: []fleetconfig.Server{
		{ID: "a", Addr: "10.0.0.1:1"}, {ID: "b", Addr: "10.0.0.2:1", Leaving: true},
	}, roles: map[string]string{}}
	d := New(Config{}, "s", 1, src, nil)
	want := []string{fleetconfig.ListKey("s"), fleetconfig.ServerRecordKey("s", "a")}
	if got := d.Keys(); !slices.Equal(got, want) {
		t.Errorf("keys %v, expected %v", got, want)
	}
	src.withdrawn = true
	if got := d.Keys(); !slices.Equal(got, want) {
		t.Errorf("while the list is withdrawn: keys %v, expected %v", got, want)
	}
}
