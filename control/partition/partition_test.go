package partition

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

const vol = 800 * time.Millisecond

var me = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}

// leader is a partition that owns its partition alone, with its disk at hand.
func leader(t *testing.T) (*Partition, func(Out) Out) {
	t.Helper()
	cfg := quorum.Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, HeartbeatInterval: 333 * time.Millisecond}
	replica := quorum.New(cfg, 1, me, nil, quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{me}}}, digest.NewRecords(), 0, true)
	node := lease.New(lease.Config{VolumeLease: vol, ObjectLease: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, RenewInterval: vol / 3}, 1, me, 1)
	s := New(1, me, 1, replica, node)
	var now time.Duration
	sync := func(o Out) Out {
		for len(o.Saves) > 0 {
			save := o.Saves[0]
			o.Saves = o.Saves[1:]
			p := s.Saved(now, save.Ticket)
			o.Saves, o.Sends, o.Results = append(o.Saves, p.Saves...), append(o.Sends, p.Sends...), append(o.Results, p.Results...)
		}
		return o
	}
	for now = 0; !s.Leader(now); now += 10 * time.Millisecond {
		if now > time.Minute {
			t.Fatal("no leader")
		}
		sync(s.Tick(now))
	}
	return s, sync
}

// A write is acknowledged only after the child that holds the record has
// acknowledged its invalidation, or after that child's lease has lapsed; meanwhile
// nobody is served the record, old or new.
func TestWriteIsAcknowledgedAfterInvalidation(t *testing.T) {
	for _, acks := range []bool{true, false} {
		s, sync := leader(t)
		now := s.Replica.LeaseEnd() - 900*time.Millisecond
		kid := func(n message.Message) message.Message {
			n.Partition, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return n
		}
		sync(s.Step(now, kid(message.Message{Kind: message.KindRenewLease, RequestID: 1})))
		synced := sync(s.Step(now, kid(message.Message{Kind: message.KindLeaseList, RequestID: 2, VolumeEpoch: s.Node.VolumeEpoch()})))
		sync(s.Step(now, kid(message.Message{Kind: message.KindReconnectDone, ResponseTo: synced.Sends[0].Message.RequestID, VolumeEpoch: s.Node.VolumeEpoch()})))
		sync(s.Step(now, kid(message.Message{Kind: message.KindRenewLease, RequestID: 3, VolumeEpoch: s.Node.VolumeEpoch(), Keys: []string{"k"}})))
		asked := now
		o := sync(s.Submit(now, 7, Job{Keys: []string{"k"}, Build: func(lease.RecordSource) ([]message.Record, any) {
			return []message.Record{{Key: "k", Value: []byte("new")}}, nil
		}}))
		if len(o.Results) > 0 || len(o.Sends) != 1 || o.Sends[0].Message.Kind != message.KindInvalidate {
			t.Fatalf("acks %v: before the invalidation: %+v", acks, o)
		}
		if _, ok := s.Node.Get(now, "k"); ok {
			t.Error("the leader serves a record that is being invalidated")
		}
		if acks {
			o = sync(s.Step(now, kid(message.Message{Kind: message.KindInvalidated, Key: "k", ResponseTo: o.Sends[0].Message.ResponseTo})))
		} else {
			for o.Results = nil; len(o.Results) == 0 && now < asked+3*vol; now += 10 * time.Millisecond {
				o = sync(s.Tick(now))
			}
			if now < asked+vol {
				t.Errorf("a silent child's lease of %v was waited for only %v", vol, now-asked)
			}
		}
		if len(o.Results) != 1 || o.Results[0].Outcome != Done {
			t.Fatalf("acks %v: %+v", acks, o.Results)
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Value) != "new" {
			t.Errorf("acks %v: serves %q %v", acks, r.Value, ok)
		}
	}
}

// A job that looked at two records and writes one withdraws that one alone; no
// other job touches either meanwhile.
func TestOnlyWrittenRecordsAreWithdrawn(t *testing.T) {
	s, sync := leader(t)
	now := s.Replica.LeaseEnd() - 900*time.Millisecond
	write := func(keys ...string) Job {
		return Job{Keys: []string{"a", "b"}, Build: func(lease.RecordSource) (recs []message.Record, _ any) {
			for _, k := range keys {
				recs = append(recs, message.Record{Key: k, Value: []byte("new")})
			}
			return recs, nil
		}}
	}
	first := s.Submit(now, 1, write("a")) // not on disk yet
	if _, ok := s.Node.Get(now, "a"); ok {
		t.Error("the record that is written is served")
	}
	if _, ok := s.Node.Get(now, "b"); !ok {
		t.Error("the record that was only looked at is withdrawn")
	}
	if o := s.Submit(now, 2, write("b")); len(o.Results)+len(o.Saves) > 0 {
		t.Errorf("a second job ran beside the first: %+v", o)
	}
	if o := sync(first); len(o.Results) != 2 || o.Results[0].Outcome != Done || o.Results[1].Outcome != Done {
		t.Errorf("%+v", o.Results)
	}
	for _, k := range []string{"a", "b"} {
		if r, ok := s.Node.Get(now, k); !ok || string(r.Value) != "new" {
			t.Errorf("%s: %q %v", k, r.Value, ok)
		}
	}
}
