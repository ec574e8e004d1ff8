package section

import (
	"testing"
	"time"

	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

// A daemon that owned the part, was killed and is back owns it again at once:
// it serves and grants what was in force, and writes nothing, nor changes its
// group, until leases that it had granted before have lapsed. Then what waited
// is written. What waits when the duty is lost was not done.
func TestAnEarlyOwnerWritesLater(t *testing.T) {
	cfg := notary.Config{Duty: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: 333 * time.Millisecond}
	for _, lost := range []bool{false, true} {
		book := survey.NewBook()
		book.Put(form.Rec{Key: "k", Ver: form.Ver{Term: 4, Seq: 2}, Val: []byte("old")})
		meta := notary.Meta{Promised: 4, To: me.Ident, ToEpoch: 1, Tried: 4, Set: 4, Group: form.Group{Num: 1, Seats: []form.Seat{me}}}
		s := New(1, me, 2, notary.New(cfg, 1, me, meta, book, 0, false), purge.New(purge.Config{Vol: vol, Obj: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: vol / 3}, 1, me, 2))
		var now time.Duration
		var sync func(o Out) Out
		sync = func(o Out) (all Out) {
			all = o
			for len(o.Saves) > 0 {
				p := s.Saved(now, o.Saves[0].Ticket)
				o.Saves = append(o.Saves[1:], p.Saves...)
				all.Sends, all.Results = append(all.Sends, p.Sends...), append(all.Results, p.Results...)
			}
			return all
		}
		for ; !s.Owner(now); now += 10 * time.Millisecond {
			sync(s.Tick(now))
		}
		if now > 200*time.Millisecond {
			t.Fatalf("owner after %v", now)
		}
		if s.Calm() < cfg.Wait(cfg.Duty) {
			t.Fatalf("calm at %v, though leases of the life before may stand for %v", s.Calm(), cfg.Wait(cfg.Duty))
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Val) != "old" {
			t.Errorf("what is in force is not served: %q %v", r.Val, ok)
		}
		kid := func(n form.Note) []form.Send {
			n.Part, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return sync(s.Hear(now, n)).Sends
		}
		kid(form.Note{Kind: form.Renew, No: 1})
		synced := kid(form.Note{Kind: form.Listing, No: 2, Mark: s.Node.Mark()})
		kid(form.Note{Kind: form.Connect, Ref: synced[0].Note.No, Mark: s.Node.Mark()})
		if out := kid(form.Note{Kind: form.Renew, No: 3, Mark: s.Node.Mark(), Keys: []string{"k"}}); len(out) != 1 || out[0].Note.Len == 0 || len(out[0].Note.Recs) != 1 {
			t.Errorf("a child is not granted leases: %+v", out)
		}

		made := false
		o := sync(s.Do(now, 7, Job{Keys: []string{"k"}, Make: func(purge.Source) ([]form.Rec, any) {
			made = true
			return []form.Rec{{Key: "k", Val: []byte("new")}}, nil
		}}))
		sync(s.Regroup(now, []form.Seat{{Ident: "z", Addr: "10.0.0.3:1"}}))
		for ; now < s.Calm() && len(o.Results) == 0; now += 10 * time.Millisecond {
			if lost && now > 300*time.Millisecond {
				s.Seat.Resign()
				s.lose(&o)
				continue
			}
			kid(form.Note{Kind: form.Renew, No: uint64(now), Mark: s.Node.Mark()})
			o = sync(s.Tick(now))
			if made || len(o.Sends) > 0 || s.Seat.Group().Num != 1 {
				t.Fatalf("at %v, calm at %v: made %v, sent %+v, group %+v", now, s.Calm(), made, o.Sends, s.Seat.Group())
			}
		}
		if lost {
			if made || len(o.Results) != 1 || o.Results[0].Fate != NotOwner {
				t.Errorf("the duty lost: made %v, %+v", made, o.Results)
			}
			continue
		}
		o = sync(s.Tick(now))
		if !made || len(o.Sends) != 1 || o.Sends[0].Note.Kind != form.Purge {
			t.Fatalf("calm: made %v, sent %+v", made, o.Sends)
		}
		o = sync(s.Hear(now, form.Note{Kind: form.Purged, Part: 1, From: "kid", Epoch: 1, Addr: "10.0.0.2:1", Key: "k", Ref: o.Sends[0].Note.Ref}))
		if len(o.Results) != 1 || o.Results[0].Fate != Done {
			t.Errorf("calm: %+v", o.Results)
		}
		if sync(s.Regroup(now, []form.Seat{{Ident: "z", Addr: "10.0.0.3:1"}})); s.Seat.Group().Num != 2 {
			t.Errorf("calm: group %+v", s.Seat.Group())
		}
	}
}
