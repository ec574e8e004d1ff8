package quorum

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

var cfg = Config{LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, HeartbeatInterval: 333 * time.Millisecond}

// alone is a group of one, with messages to itself and saves carried out at once.
type alone struct {
	s    *Replica
	now  time.Duration
	done []WriteResult
	drop []string
}

func (a *alone) carry(o Out) {
	a.done = append(a.done, o.Results...)
	for _, v := range o.Saves {
		a.drop = append(a.drop, v.Delete...)
		a.carry(a.s.Saved(v.Ticket))
	}
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr = "a", "x"
		a.carry(a.s.Step(a.now, m.Message))
	}
}

func leader(t *testing.T) *alone {
	a := &alone{}
	g := message.Group{Number: 1, Replicas: []message.Replica{{Ident: "a", Addr: "x"}}}
	a.s = New(cfg, 1, g.Replicas[0], nil, Meta{Group: g}, digest.NewRecords(), 0, false)
	for ; a.now < 3*time.Second; a.now += 20 * time.Millisecond {
		a.carry(a.s.Tick(a.now))
		if a.s.Leader(a.now) && a.now < cfg.Wait(cfg.LeaderLease) {
			t.Fatal("a restarted replica became leader before a full lease had passed")
		}
	}
	if !a.s.Leader(a.now) {
		t.Fatal("no leader")
	}
	return a
}

func TestFloorLetsOldRecordsGo(t *testing.T) {
	a := leader(t)
	put := func(key string, val []byte) {
		o, _ := a.s.Write(a.now, 1, []message.Record{{Key: key, Value: val}})
		a.carry(o)
	}
	put("once/old", nil)
	put("plan/old", nil)
	mark, _ := json.Marshal(a.s.LastWritten())
	put("once/new", nil)
	put(FloorKey, mark)
	if len(a.done) != 4 || len(a.drop) != 1 || a.drop[0] != "once/old" {
		t.Errorf("done %v, dropped %v", a.done, a.drop)
	}
	for key, want := range map[string]bool{"once/old": false, "once/new": true, "plan/old": true} {
		if _, ok := a.s.Records().Get(key); ok != want {
			t.Errorf("%s kept: %v", key, ok)
		}
	}
}

// A leader whose renewals are not heard is none when its lease ends, and says
// of a write that it does not know.
func TestLapsedLeaderDoesNotKnow(t *testing.T) {
	a := leader(t)
	o, _ := a.s.Write(a.now, 7, []message.Record{{Key: "k"}})
	lease := a.s.LeaseEnd()
	if a.s.Leader(lease) {
		t.Error("leader at the instant its lease ends")
	}
	out := a.s.Tick(lease)
	if !out.Lost || len(out.Results) != 1 || out.Results[0] != (WriteResult{7, Uncertain}) {
		t.Errorf("%+v", out)
	}
	a.now = lease
	a.carry(o) // the write's own messages come late
	for _, d := range a.done {
		if d.Tag == 7 && d.Outcome == Committed {
			t.Error("acknowledged after the lease")
		}
	}
}
