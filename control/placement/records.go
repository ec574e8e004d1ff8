package placement

import (
	"encoding/json"
	"fmt"

	"mulleinmast/wire/message"
)

// The roles of a server: it processes prompts (prefill) or generates tokens (decode).
const (
	Prefill = "reader"
	Decode  = "maker"
)

// The statuses of a server.
const (
	Warming = "warming" // in use with few slots until it has warmed up
	Up      = "up"
	Dark    = "dark"    // gets no work, because polls fail or it restarted
	Leaving = "leaving" // gets no new work, because it leaves its role or the fleet
)

// ServerRecord is the record of one server: its committed desired state.
type ServerRecord struct {
	Addr     string   `json:"addr"` // IP address and port
	Zone     string   `json:"cell"`
	Capacity int      `json:"cap"`          // number of requests that it processes concurrently
	Role     string   `json:"part"`         // Prefill or Decode
	NextRole string   `json:"to,omitempty"` // the role that it shifts to; "" if it keeps its role
	Status   string   `json:"status"`
	Pairs    []string `json:"pairs,omitempty"` // addresses of the decode servers that a prefill server may hand to
}

// ReadServerRecord decodes a server record; ok reports whether there is one. It
// returns an error if this build can't read the record.
//
// Example: record, ok, err := placement.ReadServerRecord(rec)
func ReadServerRecord(r message.Record) (record ServerRecord, ok bool, err error) {
	if r.Deleted || len(r.Value) == 0 {
		return record, false, nil
	}
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return ServerRecord{}, false, fmt.Errorf("server record %q can't be read: %w", r.Key, err)
	}
	return record, true, nil
}

// OpenServerRecord is like ReadServerRecord, but panics if the record can't be
// read. It is for records that were already checked.
//
// Example: record, ok := placement.OpenServerRecord(rec)
func OpenServerRecord(r message.Record) (ServerRecord, bool) {
	record, ok, err := ReadServerRecord(r)
	if err != nil {
		panic(err)
	}
	return record, ok
}

// Usage is a server's report on itself.
type Usage struct {
	Active       int            `json:"active"`             // requests being processed
	Queued       int            `json:"queued"`             // requests waiting at the server
	UptimeMillis int64          `json:"uptime_ms"`          // 0 if not reported
	Leaving      bool           `json:"leaving"`            // it takes no new work
	Warming      bool           `json:"warming,omitempty"`  // it is still warming up
	LinkMillis   map[string]int `json:"links_ms,omitempty"` // latency of KV cache transfers, by peer address
}

// Priorities is the number of request priorities; 0 is the most urgent.
const Priorities = 10

// Demand is a daemon's report on its requests for one service, with which it asks for slots.
type Demand struct {
	Service    string          `json:"s"`
	AckedShare uint64          `json:"a"`           // number of the latest share that it received
	Prefill    [Priorities]int `json:"r"`           // requests waiting for or holding a prefill server, by priority
	Decode     [Priorities]int `json:"m"`           // requests waiting for or holding a decode server, by priority
	InFlight   map[string]int  `json:"h"`           // requests in flight, by server address
	Failures   map[string]int  `json:"f,omitempty"` // failed calls, by server address
	PrefixHits map[string]int  `json:"l,omitempty"` // waiting requests with a cached prefix, by prefill server address
}

// forRole returns the demand for servers of a role, by priority.
func (d *Demand) forRole(role string) *[Priorities]int {
	if role == Decode {
		return &d.Decode
	}
	return &d.Prefill
}

// Share is the set of slots that a daemon may use.
type Share struct {
	Number uint64         `json:"n"` // increases with each share of a daemon
	Length int64          `json:"t"` // validity in nanoseconds, counted from when the demand was sent
	Slots  map[string]int `json:"s"` // by server address
}

// Order assigns a role to a server.
type Order struct {
	Key    string `json:"-"` // key of the server's record
	ID     string `json:"-"` // ID of this run of the server, if the platform provides one
	Addr   string `json:"-"`
	Role   string `json:"part"`
	Term   uint64 `json:"term"` // leader's term; a server may refuse an order of an earlier term
	Number uint64 `json:"no"`   // counts the orders of a term, from 1
	Reason string `json:"why"`
}

// Write is a server record to be written, or to be deleted.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Pressure is the pressure on a server, as a fraction of its requests' latency targets: for prefill,
// the wait before a prompt is processed relative to the target time to first token; for decode, the
// time between tokens relative to the longest acceptable one.
type Pressure struct{ Prefill, Decode float64 }
