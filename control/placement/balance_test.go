package placement

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/wire/message"
)

// listedFleet is a platform that lists its servers with their roles and takes orders;
// what it lists follows an order a second later, warming for a second more.
type listedFleet struct {
	t             *testing.T
	controller    *Controller
	cfg           Config
	now           time.Duration
	list          []fleetconfig.Server
	serverRecords map[string]ServerRecord
	pressure      map[string]Pressure // by role that the platform lists
	ignoresOrders bool                // it takes orders and doesn't follow them
	later         map[time.Duration][]func()
	orders        []Order
	orderedAt     []time.Duration
	shifts        []time.Duration // when a record began to leave its role
	polls         int
}

func newListedFleet(t *testing.T, prefillServers, decodeServers int, plan fleetconfig.Service) *listedFleet {
	s := &listedFleet{
		t: t, cfg: cfg, serverRecords: map[string]ServerRecord{}, pressure: map[string]Pressure{},
		later: map[time.Duration][]func(){},
	}
	s.cfg.ListedDwell, s.cfg.PressWindow = 3*time.Second, 400*time.Millisecond
	for i := range prefillServers + decodeServers {
		s.add(map[bool]string{true: Prefill, false: Decode}[i < prefillServers], false)
	}
	s.startTerm(1, plan)
	return s
}

// startTerm makes the controller of a new term.
func (s *listedFleet) startTerm(term uint64, plan fleetconfig.Service) {
	plan.Name = "m"
	s.controller = New(s.cfg, term, s.now)
	s.controller.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{plan}}, nil)
	s.controller.Pressure = func(_, id string) Pressure {
		for _, x := range s.list {
			if x.ID == id {
				return s.pressure[x.Role]
			}
		}
		return Pressure{}
	}
}

func (s *listedFleet) add(role string, warming bool) string {
	id := fmt.Sprintf("s%d", len(s.list))
	s.list = append(
		s.list,
		fleetconfig.Server{
			ID: id, Addr: fmt.Sprintf("10.0.0.%d:1", len(s.list)+1), Zone: "a", Capacity: 8, Role: role, Warming: warming,
		},
	)
	return id
}

func (s *listedFleet) set(id string, f func(*fleetconfig.Server)) {
	for i := range s.list {
		if s.list[i].ID == id {
			f(&s.list[i])
		}
	}
}

func (s *listedFleet) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for _, f := range s.later[s.now] {
			f()
		}
		s.controller.LoadService(
			s.now, "m", fleetconfig.List{Servers: append([]fleetconfig.Server(nil), s.list...)}, s.serverRecords,
		)
		o := s.controller.Reconcile(s.now)
		s.polls += len(o.Polls)
		for _, w := range o.Writes {
			b, _ := OpenServerRecord(message.Record{Key: w.Key, Value: w.Value, Deleted: w.Delete})
			if b.NextRole != "" && s.serverRecords[w.Key].NextRole == "" {
				s.shifts = append(s.shifts, s.now)
			}
			s.serverRecords[w.Key] = b
			s.controller.HandleWritten(w.Key, b, true)
		}
		for _, x := range o.Orders {
			s.orders, s.orderedAt = append(s.orders, x), append(s.orderedAt, s.now)
			if s.serverRecords[x.Key].NextRole != "" && s.serverRecords[x.Key].Status != Leaving {
				s.t.Errorf("%s is ordered to another role and still in use: %+v", x.ID, s.serverRecords[x.Key])
			}
			s.controller.HandleOrdered(x, true)
			if s.ignoresOrders {
				continue
			}
			s.later[s.now+time.Second] = append(s.later[s.now+time.Second], func() {
				s.set(x.ID, func(e *fleetconfig.Server) { e.Role, e.Warming = x.Role, true })
			})
			s.later[s.now+2*time.Second] = append(s.later[s.now+2*time.Second], func() {
				s.set(x.ID, func(e *fleetconfig.Server) { e.Warming = false })
			})
		}
	}
}

// countInUse is how many servers are in use in a role.
func (s *listedFleet) countInUse(role string) (n int) {
	for _, b := range s.serverRecords {
		if b.Role == role && b.NextRole == "" && b.Status == Up {
			n++
		}
	}
	return n
}

