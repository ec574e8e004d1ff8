package partition

import (
	"testing"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// A write is acknowledged only after the child that holds the record has
// acknowledged its invalidation, or after that child's lease has lapsed; meanwhile
// nobody is served the record, old or new.
func TestWriteIsAcknowledgedAfterInvalidation(t *testing.T) {
	for _, acks := range []bool{true, false} {
		p, sync := leader(t)
		now := p.Replica.LeaseEnd() - 900*time.Millisecond
		connectChild(p, now, sync, "k")
		submitted, built := now, 0
		out := sync(p.Submit(now, 7, writeNew("k", &built)))
		if len(out.Results) > 0 || len(out.Sends) != 1 || out.Sends[0].Message.Kind != message.KindInvalidate {
			t.Fatalf("acks %v: before the invalidation: %+v", acks, out)
		}
		if _, ok := p.Node.Get(now, "k"); ok {
			t.Error("the leader serves a record that is being invalidated")
		}
		if acks {
			ack := message.Message{Kind: message.KindInvalidated, Key: "k", ResponseTo: out.Sends[0].Message.ResponseTo}
			out = sync(p.Step(now, fromChild(ack)))
		} else {
			for out.Results = nil; len(out.Results) == 0 && now < submitted+3*volumeLease; now += 10 * time.Millisecond {
				out = sync(p.Tick(now))
			}
			if now < submitted+volumeLease {
				t.Errorf("a silent child's lease of %v was waited for only %v", volumeLease, now-submitted)
			}
		}
		if len(out.Results) != 1 || out.Results[0].Outcome != Done {
			t.Fatalf("acks %v: %+v", acks, out.Results)
		}
		if r, ok := p.Node.Get(now, "k"); !ok || string(r.Value) != "new" {
			t.Errorf("acks %v: serves %q %v", acks, r.Value, ok)
		}
	}
}

// A job that looked at two records and writes one withdraws that one alone; no
// other job touches either meanwhile.
func TestOnlyWrittenRecordsAreWithdrawn(t *testing.T) {
	p, sync := leader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	write := func(keys ...string) Job {
		return Job{Keys: []string{"a", "b"}, Build: func(lease.RecordSource) (recs []message.Record, _ any) {
			for _, k := range keys {
				recs = append(recs, message.Record{Key: k, Value: []byte("new")})
			}
			return recs, nil
		}}
	}
	first := p.Submit(now, 1, write("a")) // not on disk yet
	if _, ok := p.Node.Get(now, "a"); ok {
		t.Error("the record that is written is served")
	}
	if _, ok := p.Node.Get(now, "b"); !ok {
		t.Error("the record that was only looked at is withdrawn")
	}
	if o := p.Submit(now, 2, write("b")); len(o.Results)+len(o.Saves) > 0 {
		t.Errorf("a second job ran beside the first: %+v", o)
	}
	if o := sync(first); len(o.Results) != 2 || o.Results[0].Outcome != Done || o.Results[1].Outcome != Done {
		t.Errorf("%+v", o.Results)
	}
	for _, k := range []string{"a", "b"} {
		if r, ok := p.Node.Get(now, k); !ok || string(r.Value) != "new" {
			t.Errorf("%s: %q %v", k, r.Value, ok)
		}
	}
}
