package quorum

import (
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Nobody else is asked to promise a term before that term is on the candidate's
// own disk: a life that starts after this one, on the disk as it was, would take
// the same term again, and a promise that its earlier life was given would pass
// for its own, with only those records that the earlier life lacked.
func TestATermIsOnDiskBeforeItIsAskedFor(t *testing.T) {
	s := New(cfg, 1, three.Replicas[0], Meta{Promised: 5, To: "x", ToEpoch: 3, LastComplete: 5, Group: three}, digest.NewRecords(), 0, false)
	now := time.Duration(0)
	var saves []Save
	var asked []uint64 // terms that others were asked for
	var carry func(o Out)
	carry = func(o Out) {
		saves = append(saves, o.Saves...)
		for _, m := range o.Sends {
			n := m.Message
			n.From, n.Addr, n.Epoch = "a", "a", 1
			switch {
			case n.To == "a":
				carry(s.Hear(now, n))
			case n.Kind == message.Ask && n.Op == probe: // b is free
				carry(s.Hear(now, message.Message{Kind: message.Promise, Op: probe, From: "b", Addr: "b", Epoch: 1, Partition: 1, Num: n.Num, Group: message.Group{Num: three.Num}}))
			case n.Kind == message.Ask:
				asked = append(asked, n.Num)
			}
		}
	}
	for ; s.Meta().Tried == 0 && now < 10*whole; now += 20 * time.Millisecond {
		carry(s.Tick(now))
	}
	if len(saves) == 0 || saves[len(saves)-1].Meta.Tried != 6 {
		t.Fatalf("did not stand: %+v", saves)
	}
	if len(asked) > 0 {
		t.Errorf("others were asked for terms %v that are not on disk yet", asked)
	}
	for _, v := range saves {
		carry(s.Saved(v.Ticket))
	}
	if len(asked) != 2 || asked[0] != 6 || asked[1] != 6 {
		t.Errorf("with term 6 on disk others were asked for %v", asked)
	}
}

// A candidate whose disk was too slow asks for nothing that it gave up.
func TestATermThatWasGivenUpIsNotAskedFor(t *testing.T) {
	s := New(cfg, 1, three.Replicas[0], Meta{Promised: 5, To: "x", ToEpoch: 3, LastComplete: 5, Group: three}, digest.NewRecords(), 0, false)
	now := time.Duration(0)
	var saves []Save
	carry := func(o Out) (out []message.Message) {
		for len(o.Saves)+len(o.Sends) > 0 {
			saves = append(saves, o.Saves...)
			list := o.Sends
			o = Out{}
			for _, m := range list {
				n := m.Message
				n.From, n.Addr, n.Epoch = "a", "a", 1
				var more Out
				switch {
				case n.To == "a":
					more = s.Hear(now, n)
				case n.Kind == message.Ask && n.Op == probe:
					more = s.Hear(now, message.Message{Kind: message.Promise, Op: probe, From: "b", Addr: "b", Epoch: 1, Num: n.Num, Group: message.Group{Num: three.Num}})
				case n.Kind == message.Ask:
					out = append(out, n)
				}
				o.Saves, o.Sends = append(o.Saves, more.Saves...), append(o.Sends, more.Sends...)
			}
		}
		return out
	}
	for ; s.Meta().Tried == 0 && now < 10*whole; now += 20 * time.Millisecond {
		carry(s.Tick(now))
	}
	first := len(saves)
	for end := now + cfg.LeaderLease; now < end && s.mode == asking; now += 20 * time.Millisecond {
		carry(s.Tick(now))
	}
	if first == 0 || s.mode != idle {
		t.Fatalf("mode %d after %d saves", s.mode, first)
	}
	for _, v := range saves[:first] {
		if out := carry(s.Saved(v.Ticket)); len(out) > 0 {
			t.Errorf("asked for %+v", out)
		}
	}
}
