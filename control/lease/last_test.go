package lease

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// leaf is a node below a parent that answers at once while it can be reached.
type leaf struct {
	*Node
	now   time.Duration
	no    uint64
	mute  bool
	long  time.Duration // of the object leases
	recs  map[string]message.Rec
	asked time.Duration // when a renewal last went out
}

func newLeaf(keys ...string) *leaf {
	l := &leaf{Node: New(cfg, 0, message.Replica{Ident: "c", Addr: "c"}, 1), now: time.Second, long: cfg.Obj, recs: map[string]message.Rec{}}
	for _, k := range keys {
		l.recs[k] = message.Rec{Key: k, Ver: message.Ver{Term: 1, Seq: 1}}
		l.carry(l.Pin(l.now, k))
	}
	l.carry(l.Adopt(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(2 * time.Second)
	return l
}

// hear brings a message of the parent's.
func (l *leaf) hear(n message.Message) {
	l.no++
	n.From, n.Addr, n.Mark, n.No, n.Num = "p", "p", message.Mark{Ident: "p", Epoch: 1}, l.no, 1
	l.carry(l.Hear(l.now, n))
}

func (l *leaf) carry(o Out) {
	for _, s := range o.Sends {
		n := s.Message
		if n.Kind == message.Renew {
			l.asked = l.now
		}
		switch {
		case l.mute:
		case n.Kind == message.Renew && n.Mark == (message.Mark{}):
			l.hear(message.Message{Kind: message.Reconnect, Ref: n.No})
		case n.Kind == message.Renew:
			g := message.Message{Kind: message.Grant, Ref: n.No, Len: int64(cfg.Vol), Long: int64(l.long)}
			for _, k := range n.Keys {
				if r, ok := l.recs[k]; ok {
					g.Recs = append(g.Recs, r)
				}
			}
			l.hear(g)
		case n.Kind == message.Listing:
			y := message.Message{Kind: message.Synced, Ref: n.No, Len: int64(cfg.Vol), Long: int64(l.long)}
			for _, r := range n.Recs {
				if l.recs[r.Key].Ver == r.Ver {
					y.Recs = append(y.Recs, r)
				}
			}
			l.hear(y)
		}
	}
}

// run lets time pass as a daemon's ticker does.
func (l *leaf) run(until time.Duration) {
	for ; l.now < until; l.now += 25 * time.Millisecond {
		l.carry(l.Tick(l.now))
	}
}

func (l *leaf) last(key string) bool {
	_, _, ok := l.Last(l.now, key)
	return ok
}

// What a node holds is served beyond its leases when renewals were asked for in
// vain for half a beat, and not before: who runs goes on without a gap, who was
// frozen asks first. Nothing of it while the leases stand.
func TestLastOnlyAfterARenewalWasAskedForInVain(t *testing.T) {
	l := newLeaf("k")
	l.mute = true
	for till := l.Till(); l.now < till; l.run(l.now + 1) {
		if l.last("k") {
			t.Fatalf("at %v, and the lease stands until %v", l.now, till)
		}
	}
	if _, ok := l.Get(l.now, "k"); ok {
		t.Fatal("served without a lease")
	}
	if r, at, ok := l.Last(l.now, "k"); !ok || at != l.Till() || r.Ver != l.recs["k"].Ver {
		t.Errorf("renewals were in vain since %v, it is %v: %v %v %v", l.asked, l.now, r.Ver, at, ok)
	}
	l.run(l.now + time.Minute/2)
	if !l.last("k") {
		t.Error("for how long is its user's to bound")
	}

	// Frozen until 8 s, with a renewal under way for long, or none.
	for _, under := range []bool{true, false} {
		for _, answered := range []bool{true, false} {
			l := newLeaf("k")
			if l.mute = under; under {
				l.run(l.now + cfg.Beat + cfg.Beat/2)
			}
			l.now, l.mute = 8*time.Second, !answered
			if l.last("k") {
				t.Error("frozen: served before the first step")
			}
			for woke := l.now; l.now < woke+cfg.Beat/2; l.run(l.now + 1) {
				if l.last("k") {
					t.Fatalf("frozen: served %v after it woke, asked at %v", l.now-woke, l.asked)
				}
			}
			l.run(l.now + 1)
			if _, ok := l.Get(l.now, "k"); ok != answered || l.last("k") == answered || l.asked < 8*time.Second {
				t.Errorf("frozen, answered %v: leased %v, last %v, asked at %v", answered, ok, l.last("k"), l.asked)
			}
		}
	}
}

// A record that was withdrawn is never served again, in whichever way that was.
func TestLastNeverServesAWithdrawnRecord(t *testing.T) {
	for what, f := range map[string]func(*leaf){
		"invalidated under leases": func(l *leaf) { l.mute = true; l.hear(message.Message{Kind: message.Invalidate, Key: "k", Ref: 3}) },
		"invalidated when they lapsed": func(l *leaf) {
			l.mute = true
			l.run(l.now + 2*cfg.Vol)
			l.hear(message.Message{Kind: message.Invalidate, Key: "k", Ref: 3})
		},
		"not confirmed by a list": func(l *leaf) { l.recs = nil; l.hear(message.Message{Kind: message.Reconnect}); l.mute = true },
		"being invalidated below": func(l *leaf) {
			below(l, "k")
			l.mute = true
			l.hear(message.Message{Kind: message.Invalidate, Key: "k", Ref: 3})
		},
		"its own lease had lapsed": func(l *leaf) { l.mute = true; l.objs["k"] = cached{rec: l.recs["k"], till: l.Till() - 1} },
	} {
		l := newLeaf("k", "other")
		f(l)
		for end := l.now + 3*cfg.Vol; l.now < end; l.run(l.now + 1) {
			if l.last("k") {
				t.Errorf("%s: served at %v, lapsed at %v", what, l.now, l.Till())
				break
			}
		}
	}
}

// below puts a child under a leaf that holds the record and says no more.
func below(l *leaf, key string) {
	kid := func(n message.Message) []message.Send {
		n.From, n.Epoch, n.Addr = "d", 1, "d"
		return l.Hear(l.now, n).Sends
	}
	kid(message.Message{Kind: message.Renew, No: 1})
	synced := kid(message.Message{Kind: message.Listing, No: 2, Mark: l.Mark()})
	kid(message.Message{Kind: message.Connect, Ref: synced[0].Message.No, Mark: l.Mark()})
	kid(message.Message{Kind: message.Renew, No: 3, Mark: l.Mark(), Keys: []string{key}})
}

// The root serves by its leadership alone. When that has ended it knows what it last
// read, though not what was being written, nor what a later leader brought it.
func TestLastRecordsOfAFormerLeader(t *testing.T) {
	store := map[string]message.Rec{}
	for _, k := range []string{"k", "held", "later"} {
		store[k] = message.Rec{Key: k, Ver: message.Ver{Term: 4, Seq: 1}, Val: []byte("old")}
	}
	l := newLeaf("k", "held", "later")
	l.mute = true
	lease := l.now + time.Second
	l.Crown(4, func(k string) message.Rec { return store[k] }, func() time.Duration { return lease })
	l.Hold(l.now, "held", 1)
	for range 3 { // its lease ends, and nobody has told it yet
		l.run(l.now + time.Second)
		for k := range store {
			if l.last(k) {
				t.Errorf("the root serves the last %s at %v, its lease ends at %v", k, l.now, lease)
			}
		}
	}
	store["later"] = message.Rec{Key: "later", Ver: message.Ver{Term: 5, Seq: 1}, Val: []byte("new")}
	l.Uncrown()
	if l.last("k") {
		t.Error("it asked nobody yet")
	}
	l.run(l.now + cfg.Beat)
	if r, at, ok := l.Last(l.now, "k"); !ok || string(r.Val) != "old" || at != lease {
		t.Errorf("a former leader: %q, lapsed at %v, %v", r.Val, at, ok)
	}
	for _, k := range []string{"held", "later"} {
		if l.last(k) {
			t.Errorf("a former leader serves %q", k)
		}
	}
	// What the next leader doesn't confirm is gone, what it grants is the last then.
	l.recs = map[string]message.Rec{"k": {Key: "k", Ver: message.Ver{Term: 5, Seq: 9}}}
	l.mute = false
	l.carry(l.Adopt(l.now, message.Replica{Ident: "p", Addr: "p"}))
	l.run(l.now + cfg.Beat)
	l.mute = true
	l.run(l.now + 3*cfg.Vol)
	if r, at, ok := l.Last(l.now, "k"); !ok || r.Ver.Seq != 9 || at <= lease {
		t.Errorf("after the next leader: %v, lapsed at %v, %v", r.Ver, at, ok)
	}
}
