package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// A replica that was replaced, missed writes and joins again under the same leader must
// not vote before it holds these writes. Otherwise a write that two of three replicas held
// could remain on only one replica of the group.
func TestReturningReplicaIsCompleteBeforeItVotes(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	leaderID, keep, out := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.replaceReplica(out, "d")
	c.advance(time.Second, c.maintain())
	c.isLost = func(to string, m message.Message) bool {
		return to == out || to == keep && m.Kind == message.KindReplicate && len(m.Records) > 0
	}
	if !c.writeRecord("k") || c.holdsKey(keep, "k") || c.holdsKey(out, "k") || !c.holdsKey("d", "k") {
		t.Fatalf("group %s: holds the write: %s %v, %s %v, d %v",
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
			t.Fatalf("%s is in the group without the write, which only %s of the group holds", out, leaderID)
		}
	}
	if c.isLost = func(string, message.Message) bool { return false }; !c.holdsKey(out, "k") {
		t.Errorf("%s lacks the write; group %s", out, c.group())
	}
}

// If two leaders each begin a group change and then lose contact, two different groups
// exist. All replicas, including the earlier leader, must adopt the later leader's group.
func TestLaterLeadersGroupWins(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e"})
	c.advance(2 * time.Second)
	first, one, two := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d", "e"))
	c.isLost = func(string, message.Message) bool { return true }
	c.replaceReplica(one, "d") // all messages about this change are lost
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
		t.Errorf("%s has group %+v, the leader %s has %+v", first, got, id, want)
	}
	c.isDown[second] = true // one loss must leave a majority of both groups
	c.advance(4*time.Second, c.maintain("d", "e"))
	if id, _ := c.leader(); id == second || !c.writeRecord("k") {
		t.Errorf("a write was not committed after the loss of %s", second)
	}
}

// The next leader must finish a group change of its predecessor if the joining replica
// answers, and undo the change if it doesn't.
func TestNextLeaderFinishesOrUndoesGroupChange(t *testing.T) {
	for _, isJoiningUp := range []bool{true, false} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, two := c.leaderAndOthers()
		c.advance(time.Second, c.maintain("d"))
		c.replaceReplica(one, "d")
		// The joint group is replicated, but confirmations that d holds the complete state are lost.
		c.isLost = func(_ string, m message.Message) bool {
			return m.Op == opJoin || m.Kind == message.KindStateInstalled
		}
		c.deliver()
		if _, r := c.leader(); len(r.Group().Next) == 0 || len(c.replicas[two].Group().Next) == 0 {
			t.Fatalf("no group change in progress: %+v, %s has %+v", r.Group(), two, c.replicas[two].Group())
		}
		if c.isDown["d"] = !isJoiningUp; isJoiningUp {
			c.isDown[first] = true
		} else { // three replicas don't tolerate two simultaneous losses
			c.replicas[first].Resign()
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(6*time.Second, c.maintain("d"))
		id, r := c.leader()
		want := map[bool][]string{true: {first, two, "d"}, false: {"a", "b", "c"}}[isJoiningUp]
		slices.Sort(want)
		expected := fmt.Sprint(want)
		if id == one {
			expected = "[a b c]"
		}
		if got := c.group(); got != expected || len(r.Group().Next) > 0 {
			t.Errorf("joining replica up %v: leader %s, group %s, expected %v", isJoiningUp, id, got, expected)
		}
		if !c.writeRecord("k") {
			t.Errorf("joining replica up %v: a write was not committed", isJoiningUp)
		}
	}
}

// A leader must refuse to remove itself, to start a second group change during another,
// to admit a learner that isn't ready, and to start a change once it has resigned.
func TestInvalidGroupChangesAreRefused(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e", "f"})
	c.advance(2 * time.Second)
	leaderID, one, two := c.leaderAndOthers()
	r := c.replicas[leaderID]
	refused := func(name, out, in string) {
		t.Helper()
		if o, ok := r.ReplaceReplica(c.now, 0, out, replicaOf(in)); ok || len(o.Sends)+len(o.Saves) > 0 {
			t.Errorf("%s: the leader began to replace %s by %s", name, out, in)
		}
	}
	refused("a learner without a copy", one, "d")
	c.advance(time.Second, c.maintain("d", "e", "f"))
	refused("itself", leaderID, "d")
	refused("a daemon that is no replica", "e", "d")
	c.isDown["d"] = true
	c.advance(clusterConfig.LeaderLease+clusterConfig.HeartbeatInterval, c.maintain("d", "e", "f"))
	refused("a learner that is silent", one, "d")
	c.isDown["d"] = false
	c.advance(time.Second, c.maintain("d", "e", "f"))
	c.replicas["d"].Resign()
	c.advance(clusterConfig.HeartbeatInterval*2, c.maintain("d", "e", "f"))
	refused("a learner that is terminating", one, "d")
	c.replaceReplica(one, "e")
	refused("a second change", two, "f")
	if !r.LearnerReady(c.now, "f") {
		t.Error("f is not ready")
	}
	c.advance(time.Second, c.maintain("d", "e", "f"))
	r.Resign()
	refused("a resigned leader", two, one)
}