func (s *listedFleet) serverRecord(id string) ServerRecord {
	return s.serverRecords[fleetconfig.ServerRecordKey("m", id)]
}

// Servers whose roles the platform lists keep them, and are never
// polled, whatever happens to them.
func TestAListedServerIsNeverPolled(t *testing.T) {
	s := newListedFleet(t, 2, 2, fleetconfig.Service{})
	s.run(time.Second)
	if s.countInUse(Prefill) != 2 || s.countInUse(Decode) != 2 || len(s.orders) > 0 {
		t.Errorf("%d prefill servers, %d decode servers, orders %v", s.countInUse(Prefill), s.countInUse(Decode), s.orders)
	}
	s.pressure[Prefill] = Pressure{Prefill: 0.9}
	s.add(Prefill, true)
	s.set("s0", func(e *fleetconfig.Server) { e.Leaving = true })
	s.run(30 * time.Second)
	s.list = s.list[1:]
	s.startTerm(2, fleetconfig.Service{})
	s.run(30 * time.Second)
	if s.polls > 0 {
		t.Errorf("%d polls", s.polls)
	}
	// Of a list that names no role each server is asked.
	s.list = []fleetconfig.Server{{Addr: "10.0.1.1:1", Zone: "a", Capacity: 8}}
	s.run(time.Second)
	if s.polls == 0 {
		t.Error("a server without a listed role is not polled")
	}
}

// A server that comes while it is warming takes the role that keeps the sides in
// the proportion they had; a warm one, and one that fits, is left as it is.
func TestANewServerKeepsTheProportion(t *testing.T) {
	for _, test := range []struct {
		leaves, comes string
		warming       bool
		want          string
	}{
		{Decode, Prefill, true, Decode},
		{Prefill, Decode, true, Prefill},
		{Decode, Decode, true, Decode},
		{Prefill, Prefill, true, Prefill},
		{Decode, Prefill, false, Prefill},
		{Prefill, Decode, false, Decode},
	} {
		s := newListedFleet(t, 4, 2, fleetconfig.Service{})
		s.run(5 * time.Second)
		for _, e := range s.list {
			if e.Role == test.leaves {
				s.set(e.ID, func(e *fleetconfig.Server) { e.Leaving = true })
				break
			}
		}
		s.run(time.Second)
		id := s.add(test.comes, test.warming)
		s.run(200 * time.Millisecond)
		wantOrders := map[bool]int{true: 1, false: 0}[test.comes != test.want]
		isOther := len(s.orders) > 0 && (s.orders[0].ID != id || s.orders[0].Role != test.want)
		if len(s.orders) != wantOrders || isOther {
			t.Errorf("%+v: orders %+v", test, s.orders)
		}
		if b := s.serverRecord(id); b.Role != test.want || b.Status == Up && test.warming {
			t.Errorf("%+v: %+v", test, b)
		}
		s.set(id, func(e *fleetconfig.Server) { e.Warming = test.want != test.comes })
		s.run(5 * time.Second)
		if b := s.serverRecord(id); b.Role != test.want || b.Status != Up || len(s.orders) > 1 {
			t.Errorf("%+v: in the end %+v, orders %+v", test, b, s.orders)
		}
	}
}

// A side that is pressed gets a server after PressWindow, one at a time with ListedDwell
// between, from the side at ease, whose last one stays, or the plan's least.
func TestAPressedSideGetsServers(t *testing.T) {
	for _, test := range []struct {
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
		s := newListedFleet(t, 3, 3, test.plan)
		s.run(10 * time.Second)
		from := s.now
		s.pressure[test.press] = test.strain
		s.run(60 * time.Second)
		if s.countInUse(Prefill) != test.prefillServers || s.countInUse(Decode) != test.all-test.prefillServers {
			t.Errorf(
				"%s pressed, plan %+v: %d prefill servers, %d decode servers", test.press, test.plan, s.countInUse(Prefill),
				s.countInUse(Decode),
			)
		}
		if len(s.shifts) == 0 || s.shifts[0]-from < s.cfg.PressWindow || s.shifts[0]-from > 4*s.cfg.PressWindow {
			t.Errorf("%s pressed from %v on: shifts at %v", test.press, from, s.shifts)
		}
		for i := 1; i < len(s.shifts); i++ {
			if s.shifts[i]-s.shifts[i-1] < s.cfg.ListedDwell {
				t.Errorf("%s pressed: shifts at %v", test.press, s.shifts)
			}
		}
	}
}

