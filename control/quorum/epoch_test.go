package quorum

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A candidate that stops before its own vote is on disk may use the same term again in
// its next incarnation. Delayed votes for the first incarnation must not count for the
// second, since these votes hold only the records that the first incarnation's copy lacked.
func TestVotesForEarlierIncarnationAreIgnored(t *testing.T) {
	for _, tc := range []struct {
		name  string
		epoch uint64 // the incarnation that b voted for; 0 if b is an earlier build, which doesn't send it
		won   bool
	}{{"this incarnation", 2, true}, {"an earlier incarnation", 1, false}, {"an unnamed incarnation", 0, true}} {
		r := restartedReplica(cfg, threeReplicas.Replicas[0], votedForX, 0)
		now := time.Duration(0)
		var apply func(o Out)
		fromB := func(m message.Message) {
			m.From, m.Addr, m.Epoch = "b", "b", 1
			apply(r.Step(now, m))
		}
		apply = func(o Out) {
			for _, v := range o.Saves {
				apply(r.Saved(v.Ticket))
			}
			for _, envelope := range o.Sends {
				m := envelope.Message
				m.From, m.Addr, m.Epoch = "a", "a", 2
				switch {
				case m.To == "a":
					apply(r.Step(now, m))
				case m.To == "b" && m.Kind == message.KindRequestVote && m.Op == opPreVote:
					group := message.Group{Number: threeReplicas.Number}
					fromB(message.VoteGrant{Term: m.Term, PreVote: true, Group: group}.Message(1))
				case m.To == "b" && m.Kind == message.KindRequestVote:
					fromB(message.VoteGrant{
						Term: m.Term, CandidateEpoch: tc.epoch, LastCompleteTerm: 5,
						Digests: digest.NewRecords().Digests(), Group: threeReplicas,
					}.Message(1))
				}
			}
		}
		for ; r.Meta().CandidateTerm == 0 && now < 10*fullLeaseWait; now += 20 * time.Millisecond {
			apply(r.Tick(now))
		}
		if won := r.role == installing || r.role == leader; won != tc.won {
			t.Errorf("voted for %s: won %v", tc.name, won)
		}
	}
}

// A vote must name the incarnation of the candidate that requested it.
func TestVoteNamesRequestingIncarnation(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullLeaseWait
	out := v.step(at, "b", 7, message.Message{Kind: message.KindRequestVote, Term: 6, Length: int64(fullLeaseWait)})
	if n := len(out); n == 0 || out[n-1].Kind != message.KindGrantVote || out[n-1].ResponseTo != 7 {
		t.Errorf("requested by incarnation 7: %+v", out)
	}
}

// An incarnation that abandons a term must not withdraw the vote for another
// incarnation in the same term, whether the other incarnation is later or earlier.
func TestAbandonTermAppliesOnlyToItsIncarnation(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullLeaseWait
	v.requestVote(at, "b", 1, 6)
	if ok, _ := v.requestVote(at, "b", 2, 6); !ok {
		t.Fatal("no vote granted to the next incarnation")
	}
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 {
		t.Errorf("after incarnation 1 abandoned the term: bound to %+v", m)
	}

	v = runningVoter(t)
	v.requestVote(at, "b", 1, 6)
	v.step(at, "b", 2, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 1 {
		t.Errorf("after incarnation 2 abandoned the term: bound to %+v", m)
	}
}
