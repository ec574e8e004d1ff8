// Package history is what stand-in servers and clients write down on their
// own account, one JSON line an event, for the checker to join afterwards.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line.
type Event struct {
	At      int64  `json:"at"` // unix nanoseconds: all stand-ins share one machine's clock
	Who     string `json:"who"`
	Ev      string `json:"ev"`
	Request string `json:"request,omitempty"`
	CacheOf string `json:"owner,omitempty"` // whose KV cache a handle really was
	Run     string `json:"run,omitempty"`
	Once    string `json:"once,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Prio    int    `json:"prio,omitempty"`
	Mix     string `json:"mix,omitempty"`
	Holder  string `json:"holder,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	Part    string `json:"part,omitempty"`
	N       int    `json:"n,omitempty"`
	Count   int    `json:"count,omitempty"` // pieces
	Again   bool   `json:"again,omitempty"` // a once key sent a second time
	Warm    int64  `json:"warm_ns,omitempty"`
	Plan    string `json:"plan,omitempty"` // a plan's id
	Ver     uint64 `json:"ver,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Number  uint64 `json:"number,omitempty"` // that a plan's operator chose for it
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

// Open appends to a file; an empty path writes nowhere.
//
// Example: b, err := journal.Open("run/fakeserver-1.jsonl")
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

// Put writes an event and hands it to the system, so that a kill keeps it.
//
// Example: b.Put(journal.Event{Who: addr, Ev: "decode", Request: id})
func (b *Recorder) Put(e Event) {
	if b.f == nil {
		return
	}
	if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.w.Write(append(line, '\n'))
	_ = b.w.Flush()
}

// Read reads a journal; a last line cut short by a kill is left out.
//
// Example: events, err := journal.Read("run/fakeserver-1.jsonl")
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
