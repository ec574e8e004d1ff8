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

// stream is the HTTP side of one request: decisions come in, calls go out. What is not
// guarded belongs to the handler's goroutine, or doesn't change.
type stream struct {
	api        *API
	dispatcher *dispatcher
	request    scheduler.Request
	ctx        context.Context // ends with the client, or with its answer
	writer     http.ResponseWriter
	control    *http.ResponseController

	piecesWritten int
	wake          chan struct{} // there are decisions
	ahead         chan struct{} // holds one element a piece that came and was not written

	mu        sync.Mutex // guards all below
	decisions []scheduler.Decision
	calls     map[int]context.CancelFunc // by attempt
}

// put adds a decision; it never waits.
func (s *stream) put(m scheduler.Decision) {
	s.mu.Lock()
	s.decisions = append(s.decisions, m)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeDecisions fetches the decisions that were put since the last time.
func (s *stream) takeDecisions() []scheduler.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// unblock ends a write that the client doesn't take.
func (s *stream) unblock() { _ = s.control.SetWriteDeadline(time.Unix(1, 0)) }

// serve sees a request through to its answer.
func (a *API) serve(w http.ResponseWriter, httpRequest *http.Request, d *dispatcher, request scheduler.Request) {
	ctx, cancel := context.WithCancel(httpRequest.Context())
	defer cancel()
	s := &stream{
		api: a, dispatcher: d, request: request, ctx: ctx, writer: w, control: http.NewResponseController(w),
		wake: make(chan struct{}, 1), ahead: make(chan struct{}, Config(a.daemon.Cfg).MaxPiecesAhead),
		calls: map[int]context.CancelFunc{},
	}
	w.Header().Set("X-Request", request.ID)
	// Whatever is decided, no write outlives the deadline by much.
	left := request.Deadline - a.daemon.Now() + a.daemon.Cfg.Bounds.Plan
	_ = s.control.SetWriteDeadline(time.Now().Add(left))
	defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }() // the connection may carry another request
	d.addStream(s)
	s.step(func(now time.Duration) scheduler.Out { return d.Start(now, request) })
	s.carryOut()
}

// step runs one input through the dispatcher.
func (s *stream) step(input func(now time.Duration) scheduler.Out) { s.api.step(s.dispatcher, input) }

// carryOut carries decisions out until the request is answered.
func (s *stream) carryOut() {
	clientGone := s.ctx.Done()
	for {
		select {
		case <-s.wake:
		case <-clientGone:
			clientGone = nil
			s.step(func(now time.Duration) scheduler.Out { return s.dispatcher.ClientGone(now, s.request.ID) })
		}
		for _, m := range s.takeDecisions() {
			switch m.Action {
			case scheduler.Claim:
				go s.claim(m)
			case scheduler.Prefill:
				go s.prefill(m)
			case scheduler.Decode:
				go s.decode(m)
			case scheduler.SendPiece:
				s.sendPiece(m.Piece)
			case scheduler.Respond:
				s.respond(m.Answer)
				return
			}
		}
	}
}

// sendPiece writes a piece to the client and makes place for another one.
func (s *stream) sendPiece(p serverpool.Piece) {
	if s.writePiece(p) {
		s.piecesWritten++
		s.dispatcher.piecesTaken(s.api.daemon.Now(), s.request.ID, s.piecesWritten)
	}
	select {
	case <-s.ahead:
	default:
	}
}

// writePiece writes a piece; false: the client does not take it.
func (s *stream) writePiece(p serverpool.Piece) bool {
	if s.piecesWritten == 0 {
		s.writer.Header().Set("Content-Type", "application/x-ndjson")
		s.writer.WriteHeader(http.StatusOK)
	}
	if _, err := s.writer.Write(append(leadercall.Pack(p), '\n')); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// respond ends the request. A stream that broke off is ended by an error piece
// and a cut connection, so that it can't look whole.
func (s *stream) respond(a scheduler.Answer) {
	begun := s.piecesWritten > 0
	switch {
	case a.Result == scheduler.ResultFinish:
	case a.Result == scheduler.ResultGone || begun || a.Result == scheduler.ResultBreak:
		s.abort(a, begun)
	case a.Result == scheduler.ResultDuplicate:
		daemon.Respond(s.writer, a.Status, a.Body)
	default:
		daemon.Respond(s.writer, a.Status, leadercall.Response{
			Result: a.Result, Reason: a.Reason, RetryAfterMillis: max(1, a.RetryAfter.Milliseconds()),
		})
	}
}

// abort cuts the connection.
func (s *stream) abort(a scheduler.Answer, begun bool) {
	if begun && !a.ClientStalled {
		last := serverpool.Piece{Request: s.request.ID, Number: -1, Error: a.Reason}
		_, _ = s.writer.Write(append(leadercall.Pack(last), '\n'))
		_ = s.control.Flush()
	}
	if a.Result == scheduler.ResultBreak {
		s.api.daemon.Events.Debug("stream", "broke off", "request", s.request.ID, "reason", a.Reason)
	}
	panic(http.ErrAbortHandler)
}
