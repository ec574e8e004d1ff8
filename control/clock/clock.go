// Package clock provides the clock that decides whether leases, shares, timeouts and
// leaderships are still valid. Unlike Go's monotonic clock on Linux, it keeps running
// while the machine is suspended, so a daemon finds its leases expired when it resumes.
// Timers elsewhere only trigger checks; validity is always decided by this clock.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation. It is safe for concurrent use.
type Clock struct {
	startedAt time.Duration // reading of the boot-time clock at creation
	advanced  atomic.Int64  // nanoseconds added by Advance
}

// New returns a clock that starts at zero.
//
// Example: c := clock.New(); c.Now() < time.Second
func New() *Clock { return &Clock{startedAt: bootTime()} }

// Now returns the time since the clock was created, including time spent suspended.
//
// Example: if c.Now() < expiry { serve() }
func (c *Clock) Now() time.Duration {
	return bootTime() - c.startedAt + time.Duration(c.advanced.Load())
}

// Advance moves the clock forward without firing timers, as a suspend does. It is for
// tests.
//
// Example: c.Advance(time.Minute)
func (c *Clock) Advance(d time.Duration) { c.advanced.Add(int64(d)) }

// bootTime returns the time since boot, including time spent suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error()) // available since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
