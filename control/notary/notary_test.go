package notary

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/control/survey"
	"mulleinmast/wire/form"
)

var cfg = Config{Duty: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, Beat: 333 * time.Millisecond}

// alone is a group of one, with notes to itself and saves carried out at once.
type alone struct {
	s    *Seat
	now  time.Duration
	done []Done
	drop []string
}

func (a *alone) carry(o Out) {
	a.done = append(a.done, o.Done...)
	for _, v := range o.Saves {
		a.drop = append(a.drop, v.Drop...)
		a.carry(a.s.Saved(v.Ticket))
	}
	for _, m := range o.Sends {
		m.Note.From, m.Note.Addr = "a", "x"
		a.carry(a.s.Hear(a.now, m.Note))
	}
}

func owner(t *testing.T) *alone {
	a := &alone{}
	g := form.Group{Num: 1, Seats: []form.Seat{{Ident: "a", Addr: "x"}}}
	a.s = New(cfg, 1, g.Seats[0], Meta{Group: g}, survey.NewBook(), 0, false)
	for ; a.now < 3*time.Second; a.now += 20 * time.Millisecond {
		a.carry(a.s.Tick(a.now))
		if a.s.Owner(a.now) && a.now < cfg.Wait(cfg.Duty) {
			t.Fatal("a restarted seat became owner before a full lease had passed")
		}
	}
	if !a.s.Owner(a.now) {
		t.Fatal("no owner")
	}
	return a
}

func TestFloorLetsOldRecordsGo(t *testing.T) {
	a := owner(t)
	put := func(key string, val []byte) {
		o, _ := a.s.Write(a.now, 1, []form.Rec{{Key: key, Val: val}})
		a.carry(o)
	}
	put("once/old", nil)
	put("plan/old", nil)
	mark, _ := json.Marshal(a.s.Seq())
	put("once/new", nil)
	put(FloorKey, mark)
	if len(a.done) != 4 || len(a.drop) != 1 || a.drop[0] != "once/old" {
		t.Errorf("done %v, dropped %v", a.done, a.drop)
	}
	for key, want := range map[string]bool{"once/old": false, "once/new": true, "plan/old": true} {
		if _, ok := a.s.Book().Get(key); ok != want {
			t.Errorf("%s kept: %v", key, ok)
		}
	}
}

// An owner whose renewals are not heard is none when its lease ends, and says
// of a write that it does not know.
func TestLapsedOwnerDoesNotKnow(t *testing.T) {
	a := owner(t)
	o, _ := a.s.Write(a.now, 7, []form.Rec{{Key: "k"}})
	lease := a.s.Lease()
	if a.s.Owner(lease) {
		t.Error("owner at the instant its lease ends")
	}
	out := a.s.Tick(lease)
	if !out.Lost || len(out.Done) != 1 || out.Done[0] != (Done{7, Uncertain}) {
		t.Errorf("%+v", out)
	}
	a.now = lease
	a.carry(o) // the write's own notes come late
	for _, d := range a.done {
		if d.Tag == 7 && d.Fate == Written {
			t.Error("acknowledged after the lease")
		}
	}
}
