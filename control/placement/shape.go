package placement

import (
	"encoding/json"
	"fmt"

	"mulleinmast/wire/message"
)

// The parts that a server plays.
const (
	Prefill = "reader"
	Decode  = "maker"
)

// The statuses of a server.
const (
	Warming = "warming"
	Up      = "up"
	Dark    = "dark"
	Leaving = "leaving" // it leaves its part: no new work
)

// ServerRecord is the record of one server.
type ServerRecord struct {
	Addr     string   `json:"addr"`
	Zone     string   `json:"cell"`
	Capacity int      `json:"cap"`
	Role     string   `json:"part"`
	NextRole string   `json:"to,omitempty"` // the part it shifts to
	Status   string   `json:"status"`
	Pairs    []string `json:"pairs,omitempty"`
}

// ReadServerRecord reads a server record; ok tells whether there is one. The
// error is of one that this build can't read.
//
// Example: b, ok, err := placement.ReadServerRecord(rec)
func ReadServerRecord(r message.Record) (b ServerRecord, ok bool, err error) {
	if r.Deleted || len(r.Value) == 0 {
		return b, false, nil
	}
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return ServerRecord{}, false, fmt.Errorf("server record %q can't be read: %w", r.Key, err)
	}
	return b, true, nil
}

// OpenServerRecord is ReadServerRecord for records that were found readable
// before.
//
// Example: b, ok := placement.OpenServerRecord(rec)
func OpenServerRecord(r message.Record) (ServerRecord, bool) {
	b, ok, err := ReadServerRecord(r)
	if err != nil {
		panic(err)
	}
	return b, ok
}

// Usage is what a server reports of itself.
type Usage struct {
	Active       int            `json:"active"`
	Queued       int            `json:"queued"`
	UptimeMillis int64          `json:"uptime_ms"`
	Leaving      bool           `json:"leaving"`
	Warming      bool           `json:"warming,omitempty"`  // by its own word still warming up
	LinkMillis   map[string]int `json:"links_ms,omitempty"` // seen when handing KV caches over
}

// Demand is a daemon's report and wish for one service.
type Demand struct {
	Service    string         `json:"s"`
	AckedShare uint64         `json:"a"`
	Prefill    [10]int        `json:"r"` // waiting for or holding a prefill server, by priority
	Decode     [10]int        `json:"m"`
	InFlight   map[string]int `json:"h"` // in flight, by server
	Failures   map[string]int `json:"f,omitempty"`
	PrefixHits map[string]int `json:"l,omitempty"` // waiting requests whose prefix a prefill server holds
}

// Share is the slots a daemon may fill.
type Share struct {
	Number uint64         `json:"n"`
	Length int64          `json:"t"`
	Slots  map[string]int `json:"s"`
}

// Order tells a server which part to play.
type Order struct {
	Key    string `json:"-"` // of the server's record
	ID     string `json:"-"` // of this life of the server, where the platform gives one
	Addr   string `json:"-"`
	Role   string `json:"part"`
	Term   uint64 `json:"term"`
	Number uint64 `json:"no"`
	Reason string `json:"why"`
}

// Write is a server record to be written; Gone removes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Pressure is how hard a server is pressed, in parts of what its requests bear:
// the wait before a prompt is read against the aim of a first event, and the
// pause between events against the longest that is in time.
type Pressure struct{ Prefill, Decode float64 }
