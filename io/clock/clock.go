// Package clock tells the machine's time since its start, including time in which it was suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock implements cuminlift.Clock with CLOCK_BOOTTIME, which goes on during a suspension, unlike the clock behind
// time.Now.
type BootClock struct {
	latest atomic.Int64
}

// NewBootClock returns the machine's clock.
func NewBootClock() *BootClock {
	return &BootClock{}
}

// Now returns the time since the machine started. It never goes backwards.
func (m *BootClock) Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Duration(m.latest.Load())
	}
	now := spec.Nano()
	for {
		latest := m.latest.Load()
		if now <= latest {
			return time.Duration(latest)
		}
		if m.latest.CompareAndSwap(latest, now) {
			return time.Duration(now)
		}
	}
}
