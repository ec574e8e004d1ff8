package membership

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// net carries messages between members, but for those between two sides of a cut.
type net struct {
	now  time.Duration
	all  map[string]*Table // by address
	self map[string]message.Member
	away map[string]bool // cut off from the rest
	owns map[string][]message.Leadership
}

func newNet(seeds func(i int) []string, members ...message.Member) *net {
	n := &net{
		all: map[string]*Table{}, self: map[string]message.Member{},
		away: map[string]bool{}, owns: map[string][]message.Leadership{},
	}
	for i, m := range members {
		n.join(m, seeds(i))
	}
	return n
}

func (n *net) join(m message.Member, seeds []string) {
	c := cfg
	c.ToleratedLosses = 1
	n.all[m.Addr], n.self[m.Addr] = New(c, m, seeds), m
}

func (n *net) carry(from message.Member, list []message.Envelope) {
	for _, s := range list {
		to := n.all[s.Addr]
		if to == nil || n.away[from.Addr] != n.away[s.Addr] && !n.under(from.Addr, s.Addr) {
			continue
		}
		s.Message.From, s.Message.Addr = from.Ident, from.Addr
		n.carry(n.self[s.Addr], to.Step(n.now, s.Message).Sends)
	}
}

// under tells whether one of two has no disk: the cut is within the core.
func (n *net) under(a, b string) bool { return !n.self[a].HasDisk || !n.self[b].HasDisk }

func (n *net) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += cfg.HeartbeatInterval / 4 {
		for i := 1; i <= len(n.self); i++ {
			if a := at(i); n.all[a] != nil {
				n.carry(n.self[a], n.all[a].Tick(n.now, n.self[a], n.owns[a]).Sends)
			}
		}
	}
}

func at(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func core(n int) (out []message.Member) {
	for i := 1; i <= n; i++ {
		out = append(out, disk(string(rune('a'+i-1)), at(i)))
	}
	return out
}

// A daemon without a disk starts while a core machine is cut off, and its seeds
// name only that one: it finds the others all the same, and the leader that they
// have by now.
func TestSeedsThatNameOnlyAnIsolatedControlDaemon(t *testing.T) {
	n := newNet(func(int) []string { return []string{at(1), at(2), at(3)} }, core(3)...)
	own := message.Leadership{Partition: 0, Term: 7, Leader: message.Replica{Ident: "a", Addr: at(1)}}
	n.owns[at(1)] = []message.Leadership{own}
	n.run(5 * time.Second)
	n.away[at(1)], n.owns[at(1)] = true, nil
	n.run(5 * time.Second)
	n.owns[at(2)] = []message.Leadership{{Partition: 0, Term: 8, Leader: message.Replica{Ident: "b", Addr: at(2)}}}
	n.run(time.Second)
	n.join(message.Member{Ident: "m", Epoch: 1, Addr: at(4)}, []string{at(1)})
	n.run(2 * time.Second)
	v := n.all[at(4)].View()
	if !v.HasSession || v.Leaderships[0].Term != 8 {
		t.Errorf("live %v, leader %v", v.HasSession, v.Leaderships[0])
	}
	for _, id := range []string{"b", "c"} {
		if _, ok := v.Find(id); !ok {
			t.Errorf("it doesn't know %s: %v", id, v.Members)
		}
	}
	if lost := n.all[at(1)].View().PartitionedFrom(); len(lost) != 2 {
		t.Errorf("the one that is cut off names %v", lost)
	}
	if lost := n.all[at(2)].View().PartitionedFrom(); len(lost) != 1 || lost[0].Addr != at(1) {
		t.Errorf("another names %v", lost)
	}
}

// Core machines that no seed or group names any more meet again after a cut
// that outlasted their sessions.
func TestLostControlDaemonsMeetAgain(t *testing.T) {
	n := newNet(func(i int) []string { return [][]string{{at(1)}, {at(1)}, {at(2)}}[i] }, core(3)...)
	n.run(5 * time.Second)
	if len(n.all[at(3)].View().Members) != 3 {
		t.Fatalf("not met: %v", n.all[at(3)].View().Members)
	}
	n.away[at(1)] = true
	n.run(5 * time.Second)
	for i := 1; i <= 3; i++ {
		n.all[at(i)].seeds, n.all[at(i)].learnedAddrs = []string{at(i)}, nil // of long ago
	}
	n.run(15 * time.Second)
	if len(n.all[at(1)].View().Members) != 1 {
		t.Fatal("the cut cuts nothing")
	}
	n.away[at(1)] = false
	n.run(lostCallInterval*cfg.HeartbeatInterval + cfg.SessionTimeout)
	for i := 1; i <= 3; i++ {
		if v := n.all[at(i)].View(); len(v.Members) != 3 || len(v.Lost) > 0 {
			t.Errorf("%s knows %v, lost %v", at(i), v.Members, v.Lost)
		}
	}
}

// One that was lost for long, or beyond a number of them, is forgotten; those
// that were lost earlier than the last are not told to callers.
func TestLostControlDaemonsAreForgotten(t *testing.T) {
	n := newNet(func(int) []string { return []string{at(1)} }, core(2*maxLost)...)
	n.run(5 * time.Second)
	for i := 2; i <= 2*maxLost; i++ {
		n.all[at(i)] = nil // one after another
		n.run(4 * time.Second)
		v := n.all[at(1)].View()
		if lost := v.PartitionedFrom(); len(v.Lost) != min(i-1, maxLost) || len(lost) != 1 || lost[0].Addr != at(i) {
			t.Fatalf("%d are lost: told %v, remembered %d", i-1, lost, len(v.Lost))
		}
	}
	n.run((rememberLostFor + 1) * cfg.SessionTimeout)
	if v := n.all[at(1)].View(); len(v.Lost) > 0 {
		t.Errorf("remembered for ever: %v", v.Lost)
	}
}
