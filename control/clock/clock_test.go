package clock

import (
	"testing"
	"time"
)

// The clock counts time spent suspended, during which timers do not run.
func TestClockCountsSuspendedTime(t *testing.T) {
	c := New()
	expiry := c.Now() + time.Second // expiry of a lease of one second
	c.Advance(2 * time.Second)
	if c.Now() < expiry {
		t.Error("a lease of 1 s is still valid after a suspend of 2 s")
	}
	before := c.Now()
	if after := c.Now(); after < before {
		t.Errorf("clock went back from %v to %v", before, after)
	}
}
