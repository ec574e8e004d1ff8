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
	Dwell: 10 * time.Second, UsageWindow: 2400 * time.Millisecond, DrainTimeout: 24 * time.Second, SlowLink: 100 * time.Millisecond, MaxFailures: 3, HighUsage: 0.9, LowUsage: 0.6,
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

// drive runs the controller against perfect servers and returns the orders seen.
func drive(
	c *Controller, list fleetconfig.List, from, to time.Duration, serverRecords map[string]ServerRecord,
	active func(string) int,
) (orders []Order, at []time.Duration) {
	for now := from; now < to; now += 50 * time.Millisecond {
		c.LoadService(now, "m", list, serverRecords)
		o := c.Reconcile(now)
		for _, k := range o.Polls {
			c.HandlePoll(now, k, Usage{Active: active(k), UptimeMillis: int64(now/time.Millisecond) + 100000}, true)
		}
		for _, x := range o.Orders {
			orders, at = append(orders, x), append(at, now)
			c.HandleOrdered(x, true)
		}
		for _, w := range o.Writes {
			b, _ := OpenServerRecord(message.Record{Key: w.Key, Value: w.Value, Deleted: w.Delete})
			serverRecords[w.Key] = b
			c.HandleWritten(w.Key, b, true)
		}
	}
	return orders, at
}

func idle(string) int { return 0 }

func TestNoOrderBeforeTheSwapBound(t *testing.T) {
	c, list := newPolledFleet(4)
	orders, at := drive(c, list, 0, 5*time.Second, map[string]ServerRecord{}, idle)
	if len(orders) != 4 {
		t.Fatalf("orders: %v", orders)
	}
	for i := range at {
		if at[i] < cfg.SwapBound {
			t.Errorf("an order %v after an older controller could act", at[i])
		}
	}
}

func TestShiftFollowsTheMix(t *testing.T) {
	c, list := newPolledFleet(6)
	serverRecords := map[string]ServerRecord{}
	drive(c, list, 0, 8*time.Second, serverRecords, idle)
	count := func(role string) (n int) {
		for _, b := range serverRecords {
			if b.Role == role && b.NextRole == "" {
				n++
			}
		}
		return n
	}
	if count(Prefill) != 3 || count(Decode) != 3 {
		t.Fatalf("parts at first: %v", serverRecords)
	}
	var w Demand
	w.Service, w.Prefill[4], w.Decode[4] = "m", 60, 2
	for now := 8 * time.Second; now < 80*time.Second; now += time.Second {
		c.HandleDemand(now, "d", w, time.Second)
		drive(c, list, now, now+time.Second, serverRecords, idle)
	}
	if count(Decode) != 1 || count(Prefill) != 5 {
		t.Errorf("after long prompts only: %d prefill servers, %d decode servers", count(Prefill), count(Decode))
	}
	for k, b := range serverRecords {
		if b.Role == Prefill && len(b.Pairs) != 1 {
			t.Errorf("%s: pairs %v", k, b.Pairs)
		}
	}
}

// However daemons ask, drop out and come back, the slots that they may be
// filling never exceed a server's capacity.
func TestSharesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, list := newPolledFleet(3)
		serverRecords := map[string]ServerRecord{}
		drive(c, list, 0, 12*time.Second, serverRecords, idle)
		type box struct {
			share Share
			till  time.Duration
			held  map[string]int
		}
		boxes := map[string]*box{}
		now := 12 * time.Second
		for i := 0; i < 60; i++ {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"d1", "d2", "d3", "d4"}).Draw(t, "daemon")
			b := boxes[id]
			if b == nil {
				b = &box{held: map[string]int{}}
				boxes[id] = b
			}
			var w Demand
			w.Service, w.AckedShare, w.InFlight = "m", b.share.Number, b.held
			w.Prefill[rapid.IntRange(0, 9).Draw(t, "prio")] = rapid.IntRange(0, 40).Draw(t, "read")
			w.Decode[rapid.IntRange(0, 9).Draw(t, "mprio")] = rapid.IntRange(0, 40).Draw(t, "make")
			sh := c.HandleDemand(now, id, w, time.Second)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 { // else the answer is lost
				b.share, b.till = sh, now+time.Duration(sh.Length)
			}
			for a, n := range b.share.Slots { // fill some of it
				if now < b.till && b.held[a] < n && rapid.Bool().Draw(t, "use") {
					b.held[a]++
				}
			}
			for a := range b.held {
				if b.held[a] > 0 && rapid.Bool().Draw(t, "end") {
					b.held[a]--
				}
			}
			for _, s := range list.Servers {
				sum := 0
				for _, x := range boxes {
					n := x.held[s.Addr]
					if now < x.till {
						n = max(n, x.share.Slots[s.Addr])
					}
					sum += n
				}
				if sum > s.Capacity {
					t.Fatalf("%s: %d slots out of %d", s.Addr, sum, s.Capacity)
				}
			}
		}
	})
}

