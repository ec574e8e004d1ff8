package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// leaf is a node with a simulated parent that answers immediately while it is reachable.
type leaf struct {
	*Node
	now           time.Duration
	sequence      uint64 // of the parent's latest message
	isCutOff      bool   // messages to the parent are lost
	objectLease   time.Duration
	parentRecords map[string]message.Record // at the parent
	renewedAt     time.Duration             // when the last renewal was sent
}

func newLeaf(keys ...string) *leaf {
	l := &leaf{
		Node: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1), now: time.Second,
		objectLease: cfg.ObjectLease, parentRecords: map[string]message.Record{},
	}
	for _, k := range keys {
		l.parentRecords[k] = message.Record{Key: k, Version: message.Version{Term: 1, Seq: 1}}
		l.deliver(l.Pin(l.now, k))
	}
	l.deliver(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.runUntil(2 * time.Second)
	return l
}

// receiveFromParent delivers a message from the parent.
func (l *leaf) receiveFromParent(m message.Message) {
	l.sequence++
	m.From, m.Addr = "p", "p"
	m = m.WithGrantHeader(message.GrantHeader{
		Sequence: l.sequence, ChildEpoch: 1, VolumeEpoch: message.VolumeEpoch{Ident: "p", Epoch: 1},
	})
	l.deliver(l.Step(l.now, m))
}

// deliver passes the messages of a step to the simulated parent, and its answers back.
func (l *leaf) deliver(out Out) {
	for _, s := range out.Sends {
		m := s.Message
		if m.Kind == message.KindRenewLease {
			l.renewedAt = l.now
		}
		switch {
		case l.isCutOff:
		case m.Kind == message.KindRenewLease && m.VolumeEpoch == (message.VolumeEpoch{}):
			l.receiveFromParent(message.ReconnectRequest{ResponseTo: m.RequestID}.Message(0))
		case m.Kind == message.KindRenewLease:
			grant := message.LeaseGrant{
				ResponseTo: m.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: l.objectLease,
			}
			for _, k := range m.Keys {
				if r, ok := l.parentRecords[k]; ok {
					grant.Records = append(grant.Records, r)
				}
			}
			l.receiveFromParent(grant.Message(0))
		case m.Kind == message.KindLeaseList:
			answer := message.Reconciliation{
				ResponseTo: m.RequestID, VolumeLease: cfg.VolumeLease, ObjectLease: l.objectLease,
			}
			for _, r := range m.Records {
				if l.parentRecords[r.Key].Version == r.Version {
					answer.Records = append(answer.Records, r)
				}
			}
			l.receiveFromParent(answer.Message(0))
		}
	}
}

// runUntil advances the time with regular ticks, as a daemon does.
func (l *leaf) runUntil(until time.Duration) {
	for ; l.now < until; l.now += 25 * time.Millisecond {
		l.deliver(l.Tick(l.now))
	}
}

func (l *leaf) servesLastKnown(key string) bool {
	_, _, ok := l.LastKnown(l.now, key)
	return ok
}

// LastKnown serves a record only after its leases have expired and renewals have been
// unanswered for half a renew interval. A node that keeps running has no gap between
// leased and last known records, while a node that was frozen must renew first.
func TestLastKnownRequiresUnansweredRenewal(t *testing.T) {
	l := newLeaf("k")
	l.isCutOff = true
	for expiry := l.VolumeExpiry(); l.now < expiry; l.runUntil(l.now + 1) {
		if l.servesLastKnown("k") {
			t.Fatalf("last known record served at %v, but the lease is valid until %v", l.now, expiry)
		}
	}
	if _, ok := l.Get(l.now, "k"); ok {
		t.Fatal("Get serves the record without a lease")
	}
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || at != l.VolumeExpiry() || r.Version != l.parentRecords["k"].Version {
		t.Errorf("renewals unanswered since %v, now %v: got version %v, expired at %v, ok %v",
			l.renewedAt, l.now, r.Version, at, ok)
	}
	l.runUntil(l.now + time.Minute/2)
	if !l.servesLastKnown("k") {
		t.Error("LastKnown stopped serving the record after 30 s; only its caller may bound the duration")
	}

	// The node is frozen until 8 s, with or without an unanswered renewal.
	for _, renewing := range []bool{true, false} {
		for _, answered := range []bool{true, false} {
			l := newLeaf("k")
			if l.isCutOff = renewing; renewing {
				l.runUntil(l.now + cfg.RenewInterval + cfg.RenewInterval/2)
			}
			l.now, l.isCutOff = 8*time.Second, !answered
			if l.servesLastKnown("k") {
				t.Error("after a freeze: served before the first tick")
			}
			for wokeAt := l.now; l.now < wokeAt+cfg.RenewInterval/2; l.runUntil(l.now + 1) {
				if l.servesLastKnown("k") {
					t.Fatalf("after a freeze: served %v after waking up, last renewal at %v", l.now-wokeAt, l.renewedAt)
				}
			}
			l.runUntil(l.now + 1)
			if _, ok := l.Get(l.now, "k"); ok != answered || l.servesLastKnown("k") == answered || l.renewedAt < 8*time.Second {
				t.Errorf("after a freeze, answered %v: Get %v, LastKnown %v, renewed at %v",
					answered, ok, l.servesLastKnown("k"), l.renewedAt)
			}
		}
	}
}

