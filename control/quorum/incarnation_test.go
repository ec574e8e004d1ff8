package quorum

import (
	"strings"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// guardedReplica is replica a of three with a folder, and its peer b as the test plays it.
type guardedReplica struct {
	t       *testing.T
	replica *Replica
	now     time.Duration
	meta    Meta
}

const (
	first     = 1<<32 + 11 // starts of b, each with its nonce
	firstTwin = 1<<32 + 12
	second    = 2<<32 + 5
)

func openGuarded(t *testing.T, epoch uint64, m Meta) *guardedReplica {
	m.Group = three
	return &guardedReplica{t: t, replica: New(cfg, 1, three.Replicas[0], OpenFolder(epoch, m), m, digest.NewRecords(), 0, false), meta: m}
}

// step hands a message of b over, and gives what a says to b.
func (g *guardedReplica) step(n message.Message) (out []message.Message) {
	n.From, n.Addr, n.To, n.Partition = "b", "b", "a", 1
	g.now += time.Millisecond
	o := g.replica.Step(g.now, n)
	for _, v := range o.Saves {
		g.meta = v.Meta
		saved := g.replica.Saved(v.Ticket)
		o.Sends = append(o.Sends, saved.Sends...)
	}
	for _, s := range o.Sends {
		if s.Message.To == "b" {
			out = append(out, s.Message)
		}
	}
	return out
}

// countKind counts those of a kind.
func countKind(list []message.Message, kind message.Kind) (n int) {
	for _, m := range list {
		if m.Kind == kind {
			n++
		}
	}
	return n
}

func preVoteRequest(epoch, known uint64, base message.SavePoint) message.Message {
	return message.Message{Kind: message.KindRequestVote, Op: opPreVote, Epoch: epoch, Term: 9, Group: three, KnownEpoch: known, State: base, Saves: 0}
}

// What counts of an incarnation, and what it is told that doesn't.
func TestWhichIncarnationsAreAdmitted(t *testing.T) {
	const me = 7<<32 + 1
	heard := message.SavePoint{Epoch: first, Saves: 5}
	for _, x := range []struct {
		what   string
		epoch  uint64
		base   message.SavePoint
		counts bool
	}{
		{"the one that is known", first, message.SavePoint{}, true},
		{"another one of as many starts", firstTwin, message.SavePoint{}, false},
		{"an earlier one", 0<<32 + 3, message.SavePoint{}, true}, // of a build that tells nothing: it is judged as before
		{"a later one from the latest state", second, heard, true},
		{"a later one from a later state", second, message.SavePoint{Epoch: first, Saves: 9}, true},
		{"a later one from an earlier state", second, message.SavePoint{Epoch: first, Saves: 4}, false},
		{"a later one from a copy's state", second, message.SavePoint{Epoch: firstTwin, Saves: 50}, false},
		{"a later one that an older build wrote last", second, message.SavePoint{}, true},
	} {
		g := openGuarded(t, me, Meta{Peers: []message.PeerIncarnation{{Ident: "b", Epoch: first, State: heard}}})
		out := g.step(preVoteRequest(x.epoch, me, x.base))
		if got := countKind(out, message.KindGrantVote)+countKind(out, message.KindRejectVote) > 0; got != x.counts {
			t.Errorf("%s: counted %v: %+v", x.what, got, out)
		}
		if x.counts {
			continue
		}
		if countKind(out, message.KindIncarnation) != 1 || out[0].KnownEpoch != first || out[0].KnownState != heard {
			t.Errorf("%s: isn't told what is known: %+v", x.what, out)
		}
	}
}

// What takes a replica its voice, and what doesn't.
func TestWhatSupersedesAReplica(t *testing.T) {
	const me = 7<<32 + 1
	past := Meta{State: message.SavePoint{Epoch: 6<<32 + 4, Saves: 20}, History: []message.SavePoint{{Epoch: 4<<32 + 9, Saves: 3}}}
	for _, x := range []struct {
		what string
		n    message.Message
		why  string
	}{
		{"it is known", message.Message{KnownEpoch: me}, ""},
		{"nothing is known", message.Message{}, ""},
		{"a later start is known", message.Message{KnownEpoch: 8<<32 + 1}, "later start"},
		{"another one of as many starts", message.Message{KnownEpoch: 7<<32 + 2}, "another process"},
		{"the last state of the start before", message.Message{KnownEpoch: 6<<32 + 4, KnownState: message.SavePoint{Epoch: 6<<32 + 4, Saves: 20}}, ""},
		{"a state beyond what the folder holds", message.Message{KnownEpoch: 6<<32 + 4, KnownState: message.SavePoint{Epoch: 6<<32 + 4, Saves: 21}}, "older copy"},
		{"a start that isn't in the folder's past", message.Message{KnownEpoch: 5<<32 + 1, KnownState: message.SavePoint{Epoch: 5<<32 + 1, Saves: 1}}, "older copy"},
		{"an early one that is", message.Message{KnownEpoch: 4<<32 + 9, KnownState: message.SavePoint{Epoch: 4<<32 + 9, Saves: 3}}, ""},
	} {
		g := openGuarded(t, me, past)
		x.n.Kind, x.n.Epoch = message.KindIncarnation, first
		g.step(x.n)
		if why := g.replica.Superseded(); (why == "") != (x.why == "") || !strings.Contains(why, x.why) {
			t.Errorf("%s: %q", x.what, why)
		}
		if x.why == "" {
			continue
		}
		if out := g.step(preVoteRequest(first, me, message.SavePoint{})); len(out) > 0 {
			t.Errorf("%s: and it says %+v", x.what, out)
		}
		if o := g.replica.Tick(time.Hour); len(o.Sends)+len(o.Saves) > 0 {
			t.Errorf("%s: and it goes on: %+v", x.what, o)
		}
	}
}

// Nobody but a replica of its group takes a replica its voice.
func TestAStrangerSupersedesNobody(t *testing.T) {
	g := openGuarded(t, 7<<32+1, Meta{})
	n := message.Message{Kind: message.KindIncarnation, From: "stranger", Addr: "s", To: "a", Epoch: first, KnownEpoch: 9 << 32, Group: three}
	g.replica.Step(g.now, n)
	if why := g.replica.Superseded(); why != "" {
		t.Errorf("superseded: %s", why)
	}
}

// A peer that goes by an earlier incarnation is told of this one before it is
// listened to; once it goes by this one it is heard, and the question that it had
// asked meanwhile is asked again.
func TestAPeerLearnsOfAnIncarnationBeforeItIsAdmitted(t *testing.T) {
	const was, me = 6<<32 + 4, 7<<32 + 1
	base := message.SavePoint{Epoch: was, Saves: 20}
	g := openGuarded(t, me, Meta{State: base})
	out := g.step(preVoteRequest(first, was, message.SavePoint{}))
	if len(out) != 1 || out[0].Kind != message.KindIncarnation || out[0].State != base {
		t.Fatalf("asked of an earlier incarnation: %+v", out)
	}
	if out = g.step(preVoteRequest(first, me, message.SavePoint{})); countKind(out, message.KindRejectVote)+countKind(out, message.KindGrantVote) != 1 {
		t.Errorf("asked of this one: %+v", out)
	}
}

// A candidate asks anew whom it hears to have started meanwhile.
func TestAVoteRequestGoesToTheNextIncarnation(t *testing.T) {
	const me = 7<<32 + 1
	g := openGuarded(t, me, Meta{Peers: []message.PeerIncarnation{{Ident: "b", Epoch: first}}})
	var asked int
	for ; asked == 0 && g.now < 10*fullWait; g.now += 20 * time.Millisecond {
		for _, s := range g.replica.Tick(g.now).Sends {
			if s.Message.To == "b" && s.Message.Kind == message.KindRequestVote {
				asked++
			}
		}
	}
	out := g.step(message.Message{Kind: message.KindIncarnation, Epoch: second, KnownEpoch: first, State: message.SavePoint{Epoch: first, Saves: 2}})
	if countKind(out, message.KindIncarnation) != 1 || countKind(out, message.KindRequestVote) != 1 || out[0].KnownEpoch != second {
		t.Errorf("a peer that started anew while it was asked: %+v", out)
	}
}

// What is known of the others is on the disk a beat later, though nothing else is
// saved, and of no daemon that is no replica.
func TestPeerIncarnationsAreSaved(t *testing.T) {
	g := openGuarded(t, 7<<32+1, Meta{})
	g.step(message.Message{Kind: message.KindRejectVote, Epoch: first, KnownEpoch: 7<<32 + 1, Saves: 4})
	g.replica.Step(g.now, message.Message{Kind: message.KindRejectVote, From: "stranger", Addr: "s", To: "a", Epoch: first})
	o := g.replica.Tick(g.now + cfg.HeartbeatInterval)
	if len(o.Saves) != 1 {
		t.Fatalf("%d saves", len(o.Saves))
	}
	m := o.Saves[0].Meta
	if len(m.Peers) != 1 || m.Peers[0] != (message.PeerIncarnation{Ident: "b", Epoch: first, State: message.SavePoint{Epoch: first, Saves: 4}}) {
		t.Errorf("saved: %+v", m.Peers)
	}
	if o = g.replica.Tick(g.now + 3*cfg.HeartbeatInterval); len(o.Saves) != 0 {
		t.Errorf("saved again: %+v", o.Saves)
	}
}

// A leader tells each replica how far the others came, until it has answered.
func TestALeaderAnnouncesPeerIncarnations(t *testing.T) {
	w := newTrio(t)
	for i, replica := range three.Replicas { // with folders
		m := w.members[replica.Ident]
		m.replica = New(cfg, 1, replica, OpenFolder(incarnation.Number(1, uint32(i+1)), m.meta), m.meta, digest.NewRecords(), 0, false)
	}
	w.hasEpochs = true
	w.advance(3*time.Second, false)
	lead := w.leader()
	w.write(lead)
	w.advance(time.Second, false)
	for _, r := range three.Replicas {
		for _, o := range three.Replicas {
			if known := w.members[r.Ident].replica.knownPeer(o.Ident); o.Ident != r.Ident && (known.Epoch == 0 || known.State.Saves == 0) {
				t.Errorf("%s, led by %s, knows of %s: %+v", r.Ident, lead, o.Ident, known)
			}
		}
	}
	o := Out{}
	w.members[lead].replica.sendHeartbeats(w.now, &o)
	for _, s := range o.Sends {
		if len(s.Message.Peers) > 0 {
			t.Errorf("%s is told again: %+v", s.Message.To, s.Message.Peers)
		}
	}
}

// A folder's past is that of all its replicas, its last incarnations only.
func TestTheHistoryOfAFolder(t *testing.T) {
	var held []Meta
	for n := uint64(1); n <= keptIncarnations+3; n++ {
		held = append(held, Meta{State: message.SavePoint{Epoch: n << 32, Saves: n}, History: []message.SavePoint{{Epoch: 1 << 32, Saves: 99}}})
	}
	f := OpenFolder(50<<32, held...)
	if len(f.past) != keptIncarnations || f.base != (message.SavePoint{Epoch: (keptIncarnations + 3) << 32, Saves: keptIncarnations + 3}) {
		t.Fatalf("past %v, base %v", f.past, f.base)
	}
	for _, x := range []struct {
		state message.SavePoint
		is    bool
	}{
		{message.SavePoint{Epoch: 1 << 32, Saves: 99}, true},
		{message.SavePoint{Epoch: 5 << 32, Saves: 5}, true},
		{message.SavePoint{Epoch: 5 << 32, Saves: 6}, false},
		{message.SavePoint{Epoch: 5<<32 + 1, Saves: 1}, false},
		{message.SavePoint{}, true},
	} {
		if f.descendsFrom(x.state) != x.is {
			t.Errorf("%v is in its past: %v", x.state, !x.is)
		}
	}
}
