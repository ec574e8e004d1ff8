package partition

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

const (
	volumeLease = 800 * time.Millisecond
	drift       = 0.02
	margin      = 20 * time.Millisecond
	number      = 1 // partition number
)

var (
	self = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}

	quorumConfig = quorum.Config{
		LeaderLease: time.Second, Drift: drift, Margin: margin, HeartbeatInterval: 333 * time.Millisecond,
	}
	leaseConfig = lease.Config{
		VolumeLease: volumeLease, ObjectLease: time.Minute, Drift: drift, Margin: margin, RenewInterval: volumeLease / 3,
	}
)

// syncSaves immediately completes all saves of a step, including the saves that follow from these,
// and returns the step's output with the resulting messages and results added.
func syncSaves(p *Partition, now time.Duration, out Out) Out {
	for len(out.Saves) > 0 {
		saved := p.Saved(now, out.Saves[0].Ticket)
		out.Saves = append(out.Saves[1:], saved.Saves...)
		out.Sends = append(out.Sends, saved.Sends...)
		out.Results = append(out.Results, saved.Results...)
	}
	return out
}

// newLeader returns a partition whose only replica is on this daemon, which leads the partition. It
// also returns a function that completes the saves of the partition's steps.
func newLeader(t *testing.T) (p *Partition, sync func(Out) Out) {
	t.Helper()
	meta := quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{self}}}
	replica := quorum.New(quorumConfig, quorum.InitialState{
		Partition: number, Self: self, Meta: meta, Records: digest.NewRecords(), IsNew: true,
	}, 0)
	p = New(number, self, 1, replica, lease.New(leaseConfig, number, self, 1))
	var now time.Duration
	sync = func(out Out) Out { return syncSaves(p, now, out) }
	for now = 0; !p.IsLeader(now); now += 10 * time.Millisecond {
		if now > time.Minute {
			t.Fatal("no leader")
		}
		sync(p.Tick(now))
	}
	return p, sync
}

// fromChild returns a message as sent by a child in the lease tree.
func fromChild(m message.Message) message.Message {
	m.Partition, m.From, m.Epoch, m.Addr = number, "child", 1, "10.0.0.2:1"
	return m
}

// connectChild makes the child reconnect and request a record, and returns the answer to the
// request.
func connectChild(p *Partition, now time.Duration, sync func(Out) Out, key string) Out {
	step := func(m message.Message) Out { return sync(p.Step(now, fromChild(m))) }
	step(message.Message{Kind: message.KindRenewLease, RequestID: 1})
	epoch := p.Node.VolumeEpoch()
	reconciled := step(message.Message{Kind: message.KindLeaseList, RequestID: 2, VolumeEpoch: epoch})
	step(message.Message{
		Kind: message.KindReconnectDone, ResponseTo: reconciled.Sends[0].Message.RequestID, VolumeEpoch: epoch,
	})
	return step(message.Message{Kind: message.KindRenewLease, RequestID: 3, VolumeEpoch: epoch, Keys: []string{key}})
}

// writeNew returns a job that writes "new" under a key and counts in built how often it is built.
func writeNew(key string, built *int) Job {
	return Job{Keys: []string{key}, Build: func(lease.RecordSource) ([]message.Record, any) {
		*built++
		return []message.Record{{Key: key, Value: []byte("new")}}, nil
	}}
}
