package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// leaf is a node below a parent that answers at once while it can be reached.
type leaf struct {
	*Node
	now         time.Duration
	sequence    uint64 // of the parent's messages
	isCutOff    bool   // the parent neither hears nor answers
	objectLease time.Duration
	stored      map[string]message.Record // at the parent
	renewedAt   time.Duration             // when a renewal last went out
}

func newLeaf(keys ...string) *leaf {
	l := &leaf{
		Node: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1), now: time.Second,
		objectLease: cfg.ObjectLease, stored: map[string]message.Record{},
	}
	for _, k := range keys {
		l.stored[k] = message.Record{Key: k, Version: message.Version{Term: 1, Seq: 1}}
		l.carry(l.Pin(l.now, k))
	}
	l.carry(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(2 * time.Second)
	return l
}

// hear brings a message of the parent's.
func (l *leaf) hear(m message.Message) {
	l.sequence++
	m.From, m.Addr = "p", "p"
	m = m.WithGrantHeader(message.GrantHeader{
		Sequence: l.sequence, ChildEpoch: 1, VolumeEpoch: message.VolumeEpoch{Ident: "p", Epoch: 1},
	})
	l.carry(l.Step(l.now, m))
}

func (l *leaf) carry(out Out) {
	for _, s := range out.Sends {
		m := s.Message
		if m.Kind == message.KindRenewLease {
			l.renewedAt = l.now
		}
		switch {
		case l.isCutOff:
		case m.Kind == message.KindRenewLease && m.VolumeEpoch == (message.VolumeEpoch{}):
			l.hear(message.ReconnectRequest{ResponseTo: m.RequestID}.Message(0))
		case m.Kind == message.KindRenewLease:
			grant := message.LeaseGrant{
				ResponseTo: m.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: l.objectLease,
			}
			for _, k := range m.Keys {
				if r, ok := l.stored[k]; ok {
					grant.Records = append(grant.Records, r)
				}
			}
			l.hear(grant.Message(0))
		case m.Kind == message.KindLeaseList:
			answer := message.Reconciliation{
				ResponseTo: m.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: l.objectLease,
			}
			for _, r := range m.Records {
				if l.stored[r.Key].Version == r.Version {
					answer.Records = append(answer.Records, r)
				}
			}
			l.hear(answer.Message(0))
		}
	}
}

// run lets time pass as a daemon's ticker does.
func (l *leaf) run(until time.Duration) {
	for ; l.now < until; l.now += 25 * time.Millisecond {
		l.carry(l.Tick(l.now))
	}
}

func (l *leaf) servesLastKnown(key string) bool {
	_, _, ok := l.LastKnown(l.now, key)
	return ok
}

// A cached record is served beyond its leases once renewals were unanswered for half a
// renew interval, and not before: a node that runs goes on without a gap, one that was
// frozen asks first. Nothing of it while the leases stand.
func TestLastKnownOnlyAfterAnUnansweredRenewal(t *testing.T) {
	l := newLeaf("k")
	l.isCutOff = true
	for till := l.VolumeExpiry(); l.now < till; l.run(l.now + 1) {
		if l.servesLastKnown("k") {
			t.Fatalf("at %v, and the lease stands until %v", l.now, till)
		}
	}
	if _, ok := l.Get(l.now, "k"); ok {
		t.Fatal("served without a lease")
	}
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || at != l.VolumeExpiry() || r.Version != l.stored["k"].Version {
		t.Errorf("renewals were unanswered since %v, it is %v: %v %v %v", l.renewedAt, l.now, r.Version, at, ok)
	}
	l.run(l.now + time.Minute/2)
	if !l.servesLastKnown("k") {
		t.Error("for how long is its user's to bound")
	}

	// Frozen until 8 s, with a renewal under way for long, or none.
	for _, renewing := range []bool{true, false} {
		for _, answered := range []bool{true, false} {
			l := newLeaf("k")
			if l.isCutOff = renewing; renewing {
				l.run(l.now + cfg.RenewInterval + cfg.RenewInterval/2)
			}
			l.now, l.isCutOff = 8*time.Second, !answered
			if l.servesLastKnown("k") {
				t.Error("frozen: served before the first step")
			}
			for wokeAt := l.now; l.now < wokeAt+cfg.RenewInterval/2; l.run(l.now + 1) {
				if l.servesLastKnown("k") {
					t.Fatalf("frozen: served %v after it woke, asked at %v", l.now-wokeAt, l.renewedAt)
				}
			}
			l.run(l.now + 1)
			if _, ok := l.Get(l.now, "k"); ok != answered || l.servesLastKnown("k") == answered || l.renewedAt < 8*time.Second {
				t.Errorf("frozen, answered %v: leased %v, last %v, asked at %v", answered, ok, l.servesLastKnown("k"), l.renewedAt)
			}
		}
	}
}

