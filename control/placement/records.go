package placement

import (
	"encoding/json"
	"fmt"

	"mulleinmast/wire/message"
)

// The roles that a server plays: it processes prompts, or generates.
const (
	Prefill = "reader"
	Decode  = "maker"
)

// The statuses of a server.
const (
	Warming = "warming" // in use with few slots, until it is warm
	Up      = "up"
	Dark    = "dark"    // polls fail, or it restarted: no work
	Leaving = "leaving" // it leaves its role, or the fleet: no new work
)

// ServerRecord is the record of one server: its desired state, as committed.
type ServerRecord struct {
	Addr     string   `json:"addr"` // IP address and port
	Zone     string   `json:"cell"`
	Capacity int      `json:"cap"`          // requests that it works on at a time
	Role     string   `json:"part"`         // Prefill or Decode
	NextRole string   `json:"to,omitempty"` // the role that it shifts to; "": it stays
	Status   string   `json:"status"`
	Pairs    []string `json:"pairs,omitempty"` // addresses of the decode servers that a prefill server may hand to
}

// ReadServerRecord reads a server record; ok tells whether there is one. The
// error is of one that this build can't read.
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

// OpenServerRecord is ReadServerRecord for records that were found readable
// before; it panics on others.
//
// Example: record, ok := placement.OpenServerRecord(rec)
func OpenServerRecord(r message.Record) (ServerRecord, bool) {
	record, ok, err := ReadServerRecord(r)
	if err != nil {
		panic(err)
	}
	return record, ok
}

// Usage is what a server reports of itself.
type Usage struct {
	Active       int            `json:"active"`             // requests that it works on
	Queued       int            `json:"queued"`             // requests that wait there
	UptimeMillis int64          `json:"uptime_ms"`          // 0: it doesn't say
	Leaving      bool           `json:"leaving"`            // it takes no new work
	Warming      bool           `json:"warming,omitempty"`  // by its own report still warming up
	LinkMillis   map[string]int `json:"links_ms,omitempty"` // seen when handing KV caches over, by the other's address
}

// Priorities is how many priorities of requests there are; 0 is the most urgent.
const Priorities = 10

// Demand is a daemon's report on its requests, and its request for slots, for one service.
type Demand struct {
	Service    string          `json:"s"`
	AckedShare uint64          `json:"a"`           // number of the latest share that it got
	Prefill    [Priorities]int `json:"r"`           // requests waiting for or holding a prefill server, by priority
	Decode     [Priorities]int `json:"m"`           // and a decode server
	InFlight   map[string]int  `json:"h"`           // requests, by server's address
	Failures   map[string]int  `json:"f,omitempty"` // calls that failed, by server's address
	PrefixHits map[string]int  `json:"l,omitempty"` // waiting requests whose prefix a prefill server has cached
}

// of is the demand for servers of a role, by priority.
func (d *Demand) of(role string) *[Priorities]int {
	if role == Decode {
		return &d.Decode
	}
	return &d.Prefill
}

// Share is the slots that a daemon may fill.
type Share struct {
	Number uint64         `json:"n"` // rises with each share of a daemon
	Length int64          `json:"t"` // for how long after the demand was sent, in nanoseconds
	Slots  map[string]int `json:"s"` // by server's address
}

// Order has a server play a role.
type Order struct {
	Key    string `json:"-"` // of the server's record
	ID     string `json:"-"` // of this start of the server, where the platform gives one
	Addr   string `json:"-"`
	Role   string `json:"part"`
	Term   uint64 `json:"term"` // of the leader; a server may refuse an order of an earlier one
	Number uint64 `json:"no"`   // counts the orders of a term, from 1
	Reason string `json:"why"`
}

// Write is a server record to be written, or to be deleted.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Pressure is how hard a server is pressed, as a fraction of what its requests bear: for prefill,
// the wait before a prompt is processed against the target for the first token; for decode, the
// pause between tokens against the longest one that is in time.
type Pressure struct{ Prefill, Decode float64 }
