package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A replica that was replaced, missed writes and comes back under the same leader
// has no vote before it holds them: what two copies of three held is never left
// on one.
func TestAReturningReplicaHoldsAllBeforeItCounts(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.split()
	c.advance(time.Second, c.maintain("d"))
	c.replaceReplica(out, "d")
	c.advance(time.Second, c.maintain())
	c.isLost = func(to string, n message.Message) bool {
		return to == out || to == keep && n.Kind == message.KindReplicate && len(n.Records) > 0
	}
	if !c.write("k") || c.holds(keep, "k") || c.holds(out, "k") || !c.holds("d", "k") {
		t.Fatalf("group %s: %s has it: %v, %s: %v, d: %v", c.group(), keep, c.holds(keep, "k"), out, c.holds(out, "k"), c.holds("d", "k"))
	}
	c.isLost = func(to string, n message.Message) bool {
		return to == out && n.Kind == message.KindReplicate || to == keep && n.Kind == message.KindReplicate && len(n.Records) > 0
	}
	c.advance(time.Second, c.maintain(out))
	c.replaceReplica("d", out)
	for i := 0; i < 100; i++ {
		c.advance(10*time.Millisecond, c.maintain("d"))
		if c.group() == fmt.Sprint(slices.Sorted(slices.Values([]string{"a", "b", "c"}))) && !c.holds(out, "k") {
			t.Fatalf("%s counts and lacks the write, which only %s of the group holds", out, own)
		}
	}
	if c.isLost = func(string, message.Message) bool { return false }; !c.holds(out, "k") {
		t.Errorf("%s lacks the write; group %s", out, c.group())
	}
}

// Two leaders that each began a step and failed leave groups of their own: the
// later one's is taken by all, also by the earlier leader.
func TestTheLaterOfTwoLeadersGroupsWins(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e"})
	c.advance(2 * time.Second)
	first, one, two := c.split()
	c.advance(time.Second, c.maintain("d", "e"))
	c.isLost = func(string, message.Message) bool { return true }
	c.replaceReplica(one, "d") // nobody hears of it
	c.deliver()
	c.isLost = func(to string, n message.Message) bool { return to == first || n.From == first }
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
	id, s := c.leader()
	if got, want := c.replicas[first].Group(), s.Group(); !sameReplicas(got, want) {
		t.Errorf("%s has %+v, the leader %s has %+v", first, got, id, want)
	}
	c.isDown[second] = true // and one loss leaves a majority of both groups
	c.advance(4*time.Second, c.maintain("d", "e"))
	if id, _ := c.leader(); id == second || !c.write("k") {
		t.Errorf("nothing is written after the loss of %s", second)
	}
}

// A step that its leader began is finished by the next if the newcomer is there,
// and undone if not.
func TestTheNextLeaderFinishesOrUndoesAGroupChange(t *testing.T) {
	for _, there := range []bool{true, false} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, two := c.split()
		c.advance(time.Second, c.maintain("d"))
		c.replaceReplica(one, "d")
		c.isLost = func(to string, n message.Message) bool {
			return n.Op == opJoin || n.Kind == message.KindStateInstalled
		} // the step stands, and no word that d holds all
		c.deliver()
		if _, s := c.leader(); len(s.Group().Next) == 0 || len(c.replicas[two].Group().Next) == 0 {
			t.Fatalf("no step: %+v, %s has %+v", s.Group(), two, c.replicas[two].Group())
		}
		if c.isDown["d"] = !there; there {
			c.isDown[first] = true
		} else { // two losses at once are more than three replicas bear
			c.replicas[first].Resign()
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(6*time.Second, c.maintain("d"))
		id, s := c.leader()
		want := map[bool][]string{true: {first, two, "d"}, false: {"a", "b", "c"}}[there]
		slices.Sort(want)
		if got := c.group(); id == one && got != "[a b c]" || id != one && got != fmt.Sprint(want) || len(s.Group().Next) > 0 {
			t.Errorf("the newcomer there %v: %s owns, group %s, expected %v", there, id, got, want)
		}
		if !c.write("k") {
			t.Errorf("the newcomer there %v: nothing is written", there)
		}
	}
}

