package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// What is added goes in the order of time, then of its adding; what an event adds
// meanwhile finds its place too.
func TestEventsGoInOrder(t *testing.T) {
	var q Queue
	var got []string
	add := func(at time.Duration, what string) { q.Add(at, func() { got = append(got, what) }) }
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
			t.Errorf("%v comes after %v", at, last)
		}
		last = at
		do()
	}
	if want := []string{"first", "second", "added meanwhile", "late"}; !slices.Equal(got, want) {
		t.Errorf("got %q, expected %q", got, want)
	}
}
