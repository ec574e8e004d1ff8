package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var cfg = Config{VolumeLease: 800 * time.Millisecond, ObjectLease: 48 * time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond}

// Reconnects that overlap each drop what came by a grant since the other's
// list went out, and once did so for ever with the lease valid all the while:
// one list at a time, and the record is fetched again.
func TestOverlappingReconnectsKeepGrantedRecords(t *testing.T) {
	child := New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1)
	mark := message.VolumeEpoch{Ident: "p", Epoch: 1}
	no := uint64(0)
	hear := func(now time.Duration, n message.Message) []message.Envelope {
		no++
		n.From, n.Addr, n.VolumeEpoch, n.RequestID, n.Term = "p", "p", mark, no, 1
		return child.Step(now, n).Sends
	}
	now := time.Second
	child.Pin(now, "k")
	child.SetParent(now, message.Replica{Ident: "p", Addr: "p"})
	list := hear(now, message.Message{Kind: message.KindReconnect})[0].Message
	if more := hear(now+1, message.Message{Kind: message.KindReconnect}); len(more) != 0 {
		t.Errorf("a second list right after the first: %v", more)
	}
	out := hear(now+2, message.Message{Kind: message.KindReconciled, ResponseTo: list.RequestID, Length: int64(cfg.VolumeLease), ObjectLease: int64(cfg.ObjectLease)})
	if len(out) != 2 || out[0].Message.Kind != message.KindReconnectDone || out[1].Message.Kind != message.KindRenewLease || out[1].Message.VolumeEpoch != mark {
		t.Fatalf("after the sync: %+v", out)
	}
	rec := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}}
	hear(now+3, message.Message{Kind: message.KindGrantLease, Records: []message.Record{rec}, ObjectLease: int64(cfg.ObjectLease)})
	if more := hear(now+4, message.Message{Kind: message.KindReconnect}); len(more) != 0 {
		t.Errorf("a late reconnect was followed: %v", more)
	}
	if got, ok := child.Get(now+5, "k"); !ok || got.Version != rec.Version {
		t.Error("the record is not served")
	}
	// A later one is followed, and what it does not confirm is dropped.
	mark = message.VolumeEpoch{Ident: "p", Epoch: 2}
	now += cfg.RenewInterval
	list = hear(now, message.Message{Kind: message.KindReconnect})[0].Message
	if len(list.Records) != 1 {
		t.Fatalf("%+v", list)
	}
	hear(now, message.Message{Kind: message.KindReconciled, ResponseTo: list.RequestID, Length: int64(cfg.VolumeLease), ObjectLease: int64(cfg.ObjectLease)})
	if _, ok := child.Get(now, "k"); ok {
		t.Error("an unconfirmed record was kept")
	}
}

// What was meant for an earlier life of the child is not taken by the next:
// the granter would invalidation it there.
func TestGrantForAnEarlierIncarnationIsIgnored(t *testing.T) {
	for epoch, want := range map[uint64]bool{1: false, 2: true} {
		child := New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 2)
		mark := message.VolumeEpoch{Ident: "p", Epoch: 1}
		hear := func(no, num uint64, n message.Message) []message.Envelope {
			n.From, n.Addr, n.VolumeEpoch, n.RequestID, n.Term = "p", "p", mark, no, num
			return child.Step(time.Second, n).Sends
		}
		child.Pin(time.Second, "k")
		child.SetParent(time.Second, message.Replica{Ident: "p", Addr: "p"})
		list := hear(1, 2, message.Message{Kind: message.KindReconnect})[0].Message
		hear(2, 2, message.Message{Kind: message.KindReconciled, ResponseTo: list.RequestID, Length: int64(cfg.VolumeLease), ObjectLease: int64(cfg.ObjectLease)})
		hear(3, epoch, message.Message{Kind: message.KindGrantLease, Records: []message.Record{{Key: "k"}}, ObjectLease: int64(cfg.ObjectLease)})
		if _, ok := child.Get(time.Second, "k"); ok != want {
			t.Errorf("grant for life %d taken by life 2: %v", epoch, ok)
		}
	}
}
