package placement

import (
	"fmt"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/wire/message"
)

// listedFleet simulates a platform that lists its servers with their roles and accepts orders.
// Its list reflects an order after one second, and shows the server as warming for another second.
type listedFleet struct {
	t             *testing.T
	controller    *Controller
	cfg           Config
	now           time.Duration
	list          []fleetconfig.Server
	serverRecords map[string]ServerRecord
	pressure      map[string]Pressure // by listed role
	ignoresOrders bool                // it accepts orders but doesn't execute them
	later         map[time.Duration][]func()
	orders        []Order
	orderedAt     []time.Duration
	shifts        []time.Duration // when a server began to leave its role
	polls         int
}

func newListedFleet(t *testing.T, prefillServers, decodeServers int, plan fleetconfig.Service) *listedFleet {
	fleet := &listedFleet{
		t: t, cfg: cfg, serverRecords: map[string]ServerRecord{}, pressure: map[string]Pressure{},
		later: map[time.Duration][]func(){},
	}
	fleet.cfg.ListedMinShiftInterval, fleet.cfg.PressureWindow = 3*time.Second, 400*time.Millisecond
	for i := range prefillServers + decodeServers {
		fleet.add(map[bool]string{true: Prefill, false: Decode}[i < prefillServers], false)
	}
	fleet.startTerm(1, plan)
	return fleet
}

// startTerm creates the controller of a new term.
func (fleet *listedFleet) startTerm(term uint64, plan fleetconfig.Service) {
	plan.Name = "m"
	fleet.controller = New(fleet.cfg, term, fleet.now)
	fleet.controller.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{plan}}, nil)
	fleet.controller.Pressure = func(_, id string) Pressure {
		for _, x := range fleet.list {
			if x.ID == id {
				return fleet.pressure[x.Role]
			}
		}
		return Pressure{}
	}
}

func (fleet *listedFleet) add(role string, warming bool) string {
	id := fmt.Sprintf("s%d", len(fleet.list))
	fleet.list = append(
		fleet.list,
		fleetconfig.Server{
			ID: id, Addr: fmt.Sprintf("10.0.0.%d:1", len(fleet.list)+1), Zone: "a", Capacity: 8, Role: role, Warming: warming,
		},
	)
	return id
}

func (fleet *listedFleet) set(id string, f func(*fleetconfig.Server)) {
	for i := range fleet.list {
		if fleet.list[i].ID == id {
			f(&fleet.list[i])
		}
	}
}

func (fleet *listedFleet) advance(d time.Duration) {
	for end := fleet.now + d; fleet.now < end; fleet.now += 50 * time.Millisecond {
		for _, event := range fleet.later[fleet.now] {
			event()
		}
		fleet.controller.LoadService(
			fleet.now, "m", fleetconfig.List{Servers: append([]fleetconfig.Server(nil), fleet.list...)}, fleet.serverRecords,
		)
		out := fleet.controller.Reconcile(fleet.now)
		fleet.polls += len(out.Polls)
		for _, write := range out.Writes {
			record, _ := OpenServerRecord(message.Record{Key: write.Key, Value: write.Value, Deleted: write.Delete})
			if record.NextRole != "" && fleet.serverRecords[write.Key].NextRole == "" {
				fleet.shifts = append(fleet.shifts, fleet.now)
			}
			fleet.serverRecords[write.Key] = record
			fleet.controller.HandleWriteResult(write.Key, record, true)
		}
		for _, order := range out.Orders {
			fleet.orders, fleet.orderedAt = append(fleet.orders, order), append(fleet.orderedAt, fleet.now)
			if fleet.serverRecords[order.Key].NextRole != "" && fleet.serverRecords[order.Key].Status != Leaving {
				fleet.t.Errorf("%s is ordered to shift while in use: %+v", order.ID, fleet.serverRecords[order.Key])
			}
			fleet.controller.HandleOrderResult(order, true)
			if fleet.ignoresOrders {
				continue
			}
			fleet.later[fleet.now+time.Second] = append(fleet.later[fleet.now+time.Second], func() {
				fleet.set(order.ID, func(e *fleetconfig.Server) { e.Role, e.Warming = order.Role, true })
			})
			fleet.later[fleet.now+2*time.Second] = append(fleet.later[fleet.now+2*time.Second], func() {
				fleet.set(order.ID, func(e *fleetconfig.Server) { e.Warming = false })
			})
		}
	}
}

// countInUse returns the number of servers in use in a role.
func (fleet *listedFleet) countInUse(role string) (n int) {
	for _, record := range fleet.serverRecords {
		if record.Role == role && record.NextRole == "" && record.Status == Up {
			n++
		}
	}
	return n
}

func (fleet *listedFleet) serverRecord(id string) ServerRecord {
	return fleet.serverRecords[fleetconfig.ServerRecordKey("m", id)]
}