// A leader doesn't take itself out, begins no step beside another, takes none
// that isn't at hand, and none once it was told to end.
func TestGroupChangesThatDoNotBegin(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d", "e", "f"})
	c.advance(2 * time.Second)
	own, one, two := c.split()
	s := c.replicas[own]
	refused := func(what, out, in string) {
		t.Helper()
		if o, ok := s.ReplaceReplica(c.now, 0, out, replicaOf(in)); ok || len(o.Sends)+len(o.Saves) > 0 {
			t.Errorf("%s: %s is replaced by %s", what, out, in)
		}
	}
	refused("no copy", one, "d")
	c.advance(time.Second, c.maintain("d", "e", "f"))
	refused("itself", own, "d")
	refused("no replica", "e", "d")
	c.isDown["d"] = true
	c.advance(clusterConfig.LeaderLease+clusterConfig.HeartbeatInterval, c.maintain("d", "e", "f"))
	refused("a standby that is silent", one, "d")
	c.isDown["d"] = false
	c.advance(time.Second, c.maintain("d", "e", "f"))
	c.replicas["d"].Resign()
	c.advance(clusterConfig.HeartbeatInterval*2, c.maintain("d", "e", "f"))
	refused("a standby that ends", one, "d")
	c.replaceReplica(one, "e")
	refused("two at once", two, "f")
	if !s.LearnerReady(c.now, "f") {
		t.Error("f is not at hand")
	}
	c.advance(time.Second, c.maintain("d", "e", "f"))
	s.Resign()
	refused("told to end", two, one)
}

// A replica that was replaced while it was bound to a higher term is a standby
// at once, and keeps no term that it stood with.
func TestAReplacedReplicaBecomesALearner(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	_, one, two := c.split()
	c.advance(time.Second, c.maintain("d"))
	c.isDown[one] = true
	c.advance(3*time.Second, c.maintain("d"))
	c.replaceReplica(one, "d")
	c.advance(time.Second, c.maintain())
	meta := c.replicas[one].Meta()
	meta.VotedTerm, meta.VotedFor, meta.VotedForEpoch, meta.CandidateTerm = 40, one, 1, 40 // it stood while it was cut off
	c.replicas[one] = New(clusterConfig, 1, replicaOf(one), nil, meta, digest.NewRecords(), c.now, false)
	c.isDown[one] = false
	c.advance(2*time.Second, c.maintain(one))
	id, s := c.leader()
	if !s.LearnerReady(c.now, one) || c.replicas[one].Group().Has(one) || c.replicas[one].Meta().CandidateTerm != 40 {
		t.Fatalf("%s is no standby of %s: %+v", one, id, c.replicas[one].Meta())
	}
	c.replaceReplica(map[bool]string{true: two, false: "d"}[id != two], one)
	c.advance(time.Second, c.maintain("d"))
	if g := c.group(); !c.replicas[id].Group().Has(one) || len(c.replicas[id].Group().Next) > 0 {
		t.Errorf("%s has no replica again: %s", one, g)
	}
}

// A replica that is told to end says so, and is told from one that is silent.
func TestTerminatingAndLostReplicasDiffer(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	own, one, two := c.split()
	s := c.replicas[own]
	c.replicas[one].Resign()
	c.isDown[two] = true
	c.advance(clusterConfig.LostAfter - 2*clusterConfig.HeartbeatInterval)
	if !s.IsTerminating(one) || s.IsLost(c.now, one) || s.MissedHeartbeats(c.now, one) || s.IsTerminating(two) || s.IsLost(c.now, two) || !s.MissedHeartbeats(c.now, two) {
		t.Errorf("early: %s parting %v; %s gone %v missing %v", one, s.IsTerminating(one), two, s.IsLost(c.now, two), s.MissedHeartbeats(c.now, two))
	}
	c.advance(3 * clusterConfig.HeartbeatInterval)
	if s.IsLost(c.now, one) || !s.IsLost(c.now, two) || s.IsLost(c.now, own) {
		t.Errorf("late: %s gone %v; %s gone %v; the leader itself %v", one, s.IsLost(c.now, one), two, s.IsLost(c.now, two), s.IsLost(c.now, own))
	}
}

