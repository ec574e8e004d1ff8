package lease

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var cfg = Config{
	VolumeLease: 800 * time.Millisecond, ObjectLease: 48 * time.Second, Drift: 0.02,
	Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond,
}

// reconnectingChild is a child that requests one record, with its simulated parent.
type reconnectingChild struct {
	child    *Node
	epoch    message.VolumeEpoch // of the parent
	sequence uint64              // of the parent's latest message
}

// newReconnectingChild returns a child with the given incarnation that has pinned the
// record "k".
func newReconnectingChild(incarnation uint64, now time.Duration) *reconnectingChild {
	c := &reconnectingChild{
		child: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, incarnation),
		epoch: message.VolumeEpoch{Ident: "p", Epoch: 1},
	}
	c.child.Pin(now, "k")
	c.child.SetParent(now, message.Replica{Ident: "p", Addr: "p"})
	return c
}

// receiveFromParent delivers a message from the parent that is addressed to one of the
// child's incarnations, and returns what the child sends.
func (c *reconnectingChild) receiveFromParent(
	now time.Duration, incarnation uint64, m message.Message,
) []message.Envelope {
	c.sequence++
	m.From, m.Addr = "p", "p"
	header := message.GrantHeader{Sequence: c.sequence, ChildEpoch: incarnation, VolumeEpoch: c.epoch}
	return c.child.Step(now, m.WithGrantHeader(header)).Sends
}

// emptyReconciliation returns an answer to a lease list that confirms no record.
func emptyReconciliation(list message.Message) message.Message {
	return message.Reconciliation{
		ResponseTo: list.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: cfg.ObjectLease,
	}.Message(0)
}

// When two reconnects overlapped, the later one used to drop the records that were granted
// after its lease list was sent. This repeated forever while the volume lease remained valid.
// Therefore only one lease list is sent at a time, and the record is fetched again.
func TestOverlappingReconnectsKeepGrantedRecords(t *testing.T) {
	now := time.Second
	c := newReconnectingChild(1, now)
	reconnect := message.ReconnectRequest{}.Message(0)
	list := c.receiveFromParent(now, 1, reconnect)[0].Message
	if more := c.receiveFromParent(now+1, 1, reconnect); len(more) != 0 {
		t.Errorf("a second list was sent right after the first: %v", more)
	}
	out := c.receiveFromParent(now+2, 1, emptyReconciliation(list))
	if len(out) != 2 || out[0].Message.Kind != message.KindReconnectDone ||
		out[1].Message.Kind != message.KindRenewLease || out[1].Message.VolumeEpoch != c.epoch {
		t.Fatalf("unexpected messages after the reconciliation: %+v", out)
	}
	record := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}}
	grant := message.LeaseGrant{Records: []message.Record{record}, ObjectLease: cfg.ObjectLease}
	c.receiveFromParent(now+3, 1, grant.Message(0))
	if more := c.receiveFromParent(now+4, 1, reconnect); len(more) != 0 {
		t.Errorf("the child handled a late reconnect request: %v", more)
	}
	if got, ok := c.child.Get(now+5, "k"); !ok || got.Version != record.Version {
		t.Error("the granted record is not served")
	}
	// A later reconnect request is handled, and unconfirmed records are dropped.
	c.epoch = message.VolumeEpoch{Ident: "p", Epoch: 2}
	now += cfg.RenewInterval
	list = c.receiveFromParent(now, 1, reconnect)[0].Message
	if len(list.Records) != 1 {
		t.Fatalf("%+v", list)
	}
	c.receiveFromParent(now, 1, emptyReconciliation(list))
	if _, ok := c.child.Get(now, "k"); ok {
		t.Error("an unconfirmed record was kept")
	}
}

// A child ignores grants addressed to an earlier incarnation, because the granter would send
// the invalidation of such a record only to that incarnation.
func TestGrantForEarlierIncarnationIsIgnored(t *testing.T) {
	for incarnation, want := range map[uint64]bool{1: false, 2: true} {
		now := time.Second
		c := newReconnectingChild(2, now)
		list := c.receiveFromParent(now, 2, message.ReconnectRequest{}.Message(0))[0].Message
		c.receiveFromParent(now, 2, emptyReconciliation(list))
		grant := message.LeaseGrant{Records: []message.Record{{Key: "k"}}, ObjectLease: cfg.ObjectLease}
		c.receiveFromParent(now, incarnation, grant.Message(0))
		if _, ok := c.child.Get(now, "k"); ok != want {
			t.Errorf("grant for incarnation %d accepted by incarnation 2: %v", incarnation, ok)
		}
	}
}

// Record grants for the same child are merged into one message. Grants for different
// children are not mixed, and other messages and the order of messages do not change.
func TestMergeGrantsJoinsRecordsPerChild(t *testing.T) {
	grant := func(to, key string) message.Envelope {
		m := message.LeaseGrant{ObjectLease: time.Minute, Records: []message.Record{{Key: key}}}.Message(0)
		m.To = to
		return message.Envelope{Addr: to, Message: m}
	}
	answer := message.LeaseGrant{ResponseTo: 7, VolumeLease: time.Second}.Message(0)
	answer.To = "b"
	merged := mergeGrants([]message.Envelope{
		grant("a", "1"), grant("b", "1"), {Addr: "b", Message: answer}, grant("a", "2"), grant("b", "2"), grant("a", "3"),
	})
	var got []string
	for _, e := range merged {
		line := e.Message.To
		for _, r := range e.Message.Records {
			line += " " + r.Key
		}
		got = append(got, line)
	}
	if want := []string{"a 1 2 3", "b 1 2", "b"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A record that was unpinned is not requested again after it is withdrawn.
func TestUnpinnedRecordIsNotRefetched(t *testing.T) {
	now := time.Second
	c := newReconnectingChild(1, now)
	list := c.receiveFromParent(now, 1, message.ReconnectRequest{}.Message(0))[0].Message
	sent := c.receiveFromParent(now, 1, emptyReconciliation(list))
	if len(sent) != 2 || !slices.Equal(sent[1].Message.Keys, []string{"k"}) {
		t.Fatalf("the record is not requested: %v", sent)
	}
	record := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: []byte("x")}
	c.receiveFromParent(now, 1, message.LeaseGrant{
		ObjectLease: cfg.ObjectLease, Records: []message.Record{record},
	}.Message(0))
	c.child.Unpin("k")
	for _, e := range c.receiveFromParent(
		now+cfg.RenewInterval/4, 1, message.Invalidation{Key: "k", Number: 3}.Message(0),
	) {
		if e.Message.Kind != message.KindInvalidated {
			t.Errorf("unexpected message after the invalidation: %v", e.Message.Kind)
		}
	}
	if _, ok := c.child.Get(now, "k"); ok {
		t.Error("the invalidated record is served")
	}
}
