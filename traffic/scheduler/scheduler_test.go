package scheduler

import (
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
	"mulleinmast/wire/message"
)

const (
	prefill = "10.0.0.1:1"
	decode  = "10.0.0.2:1"
)

// world is a lane over records that a test may change.
type world struct {
	*Lane
	recs map[string]message.Record
	now  time.Duration
}

func fresh() *world {
	w := &world{recs: map[string]message.Record{}, now: time.Minute}
	put := func(key string, v any) {
		w.recs[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.Pack(v)}
	}
	put(fleetconfig.PlanKey, fleetconfig.Plan{Version: 1, Services: []fleetconfig.Service{{Name: "m"}}, Tenants: []fleetconfig.Tenant{{Name: "t", TimeoutMillis: 10000, QueueFraction: 1}}})
	put(fleetconfig.ZoneKey, []string{})
	put(fleetconfig.ListKey("m"), fleetconfig.List{Servers: []fleetconfig.Server{{Addr: prefill, Zone: "a", Capacity: 2}, {Addr: decode, Zone: "a", Capacity: 2}}})
	put(fleetconfig.ServerRecordKey("m", prefill), placement.ServerRecord{Addr: prefill, Zone: "a", Role: placement.Prefill, Status: placement.Up, Pairs: []string{decode}})
	put(fleetconfig.ServerRecordKey("m", decode), placement.ServerRecord{Addr: decode, Zone: "a", Role: placement.Decode, Status: placement.Up})
	src := func(_ int, key string) (message.Record, bool) { r, ok := w.recs[key]; return r, ok }
	cfg := Config{
		Queue: slots.Config{Most: 8, Floor: time.Second, Ceil: time.Minute}, Retry: 0.2, Window: 16 * time.Second, Most: 3, Patience: time.Second,
		Shy: time.Second, Turned: time.Second, Stall: 2 * time.Second, Ahead: 4, Back: time.Second, Prefixes: 100,
	}
	w.Lane = New(cfg, "m", 1, src, func() uint64 { return 1 })
	w.Shared(w.now, placement.Share{Number: 1, Length: int64(time.Hour), Slots: map[string]int{prefill: 2, decode: 2}}, w.now)
	return w
}

func (w *world) take(id, once string) Out {
	return w.Take(w.now, Request{ID: id, Tenant: "t", Model: "m", Part: 1, Due: w.now + 10*time.Second, Tokens: 2, Once: once, Parts: []serverpool.Part{{Text: "x"}}})
}

func one(t *testing.T, o Out, k Kind) Act {
	t.Helper()
	for _, a := range o.Acts {
		if a.Kind == k {
			return a
		}
	}
	t.Fatalf("no %s among %+v", k, o.Acts)
	return Act{}
}

// decoding brings a request to its call to the decode server.
func (w *world) decoding(t *testing.T, id, once string) Act {
	o := w.take(id, once)
	if once != "" {
		o = w.Claimed(w.now, id, 200, nil)
	}
	a := one(t, o, Prefill)
	return one(t, w.Handed(w.now, id, a.No, serverpool.Handle{ID: "h", Request: id, Attempt: a.No, PrefillServer: a.Addr, Ver: a.Read.Ver}, serverpool.OK, ""), Decode)
}

func piece(a Act, n int) serverpool.Piece {
	return serverpool.Piece{Request: a.Trip, Run: a.Make.Run, N: n}
}

func TestAWholeTrip(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	for n := 0; n < 2; n++ {
		one(t, w.Piece(w.now, "r", a.No, piece(a, n)), Pass)
	}
	o := w.Piece(w.now, "r", a.No, serverpool.Piece{Request: "r", Run: a.Make.Run, End: true, Count: 2})
	one(t, o, Pass)
	if e := one(t, o, Response).End; e.Result != "finish" || w.Open() != 0 || len(w.Report().Held) != 0 {
		t.Errorf("end %+v, %d open, held %v", e, w.Open(), w.Report().Held)
	}
}

// Whatever withdraws a server's record or the leases after it was picked, the
// last look before the first byte sees it.
func TestTheLastLookSeesEveryWithdrawal(t *testing.T) {
	for what, change := range map[string]func(*world){
		"server record invalidated": func(w *world) { delete(w.recs, fleetconfig.ServerRecordKey("m", decode)) },
		"list invalidated":          func(w *world) { delete(w.recs, fleetconfig.ListKey("m")) },
		"plan invalidated":          func(w *world) { delete(w.recs, fleetconfig.PlanKey) },
		"zones invalidated":         func(w *world) { delete(w.recs, fleetconfig.ZoneKey) },
		"evacuated": func(w *world) {
			w.recs[fleetconfig.ZoneKey] = message.Record{Version: message.Version{Term: 1, Seq: 2}, Value: []byte(`["a"]`)}
		},
		"share lapsed":   func(w *world) { w.now += time.Hour },
		"deadline over":  func(w *world) { w.now += 10 * time.Second },
		"excluded":       func(w *world) { w.plan(fleetconfig.Service{Name: "m", Exclude: []string{decode}}) },
		"leaving listed": func(w *world) { w.list(fleetconfig.Server{Addr: decode, Zone: "a", Capacity: 2, Leaving: true}) },
	} {
		w := fresh()
		a := w.decoding(t, "r", "")
		if !w.Standing(w.now, a) {
			t.Fatalf("%s: no ground to begin with", what)
		}
		change(w)
		if w.Standing(w.now, a) {
			t.Errorf("%s: not seen", what)
		}
	}
}

