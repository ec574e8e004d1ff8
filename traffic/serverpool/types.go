package serverpool

import "fmt"

// Part is one part of a prompt.
type Part struct {
	Text string `json:"text"`
	Key  string `json:"key,omitempty"`
}

// PrefillRequest is the call to a prefill server.
type PrefillRequest struct {
	Request       string   `json:"request"`
	Attempt       int      `json:"attempt"`
	Term          uint64   `json:"term"` // of the partition's leader, as far as known
	RecordVersion string   `json:"ver"`  // of the server's record
	Parts         []Part   `json:"parts"`
	PrefixHashes  []uint64 `json:"prefix"`
	TimeoutMillis int64    `json:"budget_ms"` // until the request's deadline
}

// Handle names the KV cache that a prefill left on a server, for one request and attempt.
type Handle struct {
	ID            string `json:"handle"`
	Request       string `json:"request"`
	Attempt       int    `json:"attempt"`
	PrefillServer string `json:"reader"`
	RecordVersion string `json:"ver"`
	CachedParts   int    `json:"cached"` // prompt parts that it had cached already
}

// Mismatch says what is wrong with a handle that this attempt was not to leave; "": nothing.
//
// Example: if why := handle.Mismatch("req-1", 1, "10.0.0.1:9000", "3.7"); why != "" { failed(why) }
func (h Handle) Mismatch(request string, attempt int, prefillServer, recordVersion string) string {
	if h.ID != "" && h.Request == request && h.Attempt == attempt &&
		h.PrefillServer == prefillServer && h.RecordVersion == recordVersion {
		return ""
	}
	return fmt.Sprintf("handle of %q/%d at %q where %q/%d at %q was due",
		h.Request, h.Attempt, h.PrefillServer, request, attempt, prefillServer)
}

// DecodeRequest is the call to a decode server.
type DecodeRequest struct {
	Handle        Handle `json:"kv"`
	Term          uint64 `json:"term"`
	RunID         string `json:"run"` // of this attempt; its pieces carry it
	Tokens        int    `json:"tokens"`
	OnceKey       string `json:"once,omitempty"`
	TimeoutMillis int64  `json:"budget_ms"` // until the request's deadline
}

// Piece is one line of an answer.
type Piece struct {
	Request string `json:"request"`
	RunID   string `json:"run"`
	Number  int    `json:"n"` // from 0
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Count   int    `json:"count,omitempty"` // of an end: the pieces before it
	Error   string `json:"error,omitempty"`
}

// Mismatch says what is wrong with a piece that is not the next one of the run, after so
// many; "": nothing.
//
// Example: if why := piece.Mismatch("req-1", "run-1", 3); why != "" { breakOff(why) }
func (p Piece) Mismatch(request, runID string, pieces int) string {
	switch {
	case p.Request != request:
		return fmt.Sprintf("piece of request %q in the stream of %q", p.Request, request)
	case p.RunID != runID:
		return fmt.Sprintf("piece of run %q in run %q", p.RunID, runID)
	case p.Error != "":
		return "server says: " + p.Error
	case p.End && p.Count != pieces:
		return fmt.Sprintf("ended at %d pieces, %d came", p.Count, pieces)
	case !p.End && p.Number != pieces:
		return fmt.Sprintf("piece %d where %d was due", p.Number, pieces)
	}
	return ""
}