// LastKnown never serves a withdrawn record, regardless of how the record was withdrawn.
func TestLastKnownNeverServesWithdrawnRecord(t *testing.T) {
	for name, withdraw := range map[string]func(*leaf){
		"invalidated under valid leases": func(l *leaf) {
			l.isCutOff = true
			l.receiveFromParent(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"invalidated after the leases expired": func(l *leaf) {
			l.isCutOff = true
			l.runUntil(l.now + 2*cfg.VolumeLease)
			l.receiveFromParent(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"not confirmed in a reconnect": func(l *leaf) {
			l.parentRecords = nil
			l.receiveFromParent(message.ReconnectRequest{}.Message(0))
			l.isCutOff = true
		},
		"invalidation still in progress below": func(l *leaf) {
			addSilentChild(l, "k")
			l.isCutOff = true
			l.receiveFromParent(message.Invalidation{Key: "k", Number: 3}.Message(0))
		},
		"object lease expired first": func(l *leaf) {
			l.isCutOff = true
			l.records.cached["k"] = cachedRecord{record: l.parentRecords["k"], expiry: l.VolumeExpiry() - 1}
		},
	} {
		l := newLeaf("k", "other")
		withdraw(l)
		for end := l.now + 3*cfg.VolumeLease; l.now < end; l.runUntil(l.now + 1) {
			if l.servesLastKnown("k") {
				t.Errorf("%s: served at %v, leases expired at %v", name, l.now, l.VolumeExpiry())
				break
			}
		}
	}
}

// addSilentChild adds a child to a leaf that holds the record and no longer answers.
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

// A root serves records only under its leader lease. After it resigns, LastKnown serves the
// records that it last served, but not those that were being written or that a later
// leader has already written.
func TestLastKnownRecordsOfAFormerLeader(t *testing.T) {
	store := map[string]message.Record{}
	for _, k := range []string{"k", "held", "later"} {
		store[k] = message.Record{Key: k, Version: message.Version{Term: 4, Seq: 1}, Value: []byte("old")}
	}
	l := newLeaf("k", "held", "later")
	l.isCutOff = true
	leaseEnd := l.now + time.Second
	l.BecomeRoot(4, func(k string) message.Record { return store[k] }, func() time.Duration { return leaseEnd })
	l.Suspend(l.now, "held", 1)
	for range 3 { // the lease expires before the root has resigned
		l.runUntil(l.now + time.Second)
		for k := range store {
			if l.servesLastKnown(k) {
				t.Errorf("LastKnown serves %s at the root at %v, leader lease ends at %v", k, l.now, leaseEnd)
			}
		}
	}
	store["later"] = message.Record{Key: "later", Version: message.Version{Term: 5, Seq: 1}, Value: []byte("new")}
	l.ResignRoot()
	if l.servesLastKnown("k") {
		t.Error("LastKnown serves a record before a renewal was attempted")
	}
	l.runUntil(l.now + cfg.RenewInterval)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || string(r.Value) != "old" || at != leaseEnd {
		t.Errorf("after ResignRoot: value %q, expired at %v, ok %v", r.Value, at, ok)
	}
	for _, k := range []string{"held", "later"} {
		if l.servesLastKnown(k) {
			t.Errorf("LastKnown serves %q after ResignRoot", k)
		}
	}
	// Records that the next leader does not confirm are dropped. Records that it grants become
	// the last known records.
	l.parentRecords = map[string]message.Record{"k": {Key: "k", Version: message.Version{Term: 5, Seq: 9}}}
	l.isCutOff = false
	l.deliver(l.SetParent(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.runUntil(l.now + cfg.RenewInterval)
	l.isCutOff = true
	l.runUntil(l.now + 3*cfg.VolumeLease)
	if r, at, ok := l.LastKnown(l.now, "k"); !ok || r.Version.Seq != 9 || at <= leaseEnd {
		t.Errorf("after the next leader: version %v, expired at %v, ok %v", r.Version, at, ok)
	}
}