// A replica that was replaced while it was cut off as a candidate in a higher term must
// become a learner and be released from its vote in that term, so that it can join again.
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
	// Its stored state is that of a candidate in a higher term.
	meta.VotedTerm, meta.VotedFor, meta.VotedForEpoch, meta.CandidateTerm = 40, one, 1, 40
	c.replicas[one] = restartedReplica(clusterConfig, replicaOf(one), meta, c.now)
	c.isDown[one] = false
	c.advance(2*time.Second, c.maintain(one))
	id, r := c.leader()
	if !r.LearnerReady(c.now, one) || c.replicas[one].Group().Has(one) || c.replicas[one].Meta().CandidateTerm != 40 {
		t.Fatalf("%s is not a ready learner of %s: %+v", one, id, c.replicas[one].Meta())
	}
	c.replaceReplica(map[bool]string{true: two, false: "d"}[id != two], one)
	c.advance(time.Second, c.maintain("d"))
	if g := c.group(); !c.replicas[id].Group().Has(one) || len(c.replicas[id].Group().Next) > 0 {
		t.Errorf("%s is not a replica again: %s", one, g)
	}
}

// A resigned replica reports that it is terminating, and must not be treated as lost.
func TestTerminatingReplicaIsNotLost(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	leaderID, one, two := c.leaderAndOthers()
	r := c.replicas[leaderID]
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
	if r.IsLost(c.now, one) || !r.IsLost(c.now, two) || r.IsLost(c.now, leaderID) {
		t.Errorf("late: %s lost %v; %s lost %v; the leader itself lost %v",
			one, r.IsLost(c.now, one), two, r.IsLost(c.now, two), r.IsLost(c.now, leaderID))
	}
}

// A terminating replica may leave only after each other replica has answered a heartbeat
// that was sent after the leader learned of the termination. The replica may not leave if
// another replica was lost just before.
func TestTerminatingReplicaMayLeave(t *testing.T) {
	for _, otherIsLost := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, nil)
		c.advance(2 * time.Second)
		leaderID, one, two := c.leaderAndOthers()
		r := c.replicas[leaderID]
		c.isDown[two] = otherIsLost
		c.replicas[one].Resign()
		mayLeaveEarly := false
		c.advance(clusterConfig.HeartbeatInterval, func() {
			mayLeaveEarly = mayLeaveEarly || r.IsTerminating(one) && r.MayLeave(c.now, one)
		})
		if mayLeaveEarly {
			t.Errorf("another lost %v: may leave before a heartbeat was answered", otherIsLost)
		}
		c.advance(3 * clusterConfig.HeartbeatInterval)
		if !r.IsTerminating(one) || r.MayLeave(c.now, one) == otherIsLost {
			t.Errorf("another lost %v: terminating %v, may leave %v",
				otherIsLost, r.IsTerminating(one), r.MayLeave(c.now, one))
		}
	}
}

// A new leader measures its predecessor's silence from the predecessor's last heartbeat, so
// that a lost former leader is replaced no later than any other lost replica.
func TestFormerLeaderIsLostAfterSameDelay(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	first, _, _ := c.leaderAndOthers()
	lostAt := c.now
	c.isDown[first] = true
	c.advance(clusterConfig.LostAfter - 2*clusterConfig.HeartbeatInterval)
	if _, r := c.leader(); r.IsLost(c.now, first) || !r.MissedHeartbeats(c.now, first) {
		t.Errorf("%v after the loss: lost %v, missed heartbeats %v",
			c.now-lostAt, r.IsLost(c.now, first), r.MissedHeartbeats(c.now, first))
	}
	c.advance(2*clusterConfig.HeartbeatInterval + 20*time.Millisecond)
	_, r := c.leader()
	if !r.IsLost(c.now, first) {
		t.Errorf("%v after the loss the former leader is not reported as lost", c.now-lostAt)
	}
	for _, id := range []string{"a", "b", "c"} {
		if id != first && r.MissedHeartbeats(c.now, id) {
			t.Errorf("%s missed heartbeats", id)
		}
	}
}

