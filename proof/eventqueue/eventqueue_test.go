package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// Events run in the order of their time, then of insertion. Events added while the queue
// is being drained are sorted in as well.
func TestEventsRunInOrder(t *testing.T) {
	var q Queue
	var got []string
	add := func(at time.Duration, name string) { q.Add(at, func() { got = append(got, name) }) }
	add(3, "late")
	add(1, "first")
	add(1, "second")
	q.Add(2, func() { add(2, "added meanwhile") })
	last := time.Duration(0)
	for {
		at, do, ok := q.Next()
		if !ok {
			break
		}
		if at < last {
			t.Errorf("event at %v ran after one at %v", at, last)
		}
		last = at
		do()
	}
	if want := []string{"first", "second", "added meanwhile", "late"}; !slices.Equal(got, want) {
		t.Errorf("events ran as %q, want %q", got, want)
	}
}
