// Package serverpool speaks to the model servers over HTTP and has the types of
// what is said; its index knows which prefill servers hold which prefixes.
package serverpool

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"mulleinmast/control/placement"
)

// Bounds of what is read of a server's answers, in bytes.
const (
	maxErrorBytes  = 4 << 10
	maxHandleBytes = 1 << 16
	maxUsageBytes  = 1 << 20
	streamBuffer   = 16 << 10
)

const (
	maxIdlePerServer = 64
	idleTimeout      = 30 * time.Second
)

// Outcome is how a call to a server went.
type Outcome uint8

// The outcomes.
const (
	OK         Outcome = iota
	NotSent            // nothing reached the server
	Refused            // the server did not and will not run it
	HandleLost         // it did not run it: the KV cache can't be had, or isn't this request's
	Lost               // sent, and no whole answer
	Blocked            // not sent: maySend said no
)

// The results by which a server says that it has not run a request.
const (
	resultRefused    = "shed"
	resultHandleLost = "lapsed"
)

// Client makes the calls to servers.
type Client struct {
	http *http.Client
}

// NewClient makes a client with a connection pool of its own.
//
// Example: c := serverpool.NewClient(300 * time.Millisecond)
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// errBlocked stops a call that may not be made any more just before its first byte.
var errBlocked = errors.New("its record or lease lapsed before it was sent")

// checkedBody asks once more, when its first byte is about to go out, whether
// the call may still be made. A server that got no whole body runs nothing.
type checkedBody struct {
	body    *bytes.Reader
	maySend func() bool // nil: it may
}

// Read is for net/http.
//
// Example: n, err := body.Read(buf)
func (c checkedBody) Read(b []byte) (int, error) {
	nothingSent := c.body.Len() == int(c.body.Size())
	if nothingSent && c.maySend != nil && !c.maySend() {
		return 0, errBlocked
	}
	return c.body.Read(b)
}

// post makes a call. Its answer's body is the caller's to close if the outcome is OK.
func (c *Client) post(
	ctx context.Context, url string, call any, maySend func() bool,
) (answer *http.Response, outcome Outcome, why string) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, checkedBody{bytes.NewReader(body), maySend})
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	// A POST with no GetBody is never sent twice by the library on its own.
	req.GetBody = nil
	answer, err = c.http.Do(req)
	if err != nil {
		outcome, why = outcomeOf(err)
		return nil, outcome, why
	}
	if answer.StatusCode != http.StatusOK {
		outcome, why = rejection(answer)
		return nil, outcome, why
	}
	return answer, OK, ""
}

// outcomeOf is the outcome of a call that ended by an error.
func outcomeOf(err error) (Outcome, string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotSent, "no connection"
	}
	if errors.Is(err, errBlocked) {
		return Blocked, errBlocked.Error()
	}
	return Lost, err.Error()
}

// rejection reads an answer other than OK, and closes it. The request has not run only if
// the server says so.
func rejection(answer *http.Response) (Outcome, string) {
	body, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	_ = answer.Body.Close()
	var said struct {
		Result string `json:"result"`
		Why    string `json:"why"`
	}
	_ = json.Unmarshal(body, &said)
	switch said.Result {
	case resultRefused:
		return Refused, said.Why
	case resultHandleLost:
		return HandleLost, said.Why
	}
	return Lost, fmt.Sprintf("status %d", answer.StatusCode)
}

// Prefill has a prefill server read the prompt.
//
// Example: handle, outcome, why := c.Prefill(ctx, "127.0.0.1:9000", call, maySend)
func (c *Client) Prefill(
	ctx context.Context, addr string, call PrefillRequest, maySend func() bool,
) (handle Handle, outcome Outcome, why string) {
	answer, outcome, why := c.post(ctx, "http://"+addr+"/prefill", call, maySend)
	if outcome != OK {
		return handle, outcome, why
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxHandleBytes)).Decode(&handle); err != nil {
		return handle, Lost, err.Error()
	}
	return handle, OK, ""
}

// Decode has a decode server take up the KV cache and stream the answer.
//
// Example: stream, outcome, why := c.Decode(ctx, "127.0.0.1:9001", call, maySend)
func (c *Client) Decode(
	ctx context.Context, addr string, call DecodeRequest, maySend func() bool,
) (*Stream, Outcome, string) {
	answer, outcome, why := c.post(ctx, "http://"+addr+"/decode", call, maySend)
	if outcome != OK {
		return nil, outcome, why
	}
	return &Stream{body: answer.Body, reader: bufio.NewReaderSize(answer.Body, streamBuffer)}, OK, ""
}

// Stream is an answer under way.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// Next reads one piece.
//
// Example: piece, err := stream.Next()
func (s *Stream) Next() (p Piece, err error) {
	line, err := s.reader.ReadBytes('\n')
	if err != nil {
		return p, fmt.Errorf("stream broke off: %w", err)
	}
	return parsePiece(line)
}

func parsePiece(line []byte) (p Piece, err error) {
	err = json.Unmarshal(line, &p)
	return p, err
}

// Close ends the stream.
//
// Example: defer stream.Close()
func (s *Stream) Close() { _ = s.body.Close() }

// Usage asks a server for its load.
//
// Example: usage, err := c.Usage(ctx, "127.0.0.1:9000")
func (c *Client) Usage(ctx context.Context, addr string) (usage placement.Usage, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/usage", nil)
	if err != nil {
		return usage, err
	}
	answer, err := c.http.Do(req)
	if err != nil {
		return usage, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return usage, fmt.Errorf("status %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxUsageBytes)).Decode(&usage)
	return usage, err
}

// Order gives a server its role.
//
// Example: err := c.Order(ctx, order, holder, stillLeader)
func (c *Client) Order(ctx context.Context, order placement.Order, holder string, maySend func() bool) error {
	answer, outcome, why := c.post(ctx, "http://"+order.Addr+"/order", struct {
		placement.Order
		Holder string `json:"holder"`
	}{order, holder}, maySend)
	if outcome != OK {
		return errors.New(why)
	}
	return answer.Body.Close()
}
