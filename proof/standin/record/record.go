// Package record holds the observations that the simulated parties made on their
// sockets, as input for the rules. All of them share one process, one clock and one log.
package record

import (
	"sync"
	"time"
)

// Piece is one event of a stream, as received by a client or written by a server.
type Piece struct {
	ID  int
	Run string
}

// Try is one attempt by a client: one request to a daemon.
type Try struct {
	ID        string
	Client    string
	Daemon    string // name of the daemon
	Life      int    // start count of the daemon's process
	Host      string
	Target    string // path and query
	Method    string
	Body      uint64 // digest of the body
	Route     string // name of the route that should match; empty: no route should
	Probe     bool   // sent directly to a daemon, not through the load balancer
	Resume    int    // id of the event after which to resume
	Sent      time.Duration
	SentFully time.Duration // when the last byte was sent; 0: not sent completely
	End       time.Duration
	Deadline  time.Duration
	Status    int    // 0: no answer
	Seal      string // seal header of the answer
	Coded     bool   // the answer has a Content-Encoding
	Echo      string // attempt id in the answer
	RetryIn   float64
	Complete  bool          // the answer was received to its end
	Length    int           // of the answer's body
	Digest    uint64        // of the answer's body
	Pieces    []Piece       // events of a streaming answer
	Last      bool          // the final event was received
	Fault     string        // protocol error in the received bytes
	GaveUp    bool          // the client gave up or closed the connection
	ClosedAt  time.Duration // when the client closed its connection early; 0: it did not
	Prompt    string        // model, token counts and prompt parts as sent
	Key       string        // API key sent by the client; empty: none
}

// Promised reports whether the answer guarantees that the request has not run.
//
// Example: if t.Promised() { sendAgain() }
func (t Try) Promised() bool {
	return t.Status == 429 || t.Status == 503 || t.Status == 408 || t.Status == 421
}

// Served reports whether the try got a complete successful answer.
//
// Example: if t.Served() { n++ }
func (t Try) Served() bool { return t.Complete && t.Status/100 == 2 }

// Outcomes of an arrival.
const (
	Open        = ""       // no outcome yet
	Ran         = "ran"    // the request was run
	Prefilled   = "read"   // the prompt was prefilled
	Refused     = "away"   // the request was refused
	Misdirected = "421"    // misdirected: addressed to another server or phase
	Probed      = "probed" // a health check or report call, not a request
)

// Arrival is one request as received by a server.
type Arrival struct {
	At            time.Duration
	Server        string // id of the server
	Service       string
	Zone          string
	Attempt       string
	Host          string
	Target        string
	Method        string
	Body          uint64
	Reading       bool
	After         int    // id of the event after which to resume
	Memory        string // KV handle in the request, as ADDRESS/ID
	HandleOf      string // attempt id for which the handle was created
	Out           string
	Why           string
	Run           string
	Seal          string
	Status        int
	End           time.Duration
	Complete      bool // the server wrote the complete answer
	FaultInjected bool // the server deliberately broke the answer
	Length        int
	Digest        uint64
	Pieces        []Piece
	Last          bool
	ClientID      string // used in messages
	Prompt        string // model, token counts and prompt parts as received
	Tenant        string // tenant header received by the server
	Key           string // API key of the client; servers should never receive one
}

// Life is the lifetime of one server process.
type Life struct {
	ID, Service, Zone, Address string
	Born, Died                 time.Duration // Died 0: still running
	DrainShown                 time.Duration // when the list starts to show it as draining; 0: never
	GoneShown                  time.Duration // when the list stops showing it; 0: still listed
	ColdUntil                  time.Duration
	ColdRate                   float64
}

// Order is an order received by a server.
type Order struct {
	At     time.Duration
	Server string
	Holder string
	Fence  int64
	Phase  string
	Status int
}

// Change is a configuration sent by an operator.
type Change struct {
	Version, Base int
	Sent          time.Duration
	Done          time.Duration // when a definite answer arrived; 0: none did
	Status        int           // status of that answer
	Valid         bool
	Config        []byte // complete resulting configuration as JSON
	Patch         bool
}

// PlanCall is one try of a call that changes the configuration.
type PlanCall struct {
	ID           string // hash of the method, base version and body; retries of a call share it
	Base, Number int
	Sent, Done   time.Duration
	Status       int // status the daemon sent, even if the operator dropped the answer; 0: no answer
}

// Evacuation is a request to take a zone out of service.
type Evacuation struct {
	Zone        string
	Sent, Acked time.Duration // 0: not acknowledged
	Back        time.Duration // when its withdrawal was sent
	BackAcked   time.Duration
}

// Disruption is a disruption of a daemon over a period of time.
type Disruption struct {
	Daemon  string
	Core    bool
	What    string
	From    time.Duration
	To      time.Duration // 0: ongoing
	Planned bool          // shutdown by SIGTERM
	Hup     bool          // SIGHUP after a settings change, not a disruption
}

// Readback is the configuration as read at the end of a run.
type Readback struct {
	At     time.Duration
	Status int
	Body   []byte
}

// ConfigRead is the configuration version returned by a daemon during a run, whether or
// not that daemon was in contact with its peers.
type ConfigRead struct {
	Daemon  string
	Sent    time.Duration
	Status  int
	Version int
}

// All holds every record of a run.
type All struct {
	Tries       []*Try
	Arrivals    []*Arrival
	Lives       []*Life
	Orders      []*Order
	Changes     []*Change
	PlanCalls   []*PlanCall
	Evacuations []*Evacuation
	Troubles    []*Disruption
	Readbacks   []*Readback
	Reads       []*ConfigRead
	Back        time.Duration // when all machines had recovered from the final fault; 0: there was none
	Fault       time.Duration // when the final fault began
	End         time.Duration
}

// Log collects the records of a run. Records may only be changed within Do.
type Log struct {
	mu      sync.Mutex
	start   time.Time
	all     All
	changed chan struct{}
}

// New returns an empty log whose clock starts now.
//
// Example: log := record.New()
func New() *Log { return &Log{start: time.Now(), changed: make(chan struct{})} }

// Now returns the time on the log's clock, which is never 0.
//
// Example: at := log.Now()
func (l *Log) Now() time.Duration { return time.Since(l.start) + 1 }

// Do calls f with the log locked and signals the change.
//
// Example: log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
func (l *Log) Do(f func(a *All)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.all)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
//
// Example: <-log.Changed()
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Copy returns a shallow copy of all records so far. The records it points to may change
// until all simulated parties have stopped.
//
// Example: rows := rules.Check(log.Copy(), bounds)
func (l *Log) Copy() All {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.all
	a.End = l.Now()
	return a
}

// Count calls f with the log locked and returns its result.
//
// Example: n := log.Count(func(a *record.All) int { return len(a.Tries) })
func (l *Log) Count(f func(a *All) int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(&l.all)
}
