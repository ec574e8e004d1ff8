// Package serverpool is the HTTP client for model servers, with the types of its requests
// and responses, and an index of the prompt prefixes that prefill servers have cached.
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
	"mulleinmast/wire/httpresponse"
)

// Limits on how much of a server's response is read, and the stream's buffer, in bytes.
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

// Outcome is the result of a call to a server.
type Outcome uint8

// The outcomes.
const (
	OK         Outcome = iota
	NotSent            // nothing reached the server
	Refused            // the server did not and will not run the request
	HandleLost         // not run: the KV cache is not available or belongs to another request
	Lost               // sent, but no complete response was received
	Blocked            // not sent: maySend returned false
)

// Results in a server's response that mean that the server has not run the request.
const (
	resultRefused    = "shed"
	resultHandleLost = "lapsed"
)

// Client calls model servers.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
//
// Example: c := serverpool.NewClient(300 * time.Millisecond)
func NewClient(dialTimeout time.Duration) *Client {
	transport := httpresponse.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdlePerServer, idleTimeout
	transport.DisableCompression = true
	return &Client{http: &http.Client{Transport: transport}}
}

// errBlocked aborts a call that is no longer allowed when its first byte is about to be sent.
var errBlocked = errors.New("its record or lease lapsed before it was sent")

// checkedBody checks again, when its first byte is about to be sent, whether the call
// is still allowed. A server that did not receive the complete body runs nothing.
type checkedBody struct {
	body    *bytes.Reader
	maySend func() bool // nil: always allowed
}

// Read implements io.Reader for net/http.
//
// Example: n, err := body.Read(buf)
func (c checkedBody) Read(b []byte) (int, error) {
	nothingSent := c.body.Len() == int(c.body.Size())
	if nothingSent && c.maySend != nil && !c.maySend() {
		return 0, errBlocked
	}
	return c.body.Read(b)
}

// post makes a call. If the outcome is OK, the caller must close the response's body.
func (c *Client) post(
	ctx context.Context, url string, call any, maySend func() bool,
) (res *http.Response, outcome Outcome, why string) {
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
	// net/http does not retry a POST without GetBody by itself.
	req.GetBody = nil
	res, err = c.http.Do(req)
	if err != nil {
		outcome, why = outcomeFromError(err)
		return nil, outcome, why
	}
	if res.StatusCode != http.StatusOK {
		outcome, why = readRejection(res)
		return nil, outcome, why
	}
	return res, OK, ""
}

// outcomeFromError returns the outcome of a call that failed with an error.
func outcomeFromError(err error) (Outcome, string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotSent, "no connection"
	}
	if errors.Is(err, errBlocked) {
		return Blocked, errBlocked.Error()
	}
	return Lost, err.Error()
}

// readRejection reads and closes a response with a status other than 200. The request counts
// as not run only if the whole response says so.
func readRejection(res *http.Response) (Outcome, string) {
	body, err := httpresponse.ReadBody(res.Body, maxErrorBytes)
	_ = res.Body.Close()
	if err != nil {
		return Lost, fmt.Sprintf("status %d: %v", res.StatusCode, err)
	}
	var rejection struct {
		Result string `json:"result"`
		Why    string `json:"why"`
	}
	_ = json.Unmarshal(body, &rejection)
	switch rejection.Result {
	case resultRefused:
		return Refused, rejection.Why
	case resultHandleLost:
		return HandleLost, rejection.Why
	}
	return Lost, fmt.Sprintf("status %d", res.StatusCode)
}

// Prefill has a prefill server process the prompt and keep its KV cache.
//
// Example: handle, outcome, why := c.Prefill(ctx, "127.0.0.1:9000", call, maySend)
func (c *Client) Prefill(
	ctx context.Context, addr string, call PrefillRequest, maySend func() bool,
) (handle Handle, outcome Outcome, why string) {
	res, outcome, why := c.post(ctx, "http://"+addr+"/prefill", call, maySend)
	if outcome != OK {
		return handle, outcome, why
	}
	defer func() { _ = res.Body.Close() }()
	if err := httpresponse.ReadJSON(res.Body, maxHandleBytes, &handle); err != nil {
		return Handle{}, Lost, err.Error()
	}
	return handle, OK, ""
}

// Decode has a decode server fetch the KV cache and stream the answer.
//
// Example: stream, outcome, why := c.Decode(ctx, "127.0.0.1:9001", call, maySend)
func (c *Client) Decode(
	ctx context.Context, addr string, call DecodeRequest, maySend func() bool,
) (*Stream, Outcome, string) {
	res, outcome, why := c.post(ctx, "http://"+addr+"/decode", call, maySend)
	if outcome != OK {
		return nil, outcome, why
	}
	return &Stream{body: res.Body, reader: bufio.NewReaderSize(res.Body, streamBuffer)}, OK, ""
}

// Stream is an answer that is being streamed.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// Next reads the next piece.
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

// Usage fetches a server's load.
//
// Example: usage, err := c.Usage(ctx, "127.0.0.1:9000")
func (c *Client) Usage(ctx context.Context, addr string) (usage placement.Usage, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/usage", nil)
	if err != nil {
		return usage, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return usage, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return usage, fmt.Errorf("status %d", res.StatusCode)
	}
	err = httpresponse.ReadJSON(res.Body, maxUsageBytes, &usage)
	return usage, err
}

// Order assigns a server its role.
//
// Example: err := c.Order(ctx, order, holder, stillLeader)
func (c *Client) Order(ctx context.Context, order placement.Order, holder string, maySend func() bool) error {
	res, outcome, why := c.post(ctx, "http://"+order.Addr+"/order", struct {
		placement.Order
		Holder string `json:"holder"`
	}{order, holder}, maySend)
	if outcome != OK {
		return errors.New(why)
	}
	return res.Body.Close()
}
