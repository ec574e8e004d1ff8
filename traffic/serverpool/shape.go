package serverpool

import "fmt"

// Part is one part of a prompt.
type Part struct {
	Text string `json:"text"`
	Key  string `json:"key,omitempty"`
}

// Prefill is the order to a prefill server.
type Prefill struct {
	Request string   `json:"request"`
	Attempt int      `json:"attempt"`
	Term    uint64   `json:"term"`
	Ver     string   `json:"ver"`
	Parts   []Part   `json:"parts"`
	Prefix  []uint64 `json:"prefix"`
	Timeout int64    `json:"budget_ms"`
}

// Handle is what a prefill server leaves behind; it is bound to request and attempt.
type Handle struct {
	ID            string `json:"handle"`
	Request       string `json:"request"`
	Attempt       int    `json:"attempt"`
	PrefillServer string `json:"reader"`
	Ver           string `json:"ver"`
	Cached        int    `json:"cached"` // prompt parts that it held already
}

// Fit tells whether the handle is the one that this attempt was to leave.
//
// Example: if why := hd.Fit("req-1", 1, "10.0.0.1:9000", "3.7"); why != "" { failed(why) }
func (h Handle) Fit(req string, attempt int, prefillServer, ver string) string {
	if h.Request != req || h.Attempt != attempt || h.PrefillServer != prefillServer || h.Ver != ver || h.ID == "" {
		return fmt.Sprintf("handle of %q/%d at %q where %q/%d at %q was due", h.Request, h.Attempt, h.PrefillServer, req, attempt, prefillServer)
	}
	return ""
}

// Decode is the order to a decode server.
type Decode struct {
	Handle  Handle `json:"kv"`
	Term    uint64 `json:"term"`
	Run     string `json:"run"`
	Tokens  int    `json:"tokens"`
	Once    string `json:"once,omitempty"`
	Timeout int64  `json:"budget_ms"`
}

// Piece is one line of an answer.
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
