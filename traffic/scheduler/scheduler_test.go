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
	*Dispatcher
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
		Queue: slots.Config{MaxQueued: 8, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute}, RetryRatio: 0.2, RetryWindow: 16 * time.Second, MaxAttempts: 3, MaxWait: time.Second,
		FailureBackoff: time.Second, RejectionBackoff: time.Second, StallTimeout: 2 * time.Second, MaxPiecesAhead: 4, RetryAfter: time.Second, MaxPrefixes: 100,
	}
	w.Dispatcher = New(cfg, "m", 1, src, func() uint64 { return 1 })
	w.SetShare(w.now, placement.Share{Number: 1, Length: int64(time.Hour), Slots: map[string]int{prefill: 2, decode: 2}}, w.now)
	return w
}

func (w *world) take(id, once string) Out {
	return w.Start(w.now, Request{ID: id, Tenant: "t", Model: "m", QueueFraction: 1, Deadline: w.now + 10*time.Second, Tokens: 2, OnceKey: once, Parts: []serverpool.Part{{Text: "x"}}})
}

func one(t *testing.T, o Out, k Action) Decision {
	t.Helper()
	for _, a := range o.Decisions {
		if a.Action == k {
			return a
		}
	}
	t.Fatalf("no %s among %+v", k, o.Decisions)
	return Decision{}
}

// decoding brings a request to its call to the decode server.
func (w *world) decoding(t *testing.T, id, once string) Decision {
	o := w.take(id, once)
	if once != "" {
		o = w.ClaimDone(w.now, id, 200, nil)
	}
	a := one(t, o, Prefill)
	return one(t, w.PrefillDone(w.now, id, a.Attempt, serverpool.Handle{ID: "h", Request: id, Attempt: a.Attempt, PrefillServer: a.Addr, RecordVersion: a.PrefillCall.RecordVersion}, serverpool.OK, ""), Decode)
}

func piece(a Decision, n int) serverpool.Piece {
	return serverpool.Piece{Request: a.RequestID, RunID: a.DecodeCall.RunID, Number: n}
}

func TestAWholeTrip(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	for n := 0; n < 2; n++ {
		one(t, w.PieceReceived(w.now, "r", a.Attempt, piece(a, n)), SendPiece)
	}
	o := w.PieceReceived(w.now, "r", a.Attempt, serverpool.Piece{Request: "r", RunID: a.DecodeCall.RunID, End: true, Count: 2})
	one(t, o, SendPiece)
	if e := one(t, o, Respond).Answer; e.Result != "finish" || w.InFlight() != 0 || len(w.Report().InFlight) != 0 {
		t.Errorf("end %+v, %d open, held %v", e, w.InFlight(), w.Report().InFlight)
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
		if !w.MaySend(w.now, a) {
			t.Fatalf("%s: no ground to begin with", what)
		}
		change(w)
		if w.MaySend(w.now, a) {
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
		o := w.DecodeDone(w.now, "r", a.Attempt, out, "x")
		e := one(t, o, Respond).Answer
		settled := ""
		for _, x := range o.Decisions {
			if x.Action == SettleClaim {
				settled = x.ClaimState
			}
		}
		if e.Result != want || e.RetryAfter <= 0 || (want == "shed") != (settled == "shed") {
			t.Errorf("outcome %d: %+v, key settled %q", out, e, settled)
		}
	}
}

func TestStuckClientIsBrokenOff(t *testing.T) {
	w := fresh()
	a := w.decoding(t, "r", "")
	w.PieceReceived(w.now, "r", a.Attempt, piece(a, 0))
	w.PiecesTaken(w.now, "r", 1)
	w.PieceReceived(w.now, "r", a.Attempt, piece(a, 1))
	w.now += 1900 * time.Millisecond
	if o := w.Tick(w.now); len(o.Decisions) > 0 {
		t.Fatalf("broken off too early: %+v", o.Decisions)
	}
	w.now += 200 * time.Millisecond
	o := w.Tick(w.now)
	one(t, o, CancelCall)
	if e := one(t, o, Respond).Answer; e.Result != "break" || !e.ClientStalled || len(w.Report().InFlight) != 0 {
		t.Errorf("%+v, held %v", e, w.Report().InFlight)
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
			"claim":         w.ClaimDone(w.now, "r", 200, nil),
			"early handle":  w.PrefillDone(w.now, "r", a.Attempt-1, hd, serverpool.OK, ""),
			"late outcome":  w.DecodeDone(w.now, "r", a.Attempt-1, serverpool.Lost, ""),
			"next outcome":  w.DecodeDone(w.now, "r", a.Attempt+1, serverpool.Refused, ""),
			"unknown piece": w.PieceReceived(w.now, "x", a.Attempt, piece(a, 0)),
			"other call":    w.PieceReceived(w.now, "r", a.Attempt-1, piece(a, 0)),
			"unknown gone":  w.ClientGone(w.now, "x"),
		} {
			if len(o.Decisions) > 0 {
				t.Errorf("%s, %s: %+v", when, what, o.Decisions)
			}
		}
		w.PiecesTaken(w.now, "x", 3)
	}
	stray("calling")
	w.PieceReceived(w.now, "r", a.Attempt, piece(a, 0))
	stray("streaming")
	one(t, w.DecodeDone(w.now, "r", a.Attempt, serverpool.Lost, "cut"), Respond)
	stray("over")
	// A piece with one field changed ends the stream instead of going out.
	for what, mutate := range map[string]func(*serverpool.Piece){
		"request": func(p *serverpool.Piece) { p.Request = "s" },
		"run":     func(p *serverpool.Piece) { p.RunID += "x" },
		"skipped": func(p *serverpool.Piece) { p.Number++ },
		"again":   func(p *serverpool.Piece) { p.Number-- },
		"error":   func(p *serverpool.Piece) { p.Error = "x" },
		"early":   func(p *serverpool.Piece) { p.End, p.Count = true, 2 },
	} {
		w := fresh()
		a := w.decoding(t, "r", "")
		w.PieceReceived(w.now, "r", a.Attempt, piece(a, 0))
		p := piece(a, 1)
		mutate(&p)
		o := w.PieceReceived(w.now, "r", a.Attempt, p)
		one(t, o, CancelCall)
		if e := one(t, o, Respond).Answer; e.Result != "break" {
			t.Errorf("%s: %+v", what, e)
		}
	}
	// A handle with one field changed is a failed hand-over.
	for what, mutate := range map[string]func(*serverpool.Handle){
		"request": func(h *serverpool.Handle) { h.Request = "s" },
		"attempt": func(h *serverpool.Handle) { h.Attempt++ },
		"reader":  func(h *serverpool.Handle) { h.PrefillServer = decode },
		"record":  func(h *serverpool.Handle) { h.RecordVersion = "9.9" },
		"empty":   func(h *serverpool.Handle) { h.ID = "" },
	} {
		w := fresh()
		a := one(t, w.take("r", ""), Prefill)
		h := serverpool.Handle{ID: "h", Request: "r", Attempt: a.Attempt, PrefillServer: a.Addr, RecordVersion: a.PrefillCall.RecordVersion}
		mutate(&h)
		for _, x := range w.PrefillDone(w.now, "r", a.Attempt, h, serverpool.OK, "").Decisions {
			if x.Action == Decode {
				t.Errorf("%s: a decode server was called with it", what)
			}
		}
	}
}
