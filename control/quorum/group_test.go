package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// A replica that was replaced, missed writes and comes back under the same leader
// has no vote before it holds them: what two copies of three held is never left
// on one.
func TestReturningReplicaIsCompleteBeforeItVotes(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.replaceReplica(out, "d")
	c.advance(time.Second, c.maintain())
	c.isLost = func(to string, m message.Message) bool {
		return to == out || to == keep && m.Kind == message.KindReplicate && len(m.Records) > 0
	}
	if !c.writeRecord("k") || c.holdsKey(keep, "k") || c.holdsKey(out, "k") || !c.holdsKey("d", "k") {
		t.Fatalf("group %s: %s has it: %v, %s: %v, d: %v",
			c.group(), keep, c.holdsKey(keep, "k"), out, c.holdsKey(out, "k"), c.holdsKey("d", "k"))
	}
	c.isLost = func(to string, m message.Message) bool {
		return m.Kind == message.KindReplicate && (to == out || to == keep && len(m.Records) > 0)
	}
	c.advance(time.Second, c.maintain(out))
	c.replaceReplica("d", out)
	for i := 0; i < 100; i++ {
		c.advance(10*time.Millisecond, c.maintain("d"))
		if c.group() == fmt.Sprint(slices.Sorted(slices.Values([]string{"a", "b", "c"}))) && !c.holdsKey(out, "k") {
			t.Fatalf("%s counts and lacks the write, which only %s of the group holds", out, own)
		}
	}
	if c.isLost = func(string, message.Message) bool { return false }; !c.holdsKey(out, "k") {
		t.Errorf("%s lacks the write; group %s", out, c.group())
	}
}

// Two leaders that each began a group change and failed leave groups of their own: the
// later one's is taken by all, also by the earlier leader.
func TestLaterLeadersGroupWins(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e"})
	c.advance(2 * time.Second)
	first, one, two := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d", "e"))
	c.isLost = func(string, message.Message) bool { return true }
	c.replaceReplica(one, "d") // nobody hears of it
	c.deliver()
	c.isLost = func(to string, m message.Message) bool { return to == first || m.From == first }
	c.advance(4*time.Second, c.maintain("d", "e"))
	second, _ := c.leader()
	out := one
	if out == second {
		out = two
	}
	c.replaceReplica(out, "e")
	c.deliver()
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(time.Second)
	id, r := c.leader()
	if got, want := c.replicas[first].Group(), r.Group(); !sameReplicas(got, want) {
		t.Errorf("%s has %+v, the leader %s has %+v", first, got, id, want)
	}
	c.isDown[second] = true // and one loss leaves a majority of both groups
	c.advance(4*time.Second, c.maintain("d", "e"))
	if id, _ := c.leader(); id == second || !c.writeRecord("k") {
		t.Errorf("nothing is written after the loss of %s", second)
	}
}

// A group change that its leader began is finished by the next if the newcomer is there,
// and undone if not.
func TestNextLeaderFinishesOrUndoesGroupChange(t *testing.T) {
	for _, there := range []bool{true, false} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, two := c.leaderAndOthers()
		c.advance(time.Second, c.maintain("d"))
		c.replaceReplica(one, "d")
		// The group change stands, and no word that d holds all.
		c.isLost = func(_ string, m message.Message) bool {
			return m.Op == opJoin || m.Kind == message.KindStateInstalled
		}
		c.deliver()
		if _, r := c.leader(); len(r.Group().Next) == 0 || len(c.replicas[two].Group().Next) == 0 {
			t.Fatalf("no group change: %+v, %s has %+v", r.Group(), two, c.replicas[two].Group())
		}
		if c.isDown["d"] = !there; there {
			c.isDown[first] = true
		} else { // two losses at once are more than three replicas bear
			c.replicas[first].Resign()
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(6*time.Second, c.maintain("d"))
		id, r := c.leader()
		want := map[bool][]string{true: {first, two, "d"}, false: {"a", "b", "c"}}[there]
		slices.Sort(want)
		expected := fmt.Sprint(want)
		if id == one {
			expected = "[a b c]"
		}
		if got := c.group(); got != expected || len(r.Group().Next) > 0 {
			t.Errorf("the newcomer there %v: %s leads, group %s, expected %v", there, id, got, expected)
		}
		if !c.writeRecord("k") {
			t.Errorf("the newcomer there %v: nothing is written", there)
		}
	}
}

