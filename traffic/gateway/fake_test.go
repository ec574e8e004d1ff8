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

// fake are servers by script: each call takes the next line of it.
type fake struct {
	mu    sync.Mutex
	calls []string
	freed []string
	read  func(n int, m forward.Decision) forward.Outcome
	write func(n int, ctx context.Context, m forward.Decision, last string) (Answer, forward.Outcome)
}

func (f *fake) note(what string) int {
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

func (f *fake) Prefill(_ context.Context, q *Request, _ forward.Request, m forward.Decision, may func() bool) (forward.Handle, forward.Outcome, string) {
	if !may() {
		return forward.Handle{}, forward.Blocked, "barred"
	}
	n := f.note("read")
	return forward.Handle{ID: fmt.Sprint("h", n), RequestID: q.ID, Attempt: m.Attempt, Server: m.Server, Tokens: q.InputTokens}, f.read(n, m), "by script"
}

func (f *fake) Decode(ctx context.Context, _ *Request, _ forward.Request, m forward.Decision, last string, may func() bool) (Answer, forward.Outcome, string) {
	if !may() {
		return nil, forward.Blocked, "barred"
	}
	what := "write"
	if m.Handle != nil {
		what += " " + m.Handle.ID
	}
	if last != "" {
		what += " after " + last
	}
	a, out := f.write(f.note(what), ctx, m, last)
	return a, out, "by script"
}

func (f *fake) ReleaseHandle(h forward.Handle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, h.ID)
}

func (f *fake) OnLoad(func(string, string, forward.Load)) {}

// piece is an event with its id, or bytes without one.
type piece struct{ id, text string }

// script is an answer by script; err is how it ends, none: whole.
type script struct {
	status int
	kind   string
	pieces []piece
	err    error
	closed bool
}

func (a *script) Status() int { return a.status }

func (a *script) Header() http.Header { return http.Header{"Content-Type": {a.kind}, "Seal": {"s"}} }

func (a *script) Close() { a.closed = true }

func (a *script) Next() ([]byte, string, error) {
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

// events is a stream of the events from one number to another.
func events(from, to int, err error) *script {
	a := &script{status: 200, kind: eventStream, err: err}
	for i := from; i <= to; i++ {
		a.pieces = append(a.pieces, piece{fmt.Sprint(i), fmt.Sprint(i, ";")})
	}
	return a
}

// ears take what a client gets.
type ears struct {
	log  []string
	deaf int // nothing is taken after so many pieces; 0: all is
	then func(n int)
	full bool          // nothing is read: what is passed on waits
	late chan struct{} // closed when what is passed on may wait no longer
	left time.Duration // that it was told
}

func (e *ears) Within(left time.Duration) {
	if e.left = left; e.full {
		time.AfterFunc(left, func() { close(e.late) })
	}
}

func (e *ears) add(how string, args ...any) { e.log = append(e.log, fmt.Sprintf(how, args...)) }

func (e *ears) Begin(status int, _ http.Header) { e.add("head %d", status) }

func (e *ears) Fail(status int, _ string) { e.add("fail %d", status) }

func (e *ears) Break() { e.add("break") }

func (e *ears) Pass(b []byte) bool {
	e.add("%s", b)
	if e.then != nil {
		e.then(len(e.log) - 1)
	}
	if e.full {
		<-e.late
		return false
	}
	return e.deaf == 0 || len(e.log) <= e.deaf
}

func (e *ears) Refuse(status int, back time.Duration, _ string) {
	if e.add("refuse %d", status); back <= 0 || back > 5*time.Second {
		e.add("to come back after %v", back)
	}
}
