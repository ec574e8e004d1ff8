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

// voter is replica a of three, driven by hand; what it saves is on disk at once.
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

// step gives the replica a message from one incarnation of another and returns its answers.
func (v *voter) step(now time.Duration, from string, epoch uint64, n message.Message) []message.Message {
	n.From, n.Addr, n.Epoch, n.Partition = from, from, epoch, 1
	if n.Kind == message.KindRequestVote {
		n.Group = v.replica.Group()
	}
	v.sent = nil
	v.apply(v.replica.Step(now, n))
	return v.sent
}

// requestVote has a candidate that may wait before it writes ask for a vote; it returns
// how long leases may stand by the replica's vote, or how long it is bound.
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

// votedForX is bound to term 5 of x's incarnation 3.
var votedForX = Meta{VotedTerm: 5, VotedFor: "x", VotedForEpoch: 3, LastComplete: 5, Group: threeReplicas}

// restartedVoter is a voter that starts at 0 and was bound to term 5 of x's incarnation 3.
func restartedVoter(t *testing.T) *voter {
	return &voter{t: t, replica: restartedReplica(cfg, threeReplicas.Replicas[0], votedForX, 0)}
}

// runningVoter is a voter that supported x's incarnation 3 at 10 s for the last time.
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

// A restarted voter that knows nothing of the leader's new incarnation waits out the
// lease that it may have supported; nor is a message of the leader's same incarnation, or
// of anybody else's new one, a sign that it is gone.
func TestRestartedVoterWaitsOutLease(t *testing.T) {
	v := restartedVoter(t)
	v.step(10*time.Millisecond, "x", 3, message.Message{Kind: message.KindRejectVote})
	v.step(20*time.Millisecond, "b", 9, message.Message{Kind: message.KindRejectVote})
	for _, at := range []time.Duration{30 * time.Millisecond, fullLeaseWait / 2, fullLeaseWait - 1} {
		if ok, left := v.requestVote(at, "b", 9, 6); ok || left != fullLeaseWait-at {
			t.Errorf("at %v: voted %v, %v left", at, ok, left)
		}
		if n := len(v.replica.Tick(at).Sends); n > 0 {
			t.Errorf("it is a candidate itself at %v", at)
		}
	}
	if ok, left := v.requestVote(fullLeaseWait, "b", 9, 6); !ok || left != 0 {
		t.Errorf("after the lease: voted %v, leases may stand for %v", ok, left)
	}
}

// A voter that heard of the leader's new incarnation, from whomever it may be asked,
// votes at once and tells how long leases under the old one may stand.
func TestVoterVotesAtOnceAfterLeaderRestart(t *testing.T) {
	last := 10 * time.Second
	for what, x := range map[string]struct {
		make func(*testing.T) *voter
		at   time.Duration
		till time.Duration
	}{
		"restarted": {restartedVoter, 300 * time.Millisecond, fullLeaseWait},
		"running":   {runningVoter, last + 300*time.Millisecond, last + fullLeaseWait},
	} {
		v := x.make(t)
		v.step(x.at, "x", 4, message.Message{Kind: message.KindRejectVote})
		if ok, left := v.requestVote(x.at+time.Millisecond, "b", 1, 6); !ok || left != x.till-x.at-time.Millisecond {
			t.Errorf("%s: asked by another: voted %v, leases may stand for %v", what, ok, left)
		}
		v = x.make(t)
		if ok, left := v.requestVote(x.at, "x", 4, 6); !ok || left != x.till-x.at {
			t.Errorf("%s: asked by the new incarnation itself: voted %v, leases may stand for %v", what, ok, left)
		}
		v = x.make(t) // and a pre-vote finds it free, and it is a candidate itself
		v.step(x.at, "x", 4, message.Message{Kind: message.KindRejectVote})
		preVote := message.VoteRequest{Term: 6, PreVote: true, WriteDelay: fullLeaseWait}.Message(1)
		if out := v.step(x.at, "b", 1, preVote); !isOnlyMessage(out, message.KindGrantVote) {
			t.Errorf("%s: asked for its pre-vote: %+v", what, out)
		}
		if n := len(v.replica.Tick(x.at + cfg.LeaderLease/4).Sends); n == 0 {
			t.Errorf("%s: it is no candidate itself", what)
		}
	}
}

