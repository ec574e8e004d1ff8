package quorum

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// The old group ends only when a majority of the next supports the lease: two group
// changes in one lease would else end at a majority that knows of no leader, and
// elects a second one beside it.
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
		t.Errorf("the old group is gone at once, and nobody of the next supports the lease: %s", c.group())
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(100*time.Millisecond+cfg.HeartbeatInterval, c.maintain("d"))
	if _, r := c.leader(); len(r.Group().Next) > 0 || r.Group().Has(out) {
		t.Errorf("the group change isn't finished a heartbeat later: %s", c.group())
	}
}

// A voter supports a lease only once its vote is on disk: one that restarted
// without it would take the leader before for the one it is bound to, and if that
// one has restarted as well, vote for another while the lease stands.
func TestVoteIsOnDiskBeforeHeartbeatIsAcked(t *testing.T) {
	for what, bind := range map[string]message.Message{
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
			t.Errorf("%s: it supports with %+v, to be saved is %+v", what, early, saves)
		}
		var late []message.Envelope
		for _, s := range saves {
			late = append(late, v.replica.Saved(s.Ticket).Sends...)
		}
		if len(late) == 0 || late[len(late)-1].Message.Kind != message.KindHeartbeatAck {
			t.Errorf("%s: once that is on disk: %+v", what, late)
		}
	}
}

// What a daemon sent in an earlier incarnation counts for nothing once a later one is
// known: its abandoning of a term would free a vote that the later incarnation won
// with, its vote request would bind the vote to an incarnation that has ended.
func TestMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	for what, late := range map[string]message.Message{
		"void": {Kind: message.KindAbandonTerm, Term: 6},
		"ask":  {Kind: message.KindRequestVote, Term: 6, Length: int64(fullLeaseWait)},
	} {
		v := restartedVoter(t)
		at := 2 * fullLeaseWait
		for epoch := uint64(1); epoch <= 2; epoch++ { // the first incarnation's number was not on its disk yet
			if ok, _ := v.requestVote(at, "b", epoch, 6); !ok {
				t.Fatalf("%s: incarnation %d has no vote", what, epoch)
			}
		}
		v.step(at, "b", 1, late)
		if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 || v.replica.isUnbound(at+1) {
			t.Errorf("%s of incarnation 1 after incarnation 2 won: bound to %+v, free %v", what, m, v.replica.isUnbound(at+1))
		}
	}
}

// A newcomer that is elected while the group change which brings it in is under way
// finishes that group change: as leader it holds all that there is. The replica that it
// replaces is gone for good, so until then the loss of one more would end all.
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
		t.Fatalf("no group change: %+v, the newcomer has %+v", r.Group(), c.replicas["d"].Group())
	}
	c.replicas[first].Resign()
	// There is no other candidate.
	others := func(m message.Message) bool { return m.Kind == message.KindRequestVote && m.From != "d" }
	c.isLost = func(_ string, m message.Message) bool { return m.Op == opJoin || others(m) }
	c.advance(3 * time.Second)
	c.isLost = func(_ string, m message.Message) bool { return others(m) }
	c.advance(2*time.Second, c.maintain("d"))
	id, r := c.leader()
	if id != "d" {
		t.Fatalf("%s leads", id)
	}
	if g := r.Group(); len(g.Next) > 0 || g.Has(gone) || !g.Has("d") {
		t.Errorf("the group change is still under way: %+v", g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.isDown[other] = true // one loss after another is what a group bears
	if !c.writeRecord("k") {
		t.Error("nothing is written after one more loss")
	}
}
