// Package client simulates the platform's clients: they retry as the platform's
// documentation allows, resume streams, and check the answers.
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
	"mulleinmast/wire/httpresponse"
)

const (
	dialTimeout    = time.Second // for connecting to a daemon
	maxAnswerBytes = 16 << 20    // maximum size of an answer's body
)

// RequestKind describes one kind of request.
type RequestKind struct {
	Route   wire.Route
	Weight  int
	In, Out int    // prompt and output tokens; In 0: not a generation request
	Shared  []int  // token counts of the prompt parts shared with other requests
	Path    string // appended to the route's path prefix
}

// conn is a connection to a daemon.
type conn struct {
	net.Conn
	r      *bufio.Reader
	daemon entry.Daemon
}

func dial(ctx context.Context, d entry.Daemon) (*conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", d.Public)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c), daemon: d}, nil
}

// unsolicited returns bytes received on a connection with no pending request; open
// reports whether the connection can be reused.
func (c *conn) unsolicited() (bytes string, open bool) {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	if n := c.r.Buffered(); n > 0 {
		b, _ := c.r.Peek(min(n, 64))
		return string(b), false
	}
	var timeout net.Error
	return "", errors.As(err, &timeout) && timeout.Timeout()
}

// message is a request to be sent.
type message struct {
	RequestKind
	id           string
	host         string
	method       string
	target       string
	body         string
	chunked      bool
	parts        string
	lastEvent    int
	timeLeft     time.Duration
	extraHeaders string // additional header lines
	key          string // API key of its tenant; empty: none is sent
	tenant       string // value of the tenant header; empty: not set
	halfCloses   bool   // the client closes its sending side after the request
}

// prompt returns the model, token counts and prompt parts in the format of the headers.
func (m message) prompt() string {
	if m.In == 0 {
		return "  "
	}
	return fmt.Sprintf("m %d,%d %s", m.In, m.Out, m.parts)
}

func (m message) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", m.method, m.target, m.host, wire.Attempt, m.id, wire.TimeLeft, max(1, m.timeLeft.Milliseconds()))
	if m.In > 0 {
		fmt.Fprintf(&b, "%s: m\r\n%s: %d,%d\r\n%s: %s\r\n", wire.Model, wire.Tokens, m.In, m.Out, wire.Prefix, m.parts)
	}
	if m.lastEvent > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", wire.LastEvent, m.lastEvent)
	}
	if m.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.Key, m.key)
	}
	if m.tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.Tenant, m.tenant)
	}
	b.WriteString(m.extraHeaders)
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

// exchange sends a request over a connection and records the answer in t; keep
// reports whether the connection may be reused.
func (c *conn) exchange(log *record.Log, m message, t *record.Try, readTimeout time.Duration, deadline time.Time) (keep bool) {
	extendReadDeadline := func() { _ = c.SetReadDeadline(earlier(deadline, time.Now().Add(readTimeout))) }
	_ = c.SetWriteDeadline(deadline)
	if _, err := io.WriteString(c, m.bytes()); err != nil {
		return false
	}
	log.Do(func(*record.All) { t.SentFully = log.Now() })
	if m.halfCloses {
		c.closeWrite()
	}
	extendReadDeadline()
	res, err := httpresponse.Read(c.r, &http.Request{Method: m.method}, wasSent)
	if err != nil {
		if c.r.Buffered() > 0 || errors.Is(err, httpresponse.ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF) {
			log.Do(func(*record.All) { t.Fault = "no answer in the protocol: " + err.Error() })
		}
		log.Do(func(*record.All) { t.GaveUp = isTimeout(err) })
		return false
	}
	log.Do(func(*record.All) {
		t.Status, t.Seal, t.Echo = res.StatusCode, res.Header.Get(wire.Seal), res.Header.Get(wire.Attempt)
		t.Coded = res.Header.Get(wire.Encoding) != ""
		t.RetryIn, _ = strconv.ParseFloat(res.Header.Get(wire.RetryIn), 64)
	})
	if strings.HasPrefix(res.Header.Get("Content-Type"), wire.Events) {
		err = c.readEvents(log, res.Body, t, extendReadDeadline)
	} else {
		var b []byte
		b, err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		log.Do(func(*record.All) { t.Length, t.Digest = len(b), server.Digest(b) })
	}
	log.Do(func(*record.All) { t.Complete, t.GaveUp = err == nil, isTimeout(err) })
	return err == nil && !res.Close
}

// wasSent is the result of sending a request that was sent before its answer is read.
func wasSent() error { return nil }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readEvents reads an event stream and records each event.
func (c *conn) readEvents(log *record.Log, body io.Reader, t *record.Try, extendReadDeadline func()) error {
	r := bufio.NewReader(body)
	id, data, pending := 0, "", false
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" && !pending {
			return nil
		}
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		extendReadDeadline()
		switch line = strings.TrimRight(line, "\r\n"); {
		case strings.HasPrefix(line, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
			pending = true
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[5:])
			pending = true
		case line == "" && pending:
			c.checkEvent(log, t, id, data)
			id, data, pending = 0, "", false
		}
	}
}

// checkEvent checks an event's text and records it.
func (c *conn) checkEvent(log *record.Log, t *record.Try, id int, data string) {
	f := strings.Fields(data) // run, k/n, text
	fault, last := "", false
	if len(f) != 3 {
		fault = fmt.Sprintf("event %d says %q", id, data)
	} else {
		index, total, _ := strings.Cut(f[1], "/")
		last = index == total
		if index != strconv.Itoa(id) || f[2] != server.Text(t.ID, f[0], id) {
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
