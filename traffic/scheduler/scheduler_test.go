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

// harness is a dispatcher over records and a clock that a test may change.
type harness struct {
	*Dispatcher
	records map[string]message.Record
	now     time.Duration
}

// put stores a record.
func (h *harness) put(key string, seq uint64, v any) {
	h.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: seq}, Value: leadercall.Pack(v)}
}

func newHarness() *harness {
	h := &harness{records: map[string]message.Record{}, now: time.Minute}
	put := func(key string, v any) { h.put(key, 1, v) }
	put(fleetconfig.PlanKey, fleetconfig.Plan{
		Version: 1, Services: []fleetconfig.Service{{Name: "m"}},
		Tenants: []fleetconfig.Tenant{{Name: "t", TimeoutMillis: 10000, QueueFraction: 1}},
	})
	put(fleetconfig.ZoneKey, []string{})
	put(fleetconfig.ListKey("m"), fleetconfig.List{Servers: []fleetconfig.Server{
		{Addr: prefill, Zone: "a", Capacity: 2}, {Addr: decode, Zone: "a", Capacity: 2},
	}})
	put(fleetconfig.ServerRecordKey("m", prefill), placement.ServerRecord{
		Addr: prefill, Zone: "a", Role: placement.Prefill, Status: placement.Up, Pairs: []string{decode},
	})
	put(fleetconfig.ServerRecordKey("m", decode), placement.ServerRecord{
		Addr: decode, Zone: "a", Role: placement.Decode, Status: placement.Up,
	})
	src := func(_ int, key string) (message.Record, bool) { r, ok := h.records[key]; return r, ok }
	cfg := Config{
		Queue:      slots.Config{MaxQueued: 8, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute},
		RetryRatio: 0.2, RetryWindow: 16 * time.Second, MaxAttempts: 3, MaxWait: time.Second,
		FailureBackoff: time.Second, RejectionBackoff: time.Second, StallTimeout: 2 * time.Second,
		MaxPiecesAhead: 4, RetryAfter: time.Second, MaxPrefixes: 100,
	}
	h.Dispatcher = New(cfg, "m", 1, src, func() uint64 { return 1 })
	slotsOf := map[string]int{prefill: 2, decode: 2}
	h.SetShare(h.now, placement.Share{Number: 1, Length: int64(time.Hour), Slots: slotsOf}, h.now)
	return h
}

func (h *harness) start(id, once string) Out {
	return h.Start(h.now, Request{
		ID: id, Tenant: "t", Model: "m", QueueFraction: 1, Deadline: h.now + 10*time.Second, Tokens: 2,
		OnceKey: once, Parts: []serverpool.Part{{Text: "x"}},
	})
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
func (h *harness) decoding(t *testing.T, id, once string) Decision {
	o := h.start(id, once)
	if once != "" {
		o = h.ClaimDone(h.now, id, 200, nil)
	}
	a := one(t, o, Prefill)
	return one(t, h.PrefillDone(h.now, id, a.Attempt, handleOf(a), serverpool.OK, ""), Decode)
}

// handleOf is the handle that a prefill is to leave.
func handleOf(a Decision) serverpool.Handle {
	return serverpool.Handle{
		ID: "h", Request: a.RequestID, Attempt: a.Attempt, PrefillServer: a.Addr,
		RecordVersion: a.PrefillCall.RecordVersion,
	}
}

func piece(a Decision, n int) serverpool.Piece {
	return serverpool.Piece{Request: a.RequestID, RunID: a.DecodeCall.RunID, Number: n}
}

func TestRequestGoesFromPrefillToFinish(t *testing.T) {
	h := newHarness()
	a := h.decoding(t, "r", "")
	for n := 0; n < 2; n++ {
		one(t, h.PieceReceived(h.now, "r", a.Attempt, piece(a, n)), SendPiece)
	}
	end := serverpool.Piece{Request: "r", RunID: a.DecodeCall.RunID, End: true, Count: 2}
	o := h.PieceReceived(h.now, "r", a.Attempt, end)
	one(t, o, SendPiece)
	if e := one(t, o, Respond).Answer; e.Result != "finish" || h.InFlight() != 0 || len(h.Report().InFlight) != 0 {
		t.Errorf("end %+v, %d open, held %v", e, h.InFlight(), h.Report().InFlight)
	}
}

// Whatever withdraws a server's record or the leases after it was picked, the
// last look before the first byte sees it.
func TestMaySendSeesEveryWithdrawal(t *testing.T) {
	for what, change := range map[string]func(*harness){
		"server record invalidated": func(h *harness) { delete(h.records, fleetconfig.ServerRecordKey("m", decode)) },
		"list invalidated":          func(h *harness) { delete(h.records, fleetconfig.ListKey("m")) },
		"plan invalidated":          func(h *harness) { delete(h.records, fleetconfig.PlanKey) },
		"zones invalidated":         func(h *harness) { delete(h.records, fleetconfig.ZoneKey) },
		"evacuated": func(h *harness) {
			h.records[fleetconfig.ZoneKey] = message.Record{Version: message.Version{Term: 1, Seq: 2}, Value: []byte(`["a"]`)}
		},
		"share lapsed":  func(h *harness) { h.now += time.Hour },
		"deadline over": func(h *harness) { h.now += 10 * time.Second },
		"excluded":      func(h *harness) { h.plan(fleetconfig.Service{Name: "m", Exclude: []string{decode}}) },
		"leaving listed": func(h *harness) {
			h.list(fleetconfig.Server{Addr: decode, Zone: "a", Capacity: 2, Leaving: true})
		},
	} {
		h := newHarness()
		a := h.decoding(t, "r", "")
		if !h.MaySend(h.now, a) {
			t.Fatalf("%s: no ground to begin with", what)
		}
		change(h)
		if h.MaySend(h.now, a) {
			t.Errorf("%s: not seen", what)
		}
	}
}

func (h *harness) plan(s fleetconfig.Service) {
	h.put(fleetconfig.PlanKey, 9, fleetconfig.Plan{Version: 2, Services: []fleetconfig.Service{s}})
}

func (h *harness) list(s fleetconfig.Server) {
	h.put(fleetconfig.ListKey("m"), 9, fleetconfig.List{Servers: []fleetconfig.Server{s}})
}

// A once request whose decode was sent and lost is told "uncertain", its key
// stays claimed; one that was turned away for certain is told "refused" and gives
// its key back.
func TestLostDecodeIsUncertainNeverRefused(t *testing.T) {
	for out, want := range map[serverpool.Outcome]string{
		serverpool.Lost: "uncertain", serverpool.Refused: "shed", serverpool.NotSent: "shed",
	} {
		h := newHarness()
		a := h.decoding(t, "r", "k")
		o := h.DecodeDone(h.now, "r", a.Attempt, out, "x")
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
	h := newHarness()
	a := h.decoding(t, "r", "")
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
	h.PiecesTaken(h.now, "r", 1)
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 1))
	h.now += 1900 * time.Millisecond
	if o := h.Tick(h.now); len(o.Decisions) > 0 {
		t.Fatalf("broken off too early: %+v", o.Decisions)
	}
	h.now += 200 * time.Millisecond
	o := h.Tick(h.now)
	one(t, o, CancelCall)
	if e := one(t, o, Respond).Answer; e.Result != "break" || !e.ClientStalled || len(h.Report().InFlight) != 0 {
		t.Errorf("%+v, held %v", e, h.Report().InFlight)
	}
}

