package sim

import (
	"fmt"
	"strings"
	"time"
)

// The checker uses only the users' rules and the history; it is independent of the code
// under test. Every write appends a unique tag to the list of tags under a key.

// Kind is the kind of an event in a history.
type Kind uint8

// The kinds of events.
const (
	WriteRequested    Kind = iota // a write was requested
	WriteAcknowledged             // the writer was told that the write is committed
	WriteRejected                 // the writer was told that the write will never be committed
	WriteUncertain                // the writer was told that the outcome is unknown
	RecordServed                  // a daemon read a record under valid leases
	LeaderObserved                // a daemon considered itself a partition's leader
	CheckFailed                   // a check outside this checker failed; the tag is its message
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

// maxViolations is the number of rule violations after which the check ends.
const maxViolations = 20

// Check returns a message for each violation of a rule in a history.
//
// Example: for _, b := range sim.Check(history) { t.Error(b) }
func Check(events []Event) []string {
	c := &checker{keys: map[string]*keyState{}, leaders: map[int]Event{}}
	// Refusals are collected first, since a refused tag may be served before its refusal.
	for _, e := range events {
		if e.Kind == WriteRejected {
			c.key(e.Key).refused[e.Tag] = true
		}
	}
	for _, e := range events {
		c.checkEvent(e)
		if len(c.violations) > maxViolations {
			break
		}
	}
	return c.violations
}

// checker holds the state derived from the events so far.
type checker struct {
	keys       map[string]*keyState
	leaders    map[int]Event // the last daemon that considered itself the leader, by partition
	violations []string
}

// keyState holds the state of one key derived from the events so far.
type keyState struct {
	asked     map[string]bool
	ackedAt   map[string]time.Duration // time of the acknowledgement, by tag
	refused   map[string]bool          // by tag, over the whole history
	longest   []string                 // the longest list of tags served so far
	longestBy string                   // the daemon that served that list
}

func (c *checker) key(key string) *keyState {
	if c.keys[key] == nil {
		c.keys[key] = &keyState{asked: map[string]bool{}, ackedAt: map[string]time.Duration{}, refused: map[string]bool{}}
	}
	return c.keys[key]
}

// violate records that an event violates a rule.
func (c *checker) violate(e Event, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: %s ", e.At, e.Node)+fmt.Sprintf(format, args...))
}

func (c *checker) checkEvent(e Event) {
	state := c.key(e.Key)
	switch e.Kind {
	case WriteRequested:
		state.asked[e.Tag] = true
	case WriteAcknowledged:
		state.ackedAt[e.Tag] = e.At
	case CheckFailed:
		c.violate(e, "%s", e.Tag)
	case LeaderObserved:
		c.checkLeader(e)
	case RecordServed:
		c.checkTags(state, e)
		c.checkOrder(state, e)
	}
}

// checkLeader checks that no two daemons consider themselves a partition's leader at the
// same time.
func (c *checker) checkLeader(e Event) {
	if other, ok := c.leaders[e.Partition]; ok && other.At == e.At && other.Node != e.Node {
		c.violations = append(c.violations,
			fmt.Sprintf("%v: %s and %s both lead partition %d", e.At, other.Node, e.Node, e.Partition))
	}
	c.leaders[e.Partition] = e
}

// checkTags checks that a served list has every acknowledged tag, no tag twice, and only tags
// that were requested and not refused.
func (c *checker) checkTags(state *keyState, e Event) {
	served := map[string]bool{}
	for _, tag := range e.Tags {
		if served[tag] {
			c.violate(e, "serves %q with %s twice", e.Key, tag)
		}
		served[tag] = true
		if !state.asked[tag] {
			c.violate(e, "serves %q with %s, which was never requested", e.Key, tag)
		}
		if state.refused[tag] {
			c.violate(e, "serves %q with %s, which was refused", e.Key, tag)
		}
	}
	for tag, since := range state.ackedAt {
		if !served[tag] {
			c.violate(e, "serves %q without %s, acknowledged at %v", e.Key, tag, since)
		}
	}
}

// checkOrder checks that a served list extends the longest list served so far.
func (c *checker) checkOrder(state *keyState, e Event) {
	short, long := state.longest, e.Tags
	if len(short) > len(long) {
		c.violate(e, "serves %q at length %d after %s served %d", e.Key, len(long), state.longestBy, len(short))
		short, long = long, short
	}
	if strings.Join(long[:len(short)], " ") != strings.Join(short, " ") {
		c.violate(e, "serves %q as %v, %s served %v", e.Key, e.Tags, state.longestBy, state.longest)
	}
	if len(e.Tags) >= len(state.longest) {
		state.longest, state.longestBy = e.Tags, e.Node
	}
}
