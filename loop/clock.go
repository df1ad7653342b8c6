package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. The time never goes back.
type Clock func() time.Time

// BootClock returns a clock that starts at the wall time, ignores steps of the
// wall clock, and advances while the machine is suspended, unlike Go's monotonic
// time. Leases and the time-outs that guard them need a clock that counts
// suspended time.
func BootClock() Clock {
	start := time.Now().Round(0)
	base := bootTime()
	return func() time.Time { return start.Add(bootTime() - base) }
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39, and no other clock serves.
		panic("loop: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