// One input at a time is mutated: late, twice, of another call, of a request
// that is over or was never here. None does anything.
func TestStrayInputsDoNothing(t *testing.T) {
	h := newHarness()
	a := h.decoding(t, "r", "")
	handle := serverpool.Handle{ID: "h", Request: "r", Attempt: 1, PrefillServer: prefill}
	stray := func(when string) {
		for what, o := range map[string]Out{
			"claim":         h.ClaimDone(h.now, "r", 200, nil),
			"early handle":  h.PrefillDone(h.now, "r", a.Attempt-1, handle, serverpool.OK, ""),
			"late outcome":  h.DecodeDone(h.now, "r", a.Attempt-1, serverpool.Lost, ""),
			"next outcome":  h.DecodeDone(h.now, "r", a.Attempt+1, serverpool.Refused, ""),
			"unknown piece": h.PieceReceived(h.now, "x", a.Attempt, piece(a, 0)),
			"other call":    h.PieceReceived(h.now, "r", a.Attempt-1, piece(a, 0)),
			"unknown gone":  h.ClientGone(h.now, "x"),
		} {
			if len(o.Decisions) > 0 {
				t.Errorf("%s, %s: %+v", when, what, o.Decisions)
			}
		}
		h.PiecesTaken(h.now, "x", 3)
	}
	stray("calling")
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
	stray("streaming")
	one(t, h.DecodeDone(h.now, "r", a.Attempt, serverpool.Lost, "cut"), Respond)
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
		h := newHarness()
		a := h.decoding(t, "r", "")
		h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
		p := piece(a, 1)
		mutate(&p)
		o := h.PieceReceived(h.now, "r", a.Attempt, p)
		one(t, o, CancelCall)
		if e := one(t, o, Respond).Answer; e.Result != "break" {
			t.Errorf("%s: %+v", what, e)
		}
	}
	// A handle with one field changed is a failed hand-over.
	for what, mutate := range map[string]func(*serverpool.Handle){
		"request": func(handle *serverpool.Handle) { handle.Request = "s" },
		"attempt": func(handle *serverpool.Handle) { handle.Attempt++ },
		"reader":  func(handle *serverpool.Handle) { handle.PrefillServer = decode },
		"record":  func(handle *serverpool.Handle) { handle.RecordVersion = "9.9" },
		"empty":   func(handle *serverpool.Handle) { handle.ID = "" },
	} {
		h := newHarness()
		a := one(t, h.start("r", ""), Prefill)
		handle := handleOf(a)
		mutate(&handle)
		for _, x := range h.PrefillDone(h.now, "r", a.Attempt, handle, serverpool.OK, "").Decisions {
			if x.Action == Decode {
				t.Errorf("%s: a decode server was called with it", what)
			}
		}
	}
}
