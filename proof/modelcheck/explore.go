package modelcheck

import (
	"fmt"
	"math/rand"
	"runtime"
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

// Report tells what a run came to.
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

// String tells it in a line, and the trace below.
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

type found struct {
	w    *world
	sum  uint64
	from int32
	by   Event
}

// Explore looks at every state within the scope, those fewest events away first.
//
// Example: r := modelcheck.Explore(modelcheck.Small[0])
func Explore(s Scope) (r Report) {
	r = Report{Name: s.Name, Whole: true}
	root := begin(&s.Setup)
	places := []place{{from: -1}}
	visited := map[uint64]struct{}{root.hash(): {}}
	type open struct {
		w  *world
		at int32
	}
	front := []open{{root, 0}}
	for r.Depth = 0; len(front) > 0 && r.Depth < s.Depth; r.Depth++ {
		var next []open
		for len(front) > 0 {
			batch := front[:min(len(front), 4096)]
			front = front[len(batch):]
			out := make([][]found, len(batch))
			parallel(len(batch), func(i int) {
				for _, e := range batch[i].w.events(s.Most, s.Total) {
					w := batch[i].w.fork()
					w.apply(e)
					out[i] = append(out[i], found{w, w.hash(), batch[i].at, e})
				}
			})
			for _, list := range out {
				for _, f := range list {
					if _, ok := visited[f.sum]; ok {
						continue
					}
					visited[f.sum] = struct{}{}
					places = append(places, place{f.from, f.by})
					if f.w.broken != "" {
						r.States, r.Broken = len(visited), f.w.broken
						r.Trace, r.Events = retrace(&s.Setup, places)
						r.Whole = false
						return r
					}
					next = append(next, open{f.w, int32(len(places) - 1)})
				}
			}
			if s.States > 0 && len(visited) >= s.States {
				r.States, r.Whole = len(visited), false
				return r
			}
		}
		front = next
	}
	r.States = len(visited)
	return r
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

// retrace tells how the last place was reached.
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
