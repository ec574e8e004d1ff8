package quorum

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var (
	replicaD = message.Replica{Ident: "d", Addr: "d"}
	withD    = []message.Replica{three.Replicas[0], three.Replicas[1], replicaD} // in place of x
)

// moving is leader a of three that moves its group; the others do as they are told.
type moving struct {
	*voter
	now  time.Duration
	deaf map[string]bool // who answers no Support
	mute map[string]bool // who answers no Fill
}

func newMoving(t *testing.T) *moving {
	m := &moving{voter: restarted(t), deaf: map[string]bool{}, mute: map[string]bool{}}
	m.elect(10*time.Second, 0)
	m.now = m.s.wonAt
	m.answer(m.sent)
	m.tell("x", message.Message{Kind: message.Filled, Num: m.s.Num()})
	m.support()
	return m
}

func (m *moving) tell(from string, n message.Message) {
	m.self(m.now, m.hear(m.now, from, 1, n))
}

// answer has the others answer what the leader sent; it returns all fills.
func (m *moving) answer(list []message.Message) (fills []message.Message) {
	for len(list) > 0 {
		n := list[0]
		list = list[1:]
		answered := message.Message{Num: n.Num, Ref: n.No}
		switch {
		case n.To == "a":
			m.sent = nil
			m.self(m.now, []message.Message{n})
			list = append(list, m.sent...)
			continue
		case n.Kind == message.Accept:
			answered.Kind = message.Accepted
		case n.Kind == message.Support && !m.deaf[n.To]:
			answered.Kind = message.Supported
		case n.Kind == message.Fill:
			if fills = append(fills, n); m.mute[n.To] {
				continue
			}
			answered.Kind = message.Filled
		default:
			continue
		}
		list = append(list, m.hear(m.now, n.To, 1, answered)...)
	}
	return fills
}

// regroup asks for one step; it tells whether one was taken, and what was filled.
func (m *moving) regroup(want []message.Replica) (lost, ok bool, fills []message.Message) {
	o, ok := m.s.Regroup(m.now, 0, want)
	m.sent = nil
	m.carry(o)
	return o.Lost, ok, m.answer(slices.Clone(m.sent))
}

// support lets a beat pass.
func (m *moving) support() {
	m.now += cfg.Beat
	m.sent = nil
	m.carry(m.s.Tick(m.now))
	m.answer(slices.Clone(m.sent))
}

// A leader whose group has moved on without it leads no more: what it wrote
// would reach a majority and not the copy that it reads from.
func TestALeaderThatIsNoMemberLeadsNoMore(t *testing.T) {
	m := newMoving(t)
	want := []message.Replica{replicaD, three.Replicas[1], three.Replicas[2]}
	if _, ok, _ := m.regroup(want); !ok {
		t.Fatal("no step")
	}
	m.support()
	lost, ok, _ := m.regroup(want)
	if !ok || m.s.Group().Has("a") {
		t.Fatalf("step %v, group %+v", ok, m.s.Group())
	}
	if !lost || m.s.Leader(m.now) {
		t.Errorf("it leads a group that it is no member of: lost %v, leader %v", lost, m.s.Leader(m.now))
	}
}

// A former member that joins again under the same term is given all that is
// held now, and counts only once it has that.
func TestAFormerMemberIsFilledAnew(t *testing.T) {
	m := newMoving(t)
	step := func(want []message.Replica) {
		t.Helper()
		if _, ok, _ := m.regroup(want); !ok {
			t.Fatalf("no step from group %+v", m.s.Group())
		}
		m.support()
	}
	step(withD)
	step(withD)
	o, _ := m.s.Write(m.now, 1, []message.Rec{{Key: "k", Val: []byte("new")}}) // x doesn't hear of it
	m.sent = nil
	m.carry(o)
	m.answer(slices.Clone(m.sent))
	m.mute["x"] = true
	_, ok, fills := m.regroup(three.Replicas)
	if !ok || len(fills) == 0 || len(fills[0].Recs) != 1 {
		t.Errorf("it joins: step %v, filled with %+v", ok, fills)
	}
	m.support()
	m.tell("x", message.Message{Kind: message.Filled, Num: m.s.Num(), Ref: 1}) // of its first time, doubled on the way
	if _, ok, _ := m.regroup(three.Replicas); ok {
		t.Error("it counts by a fill of before it left")
	}
	m.mute["x"] = false
	for range 3 {
		m.support()
	}
	if _, ok, _ := m.regroup(three.Replicas); !ok {
		t.Error("it doesn't count, though it was filled")
	}
}

// The old group goes only when a majority of the next supports the lease: two
// moves in one lease would else end at a majority that knows of no leader.
func TestTheNextGroupSupportsTheLeaseFirst(t *testing.T) {
	m := newMoving(t)
	m.deaf = map[string]bool{"b": true, "d": true, "x": true}
	if _, ok, _ := m.regroup(withD); !ok {
		t.Fatal("no step")
	}
	if _, ok, _ := m.regroup(withD); ok {
		t.Error("the old group is gone, and nobody of the next supports the lease")
	}
	m.deaf = nil
	m.support()
	if _, ok, _ := m.regroup(withD); !ok {
		t.Error("no step, though all support the lease")
	}
}
