package interlock

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// site is a platform that lists its servers with their parts and takes orders;
// what it lists follows an order a second later, cold for a second more.
type site struct {
	t      *testing.T
	h      *Holder
	cfg    Config
	now    time.Duration
	list   []tariff.Server
	berths map[string]Berth
	strain map[string]Strain // by part that the platform lists
	deny   bool              // it takes orders and doesn't follow them
	then   map[time.Duration][]func()
	orders []Order
	at     []time.Duration
	shifts []time.Duration // when a record began to leave its part
	polls  int
}

func newSite(t *testing.T, readers, makers int, plan tariff.Service) *site {
	s := &site{t: t, cfg: cfg, berths: map[string]Berth{}, strain: map[string]Strain{}, then: map[time.Duration][]func(){}}
	s.cfg.Settle, s.cfg.Press = 3*time.Second, 400*time.Millisecond
	for i := range readers + makers {
		s.add(map[bool]string{true: Reader, false: Maker}[i < readers], false)
	}
	s.term(1, plan)
	return s
}

// term is a new holder.
func (s *site) term(n uint64, plan tariff.Service) {
	plan.Name = "m"
	s.h = New(s.cfg, n, s.now)
	s.h.Plan(tariff.Plan{Services: []tariff.Service{plan}}, nil)
	s.h.Strain = func(_, id string) Strain {
		for _, x := range s.list {
			if x.ID == id {
				return s.strain[x.Part]
			}
		}
		return Strain{}
	}
}

func (s *site) add(part string, cold bool) string {
	id := fmt.Sprintf("s%d", len(s.list))
	s.list = append(s.list, tariff.Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:1", len(s.list)+1), Cell: "a", Capacity: 8, Part: part, Warming: cold})
	return id
}

func (s *site) set(id string, f func(*tariff.Server)) {
	for i := range s.list {
		if s.list[i].ID == id {
			f(&s.list[i])
		}
	}
}

func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for _, f := range s.then[s.now] {
			f()
		}
		s.h.Load(s.now, "m", tariff.List{Servers: append([]tariff.Server(nil), s.list...)}, s.berths)
		o := s.h.Tick(s.now)
		s.polls += len(o.Polls)
		for _, w := range o.Writes {
			b, _ := OpenBerth(form.Rec{Key: w.Key, Val: w.Val, Dead: w.Gone})
			if b.To != "" && s.berths[w.Key].To == "" {
				s.shifts = append(s.shifts, s.now)
			}
			s.berths[w.Key] = b
			s.h.Wrote(w.Key, b, true)
		}
		for _, x := range o.Orders {
			s.orders, s.at = append(s.orders, x), append(s.at, s.now)
			if s.berths[x.Key].To != "" && s.berths[x.Key].Status != Leaving {
				s.t.Errorf("%s is ordered to another part and still in use: %+v", x.ID, s.berths[x.Key])
			}
			s.h.Ordered(s.now, x.Key, x, true)
			if s.deny {
				continue
			}
			s.then[s.now+time.Second] = append(s.then[s.now+time.Second], func() {
				s.set(x.ID, func(e *tariff.Server) { e.Part, e.Warming = x.Part, true })
			})
			s.then[s.now+2*time.Second] = append(s.then[s.now+2*time.Second], func() {
				s.set(x.ID, func(e *tariff.Server) { e.Warming = false })
			})
		}
	}
}

// count is how many servers are in use in a part.
func (s *site) count(part string) (n int) {
	for _, b := range s.berths {
		if b.Part == part && b.To == "" && b.Status == Up {
			n++
		}
	}
	return n
}

func (s *site) berth(id string) Berth { return s.berths[tariff.BerthKey("m", id)] }

