package membership

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// oneLoss are bounds by which one lost machine isolates nobody else.
var oneLoss = Config{
	SessionTimeout: cfg.SessionTimeout, HeartbeatInterval: cfg.HeartbeatInterval,
	MinRelayZone: cfg.MinRelayZone, ToleratedLosses: 1,
}

// A daemon without a disk starts while a control daemon is cut off, and its seeds
// name only that one: it finds the others all the same, and the leader that they
// have by now.
func TestSeedsThatNameOnlyAnIsolatedControlDaemon(t *testing.T) {
	seeds := []string{addrOf(1), addrOf(2), addrOf(3)}
	f := newSmallFleet(oneLoss, func(int) []string { return seeds }, controlDaemons(3)...)
	f.lead(addrOf(1), 7)
	f.run(5 * time.Second)
	f.isCutOff[addrOf(1)] = true
	clear(f.leaderships)
	f.run(5 * time.Second)
	f.lead(addrOf(2), 8)
	f.run(time.Second)
	f.join(message.Member{Ident: "m", Epoch: 1, Addr: addrOf(4)}, []string{addrOf(1)})
	f.run(2 * time.Second)
	v := f.tables[addrOf(4)].View()
	if !v.HasSession || v.Leaderships[0].Term != 8 {
		t.Errorf("live %v, leader %v", v.HasSession, v.Leaderships[0])
	}
	for _, id := range []string{"b", "c"} {
		if _, ok := v.Find(id); !ok {
			t.Errorf("it doesn't know %s: %v", id, v.Members)
		}
	}
	if lost := f.tables[addrOf(1)].View().PartitionedFrom(); len(lost) != 2 {
		t.Errorf("the one that is cut off names %v", lost)
	}
	if lost := f.tables[addrOf(2)].View().PartitionedFrom(); len(lost) != 1 || lost[0].Addr != addrOf(1) {
		t.Errorf("another names %v", lost)
	}
}

// Control daemons that no seed or group names any more meet again after a cut
// that outlasted their sessions.
func TestLostControlDaemonsMeetAgain(t *testing.T) {
	seeds := [][]string{{addrOf(1)}, {addrOf(1)}, {addrOf(2)}}
	f := newSmallFleet(oneLoss, func(i int) []string { return seeds[i] }, controlDaemons(3)...)
	f.run(5 * time.Second)
	if len(f.tables[addrOf(3)].View().Members) != 3 {
		t.Fatalf("not met: %v", f.tables[addrOf(3)].View().Members)
	}
	f.isCutOff[addrOf(1)] = true
	f.run(5 * time.Second)
	for i := 1; i <= 3; i++ {
		f.tables[addrOf(i)].seeds, f.tables[addrOf(i)].learnedAddrs = []string{addrOf(i)}, nil // of long ago
	}
	f.run(15 * time.Second)
	if len(f.tables[addrOf(1)].View().Members) != 1 {
		t.Fatal("the cut cuts nothing")
	}
	f.isCutOff[addrOf(1)] = false
	f.run(lostCallInterval*cfg.HeartbeatInterval + cfg.SessionTimeout)
	for i := 1; i <= 3; i++ {
		if v := f.tables[addrOf(i)].View(); len(v.Members) != 3 || len(v.Lost) > 0 {
			t.Errorf("%s knows %v, lost %v", addrOf(i), v.Members, v.Lost)
		}
	}
}

// One that was lost for long, or beyond a number of them, is forgotten; those
// that were lost earlier than the last are not named to callers.
func TestLostControlDaemonsAreForgotten(t *testing.T) {
	f := newSmallFleet(oneLoss, func(int) []string { return []string{addrOf(1)} }, controlDaemons(2*maxLost)...)
	f.run(5 * time.Second)
	for i := 2; i <= 2*maxLost; i++ {
		f.tables[addrOf(i)] = nil // one after another
		f.run(4 * time.Second)
		v := f.tables[addrOf(1)].View()
		if lost := v.PartitionedFrom(); len(v.Lost) != min(i-1, maxLost) || len(lost) != 1 || lost[0].Addr != addrOf(i) {
			t.Fatalf("%d are lost: named %v, remembered %d", i-1, lost, len(v.Lost))
		}
	}
	f.run((rememberLostFor + 1) * cfg.SessionTimeout)
	if v := f.tables[addrOf(1)].View(); len(v.Lost) > 0 {
		t.Errorf("remembered for ever: %v", v.Lost)
	}
}
