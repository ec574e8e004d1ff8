package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/wire/message"
)

var cfg = Config{
	SwapBound: 3 * time.Second, PollInterval: 240 * time.Millisecond, WarmUp: 3 * time.Second, ShareLength: 750 * time.Millisecond, Drift: 0.02, Margin: 20 * time.Millisecond,
	MinShiftInterval: 10 * time.Second, UsageWindow: 2400 * time.Millisecond, DrainTimeout: 24 * time.Second, SlowLink: 100 * time.Millisecond, MaxFailures: 3, HighUsage: 0.9, LowUsage: 0.6,
}

func newPolledFleet(n int) (*Controller, fleetconfig.List) {
	c := New(cfg, 1, 0)
	c.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}, nil)
	var list fleetconfig.List
	for i := 0; i < n; i++ {
		list.Servers = append(list.Servers, fleetconfig.Server{Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "a", Capacity: 8})
	}
	return c, list
}

// runController runs the controller against servers that answer every poll and accept every order, and returns the
// orders and when they were issued.
func runController(
	c *Controller, list fleetconfig.List, from, to time.Duration, serverRecords map[string]ServerRecord,
	active func(string) int,
) (orders []Order, at []time.Duration) {
	for now := from; now < to; now += 50 * time.Millisecond {
		c.LoadService(now, "m", list, serverRecords)
		out := c.Reconcile(now)
		for _, key := range out.Polls {
			c.HandlePoll(now, key, Usage{Active: active(key), UptimeMillis: int64(now/time.Millisecond) + 100000}, true)
		}
		for _, order := range out.Orders {
			orders, at = append(orders, order), append(at, now)
			c.HandleOrderResult(order, true)
		}
		for _, write := range out.Writes {
			record, _ := OpenServerRecord(message.Record{Key: write.Key, Value: write.Value, Deleted: write.Delete})
			serverRecords[write.Key] = record
			c.HandleWriteResult(write.Key, record, true)
		}
	}
	return orders, at
}

func idle(string) int { return 0 }

func TestNoOrderBeforeSwapBound(t *testing.T) {
	c, list := newPolledFleet(4)
	orders, at := runController(c, list, 0, 5*time.Second, map[string]ServerRecord{}, idle)
	if len(orders) != 4 {
		t.Fatalf("orders: %v", orders)
	}
	for i := range at {
		if at[i] < cfg.SwapBound {
			t.Errorf("an order was issued only %v after an older controller could act", at[i])
		}
	}
}

func TestShiftFollowsDemand(t *testing.T) {
	c, list := newPolledFleet(6)
	serverRecords := map[string]ServerRecord{}
	runController(c, list, 0, 8*time.Second, serverRecords, idle)
	count := func(role string) (n int) {
		for _, record := range serverRecords {
			if record.Role == role && record.NextRole == "" {
				n++
			}
		}
		return n
	}
	if count(Prefill) != 3 || count(Decode) != 3 {
		t.Fatalf("initial roles: %v", serverRecords)
	}
	var demand Demand
	demand.Service, demand.Prefill[4], demand.Decode[4] = "m", 60, 2
	for now := 8 * time.Second; now < 80*time.Second; now += time.Second {
		c.HandleDemand(now, "d", demand, time.Second)
		runController(c, list, now, now+time.Second, serverRecords, idle)
	}
	if count(Decode) != 1 || count(Prefill) != 5 {
		t.Errorf("after prefill demand only: %d prefill servers, %d decode servers", count(Prefill), count(Decode))
	}
	for key, record := range serverRecords {
		if record.Role == Prefill && len(record.Pairs) != 1 {
			t.Errorf("%s: pairs %v", key, record.Pairs)
		}
	}
}