// Servers whose parts the platform lists are taken as they are, and are never
// polled, whatever happens to them.
func TestAListedServerIsNeverPolled(t *testing.T) {
	s := newSite(t, 2, 2, tariff.Service{})
	s.run(time.Second)
	if s.count(Reader) != 2 || s.count(Maker) != 2 || len(s.orders) > 0 {
		t.Errorf("%d readers, %d makers, orders %v", s.count(Reader), s.count(Maker), s.orders)
	}
	s.strain[Reader] = Strain{Read: 0.9}
	s.add(Reader, true)
	s.set("s0", func(e *tariff.Server) { e.Leaving = true })
	s.run(30 * time.Second)
	s.list = s.list[1:]
	s.term(2, tariff.Service{})
	s.run(30 * time.Second)
	if s.polls > 0 {
		t.Errorf("%d polls", s.polls)
	}
	// Of a list that names no part each server is asked.
	s.list = []tariff.Server{{Addr: "10.0.1.1:1", Cell: "a", Capacity: 8}}
	s.run(time.Second)
	if s.polls == 0 {
		t.Error("a server whose part nobody told is not asked")
	}
}

// A server that comes while it is cold takes the part that keeps the sides in
// the proportion they had; a warm one, and one that fits, is left as it is.
func TestANewServerKeepsTheProportion(t *testing.T) {
	for _, x := range []struct {
		leaves, comes string
		cold          bool
		want          string
	}{
		{Maker, Reader, true, Maker}, {Reader, Maker, true, Reader},
		{Maker, Maker, true, Maker}, {Reader, Reader, true, Reader},
		{Maker, Reader, false, Reader}, {Reader, Maker, false, Maker},
	} {
		s := newSite(t, 4, 2, tariff.Service{})
		s.run(5 * time.Second)
		for _, e := range s.list {
			if e.Part == x.leaves {
				s.set(e.ID, func(e *tariff.Server) { e.Leaving = true })
				break
			}
		}
		s.run(time.Second)
		id := s.add(x.comes, x.cold)
		s.run(200 * time.Millisecond)
		if n := len(s.orders); n != map[bool]int{true: 1, false: 0}[x.comes != x.want] || n > 0 && (s.orders[0].ID != id || s.orders[0].Part != x.want) {
			t.Errorf("%+v: orders %+v", x, s.orders)
		}
		if b := s.berth(id); b.Part != x.want || b.Status == Up && x.cold {
			t.Errorf("%+v: %+v", x, b)
		}
		s.set(id, func(e *tariff.Server) { e.Warming = x.want != x.comes })
		s.run(5 * time.Second)
		if b := s.berth(id); b.Part != x.want || b.Status != Up || len(s.orders) > 1 {
			t.Errorf("%+v: in the end %+v, orders %+v", x, b, s.orders)
		}
	}
}

// A side that is pressed gets a server after Press, one at a time with Settle
// between, from the side at ease, whose last one stays, or the plan's least.
func TestAPressedSideGetsServers(t *testing.T) {
	for _, x := range []struct {
		press        string
		strain       Strain
		plan         tariff.Service
		readers, all int
	}{
		{Reader, Strain{Read: 0.9}, tariff.Service{}, 5, 6},
		{Reader, Strain{Read: 0.9}, tariff.Service{Readers: 1, Makers: 2}, 4, 6},
		{Maker, Strain{Write: 0.9}, tariff.Service{}, 1, 6},
		{Maker, Strain{Write: 0.9}, tariff.Service{Readers: 2, Makers: 1}, 2, 6},
	} {
		s := newSite(t, 3, 3, x.plan)
		s.run(10 * time.Second)
		from := s.now
		s.strain[x.press] = x.strain
		s.run(60 * time.Second)
		if s.count(Reader) != x.readers || s.count(Maker) != x.all-x.readers {
			t.Errorf("%s pressed, plan %+v: %d readers, %d makers", x.press, x.plan, s.count(Reader), s.count(Maker))
		}
		if len(s.shifts) == 0 || s.shifts[0]-from < s.cfg.Press || s.shifts[0]-from > 4*s.cfg.Press {
			t.Errorf("%s pressed from %v on: shifts at %v", x.press, from, s.shifts)
		}
		for i := 1; i < len(s.shifts); i++ {
			if s.shifts[i]-s.shifts[i-1] < s.cfg.Settle {
				t.Errorf("%s pressed: shifts at %v", x.press, s.shifts)
			}
		}
	}
}

