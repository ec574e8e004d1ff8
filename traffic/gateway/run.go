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

// execute carries the moves of one request out.
func (g *Gateway) execute(ctx context.Context, q *Request, c forward.Request, w Client) {
	l := g.dispatcherOf(c.Service)
	step := func(f func(now time.Duration) forward.Decision) forward.Decision {
		l.mu.Lock()
		defer l.mu.Unlock()
		return f(g.daemon.Now())
	}
	has, at := delivered{lastEvent: q.LastEventID}, g.daemon.Now()
	w.Within(c.Deadline - at)
	check := audit{request: c}
	m := step(func(now time.Duration) forward.Decision { return l.Start(now, c) })
	for !m.Action.Final() {
		if ctx.Err() != nil || has.clientGone {
			m = step(func(now time.Duration) forward.Decision { return l.ClientGone(now, c.ID, m.Action != forward.Wait) })
			break
		}
		switch m.Action {
		case forward.Wait:
			g.pause(ctx, m.Until)
			if ctx.Err() == nil {
				m = step(func(now time.Duration) forward.Decision { return l.Continue(now, c.ID) })
			}
		case forward.Prefill:
			cut, done := context.WithTimeout(ctx, m.Until-g.daemon.Now())
			h, out, why := g.engines.Prefill(cut, q, c, m, g.lastCheck(l, c, m))
			done()
			if ctx.Err() != nil && out != forward.OK {
				continue
			}
			m = step(func(now time.Duration) forward.Decision { return l.PrefillDone(now, c.ID, out, h, why) })
		case forward.Decode:
			check.beforeSend(has.headSent)
			cut, done := context.WithTimeout(ctx, m.Until-g.daemon.Now())
			out, why := g.decode(cut, l, q, c, m, w, &has)
			done()
			check.afterSend(out)
			if (ctx.Err() != nil || has.clientGone) && out != forward.OK {
				continue
			}
			m = step(func(now time.Duration) forward.Decision { return l.DecodeDone(now, c.ID, out, why) })
		}
	}
	for _, h := range m.ReleaseHandles {
		go g.engines.ReleaseHandle(h)
	}
	g.finished(q, c, m, g.daemon.Now()-at)
	if !check.checkEnd(m, has.headSent) {
		w.Fail(http.StatusBadGateway, "it ended without an answer")
		return
	}
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

// lastCheck is the last look before the first byte.
func (g *Gateway) lastCheck(l *dispatcher, c forward.Request, m forward.Decision) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.MaySend(g.daemon.Now(), c.ID, m)
	}
}

// pause waits for news of records, or until a time.
func (g *Gateway) pause(ctx context.Context, until time.Duration) {
	d := min(until-g.daemon.Now(), g.daemon.Cfg.VolumeLease()/16) // volume leases come without news
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.daemon.Changed():
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

// streamStarted tells the dispatcher that the first event of an answer goes out; fixed says
// that the answer can't be gone on with elsewhere.
func (l *dispatcher) streamStarted(now time.Duration, id string, fixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.StreamStarted(now, id)
	if fixed {
		l.DisableResume(id)
	}
}

// eventSent tells the dispatcher that one more eventSent goes out, so long after the last.
func (l *dispatcher) eventSent(id string, after time.Duration, fixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.EventSent(id, after)
	if fixed {
		l.DisableResume(id)
	}
}

// delivered is what a client has of its answer.
type delivered struct {
	lastEvent  string // its last event
	headSent   bool   // it has a head
	clientGone bool   // it takes nothing more
}

// decode makes one writing call and passes on what comes.
func (g *Gateway) decode(ctx context.Context, l *dispatcher, q *Request, c forward.Request, m forward.Decision, w Client, has *delivered) (forward.Outcome, string) {
	a, out, why := g.engines.Decode(ctx, q, c, m, has.lastEvent, g.lastCheck(l, c, m))
	if out != forward.OK {
		return out, why
	}
	defer a.Close()
	if has.headSent && a.Status() != http.StatusOK {
		return forward.Lost, "a stream can't go on with a " + http.StatusText(a.Status())
	}
	if !has.headSent && c.Repeatable && a.Status() >= 500 {
		return forward.Lost, http.StatusText(a.Status())
	}
	resumed := has.headSent
	first, at := true, time.Duration(0)
	for {
		b, id, err := a.Next()
		if err == io.EOF {
			if !has.headSent {
				w.Begin(a.Status(), a.Header())
				has.headSent = true
			}
			return forward.OK, ""
		}
		if err != nil {
			return forward.Lost, err.Error()
		}
		if resumed && first && !follows(has.lastEvent, id) {
			return forward.Lost, fmt.Sprintf("it goes on with event %q after %q", id, has.lastEvent)
		}
		if !has.headSent {
			w.Begin(a.Status(), a.Header())
			has.headSent = true
		}
		now := g.daemon.Now()
		fixed := id == "" || a.Status() != http.StatusOK
		if first {
			l.streamStarted(now, c.ID, fixed)
		} else {
			l.eventSent(c.ID, now-at, fixed)
		}
		first, at = false, now
		if !w.Pass(b) { // no fault of the server's
			has.clientGone = true
			return forward.Lost, "the client takes nothing"
		}
		if id != "" {
			has.lastEvent = id
		}
	}
}
