package modelcheck

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Scope is what one run of the explorer looks at.
type Scope struct {
	Name   string
	Setup  Setup
	Most   Bounds // of each kind of event
	Total  int    // of all kinds together
	Depth  int    // events in a row
	States int    // the run ends after so many states, and says so
}

// Report says what a run came to.
type Report struct {
	Name   string
	States int
	Depth  int      // of the deepest state
	Whole  bool     // every state within the bounds was looked at
	Broken string   // the invariant that was broken; "": none
	Trace  []string // how, as short as can be in an exploration
	Events int      // events in the trace or walk
	Acked  int      // changes acknowledged in a walk
	Terms  int      // leaders in a walk
	Copies int      // older copies started in a walk
}

// String is the report in a line, and the trace below.
//
// Example: fmt.Print(report)
func (r Report) String() string {
	how := "all states within the bounds"
	if !r.Whole {
		how = "NOT all states within the bounds"
	}
	s := fmt.Sprintf("%s: %d states, depth %d, %s\n", r.Name, r.States, r.Depth, how)
	if r.Broken != "" {
		s += fmt.Sprintf("  BROKEN after %d events: %s\n    %s\n", r.Events, r.Broken, strings.Join(r.Trace, "\n    "))
	}
	return s
}

// place is a state that was visited: how it was reached.
type place struct {
	from int32
	by   Event
}

// reached is a state that an event led to.
type reached struct {
	world *world
	hash  uint64
	from  int32 // the place before
	by    Event
}

// open is a state whose next ones are to be visited.
type open struct {
	world *world
	place int32
}

// batchStates is how many states are visited beside one another.
const batchStates = 4096

// explorer visits states, those fewest events away first.
type explorer struct {
	scope   Scope
	places  []place
	visited map[uint64]struct{}
	broken  string // the invariant that the last place broke
}

// Explore looks at every state within the scope, those fewest events away first.
//
// Example: r := modelcheck.Explore(modelcheck.Small[0])
func Explore(s Scope) (r Report) {
	r = Report{Name: s.Name}
	root := begin(&s.Setup)
	x := &explorer{scope: s, places: []place{{from: -1}}, visited: map[uint64]struct{}{root.hash(): {}}}
	front, isWhole := []open{{root, 0}}, true
	for r.Depth = 0; len(front) > 0 && r.Depth < s.Depth; r.Depth++ {
		if front, isWhole = x.visitNext(front); !isWhole {
			break
		}
	}
	r.States, r.Whole, r.Broken = len(x.visited), isWhole, x.broken
	if x.broken != "" {
		r.Trace, r.Events = retrace(&s.Setup, x.places)
	}
	return r
}

// visitNext visits the states one event away from those of a front. It ends early
// where an invariant is broken or there are states enough.
func (x *explorer) visitNext(front []open) (next []open, isWhole bool) {
	for batch := range slices.Chunk(front, batchStates) {
		for _, list := range x.expand(batch) {
			for _, r := range list {
				if !x.visit(r) {
					continue
				}
				if x.broken = r.world.broken; x.broken != "" {
					return nil, false
				}
				next = append(next, open{r.world, int32(len(x.places) - 1)})
			}
		}
		if x.scope.States > 0 && len(x.visited) >= x.scope.States {
			return nil, false
		}
	}
	return next, true
}

// expand gives the states one event away from each of a batch.
func (x *explorer) expand(batch []open) [][]reached {
	out := make([][]reached, len(batch))
	parallel(len(batch), func(i int) {
		for _, e := range batch[i].world.events(x.scope.Most, x.scope.Total) {
			w := batch[i].world.fork()
			w.apply(e)
			out[i] = append(out[i], reached{w, w.hash(), batch[i].place, e})
		}
	})
	return out
}

// visit notes a state as visited, unless it was.
func (x *explorer) visit(r reached) (isNew bool) {
	if _, visited := x.visited[r.hash]; visited {
		return false
	}
	x.visited[r.hash] = struct{}{}
	x.places = append(x.places, place{r.from, r.by})
	return true
}

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

// retrace is how the last place was reached.
func retrace(s *Setup, places []place) (lines []string, n int) {
	var list []Event
	for at := int32(len(places) - 1); at > 0; at = places[at].from {
		list = append([]Event{places[at].by}, list...)
	}
	w := begin(s)
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

// Go walks until an invariant is broken or the events are over.
//
// Example: r := modelcheck.Walk{Name: "deep", Setup: s, Seed: 7, Events: 5000}.Go()
func (k Walk) Go() (r Report) {
	r = Report{Name: fmt.Sprintf("%s seed %d", k.Name, k.Seed), Whole: true}
	rng := rand.New(rand.NewSource(k.Seed))
	w := begin(&k.Setup)
	var lines []string
	w.trace = func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf(format, args...))
		if len(lines) > 400 {
			lines = lines[200:]
		}
	}
	mood := newMood(rng)
	for r.Events < k.Events && w.broken == "" {
		if r.Events%200 == 0 {
			mood = newMood(rng)
		}
		e, ok := w.chance(rng, mood)
		if !ok {
			continue
		}
		r.Events++
		w.apply(e)
	}
	r.States, r.Depth = r.Events, r.Events
	r.Acked = w.acknowledgedCount()
	r.Terms = len(w.leaders)
	r.Copies = w.spent.PutBack + w.spent.Beside
	if r.Broken = w.broken; w.broken != "" {
		r.Trace = lines[max(0, len(lines)-120):]
	}
	return r
}
