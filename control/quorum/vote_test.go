package quorum

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var (
	threeReplicas = message.Group{Number: 1, Replicas: replicasOf("a", "b", "x")}
	fullLeaseWait = cfg.Wait(cfg.LeaderLease) // how long a voter waits for a lease that it may have supported
)

// voter is replica a of three, stepped by the test. Its saves complete immediately.
type voter struct {
	t       *testing.T
	replica *Replica
	sent    []message.Message
}

func (v *voter) apply(o Out) {
	for _, m := range o.Sends {
		v.sent = append(v.sent, m.Message)
	}
	for _, s := range o.Saves {
		v.apply(v.replica.Saved(s.Ticket))
	}
}

// step delivers a message from an incarnation of another replica and returns the answers.
func (v *voter) step(now time.Duration, from string, epoch uint64, n message.Message) []message.Message {
	n.From, n.Addr, n.Epoch, n.Partition = from, from, epoch, 1
	if n.Kind == message.KindRequestVote {
		n.Group = v.replica.Group()
	}
	v.sent = nil
	v.apply(v.replica.Step(now, n))
	return v.sent
}

// requestVote requests a vote for a candidate that promises to delay its writes, and reports
// whether the vote was granted. If it was, the second result is how long earlier leases may
// be valid; otherwise, how long the voter is bound.
func (v *voter) requestVote(now time.Duration, from string, epoch, term uint64) (granted bool, left time.Duration) {
	v.t.Helper()
	out := v.step(now, from, epoch, message.Message{
		Kind: message.KindRequestVote, Term: term, Length: int64(fullLeaseWait),
	})
	if len(out) == 0 {
		v.t.Fatalf("term %d of %s: no answer", term, from)
	}
	last := out[len(out)-1]
	return last.Kind == message.KindGrantVote, time.Duration(last.Length)
}

// votedForX is the state of a voter bound to term 5 of x's incarnation 3.
var votedForX = Meta{VotedTerm: 5, VotedFor: "x", VotedForEpoch: 3, LastComplete: 5, Group: threeReplicas}

// restartedVoter returns a voter that restarts at time 0, bound to term 5 of x's
// incarnation 3.
func restartedVoter(t *testing.T) *voter {
	return &voter{t: t, replica: restartedReplica(cfg, threeReplicas.Replicas[0], votedForX, 0)}
}

// runningVoter returns a voter that last acknowledged x's incarnation 3 at 10 s.
func runningVoter(t *testing.T) *voter {
	v := restartedVoter(t)
	for at := 9 * time.Second; at <= 10*time.Second; at += 250 * time.Millisecond {
		heartbeat := message.Heartbeat{Term: 5, Round: uint64(at)}.Message(1)
		if out := v.step(at, "x", 3, heartbeat); !isOnlyMessage(out, message.KindHeartbeatAck) {
			t.Fatalf("%+v", out)
		}
	}
	return v
}

// A restarted voter that knows of no new incarnation of its leader must wait out the
// lease that it may have supported. A message of the same incarnation of the leader, or of a
// new incarnation of another replica, doesn't show that the leader has restarted.
func TestRestartedVoterWaitsOutLease(t *testing.T) {
	v := restartedVoter(t)
	v.step(10*time.Millisecond, "x", 3, message.Message{Kind: message.KindRejectVote})
	v.step(20*time.Millisecond, "b", 9, message.Message{Kind: message.KindRejectVote})
	for _, at := range []time.Duration{30 * time.Millisecond, fullLeaseWait / 2, fullLeaseWait - 1} {
		if granted, left := v.requestVote(at, "b", 9, 6); granted || left != fullLeaseWait-at {
			t.Errorf("at %v: voted %v, bound for %v", at, granted, left)
		}
		if n := len(v.replica.Tick(at).Sends); n > 0 {
			t.Errorf("it is itself a candidate at %v", at)
		}
	}
	if granted, left := v.requestVote(fullLeaseWait, "b", 9, 6); !granted || left != 0 {
		t.Errorf("after the lease: voted %v, earlier leases valid for %v", granted, left)
	}
}

