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

// handle answers one request and reports whether the connection may be reused.
func (c *conn) handle(ctx context.Context, req request) bool {
	s := c.s
	switch path := req.URL.Path; {
	case path == s.Health && req.Method == http.MethodGet && req.Header.Get(wire.Attempt) == "":
		return c.health(req)
	case path == wire.ReportPath:
		b, err := json.Marshal(s.report())
		if err != nil {
			panic(err) // the wire types always marshal
		}
		return c.send(c.head(http.StatusOK, req), string(b))
	case path == wire.OrderPath && req.Method == http.MethodPost:
		return c.handleOrder(req)
	case strings.HasPrefix(path, wire.HandlePath) && req.Method == http.MethodDelete:
		status := http.StatusNotFound
		if _, ok := s.takeHandle(strings.TrimPrefix(path, wire.HandlePath)); ok {
			status = http.StatusOK
		}
		return c.send(c.head(status, req), "")
	}
	arrival := c.recordArrival(req)
	reusable := c.serveRequest(ctx, req, arrival)
	s.log.Do(func(*record.All) {
		if arrival.End == 0 {
			arrival.End = s.log.Now()
		}
	})
	return reusable
}

// recordArrival records a request.
func (c *conn) recordArrival(req request) *record.Arrival {
	s := c.s
	arrival := &record.Arrival{
		At: s.log.Now(), Server: s.ID, Service: s.Service, Zone: s.Zone, Attempt: req.Header.Get(wire.Attempt), Host: req.Host, Target: req.RequestURI,
		Method: req.Method, Body: Digest(req.body), Reading: req.Header.Get(wire.Stage) == wire.Prefill, Memory: req.Header.Get(wire.Memory),
		Prompt: req.Header.Get(wire.Model) + " " + req.Header.Get(wire.Tokens) + " " + req.Header.Get(wire.Prefix),
		Tenant: req.Header.Get(wire.Tenant), Key: req.Header.Get(wire.Key),
	}
	arrival.After, _ = strconv.Atoi(req.Header.Get(wire.LastEvent))
	s.log.Do(func(a *record.All) { a.Arrivals = append(a.Arrivals, arrival) })
	return arrival
}

func (c *conn) health(req request) bool {
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

// refuse refuses a request with the guarantee that it has not run here and never will.
func (c *conn) refuse(req request, arrival *record.Arrival, status int, out, why string) bool {
	h := c.head(status, req)
	h.add(wire.NotRun, why)
	c.s.log.Do(func(*record.All) {
		arrival.Out, arrival.Why, arrival.Status, arrival.End = out, why, status, c.s.log.Now()
	})
	return c.send(h, "")
}

// serveRequest processes a request or refuses it.
func (c *conn) serveRequest(ctx context.Context, req request, arrival *record.Arrival) bool {
	s := c.s
	s.mu.Lock()
	phase, busy := s.phase, s.orderState.busy
	s.mu.Unlock()
	expected := req.Header.Get(wire.Expect)
	switch {
	case expected != "" && expected != s.ID:
		return c.refuse(req, arrival, http.StatusMisdirectedRequest, record.Misdirected, "another server")
	case arrival.Attempt == "":
		return c.refuse(req, arrival, http.StatusBadRequest, record.Refused, "no id")
	case arrival.Reading != (phase == wire.Prefill):
		return c.refuse(req, arrival, http.StatusMisdirectedRequest, record.Misdirected, "another part")
	case busy:
		return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "an order is under way")
	case s.faults.take(Full):
		return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "full")
	}
	// The request's remaining time limits the work on it.
	if ms, err := strconv.ParseFloat(req.Header.Get(wire.TimeLeft), 64); err == nil {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer done()
	}
	slot := s.slots
	if arrival.Reading {
		slot = s.prefillSlot
	}
	release, ok := s.acquire(ctx, slot)
	if !ok {
		return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "full")
	}
	defer release()
	if arrival.Reading {
		return c.prefill(ctx, req, arrival)
	}
	return c.generate(ctx, req, arrival)
}

