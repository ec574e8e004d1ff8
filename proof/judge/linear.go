package judge

import (
	"math"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"mulleinmast/proof/history"
)

// maxSearch bounds the search for one history; those of a run take milliseconds,
// on a busy machine seconds.
const maxSearch = time.Minute

// stepKind is one thing that a history of plan calls is made of.
type stepKind uint8

const (
	stepEffect        stepKind = iota + 1 // a call comes into force
	stepHeardTaken                        // a caller hears that its call is in force
	stepHeardConflict                     // a caller hears that another version was there before
	stepRead                              // a daemon reads under its leases
	stepEnd                               // nothing more is seen
)

// planStep is a step of one call. One whose call had no clear answer may do
// without.
type planStep struct {
	kind    stepKind
	id      string // of the plan
	base    uint64 // version that the call names as its base
	number  uint64 // version that the operator chose; 0: the one after the base
	version uint64 // that was heard or read; 0: none
	maybe   bool   // no clear answer: the step may never come
}

// chain is the plans in force so far, the newest first.
type chain struct {
	id       string
	version  uint64
	hash     uint64 // over all of them
	previous *chain
	ended    bool
}

// find returns the chain up to a plan, or nil if that was never in force.
func (c *chain) find(id string) *chain {
	for ; c != nil; c = c.previous {
		if c.id == id {
			return c
		}
	}
	return nil
}

// hashPrime is that of FNV-1a with 64 bits.
const hashPrime = 1099511628211

// next is the chain after a plan came into force.
func (c *chain) next(id string, version uint64) *chain {
	hash := c.hash*hashPrime + version
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * hashPrime
	}
	return &chain{id: id, version: version, hash: hash, previous: c}
}

// allows reports whether a step may come now, and what is in force then.
func (c *chain) allows(s planStep) (bool, *chain) {
	inForce := c.find(s.id)
	switch s.kind {
	case stepEnd:
		return true, &chain{id: c.id, version: c.version, hash: c.hash, previous: c.previous, ended: true}
	case stepRead:
		return c.version == s.version && c.id == s.id, c
	case stepHeardTaken:
		return inForce != nil && inForce.version == s.version, c
	case stepHeardConflict:
		return inForce == nil && c.version != s.base, c
	}
	return c.allowsEffect(s, inForce != nil)
}

// allowsEffect is allows for a call that comes into force: once, on the version
// that it names. One without a clear answer may also never do so: it then comes
// after the end.
func (c *chain) allowsEffect(s planStep, already bool) (bool, *chain) {
	if c.ended || already || s.base != c.version {
		return c.ended && s.maybe, c
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

// planModel is a machine that does one plan call after the other.
var planModel = porcupine.Model{
	Init: func() any { return &chain{} },
	Step: func(state, input, _ any) (bool, any) {
		ok, next := state.(*chain).allows(input.(planStep))
		return ok, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(*chain), b.(*chain)
		return x == y || x.hash == y.hash && x.version == y.version && x.id == y.id && x.ended == y.ended
	},
	Hash: func(state any) uint64 { return state.(*chain).hash },
}

// planCall is what is known of one plan call over all its attempts.
type planCall struct {
	planStep
	sent     int64 // first
	heard    int64 // that it is in force; the end of time if nobody heard so
	conflict bool  // an attempt was answered so
}

// calls are the plan calls of a history, and what their callers heard.
type calls struct {
	byPlan map[string]*planCall
	order  []*planCall // by their first answer
	heard  []porcupine.Operation
}

// ofEvent is the call whose answer an event is.
func (c *calls) ofEvent(e history.Event) *planCall {
	call := c.byPlan[e.Plan]
	if call == nil {
		call = &planCall{
			planStep: planStep{kind: stepEffect, id: e.Plan, base: e.Base, number: e.Number, maybe: true},
			sent:     sentAt(e),
			heard:    math.MaxInt64,
		}
		c.byPlan[e.Plan] = call
		c.order = append(c.order, call)
	}
	call.sent = min(call.sent, sentAt(e))
	return call
}

// hear notes the answer to an attempt of a call.
func (c *calls) hear(call *planCall, e history.Event) {
	switch e.Result {
	case planTaken:
		if call.maybe {
			call.maybe, call.version, call.heard = false, e.Ver, e.At
		}
		c.heard = append(c.heard, porcupine.Operation{
			Input: planStep{kind: stepHeardTaken, id: e.Plan, version: e.Ver}, Call: sentAt(e), Return: e.At,
		})
	case planConflict:
		call.conflict = true
		c.heard = append(c.heard, porcupine.Operation{
			Input: planStep{kind: stepHeardConflict, id: e.Plan, base: e.Base}, Call: sentAt(e), Return: e.At,
		})
	}
}

// operationsUntil lists what was seen until a moment, of the calls that say when
// they were sent. A call that was heard to be taken came into force between its
// first sending and that; one that nobody heard of may have, or may still; one
// that was in conflict never did.
func operationsUntil(events []history.Event, until int64) (operations []porcupine.Operation) {
	c := calls{byPlan: map[string]*planCall{}}
	for _, e := range events {
		if e.Ev != eventPlan || e.Took <= 0 || sentAt(e) > until || e.Result == planBroken {
			continue
		}
		call := c.ofEvent(e)
		if e.At <= until {
			c.hear(call, e)
		}
	}
	operations = c.heard
	for _, call := range c.order {
		if !call.maybe || !call.conflict {
			operations = append(operations,
				porcupine.Operation{Input: call.planStep, Call: call.sent, Return: call.heard})
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

// searchOrder looks for an order of all that was seen until a moment.
func searchOrder(events []history.Event, until int64) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(planModel, operationsUntil(events, until), maxSearch)
}

// checkLinear: the history of all plan calls, and of what daemons read, is that
// of one machine that does one thing after the other: a call comes into force at
// most once, on the version that it names, and whoever sends it again hears so.
func checkLinear(events []history.Event, _ Bounds, report reporter) { Linear(events, report) }

// Linear judges a history of plan calls alone; its events come in their order.
//
// Example: judge.Linear(events, func(format string, args ...any) { t.Errorf(format, args...) })
func Linear(events []history.Event, report func(format string, args ...any)) {
	switch searchOrder(events, math.MaxInt64) {
	case porcupine.Ok:
		return
	case porcupine.Unknown:
		report("the history of %d events was not judged in %v", len(events), maxSearch)
		return
	}
	// The shortest beginning that has no order names the event that spoils it.
	// Events come in their order.
	first := sort.Search(len(events), func(i int) bool { return searchOrder(events, events[i].At) != porcupine.Ok })
	for _, e := range events[first:] {
		if e.Ev == eventPlan || e.Ev == eventRead {
			report("%s of %s (on %d, number %d) came to %q, version %d, at %.3fs: "+
				"no order of the calls until then explains it",
				e.Ev, e.Plan, e.Base, e.Number, e.Result, e.Ver, seconds(e.At))
			return
		}
	}
}
