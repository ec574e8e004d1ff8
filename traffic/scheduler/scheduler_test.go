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

// harness is a dispatcher with records and a clock that tests may change.
type harness struct {
	*Dispatcher
	records map[string]message.Record
	now     time.Duration
}

func (h *harness) put(key string, seq uint64, v any) {
	h.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: seq}, Value: leadercall.MustMarshal(v)}
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
	source := func(_ int, key string) (message.Record, bool) { r, ok := h.records[key]; return r, ok }
	cfg := Config{
		Queue:      slots.Config{MaxQueued: 8, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute},
		RetryRatio: 0.2, RetryWindow: 16 * time.Second, MaxAttempts: 3, MaxWait: time.Second,
		FailureBackoff: time.Second, RejectionBackoff: time.Second, StallTimeout: 2 * time.Second,
		MaxPiecesAhead: 4, RetryAfter: time.Second, MaxPrefixes: 100,
	}
	h.Dispatcher = New(cfg, "m", 1, source, func() uint64 { return 1 })
	shareSlots := map[string]int{prefill: 2, decode: 2}
	h.SetShare(h.now, placement.Share{Number: 1, Length: int64(time.Hour), Slots: shareSlots}, h.now)
	return h
}

func (h *harness) start(id, onceKey string) Out {
	return h.Start(h.now, Request{
		ID: id, Tenant: "t", Model: "m", QueueFraction: 1, Deadline: h.now + 10*time.Second, Tokens: 2,
		OnceKey: onceKey, Parts: []serverpool.Part{{Text: "x"}},
	})
}

func mustFind(t *testing.T, o Out, action Action) Decision {
	t.Helper()
	for _, decision := range o.Decisions {
		if decision.Action == action {
			return decision
		}
	}
	t.Fatalf("no decision %s in %+v", action, o.Decisions)
	return Decision{}
}

// startDecode starts a request, completes its prefill, and returns the decision to call the decode server.
func (h *harness) startDecode(t *testing.T, id, onceKey string) Decision {
	o := h.start(id, onceKey)
	if onceKey != "" {
		o = h.ClaimDone(h.now, id, 200, nil)
	}
	a := mustFind(t, o, Prefill)
	return mustFind(t, h.PrefillDone(h.now, id, a.Attempt, validHandle(a), serverpool.OK, ""), Decode)
}

// validHandle returns the valid handle for a prefill call.
func validHandle(a Decision) serverpool.Handle {
	return serverpool.Handle{
		ID: "h", Request: a.RequestID, Attempt: a.Attempt, PrefillServer: a.Addr,
		RecordVersion: a.PrefillCall.RecordVersion,
	}
}

func piece(a Decision, n int) serverpool.Piece {
	return serverpool.Piece{Request: a.RequestID, RunID: a.DecodeCall.RunID, Number: n}
}

func TestRequestFinishesAfterPrefillAndDecode(t *testing.T) {
	h := newHarness()
	a := h.startDecode(t, "r", "")
	for n := 0; n < 2; n++ {
		mustFind(t, h.PieceReceived(h.now, "r", a.Attempt, piece(a, n)), SendPiece)
	}
	end := serverpool.Piece{Request: "r", RunID: a.DecodeCall.RunID, End: true, Count: 2}
	o := h.PieceReceived(h.now, "r", a.Attempt, end)
	mustFind(t, o, SendPiece)
	if e := mustFind(t, o, Respond).Answer; e.Result != "finish" || h.InFlight() != 0 || len(h.Report().InFlight) != 0 {
		t.Errorf("answer %+v, %d requests in flight, slots in use %v", e, h.InFlight(), h.Report().InFlight)
	}
}

// Guards against sending a call to a server whose record, plan, zone, lease or share became invalid
// after the server was picked.
func TestMaySendDetectsEveryInvalidation(t *testing.T) {
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
		"excluded":      func(h *harness) { h.setPlan(fleetconfig.Service{Name: "m", Exclude: []string{decode}}) },
		"leaving listed": func(h *harness) {
			h.setServers(fleetconfig.Server{Addr: decode, Zone: "a", Capacity: 2, Leaving: true})
		},
	} {
		h := newHarness()
		a := h.startDecode(t, "r", "")
		if !h.MaySend(h.now, a) {
			t.Fatalf("%s: MaySend is false before the change", what)
		}
		change(h)
		if h.MaySend(h.now, a) {
			t.Errorf("%s: MaySend is still true after the change", what)
		}
	}
}

func (h *harness) setPlan(s fleetconfig.Service) {
	h.put(fleetconfig.PlanKey, 9, fleetconfig.Plan{Version: 2, Services: []fleetconfig.Service{s}})
}

