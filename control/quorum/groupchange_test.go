package quorum

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// The old group goes only when a majority of the next supports the lease: two
// steps in one lease would else end at a majority that knows of no leader, and
// elects a second one beside it.
func TestTheNextGroupSupportsTheLeaseBeforeItStandsAlone(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	_, out, _ := c.split()
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(_ string, n message.Message) bool {
		return n.Kind == message.KindHeartbeat || n.Kind == message.KindHeartbeatAck
	}
	c.replaceReplica(out, "d")
	c.deliver()
	for range 3 {
		c.maintain("d")()
		c.deliver()
	}
	if _, s := c.leader(); len(s.Group().Next) == 0 {
		t.Errorf("the old group is gone at once, and nobody of the next supports the lease: %s", c.group())
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(100*time.Millisecond+cfg.HeartbeatInterval, c.maintain("d"))
	if _, s := c.leader(); len(s.Group().Next) > 0 || s.Group().Has(out) {
		t.Errorf("the step isn't finished a beat later: %s", c.group())
	}
}

// A voter supports a lease only once its vote is on disk: one that restarted
// without it would take the leader before for the one it is bound to, and if that
// one has restarted as well, promise itself to another while the lease stands.
func TestAVoteIsOnDiskBeforeAHeartbeatIsAcked(t *testing.T) {
	for what, bind := range map[string]message.Message{
		"it joined the term by a fill": {Kind: message.KindInstallState, Term: 6, Group: three},
		"it promised":                  {Kind: message.KindRequestVote, Term: 6, Group: three, Length: int64(fullWait)},
	} {
		v := restartedVoter(t)
		at := 2 * fullWait
		hear := func(n message.Message) Out {
			n.From, n.Addr, n.Epoch, n.Partition = "b", "b", 1, 1
			return v.replica.Step(at, n)
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

// What a daemon sent in an earlier life counts for nothing once a later life is
// known: its void would free a vote that the later life won with, its question
// would bind the vote to a life that is over.
func TestMessagesOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	for what, late := range map[string]message.Message{
		"void": {Kind: message.KindAbandonTerm, Term: 6},
		"ask":  {Kind: message.KindRequestVote, Term: 6, Length: int64(fullWait)},
	} {
		v := restartedVoter(t)
		at := 2 * fullWait
		for life := uint64(1); life <= 2; life++ { // the first life's number was not on its disk yet
			if ok, _ := v.requestVote(at, "b", life, 6); !ok {
				t.Fatalf("%s: life %d is not promised", what, life)
			}
		}
		v.step(at, "b", 1, late)
		if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 || v.replica.isUnbound(at+1) {
			t.Errorf("%s of life 1 after life 2 won: bound to %+v, free %v", what, m, v.replica.isUnbound(at+1))
		}
	}
}

// A newcomer that is elected while the step which brings it in is under way
// finishes that step: as leader it holds all that there is. The replica that it
// replaces is gone for good, so until then the loss of one more would end all.
func TestANewcomerThatLeadsFinishesItsGroupChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	first, gone, other := c.split()
	c.advance(time.Second, c.maintain("d"))
	c.isDown[gone] = true
	c.isLost = func(_ string, n message.Message) bool { return n.Op == opJoin }
	c.replaceReplica(gone, "d")
	c.advance(100*time.Millisecond, c.maintain("d"))
	if _, s := c.leader(); len(s.Group().Next) == 0 || len(c.replicas["d"].Group().Next) == 0 {
		t.Fatalf("no step: %+v, the newcomer has %+v", s.Group(), c.replicas["d"].Group())
	}
	c.replicas[first].Resign()
	others := func(n message.Message) bool { return n.Kind == message.KindRequestVote && n.From != "d" } // nobody else stands
	c.isLost = func(_ string, n message.Message) bool { return n.Op == opJoin || others(n) }
	c.advance(3 * time.Second)
	c.isLost = func(_ string, n message.Message) bool { return others(n) }
	c.advance(2*time.Second, c.maintain("d"))
	id, s := c.leader()
	if id != "d" {
		t.Fatalf("%s leads", id)
	}
	if g := s.Group(); len(g.Next) > 0 || g.Has(gone) || !g.Has("d") {
		t.Errorf("the step is still under way: %+v", g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.isDown[other] = true // one loss after another is what a group bears
	if !c.write("k") {
		t.Error("nothing is written after one more loss")
	}
}