// prefill prefills a prompt and answers with a handle to its KV cache.
func (c *conn) prefill(ctx context.Context, req request, arrival *record.Arrival) bool {
	s := c.s
	parts := parseParts(req.Header.Get(wire.Prefix))
	s.log.Do(func(*record.All) { arrival.Out = record.Prefilled })
	if !sleep(ctx, time.Duration(float64(s.uncachedTokens(parts))/s.PrefillRate*float64(time.Millisecond))) {
		return false
	}
	s.cacheParts(parts, s.Memory)
	if s.faults.take(Silent) {
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		<-ctx.Done()
		return false
	}
	if s.faults.take(Garble) {
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		_, _ = c.Write([]byte("\x16\x03\x01 no answer\r\n\r\n"))
		return false
	}
	in, _, _ := strings.Cut(req.Header.Get(wire.Tokens), ",")
	n, _ := strconv.Atoi(in)
	b, err := json.Marshal(wire.Handle{ID: s.createHandle(arrival.Attempt, parts, n), Tokens: n, Version: 1})
	if err != nil {
		panic(err) // the wire types always marshal
	}
	h := c.head(http.StatusOK, req)
	h.add("Content-Type", "application/json")
	if s.faults.take(Reset) {
		s.log.Do(func(*record.All) { arrival.FaultInjected = true })
		c.reset()
		return false
	}
	reusable := c.send(h, string(b))
	s.log.Do(func(*record.All) { arrival.Complete, arrival.Status = reusable, http.StatusOK })
	return c.injectTrailingFault(req, arrival, string(h.bytes())+string(b)) && reusable
}

// fetchPrompt transfers the KV cache that a request refers to. It reports false if that
// is not available.
func (c *conn) fetchPrompt(ctx context.Context, arrival *record.Arrival, parts []promptPart) bool {
	s := c.s
	addr, id, _ := strings.Cut(arrival.Memory, "/")
	source := s.peers.find(addr)
	if source == nil {
		return false
	}
	h, ok := source.takeHandle(id)
	if !ok {
		return false
	}
	s.log.Do(func(*record.All) { arrival.HandleOf = h.attemptID })
	bits := float64(h.tokens) * float64(s.TokenBytes) * 8
	transferTime := time.Duration(bits / (max(1, s.Mbps) * 1e6) * float64(time.Second))
	if source.Zone != s.Zone {
		transferTime *= 2
	}
	if !sleep(ctx, transferTime) {
		return false
	}
	s.cacheParts(parts, s.Memory)
	return true
}

// generate fetches or prefills the prompt and writes the answer.
func (c *conn) generate(ctx context.Context, req request, arrival *record.Arrival) bool {
	s := c.s
	parts := parseParts(req.Header.Get(wire.Prefix))
	if arrival.Memory != "" {
		if !c.fetchPrompt(ctx, arrival, parts) {
			return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "memory can't be had")
		}
	} else if n := s.uncachedTokens(parts); n > 0 && s.PrefillRate > 0 {
		select {
		case s.prefillSlot <- struct{}{}:
		case <-ctx.Done():
			return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "no time")
		}
		ok := sleep(ctx, time.Duration(float64(n)/(s.PrefillRate/2)*float64(time.Millisecond)))
		<-s.prefillSlot
		if !ok {
			return c.refuse(req, arrival, http.StatusServiceUnavailable, record.Refused, "no time")
		}
		s.cacheParts(parts, s.Memory)
	}
	s.mu.Lock()
	s.runs++
	run := fmt.Sprintf("%s.%d", s.ID, s.runs)
	s.mu.Unlock()
	s.log.Do(func(*record.All) {
		arrival.Out, arrival.Run, arrival.Seal, arrival.Status = record.Ran, run, "s."+run, http.StatusOK
	})
	if parts != nil {
		return c.stream(ctx, req, arrival)
	}
	return c.answer(ctx, req, arrival)
}
