package judge

import (
	"math"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"mulleinmast/proof/history"
)

// maxSearch limits the search over one history. The search over a run takes
// milliseconds, or seconds on a busy machine.
const maxSearch = time.Minute

// stepKind is the kind of a step in a history of plan calls.
type stepKind uint8

const (
	stepEffect           stepKind = iota + 1 // a plan takes effect
	stepAckObserved                          // a caller receives the acknowledgement
	stepConflictObserved                     // a caller learns that its base was not current
	stepRead                                 // a daemon reads the plan under valid leases
	stepEnd                                  // end of the observations
)

// planStep is a step of one call. The step of a call with an unknown outcome is
// optional.
type planStep struct {
	kind     stepKind
	id       string // plan ID
	base     uint64 // base version of the call
	number   uint64 // version chosen by the operator; 0: the current one plus 1
	version  uint64 // version that was acknowledged or read; 0: none
	optional bool   // the outcome is unknown: the step may never happen
}

// planChain is the list of plans that have taken effect, newest first.
type planChain struct {
	id       string
	version  uint64
	hash     uint64 // over the whole chain
	previous *planChain
	ended    bool
}

// find returns the chain up to a plan, or nil if the plan never took effect.
func (c *planChain) find(id string) *planChain {
	for ; c != nil; c = c.previous {
		if c.id == id {
			return c
		}
	}
	return nil
}

// fnvPrime is the prime of 64-bit FNV-1a.
const fnvPrime = 1099511628211

// next returns the chain after a plan takes effect.
func (c *planChain) next(id string, version uint64) *planChain {
	hash := c.hash*fnvPrime + version
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return &planChain{id: id, version: version, hash: hash, previous: c}
}

// allows reports whether a step is valid now, and returns the state after it.
func (c *planChain) allows(s planStep) (bool, *planChain) {
	inForce := c.find(s.id)
	switch s.kind {
	case stepEnd:
		return true, &planChain{id: c.id, version: c.version, hash: c.hash, previous: c.previous, ended: true}
	case stepRead:
		return c.version == s.version && c.id == s.id, c
	case stepAckObserved:
		return inForce != nil && inForce.version == s.version, c
	case stepConflictObserved:
		return inForce == nil && c.version != s.base, c
	}
	return c.allowsEffect(s, inForce != nil)
}

// allowsEffect is allows for a plan that takes effect: at most once, and only on
// its base version. A plan with an unknown outcome may never take effect; its step
// is then placed after the end.
func (c *planChain) allowsEffect(s planStep, already bool) (bool, *planChain) {
	if c.ended || already || s.base != c.version {
		return c.ended && s.optional, c
	}
	version := c.version + 1
	if s.number > 0 {
		version = s.number
	}
	if version <= c.version || s.version > 0 && version != s.version {
		return false, c
	}
	return true, c.next(s.id, version)
}

// planModel is the sequential specification: one plan call is executed at a time.
var planModel = porcupine.Model{
	Init: func() any { return &planChain{} },
	Step: func(state, input, _ any) (bool, any) {
		ok, next := state.(*planChain).allows(input.(planStep))
		return ok, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(*planChain), b.(*planChain)
		return x == y || x.hash == y.hash && x.version == y.version && x.id == y.id && x.ended == y.ended
	},
	Hash: func(state any) uint64 { return state.(*planChain).hash },
}

// planCall is what was observed of a plan call over all its attempts.
type planCall struct {
	planStep
	sent     int64 // first attempt
	acked    int64 // first acknowledgement; math.MaxInt64: none
	conflict bool  // an attempt was answered with a conflict
}

// calls are the plan calls of a history and the answers that their callers got.
type calls struct {
	byPlan  map[string]*planCall
	order   []*planCall // by their first answer
	answers []porcupine.Operation
}

