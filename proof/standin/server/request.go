package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// handle answers one request; it tells whether the connection may go on.
func (c *conn) handle(ctx context.Context, req got) bool {
	s := c.s
	switch path := req.URL.Path; {
	case path == s.Health && req.Method == http.MethodGet && req.Header.Get(wire.Attempt) == "":
		return c.health(req)
	case path == wire.ReportPath:
		b, err := json.Marshal(s.report())
		if err != nil {
			panic(err) // our own shape always packs
		}
		return c.send(c.head(http.StatusOK, req), string(b))
	case path == wire.OrderPath && req.Method == http.MethodPost:
		return c.ordered(req)
	case strings.HasPrefix(path, wire.HandlePath) && req.Method == http.MethodDelete:
		status := http.StatusNotFound
		if _, ok := s.grab(strings.TrimPrefix(path, wire.HandlePath)); ok {
			status = http.StatusOK
		}
		return c.send(c.head(status, req), "")
	}
	at := c.arrival(req)
	on := c.work(ctx, req, at)
	s.log.Do(func(*record.All) {
		if at.End == 0 {
			at.End = s.log.Now()
		}
	})
	return on
}

// arrival writes a request down.
func (c *conn) arrival(req got) *record.Arrival {
	s := c.s
	at := &record.Arrival{
		At: s.log.Now(), Server: s.ID, Service: s.Service, Zone: s.Zone, Attempt: req.Header.Get(wire.Attempt), Host: req.Host, Target: req.RequestURI,
		Method: req.Method, Body: Digest(req.body), Reading: req.Header.Get(wire.Stage) == wire.Reading, Memory: req.Header.Get(wire.Memory),
		Prompt: req.Header.Get(wire.Model) + " " + req.Header.Get(wire.Tokens) + " " + req.Header.Get(wire.Prefix),
		Tenant: req.Header.Get(wire.Tenant), Key: req.Header.Get(wire.Key),
	}
	at.After, _ = strconv.Atoi(req.Header.Get(wire.LastEvent))
	s.log.Do(func(a *record.All) { a.Arrivals = append(a.Arrivals, at) })
	return at
}

func (c *conn) health(req got) bool {
	s := c.s
	s.mu.Lock()
	status := http.StatusOK
	if s.draining {
		status = http.StatusServiceUnavailable
	}
	s.mu.Unlock()
	h := c.head(status, req)
	h.add(wire.ServedBy, s.ID)
	if left := s.Life.ColdUntil - s.log.Now(); left > 0 {
		h.add(wire.ColdMs, left.Milliseconds())
	}
	return c.send(h, "")
}

// away turns a request away: it has not run here and never will.
func (c *conn) away(req got, at *record.Arrival, status int, out, why string) bool {
	h := c.head(status, req)
	h.add(wire.NotRun, why)
	c.s.log.Do(func(*record.All) { at.Out, at.Why, at.Status, at.End = out, why, status, c.s.log.Now() })
	return c.send(h, "")
}

// work takes a request up, or turns it away.
func (c *conn) work(ctx context.Context, req got, at *record.Arrival) bool {
	s := c.s
	s.mu.Lock()
	phase, busy := s.phase, s.orders.busy
	s.mu.Unlock()
	want := req.Header.Get(wire.Expect)
	switch {
	case want != "" && want != s.ID:
		return c.away(req, at, http.StatusMisdirectedRequest, record.Other, "another server")
	case at.Attempt == "":
		return c.away(req, at, http.StatusBadRequest, record.Away, "no id")
	case at.Reading != (phase == wire.Reading):
		return c.away(req, at, http.StatusMisdirectedRequest, record.Other, "another part")
	case busy:
		return c.away(req, at, http.StatusServiceUnavailable, record.Away, "an order is under way")
	case s.faults.take(Full):
		return c.away(req, at, http.StatusServiceUnavailable, record.Away, "full")
	}
	// It ends work at the value that it is handed.
	if ms, err := strconv.ParseFloat(req.Header.Get(wire.TimeLeft), 64); err == nil {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer done()
	}
	place := s.slots
	if at.Reading {
		place = s.reader
	}
	leave, ok := s.enter(ctx, place)
	if !ok {
		return c.away(req, at, http.StatusServiceUnavailable, record.Away, "full")
	}
	defer leave()
	if at.Reading {
		return c.readPrompt(ctx, req, at)
	}
	return c.run(ctx, req, at)
}

