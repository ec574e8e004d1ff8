// Package leadercall sends calls to the leaders of partitions and retries them across changes of
// leader. It is a state machine without I/O. A call that was sent and not answered ends as "uncertain".
// A call that no leader accepted ends as "not done". All tries of a call carry the same call ID, so
// that a leader executes the call only once.
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

// Statuses of call results that have a special meaning, in addition to other HTTP statuses.
const (
	StatusNotLeader = http.StatusMisdirectedRequest // the daemon isn't the leader; nothing was done
	StatusUncertain = http.StatusGatewayTimeout     // the outcome of the call is unknown
	StatusNotDone   = http.StatusServiceUnavailable // nothing was done; the caller may retry later
	StatusBehind    = http.StatusTooEarly           // the call's basis is outdated; the result has the current version
)

// unknownBasis is the basis of a call before a leader has returned one. No record has this
// version.
var unknownBasis = message.Version{Seq: math.MaxUint64}

// Config holds the timeouts of calls.
type Config struct {
	TryTimeout    time.Duration // how long to wait for a leader's answer to a try
	RetryInterval time.Duration // delay before the next try if no leader is known or the called daemon isn't the leader
	RetryAfter    time.Duration // retry delay suggested to callers whose call was not answered
}

// Result is the final result of a call.
type Result struct {
	CallID uint64
	Status int // an HTTP status, possibly one of the statuses above
	Body   []byte
}

// Out is the output of a step: messages to send and results of completed calls.
type Out struct {
	Sends   []message.Envelope
	Results []Result
}

type call struct {
	id             uint64
	partition      int
	op             string
	body           []byte
	deadline       time.Duration
	singleTry      bool
	nextTry        time.Duration   // when to send the next try, or to give up a call with a single try
	pendingTry     uint64          // request ID of the latest try until it is answered or times out; 0 if there is none
	basis          message.Version // version of the changed record, as returned to this call by a leader
	outcomeUnknown bool            // a try was sent and not answered, or its leader doesn't know its outcome
}

// try is one message of a call. Only the daemon that it was sent to may answer it.
type try struct {
	callID uint64
	to     string // identity of that daemon
}

// Calls is the set of calls in progress. It is not safe for concurrent use.
type Calls struct {
	cfg    Config
	lastID uint64 // last ID of a call or a try; both share one sequence
	calls  map[uint64]*call
	tries  map[uint64]try // by request ID; only tries of calls in progress
}

// epochBits is the number of ID bits available to one incarnation. A daemon with a disk keeps its
// identity across restarts, so it may receive answers to its earlier incarnation. IDs of that
// incarnation must not match any current call.
const epochBits = 40

// New returns an empty set of calls for one incarnation of a daemon, identified by its epoch. A
// daemon with a disk increments its epoch at each start.
//
// Example: c := leadercall.New(leadercall.Config{TryTimeout: time.Second, RetryInterval: 25 * time.Millisecond}, epoch)
func New(cfg Config, epoch uint64) *Calls {
	return &Calls{cfg: cfg, lastID: epoch << epochBits, calls: map[uint64]*call{}, tries: map[uint64]try{}}
}

// Start begins a call to a partition's leader and returns the call's ID. The leader may be unknown;
// its Ident is then empty. A call with a single try is given up if that try isn't answered.
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

// try sends a call to the leader. If no leader is known, it schedules the next try, or gives up a
// call with a single try.
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
	call.pendingTry, call.nextTry = c.lastID, now+c.cfg.TryTimeout
	c.tries[call.pendingTry] = try{call.id, leader.Ident}
	m := message.Call{RequestID: call.pendingTry, CallID: call.id, Op: call.op, Body: call.body}
	if !call.singleTry {
		m.Basis = call.basis
	}
	frame := m.Message(call.partition)
	frame.To = leader.Ident
	out.Sends = append(out.Sends, message.Envelope{Addr: leader.Addr, Message: frame})
}

// Step processes the result of a try.
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
	if call.pendingTry == result.RequestID {
		call.pendingTry = 0
	}
	noLaterTry := call.pendingTry == 0 // no later try is in flight
	switch {
	case result.Status == StatusBehind && !call.singleTry: // the caller still waits: retry on the current version
		if noLaterTry {
			call.basis, call.nextTry = result.Basis, now
		}
	case result.Status == StatusNotLeader && !call.singleTry:
		if noLaterTry {
			call.nextTry = now + c.cfg.RetryInterval
		}
	case result.Status == StatusUncertain && !noLaterTry: // the leader of the later try recognizes the call by its ID
		call.outcomeUnknown = true
	case result.Status == StatusNotLeader || result.Status == StatusUncertain:
		call.outcomeUnknown = call.outcomeUnknown || result.Status == StatusUncertain
		c.giveUp(call, out)
	default:
		c.remove(call)
		out.Results = append(out.Results, Result{call.id, result.Status, result.Body})
	}
}

// Cancel drops a call whose caller no longer waits for it.
//
// Example: c.Cancel(id)
func (c *Calls) Cancel(callID uint64) {
	if call := c.calls[callID]; call != nil {
		c.remove(call)
	}
}

func (c *Calls) remove(call *call) {
	delete(c.calls, call.id)
	for id, t := range c.tries {
		if t.callID == call.id {
			delete(c.tries, id)
		}
	}
}

// giveUp ends an unanswered call: as "uncertain" if a leader may have executed it, otherwise as
// "not done".
func (c *Calls) giveUp(call *call, out *Out) {
	c.remove(call)
	status := StatusNotDone
	response := Response{
		Result: ResultNotDone, RetryAfterMillis: c.cfg.RetryAfter.Milliseconds(),
		Reason: fmt.Sprintf("part %d has no leader now", call.partition),
	}
	if call.outcomeUnknown || call.pendingTry != 0 {
		status, response.Result = StatusUncertain, ResultUncertain
		response.Reason = fmt.Sprintf("no word from the leader of part %d; ask again with the same id", call.partition)
	}
	out.Results = append(out.Results, Result{call.id, status, MustMarshal(response)})
}

// Tick advances all calls to the current time. leaderOf returns a partition's leader, or the zero
// Replica if the leader is unknown.
//
// Example: out := c.Tick(now, func(partition int) message.Replica { return view.Leaderships[partition].Leader })
func (c *Calls) Tick(now time.Duration, leaderOf func(int) message.Replica) (out Out) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		call := c.calls[id]
		tryDue := now >= call.nextTry
		switch {
		case now >= call.deadline || tryDue && call.singleTry:
			c.giveUp(call, &out)
		case tryDue:
			call.outcomeUnknown = call.outcomeUnknown || call.pendingTry != 0
			call.pendingTry = 0
			c.try(now, call, leaderOf(call.partition), &out)
		}
	}
	return out
}
