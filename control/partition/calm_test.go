package partition

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// A daemon that led the partition, was killed and is back owns it again at once:
// it serves and grants what was in force, and writes nothing, nor changes its
// group, until leases that it had granted before have lapsed. Then what waited
// is written. What waits when the leadership is lost was not done.
func TestReturningLeaderDefersWrites(t *testing.T) {
	cfg := quorum.Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, HeartbeatInterval: 333 * time.Millisecond}
	for _, lost := range []bool{false, true} {
		records := digest.NewRecords()
		records.Put(message.Record{Key: "k", Version: message.Version{Term: 4, Seq: 2}, Value: []byte("old")})
		meta := quorum.Meta{VotedTerm: 4, VotedFor: me.Ident, VotedForEpoch: 1, CandidateTerm: 4, LastComplete: 4, Group: message.Group{Number: 1, Replicas: []message.Replica{me}, Next: []message.Replica{me}}} // a change of the group was under way
		s := New(1, me, 2, quorum.New(cfg, 1, me, nil, meta, records, 0, false), lease.New(lease.Config{VolumeLease: vol, ObjectLease: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, RenewInterval: vol / 3}, 1, me, 2))
		var now time.Duration
		sync := func(o Out) (all Out) {
			all = o
			for len(o.Saves) > 0 {
				p := s.Saved(now, o.Saves[0].Ticket)
				o.Saves = append(o.Saves[1:], p.Saves...)
				all.Sends, all.Results = append(all.Sends, p.Sends...), append(all.Results, p.Results...)
			}
			return all
		}
		for ; !s.Leader(now); now += 10 * time.Millisecond {
			sync(s.Tick(now))
		}
		if now > 200*time.Millisecond {
			t.Fatalf("leader after %v", now)
		}
		if s.WritesFrom() < cfg.Wait(cfg.LeaderLease) {
			t.Fatalf("calm at %v, though leases of the life before may stand for %v", s.WritesFrom(), cfg.Wait(cfg.LeaderLease))
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Value) != "old" {
			t.Errorf("what is in force is not served: %q %v", r.Value, ok)
		}
		kid := func(n message.Message) []message.Envelope {
			n.Partition, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return sync(s.Step(now, n)).Sends
		}
		kid(message.Message{Kind: message.KindRenewLease, RequestID: 1})
		synced := kid(message.Message{Kind: message.KindLeaseList, RequestID: 2, VolumeEpoch: s.Node.VolumeEpoch()})
		kid(message.Message{Kind: message.KindReconnectDone, ResponseTo: synced[0].Message.RequestID, VolumeEpoch: s.Node.VolumeEpoch()})
		if out := kid(message.Message{Kind: message.KindRenewLease, RequestID: 3, VolumeEpoch: s.Node.VolumeEpoch(), Keys: []string{"k"}}); len(out) != 1 || out[0].Message.Length == 0 || len(out[0].Message.Records) != 1 {
			t.Errorf("a child is not granted leases: %+v", out)
		}

		made := false
		o := sync(s.Submit(now, 7, Job{Keys: []string{"k"}, Build: func(lease.RecordSource) ([]message.Record, any) {
			made = true
			return []message.Record{{Key: "k", Value: []byte("new")}}, nil
		}}))
		sync(s.ContinueChange(now))
		for ; now < s.WritesFrom() && len(o.Results) == 0; now += 10 * time.Millisecond {
			if lost && now > 300*time.Millisecond {
				s.Replica.Resign()
				s.handleLeadershipLost(&o)
				continue
			}
			kid(message.Message{Kind: message.KindRenewLease, RequestID: uint64(now), VolumeEpoch: s.Node.VolumeEpoch()})
			o = sync(s.Tick(now))
			if made || len(o.Sends) > 0 || s.Replica.Group().Number != 1 {
				t.Fatalf("at %v, calm at %v: made %v, sent %+v, group %+v", now, s.WritesFrom(), made, o.Sends, s.Replica.Group())
			}
		}
		if lost {
			if made || len(o.Results) != 1 || o.Results[0].Outcome != NotLeader {
				t.Errorf("the leadership lost: made %v, %+v", made, o.Results)
			}
			continue
		}
		o = sync(s.Tick(now))
		if !made || len(o.Sends) != 1 || o.Sends[0].Message.Kind != message.KindInvalidate {
			t.Fatalf("calm: made %v, sent %+v", made, o.Sends)
		}
		o = sync(s.Step(now, message.Message{Kind: message.KindInvalidated, Partition: 1, From: "kid", Epoch: 1, Addr: "10.0.0.2:1", Key: "k", ResponseTo: o.Sends[0].Message.ResponseTo}))
		if len(o.Results) != 1 || o.Results[0].Outcome != Done {
			t.Errorf("calm: %+v", o.Results)
		}
		if sync(s.ContinueChange(now)); s.Replica.Group().Number == 1 {
			t.Errorf("calm: group %+v", s.Replica.Group())
		}
	}
}
