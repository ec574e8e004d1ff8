package partition

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// returningLeader returns a partition on a daemon that led it, was killed during a change of the
// group and has restarted.
func returningLeader() *Partition {
	records := digest.NewRecords()
	records.Put(message.Record{Key: "k", Version: message.Version{Term: 4, Seq: 2}, Value: []byte("old")})
	only := []message.Replica{self}
	meta := quorum.Meta{
		VotedTerm: 4, VotedFor: self.Ident, VotedForEpoch: 1, CandidateTerm: 4, LastComplete: 4,
		Group: message.Group{Number: 1, Replicas: only, Next: only},
	}
	initial := quorum.InitialState{Partition: number, Self: self, Meta: meta, Records: records}
	replica := quorum.New(quorumConfig, initial, 0)
	return New(number, self, 2, replica, lease.New(leaseConfig, number, self, 2))
}

// expectReturn waits until the daemon leads again and returns the time. It checks that this takes
// at most 200 ms, that writes are deferred and that the committed record is served.
func expectReturn(t *testing.T, p *Partition) (now time.Duration) {
	t.Helper()
	for ; !p.IsLeader(now); now += 10 * time.Millisecond {
		syncSaves(p, now, p.Tick(now))
	}
	if now > 200*time.Millisecond {
		t.Fatalf("leader only after %v", now)
	}
	if wait := quorumConfig.Wait(quorumConfig.LeaderLease); p.WritesFrom() < wait {
		t.Fatalf("writes from %v, but leases granted by the previous incarnation may be valid until %v", p.WritesFrom(), wait)
	}
	if r, ok := p.Node.Get(now, "k"); !ok || string(r.Value) != "old" {
		t.Errorf("the committed record is not served: %q %v", r.Value, ok)
	}
	return now
}

// A restarted daemon that led the partition leads it again within 200 ms. It serves and grants the
// committed records, but neither writes nor changes the group until the leases granted by its
// earlier incarnation have expired. Then it runs the waiting jobs. If the leadership is lost before
// that, these jobs end with NotLeader.
func TestReturningLeaderDefersWrites(t *testing.T) {
	for _, lost := range []bool{false, true} {
		p := returningLeader()
		now := expectReturn(t, p)
		sync := func(out Out) Out { return syncSaves(p, now, out) }
		granted := connectChild(p, now, sync, "k").Sends
		if len(granted) != 1 || granted[0].Message.Length == 0 || len(granted[0].Message.Records) != 1 {
			t.Errorf("the child is not granted a lease: %+v", granted)
		}

		built := 0
		out := sync(p.Submit(now, 7, writeNew("k", &built)))
		sync(p.ContinueChange(now))
		for ; now < p.WritesFrom() && len(out.Results) == 0; now += 10 * time.Millisecond {
			if lost && now > 300*time.Millisecond {
				p.Replica.Resign()
				p.handleLeadershipLost(&out)
				continue
			}
			renew := message.Message{Kind: message.KindRenewLease, RequestID: uint64(now), VolumeEpoch: p.Node.VolumeEpoch()}
			sync(p.Step(now, fromChild(renew)))
			out = sync(p.Tick(now))
			if built > 0 || len(out.Sends) > 0 || p.Replica.Group().Number != 1 {
				t.Fatalf("at %v, writes from %v: built %d, sent %+v, group %+v",
					now, p.WritesFrom(), built, out.Sends, p.Replica.Group())
			}
		}
		if lost {
			if built > 0 || len(out.Results) != 1 || out.Results[0].Outcome != NotLeader {
				t.Errorf("leadership lost: built %d, results %+v", built, out.Results)
			}
			continue
		}
		out = sync(p.Tick(now))
		if built == 0 || len(out.Sends) != 1 || out.Sends[0].Message.Kind != message.KindInvalidate {
			t.Fatalf("after the wait: built %d, sent %+v, expected an invalidation", built, out.Sends)
		}
		invalidated := message.Message{
			Kind: message.KindInvalidated, Key: "k", ResponseTo: out.Sends[0].Message.ResponseTo,
		}
		out = sync(p.Step(now, fromChild(invalidated)))
		if len(out.Results) != 1 || out.Results[0].Outcome != Done {
			t.Errorf("after the wait: unexpected results %+v", out.Results)
		}
		if sync(p.ContinueChange(now)); p.Replica.Group().Number == 1 {
			t.Errorf("after the wait: the group did not change: %+v", p.Replica.Group())
		}
	}
}
