package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// A node that serves last known records must not grant leases or records to its children, or
// confirm their records. The same applies to a root whose lease has expired.
func TestNothingIsGrantedWithoutLease(t *testing.T) {
	for _, root := range []bool{false, true} {
		l := newLeaf("k")
		if root {
			end := l.now + cfg.VolumeLease
			l.BecomeRoot(4, func(k string) message.Record { return l.parentRecords[k] }, func() time.Duration { return end })
		}
		addSilentChild(l, "k")
		l.isCutOff = true
		l.runUntil(l.now + 2*cfg.VolumeLease)
		if _, ok := l.Get(l.now, "k"); ok || root == l.servesLastKnown("k") {
			t.Fatalf("root %v: Get %v, LastKnown %v", root, ok, l.servesLastKnown("k"))
		}
		confirmed := []message.Record{{Key: "k", Version: l.parentRecords["k"].Version}}
		requests := []message.Message{
			message.LeaseRenewal{RequestID: 7, VolumeEpoch: l.VolumeEpoch(), Keys: []string{"k"}}.Message(0),
			message.LeaseRenewal{RequestID: 8}.Message(0),
			message.LeaseList{RequestID: 9, VolumeEpoch: l.VolumeEpoch(), Records: confirmed}.Message(0),
		}
		for _, request := range requests {
			request.From, request.Epoch, request.Addr = "d", 1, "d"
			for _, s := range l.Step(l.now, request).Sends {
				m := s.Message
				if m.To == "d" && m.Kind != message.KindDenyLease && m.Kind != message.KindReconnect {
					t.Errorf("root %v: a %s was answered by a %s with %d records and a lease of %v",
						root, request.Kind, m.Kind, len(m.Records), time.Duration(m.Length))
				}
			}
		}
	}
}
