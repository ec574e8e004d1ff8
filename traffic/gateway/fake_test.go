package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulleinmast/traffic/forward"
)

// fakeEngines are model servers whose outcomes are scripted; n is the
// number of calls of the same kind so far, including this one.
type fakeEngines struct {
	mu       sync.Mutex
	calls    []string
	released []string
	prefill  func(n int, decision forward.Decision) forward.Outcome
	decode   func(n int, ctx context.Context, decision forward.Decision, last string) (Answer, forward.Outcome)
}

func (f *fakeEngines) note(what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, what)
	n := 0
	for _, c := range f.calls {
		if strings.Fields(c)[0] == strings.Fields(what)[0] {
			n++
		}
	}
	return n
}

func (f *fakeEngines) Prefill(_ context.Context, req *Request, _ forward.Request, decision forward.Decision, maySend func() bool) (forward.Handle, forward.Outcome, string) {
	if !maySend() {
		return forward.Handle{}, forward.Blocked, "barred"
	}
	n := f.note("prefill")
	return forward.Handle{ID: fmt.Sprint("h", n), RequestID: req.ID, Attempt: decision.Attempt, Server: decision.Server, Tokens: req.InputTokens}, f.prefill(n, decision), "by script"
}

func (f *fakeEngines) Decode(ctx context.Context, _ *Request, _ forward.Request, decision forward.Decision, last string, maySend func() bool) (Answer, forward.Outcome, string) {
	if !maySend() {
		return nil, forward.Blocked, "barred"
	}
	what := "decode"
	if decision.Handle != nil {
		what += " " + decision.Handle.ID
	}
	if last != "" {
		what += " after " + last
	}
	a, out := f.decode(f.note(what), ctx, decision, last)
	return a, out, "by script"
}

func (f *fakeEngines) ReleaseHandle(h forward.Handle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, h.ID)
}

func (f *fakeEngines) OnLoad(func(string, string, forward.Load)) {}

// piece is an event with its id, or bytes without an id.
type piece struct{ id, text string }

// scriptedAnswer is an answer with given pieces; err is the error at its end, or nil if it is complete.
type scriptedAnswer struct {
	status int
	kind   string
	pieces []piece
	err    error
	closed bool
}

func (a *scriptedAnswer) Status() int { return a.status }

func (a *scriptedAnswer) Header() http.Header {
	return http.Header{"Content-Type": {a.kind}, "Seal": {"s"}}
}

func (a *scriptedAnswer) Close() { a.closed = true }

func (a *scriptedAnswer) Next() ([]byte, string, error) {
	if len(a.pieces) == 0 {
		if a.err != nil {
			return nil, "", a.err
		}
		return nil, "", io.EOF
	}
	p := a.pieces[0]
	a.pieces = a.pieces[1:]
	return []byte(p.text), p.id, nil
}

// events returns a stream of events numbered from one id to another.
func events(from, to int, err error) *scriptedAnswer {
	a := &scriptedAnswer{status: 200, kind: eventStream, err: err}
	for i := from; i <= to; i++ {
		a.pieces = append(a.pieces, piece{fmt.Sprint(i), fmt.Sprint(i, ";")})
	}
	return a
}

// recordingClient records what a client receives.
type recordingClient struct {
	log          []string
	acceptPieces int // entries in the log after which writes fail; 0 means unlimited
	onPass       func(n int)
	blocked      bool          // the client reads nothing: Pass blocks
	timeUp       chan struct{} // closed at the time limit; a blocked Pass then fails
	timeLimit    time.Duration // as set by Within
}

func (e *recordingClient) Within(timeLimit time.Duration) {
	if e.timeLimit = timeLimit; e.blocked {
		time.AfterFunc(timeLimit, func() { close(e.timeUp) })
	}
}

func (e *recordingClient) add(how string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(how, args...))
}

func (e *recordingClient) Begin(status int, _ http.Header) { e.add("head %d", status) }

func (e *recordingClient) Fail(status int, _ string) { e.add("fail %d", status) }

func (e *recordingClient) Break() { e.add("break") }

func (e *recordingClient) Pass(b []byte) bool {
	e.add("%s", b)
	if e.onPass != nil {
		e.onPass(len(e.log) - 1)
	}
	if e.blocked {
		<-e.timeUp
		return false
	}
	return e.acceptPieces == 0 || len(e.log) <= e.acceptPieces
}

func (e *recordingClient) Refuse(status int, back time.Duration, _ string) {
	if e.add("refuse %d", status); back <= 0 || back > 5*time.Second {
		e.add("retry after %v", back)
	}
}
