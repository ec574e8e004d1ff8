package overload

import (
	"encoding/json"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/wire/message"
)

// front is one daemon: its dispatcher, its load reporter, and the records that it reads.
type front struct {
	sim                *simulation
	me                 message.Member
	dispatcher         *forward.Dispatcher
	reporter           *loadreport.Reporter
	leasesInvalidUntil time.Duration
}

// Generation returns a number that increases with each change of the records.
//
// Example: f.Generation(0)
func (f *front) Generation(int) uint64 { return f.sim.recordGeneration }

// Until returns the expiry of the leases.
//
// Example: now < f.Until(0)
func (f *front) Until(int) time.Duration {
	if f.sim.now < f.leasesInvalidUntil {
		return f.sim.now
	}
	return time.Hour
}

// Read returns a record if the leases are valid.
//
// Example: rec, ok := f.Read(1, fleetconfig.ListKey("models"))
func (f *front) Read(partition int, key string) (message.Record, bool) {
	if f.sim.now < f.leasesInvalidUntil {
		return message.Record{}, false
	}
	ver := message.Version{Term: 1, Seq: f.sim.recordGeneration}
	if partition == 0 {
		return message.Record{Key: key, Version: ver, Value: fleetconfig.EncodeZones(map[string]bool{})}, true
	}
	if key == fleetconfig.ListKey(service) {
		var l fleetconfig.List
		for _, s := range f.sim.servers {
			if s.up {
				l.Servers = append(l.Servers, fleetconfig.Server{ID: s.key, Addr: s.key, Zone: s.zone, Capacity: f.sim.Slots})
			}
		}
		return message.Record{Key: key, Version: ver, Value: pack(l)}, true
	}
	if s := f.sim.byRecordKey[key]; s != nil && s.up {
		record := placement.ServerRecord{Addr: s.key, Zone: s.zone, Capacity: f.sim.Slots, Role: s.part, Status: placement.Up}
		return message.Record{Key: key, Version: ver, Value: pack(record)}, true
	}
	return message.Record{Key: key, Version: ver, Deleted: true}, true
}

func pack(x any) []byte {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err) // these types can always be encoded
	}
	return b
}

// tick periodically sends load reports to the other daemons.
func (f *front) tick() {
	members := make([]message.Member, 0, len(f.sim.daemons))
	addrs := make([]string, 0, len(f.sim.daemons))
	for _, o := range f.sim.daemons {
		members, addrs = append(members, o.me), append(addrs, o.me.Addr)
	}
	f.dispatcher.SetDaemons(f.sim.now, f.me.Addr, addrs)
	for _, s := range f.sim.servers {
		f.reporter.SetCacheSize(loadreport.ServerID(service, s.key), cacheTokens)
	}
	for _, m := range f.reporter.Tick(f.sim.now, f.me, members) {
		for _, o := range f.sim.daemons {
			if o.me.Ident == m.Message.To {
				f.sim.after(networkLatency, func() { o.reporter.Step(o.sim.now, m.Message) })
			}
		}
	}
	f.sim.after(20*time.Millisecond, f.tick)
}

// loadHints is a daemon's load reporter as its dispatcher uses it.
type loadHints struct{ f *front }

// AddLoad records work sent by this daemon.
//
// Example: h.AddLoad("server-01", 900, 0)
func (h loadHints) AddLoad(server string, tokens, writing int) {
	h.f.reporter.AddLoad(loadreport.ServerID(service, server), tokens, writing)
}

// Load returns the load in progress at a server.
//
// Example: tokens, writing, pause := h.Load(now, "server-01")
func (h loadHints) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	u := h.f.reporter.Load(now, loadreport.ServerID(service, server))
	if u.Decoding > 0 {
		pause = time.Duration(u.InterTokenSum/u.Decoding) * time.Millisecond
	}
	return u.Tokens, u.Decoding, pause
}

