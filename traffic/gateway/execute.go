package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulleinmast/traffic/forward"
)

func requestHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// deliveryState is the part of its answer that a client has received.
type deliveryState struct {
	lastEvent  string // id of the last event sent
	headSent   bool   // status and header were sent
	clientGone bool   // the client can't be reached
}

// execute carries out the decisions for one request until it ends.
func (g *Gateway) execute(ctx context.Context, req *Request, a *admission, fwd forward.Request, w Client) {
	d := g.dispatcherFor(fwd.Service)
	delivered, arrivedAt := deliveryState{lastEvent: req.LastEventID}, g.daemon.Now()
	w.Within(fwd.Deadline - arrivedAt)
	check := audit{request: fwd}
	decision := g.step(d, func(now time.Duration) forward.Decision { return d.Start(now, fwd) })
	for !decision.Action.Final() {
		if last, ended := g.endEarly(ctx, d, req, a, decision, ctx.Err() != nil || delivered.clientGone); ended {
			decision = last
			break
		}
		switch decision.Action {
		case forward.Wait:
			decision = g.wait(ctx, d, fwd, decision)
		case forward.Prefill:
			decision = g.prefill(ctx, d, req, fwd, decision)
		case forward.Decode:
			check.beforeSend(delivered.headSent)
			outcome, why := g.decode(ctx, d, req, a, fwd, decision, w, &delivered)
			check.afterSend(outcome)
			if check.mayHaveRun {
				a.permit.use()
			}
			if (ctx.Err() != nil || delivered.clientGone) && outcome != forward.OK {
				continue
			}
			decision = g.step(d, func(now time.Duration) forward.Decision {
				return d.DecodeDone(now, fwd.ID, outcome, why)
			})
		}
	}
	for _, h := range decision.ReleaseHandles {
		go g.engines.ReleaseHandle(h)
	}
	g.recordEnd(req, a, fwd, decision, g.daemon.Now()-arrivedAt)
	if !check.checkEnd(decision, delivered.headSent) {
		w.Fail(http.StatusBadGateway, "it ended without an answer")
		return
	}
	finishResponse(w, decision)
}

// endEarly ends a request whose client disconnected, or whose next call is no longer allowed
// by its key or its tenant's limit. Otherwise ended is false and the request continues.
func (g *Gateway) endEarly(
	ctx context.Context, d *dispatcher, req *Request, a *admission, decision forward.Decision, clientGone bool,
) (last forward.Decision, ended bool) {
	calling := decision.Action != forward.Wait
	if clientGone {
		return g.step(d, func(now time.Duration) forward.Decision { return d.ClientGone(now, req.ID, calling) }), true
	}
	why := ""
	if calling && !g.isKeyValid(req, *a) {
		why = reasonKeyRevoked
	} else if decision.Action == forward.Decode && !a.mayRun(g.daemon.Now()) {
		// The token expired while the request waited, or an earlier run used it.
		_, why, _ = g.takeToken(ctx, a)
	}
	if why == "" {
		return decision, false
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.Withdraw(now, req.ID, why) }), true
}

// finishResponse reports the end of a request to its client, unless the client has the
// complete answer.
func finishResponse(w Client, decision forward.Decision) {
	switch decision.Action {
	case forward.Refuse:
		w.Refuse(http.StatusServiceUnavailable, decision.RetryAfter, decision.Reason)
	case forward.Unknown:
		w.Fail(http.StatusBadGateway, decision.Reason)
	case forward.Duplicate: // not a refusal: the other request of this id may run
		w.Fail(http.StatusConflict, decision.Reason)
	case forward.Break:
		w.Break()
	}
}

// wait carries out a Wait. It returns the same decision if the client disconnects in the
// meantime.
func (g *Gateway) wait(
	ctx context.Context, d *dispatcher, fwd forward.Request, decision forward.Decision,
) forward.Decision {
	g.waitForChange(ctx, decision.Until)
	if ctx.Err() != nil {
		return decision
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.Continue(now, fwd.ID) })
}