func (h *harness) setServers(s fleetconfig.Server) {
	h.put(fleetconfig.ListKey("m"), 9, fleetconfig.List{Servers: []fleetconfig.Server{s}})
}

// A request with a once key whose decode was sent and lost must end as uncertain and keep its claim, since it
// may have run. One whose decode was rejected or never sent must end as refused and release its claim.
func TestLostDecodeIsUncertainNeverRefused(t *testing.T) {
	for out, want := range map[serverpool.Outcome]string{
		serverpool.Lost: "uncertain", serverpool.Refused: "shed", serverpool.NotSent: "shed",
	} {
		h := newHarness()
		a := h.startDecode(t, "r", "k")
		o := h.DecodeDone(h.now, "r", a.Attempt, out, "x")
		e := mustFind(t, o, Respond).Answer
		settled := ""
		for _, x := range o.Decisions {
			if x.Action == SettleClaim {
				settled = x.ClaimState
			}
		}
		if e.Result != want || e.RetryAfter <= 0 || (want == "shed") != (settled == "shed") {
			t.Errorf("outcome %d: answer %+v, claim settled as %q", out, e, settled)
		}
	}
}

func TestStalledClientIsDisconnected(t *testing.T) {
	h := newHarness()
	a := h.startDecode(t, "r", "")
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
	h.PiecesTaken(h.now, "r", 1)
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 1))
	h.now += 1900 * time.Millisecond
	if o := h.Tick(h.now); len(o.Decisions) > 0 {
		t.Fatalf("stream aborted before the stall timeout: %+v", o.Decisions)
	}
	h.now += 200 * time.Millisecond
	o := h.Tick(h.now)
	mustFind(t, o, CancelCall)
	if e := mustFind(t, o, Respond).Answer; e.Result != "break" || !e.ClientStalled || len(h.Report().InFlight) != 0 {
		t.Errorf("answer %+v, slots in use %v", e, h.Report().InFlight)
	}
}

// Inputs that are late or repeated, or belong to another call or to a finished or unknown request, must be
// ignored. Pieces and handles with one wrong field must be rejected.
func TestStrayInputsAreIgnored(t *testing.T) {
	h := newHarness()
	a := h.startDecode(t, "r", "")
	handle := serverpool.Handle{ID: "h", Request: "r", Attempt: 1, PrefillServer: prefill}
	expectIgnored := func(when string) {
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
	expectIgnored("calling")
	h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
	expectIgnored("streaming")
	mustFind(t, h.DecodeDone(h.now, "r", a.Attempt, serverpool.Lost, "cut"), Respond)
	expectIgnored("over")
	// A piece with one wrong field must abort the stream instead of being sent.
	for what, mutate := range map[string]func(*serverpool.Piece){
		"request": func(p *serverpool.Piece) { p.Request = "s" },
		"run":     func(p *serverpool.Piece) { p.RunID += "x" },
		"skipped": func(p *serverpool.Piece) { p.Number++ },
		"again":   func(p *serverpool.Piece) { p.Number-- },
		"error":   func(p *serverpool.Piece) { p.Error = "x" },
		"early":   func(p *serverpool.Piece) { p.End, p.Count = true, 2 },
	} {
		h := newHarness()
		a := h.startDecode(t, "r", "")
		h.PieceReceived(h.now, "r", a.Attempt, piece(a, 0))
		p := piece(a, 1)
		mutate(&p)
		o := h.PieceReceived(h.now, "r", a.Attempt, p)
		mustFind(t, o, CancelCall)
		if e := mustFind(t, o, Respond).Answer; e.Result != "break" {
			t.Errorf("%s: %+v", what, e)
		}
	}
	// A handle with one wrong field must count as a failed handoff.
	for what, mutate := range map[string]func(*serverpool.Handle){
		"request": func(handle *serverpool.Handle) { handle.Request = "s" },
		"attempt": func(handle *serverpool.Handle) { handle.Attempt++ },
		"reader":  func(handle *serverpool.Handle) { handle.PrefillServer = decode },
		"record":  func(handle *serverpool.Handle) { handle.RecordVersion = "9.9" },
		"empty":   func(handle *serverpool.Handle) { handle.ID = "" },
	} {
		h := newHarness()
		a := mustFind(t, h.start("r", ""), Prefill)
		handle := validHandle(a)
		mutate(&handle)
		for _, x := range h.PrefillDone(h.now, "r", a.Attempt, handle, serverpool.OK, "").Decisions {
			if x.Action == Decode {
				t.Errorf("%s: the handle was passed to a decode server", what)
			}
		}
	}
}
