// Package leadercall carries a call to the leader of a partition, wherever that is, and
// waits out a change of leader. It is a plain state machine: a call that was
// sent and not answered is "uncertain", one that nobody took is "not done". All
// tries of a call go under one number, so that a leader carries it out once.
package leadercall

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mulleinmast/wire/message"
)

// Codes of control answers beside those of HTTP.
const (
	StatusNotLeader = http.StatusMisdirectedRequest // not the leader
	StatusUncertain = http.StatusGatewayTimeout
	StatusNotDone   = http.StatusServiceUnavailable
	StatusBehind    = http.StatusTooEarly // the order was on another version of what it changes; the answer names the present one
)

// nowhere is the mark of a call that hasn't heard yet what its order is on: no
// leader has it.
var nowhere = message.Version{Seq: math.MaxUint64}

// Config holds the bounds of a call.
type Config struct {
	TryTimeout    time.Duration // a leader's word is waited for this long
	RetryInterval time.Duration // between tries
	RetryAfter    time.Duration // what a caller who got no word is told to wait
}

// Result is the end of a call.
type Result struct {
	CallID uint64
	Status int
	Body   []byte
}

// Out is what a step asks for.
type Out struct {
	Sends   []message.Envelope
	Results []Result
}

type call struct {
	partition int
	op        string
	body      []byte
	until     time.Duration
	once      bool // one try only
	due       time.Duration
	ref       uint64          // of the message that is out, if any
	on        message.Version // the leader's mark of what it changes, as told to this call
	lost      bool            // a try was sent and had no word
}

// try is one message of a call: only the daemon that it went to may answer to it.
type try struct {
	call uint64
	to   string
}

// Calls are the calls under way.
type Calls struct {
	cfg   Config
	no    uint64
	calls map[uint64]*call
	tries map[uint64]try // by the message's number
}

// lifeBits is how many messages a life may number, as a power of two. A daemon
// with a disk keeps its identity over a restart, so that an answer to its earlier
// life reaches it: the earlier life's numbers must be nobody's now.
const lifeBits = 40

// New makes an empty set of calls for one life of a daemon: its epoch, which a
// daemon with a disk counts up at each start.
//
// Example: e := leadercall.New(leadercall.Config{Try: time.Second, Pause: 25 * time.Millisecond}, epoch)
func New(cfg Config, life uint64) *Calls {
	return &Calls{cfg: cfg, no: life << lifeBits, calls: map[uint64]*call{}, tries: map[uint64]try{}}
}

// Start begins a call; once says that one try is enough.
//
// Example: no, out := e.Start(now, leader, 0, "plan", body, now+4*time.Second, false)
func (e *Calls) Start(now time.Duration, own message.Replica, partition int, op string, body []byte, until time.Duration, once bool) (no uint64, o Out) {
	e.no++
	no = e.no
	c := &call{partition: partition, op: op, body: body, until: until, once: once, due: now, on: nowhere}
	e.calls[no] = c
	e.try(now, no, c, own, &o)
	return no, o
}

func (e *Calls) try(now time.Duration, no uint64, c *call, own message.Replica, o *Out) {
	if own.Ident == "" {
		if c.once {
			e.end(no, c, o)
			return
		}
		c.due = now + e.cfg.RetryInterval
		return
	}
	e.no++
	c.ref, c.due = e.no, now+e.cfg.TryTimeout
	e.tries[e.no] = try{no, own.Ident}
	n := message.Message{Kind: message.KindCall, Partition: c.partition, To: own.Ident, RequestID: e.no, ResponseTo: no, Op: c.op, Body: c.body}
	if !c.once {
		n.Version = c.on
	}
	o.Sends = append(o.Sends, message.Envelope{Addr: own.Addr, Message: n})
}

// Step takes a leader's word.
//
// Example: out := e.Step(now, message)
func (e *Calls) Step(now time.Duration, n message.Message) (o Out) {
	t, ok := e.tries[n.ResponseTo]
	no, c := t.call, e.calls[t.call]
	if !ok || c == nil || n.From != t.to {
		return o
	}
	delete(e.tries, n.ResponseTo)
	if c.ref == n.ResponseTo {
		c.ref = 0
	}
	switch {
	case n.Status == StatusBehind && !c.once: // its caller waits still: it may be done on what is there now
		if c.ref == 0 {
			c.on, c.due = n.Version, now
		}
	case n.Status == StatusNotLeader && !c.once:
		if c.ref == 0 {
			c.due = now + e.cfg.RetryInterval
		}
	case n.Status == StatusUncertain && c.ref != 0: // a later try is out, and knows the call by its number
		c.lost = true
	case n.Status == StatusNotLeader || n.Status == StatusUncertain:
		c.lost = c.lost || n.Status == StatusUncertain
		e.end(no, c, &o)
	default:
		e.drop(no, c)
		o.Results = append(o.Results, Result{no, n.Status, n.Body})
	}
	return o
}

// Cancel forgets a call whose caller went away.
//
// Example: e.Cancel(no)
func (e *Calls) Cancel(no uint64) {
	if c := e.calls[no]; c != nil {
		e.drop(no, c)
	}
}

func (e *Calls) drop(no uint64, c *call) {
	delete(e.calls, no)
	for ref, t := range e.tries {
		if t.call == no {
			delete(e.tries, ref)
		}
	}
}

// end gives a call up with what is known of it.
func (e *Calls) end(no uint64, c *call, o *Out) {
	e.drop(no, c)
	w, code := Response{Result: "not done", Reason: "part " + strconv.Itoa(c.partition) + " has no leader now", RetryAfterMillis: e.cfg.RetryAfter.Milliseconds()}, StatusNotDone
	if c.lost || c.ref != 0 {
		w, code = Response{Result: "uncertain", Reason: "no word from the leader of part " + strconv.Itoa(c.partition) + "; ask again with the same id", RetryAfterMillis: e.cfg.RetryAfter.Milliseconds()}, StatusUncertain
	}
	o.Results = append(o.Results, Result{no, code, Pack(w)})
}

// Tick lets time pass; own names a partition's leader as far as known.
//
// Example: out := e.Tick(now, func(partition int) message.Replica { return view.Owns[partition].Replica })
func (e *Calls) Tick(now time.Duration, own func(int) message.Replica) (o Out) {
	for _, no := range slices.Sorted(maps.Keys(e.calls)) {
		c := e.calls[no]
		switch {
		case now >= c.until || now >= c.due && c.once:
			e.end(no, c, &o)
		case now >= c.due:
			c.lost = c.lost || c.ref != 0
			c.ref = 0
			e.try(now, no, c, own(c.partition), &o)
		}
	}
	return o
}
