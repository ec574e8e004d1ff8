package quorum

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var cfg = Config{
	LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond,
	HeartbeatInterval: 333 * time.Millisecond,
}

// single is a group of one replica, whose messages and saves complete immediately.
type single struct {
	replica *Replica
	now     time.Duration
	results []WriteResult
	deleted []string
}

func (a *single) apply(o Out) {
	a.results = append(a.results, o.Results...)
	for _, v := range o.Saves {
		a.deleted = append(a.deleted, v.Delete...)
		a.apply(a.replica.Saved(v.Ticket))
	}
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr = "a", "x"
		a.apply(a.replica.Step(a.now, m.Message))
	}
}

func newSingleLeader(t *testing.T) *single {
	a := &single{}
	g := message.Group{Number: 1, Replicas: []message.Replica{{Ident: "a", Addr: "x"}}}
	a.replica = restartedReplica(cfg, g.Replicas[0], Meta{Group: g}, 0)
	for ; a.now < 3*time.Second; a.now += 20 * time.Millisecond {
		a.apply(a.replica.Tick(a.now))
		if a.replica.IsLeader(a.now) && a.now < cfg.Wait(cfg.LeaderLease) {
			t.Fatal("a restarted replica became leader before a full lease had passed")
		}
	}
	if !a.replica.IsLeader(a.now) {
		t.Fatal("no leader")
	}
	return a
}

func TestFloorDeletesOldRecords(t *testing.T) {
	a := newSingleLeader(t)
	put := func(key string, val []byte) {
		o, _ := a.replica.Write(a.now, 1, []message.Record{{Key: key, Value: val}})
		a.apply(o)
	}
	put("once/old", nil)
	put("plan/old", nil)
	floor, _ := json.Marshal(a.replica.LastWritten())
	put("once/new", nil)
	put(FloorKey, floor)
	if len(a.results) != 4 || len(a.deleted) != 1 || a.deleted[0] != "once/old" {
		t.Errorf("results %v, deleted %v", a.results, a.deleted)
	}
	for key, want := range map[string]bool{"once/old": false, "once/new": true, "plan/old": true} {
		if _, ok := a.replica.Records().Get(key); ok != want {
			t.Errorf("%s kept: %v", key, ok)
		}
	}
}

// A leader whose lease isn't renewed must stop being leader when the lease ends, and
// report its pending writes as uncertain, even if they are acknowledged later.
func TestWriteAfterLeaseExpiryIsUncertain(t *testing.T) {
	a := newSingleLeader(t)
	o, _ := a.replica.Write(a.now, 7, []message.Record{{Key: "k"}})
	lease := a.replica.LeaseEnd()
	if a.replica.IsLeader(lease) {
		t.Error("leader at the instant its lease ends")
	}
	out := a.replica.Tick(lease)
	if !out.Lost || len(out.Results) != 1 || out.Results[0] != (WriteResult{7, Uncertain}) {
		t.Errorf("%+v", out)
	}
	a.now = lease
	a.apply(o) // the messages of the write arrive late
	for _, d := range a.results {
		if d.Tag == 7 && d.Outcome == Committed {
			t.Error("the write was reported as committed after the lease ended")
		}
	}
}
