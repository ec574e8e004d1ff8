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

// delivered is what a client has of its answer.
type delivered struct {
	lastEvent  string // the id of its last event
	headSent   bool   // it has a head
	clientGone bool   // it takes nothing more
}

// execute carries out the decisions on one request.
func (g *Gateway) execute(ctx context.Context, q *Request, a *admission, c forward.Request, w Client) {
	d := g.dispatcherOf(c.Service)
	has, arrivedAt := delivered{lastEvent: q.LastEventID}, g.daemon.Now()
	w.Within(c.Deadline - arrivedAt)
	check := audit{request: c}
	m := g.step(d, func(now time.Duration) forward.Decision { return d.Start(now, c) })
	for !m.Action.Final() {
		if last, ended := g.endEarly(ctx, d, q, a, m, ctx.Err() != nil || has.clientGone); ended {
			m = last
			break
		}
		switch m.Action {
		case forward.Wait:
			m = g.wait(ctx, d, c, m)
		case forward.Prefill:
			m = g.prefill(ctx, d, q, c, m)
		case forward.Decode:
			check.beforeSend(has.headSent)
			outcome, why := g.decode(ctx, d, q, a, c, m, w, &has)
			check.afterSend(outcome)
			if check.mayHaveRun {
				a.permit.use()
			}
			if (ctx.Err() != nil || has.clientGone) && outcome != forward.OK {
				continue
			}
			m = g.step(d, func(now time.Duration) forward.Decision { return d.DecodeDone(now, c.ID, outcome, why) })
		}
	}
	for _, h := range m.ReleaseHandles {
		go g.engines.ReleaseHandle(h)
	}
	g.finished(q, a, c, m, g.daemon.Now()-arrivedAt)
	if !check.checkEnd(m, has.headSent) {
		w.Fail(http.StatusBadGateway, "it ended without an answer")
		return
	}
	answer(w, m)
}

// endEarly ends a request whose client went away, or whose next call its key or its
// tenant's limit doesn't allow any more; false: it goes on.
func (g *Gateway) endEarly(
	ctx context.Context, d *dispatcher, q *Request, a *admission, m forward.Decision, clientGone bool,
) (last forward.Decision, ended bool) {
	calling := m.Action != forward.Wait
	if clientGone {
		return g.step(d, func(now time.Duration) forward.Decision { return d.ClientGone(now, q.ID, calling) }), true
	}
	why := ""
	if calling && !g.keyStands(q, *a) {
		why = reasonKeyRevoked
	} else if m.Action == forward.Decode && !a.mayRun(g.daemon.Now()) {
		// It waited for longer than its token is valid, or a run before it took that.
		_, why, _ = g.takeToken(ctx, a)
	}
	if why == "" {
		return m, false
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.Withdraw(now, q.ID, why) }), true
}

// answer tells the client how its request ended, unless it has the whole answer.
func answer(w Client, m forward.Decision) {
	switch m.Action {
	case forward.Refuse:
		w.Refuse(http.StatusServiceUnavailable, m.RetryAfter, m.Reason)
	case forward.Unknown:
		w.Fail(http.StatusBadGateway, m.Reason)
	case forward.Duplicate: // no promise: the other one may run
		w.Fail(http.StatusConflict, m.Reason)
	case forward.Break:
		w.Break()
	}
}

// wait carries out a Wait. The decision stays as it is if the client went away meanwhile.
func (g *Gateway) wait(ctx context.Context, d *dispatcher, c forward.Request, m forward.Decision) forward.Decision {
	g.pause(ctx, m.Until)
	if ctx.Err() != nil {
		return m
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.Continue(now, c.ID) })
}

// pause waits for a change of records, or until a time.
func (g *Gateway) pause(ctx context.Context, until time.Duration) {
	longest := g.daemon.Cfg.VolumeLease() / 16 // renewed volume leases are no change
	timer := time.NewTimer(max(min(until-g.daemon.Now(), longest), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.daemon.Changed():
	}
}

// prefill carries out a Prefill. The decision stays as it is if the client went away
// meanwhile.
func (g *Gateway) prefill(
	ctx context.Context, d *dispatcher, q *Request, c forward.Request, m forward.Decision,
) forward.Decision {
	callCtx, cancel := context.WithTimeout(ctx, m.Until-g.daemon.Now())
	h, outcome, why := g.engines.Prefill(callCtx, q, c, m, g.lastCheck(d, nil, c, m))
	cancel()
	if ctx.Err() != nil && outcome != forward.OK {
		return m
	}
	return g.step(d, func(now time.Duration) forward.Decision { return d.PrefillDone(now, c.ID, outcome, h, why) })
}

// lastCheck is asked just before the first byte of a call goes out; of one that has the
// request run, its admission is given.
func (g *Gateway) lastCheck(d *dispatcher, run *admission, c forward.Request, m forward.Decision) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := g.daemon.Now()
		if run != nil && !run.mayRun(now) || !d.MaySend(now, c.ID, m) {
			return false
		}
		g.report.sent(g.daemon.LapsedFor(d.partition))
		return true
	}
}

// decode carries out a Decode and passes on what comes.
func (g *Gateway) decode(
	ctx context.Context, d *dispatcher, q *Request, run *admission, c forward.Request, m forward.Decision, w Client,
	has *delivered,
) (forward.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, m.Until-g.daemon.Now())
	defer cancel()
	a, outcome, why := g.engines.Decode(ctx, q, c, m, has.lastEvent, g.lastCheck(d, run, c, m))
	if outcome != forward.OK {
		return outcome, why
	}
	defer a.Close()
	if has.headSent && a.Status() != http.StatusOK {
		return forward.Lost, "a stream can't go on with a " + http.StatusText(a.Status())
	}
	if !has.headSent && c.Repeatable && a.Status() >= http.StatusInternalServerError {
		return forward.Lost, http.StatusText(a.Status())
	}
	return g.passOn(d, c, a, w, has)
}

// passOn passes a server's answer on to the client.
func (g *Gateway) passOn(
	d *dispatcher, c forward.Request, a Answer, w Client, has *delivered,
) (forward.Outcome, string) {
	resumed := has.headSent
	first, lastAt := true, time.Duration(0)
	for {
		b, id, err := a.Next()
		if err == io.EOF {
			has.sendHead(w, a)
			return forward.OK, ""
		}
		if err != nil {
			return forward.Lost, err.Error()
		}
		if resumed && first && !follows(has.lastEvent, id) {
			return forward.Lost, fmt.Sprintf("it goes on with event %q after %q", id, has.lastEvent)
		}
		has.sendHead(w, a)
		now := g.daemon.Now()
		fixed := id == "" || a.Status() != http.StatusOK
		if first {
			d.streamStarted(now, c.ID, fixed)
		} else {
			d.eventSent(c.ID, now-lastAt, fixed)
		}
		first, lastAt = false, now
		if !w.Pass(b) { // no fault of the server's
			has.clientGone = true
			return forward.Lost, "the client takes nothing"
		}
		if id != "" {
			has.lastEvent = id
		}
	}
}

// sendHead sends the head of an answer to a client that has none yet.
func (has *delivered) sendHead(w Client, a Answer) {
	if !has.headSent {
		w.Begin(a.Status(), a.Header())
		has.headSent = true
	}
}

// follows tells whether a stream that broke off after one event may go on with
// another: their ids rise.
func follows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA == nil && errB == nil {
		return b > a
	}
	return id != "" && id != last
}