// What presses for less than Press, presses both sides, or is not known, moves
// nothing.
func TestNothingMovesWithoutNeed(t *testing.T) {
	for what, f := range map[string]func(*site){
		"by turns": func(s *site) {
			for range 40 {
				s.strain = map[string]Strain{Reader: {Read: 0.9}}
				s.run(300 * time.Millisecond)
				s.strain = map[string]Strain{}
				s.run(time.Second)
			}
		},
		"both": func(s *site) { s.strain = map[string]Strain{Reader: {Read: 0.9}, Maker: {Write: 0.9}} },
		"one, the other not at ease": func(s *site) {
			s.strain = map[string]Strain{Maker: {Write: 0.3}}
			s.run(3 * time.Second)
			s.strain[Reader] = Strain{Read: 0.9}
		},
		"a little":  func(s *site) { s.strain = map[string]Strain{Reader: {Read: 0.4}} },
		"not known": func(s *site) { s.strain = map[string]Strain{Reader: {Read: 0.9}}; s.h.Strain = nil },
	} {
		s := newSite(t, 3, 3, tariff.Service{})
		s.run(5 * time.Second)
		f(s)
		s.run(30 * time.Second)
		if len(s.orders)+len(s.shifts) > 0 {
			t.Errorf("%s: shifts at %v, orders %+v", what, s.shifts, s.orders)
		}
	}
}

// A new holder of listed servers, too, gives no order before the swap bound,
// neither to shift one nor to fit a new one in.
func TestNoOrderToAListedServerBeforeTheSwapBound(t *testing.T) {
	s := newSite(t, 4, 2, tariff.Service{})
	s.run(20 * time.Second)
	since := s.now
	s.term(2, tariff.Service{})
	s.strain[Maker] = Strain{Write: 0.9}
	s.run(time.Second)
	s.add(Reader, true)
	s.run(10 * time.Second)
	if len(s.orders) == 0 || len(s.shifts) == 0 {
		t.Fatalf("shifts at %v, orders %v", s.shifts, s.orders)
	}
	for i, at := range s.at {
		if at-since < s.cfg.Swap {
			t.Errorf("%+v ordered %v after an older holder could act", s.orders[i], at-since)
		}
	}
	if s.shifts[0]-since < s.cfg.Swap {
		t.Errorf("a shift begun %v after an older holder could act", s.shifts[0]-since)
	}
}

// An order that the platform's list goes on denying is given again, now and
// then, until the list says so.
func TestADeniedOrderIsGivenAgain(t *testing.T) {
	s := newSite(t, 3, 3, tariff.Service{})
	s.run(5 * time.Second)
	s.deny, s.strain[Reader] = true, Strain{Read: 0.9}
	s.run(60 * time.Second)
	if len(s.orders) < 4 || len(s.shifts) != 1 {
		t.Fatalf("shifts at %v, orders at %v", s.shifts, s.at)
	}
	for i, o := range s.orders {
		if o.ID != s.orders[0].ID || o.Part != Reader {
			t.Errorf("order %d: %+v", i, o)
		}
		if i > 0 && s.at[i]-s.at[i-1] < 4*s.cfg.Swap {
			t.Errorf("orders at %v", s.at)
			break
		}
	}
	if s.count(Reader)+s.count(Maker) != 5 { // it is used in neither part meanwhile
		t.Errorf("%d readers, %d makers in use", s.count(Reader), s.count(Maker))
	}
	s.deny, s.strain = false, map[string]Strain{}
	s.run(30 * time.Second)
	n := len(s.orders)
	s.run(60 * time.Second)
	if s.count(Reader) != 4 || s.count(Maker) != 2 || len(s.orders) != n {
		t.Errorf("followed: %d readers, %d makers, %d orders more", s.count(Reader), s.count(Maker), len(s.orders)-n)
	}
}