// A pending write must not delay a group change. During the change, the pending write needs
// both majorities, like any other write.
func TestPendingWriteNeedsBothMajorities(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	leaderID, keep, out := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool {
		return to != leaderID && to != "d" && m.Kind == message.KindReplicate && len(m.Records) > 0
	}
	if c.writeRecord("k") {
		t.Fatal("a write was committed without a majority")
	}
	c.replaceReplica(out, "d")
	c.deliver()
	if g := c.replicas[leaderID].Group(); len(g.Next) == 0 || slices.Contains(c.results, WriteResult{9, Committed}) {
		t.Fatalf("results %v, with one replica of the old group and one more of the new: %+v", c.results, g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(time.Second, c.maintain("d"))
	isCommitted := slices.Contains(c.results, WriteResult{9, Committed})
	if !isCommitted || !c.holdsKey(keep, "k") || !c.holdsKey("d", "k") || c.replicas[leaderID].Group().Has(out) {
		t.Errorf("results %v, %s holds the record: %v, d holds it: %v, group %s",
			c.results, keep, c.holdsKey(keep, "k"), c.holdsKey("d", "k"), c.group())
	}
}

// Only the joining replica may confirm its copy, and only for the current group change.
// A learner's messages other than answers about its copy must be ignored.
func TestOnlyJoiningReplicaConfirmsItsCopy(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	leaderID, one, _ := c.leaderAndOthers()
	c.advance(time.Second, c.maintain("d"))
	r := c.replicas[leaderID]
	c.isLost = func(_ string, m message.Message) bool { return m.Op == opJoin }
	c.replaceReplica(one, "d")
	c.deliver()
	number := r.Group().Number
	for name, m := range map[string]message.Message{
		"of an earlier change":          {From: "d", Op: opJoin, Term: r.Term(), ResponseTo: number - 1},
		"of an earlier term":            {From: "d", Op: opJoin, Term: r.Term() - 1, ResponseTo: number},
		"of a daemon outside the group": {From: "z", Op: opJoin, Term: r.Term(), ResponseTo: number},
		"of an install without a join":  {From: "d", Term: r.Term()},
	} {
		m.Kind, m.Addr, m.Partition = message.KindStateInstalled, m.From, 1
		c.apply(leaderID, r.Step(c.now, m))
		c.apply(leaderID, r.ContinueChange(c.now, 0))
		c.deliver()
		if len(r.Group().Next) == 0 {
			t.Fatalf("a confirmation %s ended the group change", name)
		}
	}
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(time.Second, c.maintain("d")); len(r.Group().Next) > 0 || !r.Group().Has("d") {
		t.Errorf("the group change didn't end: %+v", r.Group())
	}
	high := r.Term() + 100 // a term that only a learner reports is no reason to step down
	rejection := message.VoteRejection{Term: r.Term(), VotedTerm: high}.Message(1)
	rejection.From, rejection.Addr = one, one
	c.apply(leaderID, r.Step(c.now, rejection))
	c.advance(repairIntervalLeases*clusterConfig.LeaderLease+time.Second, c.maintain(one))
	if !r.IsLeader(c.now) {
		t.Error("a learner's rejection ended the leadership")
	}
}

// A leader lease supported by the old replicas must hold during a group change: the
// new replicas must not elect a second leader while it is valid.
func TestLeaderLeaseHoldsDuringGroupChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	leaderID, keep, out := c.leaderAndOthers()
	begun := false
	step := func() {
		leaders := 0
		for _, r := range c.replicas {
			if r.IsLeader(c.now) {
				leaders++
			}
		}
		if leaders > 1 {
			t.Fatalf("%v: %d leaders; %s has %+v, %s has %+v",
				c.now, leaders, leaderID, c.replicas[leaderID].Group(), keep, c.replicas[keep].Group())
		}
		if r := c.replicas[leaderID]; !begun && r.SilentFor(c.now, "d") > clusterConfig.LeaderLease-30*time.Millisecond {
			c.replaceReplica(out, "d")
			begun = true
		}
	}
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool { return m.Kind == message.KindHeartbeat && to == keep }
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, m message.Message) bool {
		return m.Kind == message.KindHeartbeat && (to == keep || to == "d") || to == leaderID && m.From == keep
	}
	c.advance(3*time.Second, step, c.maintain("d"))
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(3*time.Second, step, c.maintain("d", out)); !begun || !c.writeRecord("k") {
		t.Errorf("group change begun %v, group %s, or a write was not committed", begun, c.group())
	}
}

// A group change must not end before a majority of the old group has committed it, even
// if the joining replica has confirmed its copy. This holds for a leader's own change
// and for one that it inherited from an earlier leader.
func TestGroupChangeEndsOnlyAfterOldMajorityHasIt(t *testing.T) {
	for _, isInherited := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, _ := c.leaderAndOthers()
		c.advance(time.Second, c.maintain("d"))
		leaderID := first
		if isInherited { // begun by the previous leader, with all messages about the change lost
			c.isLost = func(string, message.Message) bool { return true }
			c.replaceReplica(one, "d")
			c.deliver()
			c.isLost = func(to string, m message.Message) bool { return to == first || m.From == first }
			c.advance(4*time.Second, c.maintain("d"))
			leaderID, _ = c.leader()
		}
		r := c.replicas[leaderID]
		c.isLost = func(to string, m message.Message) bool {
			return to != leaderID && to != "d" && (m.Kind == message.KindReplicate || m.Kind == message.KindInstallState)
		}
		if !isInherited {
			c.replaceReplica(one, "d")
		}
		c.advance(clusterConfig.LeaderLease/2, c.maintain("d"))
		if g := r.Group(); len(g.Next) == 0 && g.Has("d") {
			t.Errorf("inherited %v: the group change ended without the old majority: %+v", isInherited, g)
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(2*time.Second, c.maintain("d"))
		if _, r := c.leader(); len(r.Group().Next) > 0 || !c.writeRecord("k") {
			t.Errorf("inherited %v: the group change didn't end: %+v", isInherited, r.Group())
		}
	}
}
