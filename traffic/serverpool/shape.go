package serverpool

import "fmt"

// Part is one part of a prompt.
type Part struct {
	Text string `json:"text"`
	Key  string `json:"key,omitempty"`
}

// PrefillRequest is the order to a prefill server.
type PrefillRequest struct {
	Request       string   `json:"request"`
	Attempt       int      `json:"attempt"`
	Term          uint64   `json:"term"`
	RecordVersion string   `json:"ver"`
	Parts         []Part   `json:"parts"`
	PrefixHashes  []uint64 `json:"prefix"`
	TimeoutMillis int64    `json:"budget_ms"`
}

// Handle is what a prefill server leaves behind; it is bound to request and attempt.
type Handle struct {
	ID            string `json:"handle"`
	Request       string `json:"request"`
	Attempt       int    `json:"attempt"`
	PrefillServer string `json:"reader"`
	RecordVersion string `json:"ver"`
	CachedParts   int    `json:"cached"` // prompt parts that it held already
}

// Mismatch tells whether the handle is the one that this attempt was to leave.
//
// Example: if why := hd.Mismatch("req-1", 1, "10.0.0.1:9000", "3.7"); why != "" { failed(why) }
func (h Handle) Mismatch(req string, attempt int, prefillServer, ver string) string {
	if h.Request != req || h.Attempt != attempt || h.PrefillServer != prefillServer || h.RecordVersion != ver || h.ID == "" {
		return fmt.Sprintf("handle of %q/%d at %q where %q/%d at %q was due", h.Request, h.Attempt, h.PrefillServer, req, attempt, prefillServer)
	}
	return ""
}

// DecodeRequest is the order to a decode server.
type DecodeRequest struct {
	Handle        Handle `json:"kv"`
	Term          uint64 `json:"term"`
	RunID         string `json:"run"`
	Tokens        int    `json:"tokens"`
	OnceKey       string `json:"once,omitempty"`
	TimeoutMillis int64  `json:"budget_ms"`
}

// Piece is one line of an answer.
type Piece struct {
	Request string `json:"request"`
	RunID   string `json:"run"`
	Number  int    `json:"n"`
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Count   int    `json:"count,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Mismatch tells whether this is the next piece of the run, having seen n.
//
// Example: if why := p.Mismatch("req-1", "run-1", 3); why != "" { breakOff(why) }
func (p Piece) Mismatch(req, run string, n int) string {
	switch {
	case p.Request != req:
		return fmt.Sprintf("piece of request %q in the stream of %q", p.Request, req)
	case p.RunID != run:
		return fmt.Sprintf("piece of run %q in run %q", p.RunID, run)
	case p.Error != "":
		return "server says: " + p.Error
	case p.End && p.Count != n:
		return fmt.Sprintf("ended at %d pieces, %d came", p.Count, n)
	case !p.End && p.Number != n:
		return fmt.Sprintf("piece %d where %d was due", p.Number, n)
	}
	return ""
}
