// Package client is a stand-in for the platform's clients: they try again as
// the pages say, go on with streams, and check what they get.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
)

const (
	comeUp    = time.Second // for a new connection
	mostBytes = 16 << 20    // of an answer
)

// Ask is one kind of request.
type Ask struct {
	Route   wire.Route
	Weight  int
	In, Out int    // tokens; no tokens: it is no generation
	Shared  []int  // tokens of the parts that others share
	Path    string // behind the route's start
}

// line is a connection to a daemon.
type line struct {
	net.Conn
	r      *bufio.Reader
	daemon entry.Daemon
}

func dial(ctx context.Context, d entry.Daemon) (*line, error) {
	c, err := (&net.Dialer{Timeout: comeUp}).DialContext(ctx, "tcp4", d.Public)
	if err != nil {
		return nil, err
	}
	return &line{Conn: c, r: bufio.NewReader(c), daemon: d}, nil
}

// unasked tells of bytes on a connection on which no request waits; open tells
// whether it can be used again.
func (l *line) unasked() (bytes string, open bool) {
	_ = l.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := l.r.Peek(1)
	if n := l.r.Buffered(); n > 0 {
		b, _ := l.r.Peek(min(n, 64))
		return string(b), false
	}
	var timeout net.Error
	return "", errors.As(err, &timeout) && timeout.Timeout()
}

// message is a request on its way.
type message struct {
	Ask
	id         string
	host       string
	method     string
	target     string
	body       string
	chunked    bool
	parts      string
	after      int
	left       time.Duration
	extra      string // more lines of the head
	key        string // of its tenant; none: it sends none
	tenant     string // that it claims to be; none: it claims nothing
	halfCloses bool   // the client closes its side once the request is out
}

// prompt names the model, the tokens and the parts as the headers do.
func (m message) prompt() string {
	if m.In == 0 {
		return "  "
	}
	return fmt.Sprintf("m %d,%d %s", m.In, m.Out, m.parts)
}

func (m message) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", m.method, m.target, m.host, wire.Attempt, m.id, wire.TimeLeft, max(1, m.left.Milliseconds()))
	if m.In > 0 {
		fmt.Fprintf(&b, "%s: m\r\n%s: %d,%d\r\n%s: %s\r\n", wire.Model, wire.Tokens, m.In, m.Out, wire.Prefix, m.parts)
	}
	if m.after > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", wire.LastEvent, m.after)
	}
	if m.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.Key, m.key)
	}
	if m.tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.Tenant, m.tenant)
	}
	b.WriteString(m.extra)
	b.WriteString("X-Note: kept\r\nCookie: a=1\r\n")
	if m.chunked {
		half := len(m.body) / 2
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n")
		for _, s := range []string{m.body[:half], m.body[half:]} {
			if s != "" {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(s), s)
			}
		}
		b.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
	}
	return b.String()
}

// exchange sends a request over a connection and reads its answer into the
// record; keep tells whether the connection may be used again.
func (l *line) exchange(log *record.Log, m message, t *record.Try, silence time.Duration, until time.Time) (keep bool) {
	patience := func() { _ = l.SetReadDeadline(earlier(until, time.Now().Add(silence))) }
	_ = l.SetWriteDeadline(until)
	if _, err := io.WriteString(l, m.bytes()); err != nil {
		return false
	}
	log.Do(func(*record.All) { t.Whole = log.Now() })
	if m.halfCloses {
		l.closeWrite()
	}
	patience()
	res, err := http.ReadResponse(l.r, &http.Request{Method: m.method})
	if err != nil {
		if b, _ := l.r.Peek(l.r.Buffered()); len(b) > 0 || strings.Contains(err.Error(), "malformed") {
			log.Do(func(*record.All) { t.Fault = "no answer in the protocol: " + err.Error() })
		}
		log.Do(func(*record.All) { t.GaveUp = timedOut(err) })
		return false
	}
	log.Do(func(*record.All) {
		t.Status, t.Seal, t.Echo = res.StatusCode, res.Header.Get(wire.Seal), res.Header.Get(wire.Attempt)
		t.Coded = res.Header.Get(wire.Encoding) != ""
		t.RetryIn, _ = strconv.ParseFloat(res.Header.Get(wire.RetryIn), 64)
	})
	if strings.HasPrefix(res.Header.Get("Content-Type"), wire.Events) {
		err = l.events(log, res.Body, t, patience)
	} else {
		var b []byte
		b, err = io.ReadAll(io.LimitReader(res.Body, mostBytes))
		log.Do(func(*record.All) { t.Length, t.Digest = len(b), server.Digest(b) })
	}
	log.Do(func(*record.All) { t.Complete, t.GaveUp = err == nil, timedOut(err) })
	return err == nil && !res.Close
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// events reads a stream and writes down each of its events.
func (l *line) events(log *record.Log, body io.Reader, t *record.Try, patience func()) error {
	r := bufio.NewReader(body)
	id, data, some := 0, "", false
	for {
		text, err := r.ReadString('\n')
		if err == io.EOF && text == "" && !some {
			return nil
		}
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		patience()
		switch text = strings.TrimRight(text, "\r\n"); {
		case strings.HasPrefix(text, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(text[3:]))
			some = true
		case strings.HasPrefix(text, "data:"):
			data = strings.TrimSpace(text[5:])
			some = true
		case text == "" && some:
			l.event(log, t, id, data)
			id, data, some = 0, "", false
		}
	}
}

// event checks one event by its text.
func (l *line) event(log *record.Log, t *record.Try, id int, data string) {
	f := strings.Fields(data) // run, k/n, text
	fault, last := "", false
	if len(f) != 3 {
		fault = fmt.Sprintf("event %d says %q", id, data)
	} else {
		at, of, _ := strings.Cut(f[1], "/")
		last = at == of
		if at != strconv.Itoa(id) || f[2] != server.Text(t.ID, f[0], id) {
			fault = fmt.Sprintf("event %d says %q, which no server says to %s", id, data, t.ID)
		}
	}
	log.Do(func(*record.All) {
		if fault != "" {
			t.Fault = fault
		} else {
			t.Pieces = append(t.Pieces, record.Piece{ID: id, Run: f[0]})
		}
		t.Last = last
	})
}
