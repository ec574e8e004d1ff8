// Package history holds the event logs that fake servers and test clients write
// independently of the fleet, one JSON object per line. The checker joins them after a run.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line of a history.
type Event struct {
	At      int64  `json:"at"` // Unix nanoseconds; all writers share one machine's clock
	Who     string `json:"who"`
	Ev      string `json:"ev"`
	Request string `json:"request,omitempty"`
	CacheOf string `json:"owner,omitempty"` // request whose KV cache the handle actually referred to
	Run     string `json:"run,omitempty"`
	Once    string `json:"once,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Prio    int    `json:"prio,omitempty"`
	Mix     string `json:"mix,omitempty"`
	Holder  string `json:"holder,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	Part    string `json:"part,omitempty"`
	N       int    `json:"n,omitempty"`
	Count   int    `json:"count,omitempty"` // number of pieces
	Again   bool   `json:"again,omitempty"` // the once key was sent before
	Warm    int64  `json:"warm_ns,omitempty"`
	Plan    string `json:"plan,omitempty"` // plan ID
	Ver     uint64 `json:"ver,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Number  uint64 `json:"number,omitempty"` // version number that the operator chose for the plan
	Result  string `json:"result,omitempty"`
	Why     string `json:"why,omitempty"`
	Took    int64  `json:"took_ns,omitempty"`
	First   int64  `json:"first_ns,omitempty"`
	After   int64  `json:"after_ms,omitempty"`
	Zone    string `json:"cell,omitempty"`
}

// Recorder writes events to a file.
type Recorder struct {
	mu sync.Mutex
	f  *os.File
	w  *bufio.Writer
}

// Open opens a file for appending. With an empty path, events are discarded.
//
// Example: r, err := history.Open("run/fakeserver-1.jsonl")
func Open(path string) (*Recorder, error) {
	if path == "" {
		return &Recorder{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Recorder{f: f, w: bufio.NewWriter(f)}, nil
}

// Put writes an event and flushes it to the operating system, so that it survives a kill
// of the process.
//
// Example: r.Put(history.Event{Who: addr, Ev: "decode", Request: id})
func (r *Recorder) Put(e Event) {
	if r.f == nil {
		return
	}
	if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.Write(append(line, '\n'))
	_ = r.w.Flush()
}

// Read reads a history. It skips lines that don't parse, such as a last line truncated by
// a kill.
//
// Example: events, err := history.Read("run/fakeserver-1.jsonl")
func Read(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []Event
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var e Event
		if json.Unmarshal(s.Bytes(), &e) == nil {
			out = append(out, e)
		}
	}
	return out, s.Err()
}
