package quorum

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// The old group must not end before a majority of the next group supports the lease.
// Otherwise, after two group changes within one lease, a majority that never
// acknowledged the leader could elect a second one.
func TestGroupChangeEndsOnlyAfterNextMajorityRenewsLease(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	_, out, _ := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(_ string, m message.Message) bool {
		return m.Kind == message.KindHeartbeat || m.Kind == message.KindHeartbeatAck
	}
	c.replaceReplica(out, "d")
	c.deliver()
	for range 3 {
		c.maintain("d")()
		c.deliver()
	}
	if _, r := c.leader(); len(r.Group().Next) == 0 {
		t.Errorf("the old group ended before the next group supported the lease: %s", c.group())
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(100*time.Millisecond+cfg.HeartbeatInterval, c.maintain("d"))
	if _, r := c.leader(); len(r.Group().Next) > 0 || r.Group().Has(out) {
		t.Errorf("the group change isn't finished a heartbeat interval later: %s", c.group())
	}
}

// A voter must not support a lease before its vote is on disk. After a restart without the
// vote, the voter would consider itself bound to the previous leader. If the previous leader
// has restarted too, the voter would vote for another candidate while the lease is valid.
func TestVoteIsOnDiskBeforeHeartbeatIsAcked(t *testing.T) {
	for name, bind := range map[string]message.Message{
		"it joined the term by an install": {Kind: message.KindInstallState, Term: 6, Group: threeReplicas},
		"it voted": {
			Kind: message.KindRequestVote, Term: 6, Group: threeReplicas, Length: int64(fullLeaseWait),
		},
	} {
		v := restartedVoter(t)
		at := 2 * fullLeaseWait
		hear := func(m message.Message) Out {
			m.From, m.Addr, m.Epoch, m.Partition = "b", "b", 1, 1
			return v.replica.Step(at, m)
		}
		saves := hear(bind).Saves
		support := hear(message.Message{Kind: message.KindHeartbeat, Term: 6, RequestID: 1})
		early := support.Sends
		saves = append(saves, support.Saves...)
		if len(early) > 0 || len(saves) == 0 || saves[len(saves)-1].Meta.VotedTerm != 6 {
			t.Errorf("%s: sent before the vote is on disk: %+v; saves: %+v", name, early, saves)
		}
		var late []message.Envelope
		for _, s := range saves {
			late = append(late, v.replica.Saved(s.Ticket).Sends...)
		}
		if len(late) == 0 || late[len(late)-1].Message.Kind != message.KindHeartbeatAck {
			t.Errorf("%s: sent once the vote is on disk: %+v", name, late)
		}
	}
}

// Messages of an earlier incarnation must be ignored once a later one is known. An
// AbandonTerm would withdraw a vote that the later incarnation won with, and a vote
// request would bind the vote to an incarnation that has ended.
func TestMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	for name, late := range map[string]message.Message{
		"void": {Kind: message.KindAbandonTerm, Term: 6},
		"ask":  {Kind: message.KindRequestVote, Term: 6, Length: int64(fullLeaseWait)},
	} {
		v := restartedVoter(t)
		at := 2 * fullLeaseWait
		for epoch := uint64(1); epoch <= 2; epoch++ { // incarnation 1 ended before its candidacy was on disk
			if ok, _ := v.requestVote(at, "b", epoch, 6); !ok {
				t.Fatalf("%s: no vote granted to incarnation %d", name, epoch)
			}
		}
		v.step(at, "b", 1, late)
		if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 || v.replica.isUnbound(at+1) {
			t.Errorf("%s of incarnation 1 after incarnation 2 won: bound to %+v, unbound %v",
				name, m, v.replica.isUnbound(at+1))
		}
	}
}

// A joining replica that is elected during its own group change must finish the change,
// since as leader it holds the complete state. The replica that it replaces is lost
// permanently, so one more loss before the change is finished would prevent all writes.
func TestJoiningReplicaAsLeaderFinishesGroupChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	first, gone, other := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.isDown[gone] = true
	c.isLost = func(_ string, m message.Message) bool { return m.Op == opJoin }
	c.replaceReplica(gone, "d")
	c.advance(100*time.Millisecond, c.maintain("d"))
	if _, r := c.leader(); len(r.Group().Next) == 0 || len(c.replicas["d"].Group().Next) == 0 {
		t.Fatalf("no group change: %+v, the joining replica has %+v", r.Group(), c.replicas["d"].Group())
	}
	c.replicas[first].Resign()
	// Drop the vote requests of all other candidates.
	others := func(m message.Message) bool { return m.Kind == message.KindRequestVote && m.From != "d" }
	c.isLost = func(_ string, m message.Message) bool { return m.Op == opJoin || others(m) }
	c.advance(3 * time.Second)
	c.isLost = func(_ string, m message.Message) bool { return others(m) }
	c.advance(2*time.Second, c.maintain("d"))
	id, r := c.leader()
	if id != "d" {
		t.Fatalf("%s is leader, expected d", id)
	}
	if g := r.Group(); len(g.Next) > 0 || g.Has(gone) || !g.Has("d") {
		t.Errorf("the group change is still in progress: %+v", g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.isDown[other] = true // after the change, the group must tolerate another loss
	if !c.writeRecord("k") {
		t.Error("a write was not committed after one more loss")
	}
}