func (w *world) plan(s fleetconfig.Service) {
	w.recs[fleetconfig.PlanKey] = message.Record{Version: message.Version{Term: 1, Seq: 9}, Value: leadercall.Pack(fleetconfig.Plan{Version: 2, Services: []fleetconfig.Service{s}})}
}

func (w *world) list(s fleetconfig.Server) {
	w.recs[fleetconfig.ListKey("m")] = message.Record{Version: message.Version{Term: 1, Seq: 9}, Value: leadercall.Pack(fleetconfig.List{Servers: []fleetconfig.Server{s}})}
}

// A once request whose decode was sent and lost is told "uncertain", its key
// stays claimed; one that was turned away for certain is told "refused" and gives
// its key back.
func TestUncertainIsNeverRefused(t *testing.T) {
	for out, want := range map[serverpool.Outcome]string{serverpool.Lost: "uncertain", serverpool.Refused: "shed", serverpool.NotSent: "shed"} {
		w := fresh()
		a := w.decoding(t, "r", "k")
		o := w.Made(w.now, "r", a.No, out, "x")
		e := one(t, o, Response).End
		settled := ""
		for _, x := range o.Acts {
			if x.Kind == Settle {
				settled = x.State
			}
		}
		if e.Result != want || e.After <= 0 || (want == "shed") != (settled == "shed") {
			t.Errorf("outcome %d: %+v, key settled %q", out, e, settled)
		}
	}
}

func TestStuckClientIsBrokenOff(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	w.Piece(w.now, "r", a.No, piece(a, 0))
	w.Taken(w.now, "r", 1)
	w.Piece(w.now, "r", a.No, piece(a, 1))
	w.now += 1900 * time.Millisecond
	if o := w.Tick(w.now); len(o.Acts) > 0 {
		t.Fatalf("broken off too early: %+v", o.Acts)
	}
	w.now += 200 * time.Millisecond
	o := w.Tick(w.now)
	one(t, o, Cut)
	if e := one(t, o, Response).End; e.Result != "break" || !e.Stuck || len(w.Report().Held) != 0 {
		t.Errorf("%+v, held %v", e, w.Report().Held)
	}
}

// One input at a time is mutated: late, twice, of another call, of a request
// that is over or was never here. None does anything.
func TestStrayInputsDoNothing(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	hd := serverpool.Handle{ID: "h", Request: "r", Attempt: 1, PrefillServer: prefill}
	stray := func(when string) {
		for what, o := range map[string]Out{
			"claim":         w.Claimed(w.now, "r", 200, nil),
			"early handle":  w.Handed(w.now, "r", a.No-1, hd, serverpool.OK, ""),
			"late outcome":  w.Made(w.now, "r", a.No-1, serverpool.Lost, ""),
			"next outcome":  w.Made(w.now, "r", a.No+1, serverpool.Refused, ""),
			"unknown piece": w.Piece(w.now, "x", a.No, piece(a, 0)),
			"other call":    w.Piece(w.now, "r", a.No-1, piece(a, 0)),
			"unknown gone":  w.Gone(w.now, "x"),
		} {
			if len(o.Acts) > 0 {
				t.Errorf("%s, %s: %+v", when, what, o.Acts)
			}
		}
		w.Taken(w.now, "x", 3)
	}
	stray("calling")
	w.Piece(w.now, "r", a.No, piece(a, 0))
	stray("streaming")
	one(t, w.Made(w.now, "r", a.No, serverpool.Lost, "cut"), Response)
	stray("over")
	// A piece with one field changed ends the stream instead of going out.
	for what, mutate := range map[string]func(*serverpool.Piece){
		"request": func(p *serverpool.Piece) { p.Request = "s" },
		"run":     func(p *serverpool.Piece) { p.Run += "x" },
		"skipped": func(p *serverpool.Piece) { p.N++ },
		"again":   func(p *serverpool.Piece) { p.N-- },
		"error":   func(p *serverpool.Piece) { p.Error = "x" },
		"early":   func(p *serverpool.Piece) { p.End, p.Count = true, 2 },
	} {
		w := fresh()
		a := w.decoding(t, "r", "")
		w.Piece(w.now, "r", a.No, piece(a, 0))
		p := piece(a, 1)
		mutate(&p)
		o := w.Piece(w.now, "r", a.No, p)
		one(t, o, Cut)
		if e := one(t, o, Response).End; e.Result != "break" {
			t.Errorf("%s: %+v", what, e)
		}
	}
	// A handle with one field changed is a failed hand-over.
	for what, mutate := range map[string]func(*serverpool.Handle){
		"request": func(h *serverpool.Handle) { h.Request = "s" },
		"attempt": func(h *serverpool.Handle) { h.Attempt++ },
		"reader":  func(h *serverpool.Handle) { h.PrefillServer = decode },
		"record":  func(h *serverpool.Handle) { h.Ver = "9.9" },
		"empty":   func(h *serverpool.Handle) { h.ID = "" },
	} {
		w := fresh()
		a := one(t, w.take("r", ""), Prefill)
		h := serverpool.Handle{ID: "h", Request: "r", Attempt: a.No, PrefillServer: a.Addr, Ver: a.Read.Ver}
		mutate(&h)
		for _, x := range w.Handed(w.now, "r", a.No, h, serverpool.OK, "").Acts {
			if x.Kind == Decode {
				t.Errorf("%s: a decode server was called with it", what)
			}
		}
	}
}
