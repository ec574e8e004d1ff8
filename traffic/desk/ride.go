package desk

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/cabin"
	"mulleinmast/control/errand"
	"mulleinmast/traffic/dispatch"
	"mulleinmast/traffic/yard"
)

// ride is the HTTP side of one trip: acts come in, calls go out.
type ride struct {
	d   *Desk
	l   *lane
	req dispatch.Request
	ctx context.Context
	rc  *http.ResponseController

	mu    sync.Mutex
	acts  []dispatch.Act
	wake  chan struct{}
	calls map[int]context.CancelFunc
	ahead chan struct{} // pieces handed on that the requester has not taken
}

// put adds an act; it never waits.
func (r *ride) put(a dispatch.Act) {
	r.mu.Lock()
	r.acts = append(r.acts, a)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *ride) get() []dispatch.Act {
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

// unblock ends a write that the requester doesn't take.
func (r *ride) unblock() { _ = r.rc.SetWriteDeadline(time.Unix(1, 0)) }

// ride sees a request through to its final reply.
func (d *Desk) ride(w http.ResponseWriter, q *http.Request, l *lane, req dispatch.Request) {
	ctx, done := context.WithCancel(q.Context())
	defer done()
	r := &ride{d: d, l: l, req: req, ctx: ctx, rc: http.NewResponseController(w), wake: make(chan struct{}, 1), calls: map[int]context.CancelFunc{}, ahead: make(chan struct{}, Config(d.c.Cfg).Ahead)}
	w.Header().Set("X-Request", req.ID)
	// Whatever the machine decides, no write outlives the budget by much.
	_ = r.rc.SetWriteDeadline(time.Now().Add(req.Due - d.c.Now() + d.c.Cfg.Bounds.Plan))
	defer func() { _ = r.rc.SetWriteDeadline(time.Time{}) }() // the connection may carry another request
	l.mu.Lock()
	l.rides[req.ID] = r
	l.mu.Unlock()
	d.step(l, func(now time.Duration) dispatch.Out { return l.Take(now, req) })
	gone := ctx.Done()
	pieces := 0
	for {
		select {
		case <-r.wake:
		case <-gone:
			gone = nil
			d.step(l, func(now time.Duration) dispatch.Out { return l.Gone(now, req.ID) })
		}
		for _, a := range r.get() {
			switch a.Kind {
			case dispatch.Claim:
				go r.claim(a)
			case dispatch.Prefill:
				go r.prefill(a)
			case dispatch.Decode:
				go r.decode(a)
			case dispatch.Pass:
				if r.pass(w, a.Piece, pieces == 0) {
					pieces++
					n := pieces
					l.mu.Lock()
					l.Taken(d.c.Now(), req.ID, n)
					l.mu.Unlock()
				}
				select {
				case <-r.ahead:
				default:
				}
			case dispatch.Reply:
				r.reply(w, a.End, pieces > 0)
				return
			}
		}
	}
}

// pass writes a piece to the requester.
func (r *ride) pass(w http.ResponseWriter, p yard.Piece, first bool) bool {
	if first {
		w.Header().Set("Content-Type", "application/x-ndjson")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := w.Write(append(errand.Pack(p), '\n')); err != nil {
		return false
	}
	return r.rc.Flush() == nil
}

// reply is the final word. A stream that broke off is ended by an error piece
// and a cut connection, so that it can't look whole.
func (r *ride) reply(w http.ResponseWriter, e dispatch.End, begun bool) {
	switch {
	case e.Result == "finish":
	case e.Result == "gone" || begun || e.Result == "break":
		if begun && !e.Stuck {
			_, _ = w.Write(append(errand.Pack(yard.Piece{Request: r.req.ID, N: -1, Error: e.Why}), '\n'))
			_ = r.rc.Flush()
		}
		if e.Result == "break" {
			r.d.c.Book.Note("stream", "%s: broke off: %s", r.req.ID, e.Why)
		}
		panic(http.ErrAbortHandler)
	case e.Result == "duplicate":
		cabin.Reply(w, e.Code, e.Word)
	default:
		cabin.Reply(w, e.Code, errand.Word{Result: e.Result, Why: e.Why, After: max(1, e.After.Milliseconds())})
	}
}

// call makes a context for a call to a server that the machine may cut.
func (r *ride) call(a dispatch.Act) (context.Context, func()) {
	ctx, stop := context.WithTimeout(r.ctx, a.Wait)
	r.mu.Lock()
	r.calls[a.No] = stop
	r.mu.Unlock()
	return ctx, func() {
		stop()
		r.mu.Lock()
		delete(r.calls, a.No)
		r.mu.Unlock()
	}
}

// may is the last look before the first byte.
func (r *ride) may(a dispatch.Act) func() bool {
	return func() bool {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		return r.l.Standing(r.d.c.Now(), a)
	}
}

func (r *ride) prefill(a dispatch.Act) {
	ctx, done := r.call(a)
	defer done()
	hd, out, why := r.d.c.Hands.Prefill(ctx, a.Addr, a.Read, r.may(a))
	r.d.step(r.l, func(now time.Duration) dispatch.Out { return r.l.Handed(now, a.Trip, a.No, hd, out, why) })
}

func (r *ride) decode(a dispatch.Act) {
	ctx, done := r.call(a)
	defer done()
	st, out, why := r.d.c.Hands.Decode(ctx, a.Addr, a.Make, r.may(a))
	if out == yard.OK {
		defer st.Close()
		out = yard.Lost
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
			r.d.step(r.l, func(now time.Duration) dispatch.Out { return r.l.Piece(now, a.Trip, a.No, p) })
			if p.End {
				return
			}
		}
	}
	r.d.step(r.l, func(now time.Duration) dispatch.Out { return r.l.Made(now, a.Trip, a.No, out, why) })
}

// claim takes the once key at the owner before anything is sent.
func (r *ride) claim(a dispatch.Act) {
	d := r.d
	budget := min(d.c.Cfg.Bounds.Plan, r.req.Due-d.c.Now())
	code, rep := d.c.Ask(d.ctx, r.l.part, "claim", d.claim(a), budget)
	r.d.step(r.l, func(now time.Duration) dispatch.Out { return r.l.Claimed(now, a.Trip, code, rep) })
}

// settleClaim writes what became of a claimed request; it is tried for long,
// since a key that was shed and stays claimed can't be used again.
func (d *Desk) settleClaim(l *lane, a dispatch.Act) {
	d.c.Ask(d.ctx, l.part, "unclaim", d.claim(a), d.c.Cfg.Bounds.Recover)
}