// A voter that knows of a new incarnation of its leader must vote immediately, for any
// candidate, and state how long leases granted under the earlier incarnation may be valid.
func TestVoterVotesAtOnceAfterLeaderRestart(t *testing.T) {
	last := 10 * time.Second
	for name, tc := range map[string]struct {
		make  func(*testing.T) *voter
		at    time.Duration
		until time.Duration
	}{
		"restarted": {restartedVoter, 300 * time.Millisecond, fullLeaseWait},
		"running":   {runningVoter, last + 300*time.Millisecond, last + fullLeaseWait},
	} {
		v := tc.make(t)
		v.step(tc.at, "x", 4, message.Message{Kind: message.KindRejectVote})
		if granted, left := v.requestVote(tc.at+time.Millisecond, "b", 1, 6); !granted || left != tc.until-tc.at-time.Millisecond {
			t.Errorf("%s: requested by another replica: voted %v, earlier leases valid for %v", name, granted, left)
		}
		v = tc.make(t)
		if granted, left := v.requestVote(tc.at, "x", 4, 6); !granted || left != tc.until-tc.at {
			t.Errorf("%s: requested by the new incarnation: voted %v, earlier leases valid for %v", name, granted, left)
		}
		v = tc.make(t) // the voter also grants pre-votes, and becomes a candidate itself
		v.step(tc.at, "x", 4, message.Message{Kind: message.KindRejectVote})
		preVote := message.VoteRequest{Term: 6, PreVote: true, WriteDelay: fullLeaseWait}.Message(1)
		if out := v.step(tc.at, "b", 1, preVote); !isOnlyMessage(out, message.KindGrantVote) {
			t.Errorf("%s: pre-vote requested: %+v", name, out)
		}
		if n := len(v.replica.Tick(tc.at + cfg.LeaderLease/4).Sends); n == 0 {
			t.Errorf("%s: it did not become a candidate itself", name)
		}
	}
}

// A candidate of an earlier build, which would write immediately after its election, must
// not get a vote before the lease has expired.
func TestNoEarlyVoteForEarlierBuild(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + 300*time.Millisecond
	v.step(at, "x", 4, message.Message{Kind: message.KindRejectVote})
	for _, op := range []string{opPreVote, ""} {
		out := v.step(at, "b", 1, message.Message{Kind: message.KindRequestVote, Op: op, Term: 6})
		if !isOnlyMessage(out, message.KindRejectVote) || out[0].Length != int64(10*time.Second+fullLeaseWait-at) {
			t.Errorf("request with op %q before the lease has expired: %+v", op, out)
		}
	}
	request := message.VoteRequest{Term: 6}.Message(1)
	if out := v.step(10*time.Second+fullLeaseWait, "b", 1, request); !isOnlyMessage(out, message.KindGrantVote) {
		t.Errorf("after the lease: %+v", out)
	}
}

// State stored by an earlier build names no incarnation of the leader. A voter with such
// state must wait for the lease to expire even if it learns of a new incarnation.
func TestMetaOfEarlierBuild(t *testing.T) {
	var m Meta
	const stored = `{"Promised":5,"To":"x","Tried":2,"Set":5,"Group":{"Num":1,` +
		`"Seats":[{"Ident":"a","Addr":"a"},{"Ident":"b","Addr":"b"},{"Ident":"x","Addr":"x"}]}}`
	if err := json.Unmarshal([]byte(stored), &m); err != nil {
		t.Fatal(err)
	}
	if m.LastComplete != 5 || len(m.Group.Replicas) != 3 {
		t.Fatalf("state stored by the earlier build is read as %+v", m)
	}
	for _, to := range []string{"x", "a"} { // the voter is bound to another replica, or to itself
		m.VotedFor = to
		v := &voter{t: t, replica: restartedReplica(cfg, threeReplicas.Replicas[0], m, 0)}
		v.step(time.Millisecond, "x", 99, message.Message{Kind: message.KindRejectVote})
		if granted, left := v.requestVote(2*time.Millisecond, "b", 1, 6); granted || left != fullLeaseWait-2*time.Millisecond {
			t.Errorf("bound to %s: voted %v, bound for %v", to, granted, left)
		}
		if n := len(v.replica.Tick(fullLeaseWait - 1).Sends); n > 0 {
			t.Errorf("bound to %s: it is itself a candidate", to)
		}
	}
}