// A candidate of a build that would write at once gets no vote early.
func TestNoEarlyVoteForEarlierBuild(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + 300*time.Millisecond
	v.step(at, "x", 4, message.Message{Kind: message.KindRejectVote})
	for _, op := range []string{opPreVote, ""} {
		out := v.step(at, "b", 1, message.Message{Kind: message.KindRequestVote, Op: op, Term: 6})
		if !isOnlyMessage(out, message.KindRejectVote) || out[0].Length != int64(10*time.Second+fullLeaseWait-at) {
			t.Errorf("%q: %+v", op, out)
		}
	}
	request := message.VoteRequest{Term: 6}.Message(1)
	if out := v.step(10*time.Second+fullLeaseWait, "b", 1, request); !isOnlyMessage(out, message.KindGrantVote) {
		t.Errorf("after the lease: %+v", out)
	}
}

// What the build before wrote names no incarnation: such a voter waits, whatever it
// hears.
func TestMetaOfEarlierBuild(t *testing.T) {
	var m Meta
	const stored = `{"Promised":5,"To":"x","Tried":2,"Set":5,"Group":{"Num":1,` +
		`"Seats":[{"Ident":"a","Addr":"a"},{"Ident":"b","Addr":"b"},{"Ident":"x","Addr":"x"}]}}`
	if err := json.Unmarshal([]byte(stored), &m); err != nil {
		t.Fatal(err)
	}
	if m.LastComplete != 5 || len(m.Group.Replicas) != 3 {
		t.Fatalf("what the earlier build wrote is read as %+v", m)
	}
	for _, to := range []string{"x", "a"} { // bound to another, or to itself
		m.VotedFor = to
		v := &voter{t: t, replica: restartedReplica(cfg, threeReplicas.Replicas[0], m, 0)}
		v.step(time.Millisecond, "x", 99, message.Message{Kind: message.KindRejectVote})
		if ok, left := v.requestVote(2*time.Millisecond, "b", 1, 6); ok || left != fullLeaseWait-2*time.Millisecond {
			t.Errorf("bound to %s: voted %v, %v left", to, ok, left)
		}
		if n := len(v.replica.Tick(fullLeaseWait - 1).Sends); n > 0 {
			t.Errorf("bound to %s: it is a candidate itself", to)
		}
	}
}

