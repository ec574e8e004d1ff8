package placement

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/wire/message"
)

// site is a platform that lists its servers with their parts and takes orders;
// what it lists follows an order a second later, cold for a second more.
type site struct {
	t             *testing.T
	h             *Controller
	cfg           Config
	now           time.Duration
	list          []fleetconfig.Server
	serverRecords map[string]ServerRecord
	strain        map[string]Pressure // by part that the platform lists
	deny          bool                // it takes orders and doesn't follow them
	then          map[time.Duration][]func()
	orders        []Order
	at            []time.Duration
	shifts        []time.Duration // when a record began to leave its part
	polls         int
}

func newSite(t *testing.T, prefillServers, decodeServers int, plan fleetconfig.Service) *site {
	s := &site{t: t, cfg: cfg, serverRecords: map[string]ServerRecord{}, strain: map[string]Pressure{}, then: map[time.Duration][]func(){}}
	s.cfg.ListedDwell, s.cfg.PressWindow = 3*time.Second, 400*time.Millisecond
	for i := range prefillServers + decodeServers {
		s.add(map[bool]string{true: Prefill, false: Decode}[i < prefillServers], false)
	}
	s.term(1, plan)
	return s
}

// term is a new holder.
func (s *site) term(n uint64, plan fleetconfig.Service) {
	plan.Name = "m"
	s.h = New(s.cfg, n, s.now)
	s.h.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{plan}}, nil)
	s.h.Pressure = func(_, id string) Pressure {
		for _, x := range s.list {
			if x.ID == id {
				return s.strain[x.Role]
			}
		}
		return Pressure{}
	}
}

func (s *site) add(part string, cold bool) string {
	id := fmt.Sprintf("s%d", len(s.list))
	s.list = append(s.list, fleetconfig.Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:1", len(s.list)+1), Zone: "a", Capacity: 8, Role: part, Warming: cold})
	return id
}

func (s *site) set(id string, f func(*fleetconfig.Server)) {
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
		s.h.LoadService(s.now, "m", fleetconfig.List{Servers: append([]fleetconfig.Server(nil), s.list...)}, s.serverRecords)
		o := s.h.Reconcile(s.now)
		s.polls += len(o.Polls)
		for _, w := range o.Writes {
			b, _ := OpenServerRecord(message.Record{Key: w.Key, Value: w.Value, Deleted: w.Delete})
			if b.NextRole != "" && s.serverRecords[w.Key].NextRole == "" {
				s.shifts = append(s.shifts, s.now)
			}
			s.serverRecords[w.Key] = b
			s.h.HandleWritten(w.Key, b, true)
		}
		for _, x := range o.Orders {
			s.orders, s.at = append(s.orders, x), append(s.at, s.now)
			if s.serverRecords[x.Key].NextRole != "" && s.serverRecords[x.Key].Status != Leaving {
				s.t.Errorf("%s is ordered to another part and still in use: %+v", x.ID, s.serverRecords[x.Key])
			}
			s.h.HandleOrdered(s.now, x.Key, x, true)
			if s.deny {
				continue
			}
			s.then[s.now+time.Second] = append(s.then[s.now+time.Second], func() {
				s.set(x.ID, func(e *fleetconfig.Server) { e.Role, e.Warming = x.Role, true })
			})
			s.then[s.now+2*time.Second] = append(s.then[s.now+2*time.Second], func() {
				s.set(x.ID, func(e *fleetconfig.Server) { e.Warming = false })
			})
		}
	}
}

// count is how many servers are in use in a part.
func (s *site) count(part string) (n int) {
	for _, b := range s.serverRecords {
		if b.Role == part && b.NextRole == "" && b.Status == Up {
			n++
		}
	}
	return n
}

func (s *site) serverRecord(id string) ServerRecord {
	return s.serverRecords[fleetconfig.ServerRecordKey("m", id)]
}

// Servers whose parts the platform lists are taken as they are, and are never
// polled, whatever happens to them.
func TestAListedServerIsNeverPolled(t *testing.T) {
	s := newSite(t, 2, 2, fleetconfig.Service{})
	s.run(time.Second)
	if s.count(Prefill) != 2 || s.count(Decode) != 2 || len(s.orders) > 0 {
		t.Errorf("%d prefill servers, %d decode servers, orders %v", s.count(Prefill), s.count(Decode), s.orders)
	}
	s.strain[Prefill] = Pressure{Prefill: 0.9}
	s.add(Prefill, true)
	s.set("s0", func(e *fleetconfig.Server) { e.Leaving = true })
	s.run(30 * time.Second)
	s.list = s.list[1:]
	s.term(2, fleetconfig.Service{})
	s.run(30 * time.Second)
	if s.polls > 0 {
		t.Errorf("%d polls", s.polls)
	}
	// Of a list that names no part each server is asked.
	s.list = []fleetconfig.Server{{Addr: "10.0.1.1:1", Zone: "a", Capacity: 8}}
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
		{Decode, Prefill, true, Decode},
		{Prefill, Decode, true, Prefill},
		{Decode, Decode, true, Decode},
		{Prefill, Prefill, true, Prefill},
		{Decode, Prefill, false, Prefill},
		{Prefill, Decode, false, Decode},
	} {
		s := newSite(t, 4, 2, fleetconfig.Service{})
		s.run(5 * time.Second)
		for _, e := range s.list {
			if e.Role == x.leaves {
				s.set(e.ID, func(e *fleetconfig.Server) { e.Leaving = true })
				break
			}
		}
		s.run(time.Second)
		id := s.add(x.comes, x.cold)
		s.run(200 * time.Millisecond)
		if n := len(s.orders); n != map[bool]int{true: 1, false: 0}[x.comes != x.want] || n > 0 && (s.orders[0].ID != id || s.orders[0].Role != x.want) {
			t.Errorf("%+v: orders %+v", x, s.orders)
		}
		if b := s.serverRecord(id); b.Role != x.want || b.Status == Up && x.cold {
			t.Errorf("%+v: %+v", x, b)
		}
		s.set(id, func(e *fleetconfig.Server) { e.Warming = x.want != x.comes })
		s.run(5 * time.Second)
		if b := s.serverRecord(id); b.Role != x.want || b.Status != Up || len(s.orders) > 1 {
			t.Errorf("%+v: in the end %+v, orders %+v", x, b, s.orders)
		}
	}
}

