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

// Clock counts from its making.
type Clock struct {
	from time.Duration
	leap atomic.Int64
}

// New starts a clock at zero.
//
// Example: c := clock.New(); c.Now() < time.Second
func New() *Clock { return &Clock{from: boot()} }

// Now is the time since the clock was made, suspended time included.
//
// Example: if c.Now() < till { serve() }
func (c *Clock) Now() time.Duration { return boot() - c.from + time.Duration(c.leap.Load()) }

// Leap is a switch for tests: the clock jumps forward while timers stood
// still, as after a suspend.
//
// Example: c.Leap(time.Minute)
func (c *Clock) Leap(d time.Duration) { c.leap.Add(int64(d)) }

func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("no boot-time clock: " + err.Error()) // Linux has had one since 2.6.39
	}
	return time.Duration(t.Nano())
}
