package quorum

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// A candidate that ends before its own vote is on disk leaves the same term to
// its next life. What voters promised to the first, held up on its way, is not
// the second's: it holds only the records that the first one's copy lacked.
func TestVotesForAnEarlierIncarnationDoNotCount(t *testing.T) {
	for _, x := range []struct {
		what string
		life uint64 // that b promised to; 0: b is of a build that doesn't say
		won  bool
	}{{"this life", 2, true}, {"an earlier life", 1, false}, {"a build that doesn't say", 0, true}} {
		s := New(cfg, 1, three.Replicas[0], nil, Meta{VotedTerm: 5, VotedFor: "x", VotedForEpoch: 3, LastComplete: 5, Group: three}, digest.NewRecords(), 0, false)
		now := time.Duration(0)
		var carry func(o Out)
		carry = func(o Out) {
			for _, v := range o.Saves {
				carry(s.Saved(v.Ticket))
			}
			for _, m := range o.Sends {
				n := m.Message
				n.From, n.Addr, n.Epoch = "a", "a", 2
				switch {
				case n.To == "a":
					carry(s.Step(now, n))
				case n.To == "b" && n.Kind == message.KindRequestVote && n.Op == opPreVote:
					carry(s.Step(now, message.Message{Kind: message.KindGrantVote, Op: opPreVote, From: "b", Addr: "b", Epoch: 1, Term: n.Term, Group: message.Group{Number: three.Number}}))
				case n.To == "b" && n.Kind == message.KindRequestVote:
					carry(s.Step(now, message.Message{Kind: message.KindGrantVote, From: "b", Addr: "b", Epoch: 1, Term: n.Term, ResponseTo: x.life, LastComplete: 5, Digests: digest.NewRecords().Digests(), Group: three}))
				}
			}
		}
		for ; s.Meta().CandidateTerm == 0 && now < 10*fullWait; now += 20 * time.Millisecond {
			carry(s.Tick(now))
		}
		if won := s.role == installing || s.role == leader; won != x.won {
			t.Errorf("promised to %s: won %v", x.what, won)
		}
	}
}

// A promise says which life of the candidate it is for.
func TestAVoteNamesTheIncarnationThatAsked(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullWait
	out := v.step(at, "b", 7, message.Message{Kind: message.KindRequestVote, Term: 6, Length: int64(fullWait)})
	if n := len(out); n == 0 || out[n-1].Kind != message.KindGrantVote || out[n-1].ResponseTo != 7 {
		t.Errorf("asked by life 7: %+v", out)
	}
}

// A void of an earlier life does not free a voter from what it promised to the
// next one under the same term.
func TestAnEarlierIncarnationAbandonsNoLaterVote(t *testing.T) {
	v := runningVoter(t)
	at := 10*time.Second + fullWait
	v.requestVote(at, "b", 1, 6)
	if ok, _ := v.requestVote(at, "b", 2, 6); !ok {
		t.Fatal("not promised to the next life")
	}
	v.step(at, "b", 1, message.Message{Kind: message.KindAbandonTerm, Term: 6})
	if m := v.replica.Meta(); m.VotedTerm != 6 || m.VotedFor != "b" || m.VotedForEpoch != 2 {
		t.Errorf("after a void of life 1: bound to %+v", m)
	}
}
