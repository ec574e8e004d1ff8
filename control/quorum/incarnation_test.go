package quorum

import (
	"strings"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// guardedReplica is replica a of three with a folder; the test plays its peer b.
type guardedReplica struct {
	t       *testing.T
	replica *Replica
	now     time.Duration
	meta    Meta
}

const (
	firstStart     = 1<<32 + 11 // incarnations of b, each with the number of starts and a nonce
	firstStartTwin = 1<<32 + 12
	secondStart    = 2<<32 + 5
)

// restartedIncarnation returns a replica with a folder that may have voted before.
func restartedIncarnation(self message.Replica, epoch uint64, meta Meta) *Replica {
	return New(cfg, InitialState{
		Partition: 1, Self: self, Folder: OpenFolder(epoch, meta), Meta: meta, Records: digest.NewRecords(),
	}, 0)
}

func openGuarded(t *testing.T, epoch uint64, m Meta) *guardedReplica {
	m.Group = threeReplicas
	r := restartedIncarnation(threeReplicas.Replicas[0], epoch, m)
	return &guardedReplica{t: t, replica: r, meta: m}
}

// step delivers a message of b, and returns the messages that a sends to b.
func (g *guardedReplica) step(m message.Message) (out []message.Message) {
	m.From, m.Addr, m.To, m.Partition = "b", "b", "a", 1
	g.now += time.Millisecond
	o := g.replica.Step(g.now, m)
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

// countKind counts the messages of a kind.
func countKind(list []message.Message, kind message.Kind) (n int) {
	for _, m := range list {
		if m.Kind == kind {
			n++
		}
	}
	return n
}

func preVoteRequest(epoch, known uint64, base message.SavePoint) message.Message {
	m := message.VoteRequest{Term: 9, PreVote: true, Group: threeReplicas}.Message(1)
	m.Epoch, m.KnownEpoch, m.State = epoch, known, base
	return m
}

// Messages of incarnations that don't descend from the known state must not be
// processed, and are answered with the known incarnation and state.
func TestIncarnationAdmission(t *testing.T) {
	const me = 7<<32 + 1
	heard := message.SavePoint{Epoch: firstStart, Saves: 5}
	for _, tc := range []struct {
		name     string
		epoch    uint64
		base     message.SavePoint
		admitted bool
	}{
		{"the known one", firstStart, message.SavePoint{}, true},
		{"another one with the same number of starts", firstStartTwin, message.SavePoint{}, false},
		{"one of a build without incarnations", 0<<32 + 3, message.SavePoint{}, true}, // its incarnation is not checked
		{"a later one from the latest state", secondStart, heard, true},
		{"a later one from a later state", secondStart, message.SavePoint{Epoch: firstStart, Saves: 9}, true},
		{"a later one from an earlier state", secondStart, message.SavePoint{Epoch: firstStart, Saves: 4}, false},
		{"a later one from a copy's state", secondStart, message.SavePoint{Epoch: firstStartTwin, Saves: 50}, false},
		{"a later one, last written by an earlier build", secondStart, message.SavePoint{}, true},
	} {
		g := openGuarded(t, me, Meta{Peers: []message.PeerIncarnation{{Ident: "b", Epoch: firstStart, State: heard}}})
		out := g.step(preVoteRequest(tc.epoch, me, tc.base))
		if got := countKind(out, message.KindGrantVote)+countKind(out, message.KindRejectVote) > 0; got != tc.admitted {
			t.Errorf("%s: admitted %v: %+v", tc.name, got, out)
		}
		if tc.admitted {
			continue
		}
		if countKind(out, message.KindIncarnation) != 1 || out[0].KnownEpoch != firstStart || out[0].KnownState != heard {
			t.Errorf("%s: not answered with the known incarnation: %+v", tc.name, out)
		}
	}
}

// A replica must be superseded if a peer knows of a later start, of another process
// with the same number of starts, or of a state that its folder's history doesn't hold.
func TestReplicaIsSuperseded(t *testing.T) {
	const me = 7<<32 + 1
	savePoint := func(epoch, saves uint64) message.SavePoint { return message.SavePoint{Epoch: epoch, Saves: saves} }
	past := Meta{State: savePoint(6<<32+4, 20), History: []message.SavePoint{savePoint(4<<32+9, 3)}}
	for _, tc := range []struct {
		name       string
		knownEpoch uint64
		known      message.SavePoint
		why        string
	}{
		{"this start is known", me, message.SavePoint{}, ""},
		{"nothing is known", 0, message.SavePoint{}, ""},
		{"a later start is known", 8<<32 + 1, message.SavePoint{}, "later start"},
		{"another one with the same number of starts", 7<<32 + 2, message.SavePoint{}, "another process"},
		{"the last state of the previous start", 6<<32 + 4, savePoint(6<<32+4, 20), ""},
		{"a later state than the folder holds", 6<<32 + 4, savePoint(6<<32+4, 21), "older copy"},
		{"a start that isn't in the folder's history", 5<<32 + 1, savePoint(5<<32+1, 1), "older copy"},
		{"an early start that is in the folder's history", 4<<32 + 9, savePoint(4<<32+9, 3), ""},
	} {
		g := openGuarded(t, me, past)
		notice := message.IncarnationNotice{KnownEpoch: tc.knownEpoch, KnownState: tc.known}.Message(1)
		notice.Epoch = firstStart
		g.step(notice)
		if why := g.replica.Superseded(); (why == "") != (tc.why == "") || !strings.Contains(why, tc.why) {
			t.Errorf("%s: %q", tc.name, why)
		}
		if tc.why == "" {
			continue
		}
		if out := g.step(preVoteRequest(firstStart, me, message.SavePoint{})); len(out) > 0 {
			t.Errorf("%s: a superseded replica answered %+v", tc.name, out)
		}
		if o := g.replica.Tick(time.Hour); len(o.Sends)+len(o.Saves) > 0 {
			t.Errorf("%s: a superseded replica sent or saved in Tick: %+v", tc.name, o)
		}
	}
}

// A replica may be superseded only by messages from replicas of its own group.
func TestNonMemberDoesNotSupersede(t *testing.T) {
	g := openGuarded(t, 7<<32+1, Meta{})
	m := message.IncarnationNotice{KnownEpoch: 9 << 32, Group: threeReplicas}.Message(1)
	m.From, m.Addr, m.To, m.Epoch = "stranger", "s", "a", firstStart
	g.replica.Step(g.now, m)
	if why := g.replica.Superseded(); why != "" {
		t.Errorf("superseded by a daemon outside the group: %s", why)
	}
}

// A peer that knows an earlier incarnation of this replica must receive a notice of the
// current one before its messages are processed. Once it knows the current one, its
// vote request is answered.
func TestPeerLearnsIncarnationBeforeAdmission(t *testing.T) {
	const was, me = 6<<32 + 4, 7<<32 + 1
	base := message.SavePoint{Epoch: was, Saves: 20}
	g := openGuarded(t, me, Meta{State: base})
	out := g.step(preVoteRequest(firstStart, was, message.SavePoint{}))
	if len(out) != 1 || out[0].Kind != message.KindIncarnation || out[0].State != base {
		t.Fatalf("request to an earlier incarnation: %+v", out)
	}
	out = g.step(preVoteRequest(firstStart, me, message.SavePoint{}))
	if countKind(out, message.KindRejectVote)+countKind(out, message.KindGrantVote) != 1 {
		t.Errorf("request to this incarnation: %+v", out)
	}
}

// A candidate must resend its vote request to a peer that restarted without answering.
func TestVoteRequestIsResentToNewIncarnation(t *testing.T) {
	const me = 7<<32 + 1
	g := openGuarded(t, me, Meta{Peers: []message.PeerIncarnation{{Ident: "b", Epoch: firstStart}}})
	var asked int
	for ; asked == 0 && g.now < 10*fullLeaseWait; g.now += 20 * time.Millisecond {
		for _, s := range g.replica.Tick(g.now).Sends {
			if s.Message.To == "b" && s.Message.Kind == message.KindRequestVote {
				asked++
			}
		}
	}
	notice := message.IncarnationNotice{KnownEpoch: firstStart}.Message(1)
	notice.Epoch, notice.State = secondStart, message.SavePoint{Epoch: firstStart, Saves: 2}
	out := g.step(notice)
	isAsked := countKind(out, message.KindRequestVote) == 1
	if countKind(out, message.KindIncarnation) != 1 || !isAsked || out[0].KnownEpoch != secondStart {
		t.Errorf("a peer that restarted during the election: %+v", out)
	}
}

// The incarnations of the other replicas must be saved within a heartbeat interval even if
// nothing else is saved. Incarnations of daemons that are not replicas must not be saved.
func TestPeerIncarnationsAreSaved(t *testing.T) {
	g := openGuarded(t, 7<<32+1, Meta{})
	g.step(message.Message{Kind: message.KindRejectVote, Epoch: firstStart, KnownEpoch: 7<<32 + 1, Saves: 4})
	stranger := message.Message{Kind: message.KindRejectVote, From: "stranger", Addr: "s", To: "a", Epoch: firstStart}
	g.replica.Step(g.now, stranger)
	o := g.replica.Tick(g.now + cfg.HeartbeatInterval)
	if len(o.Saves) != 1 {
		t.Fatalf("%d saves, want 1", len(o.Saves))
	}
	m := o.Saves[0].Meta
	want := message.PeerIncarnation{
		Ident: "b", Epoch: firstStart, State: message.SavePoint{Epoch: firstStart, Saves: 4},
	}
	if len(m.Peers) != 1 || m.Peers[0] != want {
		t.Errorf("saved: %+v", m.Peers)
	}
	if o = g.replica.Tick(g.now + 3*cfg.HeartbeatInterval); len(o.Saves) != 0 {
		t.Errorf("saved again: %+v", o.Saves)
	}
}

// A leader must announce to each replica the incarnations and save points of the
// others, and stop once the replica has acknowledged the announcement.
func TestLeaderAnnouncesPeerIncarnations(t *testing.T) {
	w := newTrio(t)
	for i, replica := range threeReplicas.Replicas { // restart each replica with a folder
		m := w.members[replica.Ident]
		m.replica = restartedIncarnation(replica, incarnation.Number(1, uint32(i+1)), m.meta)
	}
	w.hasEpochs = true
	w.advance(3*time.Second, false)
	lead := w.leader()
	w.write(lead)
	w.advance(time.Second, false)
	for _, r := range threeReplicas.Replicas {
		for _, o := range threeReplicas.Replicas {
			known := w.members[r.Ident].replica.knownPeer(o.Ident)
			if o.Ident != r.Ident && (known.Epoch == 0 || known.State.Saves == 0) {
				t.Errorf("%s, led by %s, knows of %s: %+v", r.Ident, lead, o.Ident, known)
			}
		}
	}
	o := Out{}
	w.members[lead].replica.sendHeartbeats(w.now, &o)
	for _, s := range o.Sends {
		if len(s.Message.Peers) > 0 {
			t.Errorf("acknowledged incarnations are announced to %s again: %+v", s.Message.To, s.Message.Peers)
		}
	}
}

// A folder's history combines those of all its replicas, and keeps only the last
// incarnations.
func TestFolderHistory(t *testing.T) {
	var metas []Meta
	for n := uint64(1); n <= maxPastIncarnations+3; n++ {
		metas = append(metas, Meta{
			State:   message.SavePoint{Epoch: n << 32, Saves: n},
			History: []message.SavePoint{{Epoch: 1 << 32, Saves: 99}},
		})
	}
	f := OpenFolder(50<<32, metas...)
	latest := message.SavePoint{Epoch: (maxPastIncarnations + 3) << 32, Saves: maxPastIncarnations + 3}
	if len(f.history) != maxPastIncarnations || f.startState != latest {
		t.Fatalf("history %v, start state %v", f.history, f.startState)
	}
	for _, tc := range []struct {
		state    message.SavePoint
		descends bool
	}{
		{message.SavePoint{Epoch: 1 << 32, Saves: 99}, true},
		{message.SavePoint{Epoch: 5 << 32, Saves: 5}, true},
		{message.SavePoint{Epoch: 5 << 32, Saves: 6}, false},
		{message.SavePoint{Epoch: 5<<32 + 1, Saves: 1}, false},
		{message.SavePoint{}, true},
	} {
		if f.descendsFrom(tc.state) != tc.descends {
			t.Errorf("folder descends from %v: %v", tc.state, !tc.descends)
		}
	}
}