// The slots that daemons may be using never exceed a server's capacity, whatever
// the daemons demand and whichever answers are lost.
func TestSharesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, list := newPolledFleet(3)
		serverRecords := map[string]ServerRecord{}
		runController(c, list, 0, 12*time.Second, serverRecords, idle)
		type fakeDaemon struct {
			share    Share
			expires  time.Duration
			inFlight map[string]int
		}
		daemons := map[string]*fakeDaemon{}
		now := 12 * time.Second
		for i := 0; i < 60; i++ {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"d1", "d2", "d3", "d4"}).Draw(t, "daemon")
			d := daemons[id]
			if d == nil {
				d = &fakeDaemon{inFlight: map[string]int{}}
				daemons[id] = d
			}
			var demand Demand
			demand.Service, demand.AckedShare, demand.InFlight = "m", d.share.Number, d.inFlight
			demand.Prefill[rapid.IntRange(0, 9).Draw(t, "prio")] = rapid.IntRange(0, 40).Draw(t, "read")
			demand.Decode[rapid.IntRange(0, 9).Draw(t, "mprio")] = rapid.IntRange(0, 40).Draw(t, "make")
			share := c.HandleDemand(now, id, demand, time.Second)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 { // otherwise the answer is lost
				d.share, d.expires = share, now+time.Duration(share.Length)
			}
			for addr, n := range d.share.Slots { // use some of the slots
				if now < d.expires && d.inFlight[addr] < n && rapid.Bool().Draw(t, "use") {
					d.inFlight[addr]++
				}
			}
			for addr := range d.inFlight {
				if d.inFlight[addr] > 0 && rapid.Bool().Draw(t, "end") {
					d.inFlight[addr]--
				}
			}
			for _, s := range list.Servers {
				sum := 0
				for _, other := range daemons {
					n := other.inFlight[s.Addr]
					if now < other.expires {
						n = max(n, other.share.Slots[s.Addr])
					}
					sum += n
				}
				if sum > s.Capacity {
					t.Fatalf("%s: %d slots may be in use, capacity %d", s.Addr, sum, s.Capacity)
				}
			}
		}
	})
}

func TestUrgentDemandIsServedFirst(t *testing.T) {
	c, list := newPolledFleet(4)
	serverRecords := map[string]ServerRecord{}
	runController(c, list, 0, 12*time.Second, serverRecords, idle)
	var low, top Demand
	low.Service, low.Prefill[8] = "m", 100
	top.Service, top.Prefill[0] = "m", 14
	prefillSlots := func(s Share) (sum int) {
		for addr, n := range s.Slots {
			if serverRecords[fleetconfig.ServerRecordKey("m", addr)].Role == Prefill {
				sum += n
			}
		}
		return sum
	}
	now := 12 * time.Second
	var lowShare, topShare Share
	for i := 0; i < 20; i++ {
		now += 90 * time.Millisecond
		low.AckedShare, top.AckedShare = lowShare.Number, topShare.Number
		lowShare = c.HandleDemand(now, "low", low, time.Second)
		topShare = c.HandleDemand(now, "top", top, time.Second)
	}
	if prefillSlots(topShare) < 14 || prefillSlots(lowShare) > 2 {
		t.Errorf("the urgent daemon has %d of 16 slots, the other %d", prefillSlots(topShare), prefillSlots(lowShare))
	}
}

// With more daemons than slots, idle daemons don't keep slots from daemons with waiting
// requests, and daemons with equal demand get slots in turn.
func TestIdleDaemonsDoNotBlockWaitingOnes(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	runController(c, list, 0, 12*time.Second, serverRecords, idle)
	acks := map[string]uint64{}
	got := map[string]int{}
	ask := func(now time.Duration, id string, waiting int) {
		demand := Demand{Service: "m", AckedShare: acks[id]}
		demand.Decode[4] = waiting
		share := c.HandleDemand(now, id, demand, time.Second)
		acks[id] = share.Number
		for addr, n := range share.Slots {
			if serverRecords[fleetconfig.ServerRecordKey("m", addr)].Role == Decode {
				got[id] += n
			}
		}
	}
	now := 12 * time.Second
	for i := 0; i < 30; i++ { // twenty idle daemons, eight slots
		now += 90 * time.Millisecond
		for k := 0; k < 20; k++ {
			ask(now, fmt.Sprintf("idle%02d", k), 0)
		}
	}
	got = map[string]int{}
	for i := 0; i < 3; i++ {
		now += 90 * time.Millisecond
		ask(now, "z", 2)
		for k := 0; k < 20; k++ {
			ask(now, fmt.Sprintf("idle%02d", k), 0)
		}
	}
	if got["z"] < 4 {
		t.Errorf("in three rounds the waiting daemon got %d slots for 2 requests", got["z"])
	}
	got = map[string]int{}
	for i := 0; i < 120; i++ { // now all daemons always have waiting requests
		now += 90 * time.Millisecond
		for k := 0; k < 20; k++ {
			ask(now, fmt.Sprintf("idle%02d", k), 3)
		}
	}
	for k := 0; k < 20; k++ {
		if id := fmt.Sprintf("idle%02d", k); got[id] == 0 {
			t.Errorf("%s got no slot in over ten seconds", id)
		}
	}
}

