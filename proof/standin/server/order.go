package server

import (
	"encoding/json"
	"net/http"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// orderState is the state of phase orders; it does not survive a restart.
type orderState struct {
	busy         bool
	calls        int
	highestFence int64
	fences       map[string]int64 // fence number by holder
}

// applyOrder executes an order and returns the status for its answer.
func (s *Server) applyOrder(body []byte) (status int, o wire.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch err := json.Unmarshal(body, &o); {
	case err != nil || o.Holder == "" || o.Fence == nil:
		return http.StatusBadRequest, o
	case o.Operation != "phase" || o.Phase != wire.Prefill && o.Phase != wire.Decode || s.phase == "":
		return http.StatusBadRequest, o
	case s.ChecksFence && *o.Fence < s.orderState.highestFence:
		return http.StatusPreconditionFailed, o
	}
	s.orderState.highestFence = max(s.orderState.highestFence, *o.Fence)
	switch {
	case s.orderState.busy || o.Expected != nil && *o.Expected != s.orderState.calls:
		return http.StatusConflict, o
	case o.Phase == s.phase:
		return http.StatusOK, o
	}
	s.orderState.busy = true
	s.orderState.calls++
	s.wg.Go(func() { s.switchPhase(o.Phase) })
	return http.StatusAccepted, o
}

// switchPhase waits for running requests to finish and then changes the phase. Existing
// handles are kept.
func (s *Server) switchPhase(phase string) {
	for n := 0; n < cap(s.slots); n++ { // once all slots are acquired, nothing is running
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
	}
	select {
	case s.prefillSlot <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	ok := sleep(s.ctx, s.Switch)
	<-s.prefillSlot
	s.mu.Lock()
	if ok {
		s.phase = phase
	}
	s.orderState.busy = false
	s.mu.Unlock()
	if ok && s.Changed != nil {
		s.Changed(s)
	}
	for n := 0; n < cap(s.slots); n++ {
		<-s.slots
	}
}

// handleOrder answers an order and records it.
func (c *conn) handleOrder(req request) bool {
	s := c.s
	status := http.StatusMisdirectedRequest
	var o wire.Order
	if expected := req.Header.Get(wire.Expect); expected == "" || expected == s.ID {
		status, o = s.applyOrder(req.body)
	}
	if o.Fence != nil && o.Holder != "" {
		order := &record.Order{At: s.log.Now(), Server: s.ID, Holder: o.Holder, Fence: *o.Fence, Phase: o.Phase, Status: status}
		s.log.Do(func(a *record.All) { a.Orders = append(a.Orders, order) })
	}
	return c.send(c.head(status, req), "")
}
