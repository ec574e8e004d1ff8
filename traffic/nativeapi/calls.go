package nativeapi

import (
	"context"
	"time"

	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

// startCall makes a context for a call to a server that cancelCall may end.
func (s *stream) startCall(m scheduler.Decision) (ctx context.Context, done func()) {
	ctx, cancel := context.WithTimeout(s.ctx, m.Timeout)
	s.mu.Lock()
	s.calls[m.Attempt] = cancel
	s.mu.Unlock()
	return ctx, func() {
		cancel()
		s.mu.Lock()
		delete(s.calls, m.Attempt)
		s.mu.Unlock()
	}
}

// cancelCall ends the call of an attempt, if it is under way.
func (s *stream) cancelCall(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[attempt]; cancel != nil {
		cancel()
	}
}

// lastCheck is asked just before the first byte of a call goes out.
func (s *stream) lastCheck(m scheduler.Decision) func() bool {
	return func() bool {
		s.dispatcher.mu.Lock()
		defer s.dispatcher.mu.Unlock()
		return s.dispatcher.MaySend(s.api.daemon.Now(), m)
	}
}

// prefill calls a prefill server.
func (s *stream) prefill(m scheduler.Decision) {
	ctx, done := s.startCall(m)
	defer done()
	handle, outcome, why := s.api.client.Prefill(ctx, m.Addr, m.PrefillCall, s.lastCheck(m))
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.PrefillDone(now, m.RequestID, m.Attempt, handle, outcome, why)
	})
}

// decode calls a decode server and reads its stream.
func (s *stream) decode(m scheduler.Decision) {
	ctx, done := s.startCall(m)
	defer done()
	answer, outcome, why := s.api.client.Decode(ctx, m.Addr, m.DecodeCall, s.lastCheck(m))
	if outcome == serverpool.OK {
		defer answer.Close()
		err := s.readPieces(ctx, m, answer)
		if err == nil {
			return
		}
		outcome, why = serverpool.Lost, err.Error()
	}
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.DecodeDone(now, m.RequestID, m.Attempt, outcome, why)
	})
}

// readPieces passes a stream's pieces on, at most MaxPiecesAhead more than the client has
// taken. It returns the error that the stream broke off by: none if it came to its end or
// was canceled, which the dispatcher knows.
func (s *stream) readPieces(ctx context.Context, m scheduler.Decision, answer *serverpool.Stream) error {
	for {
		piece, err := answer.Next()
		if err != nil {
			return err
		}
		select {
		case s.ahead <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		s.step(func(now time.Duration) scheduler.Out {
			return s.dispatcher.PieceReceived(now, m.RequestID, m.Attempt, piece)
		})
		if piece.End {
			return nil
		}
	}
}

// claim claims the once key at the leader before anything is sent.
func (s *stream) claim(m scheduler.Decision) {
	d := s.api.daemon
	timeout := min(d.Cfg.Bounds.Plan, s.request.Deadline-d.Now())
	status, body := d.Call(s.api.ctx, s.dispatcher.partition, "claim", s.api.claimCall(m), timeout)
	s.step(func(now time.Duration) scheduler.Out {
		return s.dispatcher.ClaimDone(now, m.RequestID, status, body)
	})
}