// What presses for less than Press, presses both sides, or is not known, moves
// nothing.
func TestNothingMovesWithoutNeed(t *testing.T) {
	for what, f := range map[string]func(*listedFleet){
		"by turns": func(s *listedFleet) {
			for range 40 {
				s.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}}
				s.run(300 * time.Millisecond)
				s.pressure = map[string]Pressure{}
				s.run(time.Second)
			}
		},
		"both": func(s *listedFleet) { s.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}, Decode: {Decode: 0.9}} },
		"one, the other not at ease": func(s *listedFleet) {
			s.pressure = map[string]Pressure{Decode: {Decode: 0.3}}
			s.run(3 * time.Second)
			s.pressure[Prefill] = Pressure{Prefill: 0.9}
		},
		"a little": func(s *listedFleet) { s.pressure = map[string]Pressure{Prefill: {Prefill: 0.4}} },
		"not known": func(s *listedFleet) {
			s.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}}
			s.controller.Pressure = nil
		},
	} {
		s := newListedFleet(t, 3, 3, fleetconfig.Service{})
		s.run(5 * time.Second)
		f(s)
		s.run(30 * time.Second)
		if len(s.orders)+len(s.shifts) > 0 {
			t.Errorf("%s: shifts at %v, orders %+v", what, s.shifts, s.orders)
		}
	}
}

// A new controller of listed servers, too, gives no order before the swap bound,
// neither to shift one nor to fit a new one in.
func TestNoOrderToAListedServerBeforeTheSwapBound(t *testing.T) {
	s := newListedFleet(t, 4, 2, fleetconfig.Service{})
	s.run(20 * time.Second)
	since := s.now
	s.startTerm(2, fleetconfig.Service{})
	s.pressure[Decode] = Pressure{Decode: 0.9}
	s.run(time.Second)
	s.add(Prefill, true)
	s.run(10 * time.Second)
	if len(s.orders) == 0 || len(s.shifts) == 0 {
		t.Fatalf("shifts at %v, orders %v", s.shifts, s.orders)
	}
	for i, at := range s.orderedAt {
		if at-since < s.cfg.SwapBound {
			t.Errorf("%+v ordered %v after an older controller could act", s.orders[i], at-since)
		}
	}
	if s.shifts[0]-since < s.cfg.SwapBound {
		t.Errorf("a shift begun %v after an older controller could act", s.shifts[0]-since)
	}
}

// An order that the platform's list goes on denying is given again, now and
// then, until the list says so.
func TestADeniedOrderIsGivenAgain(t *testing.T) {
	s := newListedFleet(t, 3, 3, fleetconfig.Service{})
	s.run(5 * time.Second)
	s.ignoresOrders, s.pressure[Prefill] = true, Pressure{Prefill: 0.9}
	s.run(60 * time.Second)
	if len(s.orders) < 4 || len(s.shifts) != 1 {
		t.Fatalf("shifts at %v, orders at %v", s.shifts, s.orderedAt)
	}
	for i, o := range s.orders {
		if o.ID != s.orders[0].ID || o.Role != Prefill {
			t.Errorf("order %d: %+v", i, o)
		}
		if i > 0 && s.orderedAt[i]-s.orderedAt[i-1] < 4*s.cfg.SwapBound {
			t.Errorf("orders at %v", s.orderedAt)
			break
		}
	}
	if s.countInUse(Prefill)+s.countInUse(Decode) != 5 { // it is used in neither role meanwhile
		t.Errorf("%d prefill servers, %d decode servers in use", s.countInUse(Prefill), s.countInUse(Decode))
	}
	s.ignoresOrders, s.pressure = false, map[string]Pressure{}
	s.run(30 * time.Second)
	n := len(s.orders)
	s.run(60 * time.Second)
	if s.countInUse(Prefill) != 4 || s.countInUse(Decode) != 2 || len(s.orders) != n {
		t.Errorf(
			"followed: %d prefill servers, %d decode servers, %d orders more", s.countInUse(Prefill), s.countInUse(Decode),
			len(s.orders)-n,
		)
	}
}
