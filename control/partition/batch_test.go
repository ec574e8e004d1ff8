package partition

import (
	"bytes"
	"testing"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// appendJob returns a job that appends a letter to a record if the record's length is base.
func appendJob(letter byte, base int) Job {
	return Job{Keys: []string{"k"}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		current := read("k").Value
		if len(current) != base {
			return nil, "conflict"
		}
		return []message.Record{{Key: "k", Value: append(bytes.Clone(current), letter)}}, "taken"
	}}
}

// Jobs submitted while an earlier job is pending are merged into one batch, with one invalidation
// and one write, when the earlier job completes. A job that read a merged but unwritten record gets
// its result together with the write of that record, even if the job writes nothing.
func TestWaitingJobsAreMerged(t *testing.T) {
	p, sync := newLeader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appendJob('a', 0)) // its save is not on disk yet
	if len(first.Saves) != 1 || len(first.Results) != 0 {
		t.Fatalf("%+v", first)
	}
	for tag, j := range []Job{appendJob('b', 1), appendJob('x', 1), appendJob('c', 2)} {
		if o := p.Submit(now, uint64(tag+2), j); len(o.Results)+len(o.Saves) > 0 {
			t.Fatalf("job %d does not wait: %+v", tag+2, o)
		}
	}
	o := p.Saved(now, first.Saves[0].Ticket)
	if len(o.Saves) != 1 || len(o.Saves[0].Records) != 1 || string(o.Saves[0].Records[0].Value) != "abc" {
		t.Fatalf("the waiting jobs are not merged into one write: %+v", o.Saves)
	}
	if len(o.Results) != 1 || o.Results[0].Tag != 1 || o.Results[0].Outcome != Done {
		t.Errorf("expected the result of job 1 alone, got %+v", o.Results)
	}
	o = sync(p.Saved(now, o.Saves[0].Ticket))
	want := map[uint64]Result{2: {2, Done, "taken"}, 3: {3, Unchanged, "conflict"}, 4: {4, Done, "taken"}}
	if len(o.Results) != len(want) {
		t.Fatalf("%+v", o.Results)
	}
	for _, r := range o.Results {
		if r != want[r.Tag] {
			t.Errorf("job %d: %+v, expected %+v", r.Tag, r, want[r.Tag])
		}
	}
}

// Guards against a final answer that is based on a write which never committed. If a merged
// batch fails, the jobs that wrote are uncertain. A job that wrote nothing because of their
// records gets NotLeader instead of its answer.
func TestMergedJobsFailTogether(t *testing.T) {
	p, _ := newLeader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appendJob('a', 0))
	p.Submit(now, 2, appendJob('b', 1))
	p.Submit(now, 3, appendJob('x', 1))
	p.Saved(now, first.Saves[0].Ticket)
	o := p.Tick(p.Replica.LeaseEnd() + time.Millisecond)
	want := map[uint64]Outcome{2: Uncertain, 3: NotLeader}
	for _, r := range o.Results {
		if r.Outcome != want[r.Tag] {
			t.Errorf("job %d: %v", r.Tag, r.Outcome)
		}
	}
	if !o.Lost || len(o.Results) != 2 {
		t.Errorf("%+v", o)
	}
}

// A job that is not mergeable or has additional keys waits for its turn, and later jobs are
// not written before it.
func TestUnmergeableJobsWaitInOrder(t *testing.T) {
	p, _ := newLeader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appendJob('a', 0))
	both := appendJob('b', 1)
	both.Keys = []string{"k", "other"}
	p.Submit(now, 2, both)
	p.Submit(now, 3, appendJob('c', 2))
	o := p.Saved(now, first.Saves[0].Ticket)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "ab" {
		t.Fatalf("%+v", o.Saves)
	}
	o = p.Saved(now, o.Saves[0].Ticket)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "abc" {
		t.Fatalf("%+v", o.Saves)
	}
}

// A job submitted while the batch of an earlier one waits for a child's invalidation
// acknowledgment joins that batch: one invalidation and one write for both. Once the batch is
// being saved, a further job waits for its turn.
func TestJobJoinsBatchDuringInvalidation(t *testing.T) {
	p, sync := newLeader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	connectChild(p, now, sync, "k")
	first := p.Submit(now, 1, appendJob('a', 0))
	if len(first.Saves) != 0 || len(first.Sends) != 1 || first.Sends[0].Message.Kind != message.KindInvalidate {
		t.Fatalf("the record is not invalidated before the write: %+v", first)
	}
	if second := p.Submit(now, 2, appendJob('b', 1)); len(second.Sends)+len(second.Saves)+len(second.Results) > 0 {
		t.Errorf("the second job starts an invalidation: %+v", second)
	}
	ack := fromChild(message.InvalidationAck{
		Key: "k", Number: first.Sends[0].Message.AsInvalidation().Number, VolumeEpoch: p.Node.VolumeEpoch(),
	}.Message(number))
	o := p.Step(now, ack)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "ab" {
		t.Fatalf("the two jobs are not written together: %+v", o.Saves)
	}
	if late := p.Submit(now, 3, appendJob('c', 2)); len(late.Sends)+len(late.Saves)+len(late.Results) > 0 {
		t.Errorf("a job submitted during the save does not wait: %+v", late)
	}
	o = p.Saved(now, o.Saves[0].Ticket)
	if len(o.Results) != 2 || o.Results[0].Outcome != Done || o.Results[1].Outcome != Done {
		t.Errorf("unexpected results %+v", o.Results)
	}
}