// A side that is pressed gets a server after Press, one at a time with Settle
// between, from the side at ease, whose last one stays, or the plan's least.
func TestAPressedSideGetsServers(t *testing.T) {
	for _, x := range []struct {
		press               string
		strain              Pressure
		plan                fleetconfig.Service
		prefillServers, all int
	}{
		{Prefill, Pressure{Prefill: 0.9}, fleetconfig.Service{}, 5, 6},
		{Prefill, Pressure{Prefill: 0.9}, fleetconfig.Service{PrefillServers: 1, DecodeServers: 2}, 4, 6},
		{Decode, Pressure{Decode: 0.9}, fleetconfig.Service{}, 1, 6},
		{Decode, Pressure{Decode: 0.9}, fleetconfig.Service{PrefillServers: 2, DecodeServers: 1}, 2, 6},
	} {
		s := newSite(t, 3, 3, x.plan)
		s.run(10 * time.Second)
		from := s.now
		s.strain[x.press] = x.strain
		s.run(60 * time.Second)
		if s.count(Prefill) != x.prefillServers || s.count(Decode) != x.all-x.prefillServers {
			t.Errorf("%s pressed, plan %+v: %d prefill servers, %d decode servers", x.press, x.plan, s.count(Prefill), s.count(Decode))
		}
		if len(s.shifts) == 0 || s.shifts[0]-from < s.cfg.PressWindow || s.shifts[0]-from > 4*s.cfg.PressWindow {
			t.Errorf("%s pressed from %v on: shifts at %v", x.press, from, s.shifts)
		}
		for i := 1; i < len(s.shifts); i++ {
			if s.shifts[i]-s.shifts[i-1] < s.cfg.ListedDwell {
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
				s.strain = map[string]Pressure{Prefill: {Prefill: 0.9}}
				s.run(300 * time.Millisecond)
				s.strain = map[string]Pressure{}
				s.run(time.Second)
			}
		},
		"both": func(s *site) { s.strain = map[string]Pressure{Prefill: {Prefill: 0.9}, Decode: {Decode: 0.9}} },
		"one, the other not at ease": func(s *site) {
			s.strain = map[string]Pressure{Decode: {Decode: 0.3}}
			s.run(3 * time.Second)
			s.strain[Prefill] = Pressure{Prefill: 0.9}
		},
		"a little":  func(s *site) { s.strain = map[string]Pressure{Prefill: {Prefill: 0.4}} },
		"not known": func(s *site) { s.strain = map[string]Pressure{Prefill: {Prefill: 0.9}}; s.h.Pressure = nil },
	} {
		s := newSite(t, 3, 3, fleetconfig.Service{})
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
	s := newSite(t, 4, 2, fleetconfig.Service{})
	s.run(20 * time.Second)
	since := s.now
	s.term(2, fleetconfig.Service{})
	s.strain[Decode] = Pressure{Decode: 0.9}
	s.run(time.Second)
	s.add(Prefill, true)
	s.run(10 * time.Second)
	if len(s.orders) == 0 || len(s.shifts) == 0 {
		t.Fatalf("shifts at %v, orders %v", s.shifts, s.orders)
	}
	for i, at := range s.at {
		if at-since < s.cfg.SwapBound {
			t.Errorf("%+v ordered %v after an older holder could act", s.orders[i], at-since)
		}
	}
	if s.shifts[0]-since < s.cfg.SwapBound {
		t.Errorf("a shift begun %v after an older holder could act", s.shifts[0]-since)
	}
}

// An order that the platform's list goes on denying is given again, now and
// then, until the list says so.
func TestADeniedOrderIsGivenAgain(t *testing.T) {
	s := newSite(t, 3, 3, fleetconfig.Service{})
	s.run(5 * time.Second)
	s.deny, s.strain[Prefill] = true, Pressure{Prefill: 0.9}
	s.run(60 * time.Second)
	if len(s.orders) < 4 || len(s.shifts) != 1 {
		t.Fatalf("shifts at %v, orders at %v", s.shifts, s.at)
	}
	for i, o := range s.orders {
		if o.ID != s.orders[0].ID || o.Role != Prefill {
			t.Errorf("order %d: %+v", i, o)
		}
		if i > 0 && s.at[i]-s.at[i-1] < 4*s.cfg.SwapBound {
			t.Errorf("orders at %v", s.at)
			break
		}
	}
	if s.count(Prefill)+s.count(Decode) != 5 { // it is used in neither part meanwhile
		t.Errorf("%d prefill servers, %d decode servers in use", s.count(Prefill), s.count(Decode))
	}
	s.deny, s.strain = false, map[string]Pressure{}
	s.run(30 * time.Second)
	n := len(s.orders)
	s.run(60 * time.Second)
	if s.count(Prefill) != 4 || s.count(Decode) != 2 || len(s.orders) != n {
		t.Errorf("followed: %d prefill servers, %d decode servers, %d orders more", s.count(Prefill), s.count(Decode), len(s.orders)-n)
	}
}