// elect makes replica a win an election that starts at now, and become leader. The vote of
// b states that earlier leases are valid for leasesValidFor, and b confirms that it holds the
// records.
func (v *voter) elect(now, leasesValidFor time.Duration) {
	v.t.Helper()
	for end := now + 3*time.Second; v.replica.role != candidate; now += 10 * time.Millisecond {
		if now > end {
			v.t.Fatal("the replica did not become a candidate")
		}
		for _, m := range v.tick(now) {
			if m.Kind == message.KindRequestVote && m.Op == opPreVote && m.To == "b" {
				if m.Length != int64(fullLeaseWait) {
					v.t.Errorf("a pre-vote request with a write delay of %v", time.Duration(m.Length))
				}
				grant := message.VoteGrant{Term: v.replica.Term(), PreVote: true, Group: message.Group{Number: 1}}
				v.deliverToSelf(now, v.step(now, "b", 1, grant.Message(1)))
			}
		}
	}
	grant := message.VoteGrant{
		Term: v.replica.Term(), Group: message.Group{Number: 1},
		Digests: v.replica.Records().Digests(), LeasesValidFor: leasesValidFor,
	}
	v.deliverToSelf(now, v.step(now, "b", 1, grant.Message(1)))
	v.deliverToSelf(now, v.step(now, "b", 1, message.StateInstalled{Term: v.replica.Term()}.Message(1)))
	if !v.replica.IsLeader(now) {
		v.t.Fatalf("no leader at %v", now)
	}
}

func (v *voter) tick(now time.Duration) []message.Message {
	v.sent = nil
	v.apply(v.replica.Tick(now))
	out := v.sent
	v.deliverToSelf(now, out)
	return out
}

// deliverToSelf delivers the replica's messages to itself, as control/partition does.
func (v *voter) deliverToSelf(now time.Duration, messages []message.Message) {
	for _, m := range messages {
		if m.To == "a" {
			m.From, m.Addr, m.Epoch, m.Partition = "a", "a", 1, 1
			v.sent = nil
			v.apply(v.replica.Step(now, m))
			v.deliverToSelf(now, v.sent)
		}
	}
}

// A new leader must not write until the earlier leases that any of its voters stated have
// expired, plus clock drift. Stated durations out of range are clamped.
func TestLeaderDelaysWritesWhileEarlierLeasesAreValid(t *testing.T) {
	const elected = 10 * time.Second
	for leasesValidFor, want := range map[time.Duration]time.Duration{
		0:                      0,
		700 * time.Millisecond: cfg.Wait(700 * time.Millisecond),
		1 << 62:                cfg.Wait(fullLeaseWait),
		-time.Hour:             0,
	} {
		v := restartedVoter(t)
		v.elect(elected, leasesValidFor)
		from := v.replica.WritesFrom()
		isInRange := from >= elected+want && from <= elected+want+cfg.LeaderLease
		if want == 0 && from != 0 || want > 0 && !isInRange {
			t.Errorf("earlier leases valid for %v: writes from %v", leasesValidFor, from)
		}
	}
	// The new leader's own vote counts too. The new leader had been bound to x until 11.04 s.
	v := runningVoter(t)
	v.step(10*time.Second+100*time.Millisecond, "x", 4, message.Message{Kind: message.KindRejectVote})
	v.elect(10*time.Second+110*time.Millisecond, 0)
	if from := v.replica.WritesFrom(); from < 10*time.Second+fullLeaseWait {
		t.Errorf("writes from %v, but its own vote stated leases until %v", from, 10*time.Second+fullLeaseWait)
	}
}

