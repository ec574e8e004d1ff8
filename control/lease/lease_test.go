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

// connecting is a child that wants one record, and the parent's side of its reconnect.
type connecting struct {
	child    *Node
	epoch    message.VolumeEpoch // of the parent
	sequence uint64              // of the parent's messages
}

// newConnecting makes a child of an incarnation that wants the record "k".
func newConnecting(incarnation uint64, now time.Duration) *connecting {
	c := &connecting{
		child: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, incarnation),
		epoch: message.VolumeEpoch{Ident: "p", Epoch: 1},
	}
	c.child.Pin(now, "k")
	c.child.SetParent(now, message.Replica{Ident: "p", Addr: "p"})
	return c
}

// hear brings the child a message of the parent's, meant for one of its incarnations.
func (c *connecting) hear(now time.Duration, incarnation uint64, m message.Message) []message.Envelope {
	c.sequence++
	m.From, m.Addr = "p", "p"
	header := message.GrantHeader{Sequence: c.sequence, ChildEpoch: incarnation, VolumeEpoch: c.epoch}
	return c.child.Step(now, m.WithGrantHeader(header)).Sends
}

// reconcile answers a lease list without confirming a record.
func reconcile(list message.Message) message.Message {
	return message.Reconciliation{
		ResponseTo: list.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: cfg.ObjectLease,
	}.Message(0)
}

// Reconnects that overlap each drop what came by a grant since the other's
// list went out, and once did so for ever with the lease valid all the while:
// one list at a time, and the record is fetched again.
func TestOverlappingReconnectsKeepGrantedRecords(t *testing.T) {
	now := time.Second
	c := newConnecting(1, now)
	reconnect := message.ReconnectRequest{}.Message(0)
	list := c.hear(now, 1, reconnect)[0].Message
	if more := c.hear(now+1, 1, reconnect); len(more) != 0 {
		t.Errorf("a second list right after the first: %v", more)
	}
	out := c.hear(now+2, 1, reconcile(list))
	if len(out) != 2 || out[0].Message.Kind != message.KindReconnectDone ||
		out[1].Message.Kind != message.KindRenewLease || out[1].Message.VolumeEpoch != c.epoch {
		t.Fatalf("after the reconciliation: %+v", out)
	}
	record := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}}
	grant := message.LeaseGrant{Records: []message.Record{record}, ObjectLease: cfg.ObjectLease}
	c.hear(now+3, 1, grant.Message(0))
	if more := c.hear(now+4, 1, reconnect); len(more) != 0 {
		t.Errorf("a late reconnect was followed: %v", more)
	}
	if got, ok := c.child.Get(now+5, "k"); !ok || got.Version != record.Version {
		t.Error("the record is not served")
	}
	// A later one is followed, and what it does not confirm is dropped.
	c.epoch = message.VolumeEpoch{Ident: "p", Epoch: 2}
	now += cfg.RenewInterval
	list = c.hear(now, 1, reconnect)[0].Message
	if len(list.Records) != 1 {
		t.Fatalf("%+v", list)
	}
	c.hear(now, 1, reconcile(list))
	if _, ok := c.child.Get(now, "k"); ok {
		t.Error("an unconfirmed record was kept")
	}
}

// What was meant for an earlier incarnation of the child is not taken by the next:
// the granter would withdraw it there.
func TestGrantForAnEarlierIncarnationIsIgnored(t *testing.T) {
	for incarnation, want := range map[uint64]bool{1: false, 2: true} {
		now := time.Second
		c := newConnecting(2, now)
		list := c.hear(now, 2, message.ReconnectRequest{}.Message(0))[0].Message
		c.hear(now, 2, reconcile(list))
		grant := message.LeaseGrant{Records: []message.Record{{Key: "k"}}, ObjectLease: cfg.ObjectLease}
		c.hear(now, incarnation, grant.Message(0))
		if _, ok := c.child.Get(now, "k"); ok != want {
			t.Errorf("grant for incarnation %d taken by incarnation 2: %v", incarnation, ok)
		}
	}
}

// What a child waits for and becomes readable together, it gets in one message; another child's
// grants and all other messages stay as they are, in their order.
func TestWaitingChildrenGetTheirRecordsTogether(t *testing.T) {
	grant := func(to, key string) message.Envelope {
		m := message.LeaseGrant{ObjectLease: time.Minute, Records: []message.Record{{Key: key}}}.Message(0)
		m.To = to
		return message.Envelope{Addr: to, Message: m}
	}
	answer := message.LeaseGrant{ResponseTo: 7, VolumeLease: time.Second}.Message(0)
	answer.To = "b"
	joined := joinGrants([]message.Envelope{
		grant("a", "1"), grant("b", "1"), {Addr: "b", Message: answer}, grant("a", "2"), grant("b", "2"), grant("a", "3"),
	})
	var got []string
	for _, e := range joined {
		line := e.Message.To
		for _, r := range e.Message.Records {
			line += " " + r.Key
		}
		got = append(got, line)
	}
	if want := []string{"a 1 2 3", "b 1 2", "b"}; !slices.Equal(got, want) {
		t.Errorf("%q, expected %q", got, want)
	}
}

// A record that isn't wanted any more is neither asked for nor fetched again once it is withdrawn.
func TestAnUnpinnedRecordIsNotFetchedAgain(t *testing.T) {
	now := time.Second
	c := newConnecting(1, now)
	list := c.hear(now, 1, message.ReconnectRequest{}.Message(0))[0].Message
	asked := c.hear(now, 1, reconcile(list))
	if len(asked) != 2 || !slices.Equal(asked[1].Message.Keys, []string{"k"}) {
		t.Fatalf("the record isn't asked for: %v", asked)
	}
	record := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: []byte("x")}
	c.hear(now, 1, message.LeaseGrant{ObjectLease: cfg.ObjectLease, Records: []message.Record{record}}.Message(0))
	c.child.Unpin("k")
	for _, e := range c.hear(now+cfg.RenewInterval/4, 1, message.Invalidation{Key: "k", Number: 3}.Message(0)) {
		if e.Message.Kind != message.KindInvalidated {
			t.Errorf("after the withdrawal it sends %v", e.Message.Kind)
		}
	}
	if _, ok := c.child.Get(now, "k"); ok {
		t.Error("the withdrawn record is served")
	}
}
