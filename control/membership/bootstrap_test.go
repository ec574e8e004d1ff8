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
	m     message.Member
	r     *Table
	down  bool
	group []message.Replica // on its disk
	lives int
}

type parcel struct {
	at       time.Duration
	from, to string
	msg      message.Message
}

type world struct {
	cfg     Config
	always  bool // every life counts as the first, as without a platform
	now     time.Duration
	seeds   []string
	list    []*machine
	by      map[string]*machine
	mail    []parcel
	lose    func(p parcel) bool
	late    func() time.Duration
	founded map[string]bool // groups that were ever on a disk
	led     *machine        // the last leader
	term    uint64          // its term
}

// newWorld makes a fleet; each zone is a word of 'd' for machines with a disk
// and '-' for others, in capitals for seeds ('D', '+').
func newWorld(losses int, zones ...string) *world {
	y := &world{cfg: cfg, by: map[string]*machine{}, founded: map[string]bool{}, lose: func(parcel) bool { return false }, late: func() time.Duration { return 0 }}
	y.cfg.ToleratedLosses, y.cfg.FirstStart = losses, true
	for c, word := range zones {
		for i, kind := range word {
			m := &machine{m: message.Member{Addr: fmt.Sprintf("10.%d.0.%d:1", c+1, i+1), Zone: fmt.Sprint("c", c), HasDisk: kind == 'd' || kind == 'D'}}
			if kind == 'D' || kind == '+' {
				y.seeds = append(y.seeds, m.m.Addr)
			}
			y.list = append(y.list, m)
			y.by[m.m.Addr] = m
		}
	}
	for _, m := range y.list {
		y.start(m)
	}
	return y
}

// start gives a machine a new life; its disk stays.
func (y *world) start(m *machine) {
	c := y.cfg
	c.FirstStart = m.lives == 0 || y.always
	m.lives++
	m.m.Epoch++
	m.m.Ident = fmt.Sprintf("%s-%d", m.m.Addr, m.lives)
	if m.m.HasDisk {
		m.m.Ident = m.m.Addr
	}
	m.m.Empty = m.m.HasDisk && m.group == nil
	m.r, m.down = New(c, m.m, y.seeds), false
}

func (y *world) carry(m *machine, o Out) {
	for _, s := range o.Sends {
		s.Message.From, s.Message.Addr, s.Message.Epoch = m.m.Ident, m.m.Addr, m.m.Epoch
		if p := (parcel{y.now + y.late(), m.m.Addr, s.Addr, s.Message}); !y.lose(p) {
			y.mail = append(y.mail, p)
		}
	}
	if o.Bootstrap != nil {
		y.take(m, o.Bootstrap)
	}
}

func (y *world) take(m *machine, replicas []message.Replica) {
	if m.group == nil && (message.Group{Replicas: replicas}).Has(m.m.Ident) {
		m.group = replicas
		y.founded[fmt.Sprint(replicas)] = true
	}
}

func (y *world) run(d time.Duration) {
	for end := y.now + d; y.now < end; y.now += 100 * time.Millisecond {
		for _, m := range y.list {
			if m.down {
				continue
			}
			m.m.Empty = m.m.HasDisk && m.group == nil
			var owns []message.Leadership
			if m.group != nil && y.leader() == m {
				owns = append(owns, message.Leadership{Term: y.termOf(m), Leader: message.Replica{Ident: m.m.Ident, Addr: m.m.Addr}})
			}
			y.carry(m, m.r.Tick(y.now, m.m, owns))
			for _, s := range m.group { // a replica tells the others of its group, as control/quorum does
				if to := y.by[s.Addr]; !to.down && !y.lose(parcel{y.now, m.m.Addr, s.Addr, message.Message{Kind: message.KindRequestVote}}) {
					y.take(to, m.group)
				}
			}
		}
		for round := 0; round < 4; round++ {
			var rest []parcel
			now := y.mail
			y.mail = nil
			for _, p := range now {
				to := y.by[p.to]
				switch {
				case p.at > y.now:
					rest = append(rest, p)
				case to != nil && !to.down && (p.msg.To == "" || p.msg.To == to.m.Ident):
					y.carry(to, to.r.Step(y.now, p.msg))
				}
			}
			y.mail = append(y.mail, rest...)
		}
	}
}