func TestUrgentDemandFirst(t *testing.T) {
	c, list := newPolledFleet(4)
	serverRecords := map[string]ServerRecord{}
	drive(c, list, 0, 12*time.Second, serverRecords, idle)
	var low, top Demand
	low.Service, low.Prefill[8] = "m", 100
	top.Service, top.Prefill[0] = "m", 14
	sum := func(s Share) (n int) {
		for a, k := range s.Slots {
			if serverRecords[fleetconfig.ServerRecordKey("m", a)].Role == Prefill {
				n += k
			}
		}
		return n
	}
	now := 12 * time.Second
	var a, b Share
	for i := 0; i < 20; i++ {
		now += 90 * time.Millisecond
		low.AckedShare, top.AckedShare = a.Number, b.Number
		a = c.HandleDemand(now, "low", low, time.Second)
		b = c.HandleDemand(now, "top", top, time.Second)
	}
	if sum(b) < 14 || sum(a) > 2 {
		t.Errorf("urgent daemon has %d slots, the other %d of 16", sum(b), sum(a))
	}
}

// With more daemons than slots, those with nothing to do hold none back from
// those that wait, and those that wait alike are served in turn.
func TestIdleDaemonsHoldNothingBack(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	drive(c, list, 0, 12*time.Second, serverRecords, idle)
	acks := map[string]uint64{}
	got := map[string]int{}
	ask := func(now time.Duration, id string, waiting int) {
		w := Demand{Service: "m", AckedShare: acks[id]}
		w.Decode[4] = waiting
		s := c.HandleDemand(now, id, w, time.Second)
		acks[id] = s.Number
		for a, n := range s.Slots {
			if serverRecords[fleetconfig.ServerRecordKey("m", a)].Role == Decode {
				got[id] += n
			}
		}
	}
	now := 12 * time.Second
	for i := 0; i < 30; i++ { // twenty daemons with nothing to do, eight slots
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
	for i := 0; i < 120; i++ { // now all wait for ever
		now += 90 * time.Millisecond
		for k := 0; k < 20; k++ {
			ask(now, fmt.Sprintf("idle%02d", k), 3)
		}
	}
	for k := 0; k < 20; k++ {
		if id := fmt.Sprintf("idle%02d", k); got[id] == 0 {
			t.Errorf("%s waited ten seconds and got nothing", id)
		}
	}
}

// A server that was killed and is back between two polls is a new one, even if
// it is up for longer than it was when last seen; and a new controller sees that a
// server which its record calls up is warming.
func TestARestartIsSeen(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	drive(c, list, 0, 12*time.Second, serverRecords, idle)
	key := fleetconfig.ServerRecordKey("m", list.Servers[0].Addr)
	if serverRecords[key].Status != Up {
		t.Fatalf("not up: %+v", serverRecords[key])
	}
	now := 12 * time.Second
	again := New(cfg, 2, now)
	again.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}, nil)
	again.LoadService(now, "m", list, map[string]ServerRecord{key: serverRecords[key]})
	again.Reconcile(now)
	again.HandlePoll(now, key, Usage{UptimeMillis: 100}, true)
	now += 900 * time.Millisecond // killed, and back for longer than the 100 ms seen last
	again.Reconcile(now)
	again.HandlePoll(now, key, Usage{UptimeMillis: 500}, true)
	if s := again.servers[key]; !s.restarted || again.slots(now, s) != 0 {
		t.Error("a restarted server was taken for the earlier process")
	}
	next := New(cfg, 2, now)
	next.SetPlan(fleetconfig.Plan{Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}, nil)
	b := serverRecords[key]
	b.Status = Up
	next.LoadService(now, "m", list, map[string]ServerRecord{key: b})
	slots := func() int {
		var w Demand
		w.Service, w.Prefill[0], w.Decode[0] = "m", 99, 99
		return next.HandleDemand(now, "d", w, time.Second).Slots[list.Servers[0].Addr]
	}
	if n := slots(); n > 0 {
		t.Errorf("%d slots on a server that this controller has not seen yet", n)
	}
	next.HandlePoll(now, key, Usage{UptimeMillis: 1000, Warming: true}, true)
	if n := slots(); n < 1 || n > 2 {
		t.Errorf("%d slots of 8 on a server that is up for a second", n)
	}
}

// A server that doesn't say its uptime is used all the same, and is ordered its
// role again when it is no longer dark.
func TestServersWithoutUptimeAreUsed(t *testing.T) {
	c, list := newPolledFleet(2)
	serverRecords := map[string]ServerRecord{}
	orders := 0
	run := func(from, to time.Duration, ok bool) {
		for now := from; now < to; now += 50 * time.Millisecond {
			c.LoadService(now, "m", list, serverRecords)
			o := c.Reconcile(now)
			for _, k := range o.Polls {
				c.HandlePoll(now, k, Usage{}, ok)
			}
			for _, x := range o.Orders {
				orders++
				c.HandleOrdered(x, true)
			}
			for _, w := range o.Writes {
				b, _ := OpenServerRecord(message.Record{Key: w.Key, Value: w.Value})
				serverRecords[w.Key] = b
				c.HandleWritten(w.Key, b, true)
			}
		}
	}
	up := func() (n int) {
		for _, b := range serverRecords {
			if b.Status == Up {
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
		t.Errorf("dark servers are up: %v", serverRecords)
	}
	run(15*time.Second, 25*time.Second, true)
	if up() != 2 || orders != 4 {
		t.Errorf("back: %d of 2 up after %d orders: %v", up(), orders, serverRecords)
	}
}
