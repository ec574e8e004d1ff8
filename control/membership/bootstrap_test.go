package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// machine is a daemon of a small fleet in which messages are lost, held up or
// carried over at once, and daemons start anew.
type machine struct {
	self   message.Member
	table  *Table
	down   bool
	group  []message.Replica // on its disk
	starts int
}

type parcel struct {
	at       time.Duration
	from, to string
	message  message.Message
}

type world struct {
	cfg         Config
	alwaysFirst bool // every start counts as the first, as without a platform
	now         time.Duration
	seeds       []string
	machines    []*machine
	byAddr      map[string]*machine
	parcels     []parcel // under way
	isLost      func(p parcel) bool
	delay       func() time.Duration
	formed      map[string]bool // groups that were ever on a disk
	lastLeader  *machine
	term        uint64 // its term
}

// newWorld makes a fleet; each zone is a word of 'd' for machines with a disk
// and '-' for others, in capitals for seeds ('D', '+').
func newWorld(losses int, zones ...string) *world {
	w := &world{
		cfg: cfg, byAddr: map[string]*machine{}, formed: map[string]bool{},
		isLost: func(parcel) bool { return false }, delay: func() time.Duration { return 0 },
	}
	w.cfg.ToleratedLosses, w.cfg.FirstStart = losses, true
	for c, word := range zones {
		for i, kind := range word {
			m := &machine{self: message.Member{
				Addr: fmt.Sprintf("10.%d.0.%d:1", c+1, i+1), Zone: fmt.Sprint("c", c),
				HasDisk: kind == 'd' || kind == 'D',
			}}
			if kind == 'D' || kind == '+' {
				w.seeds = append(w.seeds, m.self.Addr)
			}
			w.machines = append(w.machines, m)
			w.byAddr[m.self.Addr] = m
		}
	}
	for _, m := range w.machines {
		w.start(m)
	}
	return w
}

// start starts a machine anew; its disk stays.
func (w *world) start(m *machine) {
	c := w.cfg
	c.FirstStart = m.starts == 0 || w.alwaysFirst
	m.starts++
	m.self.Epoch++
	m.self.Ident = fmt.Sprintf("%s-%d", m.self.Addr, m.starts)
	if m.self.HasDisk {
		m.self.Ident = m.self.Addr
	}
	m.self.Empty = m.self.HasDisk && m.group == nil
	m.table, m.down = New(c, m.self, w.seeds), false
}

func (w *world) carry(m *machine, o Out) {
	for _, s := range o.Sends {
		s.Message.From, s.Message.Addr, s.Message.Epoch = m.self.Ident, m.self.Addr, m.self.Epoch
		if p := (parcel{w.now + w.delay(), m.self.Addr, s.Addr, s.Message}); !w.isLost(p) {
			w.parcels = append(w.parcels, p)
		}
	}
	if o.Bootstrap != nil {
		w.take(m, o.Bootstrap)
	}
}

func (w *world) take(m *machine, replicas []message.Replica) {
	if m.group == nil && (message.Group{Replicas: replicas}).Has(m.self.Ident) {
		m.group = replicas
		w.formed[fmt.Sprint(replicas)] = true
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 100 * time.Millisecond {
		for _, m := range w.machines {
			if m.down {
				continue
			}
			m.self.Empty = m.self.HasDisk && m.group == nil
			var owns []message.Leadership
			if m.group != nil && w.leader() == m {
				owns = append(owns, message.Leadership{Term: w.termOf(m), Leader: m.self.Replica()})
			}
			w.carry(m, m.table.Tick(w.now, m.self, owns))
			for _, s := range m.group { // a replica tells the others of its group, as control/quorum does
				to := w.byAddr[s.Addr]
				vote := parcel{w.now, m.self.Addr, s.Addr, message.Message{Kind: message.KindRequestVote}}
				if !to.down && !w.isLost(vote) {
					w.take(to, m.group)
				}
			}
		}
		for round := 0; round < 4; round++ {
			var rest []parcel
			now := w.parcels
			w.parcels = nil
			for _, p := range now {
				to := w.byAddr[p.to]
				switch {
				case p.at > w.now:
					rest = append(rest, p)
				case to != nil && !to.down && (p.message.To == "" || p.message.To == to.self.Ident):
					w.carry(to, to.table.Step(w.now, p.message))
				}
			}
			w.parcels = append(w.parcels, rest...)
		}
	}
}

// leader is the first replica of a group that a majority has on its disks.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.group == nil || m.down {
			continue
		}
		g := message.Group{Number: 1, Replicas: m.group}
		if g.HasQuorum(func(id string) bool {
			at := w.byAddr[id] // a disk's identity is its address here
			return at != nil && !at.down && slices.Equal(at.group, m.group)
		}) {
			return m
		}
	}
	return nil
}