// One that was told to end is spared once each other replica has answered to
// what was sent since: not beside one that was lost just before, and not by a new
// leader before it knows.
func TestWhichReplicaMayLeave(t *testing.T) {
	for _, lost := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, nil)
		c.advance(2 * time.Second)
		own, one, two := c.split()
		s := c.replicas[own]
		c.isDown[two] = lost
		c.replicas[one].Resign()
		early := false
		c.advance(clusterConfig.HeartbeatInterval, func() { early = early || s.IsTerminating(one) && s.MayLeave(c.now, one) })
		if early {
			t.Errorf("another lost %v: spared before a renewal was answered", lost)
		}
		c.advance(3 * clusterConfig.HeartbeatInterval)
		if !s.IsTerminating(one) || s.MayLeave(c.now, one) == lost {
			t.Errorf("another lost %v: parting %v, spared %v", lost, s.IsTerminating(one), s.MayLeave(c.now, one))
		}
	}
}

// A new leader counts from when the one before was last there, so that the replica
// of one that is lost isn't kept for longer because it led the partition.
func TestAnEarlierLeaderIsLostAsSoonAsOthers(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, nil)
	c.advance(2 * time.Second)
	first, _, _ := c.split()
	lost := c.now
	c.isDown[first] = true
	c.advance(clusterConfig.LostAfter - 2*clusterConfig.HeartbeatInterval)
	if _, s := c.leader(); s.IsLost(c.now, first) || !s.MissedHeartbeats(c.now, first) {
		t.Errorf("%v after the loss: gone %v, missing %v", c.now-lost, s.IsLost(c.now, first), s.MissedHeartbeats(c.now, first))
	}
	c.advance(2*clusterConfig.HeartbeatInterval + 20*time.Millisecond)
	_, s := c.leader()
	if !s.IsLost(c.now, first) {
		t.Errorf("%v after the loss it is not gone", c.now-lost)
	}
	for _, id := range []string{"a", "b", "c"} {
		if id != first && s.MissedHeartbeats(c.now, id) {
			t.Errorf("%s is missing", id)
		}
	}
}

// A write that is under way doesn't hold a step up, and then needs both
// majorities like any other.
func TestAWriteUnderWayNeedsBothMajorities(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.split()
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, n message.Message) bool {
		return to != own && to != "d" && n.Kind == message.KindReplicate && len(n.Records) > 0
	}
	if c.write("k") {
		t.Fatal("written without a majority")
	}
	c.replaceReplica(out, "d")
	c.deliver()
	if g := c.replicas[own].Group(); len(g.Next) == 0 || slices.Contains(c.results, WriteResult{9, Committed}) {
		t.Fatalf("written %v by one of the old group and one more of the new: %+v", c.results, g)
	}
	c.isLost = func(string, message.Message) bool { return false }
	c.advance(time.Second, c.maintain("d"))
	if !slices.Contains(c.results, WriteResult{9, Committed}) || !c.holds(keep, "k") || !c.holds("d", "k") || c.replicas[own].Group().Has(out) {
		t.Errorf("done %v, %s has it: %v, d: %v, group %s", c.results, keep, c.holds(keep, "k"), c.holds("d", "k"), c.group())
	}
}