// Servers whose roles the platform lists keep these roles and are never
// polled, even if they leave, are removed, or the controller changes.
func TestListedServerIsNeverPolled(t *testing.T) {
	fleet := newListedFleet(t, 2, 2, fleetconfig.Service{})
	fleet.advance(time.Second)
	if fleet.countInUse(Prefill) != 2 || fleet.countInUse(Decode) != 2 || len(fleet.orders) > 0 {
		t.Errorf(
			"%d prefill servers, %d decode servers, orders %v",
			fleet.countInUse(Prefill), fleet.countInUse(Decode), fleet.orders,
		)
	}
	fleet.pressure[Prefill] = Pressure{Prefill: 0.9}
	fleet.add(Prefill, true)
	fleet.set("s0", func(e *fleetconfig.Server) { e.Leaving = true })
	fleet.advance(30 * time.Second)
	fleet.list = fleet.list[1:]
	fleet.startTerm(2, fleetconfig.Service{})
	fleet.advance(30 * time.Second)
	if fleet.polls > 0 {
		t.Errorf("%d polls", fleet.polls)
	}
	// Servers in a list without roles are polled.
	fleet.list = []fleetconfig.Server{{Addr: "10.0.1.1:1", Zone: "a", Capacity: 8}}
	fleet.advance(time.Second)
	if fleet.polls == 0 {
		t.Error("a server without a listed role is not polled")
	}
}

// A new server that is still warming up takes the role that keeps the previous proportion
// of the sides. A new server that is already warm, or has the right role, keeps its role.
func TestNewServerKeepsSidesInProportion(t *testing.T) {
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
		fleet := newListedFleet(t, 4, 2, fleetconfig.Service{})
		fleet.advance(5 * time.Second)
		for _, e := range fleet.list {
			if e.Role == test.leaves {
				fleet.set(e.ID, func(e *fleetconfig.Server) { e.Leaving = true })
				break
			}
		}
		fleet.advance(time.Second)
		id := fleet.add(test.comes, test.warming)
		fleet.advance(200 * time.Millisecond)
		wantOrders := map[bool]int{true: 1, false: 0}[test.comes != test.want]
		isOther := len(fleet.orders) > 0 && (fleet.orders[0].ID != id || fleet.orders[0].Role != test.want)
		if len(fleet.orders) != wantOrders || isOther {
			t.Errorf("%+v: orders %+v", test, fleet.orders)
		}
		if record := fleet.serverRecord(id); record.Role != test.want || record.Status == Up && test.warming {
			t.Errorf("%+v: %+v", test, record)
		}
		fleet.set(id, func(e *fleetconfig.Server) { e.Warming = test.want != test.comes })
		fleet.advance(5 * time.Second)
		if record := fleet.serverRecord(id); record.Role != test.want || record.Status != Up || len(fleet.orders) > 1 {
			t.Errorf("%+v: at the end %+v, orders %+v", test, record, fleet.orders)
		}
	}
}

// A side under high pressure gets servers from the other side: the first after PressureWindow, then one at a time,
// at least ListedMinShiftInterval apart. The other side keeps the plan's minimum, and at least one server.
func TestPressedSideGainsServers(t *testing.T) {
	for _, test := range []struct {
		side                string // under high pressure
		pressure            Pressure
		plan                fleetconfig.Service
		prefillServers, all int
	}{
		{Prefill, Pressure{Prefill: 0.9}, fleetconfig.Service{}, 5, 6},
		{Prefill, Pressure{Prefill: 0.9}, fleetconfig.Service{PrefillServers: 1, DecodeServers: 2}, 4, 6},
		{Decode, Pressure{Decode: 0.9}, fleetconfig.Service{}, 1, 6},
		{Decode, Pressure{Decode: 0.9}, fleetconfig.Service{PrefillServers: 2, DecodeServers: 1}, 2, 6},
	} {
		fleet := newListedFleet(t, 3, 3, test.plan)
		fleet.advance(10 * time.Second)
		from := fleet.now
		fleet.pressure[test.side] = test.pressure
		fleet.advance(60 * time.Second)
		if fleet.countInUse(Prefill) != test.prefillServers || fleet.countInUse(Decode) != test.all-test.prefillServers {
			t.Errorf(
				"%s under pressure, plan %+v: %d prefill servers, %d decode servers", test.side, test.plan,
				fleet.countInUse(Prefill), fleet.countInUse(Decode),
			)
		}
		if len(fleet.shifts) == 0 || fleet.shifts[0]-from < fleet.cfg.PressureWindow ||
			fleet.shifts[0]-from > 4*fleet.cfg.PressureWindow {
			t.Errorf("%s under pressure from %v on: shifts at %v", test.side, from, fleet.shifts)
		}
		for i := 1; i < len(fleet.shifts); i++ {
			if fleet.shifts[i]-fleet.shifts[i-1] < fleet.cfg.ListedMinShiftInterval {
				t.Errorf("%s under pressure: shifts at %v", test.side, fleet.shifts)
			}
		}
	}
}

