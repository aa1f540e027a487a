package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time for which the machine has been suspended since it was started. The
// monotonic clock does not count it.
func Suspended() time.Duration {
	var all, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0
	}
	return time.Duration(all.Nano() - running.Nano())
}