// A record that was withdrawn is never served again, in whichever way that was.
func TestLastKnownNeverServesAWithdrawnRecord(t *testing.T) {
	for name, withdraw := range map[string]func(*leaf){
		"invalidated under leases": func(l *leaf) {
			l.isCutOff = true
			l.hear(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"invalidated when they lapsed": func(l *leaf) {
			l.isCutOff = true
			l.run(l.now + 2*cfg.VolumeLease)
			l.hear(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"not confirmed by a list": func(l *leaf) {
			l.stored = nil
			l.hear(message.ReconnectRequest{}.Message(0))
			l.isCutOff = true
		},
		"being invalidated below": func(l *leaf) {
			addSilentChild(l, "k")
			l.isCutOff = true
			l.hear(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"its own lease had lapsed": func(l *leaf) {
			l.isCutOff = true
			l.records.cached["k"] = cachedRecord{record: l.stored["k"], expiry: l.VolumeExpiry() - 1}
		},
	} {
		l := newLeaf("k", "other")
		withdraw(l)
		for end := l.now + 3*cfg.VolumeLease; l.now < end; l.run(l.now + 1) {
			if l.servesLastKnown("k") {
				t.Errorf("%s: served at %v, lapsed at %v", name, l.now, l.VolumeExpiry())
				break
			}
		}
	}
}

// addSilentChild puts a child below a leaf that holds the record and answers no more.
func addSilentChild(l *leaf, key string) {
	fromChild := func(m message.Message) []message.Envelope {
		m.From, m.Epoch, m.Addr = "d", 1, "d"
		return l.Step(l.now, m).Sends
	}
	fromChild(message.LeaseRenewal{RequestID: 1}.Message(0))
	reconciled := fromChild(message.LeaseList{RequestID: 2, VolumeEpoch: l.VolumeEpoch()}.Message(0))
	done := message.ReconnectDone{Sequence: reconciled[0].Message.RequestID, VolumeEpoch: l.VolumeEpoch()}
	fromChild(done.Message(0))
	renewal := message.LeaseRenewal{RequestID: 3, VolumeEpoch: l.VolumeEpoch(), Keys: []string{key}}
	fromChild(renewal.Message(0))
}

// The root serves by its leadership alone. When that has ended it knows what it last
// read, though not what was being written, nor what a later leader brought it.
func TestLastKnownRecordsOfAFormerLeader(t *testing.T) {
	store := map[string]message.Record{}
	for _, k := range []string{"k", "held", "later"} {
		store[k] = message.Record{Key: k, Version: message.Version{Term: 4, Seq: 1}, Value: []byte("old")}
	}
	l := newLeaf("k", "held", "later")
	l.isCutOff = true
	lease := l.now + time.Second
	l.BecomeRoot(4, func(k string) message.Record { return store[k] }, func() time.Duration { return lease })
	l.Suspend(l.now, "held", 1)
	for range 3 { // its lease ends, and nobody has told it yet
		l.run(l.now + time.Second)
		for k := range store {
			if l.servesLastKnown(k) {
				t.Errorf("the root serves the last %s at %v, its lease ends at %v", k, l.now, lease)
			}
		}
	}
	store["later"] = message.Record{Key: "later", Version: message.Version{Term: 5, Seq: 1}, Value: []byte("new")}
	l.ResignRoot()
	if l.servesLastKnown("k") {
		t.Error("it asked nobody yet")
	}
	l.run(l.now + cfg.RenewInterval)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || string(r.Value) != "old" || at != lease {
		t.Errorf("a former leader: %q, lapsed at %v, %v", r.Value, at, ok)
	}
	for _, k := range []string{"held", "later"} {
		if l.servesLastKnown(k) {
			t.Errorf("a former leader serves %q", k)
		}
	}
	// What the next leader doesn't confirm is gone, what it grants is the last then.
	l.stored = map[string]message.Record{"k": {Key: "k", Version: message.Version{Term: 5, Seq: 9}}}
	l.isCutOff = false
	l.carry(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(l.now + cfg.RenewInterval)
	l.isCutOff = true
	l.run(l.now + 3*cfg.VolumeLease)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || r.Version.Seq != 9 || at <= lease {
		t.Errorf("after the next leader: %v, lapsed at %v, %v", r.Version, at, ok)
	}
}
