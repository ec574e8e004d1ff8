package sim

import (
	"fmt"
	"strings"
	"time"
)

// The checker knows the users' rules and the history, nothing of the code.
// Every write appends its own tag to the list of tags under a key.

// Kind is what happened.
type Kind uint8

// The kinds of events.
const (
	Asked  Kind = iota // a write was asked for
	Yes                // its writer was told that it is in force
	Never              // its writer was told that it is not and never will be
	Maybe              // its writer was told that nobody knows
	Served             // a daemon used a record
	Owning             // a daemon took itself for a part's leader
	Silent             // nothing was served though the fleet had long been whole
)

// Event is one line of a history.
type Event struct {
	At        time.Duration
	Kind      Kind
	Node      string
	Partition int
	Key       string
	Tag       string
	Tags      []string
}

// Check names the rules that a history breaks.
//
// Example: for _, b := range sim.Check(history) { t.Error(b) }
func Check(ev []Event) (out []string) {
	type state struct {
		yes   map[string]time.Duration
		never map[string]bool
		top   []string // longest list served so far
		topBy string
		asked map[string]bool
	}
	keys := map[string]*state{}
	get := func(k string) *state {
		if keys[k] == nil {
			keys[k] = &state{yes: map[string]time.Duration{}, never: map[string]bool{}, asked: map[string]bool{}}
		}
		return keys[k]
	}
	// A tag that was refused may have been served before the refusal.
	for _, e := range ev {
		if e.Kind == Never {
			get(e.Key).never[e.Tag] = true
		}
	}
	leader := map[int]Event{}
	for _, e := range ev {
		s := get(e.Key)
		switch e.Kind {
		case Asked:
			s.asked[e.Tag] = true
		case Yes:
			s.yes[e.Tag] = e.At
		case Silent:
			out = append(out, fmt.Sprintf("%v: %s %s", e.At, e.Node, e.Tag))
		case Owning:
			if o, ok := leader[e.Partition]; ok && o.At == e.At && o.Node != e.Node {
				out = append(out, fmt.Sprintf("%v: %s and %s both own partition %d", e.At, o.Node, e.Node, e.Partition))
			}
			leader[e.Partition] = e
		case Served:
			in := map[string]bool{}
			for _, t := range e.Tags {
				if in[t] {
					out = append(out, fmt.Sprintf("%v: %s serves %q with %s twice", e.At, e.Node, e.Key, t))
				}
				in[t] = true
				if !s.asked[t] {
					out = append(out, fmt.Sprintf("%v: %s serves %q with %s, which nobody asked for", e.At, e.Node, e.Key, t))
				}
				if s.never[t] {
					out = append(out, fmt.Sprintf("%v: %s serves %q with %s, which was refused", e.At, e.Node, e.Key, t))
				}
			}
			for t, at := range s.yes {
				if !in[t] {
					out = append(out, fmt.Sprintf("%v: %s serves %q without %s, in force since %v", e.At, e.Node, e.Key, t, at))
				}
			}
			short, long := s.top, e.Tags
			if len(short) > len(long) {
				out = append(out, fmt.Sprintf("%v: %s serves %q at length %d after %s served %d", e.At, e.Node, e.Key, len(long), s.topBy, len(short)))
				short, long = long, short
			}
			if strings.Join(long[:len(short)], " ") != strings.Join(short, " ") {
				out = append(out, fmt.Sprintf("%v: %s serves %q as %v, %s served %v", e.At, e.Node, e.Key, e.Tags, s.topBy, s.top))
			}
			if len(e.Tags) >= len(s.top) {
				s.top, s.topBy = e.Tags, e.Node
			}
		}
		if len(out) > 20 {
			return out
		}
	}
	return out
}
