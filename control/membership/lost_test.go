package membership

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// oneLossConfig tolerates one loss, so that one lost machine does not isolate the others.
var oneLossConfig = Config{
	SessionTimeout: cfg.SessionTimeout, HeartbeatInterval: cfg.HeartbeatInterval,
	MinRelayMembers: cfg.MinRelayMembers, ToleratedLosses: 1,
}

// Guards against a daemon that is stuck at an isolated control daemon. A daemon without a disk
// starts while its only seed is cut off from the other control daemons. The daemon still has to
// find these control daemons and their current leader.
func TestJoinThroughIsolatedSeed(t *testing.T) {
	seeds := []string{addrOf(1), addrOf(2), addrOf(3)}
	f := newSmallFleet(oneLossConfig, func(int) []string { return seeds }, controlDaemons(3)...)
	f.setLeader(addrOf(1), 7)
	f.advance(5 * time.Second)
	f.isCutOff[addrOf(1)] = true
	clear(f.leaderships)
	f.advance(5 * time.Second)
	f.setLeader(addrOf(2), 8)
	f.advance(time.Second)
	f.join(message.Member{Ident: "m", Epoch: 1, Addr: addrOf(4)}, []string{addrOf(1)})
	f.advance(2 * time.Second)
	v := f.tables[addrOf(4)].View()
	if !v.HasSession || v.Leaderships[0].Term != 8 {
		t.Errorf("session %v, leader %v, expected a session and term 8", v.HasSession, v.Leaderships[0])
	}
	for _, id := range []string{"b", "c"} {
		if _, ok := v.Find(id); !ok {
			t.Errorf("member %s is unknown, the view has %v", id, v.Members)
		}
	}
	if lost := f.tables[addrOf(1)].View().PartitionedFrom(); len(lost) != 2 {
		t.Errorf("the isolated control daemon is partitioned from %v, expected two", lost)
	}
	if lost := f.tables[addrOf(2)].View().PartitionedFrom(); len(lost) != 1 || lost[0].Addr != addrOf(1) {
		t.Errorf("another control daemon is partitioned from %v, expected only the isolated one", lost)
	}
}

// Guards against a permanent split after a network partition that outlasts the sessions. Control
// daemons that are no longer listed as seeds or learned addresses have to reconnect through their
// lists of lost daemons.
func TestLostControlDaemonsReconnect(t *testing.T) {
	seeds := [][]string{{addrOf(1)}, {addrOf(1)}, {addrOf(2)}}
	f := newSmallFleet(oneLossConfig, func(i int) []string { return seeds[i] }, controlDaemons(3)...)
	f.advance(5 * time.Second)
	if len(f.tables[addrOf(3)].View().Members) != 3 {
		t.Fatalf("not all members are known before the partition: %v", f.tables[addrOf(3)].View().Members)
	}
	f.isCutOff[addrOf(1)] = true
	f.advance(5 * time.Second)
	for i := 1; i <= 3; i++ {
		f.tables[addrOf(i)].seeds, f.tables[addrOf(i)].learnedAddrs = []string{addrOf(i)}, nil // outdated addresses
	}
	f.advance(15 * time.Second)
	if len(f.tables[addrOf(1)].View().Members) != 1 {
		t.Fatal("the control daemon is not isolated by the partition")
	}
	f.isCutOff[addrOf(1)] = false
	f.advance(lostGossipRounds*cfg.HeartbeatInterval + cfg.SessionTimeout)
	for i := 1; i <= 3; i++ {
		if v := f.tables[addrOf(i)].View(); len(v.Members) != 3 || len(v.Lost) > 0 {
			t.Errorf("%s knows members %v, lost %v", addrOf(i), v.Members, v.Lost)
		}
	}
}

// Lost control daemons are removed from the list after the retention time, and the oldest ones when
// the list holds more than maxLost. If the daemons were lost one after another, PartitionedFrom
// returns only the latest.
func TestLostControlDaemonsArePruned(t *testing.T) {
	f := newSmallFleet(oneLossConfig, func(int) []string { return []string{addrOf(1)} }, controlDaemons(2*maxLost)...)
	f.advance(5 * time.Second)
	for i := 2; i <= 2*maxLost; i++ {
		f.tables[addrOf(i)] = nil // the daemons are lost one after another
		f.advance(4 * time.Second)
		v := f.tables[addrOf(1)].View()
		if lost := v.PartitionedFrom(); len(v.Lost) != min(i-1, maxLost) || len(lost) != 1 || lost[0].Addr != addrOf(i) {
			t.Fatalf("%d daemons lost: partitioned from %v, %d kept as lost", i-1, lost, len(v.Lost))
		}
	}
	f.advance((lostRetentionTimeouts + 1) * cfg.SessionTimeout)
	if v := f.tables[addrOf(1)].View(); len(v.Lost) > 0 {
		t.Errorf("still kept after the retention time: %v", v.Lost)
	}
}