// waitForChange waits for a change of records, at most until the given time.
func (g *Gateway) waitForChange(ctx context.Context, until time.Duration) {
	longest := g.daemon.Cfg.VolumeLease() / 16 // the renewal of a volume lease isn't signaled as a change
	timer := time.NewTimer(max(min(until-g.daemon.Now(), longest), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.daemon.Changed():
	}
}

// prefill carries out a Prefill. It returns the same decision if the client disconnects in
// the meantime.
func (g *Gateway) prefill(
	ctx context.Context, d *dispatcher, req *Request, fwd forward.Request, decision forward.Decision,
) forward.Decision {
	callCtx, cancel := context.WithTimeout(ctx, decision.Until-g.daemon.Now())
	h, outcome, why := g.engines.Prefill(callCtx, req, fwd, decision, g.sendCheck(d, nil, fwd, decision))
	cancel()
	if ctx.Err() != nil && outcome != forward.OK {
		return decision
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.PrefillDone(now, fwd.ID, outcome, h, why) })
}

// sendCheck returns the check to make just before the first byte of a call is sent. admitted is
// nil unless the call runs the request. Such a call needs a valid token if the tenant has a limit.
func (g *Gateway) sendCheck(
	d *dispatcher, admitted *admission, fwd forward.Request, decision forward.Decision,
) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := g.daemon.Now()
		if admitted != nil && !admitted.mayRun(now) || !d.MaySend(now, fwd.ID, decision) {
			return false
		}
		g.report.recordSend(g.daemon.LapsedFor(d.partition))
		return true
	}
}

// decode carries out a Decode and relays the answer to the client.
func (g *Gateway) decode(
	ctx context.Context, d *dispatcher, req *Request, admitted *admission, fwd forward.Request,
	decision forward.Decision, w Client, delivered *deliveryState,
) (forward.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, decision.Until-g.daemon.Now())
	defer cancel()
	a, outcome, why := g.engines.Decode(
		ctx, req, fwd, decision, delivered.lastEvent, g.sendCheck(d, admitted, fwd, decision))
	if outcome != forward.OK {
		return outcome, why
	}
	defer a.Close()
	if delivered.headSent && a.Status() != http.StatusOK {
		return forward.Lost, "a stream can't go on with a " + http.StatusText(a.Status())
	}
	if !delivered.headSent && fwd.Repeatable && a.Status() >= http.StatusInternalServerError {
		return forward.Lost, http.StatusText(a.Status())
	}
	return g.relay(d, fwd, a, w, delivered)
}

// relay copies a server's answer to the client.
func (g *Gateway) relay(
	d *dispatcher, fwd forward.Request, a Answer, w Client, delivered *deliveryState,
) (forward.Outcome, string) {
	resumed := delivered.headSent
	first, lastAt := true, time.Duration(0)
	for {
		b, id, err := a.Next()
		if err == io.EOF {
			delivered.sendHead(w, a)
			return forward.OK, ""
		}
		if err != nil {
			return forward.Lost, err.Error()
		}
		if resumed && first && !isLaterEvent(delivered.lastEvent, id) {
			return forward.Lost, fmt.Sprintf("it goes on with event %q after %q", id, delivered.lastEvent)
		}
		delivered.sendHead(w, a)
		now := g.daemon.Now()
		fixed := id == "" || a.Status() != http.StatusOK
		if first {
			d.streamStarted(now, fwd.ID, fixed)
		} else {
			d.eventSent(fwd.ID, now-lastAt, fixed)
		}
		first, lastAt = false, now
		if !w.Pass(b) { // the client failed, not the server
			delivered.clientGone = true
			return forward.Lost, "the client takes nothing"
		}
		if id != "" {
			delivered.lastEvent = id
		}
	}
}

// sendHead sends the status and header of an answer unless the client already has them.
func (s *deliveryState) sendHead(w Client, a Answer) {
	if !s.headSent {
		w.Begin(a.Status(), a.Header())
		s.headSent = true
	}
}

// isLaterEvent reports whether a stream that was interrupted after one event may continue
// with another: numeric ids must increase, other ids must differ.
func isLaterEvent(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA == nil && errB == nil {
		return b > a
	}
	return id != "" && id != last
}
