package partition

import (
	"testing"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// A write is acknowledged only after the child that holds the record has acknowledged the
// invalidation or the child's lease has expired. Until then neither the old nor the new record is
// served.
func TestWriteIsAcknowledgedAfterInvalidation(t *testing.T) {
	for _, acks := range []bool{true, false} {
		p, sync := newLeader(t)
		now := p.Replica.LeaseEnd() - 900*time.Millisecond
		connectChild(p, now, sync, "k")
		submitted, built := now, 0
		out := sync(p.Submit(now, 7, writeNew("k", &built)))
		if len(out.Results) > 0 || len(out.Sends) != 1 || out.Sends[0].Message.Kind != message.KindInvalidate {
			t.Fatalf("acks %v: expected only an invalidation, got %+v", acks, out)
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
				t.Errorf("the lease of a silent child lasts %v, the write waited only %v", volumeLease, now-submitted)
			}
		}
		if len(out.Results) != 1 || out.Results[0].Outcome != Done {
			t.Fatalf("acks %v: unexpected results %+v", acks, out.Results)
		}
		if r, ok := p.Node.Get(now, "k"); !ok || string(r.Value) != "new" {
			t.Errorf("acks %v: the leader serves %q %v, expected the new record", acks, r.Value, ok)
		}
	}
}

// A job that reads two records and writes one of them withdraws only the written one. No
// other job with these keys runs concurrently.
func TestOnlyWrittenRecordsAreWithdrawn(t *testing.T) {
	p, sync := newLeader(t)
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
		t.Error("the leader serves a record that is being written")
	}
	if _, ok := p.Node.Get(now, "b"); !ok {
		t.Error("a record that was only read is withdrawn")
	}
	if o := p.Submit(now, 2, write("b")); len(o.Results)+len(o.Saves) > 0 {
		t.Errorf("a second job ran concurrently with the first: %+v", o)
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
