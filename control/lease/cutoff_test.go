package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// A node that goes by last records, and a root whose lease has ended, hand
// nothing on to those below: no lease, no record and no confirmation of one.
func TestNothingIsHandedOnWithoutALease(t *testing.T) {
	for _, root := range []bool{false, true} {
		l := newLeaf("k")
		if root {
			end := l.now + cfg.Vol
			l.Crown(4, func(k string) message.Rec { return l.recs[k] }, func() time.Duration { return end })
		}
		below(l, "k")
		l.mute = true
		l.run(l.now + 2*cfg.Vol)
		if _, ok := l.Get(l.now, "k"); ok || root == l.last("k") {
			t.Fatalf("root %v: leased %v, last %v", root, ok, l.last("k"))
		}
		ask := []message.Message{
			{Kind: message.Renew, No: 7, Mark: l.Mark(), Keys: []string{"k"}},
			{Kind: message.Renew, No: 8},
			{Kind: message.Listing, No: 9, Mark: l.Mark(), Recs: []message.Rec{{Key: "k", Ver: l.recs["k"].Ver}}},
		}
		for _, n := range ask {
			n.From, n.Epoch, n.Addr = "d", 1, "d"
			for _, s := range l.Hear(l.now, n).Sends {
				if m := s.Message; m.To == "d" && m.Kind != message.Deny && m.Kind != message.Reconnect {
					t.Errorf("root %v: a %s is answered by a %s with %d records for %v", root, n.Kind, m.Kind, len(m.Recs), time.Duration(m.Len))
				}
			}
		}
	}
}
