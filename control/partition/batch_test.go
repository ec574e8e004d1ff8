package partition

import (
	"bytes"
	"testing"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// appends is a job that adds a letter to a record if that is as long as its base.
func appends(letter byte, base int) Job {
	return Job{Keys: []string{"k"}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		current := read("k").Value
		if len(current) != base {
			return nil, "conflict"
		}
		return []message.Record{{Key: "k", Value: append(bytes.Clone(current), letter)}}, "taken"
	}}
}

// Jobs that come while an earlier one waits are written together, once it is done:
// one withdrawal and one write; one that is built on what isn't written yet gets its
// answer with it, also if it is refused.
func TestWaitingJobsAreMerged(t *testing.T) {
	p, sync := leader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appends('a', 0)) // its disk isn't asked yet
	if len(first.Saves) != 1 || len(first.Results) != 0 {
		t.Fatalf("%+v", first)
	}
	for tag, j := range []Job{appends('b', 1), appends('x', 1), appends('c', 2)} {
		if o := p.Submit(now, uint64(tag+2), j); len(o.Results)+len(o.Saves) > 0 {
			t.Fatalf("job %d doesn't wait: %+v", tag+2, o)
		}
	}
	o := p.Saved(now, first.Saves[0].Ticket)
	if len(o.Saves) != 1 || len(o.Saves[0].Records) != 1 || string(o.Saves[0].Records[0].Value) != "abc" {
		t.Fatalf("the three that waited: %+v", o.Saves)
	}
	if len(o.Results) != 1 || o.Results[0].Tag != 1 || o.Results[0].Outcome != Done {
		t.Errorf("a result before it is on disk: %+v", o.Results)
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

// What was merged and never committed was never in force: what wrote is uncertain,
// and what was refused by it isn't refused.
func TestMergedJobsFailTogether(t *testing.T) {
	p, _ := leader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appends('a', 0))
	p.Submit(now, 2, appends('b', 1))
	p.Submit(now, 3, appends('x', 1))
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

// A job that isn't mergeable, or touches other keys too, waits for its turn, and what
// came after it isn't written before it.
func TestOtherJobsWaitTheirTurn(t *testing.T) {
	p, _ := leader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	first := p.Submit(now, 1, appends('a', 0))
	both := appends('b', 1)
	both.Keys = []string{"k", "other"}
	p.Submit(now, 2, both)
	p.Submit(now, 3, appends('c', 2))
	o := p.Saved(now, first.Saves[0].Ticket)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "ab" {
		t.Fatalf("%+v", o.Saves)
	}
	o = p.Saved(now, o.Saves[0].Ticket)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "abc" {
		t.Fatalf("%+v", o.Saves)
	}
}

// A job that comes while the record of an earlier one is withdrawn, and waited for at a child that
// says nothing, joins it: one withdrawal and one write for both. Once the earlier one is on its way to
// the disk the next one waits for its turn.
func TestAListJoinsTheOneThatIsWithdrawn(t *testing.T) {
	p, sync := leader(t)
	now := p.Replica.LeaseEnd() - 900*time.Millisecond
	connectChild(p, now, sync, "k")
	first := p.Submit(now, 1, appends('a', 0))
	if len(first.Saves) != 0 || len(first.Sends) != 1 || first.Sends[0].Message.Kind != message.KindInvalidate {
		t.Fatalf("it isn't withdrawn first: %+v", first)
	}
	if joins := p.Submit(now, 2, appends('b', 1)); len(joins.Sends)+len(joins.Saves)+len(joins.Results) > 0 {
		t.Errorf("the second one is withdrawn for itself: %+v", joins)
	}
	ack := fromChild(message.InvalidationAck{
		Key: "k", Number: first.Sends[0].Message.AsInvalidation().Number, VolumeEpoch: p.Node.VolumeEpoch(),
	}.Message(number))
	o := p.Step(now, ack)
	if len(o.Saves) != 1 || string(o.Saves[0].Records[0].Value) != "ab" {
		t.Fatalf("both are written at once: %+v", o.Saves)
	}
	if late := p.Submit(now, 3, appends('c', 2)); len(late.Sends)+len(late.Saves)+len(late.Results) > 0 {
		t.Errorf("one that comes later doesn't wait: %+v", late)
	}
	o = p.Saved(now, o.Saves[0].Ticket)
	if len(o.Results) != 2 || o.Results[0].Outcome != Done || o.Results[1].Outcome != Done {
		t.Errorf("results %+v", o.Results)
	}
}
