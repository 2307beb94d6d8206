// Package clock measures time with the clock that goes on while the machine is
// suspended.
//
// Failure story: a machine is suspended for seconds and goes on as if nothing
// had happened. The steady clock stood still meanwhile, so a deadline measured
// by it is late by as much: a backend server would be told more time than the
// caller has. The time of day counts the suspension, but is set back and ahead
// by seconds, which would end requests early. The boot clock does neither.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the machine was started, suspensions included.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock. Without it the steady
		// one is the best there is.
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()

// Deadline is a moment on the boot clock; the zero value is no deadline.
type Deadline struct {
	at time.Duration
}

// DeadlineIn returns the moment d from now.
func DeadlineIn(d time.Duration) Deadline { return Deadline{at: SinceBoot() + d} }

// IsZero tells that there is no deadline.
func (d Deadline) IsZero() bool { return d.at == 0 }

// Remaining is the time until the deadline, 0 or less once it has passed.
func (d Deadline) Remaining() time.Duration { return d.at - SinceBoot() }

// Passed tells whether the deadline has come.
func (d Deadline) Passed() bool { return !d.IsZero() && d.Remaining() <= 0 }