// A leader doesn't take itself out, begins no group change beside another, takes none
// that isn't ready, and none once it was asked to end.
func TestInvalidGroupChangesAreRefused(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e", "f"})
	c.advance(2 * time.Second)
	own, one, two := c.leaderAndOthers()
	r := c.replicas[own]
	refused := func(what, out, in string) {
		t.Helper()
		if o, ok := r.ReplaceReplica(c.now, 0, out, replicaOf(in)); ok || len(o.Sends)+len(o.Saves) > 0 {
			t.Errorf("%s: %s is replaced by %s", what, out, in)
		}
	}
	refused("no copy", one, "d")
	c.advance(time.Second, c.maintain("d", "e", "f"))
	refused("itself", own, "d")
	refused("no replica", "e", "d")
	c.isDown["d"] = true
	c.advance(clusterConfig.LeaderLease+clusterConfig.HeartbeatInterval, c.maintain("d", "e", "f"))
	refused("a learner that is silent", one, "d")
	c.isDown["d"] = false
	c.advance(time.Second, c.maintain("d", "e", "f"))
	c.replicas["d"].Resign()
	c.advance(clusterConfig.HeartbeatInterval*2, c.maintain("d", "e", "f"))
	refused("a learner that ends", one, "d")
	c.replaceReplica(one, "e")
	refused("two at once", two, "f")
	if !r.LearnerReady(c.now, "f") {
		t.Error("f is not ready")
	}
	c.advance(time.Second, c.maintain("d", "e", "f"))
	r.Resign()
	refused("asked to end", two, one)
}

// A replica that was replaced while it was bound to a higher term is a learner
// at once, and keeps no term that it stood with.
func TestReplacedReplicaBecomesLearner(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	_, one, two := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.isDown[one] = true
	c.advance(3*time.Second, c.maintain("d"))
	c.replaceReplica(one, "d")
	c.advance(time.Second, c.maintain())
	meta := c.replicas[one].Meta()
	// It was a candidate while it was cut off.
	meta.VotedTerm, meta.VotedFor, meta.VotedForEpoch, meta.CandidateTerm = 40, one, 1, 40
	c.replicas[one] = restartedReplica(clusterConfig, replicaOf(one), meta, c.now)
	c.isDown[one] = false
	c.advance(2*time.Second, c.maintain(one))
	id, r := c.leader()
	if !r.LearnerReady(c.now, one) || c.replicas[one].Group().Has(one) || c.replicas[one].Meta().CandidateTerm != 40 {
		t.Fatalf("%s is no learner of %s: %+v", one, id, c.replicas[one].Meta())
	}
	c.replaceReplica(map[bool]string{true: two, false: "d"}[id != two], one)
	c.advance(time.Second, c.maintain("d"))
	if g := c.group(); !c.replicas[id].Group().Has(one) || len(c.replicas[id].Group().Next) > 0 {
		t.Errorf("%s has no replica again: %s", one, g)
	}
}

// A replica that is asked to end says so, and differs from one that is silent.
func TestTerminatingReplicaIsNotLost(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	own, one, two := c.leaderAndOthers()
	r := c.replicas[own]
	c.replicas[one].Resign()
	c.isDown[two] = true
	c.advance(clusterConfig.LostAfter - 2*clusterConfig.HeartbeatInterval)
	if !r.IsTerminating(one) || r.IsLost(c.now, one) || r.MissedHeartbeats(c.now, one) {
		t.Errorf("early: %s terminating %v, lost %v, missed heartbeats %v",
			one, r.IsTerminating(one), r.IsLost(c.now, one), r.MissedHeartbeats(c.now, one))
	}
	if r.IsTerminating(two) || r.IsLost(c.now, two) || !r.MissedHeartbeats(c.now, two) {
		t.Errorf("early: %s terminating %v, lost %v, missed heartbeats %v",
			two, r.IsTerminating(two), r.IsLost(c.now, two), r.MissedHeartbeats(c.now, two))
	}
	c.advance(3 * clusterConfig.HeartbeatInterval)
	if r.IsLost(c.now, one) || !r.IsLost(c.now, two) || r.IsLost(c.now, own) {
		t.Errorf("late: %s lost %v; %s lost %v; the leader itself %v",
			one, r.IsLost(c.now, one), two, r.IsLost(c.now, two), r.IsLost(c.now, own))
	}
}