// readPrompt reads a prompt and keeps it under a handle.
func (c *conn) readPrompt(ctx context.Context, req got, at *record.Arrival) bool {
	s := c.s
	parts := parse(req.Header.Get(wire.Prefix))
	s.log.Do(func(*record.All) { at.Out = record.Read })
	if !pause(ctx, time.Duration(float64(s.unread(parts))/s.Pace*float64(time.Millisecond))) {
		return false
	}
	s.keep(parts, s.Memory)
	if s.faults.take(Silent) {
		s.log.Do(func(*record.All) { at.Broke = true })
		<-ctx.Done()
		return false
	}
	if s.faults.take(Garble) {
		s.log.Do(func(*record.All) { at.Broke = true })
		_, _ = c.Write([]byte("\x16\x03\x01 no answer\r\n\r\n"))
		return false
	}
	in, _, _ := strings.Cut(req.Header.Get(wire.Tokens), ",")
	n, _ := strconv.Atoi(in)
	b, err := json.Marshal(wire.Handle{ID: s.hold(at.Attempt, parts, n), Tokens: n, Version: 1})
	if err != nil {
		panic(err) // our own shape always packs
	}
	h := c.head(http.StatusOK, req)
	h.add("Content-Type", "application/json")
	if s.faults.take(Reset) {
		s.log.Do(func(*record.All) { at.Broke = true })
		c.reset()
		return false
	}
	on := c.send(h, string(b))
	s.log.Do(func(*record.All) { at.Whole, at.Status = on, http.StatusOK })
	return c.after(req, at, string(h.bytes())+string(b)) && on
}

// fetch takes up the memory that a request comes with; none is nothing to do.
func (c *conn) fetch(ctx context.Context, at *record.Arrival, parts []part) bool {
	s := c.s
	addr, id, _ := strings.Cut(at.Memory, "/")
	from := s.peers.find(addr)
	if from == nil {
		return false
	}
	h, ok := from.grab(id)
	if !ok {
		return false
	}
	s.log.Do(func(*record.All) { at.HandleOf = h.forTry })
	bits := float64(h.tokens) * float64(s.TokenBytes) * 8
	took := time.Duration(bits / (max(1, s.Mbps) * 1e6) * float64(time.Second))
	if from.Zone != s.Zone {
		took *= 2
	}
	if !pause(ctx, took) {
		return false
	}
	s.keep(parts, s.Memory)
	return true
}

// run has the prompt, or reads it, and writes the answer.
func (c *conn) run(ctx context.Context, req got, at *record.Arrival) bool {
	s := c.s
	parts := parse(req.Header.Get(wire.Prefix))
	if at.Memory != "" {
		if !c.fetch(ctx, at, parts) {
			return c.away(req, at, http.StatusServiceUnavailable, record.Away, "memory can't be had")
		}
	} else if n := s.unread(parts); n > 0 && s.Pace > 0 {
		select {
		case s.reader <- struct{}{}:
		case <-ctx.Done():
			return c.away(req, at, http.StatusServiceUnavailable, record.Away, "no time")
		}
		ok := pause(ctx, time.Duration(float64(n)/(s.Pace/2)*float64(time.Millisecond)))
		<-s.reader
		if !ok {
			return c.away(req, at, http.StatusServiceUnavailable, record.Away, "no time")
		}
		s.keep(parts, s.Memory)
	}
	s.mu.Lock()
	s.runs++
	run := fmt.Sprintf("%s.%d", s.ID, s.runs)
	s.mu.Unlock()
	s.log.Do(func(*record.All) { at.Out, at.Run, at.Seal, at.Status = record.Ran, run, "s."+run, http.StatusOK })
	if parts != nil {
		return c.stream(ctx, req, at)
	}
	return c.answer(ctx, req, at)
}
