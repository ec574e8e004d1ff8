// Package yard speaks to the model servers over HTTP and remembers which
// reader holds which prefix.
package yard

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/interlock"
)

// Part is one part of a prompt.
type Part struct {
	Text string `json:"text"`
	Key  string `json:"key,omitempty"`
}

// Prefill is the order to a reader.
type Prefill struct {
	Request string   `json:"request"`
	Attempt int      `json:"attempt"`
	Term    uint64   `json:"term"`
	Ver     string   `json:"ver"`
	Parts   []Part   `json:"parts"`
	Prefix  []uint64 `json:"prefix"`
	Budget  int64    `json:"budget_ms"`
}

// Handle is what a reader leaves behind; it is bound to request and attempt.
type Handle struct {
	ID      string `json:"handle"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Reader  string `json:"reader"`
	Ver     string `json:"ver"`
	Cached  int    `json:"cached"` // prompt parts that it held already
}

// Decode is the order to a maker.
type Decode struct {
	Handle Handle `json:"kv"`
	Term   uint64 `json:"term"`
	Run    string `json:"run"`
	Tokens int    `json:"tokens"`
	Once   string `json:"once,omitempty"`
	Budget int64  `json:"budget_ms"`
}

// Piece is one line of a reply.
type Piece struct {
	Request string `json:"request"`
	Run     string `json:"run"`
	N       int    `json:"n"`
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Count   int    `json:"count,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Fit tells whether this is the next piece of the run, having seen n.
//
// Example: if why := p.Fit("req-1", "run-1", 3); why != "" { breakOff(why) }
func (p Piece) Fit(req, run string, n int) string {
	switch {
	case p.Request != req:
		return fmt.Sprintf("piece of request %q in the stream of %q", p.Request, req)
	case p.Run != run:
		return fmt.Sprintf("piece of run %q in run %q", p.Run, run)
	case p.Error != "":
		return "server says: " + p.Error
	case p.End && p.Count != n:
		return fmt.Sprintf("ended at %d pieces, %d came", p.Count, n)
	case !p.End && p.N != n:
		return fmt.Sprintf("piece %d where %d was due", p.N, n)
	}
	return ""
}

// Outcome is how a call to a server went.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	NotSent
	Shed
	Lapsed
	Lost
)

// Hands makes the calls.
type Hands struct {
	web *http.Client
}

// NewHands makes a caller with a connection pool of its own.
//
// Example: h := yard.NewHands(300 * time.Millisecond)
func NewHands(dial time.Duration) *Hands {
	return &Hands{web: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
}

func (h *Hands) post(ctx context.Context, url string, in any) (*http.Response, Outcome, string) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, NotSent, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	// A POST with no GetBody is never sent twice by the library on its own.
	req.GetBody = nil
	res, err := h.web.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, NotSent, "no connection"
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
		return nil, Shed, word.Why
	case "lapsed":
		return nil, Lapsed, word.Why
	}
	return nil, Lost, fmt.Sprintf("status %d", res.StatusCode)
}

// Prefill has a reader read the prompt.
//
// Example: hd, out, why := h.Prefill(ctx, "127.0.0.1:9000", p)
func (h *Hands) Prefill(ctx context.Context, addr string, p Prefill) (hd Handle, out Outcome, why string) {
	res, out, why := h.post(ctx, "http://"+addr+"/prefill", p)
	if out != OK {
		return hd, out, why
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&hd); err != nil {
		return hd, Lost, err.Error()
	}
	if hd.Request != p.Request || hd.Attempt != p.Attempt || hd.Reader != addr || hd.Ver != p.Ver || hd.ID == "" {
		return hd, Lapsed, fmt.Sprintf("handle of %q/%d at %q where %q/%d at %q was due", hd.Request, hd.Attempt, hd.Reader, p.Request, p.Attempt, addr)
	}
	return hd, OK, ""
}

