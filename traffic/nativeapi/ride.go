package nativeapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

// ride is the HTTP side of one trip: acts come in, calls go out.
type ride struct {
	d   *API
	l   *lane
	req scheduler.Request
	ctx context.Context
	rc  *http.ResponseController

	mu    sync.Mutex
	acts  []scheduler.Decision
	wake  chan struct{}
	calls map[int]context.CancelFunc
	ahead chan struct{} // pieces handed on that the client has not taken
}

// put adds an act; it never waits.
func (r *ride) put(a scheduler.Decision) {
	r.mu.Lock()
	r.acts = append(r.acts, a)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *ride) get() []scheduler.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.acts
	r.acts = nil
	return list
}

func (r *ride) cut(no int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stop := r.calls[no]; stop != nil {
		stop()
	}
}

// unblock ends a write that the client doesn't take.
func (r *ride) unblock() { _ = r.rc.SetWriteDeadline(time.Unix(1, 0)) }

// ride sees a request through to its final answer.
func (d *API) ride(w http.ResponseWriter, q *http.Request, l *lane, req scheduler.Request) {
	ctx, done := context.WithCancel(q.Context())
	defer done()
	r := &ride{d: d, l: l, req: req, ctx: ctx, rc: http.NewResponseController(w), wake: make(chan struct{}, 1), calls: map[int]context.CancelFunc{}, ahead: make(chan struct{}, Config(d.c.Cfg).MaxPiecesAhead)}
	w.Header().Set("X-Request", req.ID)
	// Whatever the machine decides, no write outlives the deadline by much.
	_ = r.rc.SetWriteDeadline(time.Now().Add(req.Deadline - d.c.Now() + d.c.Cfg.Bounds.Plan))
	defer func() { _ = r.rc.SetWriteDeadline(time.Time{}) }() // the connection may carry another request
	l.mu.Lock()
	l.rides[req.ID] = r
	l.mu.Unlock()
	d.step(l, func(now time.Duration) scheduler.Out { return l.Start(now, req) })
	gone := ctx.Done()
	pieces := 0
	for {
		select {
		case <-r.wake:
		case <-gone:
			gone = nil
			d.step(l, func(now time.Duration) scheduler.Out { return l.ClientGone(now, req.ID) })
		}
		for _, a := range r.get() {
			switch a.Action {
			case scheduler.Claim:
				go r.claim(a)
			case scheduler.Prefill:
				go r.prefill(a)
			case scheduler.Decode:
				go r.decode(a)
			case scheduler.SendPiece:
				if r.pass(w, a.Piece, pieces == 0) {
					pieces++
					n := pieces
					l.taken(d.c.Now(), req.ID, n)
				}
				select {
				case <-r.ahead:
				default:
				}
			case scheduler.Respond:
				r.respond(w, a.Answer, pieces > 0)
				return
			}
		}
	}
}

// taken tells the lane how many pieces a client has taken.
func (l *lane) taken(now time.Duration, id string, pieces int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.PiecesTaken(now, id, pieces)
}

// pass writes a piece to the client.
func (r *ride) pass(w http.ResponseWriter, p serverpool.Piece, first bool) bool {
	if first {
		w.Header().Set("Content-Type", "application/x-ndjson")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := w.Write(append(leadercall.Pack(p), '\n')); err != nil {
		return false
	}
	return r.rc.Flush() == nil
}

// respond writes the final word. A stream that broke off is ended by an error piece
// and a cut connection, so that it can't look whole.
func (r *ride) respond(w http.ResponseWriter, e scheduler.Answer, begun bool) {
	switch {
	case e.Result == "finish":
	case e.Result == "gone" || begun || e.Result == "break":
		if begun && !e.ClientStalled {
			_, _ = w.Write(append(leadercall.Pack(serverpool.Piece{Request: r.req.ID, Number: -1, Error: e.Reason}), '\n'))
			_ = r.rc.Flush()
		}
		if e.Result == "break" {
			r.d.c.Events.Debug("stream", "broke off", "request", r.req.ID, "reason", e.Reason)
		}
		panic(http.ErrAbortHandler)
	case e.Result == "duplicate":
		daemon.Respond(w, e.Status, e.Body)
	default:
		daemon.Respond(w, e.Status, leadercall.Response{Result: e.Result, Reason: e.Reason, RetryAfterMillis: max(1, e.RetryAfter.Milliseconds())})
	}
}

// call makes a context for a call to a server that the machine may cut.
func (r *ride) call(a scheduler.Decision) (context.Context, func()) {
	ctx, stop := context.WithTimeout(r.ctx, a.Timeout)
	r.mu.Lock()
	r.calls[a.Attempt] = stop
	r.mu.Unlock()
	return ctx, func() {
		stop()
		r.mu.Lock()
		delete(r.calls, a.Attempt)
		r.mu.Unlock()
	}
}

// may is the last look before the first byte.
func (r *ride) may(a scheduler.Decision) func() bool {
	return func() bool {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		return r.l.MaySend(r.d.c.Now(), a)
	}
}

func (r *ride) prefill(a scheduler.Decision) {
	ctx, done := r.call(a)
	defer done()
	hd, out, why := r.d.hands.Prefill(ctx, a.Addr, a.PrefillCall, r.may(a))
	r.d.step(r.l, func(now time.Duration) scheduler.Out {
		return r.l.PrefillDone(now, a.RequestID, a.Attempt, hd, out, why)
	})
}

func (r *ride) decode(a scheduler.Decision) {
	ctx, done := r.call(a)
	defer done()
	st, out, why := r.d.hands.Decode(ctx, a.Addr, a.DecodeCall, r.may(a))
	if out == serverpool.OK {
		defer st.Close()
		out = serverpool.Lost
		for {
			p, err := st.Next()
			if err != nil {
				why = err.Error()
				break
			}
			select {
			case r.ahead <- struct{}{}:
			case <-ctx.Done():
				return // cut: the machine knows
			}
			r.d.step(r.l, func(now time.Duration) scheduler.Out { return r.l.PieceReceived(now, a.RequestID, a.Attempt, p) })
			if p.End {
				return
			}
		}
	}
	r.d.step(r.l, func(now time.Duration) scheduler.Out { return r.l.DecodeDone(now, a.RequestID, a.Attempt, out, why) })
}

// claim takes the once key at the leader before anything is sent.
func (r *ride) claim(a scheduler.Decision) {
	d := r.d
	timeout := min(d.c.Cfg.Bounds.Plan, r.req.Deadline-d.c.Now())
	code, rep := d.c.Call(d.ctx, r.l.partition, "claim", d.claim(a), timeout)
	r.d.step(r.l, func(now time.Duration) scheduler.Out { return r.l.ClaimDone(now, a.RequestID, code, rep) })
}

// settleClaim writes what became of a claimed request; it is tried for long,
// since a key that was refused and stays claimed can't be used again.
func (d *API) settleClaim(l *lane, a scheduler.Decision) {
	d.c.Call(d.ctx, l.partition, "unclaim", d.claim(a), d.c.Cfg.Bounds.Recover)
}
