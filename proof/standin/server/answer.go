package server

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// success returns the head of a 200 answer, with any pending header faults applied; last
// reports whether the connection is to be closed after it.
func (c *conn) success(req request, arrival *record.Arrival) (h *head, last bool) {
	s := c.s
	h = c.head(http.StatusOK, req)
	if s.faults.take(NoSeal) {
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
	} else {
		h.add(wire.Seal, arrival.Seal)
	}
	if s.faults.take(Encoded) {
		h.add(wire.Encoding, "gzip")
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
	}
	if s.faults.take(Denied) {
		h.add(wire.NotRun, "full")
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
	}
	if s.faults.take(Close) {
		h.add("Connection", "close")
		last = true
	}
	return h, last
}

// Text returns the expected content of piece n of an answer to an attempt.
//
// Example: server.Text("9c41", "i-1.4", 3)
func Text(attempt, run string, n int) string {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%s/%s/%d", attempt, run, n)
	return fmt.Sprintf("%016x", f.Sum64())
}

// injectFault applies a pending fault that replaces the answer; done reports whether one
// did or the connection failed.
func (c *conn) injectFault(ctx context.Context, arrival *record.Arrival) (done bool) {
	s := c.s
	switch {
	case s.faults.take(Silent):
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		<-ctx.Done()
	case s.faults.take(Garble):
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		_, _ = c.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
	case s.faults.take(Reset):
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		c.reset()
	case s.faults.take(Interim):
		_, err := c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
		return err != nil
	default:
		return false
	}
	return true
}

// injectTrailingFault applies a pending fault that follows a complete answer and reports
// whether the connection may be reused.
func (c *conn) injectTrailingFault(req request, arrival *record.Arrival, duplicate string) (reusable bool) {
	s := c.s
	h := c.head(http.StatusOK, req)
	h.add(wire.Seal, "extra."+arrival.Run)
	h.add("Content-Length", 5)
	extra := append(h.bytes(), "extra"...)
	switch {
	case s.faults.take(Extra):
		_, _ = c.Write(extra)
	case s.faults.take(Doubled):
		_, _ = c.Write([]byte(duplicate))
	case s.faults.take(Late):
		c.lateAnswer = extra
	case s.faults.take(Unwarned):
		return false
	}
	return true
}

// answer writes a body of known length after the configured work time.
func (c *conn) answer(ctx context.Context, req request, arrival *record.Arrival) bool {
	s := c.s
	if !sleep(ctx, s.Work) || c.injectFault(ctx, arrival) {
		return false
	}
	body := strings.Repeat(Text(arrival.Attempt, arrival.Run, 0), 1+len(req.body)%7)
	h, last := c.success(req, arrival)
	h.add("Content-Type", "text/plain")
	if s.faults.take(Break) {
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		h.add("Content-Length", len(body))
		_, _ = c.Write(append(h.bytes(), body[:len(body)/2]...))
		c.reset()
		return false
	}
	s.log.Do(func(*record.All) { arrival.Length, arrival.Digest = len(body), Digest([]byte(body)) })
	if done := c.injectUnframed(h, body, arrival); done || c.injectHeadOnly(h, arrival) {
		return false
	}
	reusable := c.send(h, body)
	s.log.Do(func(*record.All) { arrival.Complete, arrival.End = true, s.log.Now() })
	return c.injectTrailingFault(req, arrival, string(h.bytes())+body) && reusable && !last
}

// injectUnframed applies a pending fault that sends an answer without its length.
func (c *conn) injectUnframed(h *head, body string, arrival *record.Arrival) (done bool) {
	s := c.s
	switch {
	case s.faults.take(Unframed):
		s.log.Do(func(*record.All) { arrival.Complete, arrival.End = true, s.log.Now() })
		_, _ = c.Write(append(h.bytes(), body...))
	case s.faults.take(UnframedReset):
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		_, _ = c.Write(append(h.bytes(), body[:len(body)/2]...))
		c.reset()
	default:
		return false
	}
	return true
}

// injectHeadOnly applies a pending fault that resets the connection after the answer's head.
func (c *conn) injectHeadOnly(h *head, arrival *record.Arrival) (done bool) {
	if !c.s.faults.take(HeadOnly) {
		return false
	}
	c.s.log.Do(func(*record.All) { arrival.FaultInjected = true })
	_, _ = c.Write(h.bytes())
	c.reset()
	return true
}

// stream writes an answer as events, starting after the last event that the client has.
func (c *conn) stream(ctx context.Context, req request, arrival *record.Arrival) bool {
	s := c.s
	_, out, _ := strings.Cut(req.Header.Get(wire.Tokens), ",")
	n, _ := strconv.Atoi(strings.TrimSpace(out))
	n = max(1, n)
	if c.injectFault(ctx, arrival) {
		return false
	}
	h, last := c.success(req, arrival)
	h.add("Content-Type", wire.Events)
	h.add("Transfer-Encoding", "chunked")
	if c.injectHeadOnly(h, arrival) {
		return false
	}
	b := h.bytes()
	duplicate := string(b) + "0\r\n\r\n"
	if c.lateAnswer != nil {
		b, c.lateAnswer = append(c.lateAnswer, b...), nil
	}
	cut := -1
	if s.faults.take(Break) {
		cut = (arrival.After + n) / 2
	}
	interval := s.Step
	if s.faults.take(Slow) {
		interval *= 20
	}
	for k := arrival.After + 1; k <= n; k++ {
		if !sleep(ctx, interval) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d/%d %s\n\n", k, arrival.Run, k, n, Text(arrival.Attempt, arrival.Run, k))
		if k == cut {
			s.log.Do(func(*record.All) { arrival.FaultInjected = true })
			_, _ = c.Write(append(b, fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2])...))
			c.reset()
			return false
		}
		s.log.Do(func(*record.All) { arrival.Pieces = append(arrival.Pieces, record.Piece{ID: k, Run: arrival.Run}) })
		if _, err := c.Write(append(b, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)...)); err != nil {
			return false
		}
		b = nil
	}
	if _, err := c.Write(append(b, "0\r\n\r\n"...)); err != nil {
		return false
	}
	s.log.Do(func(*record.All) { arrival.Complete, arrival.Last, arrival.End = true, true, s.log.Now() })
	return c.injectTrailingFault(req, arrival, duplicate) && !last && !strings.Contains(strings.Join(h.lines, "\n"), "Connection: close")
}
