package loadreport

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// zone is daemons of one zone that tell one another, with another zone's head far
// away, and what each was sent.
type zone struct {
	t         *testing.T
	now       time.Duration
	members   []message.Member
	reporters map[string]*Reporter
	bytes     map[string]int // to a daemon
	lose      func(to string) bool
}

var told = Config{Interval: 250 * time.Millisecond, MaxAge: 1250 * time.Millisecond, MaxPrefixes: 128, CachedFraction: 0.7, MaxRemembered: 1 << 14}

func newZone(t *testing.T, daemons int) *zone {
	z := &zone{t: t, now: time.Second, reporters: map[string]*Reporter{}, bytes: map[string]int{}}
	for i := range daemons {
		m := message.Member{Ident: fmt.Sprint("d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: "north", Build: "2/1"}
		z.members = append(z.members, m)
		z.reporters[m.Ident] = New(told)
	}
	return z
}

// report has all report once; messages arrive at once.
func (z *zone) report() {
	for _, m := range z.members {
		for _, s := range z.reporters[m.Ident].Tick(z.now, m, z.members) {
			b, err := s.Message.MarshalMsg(nil)
			if err != nil {
				z.t.Fatal(err)
			}
			if z.bytes[s.Message.To] += len(b); z.lose == nil || !z.lose(s.Message.To) {
				z.reporters[s.Message.To].Step(z.now, s.Message)
			}
		}
	}
	z.now += told.Interval
}

func server(i int) uint64 { return ServerID("s", fmt.Sprint("server-", i)) }

// What a daemon is sent of the servers' load is bounded, however many there are: at
// most 14 KB a second, whatever changes.
func TestLoadReportsAreBounded(t *testing.T) {
	const servers, seconds = 3800, 6
	z := newZone(t, 20)
	for n := range seconds * int(time.Second/told.Interval) {
		for i, m := range z.members {
			for k := range 40 { // requests begin everywhere all the time
				z.reporters[m.Ident].AddLoad(server((n*977+i*131+k*17)%servers), 100+n, 1)
			}
		}
		if n == 4 { // the first reports are of much at once
			clear(z.bytes)
		}
		z.report()
	}
	head := ZoneHead(z.members, "north").Ident
	for _, m := range z.members {
		if each := z.bytes[m.Ident] / (seconds - 1); m.Ident != head && each > 14<<10 {
			t.Fatalf("%s is told %d bytes a second of %d servers", m.Ident, each, servers)
		}
	}
}

// equal tells whether a daemon knows of the servers what its zone has under way.
func (z *zone) equal(ident string, servers int) bool {
	for i := range servers {
		sum := 0
		for _, m := range z.members {
			sum += z.reporters[m.Ident].local[server(i)].Tokens
		}
		if z.reporters[ident].Load(z.now, server(i)).Tokens != sum {
			return false
		}
	}
	return true
}

// until beats until something holds, and tells how often.
func (z *zone) until(most int, so func() bool) int {
	for n := range most {
		if so() {
			return n
		}
		z.report()
	}
	return most
}

// Up to as many servers as one report holds, each daemon knows all after three
// beats: its own report, its head's, and what both take.
func TestAChangeReachesAllInThreeIntervals(t *testing.T) {
	z := newZone(t, 6)
	for i := range maxChanges {
		z.reporters[z.members[i%6].Ident].AddLoad(server(i), 100+i, 1)
	}
	for _, m := range z.members {
		if n := z.until(4, func() bool { return z.equal(m.Ident, maxChanges) }); n > 3 {
			t.Errorf("%s doesn't know all after %d beats", m.Ident, n)
		}
	}
	for i := range maxChanges { // and that it is over
		z.reporters[z.members[i%6].Ident].AddLoad(server(i), -100-i, -1)
	}
	for range 3 {
		z.report()
	}
	for _, m := range z.members {
		if !z.equal(m.Ident, maxChanges) {
			t.Errorf("%s doesn't know what has ended", m.Ident)
		}
	}
}

// Who missed reports, or joins, knows all again once all have come up in turn.
func TestMissedReportsAreMadeUpInTurn(t *testing.T) {
	const servers = 200
	z := newZone(t, 6)
	head := ZoneHead(z.members, "north").Ident
	deaf := z.members[0].Ident
	if deaf == head {
		deaf = z.members[1].Ident
	}
	z.lose = func(to string) bool { return to == deaf }
	for i := range servers {
		z.reporters[head].AddLoad(server(i), 100+i, 1)
	}
	for range 8 {
		z.report()
	}
	if z.equal(deaf, servers) {
		t.Fatal("it missed nothing")
	}
	z.lose = nil
	if n := z.until(3*refreshReports, func() bool { return z.equal(deaf, servers) }); n > refreshReports+2 {
		t.Errorf("it knows all after %d tellings", n)
	}
	z.members = append(z.members, message.Member{Ident: "new", Addr: "10.0.0.99:1", Zone: "north", Build: "2/1"})
	z.reporters["new"] = New(told)
	if n := z.until(3*refreshReports, func() bool { return z.equal("new", servers) }); n > refreshReports+4 {
		t.Errorf("one that joins knows all after %d tellings", n)
	}
}

// A daemon of a build that knows nothing of changes is told all each time.
func TestAnOlderBuildIsSentTheWhole(t *testing.T) {
	z := newZone(t, 4)
	old := 0
	if ZoneHead(z.members, "north").Ident == z.members[old].Ident {
		old = 1
	}
	z.members[old].Build = lastBuildWithoutChanges
	for i := range 300 {
		z.reporters[ZoneHead(z.members, "north").Ident].AddLoad(server(i), 100, 1)
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
			t.Errorf("%s is sent report %d of %d loads, %d changes", s.Message.To, report.Kind, len(report.Loads), len(report.Changes))
		}
	}
}

// In a crowded zone the head is a control daemon, if there is one: its link is wide.
func TestTheHeadOfACrowdedZoneIsAControlDaemon(t *testing.T) {
	for _, n := range []int{controlHeadFrom - 1, controlHeadFrom, 40} {
		z := newZone(t, n)
		wide := 3
		if ZoneHead(z.members, "north").Ident == z.members[wide].Ident {
			wide = 4
		}
		z.members[wide].HasDisk = true
		if got := ZoneHead(z.members, "north").Ident == z.members[wide].Ident; got != (n >= controlHeadFrom) {
			t.Errorf("%d members: the control daemon is the head: %v", n, got)
		}
	}
}
