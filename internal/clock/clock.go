// Package clock reads a monotonic clock that also counts the time in which the machine is suspended.
//
// The runtime's monotonic clock stops during a suspension and the time of day may jump, so neither can limit how long a
// lease or cached state is valid.
//
// # Usage
//
//	until := clock.Now().Add(lease)
//	if clock.Now().After(until) {
//		// The lease has ended, even if the machine was suspended meanwhile.
//	}
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time after the Unix epoch. Only the difference of two such times
// is meaningful. It falls back to the runtime's clock if the operating system has no boot-time clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