// Decode has a maker take up the cache and stream the reply.
//
// Example: stream, out, why := h.Decode(ctx, "127.0.0.1:9001", d)
func (h *Hands) Decode(ctx context.Context, addr string, d Decode) (*Stream, Outcome, string) {
	res, out, why := h.post(ctx, "http://"+addr+"/decode", d)
	if out != OK {
		return nil, out, why
	}
	return &Stream{body: res.Body, r: bufio.NewReaderSize(res.Body, 16<<10)}, OK, ""
}

// Stream is a reply under way.
type Stream struct {
	body io.ReadCloser
	r    *bufio.Reader
}

// Next reads one piece.
//
// Example: p, err := s.Next()
func (s *Stream) Next() (p Piece, err error) {
	line, err := s.r.ReadBytes('\n')
	if err != nil {
		return p, fmt.Errorf("stream broke off: %w", err)
	}
	return p, json.Unmarshal(line, &p)
}

// Close ends the stream.
//
// Example: defer s.Close()
func (s *Stream) Close() { _ = s.body.Close() }

// Usage polls a server.
//
// Example: u, err := h.Usage(ctx, "127.0.0.1:9000")
func (h *Hands) Usage(ctx context.Context, addr string) (u interlock.Usage, err error) {
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
	return u, json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&u)
}

// Order tells a server its part.
//
// Example: err := h.Order(ctx, order, holder)
func (h *Hands) Order(ctx context.Context, o interlock.Order, holder string) error {
	res, out, why := h.post(ctx, "http://"+o.Addr+"/order", struct {
		interlock.Order
		Holder string `json:"holder"`
	}{o, holder})
	if out != OK {
		return errors.New(why)
	}
	return res.Body.Close()
}

// Chain hashes a prompt's parts cumulatively: entry i stands for parts 0..i.
//
// Example: c := yard.Chain(parts); len(c) == len(parts)
func Chain(parts []Part) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, len(parts))
	for i, p := range parts {
		// A key names a part but doesn't stand for its text.
		_, _ = fmt.Fprintf(h, "%d:%d:", len(p.Key), len(p.Text))
		_, _ = io.WriteString(h, p.Key)
		_, _ = io.WriteString(h, p.Text)
		out[i] = h.Sum64()
	}
	return out
}

// Prefixes remembers which readers hold which prefix, in shards.
type Prefixes struct {
	most   int
	shards [16]struct {
		sync.Mutex
		at   map[uint64]map[string]time.Duration
		keys []uint64
	}
}

// NewPrefixes makes a memory of at most about most prefixes.
//
// Example: p := yard.NewPrefixes(65536)
func NewPrefixes(most int) *Prefixes { return &Prefixes{most: most/16 + 1} }

// Note remembers that a reader now holds every prefix of the chain.
//
// Example: p.Note(now, chain, addr)
func (p *Prefixes) Note(now time.Duration, chain []uint64, addr string) {
	for _, c := range chain {
		s := &p.shards[c%16]
		s.Lock()
		if s.at == nil {
			s.at = map[uint64]map[string]time.Duration{}
		}
		if s.at[c] == nil {
			s.at[c] = map[string]time.Duration{}
			s.keys = append(s.keys, c)
			if len(s.keys) > p.most {
				delete(s.at, s.keys[0])
				s.keys = s.keys[1:]
			}
		}
		s.at[c][addr] = now
		s.Unlock()
	}
}

// Depth tells how many leading parts each reader holds.
//
// Example: if p.Depth(chain)[addr] > 0 { prefer(addr) }
func (p *Prefixes) Depth(chain []uint64) map[string]int {
	out := map[string]int{}
	for i := len(chain) - 1; i >= 0; i-- {
		s := &p.shards[chain[i]%16]
		s.Lock()
		for a := range s.at[chain[i]] {
			if out[a] == 0 {
				out[a] = i + 1
			}
		}
		s.Unlock()
	}
	return out
}

// Forget drops a reader that lost its caches.
//
// Example: p.Forget(addr)
func (p *Prefixes) Forget(addr string) {
	for i := range p.shards {
		s := &p.shards[i]
		s.Lock()
		for _, m := range s.at {
			delete(m, addr)
		}
		s.Unlock()
	}
}
