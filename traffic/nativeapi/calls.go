package nativeapi

import (
	"context"
	"time"

	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

// callContext returns a context for a call to a server, which cancelCall can cancel, and a function to release it.
func (s *stream) callContext(decision scheduler.Decision) (ctx context.Context, done func()) {
	ctx, cancel := context.WithTimeout(s.ctx, decision.Timeout)
	s.mu.Lock()
	s.calls[decision.Attempt] = cancel
	s.mu.Unlock()
	return ctx, func() {
		cancel()
		s.mu.Lock()
		delete(s.calls, decision.Attempt)
		s.mu.Unlock()
	}
}

// cancelCall cancels the call of an attempt, if it is still running.
func (s *stream) cancelCall(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[attempt]; cancel != nil {
		cancel()
	}
}

// sendCheck returns a function that reports whether a call may still be sent. The client calls it just before
// the first byte goes out.
func (s *stream) sendCheck(decision scheduler.Decision) func() bool {
	return func() bool {
		s.dispatcher.mu.Lock()
		defer s.dispatcher.mu.Unlock()
		return s.dispatcher.MaySend(s.api.daemon.Now(), decision)
	}
}

// prefill calls a prefill server and reports the outcome to the dispatcher.
func (s *stream) prefill(decision scheduler.Decision) {
	ctx, done := s.callContext(decision)
	defer done()
	handle, outcome, why := s.api.client.Prefill(ctx, decision.Addr, decision.PrefillCall, s.sendCheck(decision))
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.PrefillDone(now, decision.RequestID, decision.Attempt, handle, outcome, why)
	})
}

// decode calls a decode server, reads its stream and reports the outcome to the dispatcher.
func (s *stream) decode(decision scheduler.Decision) {
	ctx, done := s.callContext(decision)
	defer done()
	answer, outcome, why := s.api.client.Decode(ctx, decision.Addr, decision.DecodeCall, s.sendCheck(decision))
	if outcome == serverpool.OK {
		defer answer.Close()
		err := s.readPieces(ctx, decision, answer)
		if err == nil {
			return
		}
		outcome, why = serverpool.Lost, err.Error()
	}
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.DecodeDone(now, decision.RequestID, decision.Attempt, outcome, why)
	})
}

// readPieces passes a stream's pieces to the dispatcher, at most MaxPiecesAhead more than the client has
// taken. It returns an error if the stream broke off. It returns nil if the stream ended or was canceled,
// because the dispatcher already knows of both cases.
func (s *stream) readPieces(ctx context.Context, decision scheduler.Decision, answer *serverpool.Stream) error {
	for {
		piece, err := answer.Next()
		if err != nil {
			return err
		}
		select {
		case s.unwritten <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		s.step(func(now time.Duration) scheduler.Out {
			return s.dispatcher.PieceReceived(now, decision.RequestID, decision.Attempt, piece)
		})
		if piece.End {
			return nil
		}
	}
}

// claim asks the leader for the once key before any server is called.
func (s *stream) claim(decision scheduler.Decision) {
	d := s.api.daemon
	timeout := min(d.Cfg.Bounds.Plan, s.request.Deadline-d.Now())
	status, body := d.Call(s.api.ctx, s.dispatcher.partition, "claim", s.api.claimBody(decision), timeout)
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.ClaimDone(now, decision.RequestID, status, body)
	})
}
