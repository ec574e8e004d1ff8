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

func dice(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// run carries the moves of one request out.
func (g *Gateway) run(ctx context.Context, q *Request, c forward.Request, w Client) {
	l := g.lane(c.Service)
	step := func(f func(now time.Duration) forward.Decision) forward.Decision {
		l.mu.Lock()
		defer l.mu.Unlock()
		return f(g.c.Now())
	}
	has, at := response{last: q.Last}, g.c.Now()
	w.Within(c.Deadline - at)
	check := audit{call: c}
	m := step(func(now time.Duration) forward.Decision { return l.Start(now, c) })
	for !m.Action.Final() {
		if ctx.Err() != nil || has.unread {
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
			cut, done := context.WithTimeout(ctx, m.Until-g.c.Now())
			h, out, why := g.eng.Read(cut, q, c, m, g.may(l, c, m))
			done()
			if ctx.Err() != nil && out != forward.OK {
				continue
			}
			m = step(func(now time.Duration) forward.Decision { return l.PrefillDone(now, c.ID, out, h, why) })
		case forward.Decode:
			check.sends(has.begun)
			cut, done := context.WithTimeout(ctx, m.Until-g.c.Now())
			out, why := g.write(cut, l, q, c, m, w, &has)
			done()
			check.sent(out)
			if (ctx.Err() != nil || has.unread) && out != forward.OK {
				continue
			}
			m = step(func(now time.Duration) forward.Decision { return l.DecodeDone(now, c.ID, out, why) })
		}
	}
	for _, h := range m.ReleaseHandles {
		go g.eng.Free(h)
	}
	g.finished(q, c, m, g.c.Now()-at)
	if !check.ends(m, has.begun) {
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

// may is the last look before the first byte.
func (g *Gateway) may(l *lane, c forward.Request, m forward.Decision) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.MaySend(g.c.Now(), c.ID, m)
	}
}

// pause waits for news of records, or until a time.
func (g *Gateway) pause(ctx context.Context, until time.Duration) {
	d := min(until-g.c.Now(), g.c.Cfg.VolumeLease()/16) // volume leases come without news
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.c.Changed():
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

// began tells the dispatcher that the first event of an answer goes out; fixed says
// that the answer can't be gone on with elsewhere.
func (l *lane) began(now time.Duration, id string, fixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.StreamStarted(now, id)
	if fixed {
		l.DisableResume(id)
	}
}

// event tells the dispatcher that one more event goes out, so long after the last.
func (l *lane) event(id string, after time.Duration, fixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.EventSent(id, after)
	if fixed {
		l.DisableResume(id)
	}
}

// response is what a client has of its answer.
type response struct {
	last   string // its last event
	begun  bool   // it has a head
	unread bool   // it takes nothing more
}

// write makes one writing call and passes on what comes.
func (g *Gateway) write(ctx context.Context, l *lane, q *Request, c forward.Request, m forward.Decision, w Client, has *response) (forward.Outcome, string) {
	a, out, why := g.eng.Write(ctx, q, c, m, has.last, g.may(l, c, m))
	if out != forward.OK {
		return out, why
	}
	defer a.Close()
	if has.begun && a.Status() != http.StatusOK {
		return forward.Lost, "a stream can't go on with a " + http.StatusText(a.Status())
	}
	if !has.begun && c.Repeatable && a.Status() >= 500 {
		return forward.Lost, http.StatusText(a.Status())
	}
	resumed := has.begun
	first, at := true, time.Duration(0)
	for {
		b, id, err := a.Next()
		if err == io.EOF {
			if !has.begun {
				w.Begin(a.Status(), a.Header())
				has.begun = true
			}
			return forward.OK, ""
		}
		if err != nil {
			return forward.Lost, err.Error()
		}
		if resumed && first && !follows(has.last, id) {
			return forward.Lost, fmt.Sprintf("it goes on with event %q after %q", id, has.last)
		}
		if !has.begun {
			w.Begin(a.Status(), a.Header())
			has.begun = true
		}
		now := g.c.Now()
		fixed := id == "" || a.Status() != http.StatusOK
		if first {
			l.began(now, c.ID, fixed)
		} else {
			l.event(c.ID, now-at, fixed)
		}
		first, at = false, now
		if !w.Pass(b) { // no fault of the server's
			has.unread = true
			return forward.Lost, "the client takes nothing"
		}
		if id != "" {
			has.last = id
		}
	}
}
