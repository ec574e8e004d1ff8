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

// success begins a 2xx, with what is wrong about it if that is due.
func (c *conn) success(req got, at *record.Arrival) (h *head, last bool) {
	s := c.s
	h = c.head(http.StatusOK, req)
	if s.faults.take(NoSeal) {
		s.log.Do(func(*record.All) { at.Broke = true })
	} else {
		h.add(wire.Seal, at.Seal)
	}
	if s.faults.take(Encoded) {
		h.add(wire.Encoding, "gzip")
		s.log.Do(func(*record.All) { at.Broke = true })
	}
	if s.faults.take(Denied) {
		h.add(wire.NotRun, "full")
		s.log.Do(func(*record.All) { at.Broke = true })
	}
	if s.faults.take(Close) {
		h.add("Connection", "close")
		last = true
	}
	return h, last
}

// Text is what an answer to an attempt says in one piece.
//
// Example: server.Text("9c41", "i-1.4", 3)
func Text(attempt, run string, n int) string {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%s/%s/%d", attempt, run, n)
	return fmt.Sprintf("%016x", f.Sum64())
}

// spoil plays what may come instead of an answer; done tells that it has.
func (c *conn) spoil(ctx context.Context, at *record.Arrival) (done bool) {
	s := c.s
	switch {
	case s.faults.take(Silent):
		s.log.Do(func(*record.All) { at.Broke = true })
		<-ctx.Done()
	case s.faults.take(Garble):
		s.log.Do(func(*record.All) { at.Broke = true })
		_, _ = c.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
	case s.faults.take(Reset):
		s.log.Do(func(*record.All) { at.Broke = true })
		c.reset()
	case s.faults.take(Interim):
		_, err := c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
		return err != nil
	default:
		return false
	}
	return true
}

// after plays what may come behind a whole answer.
func (c *conn) after(req got, at *record.Arrival, own string) (on bool) {
	s := c.s
	h := c.head(http.StatusOK, req)
	h.add(wire.Seal, "extra."+at.Run)
	h.add("Content-Length", 5)
	extra := append(h.bytes(), "extra"...)
	switch {
	case s.faults.take(Extra):
		_, _ = c.Write(extra)
	case s.faults.take(Doubled):
		_, _ = c.Write([]byte(own))
	case s.faults.take(Late):
		c.late = extra
	case s.faults.take(Unwarned):
		return false
	}
	return true
}

// answer writes a body of a known length, after some work.
func (c *conn) answer(ctx context.Context, req got, at *record.Arrival) bool {
	s := c.s
	if !pause(ctx, s.Work) || c.spoil(ctx, at) {
		return false
	}
	body := strings.Repeat(Text(at.Attempt, at.Run, 0), 1+len(req.body)%7)
	h, last := c.success(req, at)
	h.add("Content-Type", "text/plain")
	if s.faults.take(Break) {
		s.log.Do(func(*record.All) { at.Broke = true })
		h.add("Content-Length", len(body))
		_, _ = c.Write(append(h.bytes(), body[:len(body)/2]...))
		c.reset()
		return false
	}
	s.log.Do(func(*record.All) { at.Length, at.Digest = len(body), Digest([]byte(body)) })
	if done := c.unframed(h, body, at); done || c.headOnly(h, at) {
		return false
	}
	on := c.send(h, body)
	s.log.Do(func(*record.All) { at.Whole, at.End = true, s.log.Now() })
	return c.after(req, at, string(h.bytes())+body) && on && !last
}

// unframed plays an answer that has no length.
func (c *conn) unframed(h *head, body string, at *record.Arrival) (done bool) {
	s := c.s
	switch {
	case s.faults.take(Unframed):
		s.log.Do(func(*record.All) { at.Whole, at.End = true, s.log.Now() })
		_, _ = c.Write(append(h.bytes(), body...))
	case s.faults.take(UnframedReset):
		s.log.Do(func(*record.All) { at.Broke = true })
		_, _ = c.Write(append(h.bytes(), body[:len(body)/2]...))
		c.reset()
	default:
		return false
	}
	return true
}

// headOnly plays a reset after an answer's head.
func (c *conn) headOnly(h *head, at *record.Arrival) (done bool) {
	if !c.s.faults.take(HeadOnly) {
		return false
	}
	c.s.log.Do(func(*record.All) { at.Broke = true })
	_, _ = c.Write(h.bytes())
	c.reset()
	return true
}

// stream writes an answer as events, from the one after the last that the
// client has.
func (c *conn) stream(ctx context.Context, req got, at *record.Arrival) bool {
	s := c.s
	_, out, _ := strings.Cut(req.Header.Get(wire.Tokens), ",")
	n, _ := strconv.Atoi(strings.TrimSpace(out))
	n = max(1, n)
	if c.spoil(ctx, at) {
		return false
	}
	h, last := c.success(req, at)
	h.add("Content-Type", wire.Events)
	h.add("Transfer-Encoding", "chunked")
	if c.headOnly(h, at) {
		return false
	}
	b := h.bytes()
	again := string(b) + "0\r\n\r\n"
	if c.late != nil {
		b, c.late = append(c.late, b...), nil
	}
	cut := -1
	if s.faults.take(Break) {
		cut = (at.After + n) / 2
	}
	step := s.Step
	if s.faults.take(Slow) {
		step *= 20
	}
	for k := at.After + 1; k <= n; k++ {
		if !pause(ctx, step) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d/%d %s\n\n", k, at.Run, k, n, Text(at.Attempt, at.Run, k))
		if k == cut {
			s.log.Do(func(*record.All) { at.Broke = true })
			_, _ = c.Write(append(b, fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2])...))
			c.reset()
			return false
		}
		s.log.Do(func(*record.All) { at.Pieces = append(at.Pieces, record.Piece{ID: k, Run: at.Run}) })
		if _, err := c.Write(append(b, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)...)); err != nil {
			return false
		}
		b = nil
	}
	if _, err := c.Write(append(b, "0\r\n\r\n"...)); err != nil {
		return false
	}
	s.log.Do(func(*record.All) { at.Whole, at.Last, at.End = true, true, s.log.Now() })
	return c.after(req, at, again) && !last && !strings.Contains(strings.Join(h.lines, "\n"), "Connection: close")
}
