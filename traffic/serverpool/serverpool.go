// Package serverpool speaks to the model servers over HTTP and knows the shapes of
// what is said; it remembers which prefill server holds which prefix.
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

// Outcome is how a call to a server went.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	NotSent
	Refused
	HandleLost
	Lost
	Blocked // not sent: its ground was gone at the last look
)

// Client makes the calls.
type Client struct {
	web *http.Client
}

// NewClient makes a caller with a connection pool of its own.
//
// Example: h := serverpool.NewClient(300 * time.Millisecond)
func NewClient(dial time.Duration) *Client {
	return &Client{web: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// errBlocked stops a request whose ground is gone just before its first byte.
var errBlocked = errors.New("its record or lease lapsed before it was sent")

// checkedBody looks once more, when the body's first byte is about to go out, whether
// the call may still be made. A server that got no whole body runs nothing.
type checkedBody struct {
	body    *bytes.Reader
	maySend func() bool
}

// Read is for net/http.
//
// Example: n, err := g.Read(buf)
func (g checkedBody) Read(b []byte) (int, error) {
	if g.body.Len() == int(g.body.Size()) && g.maySend != nil && !g.maySend() {
		return 0, errBlocked
	}
	return g.body.Read(b)
}

func (h *Client) post(ctx context.Context, url string, in any, may func() bool) (*http.Response, Outcome, string) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, checkedBody{bytes.NewReader(b), may})
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	// A POST with no GetBody is never sent twice by the library on its own.
	req.GetBody = nil
	res, err := h.web.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, NotSent, "no connection"
		}
		if errors.Is(err, errBlocked) {
			return nil, Blocked, errBlocked.Error()
		}
		return nil, Lost, err.Error()
	}
	if res.StatusCode == http.StatusOK {
		return res, OK, ""
	}
	body, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
	_ = res.Body.Close()
	var word struct {
		Result string `json:"result"`
		Why    string `json:"why"`
	}
	_ = json.Unmarshal(body, &word)
	switch word.Result {
	case "shed":
		return nil, Refused, word.Why
	case "lapsed":
		return nil, HandleLost, word.Why
	}
	return nil, Lost, fmt.Sprintf("status %d", res.StatusCode)
}

// Prefill has a prefill server read the prompt.
//
// Example: hd, out, why := h.Prefill(ctx, "127.0.0.1:9000", p, standing)
func (h *Client) Prefill(ctx context.Context, addr string, p PrefillRequest, may func() bool) (hd Handle, out Outcome, why string) {
	res, out, why := h.post(ctx, "http://"+addr+"/prefill", p, may)
	if out != OK {
		return hd, out, why
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&hd); err != nil {
		return hd, Lost, err.Error()
	}
	return hd, OK, ""
}

// Decode has a decode server take up the cache and stream the answer.
//
// Example: stream, out, why := h.Decode(ctx, "127.0.0.1:9001", d, standing)
func (h *Client) Decode(ctx context.Context, addr string, d DecodeRequest, may func() bool) (*Stream, Outcome, string) {
	res, out, why := h.post(ctx, "http://"+addr+"/decode", d, may)
	if out != OK {
		return nil, out, why
	}
	return &Stream{body: res.Body, reader: bufio.NewReaderSize(res.Body, 16<<10)}, OK, ""
}

// Stream is an answer under way.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// Next reads one piece.
//
// Example: p, err := s.Next()
func (s *Stream) Next() (p Piece, err error) {
	line, err := s.reader.ReadBytes('\n')
	if err != nil {
		return p, fmt.Errorf("stream broke off: %w", err)
	}
	return parse(line)
}

func parse(line []byte) (p Piece, err error) {
	err = json.Unmarshal(line, &p)
	return p, err
}

// Close ends the stream.
//
// Example: defer s.Close()
func (s *Stream) Close() { _ = s.body.Close() }

// Usage polls a server.
//
// Example: u, err := h.Usage(ctx, "127.0.0.1:9000")
func (h *Client) Usage(ctx context.Context, addr string) (u placement.Usage, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/usage", nil)
	if err != nil {
		return u, err
	}
	res, err := h.web.Do(req)
	if err != nil {
		return u, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return u, fmt.Errorf("status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&u)
	return u, err
}

// Order tells a server its part.
//
// Example: err := h.Order(ctx, order, holder, stillLeader)
func (h *Client) Order(ctx context.Context, o placement.Order, holder string, may func() bool) error {
	res, out, why := h.post(ctx, "http://"+o.Addr+"/order", struct {
		placement.Order
		Holder string `json:"holder"`
	}{o, holder}, may)
	if out != OK {
		return errors.New(why)
	}
	return res.Body.Close()
}