// ObserveInterTokenLatency records the time between two events.
//
// Example: h.ObserveInterTokenLatency("server-01", 40*time.Millisecond)
func (h loadHints) ObserveInterTokenLatency(server string, d time.Duration) {
	h.f.reporter.ObserveInterTokenLatency(loadreport.ServerID(service, server), d)
}

// CallEnded records the end of a call.
//
// Example: h.CallEnded(now, "server-01", true)
func (h loadHints) CallEnded(now time.Duration, server string, answered bool) {
	h.f.reporter.CallEnded(now, loadreport.ServerID(service, server), answered)
}

// IsDown reports whether a server is believed to be down.
//
// Example: h.IsDown(now, "server-01")
func (h loadHints) IsDown(now time.Duration, server string) bool {
	return h.f.reporter.IsDown(now, loadreport.ServerID(service, server))
}

// RecordPrefix records that a server caches a prompt prefix.
//
// Example: h.RecordPrefix(prefix, "server-01", 900)
func (h loadHints) RecordPrefix(prefix uint64, server string, tokens int) {
	h.f.reporter.RecordPrefix(prefix, loadreport.ServerID(service, server), tokens)
}

// HasPrefix reports whether a server caches a prompt prefix.
//
// Example: h.HasPrefix(prefix, "server-01")
func (h loadHints) HasPrefix(prefix uint64, server string) bool {
	return h.f.reporter.HasPrefix(prefix, loadreport.ServerID(service, server))
}

// attempt is one attempt of a client at one daemon.
type attempt struct {
	front           *front
	call            forward.Request
	ended           bool
	streaming       bool
	prefilledTokens int // by all servers
	onEnd           func(end forward.Action, retryAfter time.Duration)
	onFirstEvent    func()
}

// start starts the attempt at its daemon.
func (t *attempt) start() { t.execute(t.front.dispatcher.Start(t.front.sim.now, t.call)) }

// execute carries out a decision of the dispatcher.
func (t *attempt) execute(m forward.Decision) {
	sim := t.front.sim
	switch m.Action {
	case forward.Wait:
		sim.after(min(m.Until-sim.now, sim.cfg.VolumeLease()/16), func() {
			if !t.ended {
				t.execute(t.front.dispatcher.Continue(sim.now, t.call.ID))
			}
		})
	case forward.Prefill:
		t.send(m, func(out forward.Outcome, h forward.Handle) {
			t.execute(t.front.dispatcher.PrefillDone(sim.now, t.call.ID, out, h, "test"))
		})
	case forward.Decode:
		t.send(m, func(out forward.Outcome, _ forward.Handle) {
			t.execute(t.front.dispatcher.DecodeDone(sim.now, t.call.ID, out, "test"))
		})
	default:
		t.ended = true
		if m.Action != forward.Done {
			sim.result.WastedTokens += t.prefilledTokens
		}
		t.onEnd(m.Action, m.RetryAfter)
	}
}

// send sends a call to a server unless the final check blocks it. done is called once
// when the call ends, at the latest at its deadline.
func (t *attempt) send(m forward.Decision, done func(forward.Outcome, forward.Handle)) {
	sim := t.front.sim
	if !t.front.dispatcher.MaySend(sim.now, t.call.ID, m) {
		done(forward.Blocked, forward.Handle{})
		return
	}
	ended := false
	s := sim.serverOf(m.Server.Key)
	j := &job{attempt: t, decision: m, deadline: m.Until}
	j.done = func(out forward.Outcome, h forward.Handle) {
		if !ended && !t.ended {
			ended = true
			if out != forward.Lost && out != forward.NotSent {
				s.idleConns[t.front]++
			}
			done(out, h)
		}
	}
	sim.after(s.connect(t.front), func() { s.enqueue(j) })
	sim.after(m.Until-sim.now, func() {
		if !ended {
			j.abandoned = true
			j.done(forward.Lost, forward.Handle{})
		}
	})
}