// termOf is the term that a machine leads with: each new leader has a higher one.
func (w *world) termOf(m *machine) uint64 {
	if w.lastLeader != m {
		w.lastLeader = m
		w.term++
	}
	return w.term
}

// check tells what is wrong with a fleet that should have formed.
func (w *world) check(replicas int) error {
	if len(w.formed) != 1 {
		return fmt.Errorf("%d groups: %v", len(w.formed), w.formed)
	}
	own := w.leader()
	if own == nil || len(own.group) != replicas {
		return fmt.Errorf("no leader in a group of %d: %v", replicas, w.formed)
	}
	for _, m := range w.machines {
		if v := m.table.View(); !m.down && (!v.HasSession || v.Leaderships[0].Term == 0 || len(v.Members) < len(w.machines)) {
			return fmt.Errorf("%s: live %v, leader %v, %d members of %d",
				m.self.Addr, v.HasSession, v.Leaderships[0], len(v.Members), len(w.machines))
		}
	}
	return nil
}

func TestAFleetForms(t *testing.T) {
	for name, c := range map[string]struct {
		losses int
		zones  []string
	}{
		"three seeds with disks":     {1, []string{"D--", "D--", "D--"}},
		"seeds of one zone":          {1, []string{"DDD"}},
		"seeds without disks":        {1, []string{"+d-", "+d-", "+d-"}},
		"seeds of both kinds":        {1, []string{"+d--", "Dd-", "d+-"}},
		"one seed, without a disk":   {1, []string{"d--", "d-+", "d--"}},
		"two losses, diskless seeds": {2, []string{"+dd-", "+dd-", "+dd-"}},
		"two losses, disk seeds":     {2, []string{"Dd--", "Dd--", "Dd--", "dd--"}},
	} {
		w := newWorld(c.losses, c.zones...)
		w.run(8 * time.Second)
		if err := w.check(2*c.losses + 1); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if c.losses == 1 && name != "seeds of one zone" {
			for _, s := range w.leader().group {
				if name == "three seeds with disks" && !slices.Contains(w.seeds, s.Addr) {
					t.Errorf("%s: %v is no seed", name, s)
				}
			}
		}
	}
}

func TestNoBootstrapWithoutEverySeed(t *testing.T) {
	w := newWorld(1, "+d-", "+d-", "+d-")
	silent := w.byAddr[w.seeds[2]]
	silent.down = true
	w.run(20 * time.Second)
	if len(w.formed) > 0 {
		t.Fatalf("founded without %s: %v", silent.self.Addr, w.formed)
	}
	silent.down = false
	w.run(8 * time.Second)
	if err := w.check(3); err != nil {
		t.Error(err)
	}
}

// A member that has a group, or a seed that knows of one, stops any founding;
// too few disks do, too.
func TestNoBootstrapBesideAnotherGroup(t *testing.T) {
	w := newWorld(1, "+d-", "+d-", "+dd")
	old := w.machines[len(w.machines)-1]
	old.group = []message.Replica{
		{Ident: "x", Addr: "10.7.0.1:1"}, old.self.Replica(), {Ident: "y", Addr: "10.7.0.2:1"},
	}
	w.byAddr["10.7.0.1:1"], w.byAddr["10.7.0.2:1"] = &machine{down: true}, &machine{down: true}
	w.run(20 * time.Second)
	if len(w.formed) > 0 {
		t.Errorf("founded beside %s: %v", old.self.Addr, w.formed)
	}
	w = newWorld(1, "+d-", "+d-", "+--")
	w.run(20 * time.Second)
	if len(w.formed) > 0 {
		t.Errorf("founded with two disks: %v", w.formed)
	}
}

// The founder is restarted at every moment of the formation, and what it sends
// to the replicas is lost to some of them, or held up: there is one group at most,
// and the other seeds go on with the same.
func TestARestartedFounderMakesNoSecondGroup(t *testing.T) {
	for _, zones := range [][]string{{"+d-", "+d-", "+dd", "d--"}, {"D--", "D--", "D-d", "d--"}} {
		for at := time.Duration(0); at < 2500*time.Millisecond; at += 100 * time.Millisecond {
			for _, lost := range []int{0, 3, 6, 7} {
				w := newWorld(1, zones...)
				w.isLost = func(p parcel) bool {
					bit := 1 << (int(p.to[3]-'1') % 3)
					return p.message.Kind == message.KindBootstrap && p.from == w.seeds[0] && lost&bit != 0 && w.now < at+2*time.Second
				}
				w.run(at)
				w.start(w.byAddr[w.seeds[0]])
				w.run(6 * time.Second)
				if err := w.check(3); err != nil {
					t.Fatalf("%v restarted after %v, %03b lost: %v", zones, at, lost, err)
				}
			}
		}
	}
}

