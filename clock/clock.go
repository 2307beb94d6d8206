// Package clock measures time with the boot clock, which continues while the machine is
// suspended.
//
// The monotonic clock stops during a suspension, and is behind by the suspension's duration
// afterwards. With a deadline on the monotonic clock, a backend server would be given more
// time than the caller has. The wall clock includes the suspension, but the wall clock may
// be set back or ahead by seconds, which would end requests early. The boot clock has
// neither fault.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was started, including suspensions.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This should not happen, since every kernel that Go supports has the boot clock.
		// The monotonic clock is the best substitute.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Deadline is a point in time on the boot clock; the zero value means no deadline.
type Deadline struct {
	at time.Duration
}

// DeadlineIn returns the deadline that is d from now.
func DeadlineIn(d time.Duration) Deadline { return Deadline{at: SinceBoot() + d} }

// IsZero reports whether there is no deadline.
func (d Deadline) IsZero() bool { return d.at == 0 }

// Remaining returns the time until the deadline, 0 or less if it has passed.
func (d Deadline) Remaining() time.Duration { return d.at - SinceBoot() }

// Passed reports whether there is a deadline and it has passed.
func (d Deadline) Passed() bool { return !d.IsZero() && d.Remaining() <= 0 }