// If a leader that was elected while earlier leases were valid restarts or steps down,
// the next leader must observe the same write delay.
func TestWriteDelayIsPassedToNextLeader(t *testing.T) {
	start := func() (*voter, time.Duration) { // b gets the vote while leases granted under x are still valid
		v := runningVoter(t)
		v.step(10*time.Second+100*time.Millisecond, "x", 4, message.Message{Kind: message.KindRejectVote})
		if granted, _ := v.requestVote(10*time.Second+200*time.Millisecond, "b", 1, 6); !granted {
			t.Fatal("no vote granted to b")
		}
		return v, 10*time.Second + 300*time.Millisecond
	}
	leasesEnd := 10*time.Second + fullLeaseWait
	v, at := start()
	if granted, left := v.requestVote(at, "b", 1, 7); !granted || left != leasesEnd-at {
		t.Errorf("requested again by the same incarnation: voted %v, earlier leases valid for %v", granted, left)
	}
	v, at = start()
	if granted, _ := v.requestVote(at, "x", 4, 7); granted {
		t.Error("voted for another candidate while the lease of the leader elected early is valid")
	}
	v, at = start() // b may have granted leases until its own leader lease ends, 1.04 s after the vote
	v.step(at, "b", 2, message.Message{Kind: message.KindRejectVote})
	if granted, left := v.requestVote(at, "x", 4, 7); !granted || left != 10*time.Second+200*time.Millisecond+fullLeaseWait-at {
		t.Errorf("the leader elected early restarted: voted %v, earlier leases valid for %v", granted, left)
	}
}

// When a candidate abandons its term, the voter must be bound to its previous leader again.
// If a new incarnation of that leader is known, the voter may vote for another candidate, and
// still states how long earlier leases may be valid.
func TestAbandonedTermRestoresPreviousVote(t *testing.T) {
	at := 10*time.Second + 100*time.Millisecond
	v := runningVoter(t)
	v.step(at, "x", 4, message.Message{Kind: message.KindRejectVote})
	before := v.replica.Meta()
	if granted, _ := v.requestVote(at, "b", 1, 6); !granted {
		t.Fatal("no vote granted to b")
	}
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	m := v.replica.Meta()
	if m.VotedTerm != 5 || m.VotedFor != "x" || m.VotedForEpoch != 3 || m.LastComplete != before.LastComplete {
		t.Errorf("after the term was abandoned: bound to %+v", m)
	}
	minLeft := 10*time.Second + fullLeaseWait - at - time.Millisecond
	if granted, left := v.requestVote(at+time.Millisecond, "x", 4, 7); !granted || left < minLeft {
		t.Errorf("after the term was abandoned: voted %v, earlier leases valid for %v", granted, left)
	}

	// A voter that waited for the lease to expire supports the leader again if the leader is alive.
	v = runningVoter(t)
	at = 10*time.Second + fullLeaseWait
	v.requestVote(at, "b", 1, 6)
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	heartbeat := message.Heartbeat{Term: 5, Round: 1}.Message(1)
	if out := v.step(at, "x", 3, heartbeat); !isOnlyMessage(out, message.KindHeartbeatAck) {
		t.Errorf("heartbeat after the term was abandoned: %+v", out)
	}

	// After a restart the voter no longer knows its previous vote, so AbandonTerm must change
	// nothing and must not restore a lower term.
	v = runningVoter(t)
	v.requestVote(at, "b", 1, 6)
	v.replica = restartedReplica(cfg, threeReplicas.Replicas[0], v.replica.Meta(), at)
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" {
		t.Errorf("after a restart and an abandoned term: bound to %+v", m)
	}
}
