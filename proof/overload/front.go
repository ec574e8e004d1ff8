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

// front is one daemon: its lane, its board, and the records that it reads.
type front struct {
	w     *world
	me    message.Member
	lane  *forward.Dispatcher
	board *loadreport.Reporter
	blind time.Duration // until when its leases don't stand
}

// Generation counts the changes of the records.
//
// Example: f.Generation(0)
func (f *front) Generation(int) uint64 { return f.w.gen }

// Until is when the leases lapse.
//
// Example: now < f.Until(0)
func (f *front) Until(int) time.Duration {
	if f.w.now < f.blind {
		return f.w.now
	}
	return time.Hour
}

// Read serves a record under valid leases.
//
// Example: rec, ok := f.Read(1, fleetconfig.ListKey("models"))
func (f *front) Read(partition int, key string) (message.Record, bool) {
	if f.w.now < f.blind {
		return message.Record{}, false
	}
	ver := message.Version{Term: 1, Seq: f.w.gen}
	if partition == 0 {
		return message.Record{Key: key, Version: ver, Value: fleetconfig.EncodeZones(map[string]bool{})}, true
	}
	if key == fleetconfig.ListKey(service) {
		var l fleetconfig.List
		for _, s := range f.w.servers {
			if s.up {
				l.Servers = append(l.Servers, fleetconfig.Server{ID: s.key, Addr: s.key, Zone: s.zone, Capacity: slots})
			}
		}
		return message.Record{Key: key, Version: ver, Value: pack(l)}, true
	}
	for _, s := range f.w.servers {
		if s.up && key == fleetconfig.ServerRecordKey(service, s.key) {
			return message.Record{Key: key, Version: ver, Value: pack(placement.ServerRecord{Addr: s.key, Zone: s.zone, Capacity: slots, Role: s.part, Status: placement.Up})}, true
		}
	}
	return message.Record{Key: key, Version: ver, Deleted: true}, true
}

func pack(x any) []byte {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err) // our own types always pack
	}
	return b
}

// beat tells the other daemons what is due, again and again.
func (f *front) beat() {
	members := make([]message.Member, 0, len(f.w.daemons))
	addrs := make([]string, 0, len(f.w.daemons))
	for _, o := range f.w.daemons {
		members, addrs = append(members, o.me), append(addrs, o.me.Addr)
	}
	f.lane.SetDaemons(f.w.now, f.me.Addr, addrs)
	for _, s := range f.w.servers {
		f.board.SetCacheSize(loadreport.ServerID(service, s.key), memory)
	}
	for _, m := range f.board.Tick(f.w.now, f.me, members) {
		for _, o := range f.w.daemons {
			if o.me.Ident == m.Message.To {
				f.w.after(hop, func() { o.board.Step(o.w.now, m.Message) })
			}
		}
	}
	f.w.after(20*time.Millisecond, f.beat)
}

// hints is a daemon's board as its lane sees it.
type hints struct{ f *front }

// AddLoad records work sent from here.
//
// Example: h.AddLoad("server-01", 900, 0)
func (h hints) AddLoad(server string, tokens, writing int) {
	h.f.board.AddLoad(loadreport.ServerID(service, server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := h.Load(now, "server-01")
func (h hints) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	u := h.f.board.Load(now, loadreport.ServerID(service, server))
	if u.Decoding > 0 {
		pause = time.Duration(u.InterTokenSum/u.Decoding) * time.Millisecond
	}
	return u.Tokens, u.Decoding, pause
}

// ObserveInterTokenLatency records the time between two events.
//
// Example: h.ObserveInterTokenLatency("server-01", 40*time.Millisecond)
func (h hints) ObserveInterTokenLatency(server string, d time.Duration) {
	h.f.board.ObserveInterTokenLatency(loadreport.ServerID(service, server), d)
}

// CallEnded records the end of a call.
//
// Example: h.CallEnded(now, "server-01", true)
func (h hints) CallEnded(now time.Duration, server string, answered bool) {
	h.f.board.CallEnded(now, loadreport.ServerID(service, server), answered)
}

// IsDown tells whether a server most likely answers nobody.
//
// Example: h.IsDown(now, "server-01")
func (h hints) IsDown(now time.Duration, server string) bool {
	return h.f.board.IsDown(now, loadreport.ServerID(service, server))
}

// RecordPrefix records that a server keeps a prompt.
//
// Example: h.RecordPrefix(prefix, "server-01", 900)
func (h hints) RecordPrefix(prefix uint64, server string, tokens int) {
	h.f.board.RecordPrefix(prefix, loadreport.ServerID(service, server), tokens)
}

// HasPrefix tells whether a server keeps a prompt's shared parts.
//
// Example: h.HasPrefix(prefix, "server-01")
func (h hints) HasPrefix(prefix uint64, server string) bool {
	return h.f.board.HasPrefix(prefix, loadreport.ServerID(service, server))
}

// try is one try of a client at one daemon.
type try struct {
	f     *front
	call  forward.Request
	over  bool
	began bool
	reads int                                        // tokens that servers read for it
	told  func(k forward.Action, back time.Duration) // its client, of its end
	first func()                                     // its client, of the first event
}

// start brings a try to its daemon.
func (t *try) start() { t.act(t.f.lane.Start(t.f.w.now, t.call)) }

// act carries a move out.
func (t *try) act(m forward.Decision) {
	w := t.f.w
	switch m.Action {
	case forward.Wait:
		w.after(min(m.Until-w.now, w.cfg.VolumeLease()/16), func() {
			if !t.over {
				t.act(t.f.lane.Continue(w.now, t.call.ID))
			}
		})
	case forward.Prefill:
		t.send(m, func(out forward.Outcome, h forward.Handle) {
			t.act(t.f.lane.PrefillDone(w.now, t.call.ID, out, h, "test"))
		})
	case forward.Decode:
		t.send(m, func(out forward.Outcome, _ forward.Handle) {
			t.act(t.f.lane.DecodeDone(w.now, t.call.ID, out, "test"))
		})
	default:
		t.over = true
		if m.Action != forward.Done {
			w.result.Wasted += t.reads
		}
		t.told(m.Action, m.RetryAfter)
	}
}

// send puts a call before a server, unless the last look stops it; done hears of
// its end once, at the latest when its time is up.
func (t *try) send(m forward.Decision, done func(forward.Outcome, forward.Handle)) {
	w := t.f.w
	if !t.f.lane.MaySend(w.now, t.call.ID, m) {
		done(forward.Blocked, forward.Handle{})
		return
	}
	ended := false
	s := w.serverOf(m.Server.Key)
	j := &job{try: t, move: m, due: m.Until}
	j.done = func(out forward.Outcome, h forward.Handle) {
		if !ended && !t.over {
			ended = true
			if out != forward.Lost && out != forward.NotSent {
				s.idle[t.f]++
			}
			done(out, h)
		}
	}
	w.after(s.connect(t.f), func() { s.take(j) })
	w.after(m.Until-w.now, func() {
		if !ended {
			j.cut = true
			j.done(forward.Lost, forward.Handle{})
		}
	})
}
