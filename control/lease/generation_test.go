package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/wire/message"
)

// A snapshot that was read at the root stands only while Gen is the same, so
// holding a record must change it, and so must freeing it: the leader's own
// reads once went on from a list that was being written.
func TestGenerationChangesWhenARootRecordIsSuspended(t *testing.T) {
	n := New(cfg, 0, message.Replica{Ident: "p", Addr: "p"}, 1)
	n.BecomeRoot(1, func(key string) message.Record { return message.Record{Key: key} }, func() time.Duration { return time.Hour })
	before := n.Generation()
	if _, ok := n.Get(0, "k"); !ok {
		t.Fatal("the root doesn't serve it")
	}
	n.Suspend(0, "k", 7)
	held := n.Generation()
	if _, ok := n.Get(0, "k"); ok || held == before {
		t.Errorf("held: served %v, Gen %d after %d", ok, held, before)
	}
	n.Resume(0, "k")
	if _, ok := n.Get(0, "k"); !ok || n.Generation() == held || n.Generation() == before {
		t.Errorf("freed: served %v, Gen %d after %d", ok, n.Generation(), held)
	}
	n.ResignRoot()
	if n.Generation() == held {
		t.Error("a root that is none any more has the same Gen")
	}
}

// As long as Gen is the same and Until has not passed, what was read stands;
// whatever a node goes through.
func TestReadsStayValidWhileGenerationIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]uint64{"a": 1, "b": 1}
		n := New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1)
		now, no, held := time.Second, uint64(0), map[string]int{}
		mark := message.VolumeEpoch{Ident: "p", Epoch: 1}
		lists := map[uint64]bool{}
		take := func(o Out) {
			for _, s := range o.Sends {
				if s.Message.Kind == message.KindLeaseList {
					lists[s.Message.RequestID] = true
				}
			}
		}
		hear := func(m message.Message) {
			no++
			m.From, m.Addr, m.VolumeEpoch, m.RequestID, m.Term = "p", "p", mark, no, 1
			take(n.Step(now, m))
		}
		n.Pin(now, "a")
		n.Pin(now, "b")
		take(n.SetParent(now, message.Replica{Ident: "p", Addr: "p"}))
		type seen struct {
			ver uint64
			ok  bool
		}
		read := func() (out [2]seen) {
			for i, k := range []string{"a", "b"} {
				r, ok := n.Get(now, k)
				out[i] = seen{r.Version.Seq, ok}
			}
			return out
		}
		gen, until, was := n.Generation(), n.ValidUntil(), read()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				now += rapid.SampledFrom([]time.Duration{1, time.Millisecond, 300 * time.Millisecond, time.Second}).Draw(t, "passes")
				take(n.Tick(now))
			case 1:
				hear(message.Message{Kind: message.KindReconnect})
			case 2:
				for ref := range lists {
					delete(lists, ref)
					hear(message.Message{Kind: message.KindReconciled, ResponseTo: ref, Length: int64(cfg.VolumeLease), ObjectLease: int64(cfg.ObjectLease)})
					break
				}
			case 3:
				if n.IsRoot() {
					continue // there a record changes only while it is held
				}
				store[key]++
				hear(message.Message{Kind: message.KindGrantLease, Records: []message.Record{{Key: key, Version: message.Version{Term: 1, Seq: store[key]}}}, ObjectLease: int64(cfg.ObjectLease)})
			case 4:
				hear(message.Message{Kind: message.KindInvalidate, Key: key, ResponseTo: 3})
			case 5:
				if !n.IsRoot() {
					held = map[string]int{}
					n.BecomeRoot(2, func(k string) message.Record { return message.Record{Key: k, Version: message.Version{Seq: store[k]}} }, func() time.Duration { return 10 * time.Second })
				}
			case 6:
				if n.IsRoot() {
					held[key]++
					take(n.Suspend(now, key, 1))
				}
			case 7:
				if held[key] > 0 { // a write is done: what is held may change
					store[key]++
					held[key]--
					take(n.Resume(now, key))
				}
			case 8:
				if n.IsRoot() {
					held = map[string]int{}
					n.ResignRoot()
				}
			case 9:
				mark.Epoch++
				hear(message.Message{Kind: message.KindReconnect})
			}
			if got := read(); n.Generation() == gen && now < until && got != was {
				t.Fatalf("read %v, then %v, Gen %d all the while", was, got, gen)
			}
			gen, until, was = n.Generation(), n.ValidUntil(), read()
		}
	})
}
