package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// A node that goes by last records, and a root whose lease has ended, hand
// nothing on to those below: no lease, no record and no confirmation of one.
func TestNothingIsGrantedWithoutALease(t *testing.T) {
	for _, root := range []bool{false, true} {
		l := newLeaf("k")
		if root {
			end := l.now + cfg.VolumeLease
			l.BecomeRoot(4, func(k string) message.Record { return l.recs[k] }, func() time.Duration { return end })
		}
		below(l, "k")
		l.mute = true
		l.run(l.now + 2*cfg.VolumeLease)
		if _, ok := l.Get(l.now, "k"); ok || root == l.last("k") {
			t.Fatalf("root %v: leased %v, last %v", root, ok, l.last("k"))
		}
		ask := []message.Message{
			{Kind: message.KindRenewLease, RequestID: 7, VolumeEpoch: l.VolumeEpoch(), Keys: []string{"k"}},
			{Kind: message.KindRenewLease, RequestID: 8},
			{Kind: message.KindLeaseList, RequestID: 9, VolumeEpoch: l.VolumeEpoch(), Records: []message.Record{{Key: "k", Version: l.recs["k"].Version}}},
		}
		for _, n := range ask {
			n.From, n.Epoch, n.Addr = "d", 1, "d"
			for _, s := range l.Step(l.now, n).Sends {
				if m := s.Message; m.To == "d" && m.Kind != message.KindDenyLease && m.Kind != message.KindReconnect {
					t.Errorf("root %v: a %s is answered by a %s with %d records for %v", root, n.Kind, m.Kind, len(m.Records), time.Duration(m.Length))
				}
			}
		}
	}
}
