package nativeapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

// stream is the HTTP side of one request: it executes the dispatcher's decisions. Fields that mu doesn't guard
// are used only by the handler's goroutine or don't change.
type stream struct {
	api        *API
	dispatcher *dispatcher
	request    scheduler.Request
	ctx        context.Context // canceled when the client disconnects or has been answered
	writer     http.ResponseWriter
	controller *http.ResponseController

	piecesWritten int
	wake          chan struct{} // signals that there are decisions
	unwritten     chan struct{} // holds one element per piece that was received and not yet written

	mu        sync.Mutex // guards the fields below
	decisions []scheduler.Decision
	calls     map[int]context.CancelFunc // by attempt
}

// enqueue adds a decision. It never blocks.
func (s *stream) enqueue(decision scheduler.Decision) {
	s.mu.Lock()
	s.decisions = append(s.decisions, decision)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeDecisions removes and returns the queued decisions.
func (s *stream) takeDecisions() []scheduler.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// abortWrite aborts a write that blocks because the client takes no data.
func (s *stream) abortWrite() { _ = s.controller.SetWriteDeadline(time.Unix(1, 0)) }

// serve handles an admitted request until it is answered.
func (a *API) serve(w http.ResponseWriter, httpRequest *http.Request, d *dispatcher, request scheduler.Request) {
	ctx, cancel := context.WithCancel(httpRequest.Context())
	defer cancel()
	s := &stream{
		api: a, dispatcher: d, request: request, ctx: ctx, writer: w, controller: http.NewResponseController(w),
		wake: make(chan struct{}, 1), unwritten: make(chan struct{}, Config(a.daemon.Cfg).MaxPiecesAhead),
		calls: map[int]context.CancelFunc{},
	}
	w.Header().Set("X-Request", request.ID)
	// All writes end by the plan bound after the request's deadline, regardless of the dispatcher's decisions.
	writeTimeout := request.Deadline - a.daemon.Now() + a.daemon.Cfg.Bounds.Plan
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = s.controller.SetWriteDeadline(time.Time{}) }() // the connection may be reused for another request
	d.addStream(s)
	s.step(func(now time.Duration) scheduler.Out { return d.Start(now, request) })
	s.executeDecisions()
}

// step applies one input to the dispatcher.
func (s *stream) step(input func(now time.Duration) scheduler.Out) { s.api.step(s.dispatcher, input) }

// executeDecisions executes decisions until the request is answered.
func (s *stream) executeDecisions() {
	clientGone := s.ctx.Done()
	for {
		select {
		case <-s.wake:
		case <-clientGone:
			clientGone = nil
			s.step(func(now time.Duration) scheduler.Out { return s.dispatcher.ClientGone(now, s.request.ID) })
		}
		for _, decision := range s.takeDecisions() {
			switch decision.Action {
			case scheduler.Claim:
				go s.claim(decision)
			case scheduler.Prefill:
				go s.prefill(decision)
			case scheduler.Decode:
				go s.decode(decision)
			case scheduler.SendPiece:
				s.sendPiece(decision.Piece)
			case scheduler.Respond:
				s.respond(decision.Answer)
				return
			}
		}
	}
}

// sendPiece writes a piece to the client and lets readPieces read another one.
func (s *stream) sendPiece(p serverpool.Piece) {
	if s.writePiece(p) {
		s.piecesWritten++
		s.dispatcher.piecesTaken(s.api.daemon.Now(), s.request.ID, s.piecesWritten)
	}
	select {
	case <-s.unwritten:
	default:
	}
}

// writePiece writes a piece and reports whether that succeeded.
func (s *stream) writePiece(p serverpool.Piece) bool {
	if s.piecesWritten == 0 {
		s.writer.Header().Set("Content-Type", "application/x-ndjson")
		s.writer.WriteHeader(http.StatusOK)
	}
	if _, err := s.writer.Write(append(leadercall.MustMarshal(p), '\n')); err != nil {
		return false
	}
	return s.controller.Flush() == nil
}

// respond answers the request. A stream that broke off ends with an error piece and a closed connection, so
// that the client can't mistake it for a complete one.
func (s *stream) respond(a scheduler.Answer) {
	started := s.piecesWritten > 0
	switch {
	case a.Result == scheduler.ResultFinish:
	case a.Result == scheduler.ResultGone || started || a.Result == scheduler.ResultBreak:
		s.abort(a, started)
	case a.Result == scheduler.ResultDuplicate:
		daemon.Respond(s.writer, a.Status, a.Body)
	default:
		daemon.Respond(s.writer, a.Status, leadercall.Response{
			Result: a.Result, Reason: a.Reason, RetryAfterMillis: max(1, a.RetryAfter.Milliseconds()),
		})
	}
}

// abort closes the connection, after an error piece if a stream had started and the client still takes data.
func (s *stream) abort(a scheduler.Answer, started bool) {
	if started && !a.ClientStalled {
		last := serverpool.Piece{Request: s.request.ID, Number: -1, Error: a.Reason}
		_, _ = s.writer.Write(append(leadercall.MustMarshal(last), '\n'))
		_ = s.controller.Flush()
	}
	if a.Result == scheduler.ResultBreak {
		s.api.daemon.Events.Debug("stream", "stream aborted before its end", "request", s.request.ID, "reason", a.Reason)
	}
	panic(http.ErrAbortHandler)
}
