package serverpool

import "fmt"

// Part is one part of a prompt.
type Part struct {
	Text string `json:"text"`
	Key  string `json:"key,omitempty"`
}

// PrefillRequest is the body of a call to a prefill server.
type PrefillRequest struct {
	Request       string   `json:"request"`
	Attempt       int      `json:"attempt"`
	Term          uint64   `json:"term"` // latest known term of the partition's leader
	RecordVersion string   `json:"ver"`  // version of the server's record
	Parts         []Part   `json:"parts"`
	PrefixHashes  []uint64 `json:"prefix"`
	TimeoutMillis int64    `json:"budget_ms"` // time left until the request's deadline
}

// Handle identifies the KV cache that the prefill of one request and attempt left on a server.
type Handle struct {
	ID            string `json:"handle"`
	Request       string `json:"request"`
	Attempt       int    `json:"attempt"`
	PrefillServer string `json:"reader"`
	RecordVersion string `json:"ver"`
	CachedParts   int    `json:"cached"` // leading prompt parts that were already cached
}

// Mismatch describes how a handle differs from the one expected from an attempt. It returns "" for a match.
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

// DecodeRequest is the body of a call to a decode server.
type DecodeRequest struct {
	Handle        Handle `json:"kv"`
	Term          uint64 `json:"term"`
	RunID         string `json:"run"` // identifies this attempt; each of its pieces carries it
	Tokens        int    `json:"tokens"`
	OnceKey       string `json:"once,omitempty"`
	TimeoutMillis int64  `json:"budget_ms"` // time left until the request's deadline
}

// Piece is one line of a streamed answer.
type Piece struct {
	Request string `json:"request"`
	RunID   string `json:"run"`
	Number  int    `json:"n"` // sequence number, from 0
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Count   int    `json:"count,omitempty"` // in the last piece: the number of pieces before it
	Error   string `json:"error,omitempty"`
}

// Mismatch describes why a piece is not the next one expected in a run after the given number
// of pieces, or returns "" if it is.
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