// callFor returns the call that e answers.
func (c *calls) callFor(e history.Event) *planCall {
	call := c.byPlan[e.Plan]
	if call == nil {
		call = &planCall{
			planStep: planStep{kind: stepEffect, id: e.Plan, base: e.Base, number: e.Number, optional: true},
			sent:     sentAt(e),
			acked:    math.MaxInt64,
		}
		c.byPlan[e.Plan] = call
		c.order = append(c.order, call)
	}
	call.sent = min(call.sent, sentAt(e))
	return call
}

// recordAnswer records the answer to an attempt of a call.
func (c *calls) recordAnswer(call *planCall, e history.Event) {
	switch e.Result {
	case planTaken:
		if call.optional {
			call.optional, call.version, call.acked = false, e.Ver, e.At
		}
		c.answers = append(c.answers, porcupine.Operation{
			Input: planStep{kind: stepAckObserved, id: e.Plan, version: e.Ver}, Call: sentAt(e), Return: e.At,
		})
	case planConflict:
		call.conflict = true
		c.answers = append(c.answers, porcupine.Operation{
			Input: planStep{kind: stepConflictObserved, id: e.Plan, base: e.Base}, Call: sentAt(e), Return: e.At,
		})
	}
}

// operationsUntil returns the operations observed until a time, of calls with a
// known send time. An acknowledged plan took effect between its first attempt and
// its acknowledgement. A plan with an unknown outcome may take effect at any time
// after its first attempt. A plan answered with a conflict never takes effect.
func operationsUntil(events []history.Event, until int64) (operations []porcupine.Operation) {
	c := calls{byPlan: map[string]*planCall{}}
	for _, e := range events {
		if e.Ev != eventPlan || e.Took <= 0 || sentAt(e) > until || e.Result == planBroken {
			continue
		}
		call := c.callFor(e)
		if e.At <= until {
			c.recordAnswer(call, e)
		}
	}
	operations = c.answers
	for _, call := range c.order {
		if !call.optional || !call.conflict {
			operations = append(operations,
				porcupine.Operation{Input: call.planStep, Call: call.sent, Return: call.acked})
		}
	}
	last := int64(0)
	for _, e := range events {
		last = max(last, e.At)
		if e.Ev == eventRead && e.At <= until {
			operations = append(operations, porcupine.Operation{
				Input: planStep{kind: stepRead, id: e.Plan, version: e.Ver}, Call: e.At, Return: e.At,
			})
		}
	}
	return append(operations, porcupine.Operation{Input: planStep{kind: stepEnd}, Call: last + 1, Return: last + 2})
}

// searchOrder searches for a linearization of the operations observed until a time.
func searchOrder(events []history.Event, until int64) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(planModel, operationsUntil(events, until), maxSearch)
}

// checkLinear: the plan calls and the reads of daemons are linearizable: a plan
// takes effect at most once, on its base version, and a repeated call gets the
// result of the first.
func checkLinear(events []history.Event, _ Bounds, report reporter) { Linear(events, report) }

// Linear checks a history of plan calls; its events must be sorted by time.
//
// Example: judge.Linear(events, func(format string, args ...any) { t.Errorf(format, args...) })
func Linear(events []history.Event, report func(format string, args ...any)) {
	switch searchOrder(events, math.MaxInt64) {
	case porcupine.Ok:
		return
	case porcupine.Unknown:
		report("linearizability of %d events was not decided within %v", len(events), maxSearch)
		return
	}
	// The last event of the shortest prefix that is not linearizable is reported.
	first := sort.Search(len(events), func(i int) bool { return searchOrder(events, events[i].At) != porcupine.Ok })
	for _, e := range events[first:] {
		if e.Ev == eventPlan || e.Ev == eventRead {
			report("%s of %s (base %d, number %d) returned %q, version %d, at %.3fs: "+
				"the calls until then are not linearizable",
				e.Ev, e.Plan, e.Base, e.Number, e.Result, e.Ver, seconds(e.At))
			return
		}
	}
}
