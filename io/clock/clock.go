// Package clock reads the time since the machine booted, including time in which it was suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock implements cuminlift.Clock with CLOCK_BOOTTIME, which advances while the machine is suspended, unlike the
// monotonic clock behind time.Now.
type BootClock struct {
	latest atomic.Int64
}

// NewBootClock returns a BootClock.
func NewBootClock() *BootClock {
	return &BootClock{}
}

// Now returns the time since the machine booted. It never goes backwards.
func (c *BootClock) Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Duration(c.latest.Load())
	}
	now := spec.Nano()
	for {
		latest := c.latest.Load()
		if now <= latest {
			return time.Duration(latest)
		}
		if c.latest.CompareAndSwap(latest, now) {
			return time.Duration(now)
		}
	}
}
