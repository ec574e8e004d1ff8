package server

import (
	"encoding/json"
	"net/http"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// orders are what a server was told to be; a restart forgets it.
type orders struct {
	busy  bool
	calls int
	top   int64            // the highest fence seen
	seen  map[string]int64 // by holder
}

// order takes an order and tells the status of its answer.
func (s *Server) order(body []byte) (status int, o wire.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch err := json.Unmarshal(body, &o); {
	case err != nil || o.Holder == "" || o.Fence == nil:
		return http.StatusBadRequest, o
	case o.Operation != "phase" || o.Phase != wire.Reading && o.Phase != wire.Writing || s.phase == "":
		return http.StatusBadRequest, o
	case s.ChecksFence && *o.Fence < s.orders.top:
		return http.StatusPreconditionFailed, o
	}
	s.orders.top = max(s.orders.top, *o.Fence)
	switch {
	case s.orders.busy || o.Expected != nil && *o.Expected != s.orders.calls:
		return http.StatusConflict, o
	case o.Phase == s.phase:
		return http.StatusOK, o
	}
	s.orders.busy = true
	s.orders.calls++
	s.wait.Go(func() { s.shift(o.Phase) })
	return http.StatusAccepted, o
}

// shift lets what runs finish and then changes the part; its handles stay.
func (s *Server) shift(phase string) {
	for n := 0; n < cap(s.slots); n++ { // all slots free at once: nothing runs
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
	}
	select {
	case s.reader <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	ok := pause(s.ctx, s.Switch)
	<-s.reader
	s.mu.Lock()
	if ok {
		s.phase = phase
	}
	s.orders.busy = false
	s.mu.Unlock()
	if ok && s.Changed != nil {
		s.Changed(s)
	}
	for n := 0; n < cap(s.slots); n++ {
		<-s.slots
	}
}

// ordered answers an order and writes it down.
func (c *conn) ordered(req got) bool {
	s := c.s
	status := http.StatusMisdirectedRequest
	var o wire.Order
	if want := req.Header.Get(wire.Expect); want == "" || want == s.ID {
		status, o = s.order(req.body)
	}
	if o.Fence != nil && o.Holder != "" {
		at := &record.Order{At: s.log.Now(), Server: s.ID, Holder: o.Holder, Fence: *o.Fence, Phase: o.Phase, Status: status}
		s.log.Do(func(a *record.All) { a.Orders = append(a.Orders, at) })
	}
	return c.send(c.head(status, req), "")
}