// A server that is killed and restarts between two polls is detected as restarted, even if
// its uptime is longer than the last one reported. A new controller also detects that a
// server whose record has status "up" is still warming up.
func TestRestartIsDetected(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	runController(c, list, 0, 12*time.Second, serverRecords, idle)
	key := fleetconfig.ServerRecordKey("m", list.Servers[0].Addr)
	if serverRecords[key].Status != Up {
		t.Fatalf("the server is not up: %+v", serverRecords[key])
	}
	now := 12 * time.Second
	second := New(cfg, 2, now)
	second.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}, nil)
	second.LoadService(now, "m", list, map[string]ServerRecord{key: serverRecords[key]})
	second.Reconcile(now)
	second.HandlePoll(now, key, Usage{UptimeMillis: 100}, true)
	now += 900 * time.Millisecond // restarted, with a longer uptime than the last 100 ms
	second.Reconcile(now)
	second.HandlePoll(now, key, Usage{UptimeMillis: 500}, true)
	if s := second.servers[key]; !s.restarted || second.slots(now, s) != 0 {
		t.Error("a restart was not detected")
	}
	third := New(cfg, 2, now)
	third.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}, nil)
	record := serverRecords[key]
	record.Status = Up
	third.LoadService(now, "m", list, map[string]ServerRecord{key: record})
	slots := func() int {
		var demand Demand
		demand.Service, demand.Prefill[0], demand.Decode[0] = "m", 99, 99
		return third.HandleDemand(now, "d", demand, time.Second).Slots[list.Servers[0].Addr]
	}
	if n := slots(); n > 0 {
		t.Errorf("%d slots on a server that this controller has not polled yet", n)
	}
	third.HandlePoll(now, key, Usage{UptimeMillis: 1000, Warming: true}, true)
	if n := slots(); n < 1 || n > 2 {
		t.Errorf("%d of 8 slots on a server with an uptime of one second", n)
	}
}

// A server that doesn't report its uptime is used like any other. After it was dark, it is
// ordered to play its role again.
func TestServersWithoutUptimeAreUsed(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	orders := 0
	run := func(from, to time.Duration, ok bool) {
		for now := from; now < to; now += 50 * time.Millisecond {
			c.LoadService(now, "m", list, serverRecords)
			out := c.Reconcile(now)
			for _, key := range out.Polls {
				c.HandlePoll(now, key, Usage{}, ok)
			}
			for _, order := range out.Orders {
				orders++
				c.HandleOrderResult(order, true)
			}
			for _, write := range out.Writes {
				record, _ := OpenServerRecord(message.Record{Key: write.Key, Value: write.Value})
				serverRecords[write.Key] = record
				c.HandleWriteResult(write.Key, record, true)
			}
		}
	}
	up := func() (n int) {
		for _, record := range serverRecords {
			if record.Status == Up {
				n++
			}
		}
		return n
	}
	run(0, 12*time.Second, true)
	if up() != 2 || orders != 2 {
		t.Fatalf("%d of 2 up after %d orders: %v", up(), orders, serverRecords)
	}
	run(12*time.Second, 15*time.Second, false)
	if up() != 0 {
		t.Errorf("servers that answer no poll are up: %v", serverRecords)
	}
	run(15*time.Second, 25*time.Second, true)
	if up() != 2 || orders != 4 {
		t.Errorf("answering again: %d of 2 up after %d orders: %v", up(), orders, serverRecords)
	}
}