// One that was asked to end is free to leave once each other replica has answered to
// what was sent since: not beside one that was lost just before, and not by a new
// leader before it knows.
func TestTerminatingReplicaMayLeave(t *testing.T) {
	for _, lost := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, nil)
		c.advance(2 * time.Second)
		own, one, two := c.leaderAndOthers()
		r := c.replicas[own]
		c.isDown[two] = lost
		c.replicas[one].Resign()
		early := false
		c.advance(clusterConfig.HeartbeatInterval, func() { early = early || r.IsTerminating(one) && r.MayLeave(c.now, one) })
		if early {
			t.Errorf("another lost %v: free to leave before a renewal was answered", lost)
		}
		c.advance(3 * clusterConfig.HeartbeatInterval)
		if !r.IsTerminating(one) || r.MayLeave(c.now, one) == lost {
			t.Errorf("another lost %v: terminating %v, free to leave %v", lost, r.IsTerminating(one), r.MayLeave(c.now, one))
		}
	}
}

// A new leader counts from when the one before was last there, so that the replica
// of one that is lost isn't kept for longer because it led the partition.
func TestFormerLeaderIsLostAfterSameDelay(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	first, _, _ := c.leaderAndOthers()
	lost := c.now
	c.isDown[first] = true
	c.advance(clusterConfig.LostAfter - 2*clusterConfig.HeartbeatInterval)
	if _, r := c.leader(); r.IsLost(c.now, first) || !r.MissedHeartbeats(c.now, first) {
		t.Errorf("%v after the loss: lost %v, missed heartbeats %v",
			c.now-lost, r.IsLost(c.now, first), r.MissedHeartbeats(c.now, first))
	}
	c.advance(2*clusterConfig.HeartbeatInterval + 20*time.Millisecond)
	_, r := c.leader()
	if !r.IsLost(c.now, first) {
		t.Errorf("%v after the loss it is not gone", c.now-lost)
	}
	for _, id := range []string{"a", "b", "c"} {
		if id != first && r.MissedHeartbeats(c.now, id) {
			t.Errorf("%s is missing", id)
		}
	}
}

