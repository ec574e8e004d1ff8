package quorum

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A candidate that ends before its own vote is on disk leaves the same term to
// its next incarnation. The votes for the first, held up on their way, are not
// the second's: they hold only the records that the first one's copy lacked.
func TestVotesForEarlierIncarnationAreIgnored(t *testing.T) {
	for _, x := range []struct {
		what  string
		epoch uint64 // that b voted for; 0: b is of a build that doesn't say
		won   bool
	}{{"this incarnation", 2, true}, {"an earlier incarnation", 1, false}, {"a build that doesn't say", 0, true}} {
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
						Term: m.Term, CandidateEpoch: x.epoch, LastCompleteTerm: 5,
						Digests: digest.NewRecords().Digests(), Group: threeReplicas,
					}.Message(1))
				}
			}
		}
		for ; r.Meta().CandidateTerm == 0 && now < 10*fullLeaseWait; now += 20 * time.Millisecond {
			apply(r.Tick(now))
		}
		if won := r.role == installing || r.role == leader; won != x.won {
			t.Errorf("voted for %s: won %v", x.what, won)
		}
	}
}

// A vote says which incarnation of the candidate it is for.
func TestVoteNamesRequestingIncarnation(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullLeaseWait
	out := v.step(at, "b", 7, message.Message{Kind: message.KindRequestVote, Term: 6, Length: int64(fullLeaseWait)})
	if n := len(out); n == 0 || out[n-1].Kind != message.KindGrantVote || out[n-1].ResponseTo != 7 {
		t.Errorf("asked by incarnation 7: %+v", out)
	}
}

// An incarnation that abandons a term does not free a voter from its vote for another
// incarnation in the same term, be that a later one or an earlier.
func TestAbandonTermAppliesOnlyToItsIncarnation(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullLeaseWait
	v.requestVote(at, "b", 1, 6)
	if ok, _ := v.requestVote(at, "b", 2, 6); !ok {
		t.Fatal("no vote for the next incarnation")
	}
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 {
		t.Errorf("after an abandoned term of incarnation 1: bound to %+v", m)
	}

	v = runningVoter(t)
	v.requestVote(at, "b", 1, 6)
	v.step(at, "b", 2, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 1 {
		t.Errorf("after an abandoned term of incarnation 2: bound to %+v", m)
	}
}
