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
func TestAnEarlyLeaderWritesLater(t *testing.T) {
	cfg := quorum.Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: 333 * time.Millisecond}
	for _, lost := range []bool{false, true} {
		records := digest.NewRecords()
		records.Put(message.Rec{Key: "k", Ver: message.Ver{Term: 4, Seq: 2}, Val: []byte("old")})
		meta := quorum.Meta{Promised: 4, To: me.Ident, ToEpoch: 1, Tried: 4, LastComplete: 4, Group: message.Group{Num: 1, Replicas: []message.Replica{me}, Next: []message.Replica{me}}} // a change of the group was under way
		s := New(1, me, 2, quorum.New(cfg, 1, me, nil, meta, records, 0, false), lease.New(lease.Config{Vol: vol, Obj: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: vol / 3}, 1, me, 2))
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
		if s.Calm() < cfg.Wait(cfg.LeaderLease) {
			t.Fatalf("calm at %v, though leases of the life before may stand for %v", s.Calm(), cfg.Wait(cfg.LeaderLease))
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Val) != "old" {
			t.Errorf("what is in force is not served: %q %v", r.Val, ok)
		}
		kid := func(n message.Message) []message.Send {
			n.Partition, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return sync(s.Hear(now, n)).Sends
		}
		kid(message.Message{Kind: message.Renew, No: 1})
		synced := kid(message.Message{Kind: message.Listing, No: 2, Mark: s.Node.Mark()})
		kid(message.Message{Kind: message.Connect, Ref: synced[0].Message.No, Mark: s.Node.Mark()})
		if out := kid(message.Message{Kind: message.Renew, No: 3, Mark: s.Node.Mark(), Keys: []string{"k"}}); len(out) != 1 || out[0].Message.Len == 0 || len(out[0].Message.Recs) != 1 {
			t.Errorf("a child is not granted leases: %+v", out)
		}

		made := false
		o := sync(s.Do(now, 7, Job{Keys: []string{"k"}, Make: func(lease.Source) ([]message.Rec, any) {
			made = true
			return []message.Rec{{Key: "k", Val: []byte("new")}}, nil
		}}))
		sync(s.Proceed(now))
		for ; now < s.Calm() && len(o.Results) == 0; now += 10 * time.Millisecond {
			if lost && now > 300*time.Millisecond {
				s.Replica.Resign()
				s.lose(&o)
				continue
			}
			kid(message.Message{Kind: message.Renew, No: uint64(now), Mark: s.Node.Mark()})
			o = sync(s.Tick(now))
			if made || len(o.Sends) > 0 || s.Replica.Group().Num != 1 {
				t.Fatalf("at %v, calm at %v: made %v, sent %+v, group %+v", now, s.Calm(), made, o.Sends, s.Replica.Group())
			}
		}
		if lost {
			if made || len(o.Results) != 1 || o.Results[0].Fate != NotLeader {
				t.Errorf("the leadership lost: made %v, %+v", made, o.Results)
			}
			continue
		}
		o = sync(s.Tick(now))
		if !made || len(o.Sends) != 1 || o.Sends[0].Message.Kind != message.Invalidate {
			t.Fatalf("calm: made %v, sent %+v", made, o.Sends)
		}
		o = sync(s.Hear(now, message.Message{Kind: message.Invalidated, Partition: 1, From: "kid", Epoch: 1, Addr: "10.0.0.2:1", Key: "k", Ref: o.Sends[0].Message.Ref}))
		if len(o.Results) != 1 || o.Results[0].Fate != Done {
			t.Errorf("calm: %+v", o.Results)
		}
		if sync(s.Proceed(now)); s.Replica.Group().Num == 1 {
			t.Errorf("calm: group %+v", s.Replica.Group())
		}
	}
}
