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

// maxBreaches is how many breaches of rules are named at most before the check ends.
const maxBreaches = 20

// Check names the rules that a history breaks.
//
// Example: for _, b := range sim.Check(history) { t.Error(b) }
func Check(events []Event) []string {
	c := &checker{keys: map[string]*keyState{}, leaders: map[int]Event{}}
	// A tag that was refused may have been served before the refusal.
	for _, e := range events {
		if e.Kind == Never {
			c.key(e.Key).refused[e.Tag] = true
		}
	}
	for _, e := range events {
		c.checkEvent(e)
		if len(c.breaches) > maxBreaches {
			break
		}
	}
	return c.breaches
}

// checker is what the events so far say.
type checker struct {
	keys     map[string]*keyState
	leaders  map[int]Event // the last that took itself for the leader, by partition
	breaches []string
}

// keyState is what the events so far say of one key.
type keyState struct {
	asked     map[string]bool
	inForce   map[string]time.Duration // since when, by tag
	refused   map[string]bool          // by tag, over the whole history
	longest   []string                 // list of tags served so far
	longestBy string                   // the daemon that served it
}

func (c *checker) key(key string) *keyState {
	if c.keys[key] == nil {
		c.keys[key] = &keyState{asked: map[string]bool{}, inForce: map[string]time.Duration{}, refused: map[string]bool{}}
	}
	return c.keys[key]
}

// breach names a rule that an event breaks.
func (c *checker) breach(e Event, how string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf("%v: %s ", e.At, e.Node)+fmt.Sprintf(how, args...))
}

func (c *checker) checkEvent(e Event) {
	state := c.key(e.Key)
	switch e.Kind {
	case Asked:
		state.asked[e.Tag] = true
	case Yes:
		state.inForce[e.Tag] = e.At
	case Silent:
		c.breach(e, "%s", e.Tag)
	case Owning:
		c.checkLeader(e)
	case Served:
		c.checkTags(state, e)
		c.checkOrder(state, e)
	}
}

// checkLeader looks whether two daemons take themselves for a partition's leader at once.
func (c *checker) checkLeader(e Event) {
	if other, ok := c.leaders[e.Partition]; ok && other.At == e.At && other.Node != e.Node {
		c.breaches = append(c.breaches,
			fmt.Sprintf("%v: %s and %s both own partition %d", e.At, other.Node, e.Node, e.Partition))
	}
	c.leaders[e.Partition] = e
}

// checkTags looks whether what is served has each tag once, those that were asked for and
// not refused only, and all that are in force.
func (c *checker) checkTags(state *keyState, e Event) {
	served := map[string]bool{}
	for _, tag := range e.Tags {
		if served[tag] {
			c.breach(e, "serves %q with %s twice", e.Key, tag)
		}
		served[tag] = true
		if !state.asked[tag] {
			c.breach(e, "serves %q with %s, which nobody asked for", e.Key, tag)
		}
		if state.refused[tag] {
			c.breach(e, "serves %q with %s, which was refused", e.Key, tag)
		}
	}
	for tag, since := range state.inForce {
		if !served[tag] {
			c.breach(e, "serves %q without %s, in force since %v", e.Key, tag, since)
		}
	}
}

// checkOrder looks whether what is served goes on from the longest list served so far.
func (c *checker) checkOrder(state *keyState, e Event) {
	short, long := state.longest, e.Tags
	if len(short) > len(long) {
		c.breach(e, "serves %q at length %d after %s served %d", e.Key, len(long), state.longestBy, len(short))
		short, long = long, short
	}
	if strings.Join(long[:len(short)], " ") != strings.Join(short, " ") {
		c.breach(e, "serves %q as %v, %s served %v", e.Key, e.Tags, state.longestBy, state.longest)
	}
	if len(e.Tags) >= len(state.longest) {
		state.longest, state.longestBy = e.Tags, e.Node
	}
}
