package loadreport

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// testZone simulates the daemons of one zone that report to each other, and counts the bytes
// sent to each.
type testZone struct {
	t         *testing.T
	now       time.Duration
	members   []message.Member
	reporters map[string]*Reporter
	bytes     map[string]int // bytes sent, by receiving daemon
	drop      func(to string) bool
}

var testConfig = Config{Interval: 250 * time.Millisecond, MaxAge: 1250 * time.Millisecond, MaxPrefixes: 128, CachedFraction: 0.7, MaxRemembered: 1 << 14}

func newZone(t *testing.T, daemons int) *testZone {
	z := &testZone{t: t, now: time.Second, reporters: map[string]*Reporter{}, bytes: map[string]int{}}
	for i := range daemons {
		m := message.Member{Ident: fmt.Sprint("d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: "north", Build: "2/1"}
		z.members = append(z.members, m)
		z.reporters[m.Ident] = New(testConfig)
	}
	return z
}

// report makes each daemon report once; messages are delivered immediately.
func (z *testZone) report() {
	for _, m := range z.members {
		for _, s := range z.reporters[m.Ident].Tick(z.now, m, z.members) {
			b, err := s.Message.MarshalMsg(nil)
			if err != nil {
				z.t.Fatal(err)
			}
			if z.bytes[s.Message.To] += len(b); z.drop == nil || !z.drop(s.Message.To) {
				z.reporters[s.Message.To].Step(z.now, s.Message)
			}
		}
	}
	z.now += testConfig.Interval
}

func serverID(i int) uint64 { return ServerID("s", fmt.Sprint("server-", i)) }

// Load reports to a daemon take at most 14 KB a second, regardless of the number of servers
// and of how many of them change.
func TestLoadReportsAreBounded(t *testing.T) {
	const servers, seconds = 3800, 6
	z := newZone(t, 20)
	for n := range seconds * int(time.Second/testConfig.Interval) {
		for i, m := range z.members {
			for k := range 40 { // requests start at every daemon in each interval
				z.reporters[m.Ident].AddLoad(serverID((n*977+i*131+k*17)%servers), 100+n, 1)
			}
		}
		if n == 4 { // the first reports are larger
			clear(z.bytes)
		}
		z.report()
	}
	head := ZoneHead(z.members, "north").Ident
	for _, m := range z.members {
		if each := z.bytes[m.Ident] / (seconds - 1); m.Ident != head && each > 14<<10 {
			t.Fatalf("%s is sent %d bytes a second for %d servers", m.Ident, each, servers)
		}
	}
}

// knowsAllLoads reports whether a daemon knows the total load of its zone on each server.
func (z *testZone) knowsAllLoads(ident string, servers int) bool {
	for i := range servers {
		sum := 0
		for _, m := range z.members {
			sum += z.reporters[m.Ident].local[serverID(i)].Tokens
		}
		if z.reporters[ident].Load(z.now, serverID(i)).Tokens != sum {
			return false
		}
	}
	return true
}

// reportUntil runs report intervals until a condition holds and returns how many it took.
func (z *testZone) reportUntil(maxIntervals int, condition func() bool) int {
	for n := range maxIntervals {
		if condition() {
			return n
		}
		z.report()
	}
	return maxIntervals
}

// If all changes fit in one report, each daemon knows them after three intervals: one for its
// own report, one for the report of the head, and one for the time that both take.
func TestChangeReachesAllDaemonsInThreeIntervals(t *testing.T) {
	z := newZone(t, 6)
	for i := range maxChanges {
		z.reporters[z.members[i%6].Ident].AddLoad(serverID(i), 100+i, 1)
	}
	for _, m := range z.members {
		if n := z.reportUntil(4, func() bool { return z.knowsAllLoads(m.Ident, maxChanges) }); n > 3 {
			t.Errorf("%s doesn't know all loads after %d intervals", m.Ident, n)
		}
	}
	for i := range maxChanges { // the end of the load spreads as well
		z.reporters[z.members[i%6].Ident].AddLoad(serverID(i), -100-i, -1)
	}
	for range 3 {
		z.report()
	}
	for _, m := range z.members {
		if !z.knowsAllLoads(m.Ident, maxChanges) {
			t.Errorf("%s doesn't know that the load has ended", m.Ident)
		}
	}
}

// A daemon that missed reports or has just joined knows all loads once each server had its
// turn to be refreshed.
func TestMissedReportsAreRecoveredByRefresh(t *testing.T) {
	const servers = 200
	z := newZone(t, 6)
	head := ZoneHead(z.members, "north").Ident
	isolated := z.members[0].Ident
	if isolated == head {
		isolated = z.members[1].Ident
	}
	z.drop = func(to string) bool { return to == isolated }
	for i := range servers {
		z.reporters[head].AddLoad(serverID(i), 100+i, 1)
	}
	for range 8 {
		z.report()
	}
	if z.knowsAllLoads(isolated, servers) {
		t.Fatal("the isolated daemon knows all loads")
	}
	z.drop = nil
	if n := z.reportUntil(3*refreshReports, func() bool { return z.knowsAllLoads(isolated, servers) }); n > refreshReports+2 {
		t.Errorf("the isolated daemon knows all loads only after %d reports", n)
	}
	z.members = append(z.members, message.Member{Ident: "new", Addr: "10.0.0.99:1", Zone: "north", Build: "2/1"})
	z.reporters["new"] = New(testConfig)
	if n := z.reportUntil(3*refreshReports, func() bool { return z.knowsAllLoads("new", servers) }); n > refreshReports+4 {
		t.Errorf("a joining daemon knows all loads only after %d reports", n)
	}
}

// A daemon whose build doesn't support incremental reports is sent all loads each time.
func TestOlderBuildReceivesFullReports(t *testing.T) {
	z := newZone(t, 4)
	old := 0
	if ZoneHead(z.members, "north").Ident == z.members[old].Ident {
		old = 1
	}
	z.members[old].Build = lastBuildWithoutChanges
	for i := range 300 {
		z.reporters[ZoneHead(z.members, "north").Ident].AddLoad(serverID(i), 100, 1)
	}
	for range 2 {
		z.report()
	}
	for _, s := range z.reporters[ZoneHead(z.members, "north").Ident].Tick(z.now, ZoneHead(z.members, "north"), z.members) {
		var report Report
		if _, err := report.UnmarshalMsg(s.Message.Body); err != nil {
			t.Fatal(err)
		}
		if isOld := s.Message.To == z.members[old].Ident; isOld && (report.Kind != fleetReport || len(report.Loads) != 300 || len(report.Changes) > 0) || !isOld && (report.Kind != fleetChanges || len(report.Loads) > 0) {
			t.Errorf("%s is sent a report of kind %d with %d loads, %d changes", s.Message.To, report.Kind, len(report.Loads), len(report.Changes))
		}
	}
}

// The head of a large zone is a control daemon, if the zone has one, because control daemons have
// links of higher bandwidth.
func TestHeadOfLargeZoneIsControlDaemon(t *testing.T) {
	for _, n := range []int{controlHeadMinMembers - 1, controlHeadMinMembers, 40} {
		z := newZone(t, n)
		wide := 3
		if ZoneHead(z.members, "north").Ident == z.members[wide].Ident {
			wide = 4
		}
		z.members[wide].HasDisk = true
		if got := ZoneHead(z.members, "north").Ident == z.members[wide].Ident; got != (n >= controlHeadMinMembers) {
			t.Errorf("%d members: the control daemon is head: %v", n, got)
		}
	}
}
