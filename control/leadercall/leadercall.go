// Package leadercall carries a call to the leader of a partition, wherever that is, and
// waits out a change of leader. It is a plain state machine: a call that was
// sent and not answered is "uncertain", one that no leader took is "not done". All
// tries of a call bear one number, so that a leader carries it out once.
package leadercall

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Statuses of call results, beside the others of HTTP.
const (
	StatusNotLeader = http.StatusMisdirectedRequest // the daemon is not the leader; nothing was done
	StatusUncertain = http.StatusGatewayTimeout     // it isn't known what became of the call
	StatusNotDone   = http.StatusServiceUnavailable // nothing was done; it may be sent again later
	StatusBehind    = http.StatusTooEarly           // its basis is not the present version, which the result names
)

// unknownBasis is the basis of a call that no leader has named one to yet: no record has it.
var unknownBasis = message.Version{Seq: math.MaxUint64}

// Config holds the bounds of a call.
type Config struct {
	TryTimeout    time.Duration // a leader's answer to a try is waited for this long
	RetryInterval time.Duration // before the next try, where no leader is known or the daemon isn't it
	RetryAfter    time.Duration // that a caller is to wait whose call was not answered
}

// Result is the end of a call.
type Result struct {
	CallID uint64
	Status int // of HTTP, or one of the statuses here
	Body   []byte
}

// Out is what a step asks for.
type Out struct {
	Sends   []message.Envelope
	Results []Result
}

type call struct {
	id        uint64
	partition int
	op        string
	body      []byte
	deadline  time.Duration
	singleTry bool
	nextTry   time.Duration   // when the call is tried again, or given up if it has a single try
	awaited   uint64          // request id of the latest try, until it is answered or given up; 0: none is out
	basis     message.Version // of what the call changes, as a leader named it to this call
	uncertain bool            // a try was sent and not answered, or its leader doesn't know what became of it
}

// try is one message of a call: only the daemon that it went to may answer it.
type try struct {
	callID uint64
	to     string // that daemon's identity
}

// Calls are the calls under way. They are not safe for concurrent use.
type Calls struct {
	cfg    Config
	lastID uint64 // of a call or a try; they are counted together
	calls  map[uint64]*call
	tries  map[uint64]try // by request id; those of calls under way
}

// epochBits is how many ids an incarnation may use, as a power of two. A daemon
// with a disk keeps its identity over a restart, so that an answer to its earlier
// incarnation reaches it: the earlier one's ids must name nothing now.
const epochBits = 40

// New makes an empty set of calls for one incarnation of a daemon: its epoch, which a
// daemon with a disk counts up at each start.
//
// Example: c := leadercall.New(leadercall.Config{TryTimeout: time.Second, RetryInterval: 25 * time.Millisecond}, epoch)
func New(cfg Config, epoch uint64) *Calls {
	return &Calls{cfg: cfg, lastID: epoch << epochBits, calls: map[uint64]*call{}, tries: map[uint64]try{}}
}

// Start begins a call to a partition's leader, as far as that is known. One with a single try is
// given up when that isn't answered.
//
// Example: id, out := c.Start(now, leader, 0, leadercall.OpPlan, body, now+4*time.Second, false)
func (c *Calls) Start(
	now time.Duration, leader message.Replica, partition int,
	op string, body []byte, deadline time.Duration, singleTry bool,
) (callID uint64, out Out) {
	c.lastID++
	started := &call{
		id: c.lastID, partition: partition, op: op, body: body,
		deadline: deadline, singleTry: singleTry, nextTry: now, basis: unknownBasis,
	}
	c.calls[started.id] = started
	c.try(now, started, leader, &out)
	return started.id, out
}

// try sends a call to a leader; where none is known it waits for the next time.
func (c *Calls) try(now time.Duration, call *call, leader message.Replica, out *Out) {
	if leader.Ident == "" {
		if call.singleTry {
			c.giveUp(call, out)
			return
		}
		call.nextTry = now + c.cfg.RetryInterval
		return
	}
	c.lastID++
	call.awaited, call.nextTry = c.lastID, now+c.cfg.TryTimeout
	c.tries[call.awaited] = try{call.id, leader.Ident}
	m := message.Call{RequestID: call.awaited, CallID: call.id, Op: call.op, Body: call.body}
	if !call.singleTry {
		m.Basis = call.basis
	}
	frame := m.Message(call.partition)
	frame.To = leader.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: leader.Addr, Message: frame})
}

// Step takes the result of a try.
//
// Example: out := c.Step(now, message)
func (c *Calls) Step(now time.Duration, m message.Message) (out Out) {
	c.handleCallResult(now, m.From, m.AsCallResult(), &out)
	return out
}

func (c *Calls) handleCallResult(now time.Duration, from string, result message.CallResult, out *Out) {
	answered, ok := c.tries[result.RequestID]
	call := c.calls[answered.callID]
	if !ok || call == nil || from != answered.to {
		return
	}
	delete(c.tries, result.RequestID)
	if call.awaited == result.RequestID {
		call.awaited = 0
	}
	isLatest := call.awaited == 0 // no later try is out
	switch {
	case result.Status == StatusBehind && !call.singleTry: // its caller waits still: it may be done on what is there now
		if isLatest {
			call.basis, call.nextTry = result.Basis, now
		}
	case result.Status == StatusNotLeader && !call.singleTry:
		if isLatest {
			call.nextTry = now + c.cfg.RetryInterval
		}
	case result.Status == StatusUncertain && !isLatest: // the later try's leader knows the call by its number
		call.uncertain = true
	case result.Status == StatusNotLeader || result.Status == StatusUncertain:
		call.uncertain = call.uncertain || result.Status == StatusUncertain
		c.giveUp(call, out)
	default:
		c.forget(call)
		out.Results = append(out.Results, Result{call.id, result.Status, result.Body})
	}
}

// Cancel forgets a call whose caller no longer waits.
//
// Example: c.Cancel(id)
func (c *Calls) Cancel(callID uint64) {
	if call := c.calls[callID]; call != nil {
		c.forget(call)
	}
}

func (c *Calls) forget(call *call) {
	delete(c.calls, call.id)
	for id, t := range c.tries {
		if t.callID == call.id {
			delete(c.tries, id)
		}
	}
}

// giveUp ends a call with what is known of it.
func (c *Calls) giveUp(call *call, out *Out) {
	c.forget(call)
	status := StatusNotDone
	response := Response{
		Result: ResultNotDone, RetryAfterMillis: c.cfg.RetryAfter.Milliseconds(),
		Reason: fmt.Sprintf("part %d has no leader now", call.partition),
	}
	if call.uncertain || call.awaited != 0 {
		status, response.Result = StatusUncertain, ResultUncertain
		response.Reason = fmt.Sprintf("no word from the leader of part %d; ask again with the same id", call.partition)
	}
	out.Results = append(out.Results, Result{call.id, status, Pack(response)})
}

// Tick lets time pass; leaderOf names a partition's leader as far as known.
//
// Example: out := c.Tick(now, func(partition int) message.Replica { return view.Leaderships[partition].Leader })
func (c *Calls) Tick(now time.Duration, leaderOf func(int) message.Replica) (out Out) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		call := c.calls[id]
		isOver := now >= call.nextTry
		switch {
		case now >= call.deadline || isOver && call.singleTry:
			c.giveUp(call, &out)
		case isOver:
			call.uncertain = call.uncertain || call.awaited != 0
			call.awaited = 0
			c.try(now, call, leaderOf(call.partition), &out)
		}
	}
	return out
}
