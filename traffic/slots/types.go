// Package slots implements a daemon's request queue for one service. Requests wait for a
// slot on a prefill or decode server, most urgent first, and are assigned one only within
// the share of slots that the leader granted this daemon.
//
// Files: queue.go holds the queue, shares.go assigns slots, report.go reports the counts
// of waiting requests and slots in use.
package slots

import "time"

// Phase is the part of the work that a request waits for.
type Phase uint8

// The phases.
const (
	Prefill Phase = iota
	Decode

	phases
)

// priorities is the number of priorities: 0, the most urgent, to 9.
const priorities = 10

// Entry is one queued request. It must not be modified while it is in the queue.
type Entry struct {
	ID              string
	Phase           Phase
	Priority        int // 0 is the most urgent, 9 the least
	Tenant          string
	Deadline        time.Duration              // on the daemon's clock
	Pick            func(free []string) string // chooses a server among those with a free slot; "" if none fits
	PreferredServer string                     // the server with the longest cached prefix of its prompt

	sequence uint64        // order of arrival, breaks ties; 0 before it is queued
	queuedAt time.Duration // when it was first queued
}

// Result is the slot assigned to a request, or its refusal.
type Result struct {
	ID         string
	Addr       string // the server whose slot was assigned
	Refused    bool
	Reason     string
	RetryAfter time.Duration // how long the client should wait before it retries
}

// Config holds the limits of a queue.
type Config struct {
	MaxQueued     int           // maximum number of queued requests
	MinRetryAfter time.Duration // bounds of a refusal's RetryAfter
	MaxRetryAfter time.Duration
}

// Report is the state of a queue as reported to the leader.
type Report struct {
	Prefill, Decode  [priorities]int       // requests by priority, both waiting and in flight
	InFlight         map[string]int        // slots in use, by server address
	Failures         map[string]int        // failed calls since the last Report, by server address
	PreferredServers map[string]int        // waiting prefills that prefer a server, by its address
	Waiting          int                   // number of queued requests
	Share            map[string]int        // slots that this daemon may use, by server address
	SlotInterval     [phases]time.Duration // moving average of the time between two assigned slots
}
