// Package slots is a daemon's queue for one service: requests wait for a slot
// on a prefill server or a decode server, the urgent first, and take one only under the
// share that the leader gave this daemon.
//
// The files: queue.go is the queue, shares.go the slots, report.go what others see of both.
package slots

import "time"

// Phase is the half of the work that a request waits for.
type Phase uint8

// The phases.
const (
	Prefill Phase = iota
	Decode

	phases
)

// priorities are 0, the most urgent, to 9.
const priorities = 10

// Entry is one request in the queue; its user changes nothing while it is there.
type Entry struct {
	ID              string
	Phase           Phase
	Priority        int // 0 is first, 9 last
	Tenant          string
	Deadline        time.Duration              // on the daemon's clock
	Pick            func(free []string) string // chooses a server among those with a free slot; "" is none
	PreferredServer string                     // the server that has most of its prompt cached

	sequence uint64        // place among equals; 0: not queued yet
	queuedAt time.Duration // first
}

// Result is a slot for a request, or its refusal.
type Result struct {
	ID         string
	Addr       string // of the server whose slot it has
	Refused    bool
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Config bounds a queue.
type Config struct {
	MaxQueued     int           // requests in the queue
	MinRetryAfter time.Duration // bounds of a refusal's RetryAfter
	MaxRetryAfter time.Duration
}

// Report is what the leader hears of a queue.
type Report struct {
	Prefill, Decode  [priorities]int       // requests by priority, waiting and in flight
	InFlight         map[string]int        // slots in use by server
	Failures         map[string]int        // calls that failed by server, since the last Report
	PreferredServers map[string]int        // waiting prefills that prefer a server
	Waiting          int                   // requests in the queue
	Share            map[string]int        // slots that this daemon may use by server
	SlotInterval     [phases]time.Duration // smoothed time between two slots of a phase
}