// A stranger's word on a copy, and one that was given before a step began,
// count for nothing; nor does a standby speak on anything but its copy.
func TestOnlyTheNewcomerConfirmsItsCopy(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, one, _ := c.split()
	c.advance(time.Second, c.maintain("d"))
	s := c.replicas[own]
	c.isLost = func(to string, n message.Message) bool { return n.Op == opJoin }
	c.replaceReplica(one, "d")
	c.deliver()
	step := s.Group().Number
	for what, n := range map[string]message.Message{
		"an earlier step's": {From: "d", Kind: message.KindStateInstalled, Op: opJoin, Term: s.Term(), ResponseTo: step - 1},
		"an earlier term's": {From: "d", Kind: message.KindStateInstalled, Op: opJoin, Term: s.Term() - 1, ResponseTo: step},
		"a stranger's":      {From: "z", Kind: message.KindStateInstalled, Op: opJoin, Term: s.Term(), ResponseTo: step},
		"a plain copy's":    {From: "d", Kind: message.KindStateInstalled, Term: s.Term()},
	} {
		n.Addr, n.Partition = n.From, 1
		c.apply(own, s.Step(c.now, n))
		c.apply(own, s.ContinueChange(c.now, 0))
		c.deliver()
		if len(s.Group().Next) == 0 {
			t.Fatalf("%s word ends the step", what)
		}
	}
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(time.Second, c.maintain("d")); len(s.Group().Next) > 0 || !s.Group().Has("d") {
		t.Errorf("the step doesn't end: %+v", s.Group())
	}
	high := s.Term() + 100 // one of whom we don't hear is no reason to give up
	c.apply(own, s.Step(c.now, message.Message{From: one, Addr: one, Kind: message.KindRejectVote, Partition: 1, Term: s.Term(), LastComplete: high}))
	c.advance(repairLeases*clusterConfig.LeaderLease+time.Second, c.maintain(one))
	if !s.Leader(c.now) {
		t.Error("a standby's refusal ended the leadership")
	}
}

// A lease that the old replicas gave holds over a change: no second leader is
// elected by the new ones while it lasts.
func TestALeaderLeaseHoldsOverAGroupChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
	c.advance(2 * time.Second)
	own, keep, out := c.split()
	begun := false
	step := func() {
		leaders := 0
		for _, s := range c.replicas {
			if s.Leader(c.now) {
				leaders++
			}
		}
		if leaders > 1 {
			t.Fatalf("%v: %d lead; %s has %+v, %s has %+v", c.now, leaders, own, c.replicas[own].Group(), keep, c.replicas[keep].Group())
		}
		if s := c.replicas[own]; !begun && s.SilentFor(c.now, "d") > clusterConfig.LeaderLease-30*time.Millisecond {
			c.replaceReplica(out, "d")
			begun = true
		}
	}
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, n message.Message) bool { return n.Kind == message.KindHeartbeat && to == keep }
	c.advance(time.Second, c.maintain("d"))
	c.isLost = func(to string, n message.Message) bool {
		return n.Kind == message.KindHeartbeat && (to == keep || to == "d") || to == own && n.From == keep
	}
	c.advance(3*time.Second, step, c.maintain("d"))
	c.isLost = func(string, message.Message) bool { return false }
	if c.advance(3*time.Second, step, c.maintain("d", out)); !begun || !c.write("k") {
		t.Errorf("begun %v, group %s", begun, c.group())
	}
}

// The new group doesn't stand alone before a majority of the old one has taken
// the step, whatever the newcomer says: neither in a step of this leader's own
// nor in one that it learned of in the middle of its term.
func TestAGroupChangeEndsOnlyOnceTheOldMajorityHasIt(t *testing.T) {
	for _, learned := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, []string{"d"})
		c.advance(2 * time.Second)
		first, one, _ := c.split()
		c.advance(time.Second, c.maintain("d"))
		own := first
		if learned { // the leader before began it, and nobody heard
			c.isLost = func(string, message.Message) bool { return true }
			c.replaceReplica(one, "d")
			c.deliver()
			c.isLost = func(to string, n message.Message) bool { return to == first || n.From == first }
			c.advance(4*time.Second, c.maintain("d"))
			own, _ = c.leader()
		}
		s := c.replicas[own]
		c.isLost = func(to string, n message.Message) bool {
			return to != own && to != "d" && (n.Kind == message.KindReplicate || n.Kind == message.KindInstallState)
		}
		if !learned {
			c.replaceReplica(one, "d")
		}
		c.advance(clusterConfig.LeaderLease/2, c.maintain("d"))
		if g := s.Group(); len(g.Next) == 0 && g.Has("d") {
			t.Errorf("learned %v: the new group stands alone: %+v", learned, g)
		}
		c.isLost = func(string, message.Message) bool { return false }
		c.advance(2*time.Second, c.maintain("d"))
		if _, s := c.leader(); len(s.Group().Next) > 0 || !c.write("k") {
			t.Errorf("learned %v: the step doesn't end: %+v", learned, s.Group())
		}
	}
}