// A write that is under way doesn't hold a group change up, and then needs both
// majorities like any other.
func TestPendingWriteNeedsBothMajorities(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool {
		return to != own && to != "d" && m.Kind == message.KindReplicate && len(m.Records) > 0
	}
	if c.writeRecord("k") {
		t.Fatal("written without a majority")
	}
	c.replaceReplica(out, "d")
	c.deliver()
	if g := c.replicas[own].Group(); len(g.Next) == 0 || slices.Contains(c.results, WriteResult{9, Committed}) {
		t.Fatalf("written %v by one of the old group and one more of the new: %+v", c.results, g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(time.Second, c.maintain("d"))
	isCommitted := slices.Contains(c.results, WriteResult{9, Committed})
	if !isCommitted || !c.holdsKey(keep, "k") || !c.holdsKey("d", "k") || c.replicas[own].Group().Has(out) {
		t.Errorf("results %v, %s holds the record: %v, d holds it: %v, group %s",
			c.results, keep, c.holdsKey(keep, "k"), c.holdsKey("d", "k"), c.group())
	}
}

// A stranger's word on a copy, and one that was given before a group change began,
// count for nothing; nor does a learner speak on anything but its copy.
func TestOnlyJoiningReplicaConfirmsItsCopy(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, one, _ := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	r := c.replicas[own]
	c.isLost = func(_ string, m message.Message) bool { return m.Op == opJoin }
	c.replaceReplica(one, "d")
	c.deliver()
	number := r.Group().Number
	for what, m := range map[string]message.Message{
		"an earlier change's": {From: "d", Op: opJoin, Term: r.Term(), ResponseTo: number - 1},
		"an earlier term's":   {From: "d", Op: opJoin, Term: r.Term() - 1, ResponseTo: number},
		"a stranger's":        {From: "z", Op: opJoin, Term: r.Term(), ResponseTo: number},
		"a plain copy's":      {From: "d", Term: r.Term()},
	} {
		m.Kind, m.Addr, m.Partition = message.KindStateInstalled, m.From, 1
		c.apply(own, r.Step(c.now, m))
		c.apply(own, r.ContinueChange(c.now, 0))
		c.deliver()
		if len(r.Group().Next) == 0 {
			t.Fatalf("%s word ends the group change", what)
		}
	}
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(time.Second, c.maintain("d")); len(r.Group().Next) > 0 || !r.Group().Has("d") {
		t.Errorf("the group change doesn't end: %+v", r.Group())
	}
	high := r.Term() + 100 // one of whom we don't hear is no reason to step down
	rejection := message.VoteRejection{Term: r.Term(), VotedTerm: high}.Message(1)
	rejection.From, rejection.Addr = one, one
	c.apply(own, r.Step(c.now, rejection))
	c.advance(repairIntervalLeases*clusterConfig.LeaderLease+time.Second, c.maintain(one))
	if !r.IsLeader(c.now) {
		t.Error("a learner's refusal ended the leadership")
	}
}

// A lease that the old replicas gave holds over a change: no second leader is
// elected by the new ones while it lasts.
func TestLeaderLeaseHoldsDuringGroupChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.leaderAndOthers()
	begun := false
	step := func() {
		leaders := 0
		for _, r := range c.replicas {
			if r.IsLeader(c.now) {
				leaders++
			}
		}
		if leaders > 1 {
			t.Fatalf("%v: %d lead; %s has %+v, %s has %+v",
				c.now, leaders, own, c.replicas[own].Group(), keep, c.replicas[keep].Group())
		}
		if r := c.replicas[own]; !begun && r.SilentFor(c.now, "d") > clusterConfig.LeaderLease-30*time.Millisecond {
			c.replaceReplica(out, "d")
			begun = true
		}
	}
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool { return m.Kind == message.KindHeartbeat && to == keep }
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool {
		return m.Kind == message.KindHeartbeat && (to == keep || to == "d") || to == own && m.From == keep
	}
	c.advance(3*time.Second, step, c.maintain("d"))
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(3*time.Second, step, c.maintain("d", out)); !begun || !c.writeRecord("k") {
		t.Errorf("begun %v, group %s", begun, c.group())
	}
}

// The new group doesn't stand alone before a majority of the old one has taken
// the group change, whatever the newcomer says: neither in one of this leader's own
// nor in one that it learned of in the middle of its term.
func TestGroupChangeEndsOnlyAfterOldMajorityHasIt(t *testing.T) {
	for _, learned := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, _ := c.leaderAndOthers()
		c.advance(time.Second, c.maintain("d"))
		own := first
		if learned { // the leader before began it, and nobody heard
			c.isLost = func(string, message.Message) bool { return true }
			c.replaceReplica(one, "d")
			c.deliver()
			c.isLost = func(to string, m message.Message) bool { return to == first || m.From == first }
			c.advance(4*time.Second, c.maintain("d"))
			own, _ = c.leader()
		}
		r := c.replicas[own]
		c.isLost = func(to string, m message.Message) bool {
			return to != own && to != "d" && (m.Kind == message.KindReplicate || m.Kind == message.KindInstallState)
		}
		if !learned {
			c.replaceReplica(one, "d")
		}
		c.advance(clusterConfig.LeaderLease/2, c.maintain("d"))
		if g := r.Group(); len(g.Next) == 0 && g.Has("d") {
			t.Errorf("learned %v: the new group stands alone: %+v", learned, g)
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(2*time.Second, c.maintain("d"))
		if _, r := c.leader(); len(r.Group().Next) > 0 || !c.writeRecord("k") {
			t.Errorf("learned %v: the group change doesn't end: %+v", learned, r.Group())
		}
	}
}
