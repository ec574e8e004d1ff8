package dispatch

import (
	"testing"
	"time"

	"mulleinmast/control/errand"
	"mulleinmast/control/interlock"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/yard"
	"mulleinmast/wire/form"
)

const (
	reader = "10.0.0.1:1"
	maker  = "10.0.0.2:1"
)

// stage is a lane over records that a test may change.
type world struct {
	*Lane
	recs map[string]form.Rec
	now  time.Duration
}

func fresh() *world {
	w := &world{recs: map[string]form.Rec{}, now: time.Minute}
	put := func(key string, v any) {
		w.recs[key] = form.Rec{Key: key, Ver: form.Ver{Term: 1, Seq: 1}, Val: errand.Pack(v)}
	}
	put(tariff.PlanKey, tariff.Plan{Version: 1, Services: []tariff.Service{{Name: "m"}}, Tenants: []tariff.Tenant{{Name: "t", Budget: 10000, Queue: 1}}})
	put(tariff.CellKey, []string{})
	put(tariff.ListKey("m"), tariff.List{Servers: []tariff.Server{{Addr: reader, Cell: "a", Capacity: 2}, {Addr: maker, Cell: "a", Capacity: 2}}})
	put(tariff.BerthKey("m", reader), interlock.Berth{Addr: reader, Cell: "a", Part: interlock.Reader, Status: interlock.Up, Pairs: []string{maker}})
	put(tariff.BerthKey("m", maker), interlock.Berth{Addr: maker, Cell: "a", Part: interlock.Maker, Status: interlock.Up})
	src := func(_ int, key string) (form.Rec, bool) { r, ok := w.recs[key]; return r, ok }
	cfg := Config{Queue: slots.Config{Most: 8, Floor: time.Second, Ceil: time.Minute}, Retry: 0.2, Window: 16 * time.Second, Most: 3, Patience: time.Second,
		Shy: time.Second, Turned: time.Second, Stall: 2 * time.Second, Ahead: 4, Back: time.Second, Prefixes: 100}
	w.Lane = New(cfg, "m", 1, src, func() uint64 { return 1 })
	w.Shared(w.now, interlock.Share{No: 1, Len: int64(time.Hour), Slots: map[string]int{reader: 2, maker: 2}}, w.now)
	return w
}

