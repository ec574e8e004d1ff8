// Package clock is the one clock by which leases, shares, timeouts and
// leaderships are judged. It goes on while the machine is suspended, which Go's own
// monotonic reading on Linux does not: a daemon that wakes must find its
// leases lapsed. Timers elsewhere only wake; they decide nothing.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from its making. It is safe for concurrent use.
type Clock struct {
	startedAt time.Duration // by the boot-time clock
	advanced  atomic.Int64  // nanoseconds by which tests put it forward
}

// New starts a clock at zero.
//
// Example: c := clock.New(); c.Now() < time.Second
func New() *Clock { return &Clock{startedAt: bootTime()} }

// Now is the time since the clock was made, suspended time included.
//
// Example: if c.Now() < expiry { serve() }
func (c *Clock) Now() time.Duration {
	return bootTime() - c.startedAt + time.Duration(c.advanced.Load())
}

// Advance is for tests: the clock jumps forward while timers stood still, as after a
// suspend.
//
// Example: c.Advance(time.Minute)
func (c *Clock) Advance(d time.Duration) { c.advanced.Add(int64(d)) }

// bootTime is the time since the machine booted, suspended time included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("no boot-time clock: " + err.Error()) // Linux has had one since 2.6.39
	}
	return time.Duration(t.Nano())
}