// leader is the first replica of a group that a majority has on its disks.
func (y *world) leader() *machine {
	for _, m := range y.list {
		if m.group == nil || m.down {
			continue
		}
		g := message.Group{Number: 1, Replicas: m.group}
		if g.HasQuorum(func(id string) bool {
			at := y.by[id] // a disk's identity is its address here
			return at != nil && !at.down && slices.Equal(at.group, m.group)
		}) {
			return m
		}
	}
	return nil
}

// termOf is the term that a machine leads with: each new leader has a higher one.
func (y *world) termOf(m *machine) uint64 {
	if y.led != m {
		y.led = m
		y.term++
	}
	return y.term
}

// whole tells what is wrong with a fleet that should have formed.
func (y *world) whole(replicas int) error {
	if len(y.founded) != 1 {
		return fmt.Errorf("%d groups: %v", len(y.founded), y.founded)
	}
	own := y.leader()
	if own == nil || len(own.group) != replicas {
		return fmt.Errorf("no leader in a group of %d: %v", replicas, y.founded)
	}
	for _, m := range y.list {
		if v := m.r.View(); !m.down && (!v.HasSession || v.Leaderships[0].Term == 0 || len(v.Members) < len(y.list)) {
			return fmt.Errorf("%s: live %v, leader %v, %d members of %d", m.m.Addr, v.HasSession, v.Leaderships[0], len(v.Members), len(y.list))
		}
	}
	return nil
}

func TestAFleetForms(t *testing.T) {
	for name, x := range map[string]struct {
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
		y := newWorld(x.losses, x.zones...)
		y.run(8 * time.Second)
		if err := y.whole(2*x.losses + 1); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if x.losses == 1 && name != "seeds of one zone" {
			for _, s := range y.leader().group {
				if name == "three seeds with disks" && !slices.Contains(y.seeds, s.Addr) {
					t.Errorf("%s: %v is no seed", name, s)
				}
			}
		}
	}
}

func TestNoBootstrapWithoutEverySeed(t *testing.T) {
	y := newWorld(1, "+d-", "+d-", "+d-")
	silent := y.by[y.seeds[2]]
	silent.down = true
	y.run(20 * time.Second)
	if len(y.founded) > 0 {
		t.Fatalf("founded without %s: %v", silent.m.Addr, y.founded)
	}
	silent.down = false
	y.run(8 * time.Second)
	if err := y.whole(3); err != nil {
		t.Error(err)
	}
}

// A member that has a group, or a seed that knows of one, stops any founding;
// too few disks do, too.
func TestNoBootstrapBesideAnotherGroup(t *testing.T) {
	y := newWorld(1, "+d-", "+d-", "+dd")
	old := y.list[len(y.list)-1]
	old.group = []message.Replica{{Ident: "x", Addr: "10.7.0.1:1"}, {Ident: old.m.Ident, Addr: old.m.Addr}, {Ident: "y", Addr: "10.7.0.2:1"}}
	y.by["10.7.0.1:1"], y.by["10.7.0.2:1"] = &machine{down: true}, &machine{down: true}
	y.run(20 * time.Second)
	if len(y.founded) > 0 {
		t.Errorf("founded beside %s: %v", old.m.Addr, y.founded)
	}
	y = newWorld(1, "+d-", "+d-", "+--")
	y.run(20 * time.Second)
	if len(y.founded) > 0 {
		t.Errorf("founded with two disks: %v", y.founded)
	}
}