// Whatever is lost, held up or restarted: never two groups.
func TestNeverTwoGroups(t *testing.T) {
	formed := 0
	for seed := int64(1); seed <= 150; seed++ {
		rng := rand.New(rand.NewSource(seed))
		zones := [][]string{{"+d-", "+d-", "+dd", "dd-"}, {"D-d", "+dd", "D-d"}, {"d+d", "d-d", "+dd", "+dd"}}[rng.Intn(3)]
		w := newWorld(1, zones...)
		cut := map[string]bool{}
		loss := rng.Float64() * 0.02
		w.isLost = func(p parcel) bool { return cut[p.from] != cut[p.to] || rng.Float64() < loss }
		w.delay = func() time.Duration {
			if rng.Float64() < 0.01 {
				return time.Duration(rng.Intn(6000)) * time.Millisecond
			}
			return 0
		}
		for i := 0; i < 40; i++ {
			w.run(time.Duration(50+rng.Intn(300)) * time.Millisecond)
			switch m := w.machines[rng.Intn(len(w.machines))]; rng.Intn(60) {
			case 0:
				m.down = true
			case 1, 2:
				w.start(m)
			case 3:
				cut[m.self.Addr] = !cut[m.self.Addr]
			case 4:
				cut = map[string]bool{}
			case 5:
				if m := w.byAddr[w.seeds[0]]; i > 5 {
					w.start(m)
				}
			}
		}
		if len(w.formed) > 1 {
			t.Fatalf("seed %d: %v", seed, w.formed)
		}
		formed += len(w.formed)
	}
	if formed < 100 {
		t.Errorf("only %d of 150 fleets formed: the runs prove little", formed)
	}
}

func TestSpread(t *testing.T) {
	members := func(zones ...int) (out []message.Member) {
		for c, n := range zones {
			for i := 0; i < n; i++ {
				out = append(out, message.Member{
					Ident: fmt.Sprintf("%d.%d", c, i), Addr: fmt.Sprintf("10.%d.0.%d:1", c, i),
					Zone: fmt.Sprint(c), HasDisk: true,
				})
			}
		}
		rand.New(rand.NewSource(int64(len(out)))).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out
	}
	for _, c := range []struct {
		zones     []int // members of each
		count     int
		mostInOne int // replicas in one zone
	}{
		{[]int{2, 2, 2}, 5, 2},
		{[]int{2, 2, 2, 2}, 5, 2},
		{[]int{6, 1, 1}, 5, 3},
		{[]int{4, 2, 2}, 5, 2},
		{[]int{5, 1, 1}, 3, 1},
		{[]int{3, 3}, 3, 2},
		{[]int{6}, 5, 5},
		{[]int{1, 1, 1}, 3, 1},
		{[]int{1}, 1, 1},
		{[]int{3, 2}, 1, 1},
	} {
		list := members(c.zones...)
		replicas := Spread(list, nil, c.count)
		in := map[byte]int{}
		for _, s := range replicas {
			in[s.Ident[0]]++
		}
		isSorted := sort.SliceIsSorted(replicas, func(i, j int) bool { return replicas[i].Addr < replicas[j].Addr })
		if len(replicas) != c.count || !isSorted {
			t.Errorf("%v: %d replicas asked for, got %v", c.zones, c.count, replicas)
		}
		for zone, n := range in {
			if n > c.mostInOne {
				t.Errorf("%v: %d of %d replicas in zone %c", c.zones, n, c.count, zone)
			}
		}
		if again := Spread(members(c.zones...), nil, c.count); !slices.Equal(replicas, again) {
			t.Errorf("%v: %v, then %v", c.zones, replicas, again)
		}
	}
	seeds := []string{"10.0.0.2:1", "10.1.0.1:1", "10.2.0.2:1"}
	s := Spread(members(3, 3, 3), seeds, 3)
	if s[0].Addr != seeds[0] || s[1].Addr != seeds[1] || s[2].Addr != seeds[2] {
		t.Errorf("not the seeds: %v", s)
	}
}
