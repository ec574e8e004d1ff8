package section

import (
	"testing"
	"time"

	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

const vol = 800 * time.Millisecond

var me = form.Seat{Ident: "o", Addr: "10.0.0.1:1"}

// owner is a section that owns its part alone, with its disk at hand.
func owner(t *testing.T) (*Section, func(Out) Out) {
	t.Helper()
	cfg := notary.Config{Duty: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: 333 * time.Millisecond}
	seat := notary.New(cfg, 1, me, notary.Meta{Group: form.Group{Num: 1, Seats: []form.Seat{me}}}, survey.NewBook(), 0, true)
	node := purge.New(purge.Config{Vol: vol, Obj: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: vol / 3}, 1, me, 1)
	s := New(1, me, 1, seat, node)
	var now time.Duration
	var sync func(o Out) Out
	sync = func(o Out) Out {
		for len(o.Saves) > 0 {
			save := o.Saves[0]
			o.Saves = o.Saves[1:]
			p := s.Saved(now, save.Ticket)
			o.Saves, o.Sends, o.Results = append(o.Saves, p.Saves...), append(o.Sends, p.Sends...), append(o.Results, p.Results...)
		}
		return o
	}
	for now = 0; !s.Owner(now); now += 10 * time.Millisecond {
		if now > time.Minute {
			t.Fatal("no owner")
		}
		sync(s.Tick(now))
	}
	return s, sync
}

// A write is acknowledged only after the child that holds the record has
// acknowledged its purge, or after that child's lease has lapsed; meanwhile
// nobody is served the record, old or new.
func TestNoYesBeforeThePurge(t *testing.T) {
	for _, acks := range []bool{true, false} {
		s, sync := owner(t)
		now := s.Seat.Lease() - 900*time.Millisecond
		kid := func(n form.Note) form.Note {
			n.Part, n.From, n.Epoch, n.Addr = 1, "kid", 1, "10.0.0.2:1"
			return n
		}
		sync(s.Hear(now, kid(form.Note{Kind: form.Renew, No: 1})))
		synced := sync(s.Hear(now, kid(form.Note{Kind: form.Listing, No: 2, Mark: s.Node.Mark()})))
		sync(s.Hear(now, kid(form.Note{Kind: form.Connect, Ref: synced.Sends[0].Note.No, Mark: s.Node.Mark()})))
		sync(s.Hear(now, kid(form.Note{Kind: form.Renew, No: 3, Mark: s.Node.Mark(), Keys: []string{"k"}})))
		asked := now
		o := sync(s.Do(now, 7, Job{Keys: []string{"k"}, Make: func(purge.Source) ([]form.Rec, any) {
			return []form.Rec{{Key: "k", Val: []byte("new")}}, nil
		}}))
		if len(o.Results) > 0 || len(o.Sends) != 1 || o.Sends[0].Note.Kind != form.Purge {
			t.Fatalf("acks %v: before the purge: %+v", acks, o)
		}
		if _, ok := s.Node.Get(now, "k"); ok {
			t.Error("the owner serves a record that is being purged")
		}
		if acks {
			o = sync(s.Hear(now, kid(form.Note{Kind: form.Purged, Key: "k", Ref: o.Sends[0].Note.Ref})))
		} else {
			for o.Results = nil; len(o.Results) == 0 && now < asked+3*vol; now += 10 * time.Millisecond {
				o = sync(s.Tick(now))
			}
			if now < asked+vol {
				t.Errorf("a silent child's lease of %v was waited for only %v", vol, now-asked)
			}
		}
		if len(o.Results) != 1 || o.Results[0].Fate != Done {
			t.Fatalf("acks %v: %+v", acks, o.Results)
		}
		if r, ok := s.Node.Get(now, "k"); !ok || string(r.Val) != "new" {
			t.Errorf("acks %v: serves %q %v", acks, r.Val, ok)
		}
	}
}

// A job that looked at two records and writes one withdraws that one alone; no
// other job touches either meanwhile.
func TestOnlyWhatIsWrittenIsWithdrawn(t *testing.T) {
	s, sync := owner(t)
	now := s.Seat.Lease() - 900*time.Millisecond
	write := func(keys ...string) Job {
		return Job{Keys: []string{"a", "b"}, Make: func(purge.Source) (recs []form.Rec, _ any) {
			for _, k := range keys {
				recs = append(recs, form.Rec{Key: k, Val: []byte("new")})
			}
			return recs, nil
		}}
	}
	first := s.Do(now, 1, write("a")) // not on disk yet
	if _, ok := s.Node.Get(now, "a"); ok {
		t.Error("the record that is written is served")
	}
	if _, ok := s.Node.Get(now, "b"); !ok {
		t.Error("the record that was only looked at is withdrawn")
	}
	if o := s.Do(now, 2, write("b")); len(o.Results)+len(o.Saves) > 0 {
		t.Errorf("a second job ran beside the first: %+v", o)
	}
	if o := sync(first); len(o.Results) != 2 || o.Results[0].Fate != Done || o.Results[1].Fate != Done {
		t.Errorf("%+v", o.Results)
	}
	for _, k := range []string{"a", "b"} {
		if r, ok := s.Node.Get(now, k); !ok || string(r.Val) != "new" {
			t.Errorf("%s: %q %v", k, r.Val, ok)
		}
	}
}