// elect has replica a win the pre-vote and the vote as of now, with b's vote saying that
// leases stand for so long, and b holding its records: a is leader then.
func (v *voter) elect(now, stand time.Duration) {
	v.t.Helper()
	for end := now + 3*time.Second; v.replica.role != candidate; now += 10 * time.Millisecond {
		if now > end {
			v.t.Fatal("it becomes no candidate")
		}
		for _, n := range v.tick(now) {
			if n.Kind == message.KindRequestVote && n.Op == opPreVote && n.To == "b" {
				if n.Length != int64(fullLeaseWait) {
					v.t.Errorf("a pre-vote that says that it writes nothing for %v", time.Duration(n.Length))
				}
				grant := message.VoteGrant{Term: v.replica.Term(), PreVote: true, Group: message.Group{Number: 1}}
				v.deliverToSelf(now, v.step(now, "b", 1, grant.Message(1)))
			}
		}
	}
	grant := message.VoteGrant{
		Term: v.replica.Term(), Group: message.Group{Number: 1},
		Digests: v.replica.Records().Digests(), LeasesStandFor: stand,
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

// deliverToSelf brings the replica its own messages, as control/partition does.
func (v *voter) deliverToSelf(now time.Duration, list []message.Message) {
	for _, n := range list {
		if n.To == "a" {
			n.From, n.Addr, n.Epoch, n.Partition = "a", "a", 1, 1
			v.sent = nil
			v.apply(v.replica.Step(now, n))
			v.deliverToSelf(now, v.sent)
		}
	}
}

// A new leader writes nothing for as long as any of its voters says that leases
// may stand, drift and all; an absurd length is not believed.
func TestLeaderDelaysWritesWhileEarlierLeasesAreValid(t *testing.T) {
	const elected = 10 * time.Second
	for stand, want := range map[time.Duration]time.Duration{
		0:                      0,
		700 * time.Millisecond: cfg.Wait(700 * time.Millisecond),
		1 << 62:                cfg.Wait(fullLeaseWait),
		-time.Hour:             0,
	} {
		v := restartedVoter(t)
		v.elect(elected, stand)
		from := v.replica.WritesFrom()
		isInTime := from >= elected+want && from <= elected+want+cfg.LeaderLease
		if want == 0 && from != 0 || want > 0 && !isInTime {
			t.Errorf("leases stand for %v: writes from %v", stand, from)
		}
	}
	// Its own voice counts like another's: it was bound to x until 11.04 s.
	v := runningVoter(t)
	v.step(10*time.Second+100*time.Millisecond, "x", 4, message.Message{Kind: message.KindRejectVote})
	v.elect(10*time.Second+110*time.Millisecond, 0)
	if from := v.replica.WritesFrom(); from < 10*time.Second+fullLeaseWait {
		t.Errorf("writes from %v, though its own voter knew of leases until %v", from, 10*time.Second+fullLeaseWait)
	}
}

// A leader that was elected early and is gone again, by a restart or since it
// stepped down, leaves the write delay to the next one.
func TestWriteDelayIsPassedToNextLeader(t *testing.T) {
	start := func() (*voter, time.Duration) { // b has the vote early, beside leases under x
		v := runningVoter(t)
		v.step(10*time.Second+100*time.Millisecond, "x", 4, message.Message{Kind: message.KindRejectVote})
		if ok, _ := v.requestVote(10*time.Second+200*time.Millisecond, "b", 1, 6); !ok {
			t.Fatal("no vote")
		}
		return v, 10*time.Second + 300*time.Millisecond
	}
	stands := 10*time.Second + fullLeaseWait
	v, at := start()
	if ok, left := v.requestVote(at, "b", 1, 7); !ok || left != stands-at {
		t.Errorf("asked again by the same incarnation: voted %v, leases may stand for %v", ok, left)
	}
	v, at = start()
	if ok, _ := v.requestVote(at, "x", 4, 7); ok {
		t.Error("voted for another while the early leader's lease stands")
	}
	v, at = start() // b may have granted until its own lease ends, 1.04 s after the vote
	v.step(at, "b", 2, message.Message{Kind: message.KindRejectVote})
	if ok, left := v.requestVote(at, "x", 4, 7); !ok || left != 10*time.Second+200*time.Millisecond+fullLeaseWait-at {
		t.Errorf("the early leader started anew: voted %v, leases may stand for %v", ok, left)
	}
}

// A candidate that gives its term up leaves the voter bound as it was: to
// nobody if the leader's new incarnation is known, and with the write delay still known.
func TestAbandonedTermRestoresPreviousVote(t *testing.T) {
	at := 10*time.Second + 100*time.Millisecond
	v := runningVoter(t)
	v.step(at, "x", 4, message.Message{Kind: message.KindRejectVote})
	before := v.replica.Meta()
	if ok, _ := v.requestVote(at, "b", 1, 6); !ok {
		t.Fatal("no vote")
	}
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	m := v.replica.Meta()
	if m.VotedTerm != 5 || m.VotedFor != "x" || m.VotedForEpoch != 3 || m.LastComplete != before.LastComplete {
		t.Errorf("bound to %+v", m)
	}
	stands := 10*time.Second + fullLeaseWait - at - time.Millisecond
	if ok, left := v.requestVote(at+time.Millisecond, "x", 4, 7); !ok || left < stands {
		t.Errorf("after the term was abandoned: voted %v, leases may stand for %v", ok, left)
	}

	// One that waited out the lease supports the leader again, should it be alive.
	v = runningVoter(t)
	at = 10*time.Second + fullLeaseWait
	v.requestVote(at, "b", 1, 6)
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	heartbeat := message.Heartbeat{Term: 5, Round: 1}.Message(1)
	if out := v.step(at, "x", 3, heartbeat); !isOnlyMessage(out, message.KindHeartbeatAck) {
		t.Errorf("after the term was abandoned: %+v", out)
	}

	// What it was bound to before is not known any more after a restart: the
	// abandoned term changes nothing, least of all to a lower term.
	v = runningVoter(t)
	v.requestVote(at, "b", 1, 6)
	v.replica = restartedReplica(cfg, threeReplicas.Replicas[0], v.replica.Meta(), at)
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" {
		t.Errorf("after a restart and an abandoned term: bound to %+v", m)
	}
}
