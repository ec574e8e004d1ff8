// Package record holds what the stand-ins saw on their sockets, for the judge.
// All stand-ins of a run share one process, one clock and one log.
package record

import (
	"sync"
	"time"
)

// Piece is one event of a stream as a client got it or a server wrote it.
type Piece struct {
	ID  int
	Run string
}

// Try is one try of a client: one request to a daemon.
type Try struct {
	ID       string
	Client   string
	Daemon   string // its name
	Life     int    // of the daemon's process
	Host     string
	Target   string // path and query
	Method   string
	Body     uint64 // its digest
	Route    string // that the client means; none: there should be none
	Probe    bool   // sent to a daemon directly
	Resume   int    // the event it goes on after
	Sent     time.Duration
	Whole    time.Duration // its last byte went out; 0: not all of it did
	End      time.Duration
	Deadline time.Duration
	Status   int    // 0: no answer
	Seal     string // of the answer
	Coded    bool   // the answer has a Content-Encoding
	Echo     string // the id that the answer names
	RetryIn  float64
	Complete bool          // the answer looks complete
	Length   int           // of its body
	Digest   uint64        // of its body
	Pieces   []Piece       // where it is a stream
	Last     bool          // the last event came
	Fault    string        // what was wrong with the bytes
	GaveUp   bool          // the client itself ended it
	Left     time.Duration // the client closed its connection then, before the end; 0: it didn't
	Prompt   string        // model, tokens and parts, as the client sent them
	Key      string        // that the client sent; none: it sent none
}

// Promised tells whether the answer promises that the request has not run.
//
// Example: if t.Promised() { sendAgain() }
func (t Try) Promised() bool {
	return t.Status == 429 || t.Status == 503 || t.Status == 408 || t.Status == 421
}

// Served tells whether the try ended in success.
//
// Example: if t.Served() { n++ }
func (t Try) Served() bool { return t.Complete && t.Status/100 == 2 }

// What became of an arrival.
const (
	Open   = ""       // nothing yet
	Ran    = "ran"    // it was run
	Read   = "read"   // its prompt was read
	Away   = "away"   // it was turned away
	Other  = "421"    // it was for another server or part
	Probed = "probed" // not a request: health or a report
)

// Arrival is one request as a server got it.
type Arrival struct {
	At       time.Duration
	Server   string // its id
	Service  string
	Zone     string
	Attempt  string
	Host     string
	Target   string
	Method   string
	Body     uint64
	Reading  bool
	After    int    // the event it goes on after
	Memory   string // the handle it came with
	HandleOf string // the attempt that the handle was read for
	Out      string
	Why      string
	Run      string
	Seal     string
	Status   int
	End      time.Duration
	Whole    bool // the server wrote its whole answer
	Broke    bool // the server broke it off
	Length   int
	Digest   uint64
	Pieces   []Piece
	Last     bool
	ClientID string // kept for messages
	Prompt   string // model, tokens and parts, as the server got them
	Tenant   string // that the server was told
	Key      string // of the client, which no server should get
}

// Life is one life of a server.
type Life struct {
	ID, Service, Zone, Address string
	Born, Died                 time.Duration // 0: it lives
	DrainShown                 time.Duration // since when the list shows it as draining; 0: never
	GoneShown                  time.Duration // since when the list doesn't show it any more
	ColdUntil                  time.Duration
	ColdRate                   float64
}

// Order is one order that a server got.
type Order struct {
	At     time.Duration
	Server string
	Holder string
	Fence  int64
	Phase  string
	Status int
}

// Change is a configuration that an operator sent.
type Change struct {
	Version, Base int
	Sent          time.Duration
	Done          time.Duration // it got a clear answer; 0: none
	Status        int           // of that
	Valid         bool
	Config        []byte // the whole configuration that it makes, packed as sent
	Patch         bool
}

// PlanCall is one try of a call that changes the configuration.
type PlanCall struct {
	ID           string // of all that it says: the same call sent again bears it too
	Base, Number int
	Sent, Done   time.Duration
	Status       int // as the daemon answered, also where the operator never heard; 0: no answer
}

// Evacuation is a zone taken out of service.
type Evacuation struct {
	Zone        string
	Sent, Acked time.Duration // 0: not acknowledged
	Back        time.Duration // its withdrawal was sent
	BackAcked   time.Duration
}

// Trouble is what was done to a daemon, from a moment to its end.
type Trouble struct {
	Daemon  string
	Core    bool
	What    string
	From    time.Duration
	To      time.Duration // 0: it goes on
	Planned bool          // SIGTERM
	Hup     bool          // SIGHUP: the settings have changed, no trouble
}

// Readback is a configuration as it was read at the end.
type Readback struct {
	At     time.Duration
	Status int
	Body   []byte
}

// ConfigRead is a configuration as some machine, in touch or not, told it when asked
// during the day.
type ConfigRead struct {
	Daemon  string
	Sent    time.Duration
	Status  int
	Version int
}

// All is everything that was seen.
type All struct {
	Tries       []*Try
	Arrivals    []*Arrival
	Lives       []*Life
	Orders      []*Order
	Changes     []*Change
	PlanCalls   []*PlanCall
	Evacuations []*Evacuation
	Troubles    []*Trouble
	Readbacks   []*Readback
	Reads       []*ConfigRead
	Back        time.Duration // all machines are back after the closing fault; 0: there was none
	Fault       time.Duration // the closing fault began
	End         time.Duration
}

// Log takes what the stand-ins see. Records are changed under Do only.
type Log struct {
	mu   sync.Mutex
	from time.Time
	all  All
	news chan struct{}
}

// New makes an empty log; its clock begins now.
//
// Example: log := record.New()
func New() *Log { return &Log{from: time.Now(), news: make(chan struct{})} }

// Now is the time on the log's clock; it is never 0.
//
// Example: at := log.Now()
func (l *Log) Now() time.Duration { return time.Since(l.from) + 1 }

// Do changes the log.
//
// Example: log.Do(func(a *record.All) { a.Tries = append(a.Tries, t) })
func (l *Log) Do(f func(a *All)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.all)
	close(l.news)
	l.news = make(chan struct{})
}

// News is closed at the next change.
//
// Example: <-log.News()
func (l *Log) News() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.news
}

// Copy is everything so far; what it points to goes on changing until all
// stand-ins have ended.
//
// Example: rows := rules.Check(log.Copy(), bounds)
func (l *Log) Copy() All {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.all
	a.End = l.Now()
	return a
}

// Count counts records under the log's lock.
//
// Example: n := log.Count(func(a *record.All) int { return len(a.Tries) })
func (l *Log) Count(f func(a *All) int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(&l.all)
}
