package clock

import (
	"testing"
	"time"
)

// A suspend shows as a jump: timers stood still, the clock did not.
func TestClockRunsOnDuringSuspend(t *testing.T) {
	c := New()
	expiry := c.Now() + time.Second // of a lease
	c.Advance(2 * time.Second)
	if c.Now() < expiry {
		t.Error("a lease of a second outlived a suspend of two")
	}
	before := c.Now()
	if after := c.Now(); after < before {
		t.Errorf("went back from %v to %v", before, after)
	}
}
