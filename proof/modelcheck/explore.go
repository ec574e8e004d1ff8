package modelcheck

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Scope defines the states that one run of the explorer visits.
type Scope struct {
	Name   string
	Setup  Setup
	Bounds Bounds // bounds for each kind of event
	Total  int    // bound for all kinds together
	Depth  int    // bound for the number of events in a row
	States int    // if positive, the run stops after this number of states and is not complete
}

// Report is the result of an exploration or a walk.
type Report struct {
	Name     string
	States   int
	Depth    int      // of the deepest state
	Complete bool     // every state within the bounds was visited
	Broken   string   // the violated invariant; "": none
	Trace    []string // the events that led to the violation; in an exploration the shortest trace
	Events   int      // events in the trace or walk
	Acked    int      // changes acknowledged in a walk
	Terms    int      // leaders in a walk
	Copies   int      // older copies started in a walk
}

// String returns the report in one line, followed by the trace of a violation.
//
// Example: fmt.Print(report)
func (r Report) String() string {
	how := "all states within the bounds"
	if !r.Complete {
		how = "NOT all states within the bounds"
	}
	s := fmt.Sprintf("%s: %d states, depth %d, %s\n", r.Name, r.States, r.Depth, how)
	if r.Broken != "" {
		s += fmt.Sprintf("  BROKEN after %d events: %s\n    %s\n", r.Events, r.Broken, strings.Join(r.Trace, "\n    "))
	}
	return s
}

// visitedState records how a visited state was reached: its predecessor and the event.
type visitedState struct {
	from int32
	by   Event
}

// successor is the state after an event.
type successor struct {
	world *world
	hash  uint64
	from  int32 // index of the predecessor in explorer.states
	by    Event
}

// openState is a visited state whose successors are still to be visited.
type openState struct {
	world      *world
	stateIndex int32
}

// batchStates is the number of states that are expanded in parallel.
const batchStates = 4096

// explorer visits states breadth-first.
type explorer struct {
	scope     Scope
	states    []visitedState
	visited   map[uint64]struct{}
	violation string // the invariant that the last visited state violates
}

// Explore visits every state within the scope, breadth-first.
//
// Example: r := modelcheck.Explore(modelcheck.Small[0])
func Explore(s Scope) (r Report) {
	r = Report{Name: s.Name}
	root := newWorld(&s.Setup)
	x := &explorer{scope: s, states: []visitedState{{from: -1}}, visited: map[uint64]struct{}{root.hash(): {}}}
	front, isComplete := []openState{{root, 0}}, true
	for r.Depth = 0; len(front) > 0 && r.Depth < s.Depth; r.Depth++ {
		if front, isComplete = x.visitNext(front); !isComplete {
			break
		}
	}
	r.States, r.Complete, r.Broken = len(x.visited), isComplete, x.violation
	if x.violation != "" {
		r.Trace, r.Events = replay(&s.Setup, x.states)
	}
	return r
}

// visitNext visits the successors of the states in front. It stops early at a violation or
// when the limit of states is reached.
func (x *explorer) visitNext(front []openState) (next []openState, isComplete bool) {
	for batch := range slices.Chunk(front, batchStates) {
		for _, list := range x.expand(batch) {
			for _, r := range list {
				if !x.visit(r) {
					continue
				}
				if x.violation = r.world.violation; x.violation != "" {
					return nil, false
				}
				next = append(next, openState{r.world, int32(len(x.states) - 1)})
			}
		}
		if x.scope.States > 0 && len(x.visited) >= x.scope.States {
			return nil, false
		}
	}
	return next, true
}

// expand returns the successors of each state in a batch.
func (x *explorer) expand(batch []openState) [][]successor {
	out := make([][]successor, len(batch))
	parallel(len(batch), func(i int) {
		for _, e := range batch[i].world.nextEvents(x.scope.Bounds, x.scope.Total) {
			w := batch[i].world.fork()
			w.apply(e)
			out[i] = append(out[i], successor{w, w.hash(), batch[i].stateIndex, e})
		}
	})
	return out
}

// visit marks a state as visited. It reports false if it was visited before.
func (x *explorer) visit(r successor) (isNew bool) {
	if _, visited := x.visited[r.hash]; visited {
		return false
	}
	x.visited[r.hash] = struct{}{}
	x.states = append(x.states, visitedState{r.from, r.by})
	return true
}

// parallel calls f with 0 to n-1, on all processors.
func parallel(n int, f func(int)) {
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for k := range workers {
		wg.Go(func() {
			for i := k; i < n; i += workers {
				f(i)
			}
		})
	}
	wg.Wait()
}

// replay replays the events that led to the last visited state. It returns the trace and
// the number of events.
func replay(s *Setup, states []visitedState) (lines []string, n int) {
	var list []Event
	for at := int32(len(states) - 1); at > 0; at = states[at].from {
		list = append([]Event{states[at].by}, list...)
	}
	w := newWorld(s)
	w.trace = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, e := range list {
		w.apply(e)
	}
	return lines, len(list)
}

// Walk is a long random walk over the same model with the same invariants.
type Walk struct {
	Name   string
	Setup  Setup
	Seed   int64
	Events int
}

// Go applies random events until an invariant is violated or the number of events is reached.
//
// Example: r := modelcheck.Walk{Name: "deep", Setup: s, Seed: 7, Events: 5000}.Go()
func (k Walk) Go() (r Report) {
	r = Report{Name: fmt.Sprintf("%s seed %d", k.Name, k.Seed), Complete: true}
	rng := rand.New(rand.NewSource(k.Seed))
	w := newWorld(&k.Setup)
	var lines []string
	w.trace = func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf(format, args...))
		if len(lines) > 400 {
			lines = lines[200:]
		}
	}
	weights := newEventWeights(rng)
	for r.Events < k.Events && w.violation == "" {
		if r.Events%200 == 0 {
			weights = newEventWeights(rng)
		}
		e, ok := w.randomEvent(rng, weights)
		if !ok {
			continue
		}
		r.Events++
		w.apply(e)
	}
	r.States, r.Depth = r.Events, r.Events
	r.Acked = w.acknowledgedCount()
	r.Terms = len(w.leaders)
	r.Copies = w.used.RestoreCopy + w.used.StartCopy
	if r.Broken = w.violation; w.violation != "" {
		r.Trace = lines[max(0, len(lines)-120):]
	}
	return r
}