func (w *world) take(id, once string) Out {
	return w.Take(w.now, Request{ID: id, Tenant: "t", Model: "m", Part: 1, Due: w.now + 10*time.Second, Tokens: 2, Once: once, Parts: []yard.Part{{Text: "x"}}})
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

// decoding brings a request to its call to the maker.
func (w *world) decoding(t *testing.T, id, once string) Act {
	o := w.take(id, once)
	if once != "" {
		o = w.Claimed(w.now, id, 200, nil)
	}
	a := one(t, o, Prefill)
	return one(t, w.Handed(w.now, id, a.No, yard.Handle{ID: "h", Request: id, Attempt: a.No, Reader: a.Addr, Ver: a.Read.Ver}, yard.OK, ""), Decode)
}

func piece(a Act, n int) yard.Piece { return yard.Piece{Request: a.Trip, Run: a.Make.Run, N: n} }

func TestAWholeTrip(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	for n := 0; n < 2; n++ {
		one(t, w.Piece(w.now, "r", a.No, piece(a, n)), Pass)
	}
	o := w.Piece(w.now, "r", a.No, yard.Piece{Request: "r", Run: a.Make.Run, End: true, Count: 2})
	one(t, o, Pass)
	if e := one(t, o, Reply).End; e.Result != "finish" || w.Open() != 0 || len(w.Report().Held) != 0 {
		t.Errorf("end %+v, %d open, held %v", e, w.Open(), w.Report().Held)
	}
}

// Whatever withdraws a server's record or the leases after it was picked, the
// last look before the first byte sees it.
func TestTheLastLookSeesEveryWithdrawal(t *testing.T) {
	for what, change := range map[string]func(*world){
		"berth purged": func(w *world) { delete(w.recs, tariff.BerthKey("m", maker)) },
		"list purged":  func(w *world) { delete(w.recs, tariff.ListKey("m")) },
		"plan purged":  func(w *world) { delete(w.recs, tariff.PlanKey) },
		"cells purged": func(w *world) { delete(w.recs, tariff.CellKey) },
		"evacuated": func(w *world) {
			w.recs[tariff.CellKey] = form.Rec{Ver: form.Ver{Term: 1, Seq: 2}, Val: []byte(`["a"]`)}
		},
		"share lapsed":   func(w *world) { w.now += time.Hour },
		"budget over":    func(w *world) { w.now += 10 * time.Second },
		"excluded":       func(w *world) { w.plan(tariff.Service{Name: "m", Exclude: []string{maker}}) },
		"leaving listed": func(w *world) { w.list(tariff.Server{Addr: maker, Cell: "a", Capacity: 2, Leaving: true}) },
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

func (w *world) plan(s tariff.Service) {
	w.recs[tariff.PlanKey] = form.Rec{Ver: form.Ver{Term: 1, Seq: 9}, Val: errand.Pack(tariff.Plan{Version: 2, Services: []tariff.Service{s}})}
}

func (w *world) list(s tariff.Server) {
	w.recs[tariff.ListKey("m")] = form.Rec{Ver: form.Ver{Term: 1, Seq: 9}, Val: errand.Pack(tariff.List{Servers: []tariff.Server{s}})}
}

// A once request whose decode was sent and lost is told "uncertain", its key
// stays claimed; one that was turned away for certain is told "shed" and gives
// its key back.
func TestUncertainIsNeverShed(t *testing.T) {
	for out, want := range map[yard.Outcome]string{yard.Lost: "uncertain", yard.Shed: "shed", yard.NotSent: "shed"} {
		w := fresh()
		a := w.decoding(t, "r", "k")
		o := w.Made(w.now, "r", a.No, out, "x")
		e := one(t, o, Reply).End
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

func TestStuckRequesterIsBrokenOff(t *testing.T) {
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
	if e := one(t, o, Reply).End; e.Result != "break" || !e.Stuck || len(w.Report().Held) != 0 {
		t.Errorf("%+v, held %v", e, w.Report().Held)
	}
}

// One input at a time is mutated: late, twice, of another call, of a request
// that is over or was never here. None does anything.
func TestStrayInputsDoNothing(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	hd := yard.Handle{ID: "h", Request: "r", Attempt: 1, Reader: reader}
	stray := func(when string) {
		for what, o := range map[string]Out{
			"claim":         w.Claimed(w.now, "r", 200, nil),
			"early handle":  w.Handed(w.now, "r", a.No-1, hd, yard.OK, ""),
			"late outcome":  w.Made(w.now, "r", a.No-1, yard.Lost, ""),
			"next outcome":  w.Made(w.now, "r", a.No+1, yard.Shed, ""),
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
	one(t, w.Made(w.now, "r", a.No, yard.Lost, "cut"), Reply)
	stray("over")
	// A piece with one field changed ends the stream instead of going out.
	for what, mutate := range map[string]func(*yard.Piece){
		"request": func(p *yard.Piece) { p.Request = "s" },
		"run":     func(p *yard.Piece) { p.Run += "x" },
		"skipped": func(p *yard.Piece) { p.N++ },
		"again":   func(p *yard.Piece) { p.N-- },
		"error":   func(p *yard.Piece) { p.Error = "x" },
		"early":   func(p *yard.Piece) { p.End, p.Count = true, 2 },
	} {
		w := fresh()
		a := w.decoding(t, "r", "")
		w.Piece(w.now, "r", a.No, piece(a, 0))
		p := piece(a, 1)
		mutate(&p)
		o := w.Piece(w.now, "r", a.No, p)
		one(t, o, Cut)
		if e := one(t, o, Reply).End; e.Result != "break" {
			t.Errorf("%s: %+v", what, e)
		}
	}
	// A handle with one field changed is a failed hand-over.
	for what, mutate := range map[string]func(*yard.Handle){
		"request": func(h *yard.Handle) { h.Request = "s" },
		"attempt": func(h *yard.Handle) { h.Attempt++ },
		"reader":  func(h *yard.Handle) { h.Reader = maker },
		"record":  func(h *yard.Handle) { h.Ver = "9.9" },
		"empty":   func(h *yard.Handle) { h.ID = "" },
	} {
		w := fresh()
		a := one(t, w.take("r", ""), Prefill)
		h := yard.Handle{ID: "h", Request: "r", Attempt: a.No, Reader: a.Addr, Ver: a.Read.Ver}
		mutate(&h)
		for _, x := range w.Handed(w.now, "r", a.No, h, yard.OK, "").Acts {
			if x.Kind == Decode {
				t.Errorf("%s: a maker was called with it", what)
			}
		}
	}
}
