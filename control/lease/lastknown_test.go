package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// leaf is a node below a parent that answers at once while it can be reached.
type leaf struct {
	*Node
	now   time.Duration
	no    uint64
	mute  bool
	long  time.Duration // of the object leases
	recs  map[string]message.Record
	asked time.Duration // when a renewal last went out
}

func newLeaf(keys ...string) *leaf {
	l := &leaf{Node: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1), now: time.Second, long: cfg.ObjectLease, recs: map[string]message.Record{}}
	for _, k := range keys {
		l.recs[k] = message.Record{Key: k, Version: message.Version{Term: 1, Seq: 1}}
		l.carry(l.Pin(l.now, k))
	}
	l.carry(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(2 * time.Second)
	return l
}

// hear brings a message of the parent's.
func (l *leaf) hear(n message.Message) {
	l.no++
	n.From, n.Addr, n.VolumeEpoch, n.RequestID, n.Term = "p", "p", message.VolumeEpoch{Ident: "p", Epoch: 1}, l.no, 1
	l.carry(l.Step(l.now, n))
}

func (l *leaf) carry(o Out) {
	for _, s := range o.Sends {
		n := s.Message
		if n.Kind == message.KindRenewLease {
			l.asked = l.now
		}
		switch {
		case l.mute:
		case n.Kind == message.KindRenewLease && n.VolumeEpoch == (message.VolumeEpoch{}):
			l.hear(message.Message{Kind: message.KindReconnect, ResponseTo: n.RequestID})
		case n.Kind == message.KindRenewLease:
			g := message.Message{Kind: message.KindGrantLease, ResponseTo: n.RequestID, Length: int64(cfg.VolumeLease), ObjectLease: int64(l.long)}
			for _, k := range n.Keys {
				if r, ok := l.recs[k]; ok {
					g.Records = append(g.Records, r)
				}
			}
			l.hear(g)
		case n.Kind == message.KindLeaseList:
			y := message.Message{Kind: message.KindReconciled, ResponseTo: n.RequestID, Length: int64(cfg.VolumeLease), ObjectLease: int64(l.long)}
			for _, r := range n.Records {
				if l.recs[r.Key].Version == r.Version {
					y.Records = append(y.Records, r)
				}
			}
			l.hear(y)
		}
	}
}

// run lets time pass as a daemon's ticker does.
func (l *leaf) run(until time.Duration) {
	for ; l.now < until; l.now += 25 * time.Millisecond {
		l.carry(l.Tick(l.now))
	}
}

func (l *leaf) last(key string) bool {
	_, _, ok := l.LastKnown(l.now, key)
	return ok
}

// What a node holds is served beyond its leases when renewals were asked for in
// vain for half a beat, and not before: who runs goes on without a gap, who was
// frozen asks first. Nothing of it while the leases stand.
func TestLastKnownOnlyAfterAnUnansweredRenewal(t *testing.T) {
	l := newLeaf("k")
	l.mute = true
	for till := l.VolumeExpiry(); l.now < till; l.run(l.now + 1) {
		if l.last("k") {
			t.Fatalf("at %v, and the lease stands until %v", l.now, till)
		}
	}
	if _, ok := l.Get(l.now, "k"); ok {
		t.Fatal("served without a lease")
	}
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || at != l.VolumeExpiry() || r.Version != l.recs["k"].Version {
		t.Errorf("renewals were in vain since %v, it is %v: %v %v %v", l.asked, l.now, r.Version, at, ok)
	}
	l.run(l.now + time.Minute/2)
	if !l.last("k") {
		t.Error("for how long is its user's to bound")
	}

	// Frozen until 8 s, with a renewal under way for long, or none.
	for _, under := range []bool{true, false} {
		for _, answered := range []bool{true, false} {
			l := newLeaf("k")
			if l.mute = under; under {
				l.run(l.now + cfg.RenewInterval + cfg.RenewInterval/2)
			}
			l.now, l.mute = 8*time.Second, !answered
			if l.last("k") {
				t.Error("frozen: served before the first step")
			}
			for woke := l.now; l.now < woke+cfg.RenewInterval/2; l.run(l.now + 1) {
				if l.last("k") {
					t.Fatalf("frozen: served %v after it woke, asked at %v", l.now-woke, l.asked)
				}
			}
			l.run(l.now + 1)
			if _, ok := l.Get(l.now, "k"); ok != answered || l.last("k") == answered || l.asked < 8*time.Second {
				t.Errorf("frozen, answered %v: leased %v, last %v, asked at %v", answered, ok, l.last("k"), l.asked)
			}
		}
	}
}