// The founder is restarted at every moment of the formation, and what it sends
// to the replicas is lost to some of them, or held up: there is one group at most,
// and the other seeds go on with the same.
func TestARestartedFounderMakesNoSecondGroup(t *testing.T) {
	for _, zones := range [][]string{{"+d-", "+d-", "+dd", "d--"}, {"D--", "D--", "D-d", "d--"}} {
		for at := time.Duration(0); at < 2500*time.Millisecond; at += 100 * time.Millisecond {
			for _, lost := range []int{0, 3, 6, 7} {
				y := newWorld(1, zones...)
				y.lose = func(p parcel) bool {
					bit := 1 << (int(p.to[3]-'1') % 3)
					return p.msg.Kind == message.KindBootstrap && p.from == y.seeds[0] && lost&bit != 0 && y.now < at+2*time.Second
				}
				y.run(at)
				y.start(y.by[y.seeds[0]])
				y.run(6 * time.Second)
				if err := y.whole(3); err != nil {
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
		y := newWorld(1, zones...)
		cut := map[string]bool{}
		loss := rng.Float64() * 0.02
		y.lose = func(p parcel) bool { return cut[p.from] != cut[p.to] || rng.Float64() < loss }
		y.late = func() time.Duration {
			if rng.Float64() < 0.01 {
				return time.Duration(rng.Intn(6000)) * time.Millisecond
			}
			return 0
		}
		for i := 0; i < 40; i++ {
			y.run(time.Duration(50+rng.Intn(300)) * time.Millisecond)
			switch m := y.list[rng.Intn(len(y.list))]; rng.Intn(60) {
			case 0:
				m.down = true
			case 1, 2:
				y.start(m)
			case 3:
				cut[m.m.Addr] = !cut[m.m.Addr]
			case 4:
				cut = map[string]bool{}
			case 5:
				if m := y.by[y.seeds[0]]; i > 5 {
					y.start(m)
				}
			}
		}
		if len(y.founded) > 1 {
			t.Fatalf("seed %d: %v", seed, y.founded)
		}
		formed += len(y.founded)
	}
	if formed < 100 {
		t.Errorf("only %d of 150 fleets formed: the runs prove little", formed)
	}
}

func TestSpread(t *testing.T) {
	make := func(zones ...int) (out []message.Member) {
		for c, n := range zones {
			for i := 0; i < n; i++ {
				out = append(out, message.Member{Ident: fmt.Sprintf("%d.%d", c, i), Addr: fmt.Sprintf("10.%d.0.%d:1", c, i), Zone: fmt.Sprint(c), HasDisk: true})
			}
		}
		rand.New(rand.NewSource(int64(len(out)))).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out
	}
	for _, x := range []struct {
		zones []int
		n     int
		most  int // replicas in one zone
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
		list := make(x.zones...)
		replicas := Spread(list, nil, x.n)
		in := map[byte]int{}
		for _, s := range replicas {
			in[s.Ident[0]]++
		}
		if len(replicas) != x.n || !sort.SliceIsSorted(replicas, func(i, j int) bool { return replicas[i].Addr < replicas[j].Addr }) {
			t.Errorf("%v: %d replicas asked for, got %v", x.zones, x.n, replicas)
		}
		for c, n := range in {
			if n > x.most {
				t.Errorf("%v: %d of %d replicas in zone %c", x.zones, n, x.n, c)
			}
		}
		if again := Spread(make(x.zones...), nil, x.n); !slices.Equal(replicas, again) {
			t.Errorf("%v: %v, then %v", x.zones, replicas, again)
		}
	}
	if s := Spread(make(3, 3, 3), []string{"10.0.0.2:1", "10.1.0.1:1", "10.2.0.2:1"}, 3); s[0].Addr != "10.0.0.2:1" || s[1].Addr != "10.1.0.1:1" || s[2].Addr != "10.2.0.2:1" {
		t.Errorf("not the seeds: %v", s)
	}
}
