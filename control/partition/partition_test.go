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
	cfg := quorum.Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: 333 * time.Millisecond}
	replica := quorum.New(cfg, 1, me, nil, quorum.Meta{Group: message.Group{Num: 1, Replicas: []message.Replica{me}}}, digest.NewRecords(), 0, true)
	node := lease.New(lease.Config{Vol: vol, Obj: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: vol / 3}, 1, me, 1)
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
func TestNoYesBeforeTheInvalidation(t *testing.T) {
	for _, acks := range []bool{true, false} {
		s, sync := leader(t)
		now := s.Replica.Lease() - 900*time.Millisecond
		kid := func(n message.Message) message.Message {
			n.Partition, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return n
		}
		sync(s.Hear(now, kid(message.Message{Kind: message.Renew, No: 1})))
		synced := sync(s.Hear(now, kid(message.Message{Kind: message.Listing, No: 2, Mark: s.Node.Mark()})))
		sync(s.Hear(now, kid(message.Message{Kind: message.Connect, Ref: synced.Sends[0].Message.No, Mark: s.Node.Mark()})))
		sync(s.Hear(now, kid(message.Message{Kind: message.Renew, No: 3, Mark: s.Node.Mark(), Keys: []string{"k"}})))
		asked := now
		o := sync(s.Do(now, 7, Job{Keys: []string{"k"}, Make: func(lease.Source) ([]message.Rec, any) {
			return []message.Rec{{Key: "k", Val: []byte("new")}}, nil
		}}))
		if len(o.Results) > 0 || len(o.Sends) != 1 || o.Sends[0].Message.Kind != message.Invalidate {
			t.Fatalf("acks %v: before the invalidation: %+v", acks, o)
		}
		if _, ok := s.Node.Get(now, "k"); ok {
			t.Error("the leader serves a record that is being invalidated")
		}
		if acks {
			o = sync(s.Hear(now, kid(message.Message{Kind: message.Invalidated, Key: "k", Ref: o.Sends[0].Message.Ref})))
		} else {
			for o.Results = nil; len(o.Results) == 0 && now < asked+3*vol; now += 10 * time.Millisecond {
				o = sync(s.Tick(now))
			}
			if now < asked+vol {
				t.Errorf("a silent child's lease of %v was waited for only %v", vol, now-asked)
			}
		}
		if len(o.Results) != 1 || o.Results[0].Fate != Done {
			t.Fatalf("acks %v: %+v", acks, o.Results)
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Val) != "new" {
			t.Errorf("acks %v: serves %q %v", acks, r.Val, ok)
		}
	}
}

// A job that looked at two records and writes one withdraws that one alone; no
// other job touches either meanwhile.
func TestOnlyWhatIsWrittenIsWithdrawn(t *testing.T) {
	s, sync := leader(t)
	now := s.Replica.Lease() - 900*time.Millisecond
	write := func(keys ...string) Job {
		return Job{Keys: []string{"a", "b"}, Make: func(lease.Source) (recs []message.Rec, _ any) {
			for _, k := range keys {
				recs = append(recs, message.Rec{Key: k, Val: []byte("new")})
			}
			return recs, nil
		}}
	}
	first := s.Do(now, 1, write("a")) // not on disk yet
	if _, ok := s.Node.Get(now, "a"); ok {
		t.Error("the record that is written is served")
	}
	if _, ok := s.Node.Get(now, "b"); !ok {
		t.Error("the record that was only looked at is withdrawn")
	}
	if o := s.Do(now, 2, write("b")); len(o.Results)+len(o.Saves) > 0 {
		t.Errorf("a second job ran beside the first: %+v", o)
	}
	if o := sync(first); len(o.Results) != 2 || o.Results[0].Fate != Done || o.Results[1].Fate != Done {
		t.Errorf("%+v", o.Results)
	}
	for _, k := range []string{"a", "b"} {
		if r, ok := s.Node.Get(now, k); !ok || string(r.Val) != "new" {
			t.Errorf("%s: %q %v", k, r.Val, ok)
		}
	}
}
