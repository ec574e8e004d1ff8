package clock

import (
	"testing"
	"time"
)

// A suspend shows as a leap: timers stood still, the clock did not.
func TestClockRunsOnDuringSuspend(t *testing.T) {
	c := New()
	till := c.Now() + time.Second // a lease
	c.Leap(2 * time.Second)
	if c.Now() < till {
		t.Error("a lease of a second outlived a suspend of two")
	}
	a := c.Now()
	if b := c.Now(); b < a {
		t.Errorf("went back from %v to %v", a, b)
	}
}