// A record that was withdrawn is never served again, in whichever way that was.
func TestLastKnownNeverServesAWithdrawnRecord(t *testing.T) {
	for what, f := range map[string]func(*leaf){
		"invalidated under leases": func(l *leaf) {
			l.mute = true
			l.hear(message.Message{Kind: message.KindInvalidate, Key: "k", ResponseTo: 3})
		},
		"invalidated when they lapsed": func(l *leaf) {
			l.mute = true
			l.run(l.now + 2*cfg.VolumeLease)
			l.hear(message.Message{Kind: message.KindInvalidate, Key: "k", ResponseTo: 3})
		},
		"not confirmed by a list": func(l *leaf) { l.recs = nil; l.hear(message.Message{Kind: message.KindReconnect}); l.mute = true },
		"being invalidated below": func(l *leaf) {
			below(l, "k")
			l.mute = true
			l.hear(message.Message{Kind: message.KindInvalidate, Key: "k", ResponseTo: 3})
		},
		"its own lease had lapsed": func(l *leaf) {
			l.mute = true
			l.records.cached["k"] = cachedRecord{record: l.recs["k"], expiry: l.VolumeExpiry() - 1}
		},
	} {
		l := newLeaf("k", "other")
		f(l)
		for end := l.now + 3*cfg.VolumeLease; l.now < end; l.run(l.now + 1) {
			if l.last("k") {
				t.Errorf("%s: served at %v, lapsed at %v", what, l.now, l.VolumeExpiry())
				break
			}
		}
	}
}

// below puts a child under a leaf that holds the record and says no more.
func below(l *leaf, key string) {
	kid := func(n message.Message) []message.Envelope {
		n.From, n.Epoch, n.Addr = "d", 1, "d"
		return l.Step(l.now, n).Sends
	}
	kid(message.Message{Kind: message.KindRenewLease, RequestID: 1})
	synced := kid(message.Message{Kind: message.KindLeaseList, RequestID: 2, VolumeEpoch: l.VolumeEpoch()})
	kid(message.Message{Kind: message.KindReconnectDone, ResponseTo: synced[0].Message.RequestID, VolumeEpoch: l.VolumeEpoch()})
	kid(message.Message{Kind: message.KindRenewLease, RequestID: 3, VolumeEpoch: l.VolumeEpoch(), Keys: []string{key}})
}

// The root serves by its leadership alone. When that has ended it knows what it last
// read, though not what was being written, nor what a later leader brought it.
func TestLastKnownRecordsOfAFormerLeader(t *testing.T) {
	store := map[string]message.Record{}
	for _, k := range []string{"k", "held", "later"} {
		store[k] = message.Record{Key: k, Version: message.Version{Term: 4, Seq: 1}, Value: []byte("old")}
	}
	l := newLeaf("k", "held", "later")
	l.mute = true
	lease := l.now + time.Second
	l.BecomeRoot(4, func(k string) message.Record { return store[k] }, func() time.Duration { return lease })
	l.Suspend(l.now, "held", 1)
	for range 3 { // its lease ends, and nobody has told it yet
		l.run(l.now + time.Second)
		for k := range store {
			if l.last(k) {
				t.Errorf("the root serves the last %s at %v, its lease ends at %v", k, l.now, lease)
			}
		}
	}
	store["later"] = message.Record{Key: "later", Version: message.Version{Term: 5, Seq: 1}, Value: []byte("new")}
	l.ResignRoot()
	if l.last("k") {
		t.Error("it asked nobody yet")
	}
	l.run(l.now + cfg.RenewInterval)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || string(r.Value) != "old" || at != lease {
		t.Errorf("a former leader: %q, lapsed at %v, %v", r.Value, at, ok)
	}
	for _, k := range []string{"held", "later"} {
		if l.last(k) {
			t.Errorf("a former leader serves %q", k)
		}
	}
	// What the next leader doesn't confirm is gone, what it grants is the last then.
	l.recs = map[string]message.Record{"k": {Key: "k", Version: message.Version{Term: 5, Seq: 9}}}
	l.mute = false
	l.carry(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(l.now + cfg.RenewInterval)
	l.mute = true
	l.run(l.now + 3*cfg.VolumeLease)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || r.Version.Seq != 9 || at <= lease {
		t.Errorf("after the next leader: %v, lapsed at %v, %v", r.Version, at, ok)
	}
}