// Pressure that lasts less than PressureWindow, is high on both sides, or isn't known causes
// no shift.
func TestNoShiftWithoutSustainedPressure(t *testing.T) {
	for name, setPressure := range map[string]func(*listedFleet){
		"short bursts": func(fleet *listedFleet) {
			for range 40 {
				fleet.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}}
				fleet.advance(300 * time.Millisecond)
				fleet.pressure = map[string]Pressure{}
				fleet.advance(time.Second)
			}
		},
		"both": func(fleet *listedFleet) {
			fleet.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}, Decode: {Decode: 0.9}}
		},
		"one side, the other under moderate pressure": func(fleet *listedFleet) {
			fleet.pressure = map[string]Pressure{Decode: {Decode: 0.3}}
			fleet.advance(3 * time.Second)
			fleet.pressure[Prefill] = Pressure{Prefill: 0.9}
		},
		"below the threshold": func(fleet *listedFleet) { fleet.pressure = map[string]Pressure{Prefill: {Prefill: 0.4}} },
		"not known": func(fleet *listedFleet) {
			fleet.pressure = map[string]Pressure{Prefill: {Prefill: 0.9}}
			fleet.controller.Pressure = nil
		},
	} {
		fleet := newListedFleet(t, 3, 3, fleetconfig.Service{})
		fleet.advance(5 * time.Second)
		setPressure(fleet)
		fleet.advance(30 * time.Second)
		if len(fleet.orders)+len(fleet.shifts) > 0 {
			t.Errorf("%s: shifts at %v, orders %+v", name, fleet.shifts, fleet.orders)
		}
	}
}

// A new controller of listed servers issues no order before the swap bound has passed,
// neither to shift a server nor to give a new one its role.
func TestNoOrderToListedServerBeforeSwapBound(t *testing.T) {
	fleet := newListedFleet(t, 4, 2, fleetconfig.Service{})
	fleet.advance(20 * time.Second)
	since := fleet.now
	fleet.startTerm(2, fleetconfig.Service{})
	fleet.pressure[Decode] = Pressure{Decode: 0.9}
	fleet.advance(time.Second)
	fleet.add(Prefill, true)
	fleet.advance(10 * time.Second)
	if len(fleet.orders) == 0 || len(fleet.shifts) == 0 {
		t.Fatalf("shifts at %v, orders %v", fleet.shifts, fleet.orders)
	}
	for i, at := range fleet.orderedAt {
		if at-since < fleet.cfg.SwapBound {
			t.Errorf("%+v ordered only %v after an older controller could act", fleet.orders[i], at-since)
		}
	}
	if fleet.shifts[0]-since < fleet.cfg.SwapBound {
		t.Errorf("a shift began only %v after an older controller could act", fleet.shifts[0]-since)
	}
}

// An order that the platform's list keeps contradicting is repeated at long
// intervals until the list reflects the order.
func TestIgnoredOrderIsRepeated(t *testing.T) {
	fleet := newListedFleet(t, 3, 3, fleetconfig.Service{})
	fleet.advance(5 * time.Second)
	fleet.ignoresOrders, fleet.pressure[Prefill] = true, Pressure{Prefill: 0.9}
	fleet.advance(60 * time.Second)
	if len(fleet.orders) < 4 || len(fleet.shifts) != 1 {
		t.Fatalf("shifts at %v, orders at %v", fleet.shifts, fleet.orderedAt)
	}
	for i, o := range fleet.orders {
		if o.ID != fleet.orders[0].ID || o.Role != Prefill {
			t.Errorf("order %d: %+v", i, o)
		}
		if i > 0 && fleet.orderedAt[i]-fleet.orderedAt[i-1] < 4*fleet.cfg.SwapBound {
			t.Errorf("orders at %v", fleet.orderedAt)
			break
		}
	}
	// While its order is ignored, the sixth server is used in neither role.
	if fleet.countInUse(Prefill)+fleet.countInUse(Decode) != 5 {
		t.Errorf("%d prefill servers, %d decode servers in use", fleet.countInUse(Prefill), fleet.countInUse(Decode))
	}
	fleet.ignoresOrders, fleet.pressure = false, map[string]Pressure{}
	fleet.advance(30 * time.Second)
	n := len(fleet.orders)
	fleet.advance(60 * time.Second)
	if fleet.countInUse(Prefill) != 4 || fleet.countInUse(Decode) != 2 || len(fleet.orders) != n {
		t.Errorf(
			"after the order was followed: %d prefill servers, %d decode servers, %d more orders",
			fleet.countInUse(Prefill), fleet.countInUse(Decode), len(fleet.orders)-n,
		)
	}
}
